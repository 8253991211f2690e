// Package owner runs requests with tickets at the node that owns the ticket: the
// node that issued it, or the node that adopted its registry at a planned stop.
package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/policy/ticket"
	"chestnutshed.example/chestnutshed/internal/traffic/peers"
	"chestnutshed.example/chestnutshed/internal/traffic/sender"
	"chestnutshed.example/chestnutshed/internal/traffic/serve"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// Name identifies the service in the kernel.
const Name = "home"

// Paths of the requests between nodes.
const (
	runPath   = "/peer/home"
	adoptPath = "/peer/adopt"
)

const (
	// maxAdoptBytes limits the body of an adopt request.
	maxAdoptBytes = 64 << 20
	// adoptTimeout limits one adopt request, with the snapshots of all registries.
	adoptTimeout = 10 * time.Second
	// maxSuccessors is the maximum number of nodes that a handover is tried with.
	maxSuccessors = 3
)

// Service runs the requests of the tickets that this node owns and forwards the
// others to their owner.
type Service struct {
	gossip *gossip.Service
	sender *sender.Service
	client *peers.Client
	log    *logrus.Entry

	mu         sync.Mutex
	own        *ticket.Registry
	registries map[uuid.UUID]*ticket.Registry // own and adopted, by issuer
	runs       errgroup.Group
	ctx        context.Context // of all runs
	closed     bool
}

// New returns the service of an incarnation, with a new registry.
func New(id uuid.UUID, g *gossip.Service, s *sender.Service, client *peers.Client, log *logrus.Entry) *Service {
	own := ticket.NewRegistry(id, time.Now())
	return &Service{
		gossip:     g,
		sender:     s,
		client:     client,
		log:        log,
		own:        own,
		registries: map[uuid.UUID]*ticket.Registry{id: own},
		ctx:        context.Background(),
	}
}

// Routes registers the handlers on the peer listener.
func (s *Service) Routes(p *peers.Service) {
	p.Handle("POST "+runPath, s.serveRun)
	p.Handle("POST "+adoptPath, s.serveAdopt)
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// Issue returns n new tickets of this incarnation for an organisation. Its errors
// are those of ticket.Registry.Issue.
func (s *Service) Issue(now time.Time, organisation string, n int) ([]ticket.Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tickets, err := s.own.Issue(now, organisation, n)
	if err != nil {
		return nil, fmt.Errorf("issue tickets: %w", err)
	}
	return tickets, nil
}

// Run runs a request with its ticket, on this node or on the ticket's owner.
func (s *Service) Run(ctx context.Context, t ticket.Ticket, m sender.Message) sender.Result {
	s.mu.Lock()
	_, here := s.registries[t.Issuer]
	s.mu.Unlock()
	if here {
		return s.runLocal(ctx, t, m)
	}
	var owner member.Record
	known := false
	s.gossip.WithTable(func(table *member.Table) { owner, known = table.Successor(t.Issuer.String()) })
	if !known || owner.Gone() {
		r := failure.New(failure.Lost, "no running node owns the ticket")
		return sender.Result{Refusal: r.WithRan(failure.RanUnknown)}
	}
	return s.forward(ctx, owner, m)
}

// forward sends a request to the ticket's owner. Every error on the way is
// reported as RanUnknown, because an earlier attempt with the same ticket may
// have run.
func (s *Service) forward(ctx context.Context, owner member.Record, m sender.Message) sender.Result {
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	call := m.Call
	call.ID = uuid.NewString()
	call.Remaining = time.Until(m.Deadline)
	if call.Remaining <= 0 {
		return sender.Result{Refusal: failure.New(failure.Deadline, "the deadline passed").WithRan(failure.RanUnknown)}
	}
	reply, err := s.client.Send(ctx, owner.Address, runPath, call, m.Header, m.Body)
	if err != nil {
		s.gossip.ReportError(owner.Address, err)
		s.log.WithField("root", call.Root).WithField("peer", owner.Address).Debug("forwarding to the ticket owner failed: ", err)
		r := failure.New(failure.Lost, "the ticket's owner did not answer")
		return sender.Result{Refusal: r.WithRan(failure.RanUnknown)}
	}
	if reply.Outcome.Refusal != nil {
		return sender.Result{Refusal: reply.Outcome.Refusal.WithRetryAfter(reply.Outcome.RetryAfter)}
	}
	return sender.Result{Status: reply.Outcome.Status, Header: reply.Header, Body: reply.Body, Sends: reply.Outcome.Sends}
}

// runLocal runs a request whose ticket this node owns. The run continues after
// the caller disconnects, so that a retry gets the answer.
func (s *Service) runLocal(ctx context.Context, t ticket.Ticket, m sender.Message) sender.Result {
	s.mu.Lock()
	step := s.registries[t.Issuer].Begin(time.Now(), t, m.Call.Organisation, string(m.Call.Fingerprint))
	if _, run := step.(ticket.Run); run {
		s.runs.Go(func() error {
			s.run(t, m)
			return nil
		})
		// Join the run that was just started.
		step = s.registries[t.Issuer].Begin(time.Now(), t, m.Call.Organisation, string(m.Call.Fingerprint))
	}
	s.mu.Unlock()
	switch step := step.(type) {
	case ticket.Refuse:
		return sender.Result{Refusal: step.Refusal}
	case ticket.Replay:
		return resultOf(step.Outcome)
	case ticket.Join:
		return s.await(ctx, m.Deadline, step)
	}
	return sender.Result{Refusal: failure.New(failure.Lost, "the ticket has an unexpected state").WithRan(failure.RanUnknown)}
}

// await waits for the outcome of a run, until the deadline or until the caller
// disconnects.
func (s *Service) await(ctx context.Context, deadline time.Time, join ticket.Join) sender.Result {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case o := <-join.Outcome:
		return resultOf(o)
	case <-timer.C:
	case <-ctx.Done():
	}
	return sender.Result{Refusal: failure.New(failure.Deadline, "the request is still running").WithRan(failure.RanUnknown)}
}

// run sends a request to its service and records the outcome.
func (s *Service) run(t ticket.Ticket, m sender.Message) {
	result := s.sender.Send(s.ctx, m)
	var o ticket.Outcome
	switch {
	case result.Refusal == nil:
		o = ticket.Completed{Answer: ticket.Answer{Status: result.Status, Header: result.Header, Body: result.Body}}
	case result.Refusal.Ran == failure.RanNo:
		o = ticket.NotRun{Refusal: result.Refusal}
	default:
		o = ticket.Unknown{Refusal: result.Refusal}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registries[t.Issuer].Finish(t, o)
}

func resultOf(o ticket.Outcome) sender.Result {
	switch o := o.(type) {
	case ticket.Completed:
		return sender.Result{Status: o.Answer.Status, Header: o.Answer.Header, Body: o.Answer.Body}
	case ticket.NotRun:
		return sender.Result{Refusal: o.Refusal}
	case ticket.Unknown:
		return sender.Result{Refusal: o.Refusal}
	}
	return sender.Result{Refusal: failure.New(failure.Lost, "the request has no recorded outcome").WithRan(failure.RanUnknown)}
}

// serveRun runs a request that another node forwarded to the ticket's owner.
func (s *Service) serveRun(w http.ResponseWriter, r *http.Request) {
	call, body, ok := peers.ReadCall(w, r)
	if !ok {
		return
	}
	t, err := ticket.Parse(call.Ticket)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m := sender.Message{Call: call, Header: wire.EndToEnd(r.Header), Body: body, Deadline: time.Now().Add(call.Remaining)}
	var result sender.Result
	peers.WithHeartbeats(w, func() { result = s.runForwarded(r.Context(), t, m) })
	serve.WriteReply(w, replyOf(call, result))
}

// runForwarded runs a forwarded request if this node owns its ticket, otherwise
// it refuses it. It never forwards a request a second time.
func (s *Service) runForwarded(ctx context.Context, t ticket.Ticket, m sender.Message) sender.Result {
	s.mu.Lock()
	_, here := s.registries[t.Issuer]
	s.mu.Unlock()
	if !here {
		return sender.Result{Refusal: failure.New(failure.Lost, "the node does not own the ticket").WithRan(failure.RanUnknown)}
	}
	return s.runLocal(ctx, t, m)
}

func replyOf(call wire.Call, r sender.Result) peers.Reply {
	o := wire.Outcome{ID: call.ID, Status: r.Status, Refusal: r.Refusal}
	if r.Refusal != nil {
		o.RetryAfter = r.Refusal.RetryAfter
	}
	return peers.Reply{Outcome: o, Header: r.Header, Body: r.Body}
}

// HandOver closes all registries, waits for their running requests and hands
// the registries over to another node. It returns the successor's incarnation,
// or "" if no node confirmed the handover. It tries another node only if the
// request was not sent: a node that did not answer may have adopted the
// registries, and two owners could run the same request twice.
func (s *Service) HandOver(ctx context.Context) string {
	s.mu.Lock()
	for _, reg := range s.registries {
		reg.Close()
	}
	s.mu.Unlock()
	_ = s.runs.Wait()
	snapshots, err := s.export()
	if err != nil {
		s.log.Warn("export of ticket registries failed: ", err)
		return ""
	}
	for _, successor := range s.successors() {
		if err := s.sendSnapshots(ctx, successor, snapshots); err != nil {
			s.log.WithField("peer", successor.Address).Warn("handover of ticket registries failed: ", err)
			if !errors.Is(err, peers.ErrNotSent) {
				return ""
			}
			continue
		}
		return successor.ID
	}
	return ""
}

// successors returns up to maxSuccessors live nodes that are not stopping.
func (s *Service) successors() []member.Record {
	var found []member.Record
	self := s.gossip.Self()
	s.gossip.WithTable(func(t *member.Table) {
		for _, r := range t.All() {
			if r.ID != self.ID && r.Status == member.Alive && !r.Leaving && len(found) < maxSuccessors {
				found = append(found, r)
			}
		}
	})
	return found
}

// export returns snapshots of all registries and removes the registries from this
// node, which owns no tickets afterwards.
func (s *Service) export() ([]ticket.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var snapshots []ticket.Snapshot
	for _, reg := range s.registries {
		snap, err := reg.Export(time.Now())
		if err != nil {
			return nil, fmt.Errorf("export ticket registry: %w", err)
		}
		snapshots = append(snapshots, snap)
	}
	s.registries = map[uuid.UUID]*ticket.Registry{}
	return snapshots, nil
}

type adoptRequest struct {
	Snapshots []ticket.Snapshot `json:"estates"`
}

func (s *Service) sendSnapshots(ctx context.Context, successor member.Record, snapshots []ticket.Snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var done struct{}
	if err := s.client.PostJSON(ctx, successor.Address, adoptPath, adoptRequest{snapshots}, &done); err != nil {
		return fmt.Errorf("hand over %d ticket registries: %w", len(snapshots), err)
	}
	return nil
}

func (s *Service) serveAdopt(w http.ResponseWriter, r *http.Request) {
	var req adoptRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdoptBytes)).Decode(&req); err != nil {
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	if err := s.adopt(req.Snapshots); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	_, _ = w.Write([]byte("{}"))
}

// adopt restores the registries of a stopping node. Registries that this node
// already has are skipped. It returns trace.CompareFailed after Close.
func (s *Service) adopt(snapshots []ticket.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return trace.CompareFailed("the node is stopping")
	}
	for _, snap := range snapshots {
		if _, ok := s.registries[snap.ID]; ok {
			continue
		}
		reg, err := ticket.Restore(time.Now(), snap)
		if err != nil {
			return fmt.Errorf("restore ticket registry: %w", err)
		}
		s.registries[snap.ID] = reg
	}
	return nil
}

// Close makes the node refuse to adopt registries.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// registryState is one registry in the state dump.
type registryState struct {
	ID      string `json:"id"`
	Running int    `json:"running"`
	Kept    int    `json:"kept_answers"`
	Bytes   int    `json:"kept_bytes"`
}

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := []registryState{}
	for id, reg := range s.registries {
		kept, bytes := reg.Cached()
		states = append(states, registryState{id.String(), reg.Running(), kept, bytes})
	}
	return states
}
