// Package serve runs calls on the node's own target. All work for the target passes
// through it, so the number of slots in use is known exactly.
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/cutoff"
	"chestnutshed.example/chestnutshed/internal/policy/overload"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"chestnutshed.example/chestnutshed/internal/policy/retry"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"chestnutshed.example/chestnutshed/internal/traffic/peers"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Name is the name of the service in the kernel and in logs.
const Name = "serve"

// downstreamName is the kernel name of the service that implements Downstream.
const downstreamName = "sender"

// DownstreamSource reports the admission cutoffs for calls on a route to a service.
type DownstreamSource interface {
	Downstream(now time.Time, service, route string) []balancer.Downstream
}

// Service runs calls on the node's own target.
type Service struct {
	gossip     *gossip.Service
	poison     *Poison
	downstream DownstreamSource
	log        *logrus.Entry
	tokens     *tokens
	// suspectSlot holds a token while a suspect of a crash runs. Only one runs at a
	// time, so that another crash can be attributed to it.
	suspectSlot chan struct{}

	mu            sync.Mutex
	overload      *overload.Controller
	target        *client
	lastAnnounced time.Time
	nextID        uint64
	waiting       map[uint64]chan *failure.Refusal
	running       map[uint64]poison.Run
	draining      bool

	succeeded *metrics.Counter
	failed    *metrics.Counter
	latency   *metrics.Summary
	set       *metrics.Set
}

// New returns the service without a target.
func New(g *gossip.Service, p *Poison, set *metrics.Set, log *logrus.Entry) *Service {
	return &Service{
		gossip:      g,
		poison:      p,
		log:         log,
		tokens:      newTokens(),
		suspectSlot: make(chan struct{}, 1),
		overload:    overload.New(admission.Standard()),
		waiting:     map[uint64]chan *failure.Refusal{},
		running:     map[uint64]poison.Run{},
		succeeded:   set.NewCounter("chestnutshed_target_answers_total"),
		failed:      set.NewCounter("chestnutshed_target_failures_total"),
		latency:     set.NewSummary("chestnutshed_target_seconds"),
		set:         set,
	}
}

// Routes adds the handler to the peers' listener.
func (s *Service) Routes(p *peers.Service) { p.Handle("POST /peer/call", s.serveCall) }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.downstream, err = kernel.Find[DownstreamSource](k, downstreamName); err != nil {
		return fmt.Errorf("find downstream service: %w", err)
	}
	k.Go(s.tick)
	return nil
}

// tick adjusts the admission cutoff and removes a target whose announcement expired.
func (s *Service) tick(ctx context.Context) error {
	ticker := time.NewTicker(cutoff.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.mu.Lock()
			s.notifyWaiting(s.overload.Tick(now))
			expired := s.target != nil && now.Sub(s.lastAnnounced) > announcementTTL
			s.mu.Unlock()
			if expired {
				s.removeTarget("announcement expired")
			}
		}
	}
}

// Announce applies an announcement of the node's target. It returns the error of
// Validate if the announcement is invalid.
func (s *Service) Announce(now time.Time, a Announcement) error {
	if err := a.Validate(); err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	s.mu.Lock()
	s.lastAnnounced = now
	changed := s.target == nil || s.target.announcement != a
	if changed {
		if s.target == nil || s.target.announcement.Instance != a.Instance {
			s.overload.ResetHealth()
		}
		s.target = newClient(a)
		s.notifyWaiting(s.overload.SetSlots(now, a.Slots))
	}
	s.mu.Unlock()
	if changed {
		s.log.WithField("service", a.Service).WithField("slots", a.Slots).Info("target is ready")
		s.publish()
	}
	return nil
}

// publish sends the state of the node's target to peers.
func (s *Service) publish() {
	s.mu.Lock()
	var a Announcement
	if s.target != nil {
		a = s.target.announcement
	}
	failing, draining := s.overload.Failing(), s.draining
	s.mu.Unlock()
	s.gossip.Update(func(r member.Record) member.Record {
		r.Service, r.Slots, r.Instance = a.Service, a.Slots, a.Instance
		r.Failing = failing
		r.Leaving = draining || a.Leaving
		return r
	})
}

// removeTarget records that the node's target is gone.
func (s *Service) removeTarget(reason string) {
	s.mu.Lock()
	if s.target == nil {
		s.mu.Unlock()
		return
	}
	name := s.target.String()
	s.target = nil
	s.notifyWaiting(s.overload.SetSlots(time.Now(), 0))
	s.mu.Unlock()
	s.log.WithField("target", name).Warn("target removed: ", reason)
	s.publish()
}

// Drain refuses new calls. Running calls and their inner calls continue.
func (s *Service) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.publish()
}

// Busy returns the number of calls running or waiting.
func (s *Service) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) + len(s.waiting)
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	s.Drain()
	return nil
}

// Parent returns the running call that a call token belongs to.
func (s *Service) Parent(token string) (*Parent, bool) { return s.tokens.get(token) }

// RecordInnerCall records that calls on a route make calls to a child route.
func (s *Service) RecordInnerCall(now time.Time, route string, child overload.Child) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overload.RecordInnerCall(now, route, child)
}

// downstreamAt returns a function that looks up the admission cutoffs of child routes,
// as last reported to this node.
func (s *Service) downstreamAt(now time.Time) overload.DownstreamFunc {
	return func(c overload.Child) []balancer.Downstream { return s.downstream.Downstream(now, c.Service, c.Route) }
}

// serveCall runs a call from another node.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	call, body, ok := peers.ReadCall(w, r)
	if !ok {
		return
	}
	var reply peers.Reply
	peers.WithHeartbeats(w, func() { reply = s.Call(r.Context(), call, wire.EndToEnd(r.Header), body) })
	WriteReply(w, reply)
}

// WriteReply writes the reply to a call from another node.
func WriteReply(w http.ResponseWriter, reply peers.Reply) {
	outcome, err := wire.Encode(reply.Outcome)
	if err != nil {
		http.Error(w, "outcome too large", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	for name, values := range reply.Header {
		h[name] = values
	}
	h.Set(wire.OutcomeHeader, outcome)
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	_, _ = w.Write(reply.Body)
}

// Call runs one call on the node's target.
func (s *Service) Call(ctx context.Context, call wire.Call, header http.Header, body []byte) peers.Reply {
	deadline := time.Now().Add(call.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	o := wire.Outcome{ID: call.ID, UnusedRetries: call.Retries}
	a, refusal := s.run(ctx, call, deadline, header, body, &o)
	now := time.Now()
	s.logCall(call, a, refusal, deadline.Sub(now))
	s.mu.Lock()
	o.Cutoff, o.Downstream = s.overload.Cutoff(), s.overload.Downstream(now, call.Route, s.downstreamAt(now))
	o.Load, o.Failing, o.Leaving = s.overload.Load(now), s.overload.Failing(), s.draining
	s.mu.Unlock()
	if refusal != nil {
		o.Refusal, o.RetryAfter = refusal, refusal.RetryAfter
		s.set.GetOrCreateCounter(fmt.Sprintf(`chestnutshed_target_refusals_total{reason=%q}`, refusal.Reason)).Inc()
		return peers.Reply{Outcome: o}
	}
	o.Status = a.status
	return peers.Reply{Outcome: o, Header: wire.EndToEnd(a.header), Body: a.body}
}

// logCall logs the result of a call at debug level, with the ID of its root request.
func (s *Service) logCall(call wire.Call, a answer, refusal *failure.Refusal, left time.Duration) {
	if !s.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	entry := s.log.WithField("root", call.Root).WithField("route", call.Route).WithField("depth", call.Depth).WithField("left", left)
	if refusal != nil {
		entry.WithField("reason", refusal.Reason).WithField("ran", refusal.Ran).Debug("call refused")
		return
	}
	entry.WithField("status", a.status).Debug("call answered")
}

func (s *Service) run(ctx context.Context, call wire.Call, deadline time.Time, header http.Header, body []byte, o *wire.Outcome) (answer, *failure.Refusal) {
	if s.poison.Banned(time.Now(), call.Fingerprint) {
		return answer{}, failure.New(failure.Poison, "the request has crashed targets")
	}
	suspect := s.poison.Suspect(time.Now(), call.Fingerprint)
	if suspect {
		select {
		case s.suspectSlot <- struct{}{}:
			defer func() { <-s.suspectSlot }()
		case <-ctx.Done():
			return answer{}, failure.New(failure.Deadline, "the deadline passed or the caller disconnected while the request waited for another suspect of a crash")
		}
	}
	if refusal := s.checkTarget(call); refusal != nil {
		return answer{}, refusal
	}
	id, target, refusal := s.admit(ctx, call, deadline, suspect)
	if refusal != nil {
		return answer{}, refusal
	}
	call.Remaining = time.Until(deadline)
	return s.runOnTarget(ctx, id, target, call, deadline, header, body, o)
}

// checkTarget refuses a call if there is no target to run it.
func (s *Service) checkTarget(call wire.Call) *failure.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining || (s.target != nil && s.target.announcement.Leaving):
		return failure.New(failure.Leaving, "the target is leaving")
	case s.target == nil || s.target.announcement.Service != call.Service:
		return failure.New(failure.NotReady, "the node has no target for the service")
	}
	return nil
}

// admit waits for a slot of the target.
func (s *Service) admit(ctx context.Context, call wire.Call, deadline time.Time, suspect bool) (uint64, *client, *failure.Refusal) {
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	now := time.Now()
	verdict, changes := s.overload.Offer(now, admission.Request{
		ID:           id,
		Route:        call.Route,
		Score:        call.Score,
		Organisation: call.Organisation,
		Share:        call.Share,
		Depth:        call.Depth,
		Deadline:     deadline,
	}, call.Forced, s.downstreamAt(now))
	started := make(chan *failure.Refusal, 1)
	switch v := verdict.(type) {
	case admission.Refuse:
		s.notifyWaiting(changes)
		s.mu.Unlock()
		return 0, nil, failure.New(v.Reason, "the target did not admit the request").WithRetryAfter(v.Backoff)
	case admission.Start:
		started <- nil
	case admission.Wait:
		s.waiting[id] = started
	}
	s.notifyWaiting(changes)
	s.mu.Unlock()
	select {
	case refusal := <-started:
		if refusal != nil {
			return 0, nil, refusal
		}
	case <-ctx.Done():
		if refusal := s.cancelWait(id, started); refusal != nil {
			return 0, nil, refusal
		}
	}
	return s.bindTarget(id, call, suspect)
}

// cancelWait removes a request from the queue after its caller disconnected or its
// deadline passed. It returns nil if the request got a slot at the same time.
func (s *Service) cancelWait(id uint64, started chan *failure.Refusal) *failure.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.overload.Cancel(id) {
		delete(s.waiting, id)
		return failure.New(failure.Deadline, "the deadline passed or the caller disconnected while the request was queued")
	}
	return <-started
}

// bindTarget assigns an acquired slot to the current target.
func (s *Service) bindTarget(id uint64, call wire.Call, suspect bool) (uint64, *client, *failure.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target == nil {
		changes, _ := s.overload.Release(time.Now(), id, admission.Aborted, false)
		s.notifyWaiting(changes)
		return 0, nil, failure.New(failure.NotReady, "the target was removed before the request was sent")
	}
	s.running[id] = poison.Run{Fingerprint: call.Fingerprint, Suspect: suspect}
	return id, s.target, nil
}

// notifyWaiting passes admission decisions to waiting requests. The caller holds mu.
func (s *Service) notifyWaiting(changes admission.Changes) {
	for _, id := range changes.Started {
		s.waiting[id] <- nil
		delete(s.waiting, id)
	}
	for _, removed := range changes.Dropped {
		s.waiting[removed.ID] <- failure.New(removed.Reason, "the request was removed from the queue")
		delete(s.waiting, removed.ID)
	}
}

// runOnTarget runs a request that has a slot.
func (s *Service) runOnTarget(ctx context.Context, id uint64, target *client, call wire.Call, deadline time.Time, header http.Header, body []byte, o *wire.Outcome) (answer, *failure.Refusal) {
	token, parent := s.tokens.add(call, deadline)
	began := time.Now()
	a, refusal := target.send(ctx, call, token, header, body)
	s.tokens.remove(token)
	o.UnusedRetries, o.Sends, o.InnerFailed = parent.finish()
	s.latency.UpdateDuration(began)
	if refusal != nil && (refusal.Reason == failure.Lost || refusal.Reason == failure.NotReady) {
		s.checkCrash(target)
	}
	s.release(id, call, a, refusal, o.InnerFailed)
	return a, refusal
}

// release releases the slot of a request and records its result. A failed response
// after a failed inner call does not count against the target.
func (s *Service) release(id uint64, call wire.Call, a answer, refusal *failure.Refusal, inner bool) {
	result, failed := admission.Answered, false
	switch {
	case refusal == nil && inner:
	case refusal != nil && refusal.Reason == failure.Deadline:
		result = admission.Aborted
	case refusal != nil:
		result, failed = admission.Aborted, true
	case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
		result, failed = admission.Rejected, retry.TargetFailed(a.status)
	default:
		failed = retry.TargetFailed(a.status)
	}
	s.mu.Lock()
	delete(s.running, id)
	changes, healthChanged := s.overload.Release(time.Now(), id, result, failed)
	s.notifyWaiting(changes)
	failing := s.overload.Failing()
	s.mu.Unlock()
	if failed {
		s.failed.Inc()
	} else {
		s.succeeded.Inc()
		s.poison.Cleared(time.Now(), call.Fingerprint)
	}
	if healthChanged {
		s.log.WithField("failing", failing).Warn("target health changed")
		s.publish()
	}
}

// checkCrash checks whether the target has crashed. If so, it reports the requests
// in flight as suspects.
func (s *Service) checkCrash(target *client) {
	if !httpconn.PortRefused(target.announcement.Address, targetDialTimeout) {
		return
	}
	s.mu.Lock()
	if s.target != target {
		s.mu.Unlock()
		return
	}
	inFlight := slices.Collect(maps.Values(s.running))
	s.mu.Unlock()
	s.poison.Crashed(time.Now(), target.announcement.Instance, inFlight)
	s.removeTarget("its port refuses connections")
}

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := struct {
		Target *Announcement `json:"target"`
		overload.State
		Draining bool `json:"draining"`
	}{State: s.overload.State(), Draining: s.draining}
	if s.target != nil {
		a := s.target.announcement
		state.Target = &a
	}
	return state
}

// HandleAnnouncement handles announcements on the target's listener.
func (s *Service) HandleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<10))
	dec.DisallowUnknownFields()
	err := dec.Decode(&a)
	if err == nil {
		err = s.Announce(time.Now(), a)
	}
	if err != nil {
		failure.New(failure.BadRequest, "%v", err).Write(w)
	}
}
