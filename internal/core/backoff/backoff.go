// Package backoff delays calls to a store or peer that fails, longer after each failure.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff is the immutable state of the calls to one peer. The zero value has no limits;
// use New.
type Backoff struct {
	shortest, longest time.Duration
	// mean is that of the delay after the last failure; 0 if the last call succeeded.
	mean    time.Duration
	retryAt time.Time
}

// New returns a backoff whose delays have a mean of shortest after the first failure, twice
// as long after each further one, and longest at most. A delay is between half of the mean
// and one and a half times it.
func New(shortest, longest time.Duration) Backoff {
	return Backoff{shortest: shortest, longest: longest}
}

// Due reports whether a call may be made now.
func (b Backoff) Due(now time.Time) bool { return !now.Before(b.retryAt) }

// Failing reports whether the last call failed.
func (b Backoff) Failing() bool { return b.mean > 0 }

// WithSuccess returns the state after a call that succeeded.
func (b Backoff) WithSuccess() Backoff { return New(b.shortest, b.longest) }

// WithFailure returns the state after a call that failed.
func (b Backoff) WithFailure(now time.Time) Backoff {
	b.mean = min(max(2*b.mean, b.shortest), b.longest)
	b.retryAt = now.Add(b.mean/2 + rand.N(b.mean))
	return b
}
