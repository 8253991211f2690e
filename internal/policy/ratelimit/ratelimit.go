// Package ratelimit keeps the requests that a target gets within the rate that it names
// in its answers.
//
// The limit is a token bucket. When the target no longer names it, the rate doubles
// every rampDoubling until the limit is dropped, so that a single answer without it does
// not release all that waits.
package ratelimit

import (
	"math"
	"time"
)

const (
	// burstTime is the time of the rate that may be saved up.
	burstTime = 250 * time.Millisecond
	// minRate is the least rate, in requests per second. Only answers tell that a limit
	// has ended or changed.
	minRate = 0.5
	// rampStart is the least rate after the end of a limit, in requests per second.
	// The rate doubles every rampDoubling, and the limit is dropped after rampTime.
	rampStart    = 5
	rampDoubling = 250 * time.Millisecond
	rampTime     = 3 * time.Second
)

// Limit is the limit of one target. The zero value is no limit. It is immutable.
type Limit struct {
	// perSecond is the named rate, at least minRate; 0 for no limit.
	perSecond float64
	// namedAt is when an answer last named it, endedAt when one no longer did; the
	// latter is zero while the limit is in force.
	namedAt, endedAt time.Time
	tokens           float64
	updated          time.Time
}

// Active reports whether there is a limit, or the ramp after one.
func (l Limit) Active(now time.Time) bool {
	return l.perSecond > 0 && (l.endedAt.IsZero() || now.Sub(l.endedAt) < rampTime)
}

// Named returns the rate that the target names, in requests per second; 0 if it names
// none.
func (l Limit) Named() float64 {
	if !l.endedAt.IsZero() {
		return 0
	}
	return l.perSecond
}

// Rate is the rate at which requests may be sent, in requests per second; infinite
// without a limit.
func (l Limit) Rate(now time.Time) float64 {
	switch {
	case !l.Active(now):
		return math.Inf(1)
	case l.endedAt.IsZero():
		return l.perSecond
	}
	return max(l.perSecond, rampStart) * math.Exp2(float64(now.Sub(l.endedAt))/float64(rampDoubling))
}

// burst is the number of tokens that may be saved up, at least 1.
func burst(rate float64) float64 { return max(1, rate*burstTime.Seconds()) }

// refilled returns the limit with the tokens earned since its last change.
func (l Limit) refilled(now time.Time) Limit {
	rate := l.Rate(now)
	l.tokens = min(burst(rate), l.tokens+rate*max(0, now.Sub(l.updated).Seconds()))
	l.updated = now
	return l
}

// WithNamed returns the limit after an answer that names a rate in requests per second.
// A new limit starts without tokens.
func (l Limit) WithNamed(now time.Time, perSecond float64) Limit {
	if l.Active(now) {
		l = l.refilled(now)
	} else {
		l.tokens, l.updated = 0, now
	}
	l.perSecond, l.namedAt, l.endedAt = max(perSecond, minRate), now, time.Time{}
	return l
}

// WithUnnamed returns the limit after an answer that names none. An answer whose request
// began before the limit was last named may be older than that, and changes nothing.
func (l Limit) WithUnnamed(now, began time.Time) Limit {
	if l.perSecond == 0 || !l.endedAt.IsZero() || !began.After(l.namedAt) {
		return l
	}
	l = l.refilled(now)
	l.endedAt = now
	return l
}

// Allows reports whether a request may be sent.
func (l Limit) Allows(now time.Time) bool {
	return !l.Active(now) || l.refilled(now).tokens >= 1
}

// WithSent returns the limit after a request was sent.
func (l Limit) WithSent(now time.Time) Limit {
	if !l.Active(now) {
		return Limit{}
	}
	l = l.refilled(now)
	l.tokens--
	return l
}
