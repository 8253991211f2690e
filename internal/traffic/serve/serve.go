// Package serve runs calls on the node's own target: all work for the target
// passes here, so slots in use are known exactly.
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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
	"chestnutshed.example/chestnutshed/internal/traffic/peers"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Name of the service.
const Name = "serve"

// downstreamName is the service that knows services further down.
const downstreamName = "sender"

// DownstreamSource tells what calls of a route to a service meet.
type DownstreamSource interface {
	Downstream(now time.Time, service, route string) []balancer.Downstream
}

// Service runs calls on the own target.
type Service struct {
	gossip     *gossip.Service
	poison     *Poison
	downstream DownstreamSource
	log        *logrus.Entry
	tokens     *tokens
	// suspect lets one suspect of a crash run at a time.
	suspect chan struct{}

	mu       sync.Mutex
	intake   *overload.Controller
	target   *client
	renewed  time.Time
	nextID   uint64
	waiting  map[uint64]chan *failure.Refusal
	running  map[uint64]poison.Fingerprint
	draining bool

	whole   *metrics.Counter
	failed  *metrics.Counter
	latency *metrics.Summary
	set     *metrics.Set
}

// New returns the service without a target.
func New(g *gossip.Service, p *Poison, set *metrics.Set, log *logrus.Entry) *Service {
	return &Service{
		gossip:  g,
		poison:  p,
		log:     log,
		tokens:  newTokens(),
		suspect: make(chan struct{}, 1),
		intake:  overload.New(admission.Standard()),
		waiting: map[uint64]chan *failure.Refusal{},
		running: map[uint64]poison.Fingerprint{},
		whole:   set.NewCounter("chestnutshed_target_answers_total"),
		failed:  set.NewCounter("chestnutshed_target_failures_total"),
		latency: set.NewSummary("chestnutshed_target_seconds"),
		set:     set,
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
		return fmt.Errorf("find what knows services further down: %w", err)
	}
	k.Go(s.tick)
	return nil
}

// tick moves the level and ends announcements that were not renewed.
func (s *Service) tick(ctx context.Context) error {
	ticker := time.NewTicker(cutoff.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.mu.Lock()
			s.intake.Tick(now)
			lapsed := s.target != nil && now.Sub(s.renewed) > announceLife
			s.mu.Unlock()
			if lapsed {
				s.lose("its announcements stopped")
			}
		}
	}
}

// Announce takes an announcement of the own target. It returns the error of
// Validate for a bad one.
func (s *Service) Announce(now time.Time, a Announcement) error {
	if err := a.Validate(); err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	s.mu.Lock()
	s.renewed = now
	changed := s.target == nil || s.target.announcement != a
	if changed {
		if s.target == nil || s.target.announcement.Instance != a.Instance {
			s.intake.ResetHealth()
		}
		s.target = newClient(a)
		s.apply(s.intake.SetSlots(now, a.Slots))
	}
	s.mu.Unlock()
	if changed {
		s.log.WithField("service", a.Service).WithField("slots", a.Slots).Info("target is ready")
		s.publish()
	}
	return nil
}

// publish tells peers about the own target.
func (s *Service) publish() {
	s.mu.Lock()
	var a Announcement
	if s.target != nil {
		a = s.target.announcement
	}
	failing, draining := s.intake.Failing(), s.draining
	s.mu.Unlock()
	s.gossip.Update(func(r member.Record) member.Record {
		r.Service, r.Slots, r.Instance = a.Service, a.Slots, a.Instance
		r.Failing = failing
		r.Leaving = draining || a.Leaving
		return r
	})
}

// lose notes that the own target is gone.
func (s *Service) lose(why string) {
	s.mu.Lock()
	if s.target == nil {
		s.mu.Unlock()
		return
	}
	name := s.target.String()
	s.target = nil
	s.apply(s.intake.SetSlots(time.Now(), 0))
	s.mu.Unlock()
	s.log.WithField("target", name).Warn("target is gone: ", why)
	s.publish()
}

// Drain stops taking new calls; those under way and their inner calls go on.
func (s *Service) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.publish()
}

// Busy is the number of calls running or waiting.
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

// RecordInnerCall notes that calls of one route make calls of another.
func (s *Service) RecordInnerCall(now time.Time, route string, child overload.Child) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intake.RecordInnerCall(now, route, child)
}

// down tells what nodes further down admit, as this node has heard.
func (s *Service) down(now time.Time) overload.DownstreamFunc {
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

// WriteReply sends a reply to a call of another node.
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

// Call runs one call on the own target.
func (s *Service) Call(ctx context.Context, call wire.Call, header http.Header, body []byte) peers.Reply {
	deadline := time.Now().Add(call.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	o := wire.Outcome{ID: call.ID, UnusedRetries: call.Retries}
	a, refusal := s.run(ctx, call, deadline, header, body, &o)
	now := time.Now()
	s.logCall(call, a, refusal, deadline.Sub(now))
	s.mu.Lock()
	o.Cutoff, o.Downstream = s.intake.Cutoff(), s.intake.Downstream(now, call.Route, s.down(now))
	o.Load, o.Failing, o.Leaving = s.intake.Load(), s.intake.Failing(), s.draining
	s.mu.Unlock()
	if refusal != nil {
		o.Refusal, o.RetryAfter = refusal, refusal.RetryAfter
		s.set.GetOrCreateCounter(fmt.Sprintf(`chestnutshed_target_refusals_total{reason=%q}`, refusal.Reason)).Inc()
		return peers.Reply{Outcome: o}
	}
	o.Status = a.status
	return peers.Reply{Outcome: o, Header: wire.EndToEnd(a.header), Body: a.body}
}

// logCall notes a call under its root's identity.
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
	if s.poison.Suspect(time.Now(), call.Fingerprint) {
		select {
		case s.suspect <- struct{}{}:
			defer func() { <-s.suspect }()
		case <-ctx.Done():
			return answer{}, failure.New(failure.Deadline, "the request waited for another suspect of a crash")
		}
	}
	if refusal := s.refuseAbsent(call); refusal != nil {
		return answer{}, refusal
	}
	id, target, refusal := s.admit(ctx, call, deadline)
	if refusal != nil {
		return answer{}, refusal
	}
	call.Remaining = time.Until(deadline)
	return s.onTarget(ctx, id, target, call, deadline, header, body, o)
}

// refuseAbsent refuses calls while there is no target to run them.
func (s *Service) refuseAbsent(call wire.Call) *failure.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining || (s.target != nil && s.target.announcement.Leaving):
		return failure.New(failure.Leaving, "the target is leaving")
	case s.target == nil || s.target.announcement.Service != call.Service:
		return failure.New(failure.NotReady, "the node has no target of the service")
	}
	return nil
}

// admit waits for a slot of the target.
func (s *Service) admit(ctx context.Context, call wire.Call, deadline time.Time) (uint64, *client, *failure.Refusal) {
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	now := time.Now()
	verdict, moves := s.intake.Offer(now, admission.Request{
		ID:           id,
		Route:        call.Route,
		Score:        call.Score,
		Organisation: call.Organisation,
		Share:        call.Share,
		Depth:        call.Depth,
		Deadline:     deadline,
	}, call.Forced, s.down(now))
	started := make(chan *failure.Refusal, 1)
	switch v := verdict.(type) {
	case admission.Refuse:
		s.apply(moves)
		s.mu.Unlock()
		return 0, nil, failure.New(v.Reason, "the target has no room").WithRetryAfter(v.Backoff)
	case admission.Start:
		started <- nil
	case admission.Wait:
		s.waiting[id] = started
	}
	s.apply(moves)
	s.mu.Unlock()
	select {
	case refusal := <-started:
		if refusal != nil {
			return 0, nil, refusal
		}
	case <-ctx.Done():
		if refusal := s.withdraw(id, started); refusal != nil {
			return 0, nil, refusal
		}
	}
	return s.take(id, call)
}

// withdraw takes a request out of the queue whose caller has gone. It returns
// nil when the request got its slot in the same moment.
func (s *Service) withdraw(id uint64, started chan *failure.Refusal) *failure.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.intake.Cancel(id) {
		delete(s.waiting, id)
		return failure.New(failure.Deadline, "the deadline passed or the caller went while the request waited")
	}
	return <-started
}

// take binds a slot to the present target.
func (s *Service) take(id uint64, call wire.Call) (uint64, *client, *failure.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target == nil {
		moves, _ := s.intake.Release(time.Now(), id, admission.Aborted, false)
		s.apply(moves)
		return 0, nil, failure.New(failure.NotReady, "the target has gone")
	}
	s.running[id] = call.Fingerprint
	return id, s.target, nil
}

// apply tells waiting requests what became of them. The caller holds mu.
func (s *Service) apply(moves admission.Changes) {
	for _, id := range moves.Started {
		s.waiting[id] <- nil
		delete(s.waiting, id)
	}
	for _, left := range moves.Dropped {
		s.waiting[left.ID] <- failure.New(left.Reason, "the request had to leave the queue")
		delete(s.waiting, left.ID)
	}
}

// onTarget runs a request that has a slot.
func (s *Service) onTarget(ctx context.Context, id uint64, target *client, call wire.Call, deadline time.Time, header http.Header, body []byte, o *wire.Outcome) (answer, *failure.Refusal) {
	token, parent := s.tokens.add(call, deadline)
	began := time.Now()
	a, refusal := target.send(ctx, call, token, header, body)
	s.tokens.remove(token)
	o.UnusedRetries, o.Sends, o.InnerFailed = parent.end()
	s.latency.UpdateDuration(began)
	if refusal != nil && (refusal.Reason == failure.Lost || refusal.Reason == failure.NotReady) {
		s.checkCrash(target)
	}
	s.done(id, call, a, refusal, o.InnerFailed)
	return a, refusal
}

// done gives back the slot of a request. An answer that failed since an inner
// call did says nothing about the target.
func (s *Service) done(id uint64, call wire.Call, a answer, refusal *failure.Refusal, inner bool) {
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
	moves, changed := s.intake.Release(time.Now(), id, result, failed)
	s.apply(moves)
	failing := s.intake.Failing()
	s.mu.Unlock()
	if failed {
		s.failed.Inc()
	} else {
		s.whole.Inc()
		s.poison.Cleared(call.Fingerprint)
	}
	if changed {
		s.log.WithField("failing", failing).Warn("target health changed")
		s.publish()
	}
}

// checkCrash finds out whether the target has crashed, and accuses what was in
// flight.
func (s *Service) checkCrash(target *client) {
	if !target.refuses() {
		return
	}
	s.mu.Lock()
	if s.target != target {
		s.mu.Unlock()
		return
	}
	var inFlight []poison.Fingerprint
	for _, p := range s.running {
		inFlight = append(inFlight, p)
	}
	s.mu.Unlock()
	s.poison.Crashed(time.Now(), target.announcement.Instance, inFlight)
	s.lose("its port refuses connections")
}

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := struct {
		Target *Announcement `json:"target"`
		overload.State
		Draining bool `json:"draining"`
	}{State: s.intake.State(), Draining: s.draining}
	if s.target != nil {
		a := s.target.announcement
		state.Target = &a
	}
	return state
}

// HandleAnnouncement takes announcements on the target's listener.
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
