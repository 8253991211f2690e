package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/resend"
	"chestnutshed.example/chestnutshed/internal/policy/spare"
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
			return nil, s.unplaced(q, refusal)
		}
		q.tried = append(q.tried, pick.Candidate.ID)
		q.outcome = s.dispatch(ctx, now, q, pick)
		resp, v, again := s.judge(ctx, q)
		if !again {
			return resp, v
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
func (s *Service) unplaced(q *request, r *failure.Refusal) *verdict {
	if q.lost {
		return &verdict{http.StatusBadGateway, failure.Lost, 0}
	}
	if refused, ok := q.outcome.(call.Refused); ok {
		return &verdict{http.StatusServiceUnavailable, refused.Reason, s.after(q, refused.Reason, refused.After)}
	}
	return &verdict{http.StatusServiceUnavailable, r.Reason, s.after(q, r.Reason, r.After)}
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
func (s *Service) judge(ctx context.Context, q *request) (*httpconn.Response, *verdict, bool) {
	switch o := q.outcome.(type) {
	case call.Answered:
		q.runs++
		if resend.Again(resend.Whole{Status: o.Response.Status, Inner: o.Inner}, q.route.Idempotent) && s.again(q) {
			return nil, nil, true
		}
		return o.Response, nil, false
	case call.Refused:
		if o.Arrived {
			q.runs++
			q.turned++
			if s.again(q) || s.stays(q) {
				return nil, nil, true
			}
			return nil, &verdict{http.StatusServiceUnavailable, o.Reason, s.after(q, o.Reason, o.After)}, false
		}
		if len(q.tried) < places && ctx.Err() == nil {
			return nil, nil, true
		}
		return nil, s.unplaced(q, failure.New(o.Reason, "")), false
	case call.Lost:
		q.runs, q.lost = q.runs+1, true
		if ctx.Err() != nil || o.Reason == failure.Deadline {
			return nil, s.expired(q), false
		}
		if q.route.Idempotent && s.again(q) {
			return nil, nil, true
		}
		return nil, &verdict{http.StatusBadGateway, failure.Lost, 0}, false
	}
	return nil, &verdict{http.StatusBadGateway, failure.Broken, 0}, false
}

// again reports whether the request may go to one more target.
func (s *Service) again(q *request) bool {
	return q.runs < max(q.route.Attempts, 1) && s.spend(q)
}

// stays reports whether a caller's request goes to the same target once more,
// which turned it away without running it: the route bounds the targets that a
// request is sent to, and a target that refuses at random may take it now.
func (s *Service) stays(q *request) bool {
	q.stay = q.org != nil && q.turned == q.runs && q.turned < turns && s.spend(q)
	return q.stay
}

// spend takes one extra send from the budget, if there is one.
func (s *Service) spend(q *request) bool {
	from := spare.Caller
	if q.org == nil {
		from = spare.Target
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.extra.Extra(q.call.Service, from)
}
