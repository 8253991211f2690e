// Package inbound is the serving side of a node: it admits calls to the node's own
// target and sends them there. All work for the target passes through it.
package inbound

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/departure"
	"chestnutshed.example/chestnutshed/internal/fleet/evacuation"
	"chestnutshed.example/chestnutshed/internal/fleet/quarantine"
	"chestnutshed.example/chestnutshed/internal/fleet/rejection"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/coldstart"
	"chestnutshed.example/chestnutshed/internal/policy/connreuse"
	"chestnutshed.example/chestnutshed/internal/policy/correlation"
	"chestnutshed.example/chestnutshed/internal/policy/cutoff"
	"chestnutshed.example/chestnutshed/internal/policy/intake"
	"chestnutshed.example/chestnutshed/internal/policy/knee"
	"chestnutshed.example/chestnutshed/internal/policy/latency"
	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"chestnutshed.example/chestnutshed/internal/policy/overload"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/ratelimit"
	"chestnutshed.example/chestnutshed/internal/policy/rationing"
	"chestnutshed.example/chestnutshed/internal/policy/retrybudget"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Name is the name of the service in the kernel and in logs.
const Name = "guard"

const (
	// dialTimeout bounds dialling the target, which is on the same VM.
	dialTimeout = 500 * time.Millisecond
	// maxResponse is the largest response accepted from the target, in bytes.
	maxResponse = 32 << 20
	// responseGrace is how long past the deadline to wait for the response that the
	// target itself sends when the deadline expires.
	responseGrace = 40 * time.Millisecond
	// ejectionTime is how long a target whose port refused a connection gets no calls.
	ejectionTime = 300 * time.Millisecond
	// For syncWindow after its start, the node checks every syncInterval for a leave
	// that the target announced to an earlier process of the node. Heartbeats, which
	// carry it, are at most seconds late.
	syncInterval = 25 * time.Millisecond
	syncWindow   = time.Minute
	// answeredLeaveTimeout is how long a leave that the target said in an answer may take
	// to be kept before that is logged.
	answeredLeaveTimeout = 2 * time.Second
	// zoneInterval is the time between checks of the state of the availability zone.
	zoneInterval = 50 * time.Millisecond
	// connectionLogInterval is the time between log lines on connections to the target.
	connectionLogInterval = 10 * time.Second
	// rationingInterval is the time between updates of which calls may be retried.
	rationingInterval = 100 * time.Millisecond
	// unavailableRetryAfter is the Retry-After for calls to a target that is
	// leaving, not ready or replaced, or that rejected the call.
	unavailableRetryAfter = 100 * time.Millisecond
)

// ChangeFunc is called with the new state when the target changes.
type ChangeFunc func(lifecycle.Target)

// Service admits calls to one target.
type Service struct {
	dialect  call.Dialect
	log      *logrus.Entry
	pool     *httpconn.Pool
	onChange ChangeFunc

	mu       sync.Mutex
	overload *overload.Controller
	target   lifecycle.Target
	waiting  map[uint64]chan decision
	// lastInnerFailure is when a call made by the target last failed.
	lastInnerFailure time.Time
	retries          *retrybudget.Budget
	rationing        *rationing.Controller
	rejections       *rejection.Service
	// rationedAt is when updateRationing last ran. Only its goroutine uses it.
	rationedAt  time.Time
	targetCount func(service string) int
	downstream  func(now time.Time, service, route string) []balancer.Downstream
	// running is the number of calls running on the target. retrySum is the sum of
	// their retry fractions: 1 for a retry, and the inherited fraction for a first
	// attempt.
	running, retrySum float64
	serviceTimes      *latency.Estimator
	runningCalls      *correlation.Tracker
	rate              namedRate
	pace              targetPace
	// knee finds the number of concurrent calls above which the target does less work.
	// bound is the fraction of the slots that is used because of it.
	knee  *knee.Finder
	bound float64
	// ejectedUntil is until when the target gets no calls, since its port refused
	// connections.
	ejectedUntil time.Time
	crashes      *crashDetector
	quarantine   *quarantine.Service
	// suspectSlot holds a token while a suspect of a crash runs, so that another crash
	// can be attributed to it.
	suspectSlot chan struct{}
	draining    bool
	// zone is the state of the target's availability zone, as last returned by ownZone.
	zone       evacuation.Status
	ownZone    func(now time.Time) evacuation.Status
	coldBound  func(service string) (coldstart.Bound, bool)
	startedAt  time.Time
	backlogged func() bool
	synced     func(now time.Time) bool
	hasLeft    func(instance string, born int64) bool
	departures *departure.Service
	health     *healthCheck
	lastID     atomic.Uint64

	sends, refusals, losses, crashCount *metrics.Counter
	duration                            *metrics.Histogram
}

// decision is the admission decision on a waiting call. The reason is set if the
// call was not started.
type decision struct {
	started bool
	reason  failure.Reason
}

// Options are the settings and dependencies of the service.
type Options struct {
	// Address of the target, IP:port.
	Address string
	// Retries is the retry budget for each service, over all its targets.
	Retries retrybudget.Limits
	// TargetCount returns the number of targets of a service.
	TargetCount func(service string) int
	// Downstream returns what calls on a route to a service meet at the nodes of that
	// service and of the services it calls.
	Downstream func(now time.Time, service, route string) []balancer.Downstream
	// Backlogged reports whether responses that wait for slow readers take too much
	// memory for new calls.
	Backlogged func() bool
	// Synced reports whether this process has had time to learn what earlier
	// processes of the node recorded. HasLeft reports whether the target announced
	// its leave to one of them.
	Synced  func(now time.Time) bool
	HasLeft func(instance string, born int64) bool
	// HealthPath returns the path of the health check of a service's targets; "" if there
	// is none or it is not known.
	HealthPath func(service string) string
	// Departures keeps the leaves of the target over restarts.
	Departures *departure.Service
	// Quarantine knows the requests that crash targets.
	Quarantine *quarantine.Service
	// Rejections knows which services reject calls at their targets.
	Rejections *rejection.Service
	// ResponseBudget bounds the memory used by large responses.
	ResponseBudget *httpconn.Budget
	// OwnZone returns the state of the target's availability zone. The target gets work
	// only while it is open.
	OwnZone func(now time.Time) evacuation.Status
	// ColdBound returns what targets of a service take while they are cold, and false
	// while that is not known.
	ColdBound func(service string) (coldstart.Bound, bool)
	// OnChange is called when the target changes.
	OnChange ChangeFunc
}

// New returns the service for one target.
func New(o Options, d call.Dialect, set *metrics.Set, log *logrus.Entry) *Service {
	s := &Service{
		dialect: d, log: log, onChange: o.OnChange, retries: retrybudget.New(o.Retries), rationing: rationing.New(), rejections: o.Rejections, targetCount: o.TargetCount, downstream: o.Downstream,
		ownZone: o.OwnZone, coldBound: o.ColdBound, zone: o.OwnZone(clock.Now()),
		knee: knee.New(), bound: 1, startedAt: clock.Now(), backlogged: o.Backlogged, synced: o.Synced, hasLeft: o.HasLeft, departures: o.Departures, health: newHealthCheck(o.Address, o.HealthPath), target: lifecycle.AwaitingHistory(),
		overload: overload.New(admission.Sidecar()), waiting: map[uint64]chan decision{}, serviceTimes: latency.New(clock.Now()),
		runningCalls: correlation.New(clock.Now()), crashes: newCrashDetector(o.Address),
		quarantine: o.Quarantine, suspectSlot: make(chan struct{}, 1),
		sends:      set.NewCounter("target_calls_total"),
		refusals:   set.NewCounter("target_refusals_total"),
		losses:     set.NewCounter("target_losses_total"),
		crashCount: set.NewCounter("target_crashes_total"),
		duration:   set.NewHistogram("target_seconds"),
	}
	s.pool = httpconn.NewPool(o.Address, httpconn.Options{
		DialTimeout: dialTimeout, MaxIdle: connreuse.MaxIdle(0), MaxBody: maxResponse, Budget: o.ResponseBudget,
		Match: func(r *httpconn.Request, h http.Header) httpconn.Match {
			switch d.ParseReply(http.StatusOK, h).ID {
			case "":
				return httpconn.NoRequest
			case d.ParseRequest(r.Header).ID:
				return httpconn.Matched
			}
			return httpconn.OtherRequest
		},
		Refused: func(r *httpconn.Response) bool {
			reply := d.ParseReply(r.Status, r.Header)
			return reply.NotRun || reply.WrongTarget
		},
		ID: func(r *httpconn.Request) string { return d.ParseRequest(r.Header).ID },
		OnOpen: func(reason connreuse.Reason) {
			set.GetOrCreateCounter("target_connections_total{reason=\"" + string(reason) + "\"}").Inc()
		},
	})
	set.NewGauge("target_cold", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.overload.Cold().Active(clock.Now()) {
			return 1
		}
		return 0
	})
	set.NewGauge("target_pace", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.pace.At(clock.Now())
	})
	set.NewGauge("target_resends_total", func() float64 { return float64(s.pool.Resends()) })
	return s
}

// Announce applies an announcement of the target. The error of one that says that the
// target leaves means that the leave is not kept yet.
func (s *Service) Announce(ctx context.Context, now time.Time, a lifecycle.Announcement) error {
	leaves := a.Leaving
	if !leaves && s.hasLeft(a.ID, a.Born) {
		a.Leaving = true
	}
	s.update(now, func(t lifecycle.Target) (lifecycle.Target, bool) { return t.WithAnnouncement(now, a) })
	if !leaves {
		return nil
	}
	return s.keepLeave(ctx, lifecycle.Leave{ID: a.ID, Born: a.Born})
}

// Deregister marks the target as leaving, after which it gets no new calls. An error means
// that the leave is not kept yet.
func (s *Service) Deregister(ctx context.Context, now time.Time, l lifecycle.Leave) error {
	s.update(now, func(t lifecycle.Target) (lifecycle.Target, bool) { return t.WithLeave(now, l) })
	return s.keepLeave(ctx, l)
}

// keepLeave keeps a leave for the node's next processes.
func (s *Service) keepLeave(ctx context.Context, l lifecycle.Leave) error {
	if err := s.departures.Keep(ctx, time.Now(), l); err != nil {
		return fmt.Errorf("keep leave of target %s: %w", l.ID, err)
	}
	return nil
}

// applyHistory tells the target's state which leaves earlier processes of the node
// acknowledged, once they are known. It also stops work for a target whose leave became
// known only after its announcement was applied.
func (s *Service) applyHistory(now time.Time) {
	target := s.Target()
	switch {
	case target.AwaitsHistory() && s.synced(now):
		s.learnHistory(now, target)
		return
	case target.AwaitsHistory():
		s.confirm(now, target)
	}
	if now.Sub(s.startedAt) <= syncWindow && target.State == lifecycle.Ready && s.hasLeft(target.Last.ID, target.Last.Born) {
		s.update(now, func(t lifecycle.Target) (lifecycle.Target, bool) {
			return t.WithLeave(now, lifecycle.Leave{ID: target.Last.ID, Born: target.Last.Born})
		})
	}
}

// learnHistory applies the leaves that earlier processes kept and those that peers know.
func (s *Service) learnHistory(now time.Time, target lifecycle.Target) {
	left, known := s.departures.Left()
	if !known {
		s.confirm(now, target)
		return
	}
	if a, ok := target.Pending(); ok && s.hasLeft(a.ID, a.Born) {
		left = append(slices.Clone(left), lifecycle.Leave{ID: a.ID, Born: a.Born})
	}
	s.update(now, func(t lifecycle.Target) (lifecycle.Target, bool) { return t.WithHistory(now, left) })
}

// update changes the target's state and reports whether it changed.
func (s *Service) update(now time.Time, f func(lifecycle.Target) (lifecycle.Target, bool)) bool {
	s.mu.Lock()
	before := s.target
	next, changed := f(before)
	s.target = next
	s.recordWarmth(now, before, next)
	if changed {
		if !next.Is(before.Last.ID, before.Last.Born) {
			s.overload.ResetHealth()
			s.overload.SetRate(now, ratelimit.Limit{})
			s.rate = namedRate{}
			s.pace = targetPace{}
			s.knee, s.bound = knee.New(), 1
			s.ejectedUntil = time.Time{}
			s.serviceTimes.Reset()
		}
		s.notifyWaiting(s.overload.SetSlots(now, s.slots()))
		s.pool.SetMaxIdle(connreuse.MaxIdle(next.Slots()))
	}
	s.mu.Unlock()
	if !changed {
		return false
	}
	s.log.WithFields(logrus.Fields{
		"target": next.Last.ID, "born": next.Last.Born, "sequence": next.Last.Sequence,
		"was": before.State.String(), "state": next.State.String(), "slots": next.Slots(),
	}).Info("target state changed")
	s.onChange(next)
	return true
}

// slots returns the number of usable slots: none once the node drains or unless its
// availability zone is open, and fewer than the target announced if it slows near full.
func (s *Service) slots() int {
	if s.draining || s.zone != evacuation.Open {
		return 0
	}
	return int(math.Ceil(float64(s.target.Slots()) * s.bound))
}

// Target returns the last known state of the target.
func (s *Service) Target() lifecycle.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target
}

// notifyWaiting passes admission decisions to waiting calls. The caller holds mu.
func (s *Service) notifyWaiting(m admission.Changes) {
	for _, id := range m.Started {
		s.notify(id, decision{started: true})
	}
	for _, l := range m.Dropped {
		s.notify(l.ID, decision{reason: l.Reason})
	}
}

func (s *Service) notify(id uint64, d decision) {
	if ch, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		ch <- d
	}
}

// Load returns the target's load for a call, as reported to its entry node.
func (s *Service) Load(c call.Call) call.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	cut := s.overload.Cutoff()
	if s.target.State != lifecycle.Ready || s.draining || s.zone != evacuation.Open || now.Before(s.ejectedUntil) {
		cut = priority.AdmitNone
	}
	load := call.Load{
		Load: s.overload.Load(now) * s.pace.At(now), Cutoff: cut, TargetRate: s.overload.Rate().Named(),
		TargetLeft: s.target.HasLeft() && s.target.Is(c.Instance, c.Born), ServiceTime: s.serviceTimes.Estimate(now, c.Route) / s.pace.Mean(),
		Downstream: s.overload.Downstream(now, c.Route, s.downstreamAt(now)),
	}
	if s.pace.Known() {
		load.Pace = s.pace.At(now)
	}
	return load
}

// downstreamAt returns a function that looks up what calls made by the target meet.
func (s *Service) downstreamAt(now time.Time) overload.DownstreamFunc {
	return func(c overload.Child) []balancer.Downstream { return s.downstream(now, c.Service, c.Route) }
}

// RegisterInnerCall records a call made by the target and returns the running call
// that most likely made it. It returns false if there is none.
func (s *Service) RegisterInnerCall(now time.Time, child overload.Child, deadline time.Time) (correlation.Parent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parent, ok := s.runningCalls.FindParent(now, child.Route, deadline, rand.Float64())
	if parent.RouteLikely {
		s.overload.RecordInnerCall(now, parent.Route, child)
	}
	return parent, ok
}

// EndInnerCall records that a call made by the target has ended.
func (s *Service) EndInnerCall(now time.Time, parent correlation.Parent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningCalls.EndInner(now, parent.Serial)
}

// innerFailedSince reports whether a call made by the target failed since t.
func (s *Service) innerFailedSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastInnerFailure.Before(t)
}

// Run admits one call and sends it to the target. The context ends when the caller
// disconnects. A call that is not idempotent still runs to its end once it has been
// sent.
func (s *Service) Run(ctx context.Context, now time.Time, c call.Call, r *httpconn.Request) call.Outcome {
	id := s.lastID.Add(1)
	deadline := now.Add(c.Remaining())
	s.adoptLimit(now, c)
	if r.NoRoom != nil {
		return s.refuse(now, c, call.Refused{Reason: failure.Backlog, RetryAfter: max(r.NoRoom.After, unavailableRetryAfter)})
	}
	f, release, refused := s.screen(ctx, now, flight{call: c, request: r})
	defer release()
	if refused == nil {
		refused = s.admit(ctx, clock.Now(), id, f.call, deadline)
	}
	if refused != nil {
		return s.refuse(now, c, *refused)
	}
	return s.send(ctx, id, f, deadline)
}

// refuse counts a refusal and logs why the call got no slot, with the admission state.
func (s *Service) refuse(now time.Time, c call.Call, r call.Refused) call.Outcome {
	s.refusals.Inc()
	s.mu.Lock()
	g := s.overload.State().Admission
	s.mu.Unlock()
	s.log.WithFields(logrus.Fields{
		"request": c.ID, "route": c.Route, "reason": r.Reason, "score": float64(c.Score), "depth": c.Depth,
		"waited_ms": clock.Now().Sub(now).Milliseconds(), "after_ms": r.RetryAfter.Milliseconds(),
		"running": g.Running, "waiting": g.Waiting, "limit": g.Limit, "cut": g.Cutoff,
	}).Info("call refused before it was sent to the target")
	return r
}

// admit acquires a slot for a call. It returns nil if there is one, and otherwise
// the refusal.
func (s *Service) admit(ctx context.Context, now time.Time, id uint64, c call.Call, deadline time.Time) *call.Refused {
	targetCount := 0
	if c.Retry && !c.RetryGranted {
		targetCount = s.targetCount(c.Service)
	}
	s.mu.Lock()
	refused := s.checkTarget(now, c)
	if refused == nil {
		refused = s.checkOpen()
	}
	if refused != nil {
		s.mu.Unlock()
		return refused
	}
	if c.Retry && !c.RetryGranted && !s.allowRetry(now, c, targetCount) {
		s.mu.Unlock()
		return &call.Refused{Reason: failure.RetriesExhausted}
	}
	verdict, changes := s.overload.Offer(now, admission.Request{
		ID: id, Route: c.Route, Score: c.Score, RootScore: c.RootScore, RootCertain: c.RootCertain, Organisation: c.Organisation,
		Share: 1, Depth: c.Depth, Deadline: deadline,
	}, c.Forced, s.downstreamAt(now))
	var ch chan decision
	if _, waits := verdict.(admission.Wait); waits {
		ch = make(chan decision, 1)
		s.waiting[id] = ch
	}
	s.notifyWaiting(changes)
	s.mu.Unlock()
	switch v := verdict.(type) {
	case admission.Refuse:
		refused = &call.Refused{Reason: v.Reason, RetryAfter: v.Backoff}
	case admission.Wait:
		refused = s.await(ctx, id, ch, c.QueueTimeout())
	}
	if refused != nil && c.Retry && !c.RetryGranted {
		s.mu.Lock()
		s.retries.CancelRetry(clock.Now(), c.Service)
		s.mu.Unlock()
	}
	return refused
}

// allowRetry reports whether a call may be retried, and counts the retry if it may. The
// caller holds mu.
func (s *Service) allowRetry(now time.Time, c call.Call, targets int) bool {
	if !s.rationing.Allows(rootScore(c), c.Depth > 1) || !s.retries.AllowRetry(now, c.Service, targets, origin(c)) {
		return false
	}
	s.rationing.RecordRetry()
	return true
}

// origin reports whether a caller or a target made the request.
func origin(c call.Call) retrybudget.Origin {
	if c.Depth > 1 {
		return retrybudget.Target
	}
	return retrybudget.Caller
}

// checkTarget refuses a call if the target is not ready or not the incarnation that
// the call is meant for. The caller holds mu.
func (s *Service) checkTarget(now time.Time, c call.Call) *call.Refused {
	switch {
	case s.draining:
		return &call.Refused{Reason: failure.Leaving, RetryAfter: unavailableRetryAfter}
	case s.backlogged():
		return &call.Refused{Reason: failure.Backlog, RetryAfter: unavailableRetryAfter}
	case s.target.State != lifecycle.Ready:
		return &call.Refused{Reason: failure.NotReady, RetryAfter: unavailableRetryAfter}
	case s.target.Last.Service != c.Service, !s.target.Is(c.Instance, c.Born):
		return &call.Refused{Reason: failure.NoTarget, RetryAfter: unavailableRetryAfter}
	case now.Before(s.ejectedUntil):
		return &call.Refused{Reason: failure.NotReady, RetryAfter: ejectionTime}
	}
	return nil
}

func (s *Service) await(ctx context.Context, id uint64, ch chan decision, maxWait time.Duration) *call.Refused {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	reason := failure.Overload
	select {
	case d := <-ch:
		return s.refusal(d)
	case <-timer.C:
	case <-ctx.Done():
		reason = failure.Deadline
	}
	s.mu.Lock()
	waited := s.overload.Cancel(id)
	delete(s.waiting, id)
	after := s.overload.RetryAfter()
	s.mu.Unlock()
	if !waited {
		// The decision came before the cancellation.
		return s.refusal(<-ch)
	}
	return &call.Refused{Reason: reason, RetryAfter: after}
}

func (s *Service) refusal(d decision) *call.Refused {
	if d.started {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &call.Refused{Reason: d.reason, RetryAfter: s.overload.RetryAfter()}
}

// RecordInnerFailure records that a call made by the target failed.
func (s *Service) RecordInnerFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastInnerFailure = now
}

// RetryFraction returns the mean retry fraction of the calls running on the target,
// between 0 and 1. Calls made by the target inherit it.
func (s *Service) RetryFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < 1 {
		return 0
	}
	return s.retrySum / s.running
}

// Failing reports whether the target fails most requests.
func (s *Service) Failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overload.Failing()
}

// InFlight returns the number of calls running on the target.
func (s *Service) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.overload.State().Admission.Running
}

// Drain refuses new calls. Running calls continue.
func (s *Service) Drain(now time.Time) {
	s.mu.Lock()
	s.draining = true
	s.notifyWaiting(s.overload.SetSlots(now, 0))
	s.mu.Unlock()
}

// bodyWaitDivisor divides the time for which a call may wait for a slot to give that for which
// its body may wait for room before.
const bodyWaitDivisor = 2

// DescribeBody returns whose body a call from another node has. It reports false for one that
// is no call.
func (s *Service) DescribeBody(_ time.Time, r *httpconn.Request) (intake.Body, bool) {
	c, err := call.Peek(r.Header)
	return intake.Body{Organisation: c.Organisation, Class: c.Score.Class(), Until: r.Received.Add(c.QueueTimeout() / bodyWaitDivisor)}, err == nil
}

// Handle runs a call from another node.
func (s *Service) Handle(ctx context.Context, r *httpconn.Request) *httpconn.Response {
	c, err := call.Take(r.Header)
	if err != nil {
		s.log.WithError(err).Warn("could not decode a call from a peer")
		return &httpconn.Response{Status: http.StatusBadRequest}
	}
	outcome := s.Run(ctx, r.Received, c, r)
	if ctx.Err() != nil {
		return nil
	}
	load := s.Load(c)
	load.Held = clock.Now().Sub(r.Received).Seconds()
	resp, err := call.Encode(outcome, load)
	if err != nil {
		s.log.WithError(err).Error("could not encode an outcome for a peer")
		return nil
	}
	return resp
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every(cutoff.Tick, func(context.Context) {
		now := clock.Now()
		s.mu.Lock()
		s.applyKnee(now)
		s.notifyWaiting(s.overload.Tick(now))
		s.mu.Unlock()
		s.updateRationing(now)
	})
	k.Every(zoneInterval, s.watchZone)
	k.Every(syncInterval, func(context.Context) { s.applyHistory(clock.Now()) })
	logged := uint64(0)
	k.Every(connectionLogInterval, func(context.Context) { logged = s.logConnections(logged) })
	return nil
}

// logConnections logs why connections to the target were opened so far, if more than logged
// were. It returns their number.
func (s *Service) logConnections(logged uint64) uint64 {
	dials := s.pool.Dials()
	if dials > logged {
		s.log.WithFields(logrus.Fields{"connections": dials, "opened": s.pool.Opened()}).Info("connections to the target opened")
	}
	return dials
}

// updateRationing decides which calls may be retried from what this target and the others
// of its service reject.
func (s *Service) updateRationing(now time.Time) {
	if now.Sub(s.rationedAt) < rationingInterval {
		return
	}
	s.rationedAt = now
	service := s.Target().Last.Service
	targets := s.targetCount(service)
	s.mu.Lock()
	available, limit := s.retries.Available(now, service, targets)
	own := rejection.Report{Sample: s.rationing.Measure(now, available, limit), Cutoff: s.rationing.Cutoff()}
	s.mu.Unlock()
	mean := s.rejections.Measured(now, service, own)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rationing.Adjust(mean.Sample)
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
		Target   lifecycle.Announcement `json:"target"`
		State    string                 `json:"state"`
		Overload overload.State         `json:"intake"`
		Dials    uint64                 `json:"connections"`
		// Cold is set while the requests are bounded because the target is cold or was
		// until lately. Zone is the state of its availability zone.
		Cold  bool    `json:"cold"`
		Zone  string  `json:"zone"`
		Pace  float64 `json:"pace"`
		Bound float64 `json:"bound"`
		// Opened counts the connections to the target by the reason why they were opened.
		Opened map[connreuse.Reason]uint64 `json:"opened"`
	}{s.target.Last, s.target.State.String(), s.overload.State(), s.pool.Dials(), s.overload.Cold().Active(clock.Now()), s.zone.String(), s.pace.Mean(), s.bound, s.pool.Opened()}
}
