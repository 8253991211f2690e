// Package health detects a failing target from its answers, since the target's
// own health endpoint may lag or be wrong.
package health

import "time"

const (
	// weight is the weight of the newest answer in the failure ratio.
	weight = 0.1
	// failingAbove and healthyBelow are the failure ratios at which a target
	// becomes failing and healthy again. The gap gives hysteresis.
	failingAbove = 0.6
	healthyBelow = 0.4
	// rejectedWeight is what a request that the target rejected counts as, in
	// failures. It did not run and may be sent elsewhere, so that only a target
	// that rejects nearly all requests is avoided. To avoid targets that reject
	// half would take capacity from a service that needs it most.
	rejectedWeight = 0.7
	// minAnswers is the number of answers from which the failure ratio is used.
	minAnswers = 8
	// probeInterval is the time between requests sent to a failing target.
	probeInterval = 200 * time.Millisecond
)

// Answer is the kind of a target's answer to a request.
type Answer int

// The kinds of answers. Rejected means that the target did not run the request.
const (
	Success Answer = iota
	Failure
	Rejected
)

func (a Answer) failures() float64 {
	switch a {
	case Failure:
		return 1
	case Rejected:
		return rejectedWeight
	}
	return 0
}

// Health is the immutable health of one target. The zero value is healthy.
type Health struct {
	ratio   float64
	answers int
	failing bool
	probeAt time.Time
}

// Failing reports whether the target fails most requests.
func (h Health) Failing() bool { return h.failing }

// Ratio is the exponentially weighted ratio of failures to answers, 0 to 1.
func (h Health) Ratio() float64 { return h.ratio }

// WithAnswer returns the health after one more answer.
func (h Health) WithAnswer(a Answer) Health {
	h.answers++
	h.ratio += (a.failures() - h.ratio) * max(weight, 1/float64(h.answers))
	switch {
	case h.answers < minAnswers:
	case h.ratio > failingAbove:
		h.failing = true
	case h.ratio < healthyBelow:
		h.failing = false
	}
	return h
}

// WithProbe reports whether a request may be sent to the target now, and returns
// the health after it. A failing target gets one request per probeInterval.
func (h Health) WithProbe(now time.Time) (Health, bool) {
	if !h.failing {
		return h, true
	}
	if now.Before(h.probeAt) {
		return h, false
	}
	h.probeAt = now.Add(probeInterval)
	return h, true
}
