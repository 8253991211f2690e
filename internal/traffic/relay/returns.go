package relay

import (
	"math/rand/v2"
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/fleet/quota"
	"chestnutshed.example/chestnutshed/internal/policy/returns"
)

// caller is the request as its caller sees it now.
func (q *request) caller(now time.Time) returns.Caller {
	left := q.info.Timeout
	if left <= 0 {
		left = q.route.Timeout
	}
	return returns.Caller{Organisation: q.org.Name, Route: q.route.Name, Left: left - now.Sub(q.start), Objective: q.route.Objective}
}

// quotaRequest is what the request needs a token for.
func (q *request) quotaRequest() quota.Request {
	return quota.Request{Rank: q.route.Rank, Turn: q.turn, Reach: q.caller(q.start).Reach()}
}

// claimReturn finds out whether the request is the return of a refused one.
func (s *Service) claimReturn(now time.Time, q *request) {
	s.mu.Lock()
	q.turn = s.told.Claim(now, q.caller(now))
	s.mu.Unlock()
	if q.turn != returns.First {
		s.count("returns_seen_total{turn=\"" + q.turn.String() + "\"}")
	}
}

// refuseRate refuses a request that got no token.
func (s *Service) refuseRate(now time.Time, q *request) *errorResponse {
	c := q.caller(now)
	told := s.Quota.Refuse(now, q.org, q.quotaRequest(), c, rand.Float64())
	s.tell(now, q, c, failure.RateExceeded, told)
	return &errorResponse{http.StatusTooManyRequests, failure.RateExceeded, told.After}
}

// sendBack says when the caller of a request that was refused on overload may come back. It
// counts requests that got through.
func (s *Service) sendBack(now time.Time, q *request, e *errorResponse) *errorResponse {
	if q.org == nil {
		return e
	}
	of := returns.Resource{Service: q.call.Service, Class: q.call.Score.Class()}
	if e == nil || e.status != http.StatusServiceUnavailable || e.reason != failure.Overload {
		if q.attempts > 0 {
			s.mu.Lock()
			s.shortage.Passed(now, of)
			s.mu.Unlock()
		}
		return e
	}
	c := q.caller(now)
	s.mu.Lock()
	told := s.shortage.Refuse(now, of, c, rand.Float64()).NotBefore(e.after, c)
	s.mu.Unlock()
	s.tell(now, q, c, e.reason, told)
	return &errorResponse{e.status, e.reason, told.After}
}

// tell remembers and counts what a caller is told.
func (s *Service) tell(now time.Time, q *request, c returns.Caller, reason failure.Reason, told returns.Told) {
	if q.turn != returns.First {
		s.count("returns_refused_total{turn=\"" + q.turn.String() + "\",reason=\"" + string(reason) + "\"}")
	}
	place := "no"
	if told.Place {
		place = "yes"
	}
	s.count("returns_told_total{reason=\"" + string(reason) + "\",place=\"" + place + "\"}")
	s.mu.Lock()
	s.told.Tell(now, c, told)
	s.mu.Unlock()
}
