package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/retry"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
)

// forward sends the call to serving nodes until an outcome is final.
func (s *Service) forward(ctx context.Context, q *request) (*httpconn.Response, *errorResponse) {
	ctx, cancel := context.WithTimeout(ctx, q.deadline.Sub(clock.Now())+responseGrace)
	defer cancel()
	stop := context.AfterFunc(s.aborted, cancel)
	defer stop()
	for {
		now := clock.Now()
		left := q.deadline.Sub(now)
		if left <= 0 {
			return nil, s.deadlineError(q)
		}
		pick, refusal := s.choose(now, q)
		if refusal != nil && refusal.Reason == failure.NoTarget && !q.sameTarget && s.retrySameTarget(q) {
			continue
		}
		if refusal != nil {
			res := s.noNode(q, refusal)
			return res.resp, res.errorResponse
		}
		q.tried = append(q.tried, pick.Candidate.ID)
		q.outcome = s.dispatch(ctx, now, q, pick)
		res, mayRetry := s.evaluate(ctx, clock.Now(), q)
		if !mayRetry {
			return res.resp, res.errorResponse
		}
	}
}

func (s *Service) deadlineError(q *request) *errorResponse {
	if q.attempts == q.rejected && !q.lost {
		return &errorResponse{http.StatusServiceUnavailable, failure.Deadline, noTargetRetryAfter}
	}
	return &errorResponse{http.StatusGatewayTimeout, failure.Deadline, 0}
}

// noNode returns the response when there is no further node to send to: that of the
// last attempt, if there was one.
func (s *Service) noNode(q *request, r *failure.Refusal) result {
	if q.fallback != (result{}) {
		return q.fallback
	}
	if refused, ok := q.outcome.(call.Refused); ok {
		r = failure.New(refused.Reason, "")
		r.RetryAfter = refused.RetryAfter
	}
	return result{errorResponse: &errorResponse{http.StatusServiceUnavailable, r.Reason, s.retryAfter(q, r.Reason, r.RetryAfter)}}
}

// retryAfter returns the Retry-After of a refusal, at least minimum. sendBack replaces that
// of callers' requests on overload once the refusal is final.
func (s *Service) retryAfter(q *request, reason failure.Reason, minimum time.Duration) time.Duration {
	switch {
	case reason != failure.Overload:
		return max(minimum, noTargetRetryAfter)
	case q.org != nil:
		return minimum
	}
	mean := float64(q.route.Objective) * innerRetryAfterFactor
	return max(minimum, time.Duration(mean*(0.5+rand.Float64())))
}

// evaluate returns the response for the outcome of the last attempt and whether to
// make another attempt.
func (s *Service) evaluate(ctx context.Context, now time.Time, q *request) (res result, mayRetry bool) {
	switch o := q.outcome.(type) {
	case call.Answered:
		q.attempts++
		q.retryReserved = bool(o.RetryGranted)
		res = result{resp: o.Response}
		mayRetry = retry.Allowed(retry.Answer{Status: o.Response.Status, InnerFailed: o.InnerFailed}, q.route.Idempotent) && s.mayRetry(now, q)
	case call.Refused:
		return s.evaluateRefusal(ctx, now, q, o)
	case call.Lost:
		q.attempts, q.lost, q.retryReserved, q.crash = q.attempts+1, true, bool(o.RetryGranted), o.Crash
		if ctx.Err() != nil || o.Reason == failure.Deadline {
			return result{errorResponse: s.deadlineError(q)}, false
		}
		res = result{errorResponse: &errorResponse{http.StatusBadGateway, failure.Lost, 0}}
		mayRetry = q.route.Idempotent && s.mayRetry(now, q)
	default:
		res = result{errorResponse: &errorResponse{http.StatusBadGateway, failure.BadResponse, 0}}
	}
	q.fallback = res
	return res, mayRetry
}

// evaluateRefusal is evaluate for an attempt that did not run.
func (s *Service) evaluateRefusal(ctx context.Context, now time.Time, q *request, o call.Refused) (res result, mayRetry bool) {
	switch {
	case o.Reason == failure.Poison:
		// The other nodes of the service would refuse it too.
	case o.Reason == failure.RetriesExhausted:
		s.mu.Lock()
		s.retriesDenied[q.call.Service] = now
		s.mu.Unlock()
		q.denied = append(q.denied, q.tried[len(q.tried)-1])
		// The node of another target that the request has reached may have one left.
		mayRetry = q.org != nil && len(q.denied) < maxNodes && s.retrySameTarget(q)
	case o.ByTarget:
		q.attempts++
		q.rejected++
		q.reached = append(q.reached, q.tried[len(q.tried)-1])
		q.retryReserved = bool(o.RetryGranted)
		if !q.lost && q.attempts == q.rejected {
			q.fallback = result{errorResponse: &errorResponse{http.StatusServiceUnavailable, o.Reason, s.retryAfter(q, o.Reason, o.RetryAfter)}}
		}
		mayRetry = s.mayRetry(now, q) || s.retrySameTarget(q)
	default:
		mayRetry = len(q.tried) < maxNodes && ctx.Err() == nil
	}
	return s.noNode(q, failure.New(o.Reason, "")), mayRetry
}

// mayRetry reports whether the request may be sent to another target. The retry
// budget is checked by that target's node, unless the previous target's node has
// counted the retry already.
func (s *Service) mayRetry(now time.Time, q *request) bool {
	if q.attempts >= max(q.route.MaxAttempts, 1) {
		return false
	}
	if q.retryReserved || q.org != nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.retriesDenied[q.call.Service]) > retryPause
}

// retrySameTarget reports whether a request is sent once more to a target that rejected it
// without running it. A route limits the number of targets that a request reaches, there may
// be no other target, and one that rejects at random may accept it the next time. Calls made
// by targets need the consent of the last target's node.
func (s *Service) retrySameTarget(q *request) bool {
	q.sameTarget = len(q.reached) > 0 && q.rejected == q.attempts && q.attempts < s.maxAttempts(q) && (q.org != nil || q.retryReserved)
	return q.sameTarget
}

// maxAttempts returns the highest number of attempts for a request.
func (s *Service) maxAttempts(q *request) int {
	limit := max(q.route.MaxAttempts, 1)
	if q.rejected == q.attempts {
		return max(limit, maxRejections)
	}
	return limit
}
