// Package health judges a target by the answers it gives, since its own health
// endpoint lags or misleads.
package health

import "time"

const (
	// memory is the weight of the newest answer.
	memory = 0.1
	// failingOver and healthyUnder are the bounds of the failure ratio between
	// which the judgement stays as it is.
	failingOver  = 0.6
	healthyUnder = 0.4
	// turnedAway is what a request that the target turned away counts, in
	// failures: it did not run and may be sent elsewhere, so that only a target
	// that turns away nearly all is left alone. Leaving alone those that turn
	// away half would take room from a service that needs it most.
	turnedAway = 0.7
	// minAnswers is the least number of answers for a judgement.
	minAnswers = 8
	// probeEvery is the time between requests let through to a failing target.
	probeEvery = 200 * time.Millisecond
)

// Answer is what a target gave a request.
type Answer int

// The answers: a success, a failure, or that the target did not run it.
const (
	Success Answer = iota
	Failure
	Rejected
)

func (a Answer) weight() float64 {
	switch a {
	case Failure:
		return 1
	case Rejected:
		return turnedAway
	}
	return 0
}

// Health is an immutable judgement of one target. The zero value is healthy.
type Health struct {
	ratio   float64
	answers int
	failing bool
	probeAt time.Time
}

// Failing reports whether the target fails most requests.
func (h Health) Failing() bool { return h.failing }

// Ratio is the recent part of failures.
func (h Health) Ratio() float64 { return h.ratio }

// WithAnswer returns the judgement after one more answer.
func (h Health) WithAnswer(a Answer) Health {
	h.answers++
	h.ratio += (a.weight() - h.ratio) * max(memory, 1/float64(h.answers))
	switch {
	case h.answers < minAnswers:
	case h.ratio > failingOver:
		h.failing = true
	case h.ratio < healthyUnder:
		h.failing = false
	}
	return h
}

// WithProbe reports whether a request may go to the target now, and returns
// the judgement after it. A failing target gets one request now and then.
func (h Health) WithProbe(now time.Time) (Health, bool) {
	if !h.failing {
		return h, true
	}
	if now.Before(h.probeAt) {
		return h, false
	}
	h.probeAt = now.Add(probeEvery)
	return h, true
}
