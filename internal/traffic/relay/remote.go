package relay

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/fleet/roster"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/sirupsen/logrus"
)

// choose picks the serving node for the next attempt.
func (s *Service) choose(now time.Time, q *request) (balancer.Pick, *failure.Refusal) {
	tried := q.tried
	all := s.Roster.Serving(now, q.call.Service)
	if q.sameTarget {
		all = slices.DeleteFunc(slices.Clone(all), func(r roster.Serving) bool {
			return !slices.Contains(q.reached, r.ID) || slices.Contains(q.denied, r.ID)
		})
		tried = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.rejectionsAt) > rejectionInterval {
		s.rejectionsAt = now
		s.balancer.SetRejecting(s.Rejections.Rejecting(now))
	}
	pick, refusal := s.balancer.Choose(now, s.candidates(now, all), balancer.Call{
		Route: q.route.Name, Service: q.call.Service, Score: q.call.Score, Depth: q.call.Depth, Objective: q.route.Objective, Remaining: q.deadline.Sub(now), Repeatable: q.route.Idempotent, Retry: len(q.tried) > 0, Tried: tried,
	})
	if refusal == nil {
		s.balancer.Sent(pick.Candidate.ID)
	}
	s.recordZones(q.call.Service, pick, refusal)
	return pick, refusal
}

// candidates converts roster entries to candidates, without those in evacuated
// availability zones. The result is valid until the
// next call. The caller holds mu.
func (s *Service) candidates(now time.Time, list []roster.Serving) []balancer.Candidate {
	evacuating := s.Evacuations.Any()
	s.candidateBuf = s.candidateBuf[:0]
	for i := range list {
		r := &list[i]
		if s.targets.hasLeft(incarnationOf(r.Record)) || (evacuating && s.Evacuations.Has(now, r.Zone)) {
			continue
		}
		s.candidateBuf = append(s.candidateBuf, balancer.Candidate{
			ID: r.ID, Address: r.Address, Zone: r.Zone, Slots: r.Slots, ReadySince: r.Since, Failing: r.Failing,
		})
	}
	return s.candidateBuf
}

// dispatch sends the call to one node, which may be this one.
func (s *Service) dispatch(ctx context.Context, now time.Time, q *request, pick balancer.Pick) call.Outcome {
	record, _ := s.Roster.Get(pick.Candidate.ID)
	c := q.call.WithTarget(record.Instance, record.Born).WithRemaining(q.deadline.Sub(now))
	c.Forced, c.Crash, c.SameTarget = pick.Forced, q.crash, q.sameTarget
	if q.attempts > 0 {
		c = c.AsRetry(q.retryReserved)
	}
	c.Last = q.attempts+1 >= s.maxAttempts(q)
	c.QueueTimeoutMS = max(0, q.waitUntil.Sub(now)).Milliseconds()
	if record.ID == s.Roster.Self().ID {
		outcome := s.Inbound.Run(ctx, now, c, q.in)
		s.recordAnswer(record, q, s.Inbound.Load(c), 0)
		return outcome
	}
	s.mu.Lock()
	c.TargetRate = s.targets.rate(incarnationOf(record))
	s.mu.Unlock()
	return s.sendRemote(ctx, c, q, record, pick.Candidate.Address)
}

// sendRemote sends the call to another node.
func (s *Service) sendRemote(ctx context.Context, c call.Call, q *request, to member.Record, address string) call.Outcome {
	id := to.ID
	out := *q.in
	out.Header = maps.Clone(q.in.Header)
	httpconn.StripHopHeaders(out.Header)
	if err := c.Put(out.Header); err != nil {
		s.recordCancelled(id)
		return call.Refused{Reason: failure.BadRequest}
	}
	began := clock.Now()
	resp, err := s.pool(address).Do(ctx, &out, httpconn.Reuse{Retry: c.Idempotent})
	if err == nil {
		outcome, load, decodeErr := call.Decode(resp)
		if decodeErr == nil {
			s.recordAnswer(to, q, load, hop(clock.Now().Sub(began), load))
			s.recordTarget(clock.Now(), to, outcome, load)
			return outcome
		}
		err = decodeErr
	}
	if ctx.Err() != nil {
		s.recordCancelled(id)
		return call.Lost{Reason: failure.Deadline, Err: err}
	}
	s.mu.Lock()
	s.balancer.Failed(clock.Now(), id)
	s.mu.Unlock()
	s.Log.WithError(err).WithFields(logrus.Fields{"request": c.ID, "peer": address, "member": id}).Warn("call to peer failed")
	if errors.Is(err, httpconn.ErrNotSent) {
		return call.Refused{Reason: failure.NotReady, RetryAfter: noTargetRetryAfter}
	}
	return call.Lost{Reason: failure.Lost, Err: err}
}

func (s *Service) recordAnswer(from member.Record, q *request, load call.Load, hop time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Answered(clock.Now(), from.ID, balancer.Report{
		Route: q.route.Name, Load: load.Load, Cutoff: load.Cutoff, ServiceTime: load.ServiceTime, Pace: load.Pace, Downstream: load.Downstream,
		Zone: from.Zone, Hop: hop.Seconds(),
	})
}

// hop returns the time that a call and its result were on the way; 0 if the node did not say
// how long it had the call.
func hop(took time.Duration, load call.Load) time.Duration {
	if load.Held <= 0 {
		return 0
	}
	return max(0, took-time.Duration(load.Held*float64(time.Second)))
}

// Downstream returns the admission cutoffs that calls on a route to a service meet at
// the nodes of that service and of the services it calls, as last reported here.
func (s *Service) Downstream(now time.Time, service, route string) []balancer.Downstream {
	all := s.Roster.Serving(now, service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Downstream(now, s.balancer.Met(s.candidates(now, all), service, route), service, route)
}

func (s *Service) recordCancelled(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Canceled(id)
}

func (s *Service) pool(address string) *httpconn.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[address]
	if !ok {
		p = httpconn.NewPool(address, httpconn.Options{DialTimeout: peerDialTimeout, MaxIdle: maxIdlePeerConns, MaxBody: maxResponse, Budget: s.ResponseBudget})
		s.pools[address] = p
	}
	return p
}
