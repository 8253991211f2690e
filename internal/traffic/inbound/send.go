package inbound

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/connreuse"
	"chestnutshed.example/chestnutshed/internal/policy/correlation"
	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/retry"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/sirupsen/logrus"
)

// send sends an admitted call to the target and releases its slot at the end.
func (s *Service) send(ctx context.Context, id uint64, f flight, deadline time.Time) call.Outcome {
	c, r, began := f.call, f.request, clock.Now()
	if ctx.Err() != nil {
		s.release(began, id, admission.Aborted, false)
		return call.Refused{Reason: failure.Deadline}
	}
	if !c.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	left := deadline.Sub(began)
	ctx, cancel := context.WithTimeout(ctx, left+responseGrace)
	defer cancel()
	out := *r
	out.Header = maps.Clone(r.Header)
	httpconn.StripHopHeaders(out.Header)
	s.dialect.Outgoing(out.Header, c.WithRemaining(left))
	reuse := httpconn.Reuse{
		Retry: c.Idempotent, Separate: c.SameTarget, MaxIdleTime: connreuse.MaxIdleTime(c.Idempotent),
		FinishTime: func() time.Duration { return s.finishTime(began, c) },
	}
	s.sends.Inc()
	occupied := s.recordStart(began, id, c, deadline)
	reuse.OnSend = func() { s.crashes.start(clock.Now(), id, f) }
	resp, err := s.pool.Do(ctx, &out, reuse)
	now := clock.Now()
	s.recordEnd(began, now, id, c, resp != nil || ctx.Err() != nil)
	if resp != nil && resp.Status < http.StatusMultipleChoices {
		s.recordKnee(now, began, c, occupied)
	}
	lost := err != nil && ctx.Err() == nil && !errors.Is(err, httpconn.ErrNotSent)
	s.crashes.end(now, id, lost)
	if lost {
		s.checkCrash(now)
	}
	s.duration.Update(now.Sub(began).Seconds())
	outcome := s.reserveRetry(c, s.classify(ctx, began, now, id, c, resp, err))
	if _, answered := outcome.(call.Answered); answered {
		s.clearSuspect(now, f)
	} else {
		s.losses.Inc()
		s.log.WithFields(logrus.Fields{
			"request": c.ID, "route": c.Route, "target": c.Instance, "held_ms": now.Sub(began).Milliseconds(),
			"outcome": call.Describe(outcome), "retry": c.Retry, "print": f.fingerprint(),
		}).Info("call did not complete on the target")
	}
	return outcome
}

// finishTime returns how long a cancelled call goes on, so that its connection is kept.
func (s *Service) finishTime(began time.Time, c call.Call) time.Duration {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := time.Duration(s.serviceTimes.Estimate(now, c.Route) * float64(time.Second))
	return connreuse.FinishTime(expected, now.Sub(began))
}

// classify turns the target's response or the transport error into an outcome.
func (s *Service) classify(ctx context.Context, began, now time.Time, id uint64, c call.Call, resp *httpconn.Response, err error) call.Outcome {
	switch {
	case errors.Is(err, httpconn.ErrNotSent):
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.recordDown(now)
		}
		s.release(now, id, admission.Aborted, true)
		return call.Refused{Reason: failure.NotReady, RetryAfter: ejectionTime}
	case err != nil && ctx.Err() != nil:
		s.release(now, id, admission.Aborted, errors.Is(ctx.Err(), context.DeadlineExceeded))
		return call.Lost{Reason: failure.Deadline, Err: err}
	case err != nil:
		s.release(now, id, admission.Aborted, true)
		return call.Lost{Reason: failure.Lost, Err: err, Crash: s.crashes.crashOf(began)}
	}
	reply := s.dialect.ParseReply(resp.Status, resp.Header)
	s.recordLimit(now, began, c, reply.Limit)
	s.recordPace(now, c, reply.Pace)
	if reply.Leaving {
		left := func(t lifecycle.Target) (lifecycle.Target, bool) { return t.WithLeaving(now, c.Instance, c.Born) }
		if s.update(now, left) {
			go s.keepAnsweredLeave(lifecycle.Leave{ID: c.Instance, Born: c.Born})
		}
	}
	s.recordResult(reply.NotRun)
	if reply.NotRun || reply.WrongTarget {
		s.release(now, id, admission.Rejected, true)
		return call.Refused{Reason: failure.Overload, RetryAfter: unavailableRetryAfter, ByTarget: true}
	}
	failed := retry.TargetFailed(resp.Status)
	inner := failed && s.innerFailedSince(began)
	// A failure caused by an inner call does not count against the target.
	s.release(now, id, admission.Answered, failed && !inner)
	return call.Answered{Response: resp, InnerFailed: inner}
}

// recordDown records that the target's port refuses connections. When it takes them again,
// the target may be cold.
func (s *Service) recordDown(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejectedUntil = now.Add(ejectionTime)
	s.doubtWarmth(now)
}

// keepAnsweredLeave keeps a leave that a target has said in an answer, which nobody waits
// for.
func (s *Service) keepAnsweredLeave(l lifecycle.Leave) {
	ctx, cancel := context.WithTimeout(context.Background(), answeredLeaveTimeout)
	defer cancel()
	if err := s.keepLeave(ctx, l); err != nil {
		s.log.WithError(err).WithField("target", l.ID).Warn("leave said in an answer not kept yet")
	}
}

// reserveRetry sets RetryGranted in the outcome of a failed call that may be retried, if
// the retry budget allows another attempt.
func (s *Service) reserveRetry(c call.Call, o call.Outcome) call.Outcome {
	switch o := o.(type) {
	case call.Answered:
		if retry.Allowed(retry.Answer{Status: o.Response.Status, InnerFailed: o.InnerFailed}, c.Idempotent) {
			o.RetryGranted = s.takeRetry(c)
		}
		return o
	case call.Refused:
		if o.ByTarget {
			o.RetryGranted = s.takeRetry(c)
		}
		return o
	case call.Lost:
		if c.Idempotent && o.Reason != failure.Deadline {
			o.RetryGranted = s.takeRetry(c)
		}
		return o
	}
	return o
}

func (s *Service) recordResult(rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rationing.RecordResult(rejected)
}

func (s *Service) takeRetry(c call.Call) call.RetryGranted {
	if c.Last {
		return false
	}
	targetCount := s.targetCount(c.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return call.RetryGranted(s.allowRetry(clock.Now(), c, targetCount))
}

func (s *Service) release(now time.Time, id uint64, result admission.Result, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes, healthChanged := s.overload.Release(now, id, result, failed)
	s.notifyWaiting(changes)
	if healthChanged {
		s.log.WithField("failing", s.overload.Failing()).Warn("target health changed")
		t := s.target
		go s.onChange(t)
	}
}

// recordStart adds a call to the running ones and returns their number.
func (s *Service) recordStart(now time.Time, id uint64, c call.Call, deadline time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.Retry {
		s.retries.RecordFirst(now, c.Service, c.RetryFraction)
		s.rationing.RecordFirst(rootScore(c))
	}
	s.overload.RecordRun(now, c.Route)
	s.running++
	s.retrySum += c.RetryFraction
	s.serviceTimes.Start(now, c.Route)
	s.runningCalls.Start(now, id, correlation.Call{ID: c.ID, Route: c.Route, Root: rootScore(c), RootCertain: c.RootCertain || c.Depth <= 1, Deadline: deadline})
	return s.running
}

// rootScore returns the score of the caller's request that a call belongs to.
func rootScore(c call.Call) priority.Score {
	if c.Depth > 1 {
		return c.RootScore
	}
	return c.Score
}

// recordEnd removes a call from the running ones. If counts is false, its duration
// says nothing about the target's speed and is left out of the estimate.
func (s *Service) recordEnd(began, now time.Time, id uint64, c call.Call, counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.retrySum -= c.RetryFraction
	s.runningCalls.End(now, id)
	s.serviceTimes.End(began, now, c.Route, counts)
}
