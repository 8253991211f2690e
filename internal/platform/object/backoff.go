package object

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackoff is the minimum wait after a failure.
	minBackoff = 200 * time.Millisecond
	// maxBackoff bounds the random part, which is added to minBackoff.
	maxBackoff = 15 * time.Second
)

// Backoff is the exponential backoff between calls to a failing platform. Full
// jitter keeps nodes from retrying all at the same time. The zero value is ready
// to use.
type Backoff struct{ failures int }

// WithFailure returns the state after one more failure.
func (b Backoff) WithFailure() Backoff { return Backoff{failures: b.failures + 1} }

// WithSuccess returns the state after a success.
func (Backoff) WithSuccess() Backoff { return Backoff{} }

// Wait is the time until the next call; 0 after a success.
func (b Backoff) Wait(random *rand.Rand) time.Duration {
	if b.failures == 0 {
		return 0
	}
	ceiling := minBackoff << min(b.failures, 16)
	ceiling = min(ceiling, maxBackoff)
	return minBackoff + time.Duration(random.Int64N(int64(ceiling)))
}
