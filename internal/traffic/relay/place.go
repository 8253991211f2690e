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

// place sends the call to targets' nodes until one gives a final outcome.
func (s *Service) place(ctx context.Context, q *request) (*httpconn.Response, *verdict) {
	ctx, cancel := context.WithTimeout(ctx, q.until.Sub(clock.Now())+answerGrace)
	defer cancel()
	for {
		now := clock.Now()
		left := q.until.Sub(now)
		if left <= 0 {
			return nil, s.expired(q)
		}
		pick, refusal := s.choose(now, q)
		if refusal != nil {
			answer := s.unplaced(q, refusal)
			return answer.resp, answer.verdict
		}
		q.tried = append(q.tried, pick.Candidate.ID)
		q.outcome = s.dispatch(ctx, now, q, pick)
		answer, again := s.judge(ctx, clock.Now(), q)
		if !again {
			return answer.resp, answer.verdict
		}
	}
}

func (s *Service) expired(q *request) *verdict {
	if q.runs == q.turned && !q.lost {
		return &verdict{http.StatusServiceUnavailable, failure.Deadline, noTargetAfter}
	}
	return &verdict{http.StatusGatewayTimeout, failure.Deadline, 0}
}

// unplaced is the answer when no further node can be asked.
func (s *Service) unplaced(q *request, r *failure.Refusal) final {
	if q.instead != (final{}) {
		return q.instead
	}
	if refused, ok := q.outcome.(call.Refused); ok {
		r = failure.New(refused.Reason, "")
		r.RetryAfter = refused.RetryAfter
	}
	return final{verdict: &verdict{http.StatusServiceUnavailable, r.Reason, s.after(q, r.Reason, r.RetryAfter)}}
}

// after is when a refused caller may come back: where the service is full, at
// a time spread over the next part of the objective, so that callers neither
// return at once nor together.
func (s *Service) after(q *request, reason failure.Reason, least time.Duration) time.Duration {
	if reason != failure.Overload {
		return max(least, noTargetAfter)
	}
	middle := float64(q.route.Objective) * returnPart
	return max(least, time.Duration(middle*(0.5+rand.Float64())))
}

// judge decides whether an outcome is final.
func (s *Service) judge(ctx context.Context, now time.Time, q *request) (answer final, again bool) {
	switch o := q.outcome.(type) {
	case call.Answered:
		q.runs++
		q.paid = bool(o.RetryGranted)
		answer = final{resp: o.Response}
		again = retry.Allowed(retry.Answer{Status: o.Response.Status, Inner: o.InnerFailed}, q.route.Idempotent) && s.again(now, q)
	case call.Refused:
		return s.refused(ctx, now, q, o)
	case call.Lost:
		q.runs, q.lost, q.paid = q.runs+1, true, bool(o.RetryGranted)
		if ctx.Err() != nil || o.Reason == failure.Deadline {
			return final{verdict: s.expired(q)}, false
		}
		answer = final{verdict: &verdict{http.StatusBadGateway, failure.Lost, 0}}
		again = q.route.Idempotent && s.again(now, q)
	default:
		answer = final{verdict: &verdict{http.StatusBadGateway, failure.BadResponse, 0}}
	}
	q.instead = answer
	return answer, again
}

// refused decides about a send that did not run.
func (s *Service) refused(ctx context.Context, now time.Time, q *request, o call.Refused) (answer final, again bool) {
	switch {
	case o.Reason == failure.RetriesExhausted:
		s.mu.Lock()
		s.denied[q.call.Service] = now
		s.mu.Unlock()
	case o.ByTarget:
		q.runs++
		q.turned++
		q.paid = bool(o.RetryGranted)
		if !q.lost && q.runs == q.turned {
			q.instead = final{verdict: &verdict{http.StatusServiceUnavailable, o.Reason, s.after(q, o.Reason, o.RetryAfter)}}
		}
		again = s.again(now, q) || s.stays(q)
	default:
		again = len(q.tried) < places && ctx.Err() == nil
	}
	return s.unplaced(q, failure.New(o.Reason, "")), again
}

// again reports whether the request may go to one more target. Its node has the
// last word, unless the node of the target before has counted the send.
func (s *Service) again(now time.Time, q *request) bool {
	if q.runs >= max(q.route.Attempts, 1) {
		return false
	}
	if q.paid || q.org != nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.denied[q.call.Service]) > noRepeatFor
}

// stays reports whether a caller's request goes to the same target once more,
// which turned it away without running it: the route bounds the targets that a
// request is sent to, and a target that refuses at random may take it now.
func (s *Service) stays(q *request) bool {
	q.stay = q.turned == q.runs && q.runs < s.sends(q)
	return q.stay
}

// sends is the greatest number of sends of a request.
func (s *Service) sends(q *request) int {
	attempts := max(q.route.Attempts, 1)
	if q.org != nil && q.turned == q.runs {
		return max(attempts, turns)
	}
	return attempts
}
