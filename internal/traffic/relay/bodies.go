package relay

import (
	"math/rand/v2"
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/intake"
	"chestnutshed.example/chestnutshed/internal/policy/returns"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
)

// DescribeBody returns whose body a request has, how important it is and how long it may wait
// for room. It reports false for a request that is refused whatever its body: without a route
// or key.
func (s *Service) DescribeBody(now time.Time, in *httpconn.Request) (intake.Body, bool) {
	q := &request{info: s.Dialect.ParseRequest(in.Header), in: in, start: in.Received}
	if s.resolve(q) != nil {
		return intake.Body{}, false
	}
	if q.org == nil {
		return intake.Body{Until: q.start.Add(q.route.Objective / innerWaitDivisor)}, true
	}
	s.mu.Lock()
	placed := s.told.Expects(now, q.caller(now))
	s.mu.Unlock()
	return intake.Body{
		Organisation: q.org.Name, Class: q.class(), Placed: placed, Until: q.start.Add(q.route.Objective / waitDivisor),
	}, true
}

// bodyRoom is the resource that bodies of a request's class wait for: the memory of this node,
// whatever their service.
func (q *request) bodyRoom() returns.Resource {
	return returns.Resource{Class: q.class()}
}

// passBody counts a large body that got room.
func (s *Service) passBody(now time.Time, q *request) {
	if q.org == nil || len(q.in.Body) <= intake.Small {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shortage.Passed(now, q.bodyRoom())
}

// refuseBody refuses a request whose body was not read.
func (s *Service) refuseBody(now time.Time, q *request) *errorResponse {
	switch {
	case q.in.NoRoom.Never:
		return &errorResponse{http.StatusRequestEntityTooLarge, failure.TooLarge, 0}
	case q.org == nil:
		return &errorResponse{http.StatusServiceUnavailable, failure.Backlog, max(q.in.NoRoom.After, noTargetRetryAfter)}
	}
	s.claimReturn(now, q)
	c := q.caller(now)
	s.mu.Lock()
	told := s.shortage.Refuse(now, q.bodyRoom(), c, rand.Float64()).NotBefore(q.in.NoRoom.After, c)
	s.mu.Unlock()
	s.tell(now, q, c, failure.Backlog, told)
	return &errorResponse{http.StatusServiceUnavailable, failure.Backlog, told.After}
}
