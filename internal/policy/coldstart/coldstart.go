// Package coldstart bounds the requests that a target gets while it is cold.
//
// A target is cold for some time after its start, and may become cold again later. A
// cold target that gets many more requests than it tolerates crashes and comes back
// cold. Requests are paced by a token bucket. The bound also counts what was sent in the
// last second, so that it holds when a warm target turns out to be cold. A target whose
// state is not known counts as cold. After the cold time the rate doubles every
// rampDoubling, so that callers who have been waiting don't arrive all at once.
package coldstart

import (
	"math"
	"time"
)

const (
	// window is the span over which requests are counted: a second, and a little more
	// for requests that reach the target later than others.
	window = 1100 * time.Millisecond
	// burstTime is the time of the rate that may be saved up.
	burstTime = 100 * time.Millisecond
	// margin is added to the time that a target says it stays cold.
	margin = 200 * time.Millisecond
	// rampDoubling and rampTime are the time in which the bound doubles after the cold
	// time, and the time after which it is dropped.
	rampDoubling = 250 * time.Millisecond
	rampTime     = time.Second
	// maxSent bounds the requests remembered, and with it the rate.
	maxSent = 16 << 10
)

// Bound is what the targets of a service take while they are cold.
type Bound struct {
	// Time is how long a target is cold after its start.
	Time time.Duration
	// PerSecond is the rate that it tolerates, in requests per second; 0 for no bound.
	PerSecond float64
	// Overage is a factor on PerSecond, and Slack a number of requests in addition, that
	// a second may have at most.
	Overage, Slack float64
}

// rate is the number of requests per second.
func (b Bound) rate() float64 { return min(max(1, b.PerSecond*b.Overage), maxSent/2) }

// limit is the number of requests in a window. Half of the slack is left for requests
// that can't be counted: what an earlier process of the node sent beyond the pace, and
// what is sent again after a stale connection.
func (b Bound) limit() float64 { return math.Floor(b.rate() + b.Slack/2) }

// Warmth is what is known of whether a target is cold. The zero value is warm. It is
// immutable.
type Warmth struct {
	// until is when the target is warm.
	until time.Time
	// doubtedAt is the time of the last doubt, doubtedUntil until when announcements may
	// be older than that.
	doubtedAt, doubtedUntil time.Time
}

// WithStart returns the warmth of an incarnation that says for the first time how long
// it stays cold.
func (w Warmth) WithStart(now time.Time, left time.Duration) Warmth {
	return Warmth{until: coldUntil(now, left)}
}

// WithAnnouncement returns the warmth after the target has announced how long it stays
// cold. While there is a doubt, that can only extend the cold time: announcements arrive
// late.
func (w Warmth) WithAnnouncement(now time.Time, left time.Duration) Warmth {
	until := coldUntil(now, left)
	if until.After(w.until) || !now.Before(w.doubtedUntil) {
		w.until = until
	}
	return w
}

// WithAnswer returns the warmth after the target has said how long it stays cold in an
// answer to a health check that began after the last doubt.
func (w Warmth) WithAnswer(now time.Time, left time.Duration) Warmth {
	return Warmth{until: coldUntil(now, left)}
}

// WithDoubt returns the warmth of a target that may have become cold at any time until
// now, and stays so for a time.
func (w Warmth) WithDoubt(now time.Time, coldTime time.Duration) Warmth {
	until := now.Add(coldTime + margin)
	if until.After(w.until) {
		w.until = until
	}
	w.doubtedAt, w.doubtedUntil = now, until
	return w
}

// DoubtedAfter reports whether there was a doubt after a time.
func (w Warmth) DoubtedAfter(at time.Time) bool { return w.doubtedAt.After(at) }

func coldUntil(now time.Time, left time.Duration) time.Time {
	if left <= 0 {
		return now.Add(-rampTime)
	}
	return now.Add(left + margin)
}

// Limiter counts the requests to one target and holds them within the bound. It is not
// safe for concurrent use.
type Limiter struct {
	bound  Bound
	warmth Warmth
	// sent are the times of the latest requests in a ring, next the index after the last
	// one, and known their number.
	sent        []time.Time
	next, known int
	// tokens are the requests saved up at the time of updated.
	tokens  float64
	updated time.Time
}

// New returns a limiter without a bound.
func New() *Limiter { return &Limiter{} }

// SetBound sets the bound of the target's service.
func (l *Limiter) SetBound(b Bound) {
	if b == l.bound {
		return
	}
	l.bound = b
	size := 0
	if b.PerSecond > 0 {
		size = int(min(b.limit()*math.Exp2(float64(rampTime)/float64(rampDoubling)), maxSent))
		size = max(size, int(b.limit()))
	}
	sent := make([]time.Time, size)
	known := min(l.known, size)
	for i := range known {
		sent[i] = l.at(known - 1 - i)
	}
	l.sent, l.next, l.known = sent, known, known
}

// Bound returns the bound of the target's service.
func (l *Limiter) Bound() Bound { return l.bound }

// SetWarmth sets what is known of the target.
func (l *Limiter) SetWarmth(w Warmth) { l.warmth = w }

// Warmth returns what is known of the target.
func (l *Limiter) Warmth() Warmth { return l.warmth }

// Active reports whether requests are bounded: the target is cold, or was until lately.
func (l *Limiter) Active(now time.Time) bool {
	return l.bound.PerSecond > 0 && now.Before(l.warmth.until.Add(rampTime))
}

// Rate is the number of requests that the target may get in a second; infinite without a
// bound.
func (l *Limiter) Rate(now time.Time) float64 {
	if !l.Active(now) {
		return math.Inf(1)
	}
	warm := max(0, now.Sub(l.warmth.until))
	return l.bound.rate() * math.Exp2(float64(warm)/float64(rampDoubling))
}

// limit is the number of requests in the window that ends now.
func (l *Limiter) limit(now time.Time) float64 {
	return l.Rate(now) + l.bound.limit() - l.bound.rate()
}

// Allows reports whether a request may be sent.
func (l *Limiter) Allows(now time.Time) bool {
	if !l.Active(now) {
		return true
	}
	return l.refilled(now) >= 1 && float64(l.count(now)+1) <= l.limit(now)
}

// refilled returns the tokens earned by now. At least one can be saved up.
func (l *Limiter) refilled(now time.Time) float64 {
	rate := l.Rate(now)
	return min(max(1, rate*burstTime.Seconds()), l.tokens+rate*now.Sub(l.updated).Seconds())
}

// Load is the part of the bound that requests sent in the last second and others that
// wait take; 0 without a bound.
func (l *Limiter) Load(now time.Time, waiting int) float64 {
	if !l.Active(now) {
		return 0
	}
	return float64(l.count(now)+waiting) / l.limit(now)
}

// RecordSent counts a request.
func (l *Limiter) RecordSent(now time.Time) {
	if len(l.sent) == 0 {
		return
	}
	if l.Active(now) {
		l.tokens = l.refilled(now) - 1
	} else {
		l.tokens = 0
	}
	l.updated = now
	l.sent[l.next%len(l.sent)] = now
	l.next = (l.next + 1) % len(l.sent)
	l.known = min(l.known+1, len(l.sent))
}

// at returns the time of the request that n others followed.
func (l *Limiter) at(n int) time.Time { return l.sent[(l.next+len(l.sent)-1-n)%len(l.sent)] }

// count returns the number of requests in the window that ends now.
func (l *Limiter) count(now time.Time) int {
	n := 0
	for n < l.known && now.Sub(l.at(n)) < window {
		n++
	}
	return n
}
