package relay

import (
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
)

const (
	// Fractions of the time that a stop takes, after which a stopping node refuses new
	// requests: first those of callers, then the calls of its own target. These are short,
	// and the callers of the target wait for them.
	callersRefusedAt = 0.52
	innerRefusedAt   = 0.8
	// maxCallersAccepted bounds the time for which a stopping node accepts requests of
	// callers. They are sent elsewhere once they have noticed the stop.
	maxCallersAccepted = 3 * time.Second
)

// stop is the plan of a planned stop.
type stop struct {
	// Requests of callers are accepted before callersUntil, and those of the node's own
	// target before innerUntil. All must have an answer by end.
	callersUntil, innerUntil, end time.Time
}

// Drain begins a planned stop that ends at a time.
func (s *Service) Drain(now, end time.Time) {
	left := end.Sub(now)
	part := func(f float64) time.Duration { return time.Duration(f * float64(left)) }
	s.stop.Store(&stop{
		callersUntil: now.Add(min(part(callersRefusedAt), maxCallersAccepted)), innerUntil: now.Add(part(innerRefusedAt)), end: end,
	})
}

// Abort gives up the requests that are still in flight. They get their final answer.
func (s *Service) Abort() { s.abort() }

// limitByStop refuses a request that the node can't take any more because it stops. One
// that must not be repeated is taken only if its timeout ends before the stop. The deadline
// of others is brought forward: if they get no response by then, they can be sent again.
func (s *Service) limitByStop(now time.Time, q *request) *errorResponse {
	plan := s.stop.Load()
	if plan == nil {
		return nil
	}
	until := plan.callersUntil
	if q.route.Public {
		until = plan.innerUntil
	}
	if now.After(until) || (!q.route.Idempotent && q.deadline.After(plan.end)) {
		return &errorResponse{http.StatusServiceUnavailable, failure.Leaving, noConfigRetryAfter}
	}
	if q.deadline.After(plan.end) {
		q.deadline = plan.end
	}
	return nil
}
