package inbound

import (
	"context"
	"errors"
	"maps"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/correlation"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/retry"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/sirupsen/logrus"
)

// send runs an admitted call on the target and gives its slot back.
func (s *Service) send(ctx context.Context, id uint64, c call.Call, r *httpconn.Request, until time.Time) call.Outcome {
	began := clock.Now()
	if ctx.Err() != nil {
		s.done(began, id, admission.Aborted, false)
		return call.Refused{Reason: failure.Deadline}
	}
	if !c.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	left := until.Sub(began)
	ctx, cancel := context.WithTimeout(ctx, left+answerGrace)
	defer cancel()
	out := *r
	out.Header = maps.Clone(r.Header)
	httpconn.StripHopHeaders(out.Header)
	s.dialect.Outgoing(out.Header, c.WithRemaining(left))
	reuse := httpconn.Reuse{Retry: c.Idempotent}
	if !c.Idempotent {
		reuse.MaxIdleTime = freshFor
	}
	s.runs.Inc()
	s.started(began, id, c, until)
	resp, err := s.pool.Do(ctx, &out, reuse)
	now := clock.Now()
	s.ended(began, now, id, c, resp != nil || ctx.Err() != nil)
	s.took.Update(now.Sub(began).Seconds())
	outcome := s.spare(c, s.judge(ctx, began, now, id, resp, err))
	if _, whole := outcome.(call.Answered); !whole {
		s.losses.Inc()
		s.log.WithFields(logrus.Fields{
			"request": c.ID, "route": c.Route, "target": c.Instance, "held_ms": now.Sub(began).Milliseconds(),
			"outcome": call.Describe(outcome),
		}).Info("call not answered by the target")
	}
	return outcome
}

// judge classifies what came from the target.
func (s *Service) judge(ctx context.Context, began, now time.Time, id uint64, resp *httpconn.Response, err error) call.Outcome {
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		s.done(now, id, admission.Aborted, true)
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.mu.Lock()
			s.downTil = now.Add(downFor)
			s.mu.Unlock()
		}
		return call.Refused{Reason: failure.NotReady, RetryAfter: downFor}
	case err != nil && ctx.Err() != nil:
		s.done(now, id, admission.Aborted, errors.Is(ctx.Err(), context.DeadlineExceeded))
		return call.Lost{Reason: failure.Deadline, Err: err}
	case err != nil:
		s.done(now, id, admission.Aborted, true)
		return call.Lost{Reason: failure.Lost, Err: err}
	}
	reply := s.dialect.Reply(resp.Status, resp.Header)
	if reply.NotRun || reply.WrongTarget {
		s.done(now, id, admission.Rejected, true)
		return call.Refused{Reason: failure.Overload, RetryAfter: leaveRetry, ByTarget: true}
	}
	failed := retry.TargetFailed(resp.Status)
	inner := failed && s.innerFailedSince(began)
	// A target whose calls fail is not to blame.
	s.done(now, id, admission.Answered, failed && !inner)
	return call.Answered{Response: resp, InnerFailed: inner}
}

// spare counts one more send of a call that failed here and may be repeated.
func (s *Service) spare(c call.Call, o call.Outcome) call.Outcome {
	switch o := o.(type) {
	case call.Answered:
		if retry.Allowed(retry.Answer{Status: o.Response.Status, Inner: o.InnerFailed}, c.Idempotent) {
			o.RetryGranted = s.allow(c)
		}
		return o
	case call.Refused:
		if o.ByTarget {
			o.RetryGranted = s.allow(c)
		}
		return o
	case call.Lost:
		if c.Idempotent && o.Reason != failure.Deadline {
			o.RetryGranted = s.allow(c)
		}
		return o
	}
	return o
}

func (s *Service) allow(c call.Call) call.RetryGranted {
	if c.Last {
		return false
	}
	targets := s.targets(c.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return call.RetryGranted(s.extra.AllowRetry(c.Service, targets, origin(c)))
}

func (s *Service) done(now time.Time, id uint64, result admission.Result, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	moves, changed := s.intake.Release(now, id, result, failed)
	s.signal(moves)
	if changed {
		s.log.WithField("failing", s.intake.Failing()).Warn("judgement of the target changed")
		t := s.target
		go s.heard(t)
	}
}

// started adds a call to those running.
func (s *Service) started(now time.Time, id uint64, c call.Call, until time.Time) {
	targets := 0
	if !c.Retry {
		targets = s.targets(c.Service)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.Retry {
		s.extra.RecordFirst(c.Service, targets, c.RetryFraction)
	}
	s.running++
	s.repeats += c.RetryFraction
	s.times.Start(now, c.Route)
	s.calls.Start(now, id, correlation.Call{ID: c.ID, Route: c.Route, Root: root(c), RootCertain: c.RootCertain || c.Depth <= 1, Deadline: until})
}

// root is the score of the caller's request that a call is made for.
func root(c call.Call) priority.Score {
	if c.Depth > 1 {
		return c.RootScore
	}
	return c.Score
}

// ended takes a call off those running. Counts is false for one that says
// nothing about the target's speed.
func (s *Service) ended(began, now time.Time, id uint64, c call.Call, counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.repeats -= c.RetryFraction
	s.calls.End(now, id)
	s.times.End(began, now, c.Route, counts)
}
