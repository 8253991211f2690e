// Package home runs requests under tickets: at the one node that issued the
// ticket, or at the node that took over its tickets at a planned stop.
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

// Name of the service.
const Name = "home"

// Paths of the messages between nodes.
const (
	runPath   = "/peer/home"
	adoptPath = "/peer/adopt"
)

const (
	// maxEstate bounds an estate, in bytes.
	maxEstate = 64 << 20
	// adoptTimeout bounds the handing over of one estate.
	adoptTimeout = 10 * time.Second
	// heirs is the number of nodes that are tried as heir.
	heirs = 3
)

// Service is the home of the tickets that this node issued or took over.
type Service struct {
	gossip *gossip.Service
	sender *sender.Service
	client *peers.Client
	log    *logrus.Entry

	mu      sync.Mutex
	own     *ticket.Home
	homes   map[uuid.UUID]*ticket.Home
	runs    errgroup.Group
	ctx     context.Context
	stopped bool
}

// New returns the home of an incarnation.
func New(id uuid.UUID, g *gossip.Service, s *sender.Service, client *peers.Client, log *logrus.Entry) *Service {
	own := ticket.NewHome(id, time.Now())
	return &Service{
		gossip: g,
		sender: s,
		client: client,
		log:    log,
		own:    own,
		homes:  map[uuid.UUID]*ticket.Home{id: own},
		ctx:    context.Background(),
	}
}

// Routes adds the handlers to the peers' listener.
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

// Issue draws tickets for an organisation.
func (s *Service) Issue(now time.Time, organisation string, n int) ([]ticket.Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tickets, err := s.own.Issue(now, organisation, n)
	if err != nil {
		return nil, fmt.Errorf("issue tickets: %w", err)
	}
	return tickets, nil
}

// Run runs a request under its ticket: here, or at the ticket's home.
func (s *Service) Run(ctx context.Context, t ticket.Ticket, m sender.Message) sender.Result {
	s.mu.Lock()
	_, here := s.homes[t.Home]
	s.mu.Unlock()
	if here {
		return s.runHere(ctx, t, m)
	}
	var home member.Record
	known := false
	s.gossip.WithTable(func(table *member.Table) { home, known = table.Successor(t.Home.String()) })
	if !known || home.Gone() {
		r := failure.New(failure.Lost, "the ticket's home is gone")
		return sender.Result{Refusal: r.WithRan(failure.RanUnknown)}
	}
	return s.runAt(ctx, home, m)
}

// runAt passes a request to the ticket's home. Whatever goes wrong on the way,
// an earlier send of the same ticket may have run.
func (s *Service) runAt(ctx context.Context, home member.Record, m sender.Message) sender.Result {
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	call := m.Call
	call.ID = uuid.NewString()
	call.Remaining = time.Until(m.Deadline)
	if call.Remaining <= 0 {
		return sender.Result{Refusal: failure.New(failure.Deadline, "the deadline passed").WithRan(failure.RanUnknown)}
	}
	reply, err := s.client.Send(ctx, home.Address, runPath, call, m.Header, m.Body)
	if err != nil {
		s.gossip.ReportError(home.Address, err)
		s.log.WithField("root", call.Root).WithField("peer", home.Address).Debug("home lost: ", err)
		r := failure.New(failure.Lost, "no answer came from the ticket's home")
		return sender.Result{Refusal: r.WithRan(failure.RanUnknown)}
	}
	if reply.Outcome.Refusal != nil {
		return sender.Result{Refusal: reply.Outcome.Refusal.WithRetryAfter(reply.Outcome.RetryAfter)}
	}
	return sender.Result{Status: reply.Outcome.Status, Header: reply.Header, Body: reply.Body, Sends: reply.Outcome.Sends}
}

// runHere runs a request whose ticket's home is this node. The run goes on
// when the caller goes, so that a repeat gets the answer.
func (s *Service) runHere(ctx context.Context, t ticket.Ticket, m sender.Message) sender.Result {
	s.mu.Lock()
	step := s.homes[t.Home].Begin(time.Now(), t, m.Call.Organisation, string(m.Call.Fingerprint))
	if _, run := step.(ticket.Run); run {
		s.runs.Go(func() error {
			s.run(t, m)
			return nil
		})
		step = s.homes[t.Home].Begin(time.Now(), t, m.Call.Organisation, string(m.Call.Fingerprint))
	}
	s.mu.Unlock()
	switch step := step.(type) {
	case ticket.Refuse:
		return sender.Result{Refusal: step.Refusal}
	case ticket.Repeat:
		return resultOf(step.Outcome)
	case ticket.Join:
		return s.await(ctx, m.Deadline, step)
	}
	return sender.Result{Refusal: failure.New(failure.Lost, "the ticket's state is broken").WithRan(failure.RanUnknown)}
}

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

// run sends a request to its service and notes the outcome.
func (s *Service) run(t ticket.Ticket, m sender.Message) {
	result := s.sender.Send(s.ctx, m)
	var o ticket.Outcome
	switch {
	case result.Refusal == nil:
		o = ticket.Whole{Answer: ticket.Answer{Status: result.Status, Header: result.Header, Body: result.Body}}
	case result.Refusal.Ran == failure.RanNo:
		o = ticket.NotRun{Refusal: result.Refusal}
	default:
		o = ticket.Unknown{Refusal: result.Refusal}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.homes[t.Home].Finish(t, o)
}

func resultOf(o ticket.Outcome) sender.Result {
	switch o := o.(type) {
	case ticket.Whole:
		return sender.Result{Status: o.Answer.Status, Header: o.Answer.Header, Body: o.Answer.Body}
	case ticket.NotRun:
		return sender.Result{Refusal: o.Refusal}
	case ticket.Unknown:
		return sender.Result{Refusal: o.Refusal}
	}
	return sender.Result{Refusal: failure.New(failure.Lost, "no outcome").WithRan(failure.RanUnknown)}
}

// serveRun runs a request that another node has passed on to its home.
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
	peers.WithHeartbeats(w, func() { result = s.runPassed(r.Context(), t, m) })
	serve.WriteReply(w, replyOf(call, result))
}

// runPassed refuses requests for homes that this node doesn't have: it passes
// nothing on a second time.
func (s *Service) runPassed(ctx context.Context, t ticket.Ticket, m sender.Message) sender.Result {
	s.mu.Lock()
	_, here := s.homes[t.Home]
	s.mu.Unlock()
	if !here {
		return sender.Result{Refusal: failure.New(failure.Lost, "the ticket's home has moved").WithRan(failure.RanUnknown)}
	}
	return s.runHere(ctx, t, m)
}

func replyOf(call wire.Call, r sender.Result) peers.Reply {
	o := wire.Outcome{ID: call.ID, Status: r.Status, Refusal: r.Refusal}
	if r.Refusal != nil {
		o.RetryAfter = r.Refusal.RetryAfter
	}
	return peers.Reply{Outcome: o, Header: r.Header, Body: r.Body}
}

// HandOver closes all homes, waits for their running requests and hands them to
// another node. It returns the heir's incarnation, or "" when none took them.
func (s *Service) HandOver(ctx context.Context) string {
	s.mu.Lock()
	for _, h := range s.homes {
		h.Close()
	}
	s.mu.Unlock()
	_ = s.runs.Wait()
	estates, err := s.export()
	if err != nil {
		s.log.Warn("tickets can't be passed on: ", err)
		return ""
	}
	for _, heir := range s.heirs() {
		if err := s.hand(ctx, heir, estates); err != nil {
			s.log.WithField("peer", heir.Address).Warn("tickets not taken: ", err)
			if !errors.Is(err, peers.ErrNotSent) {
				return ""
			}
			continue
		}
		return heir.ID
	}
	return ""
}

func (s *Service) heirs() []member.Record {
	var found []member.Record
	self := s.gossip.Self()
	s.gossip.WithTable(func(t *member.Table) {
		for _, r := range t.All() {
			if r.ID != self.ID && r.Status == member.Alive && !r.Leaving && len(found) < heirs {
				found = append(found, r)
			}
		}
	})
	return found
}

// export takes the homes away from this node: from here on it answers for none.
func (s *Service) export() ([]ticket.Estate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var estates []ticket.Estate
	for _, h := range s.homes {
		e, err := h.Export(time.Now())
		if err != nil {
			return nil, fmt.Errorf("export tickets: %w", err)
		}
		estates = append(estates, e)
	}
	s.homes = map[uuid.UUID]*ticket.Home{}
	return estates, nil
}

type adoptRequest struct {
	Estates []ticket.Estate `json:"estates"`
}

func (s *Service) hand(ctx context.Context, heir member.Record, estates []ticket.Estate) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	var done struct{}
	if err := s.client.PostJSON(ctx, heir.Address, adoptPath, adoptRequest{estates}, &done); err != nil {
		return fmt.Errorf("hand over %d estates: %w", len(estates), err)
	}
	return nil
}

func (s *Service) serveAdopt(w http.ResponseWriter, r *http.Request) {
	var ask adoptRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEstate)).Decode(&ask); err != nil {
		http.Error(w, "malformed message", http.StatusBadRequest)
		return
	}
	if err := s.adopt(ask.Estates); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	_, _ = w.Write([]byte("{}"))
}

func (s *Service) adopt(estates []ticket.Estate) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return trace.CompareFailed("the node is stopping")
	}
	for _, e := range estates {
		if _, ok := s.homes[e.ID]; ok {
			continue
		}
		h, err := ticket.Adopt(time.Now(), e)
		if err != nil {
			return fmt.Errorf("adopt tickets: %w", err)
		}
		s.homes[e.ID] = h
	}
	return nil
}

// Close lets this node take over no more tickets.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// homeState is one home in the dump.
type homeState struct {
	ID      string `json:"id"`
	Running int    `json:"running"`
	Kept    int    `json:"kept_answers"`
	Bytes   int    `json:"kept_bytes"`
}

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := []homeState{}
	for id, h := range s.homes {
		kept, bytes := h.Kept()
		states = append(states, homeState{id.String(), h.Running(), kept, bytes})
	}
	return states
}
