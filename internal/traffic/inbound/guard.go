// Package guard is the serving node's side of a call: it admits calls to the
// node's own target, which gets all its work through here.
package inbound

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/correlation"
	"chestnutshed.example/chestnutshed/internal/policy/cutoff"
	"chestnutshed.example/chestnutshed/internal/policy/latency"
	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"chestnutshed.example/chestnutshed/internal/policy/overload"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/retrybudget"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Name of the service.
const Name = "guard"

const (
	// dialTimeout bounds a connection to the target on the same VM.
	dialTimeout = 500 * time.Millisecond
	// maxAnswer bounds a target's answer, in bytes.
	maxAnswer = 32 << 20
	// maxIdle bounds the idle connections to the target.
	maxIdle = 128
	// freshFor is how long an idle connection is used for requests that can't
	// be sent again; an older one may be closed while they are on their way.
	freshFor = 700 * time.Millisecond
	// answerGrace is how long a target's own answer at its deadline is awaited.
	answerGrace = 40 * time.Millisecond
	// downFor is how long a target whose port refused is left alone.
	downFor = 300 * time.Millisecond
	// releaseEvery is the time between looks for what became known of the processes
	// before, and releaseFor how long after its start a process looks: heartbeats are
	// seconds late at most.
	releaseEvery = 25 * time.Millisecond
	releaseFor   = time.Minute
	// leaveRetry is when a caller refused for a target that leaves may return.
	leaveRetry = 100 * time.Millisecond
)

// ChangeFunc hears of changes of the target.
type ChangeFunc func(lifecycle.Target)

// Service admits calls to one target.
type Service struct {
	dialect call.Dialect
	log     *logrus.Entry
	pool    *httpconn.Pool
	heard   ChangeFunc

	mu      sync.Mutex
	intake  *overload.Controller
	target  lifecycle.Target
	waiting map[uint64]chan step
	// innerFailed is when a call of the target last failed.
	innerFailed time.Time
	extra       *retrybudget.Budget
	targets     func(service string) int
	below       func(now time.Time, service, route string) []balancer.Downstream
	// running is the number of calls at the target, and repeats the sum of
	// their parts that are repeats.
	running, repeats float64
	times            *latency.Estimator
	calls            *correlation.Tracker
	downTil          time.Time
	closed           bool
	// held is the latest announcement that waits until the process has settled.
	held    *lifecycle.Announcement
	began   time.Time
	settled func(now time.Time) bool
	left    func(instance string, born int64) bool
	lastID  atomic.Uint64

	runs, refusals, losses *metrics.Counter
	took                   *metrics.Histogram
}

// step is what a waiting call hears.
type step struct {
	started bool
	reason  failure.Reason
}

// Options of the service.
type Options struct {
	// Address is the target's, IP:port.
	Address string
	// Retries bounds second sends to a service over all its targets.
	Retries retrybudget.Limits
	// TargetCount is the number of targets of a service.
	TargetCount func(service string) int
	// Downstream tells what calls on a route to a service meet at its nodes and further
	// down.
	Downstream func(now time.Time, service, route string) []balancer.Downstream
	// Synced reports whether this process has had the time to hear of the ones before
	// it, and Left whether a target said to one of them that it leaves.
	Synced  func(now time.Time) bool
	HasLeft func(instance string, born int64) bool
	// ResponseBudget bounds the memory of large answers.
	ResponseBudget *httpconn.Budget
	// OnChange hears of changes of the target.
	OnChange ChangeFunc
}

// New returns the service for a target.
func New(o Options, d call.Dialect, set *metrics.Set, log *logrus.Entry) *Service {
	s := &Service{
		dialect: d, log: log, heard: o.OnChange, extra: retrybudget.New(o.Retries), targets: o.TargetCount, below: o.Downstream,
		began: clock.Now(), settled: o.Synced, left: o.HasLeft,
		intake: overload.New(admission.Sidecar()), waiting: map[uint64]chan step{}, times: latency.New(clock.Now()),
		calls:    correlation.New(clock.Now()),
		runs:     set.NewCounter("target_calls_total"),
		refusals: set.NewCounter("target_refusals_total"),
		losses:   set.NewCounter("target_losses_total"),
		took:     set.NewHistogram("target_seconds"),
	}
	s.pool = httpconn.NewPool(o.Address, httpconn.Options{
		DialTimeout: dialTimeout, MaxIdle: maxIdle, MaxBody: maxAnswer, Budget: o.ResponseBudget,
		Match: func(r *httpconn.Request, h http.Header) bool {
			id := d.Reply(http.StatusOK, h).ID
			return id == "" || id == d.Wish(r.Header).ID
		},
	})
	return s
}

// Announce takes an announcement of the target. A process that has just started
// holds one of a target that takes work: it may come late, after a leave that an
// earlier process acknowledged.
func (s *Service) Announce(now time.Time, a lifecycle.Announcement) {
	if !a.Leaving && !s.settled(now) {
		s.mu.Lock()
		s.held = &a
		s.mu.Unlock()
		return
	}
	if !a.Leaving && s.left(a.ID, a.Born) {
		a.Leaving = true
	}
	s.change(now, func(t lifecycle.Target) (lifecycle.Target, bool) { return t.WithAnnouncement(now, a) })
}

// release takes the announcement that was held, once the process has settled, and
// ends the work of a target whose leave became known later.
func (s *Service) release(now time.Time) {
	if now.Sub(s.began) > releaseFor {
		return
	}
	s.mu.Lock()
	held, target := s.held, s.target
	s.mu.Unlock()
	if held != nil && s.settled(now) {
		s.mu.Lock()
		s.held = nil
		s.mu.Unlock()
		s.Announce(now, *held)
	}
	if target.State == lifecycle.Ready && s.left(target.Last.ID, target.Last.Born) {
		s.SignOff(now, lifecycle.Leave{ID: target.Last.ID, Born: target.Last.Born})
	}
}

// SignOff takes the end of the target's work.
func (s *Service) SignOff(now time.Time, l lifecycle.Leave) {
	s.change(now, func(t lifecycle.Target) (lifecycle.Target, bool) { return t.WithLeave(now, l) })
}

func (s *Service) change(now time.Time, f func(lifecycle.Target) (lifecycle.Target, bool)) {
	s.mu.Lock()
	before := s.target
	next, changed := f(before)
	s.target = next
	if changed {
		if !next.Is(before.Last.ID, before.Last.Born) {
			s.intake.ResetHealth()
			s.downTil = time.Time{}
			s.times.Reset()
		}
		s.signal(s.intake.SetSlots(now, s.slots()))
	}
	s.mu.Unlock()
	if !changed {
		return
	}
	s.log.WithFields(logrus.Fields{
		"target": next.Last.ID, "born": next.Last.Born, "sequence": next.Last.Sequence,
		"was": before.State.String(), "state": next.State.String(), "slots": next.Slots(),
	}).Info("target changed")
	s.heard(next)
}

// slots is what may be used of the target; nothing once the node stops.
func (s *Service) slots() int {
	if s.closed {
		return 0
	}
	return s.target.Slots()
}

// Target is what is known of the target.
func (s *Service) Target() lifecycle.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target
}

// signal tells waiting calls what became of them. The mutex is held.
func (s *Service) signal(m admission.Changes) {
	for _, id := range m.Started {
		s.tell(id, step{started: true})
	}
	for _, l := range m.Dropped {
		s.tell(l.ID, step{reason: l.Reason})
	}
}

func (s *Service) tell(id uint64, st step) {
	if ch, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		ch <- st
	}
}

// Load is what callers' nodes are told of the target.
func (s *Service) Load(route string) call.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	cut := s.intake.Cutoff()
	if s.target.State != lifecycle.Ready || s.closed || now.Before(s.downTil) {
		cut = priority.AdmitNone
	}
	return call.Load{
		Load: s.intake.Load(), Cutoff: cut, ServiceTime: s.times.Estimate(now, route),
		Downstream: s.intake.Downstream(now, route, s.down(now)),
	}
}

// down tells what calls of the target meet.
func (s *Service) down(now time.Time) overload.DownstreamFunc {
	return func(c overload.Child) []balancer.Downstream { return s.below(now, c.Service, c.Route) }
}

// RecordInnerCall notes a call that the target makes, and returns the running call that it
// belongs to. It returns false if there is none.
func (s *Service) RecordInnerCall(now time.Time, child overload.Child, until time.Time) (correlation.Parent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parent, ok := s.calls.FindParent(now, child.Route, until, rand.Float64())
	if parent.RouteLikely {
		s.intake.RecordInnerCall(now, parent.Route, child)
	}
	return parent, ok
}

// innerFailedSince reports whether a call of the target failed since a time.
func (s *Service) innerFailedSince(began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.innerFailed.Before(began)
}

// Run admits one call and runs it on the target. The context ends when the
// caller has gone; a call that can't be repeated goes on all the same once it
// has started.
func (s *Service) Run(ctx context.Context, now time.Time, c call.Call, r *httpconn.Request) call.Outcome {
	id := s.lastID.Add(1)
	until := now.Add(c.Remaining())
	if refused := s.admit(ctx, now, id, c, until); refused != nil {
		s.refusals.Inc()
		s.logRefusal(now, c, *refused)
		return *refused
	}
	return s.send(ctx, id, c, r, until)
}

// logRefusal writes why a call got no slot.
func (s *Service) logRefusal(now time.Time, c call.Call, r call.Refused) {
	s.mu.Lock()
	g := s.intake.State().Admission
	s.mu.Unlock()
	s.log.WithFields(logrus.Fields{
		"request": c.ID, "route": c.Route, "reason": r.Reason, "score": float64(c.Score), "depth": c.Depth,
		"waited_ms": clock.Now().Sub(now).Milliseconds(), "after_ms": r.RetryAfter.Milliseconds(),
		"running": g.Running, "waiting": g.Waiting, "limit": g.Limit, "cut": g.Cutoff,
	}).Info("call refused by its serving node")
}

// admit gets a slot for a call, or says why there is none.
func (s *Service) admit(ctx context.Context, now time.Time, id uint64, c call.Call, until time.Time) *call.Refused {
	targets := 0
	if c.Retry && !c.RetryGranted {
		targets = s.targets(c.Service)
	}
	s.mu.Lock()
	if refused := s.mismatch(now, c); refused != nil {
		s.mu.Unlock()
		return refused
	}
	if c.Retry && !c.RetryGranted && !s.extra.AllowRetry(c.Service, targets, origin(c)) {
		s.mu.Unlock()
		return &call.Refused{Reason: failure.RetriesExhausted}
	}
	verdict, moves := s.intake.Offer(now, admission.Request{
		ID: id, Route: c.Route, Score: c.Score, RootScore: c.RootScore, RootCertain: c.RootCertain, Organisation: c.Organisation,
		Share: 1, Depth: c.Depth, Deadline: until,
	}, c.Forced, s.down(now))
	var ch chan step
	if _, waits := verdict.(admission.Wait); waits {
		ch = make(chan step, 1)
		s.waiting[id] = ch
	}
	s.signal(moves)
	s.mu.Unlock()
	var refused *call.Refused
	switch v := verdict.(type) {
	case admission.Refuse:
		refused = &call.Refused{Reason: v.Reason, RetryAfter: v.Backoff}
	case admission.Wait:
		refused = s.await(ctx, id, ch, time.Duration(c.QueueTimeoutMS)*time.Millisecond)
	}
	if refused != nil && c.Retry && !c.RetryGranted {
		s.mu.Lock()
		s.extra.CancelRetry(c.Service)
		s.mu.Unlock()
	}
	return refused
}

// origin tells whether a caller or a target made the request.
func origin(c call.Call) retrybudget.Origin {
	if c.Depth > 1 {
		return retrybudget.Target
	}
	return retrybudget.Caller
}

// mismatch refuses a call that is not for the target as it is now. The mutex
// is held.
func (s *Service) mismatch(now time.Time, c call.Call) *call.Refused {
	switch {
	case s.closed:
		return &call.Refused{Reason: failure.Leaving, RetryAfter: leaveRetry}
	case s.target.State != lifecycle.Ready:
		return &call.Refused{Reason: failure.NotReady, RetryAfter: leaveRetry}
	case s.target.Last.Service != c.Service, !s.target.Is(c.Instance, c.Born):
		return &call.Refused{Reason: failure.NoTarget, RetryAfter: leaveRetry}
	case now.Before(s.downTil):
		return &call.Refused{Reason: failure.NotReady, RetryAfter: downFor}
	}
	return nil
}

func (s *Service) await(ctx context.Context, id uint64, ch chan step, patience time.Duration) *call.Refused {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	reason := failure.Overload
	select {
	case st := <-ch:
		return s.stepped(st)
	case <-timer.C:
	case <-ctx.Done():
		reason = failure.Deadline
	}
	s.mu.Lock()
	waited := s.intake.Cancel(id)
	delete(s.waiting, id)
	after := s.intake.RetryAfter()
	s.mu.Unlock()
	if !waited {
		// The verdict came meanwhile.
		return s.stepped(<-ch)
	}
	return &call.Refused{Reason: reason, RetryAfter: after}
}

func (s *Service) stepped(st step) *call.Refused {
	if st.started {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &call.Refused{Reason: st.reason, RetryAfter: s.intake.RetryAfter()}
}

// RecordInnerFailure notes that a call which the target made did not succeed.
func (s *Service) RecordInnerFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.innerFailed = now
}

// RetryFraction is the mean part that is a repeat of the calls running at the target,
// and so of the calls that it makes.
func (s *Service) RetryFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < 1 {
		return 0
	}
	return s.repeats / s.running
}

// Failing reports whether the target fails most requests.
func (s *Service) Failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.intake.Failing()
}

// Busy is the number of calls that run on the target.
func (s *Service) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.intake.State().Admission.Running
}

// Drain refuses new calls from now on; those that run end by themselves.
func (s *Service) Drain(now time.Time) {
	s.mu.Lock()
	s.closed = true
	s.signal(s.intake.SetSlots(now, 0))
	s.mu.Unlock()
}

// Handle answers a call of another node.
func (s *Service) Handle(ctx context.Context, r *httpconn.Request) *httpconn.Response {
	c, err := call.Take(r.Header)
	if err != nil {
		s.log.WithError(err).Warn("peer's call can't be read")
		return &httpconn.Response{Status: http.StatusBadRequest}
	}
	outcome := s.Run(ctx, r.Received, c, r)
	if ctx.Err() != nil {
		return nil
	}
	resp, err := call.Encode(outcome, s.Load(c.Route))
	if err != nil {
		s.log.WithError(err).Error("result can't be written")
		return nil
	}
	return resp
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every(cutoff.Tick, func(context.Context) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.intake.Tick(clock.Now())
	})
	k.Every(releaseEvery, func(context.Context) { s.release(clock.Now()) })
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.pool.CloseIdle()
	return nil
}

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Target lifecycle.Announcement `json:"target"`
		State  string                 `json:"state"`
		Intake overload.State         `json:"intake"`
		Dials  uint64                 `json:"connections"`
	}{s.target.Last, s.target.State.String(), s.intake.State(), s.pool.Dials()}
}
