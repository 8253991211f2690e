package object

import (
	"math/rand/v2"
	"time"
)

// Bounds of the wait between calls while the platform fails.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 15 * time.Second
)

// Backoff spaces calls to a failing platform: exponential with full jitter,
// so that many nodes don't come back at the same moment. The zero value is
// ready.
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
