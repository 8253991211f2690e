// Package sender carries one call to a node that serves it: it chooses the
// node, sends, and sends again as far as that is safe and within budget.
package sender

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/current"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/policy/budget"
	"chestnutshed.example/chestnutshed/internal/policy/choice"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/resend"
	"chestnutshed.example/chestnutshed/internal/traffic/peers"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

// Name of the service.
const Name = "sender"

// callPath is the path of calls between nodes.
const callPath = "/peer/call"

// forgetEvery is the time between clean-ups of what is known of candidates.
const forgetEvery = 30 * time.Second

// Local runs calls for the node's own target.
type Local interface {
	Call(ctx context.Context, call wire.Call, header http.Header, body []byte) peers.Reply
}

// Permit allows one extra send of a root; it may cost a token.
type Permit func(ctx context.Context) bool

// Message is a call with its request.
type Message struct {
	Call   wire.Call
	Header http.Header
	Body   []byte
	// Deadline bounds all sends together.
	Deadline time.Time
	// Permit is asked before each extra send; nil allows it.
	Permit Permit
}

// Result is what came of a call: a whole answer, or a refusal.
type Result struct {
	Refusal *failure.Refusal
	Status  int
	Header  http.Header
	Body    []byte
	// Unused is how many of the lent extra sends are left.
	Unused int
	// Sends is the number of sends made.
	Sends int
}

// Service sends calls.
type Service struct {
	client *peers.Client
	gossip *gossip.Service
	config *current.Service
	log    *logrus.Entry
	local  Local
	self   string

	mu      sync.Mutex
	chooser *choice.Chooser
	ratio   *budget.Ratio

	sends  *metrics.Counter
	extras *metrics.Counter
}

// New returns the service.
func New(zone string, client *peers.Client, g *gossip.Service, config *current.Service, set *metrics.Set, log *logrus.Entry) *Service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Service{
		client:  client,
		gossip:  g,
		config:  config,
		log:     log,
		self:    g.Self().ID,
		chooser: choice.New(zone, random),
		ratio:   budget.NewRatio(0),
		sends:   set.NewCounter("chestnutshed_sends_total"),
		extras:  set.NewCounter("chestnutshed_extra_sends_total"),
	}
}

// SetLocal names what runs calls for the node's own target; call it before the
// kernel starts.
func (s *Service) SetLocal(l Local) { s.local = l }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go(func(ctx context.Context) error {
		ticker := time.NewTicker(forgetEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				s.forget()
			}
		}
	})
	return nil
}

func (s *Service) forget() {
	present := map[string]bool{}
	s.gossip.Table(func(t *member.Table) {
		for _, r := range t.All() {
			present[r.ID] = !r.Gone()
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Keep(func(id string) bool { return present[id] })
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return struct {
		Candidates int    `json:"candidates"`
		Sends      uint64 `json:"sends"`
		Extras     uint64 `json:"extra_sends"`
	}{s.chooser.Known(), s.sends.Get(), s.extras.Get()}
}

// Candidates returns the nodes that serve a service.
func (s *Service) Candidates(service string) []choice.Candidate {
	var found []choice.Candidate
	s.gossip.Table(func(t *member.Table) {
		for _, r := range t.Serving(service) {
			found = append(found, choice.Candidate{
				ID:      r.ID,
				Address: r.Address,
				Zone:    r.Zone,
				Slots:   r.Slots,
				Since:   t.Ready(r.ID),
				Failing: r.Failing,
			})
		}
	})
	return found
}

// Cut is the most that the nodes of a service admit for a route, as far as
// this node has heard lately.
func (s *Service) Cut(now time.Time, service, route string) priority.Cut {
	all := s.Candidates(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Cut(now, all, route)
}

// Send carries a call out. It returns when there is a whole answer, a refusal,
// or the deadline has passed.
func (s *Service) Send(ctx context.Context, m Message) Result {
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	extra := budget.NewCall(m.Call.Extra)
	var tried []string
	var last attempt
	for sends := 0; ; sends++ {
		pick, refusal := s.choose(m, tried)
		if refusal != nil {
			return s.finish(last, refusal, extra, sends)
		}
		if sends == 0 {
			s.first()
		} else if !s.allowed(ctx, m, extra) {
			return s.finish(last, nil, extra, sends)
		}
		last = s.try(ctx, m, pick, extra)
		tried = append(tried, pick.Candidate.ID)
		if ctx.Err() != nil || !resend.Again(last.result, m.Call.Idempotent) {
			return s.finish(last, nil, extra, sends+1)
		}
	}
}

func (s *Service) choose(m Message, tried []string) (choice.Pick, *failure.Refusal) {
	all := s.Candidates(m.Call.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Choose(time.Now(), all, choice.Call{
		Route: m.Call.Route,
		Score: m.Call.Score,
		Depth: m.Call.Depth,
		Tried: tried,
	})
}

// first counts a first send, which earns the node part of an extra one.
func (s *Service) first() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ratio.First()
}

// allowed asks all bounds on extra sends: the root's budget, the node's ratio
// and the permit.
func (s *Service) allowed(ctx context.Context, m Message, extra *budget.Call) bool {
	s.mu.Lock()
	if c := s.config.Get(); c != nil {
		s.ratio.SetRatio(c.Index.Manifest().Retry.Ratio)
	}
	ok := extra.Left() > 0 && s.ratio.Extra()
	s.mu.Unlock()
	if !ok || (m.Permit != nil && !m.Permit(ctx)) {
		return false
	}
	s.extras.Inc()
	return extra.Spend()
}

// attempt is one send and what came of it.
type attempt struct {
	reply  peers.Reply
	result resend.Result
}

func (s *Service) try(ctx context.Context, m Message, pick choice.Pick, extra *budget.Call) attempt {
	call := m.Call
	call.ID = uuid.NewString()
	call.Forced = pick.Forced
	call.Extra = extra.Lend()
	call.Left = time.Until(m.Deadline)
	if call.Left <= 0 {
		extra.Return(call.Extra, call.Extra)
		return attempt{result: resend.Refused{Refusal: failure.New(failure.Deadline, "the deadline passed before the call was sent")}}
	}
	s.mu.Lock()
	s.chooser.Sent(pick.Candidate.ID)
	s.mu.Unlock()
	s.sends.Inc()
	reply, err := s.deliver(ctx, pick.Candidate, call, m)
	if err != nil {
		return s.lost(ctx, pick.Candidate, call, err, extra)
	}
	extra.Return(reply.Outcome.Unused, call.Extra)
	s.report(pick.Candidate.ID, call, reply.Outcome)
	if r := reply.Outcome.Refusal; r != nil {
		return attempt{reply: reply, result: resend.Refused{Refusal: r.WithAfter(reply.Outcome.After)}}
	}
	return attempt{reply: reply, result: resend.Whole{Status: reply.Outcome.Status}}
}

func (s *Service) deliver(ctx context.Context, to choice.Candidate, call wire.Call, m Message) (peers.Reply, error) {
	if to.ID == s.self {
		return s.local.Call(ctx, call, m.Header, m.Body), nil
	}
	reply, err := s.client.Send(ctx, to.Address, callPath, call, m.Header, m.Body)
	if err != nil {
		return reply, fmt.Errorf("call %s: %w", to.Address, err)
	}
	return reply, nil
}

func (s *Service) report(id string, call wire.Call, o wire.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Answered(time.Now(), id, choice.Report{Route: call.Route, Load: o.Load, Cut: o.Cut})
}

// lost notes a send without an answer. What it was lent is used, unless
// nothing was sent.
func (s *Service) lost(ctx context.Context, to choice.Candidate, call wire.Call, err error, extra *budget.Call) attempt {
	notSent := errors.Is(err, peers.ErrNotSent)
	if notSent {
		extra.Return(call.Extra, call.Extra)
	}
	s.mu.Lock()
	if ctx.Err() != nil && !errors.Is(err, peers.ErrSilent) {
		s.chooser.Withdrawn(to.ID)
	} else {
		s.chooser.Failed(time.Now(), to.ID)
	}
	s.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.gossip.Refused(to.ID)
	}
	s.log.WithField("root", call.Root).WithField("peer", to.Address).Debug("call lost: ", err)
	return attempt{result: resend.Gone{NotSent: notSent}}
}

// finish turns the last attempt, or the refusal to make one, into the result.
func (s *Service) finish(last attempt, refusal *failure.Refusal, extra *budget.Call, sends int) Result {
	r := Result{Unused: extra.Left(), Sends: sends}
	switch result := last.result.(type) {
	case nil:
		r.Refusal = refusal
	case resend.Whole:
		r.Status, r.Header, r.Body = last.reply.Outcome.Status, last.reply.Header, last.reply.Body
	case resend.Refused:
		r.Refusal = result.Refusal
	case resend.Gone:
		r.Refusal = failure.New(failure.Lost, "no answer came from the node that serves the target")
		if !result.NotSent {
			r.Refusal = r.Refusal.WithRan(failure.RanUnknown)
		}
	}
	return r
}
