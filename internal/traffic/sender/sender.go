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

	"chestnutshed.example/chestnutshed/internal/config/active"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/gossip"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/budget"
	"chestnutshed.example/chestnutshed/internal/policy/retry"
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

// localName is the service that runs calls for the node's own target.
const localName = "serve"

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
	// UnusedRetries is how many of the lent extra sends are left.
	UnusedRetries int
	// Sends is the number of sends made, with those further down.
	Sends int
}

// Service sends calls.
type Service struct {
	client *peers.Client
	gossip *gossip.Service
	config *active.Service
	log    *logrus.Entry
	local  Local
	self   string

	mu      sync.Mutex
	chooser *balancer.Balancer
	ratio   *budget.Ratio

	sends  *metrics.Counter
	extras *metrics.Counter
}

// New returns the service.
func New(zone string, client *peers.Client, g *gossip.Service, config *active.Service, set *metrics.Set, log *logrus.Entry) *Service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Service{
		client:  client,
		gossip:  g,
		config:  config,
		log:     log,
		self:    g.Self().ID,
		chooser: balancer.New(zone, random),
		ratio:   budget.NewRatio(0),
		sends:   set.NewCounter("chestnutshed_sends_total"),
		extras:  set.NewCounter("chestnutshed_extra_sends_total"),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.local, err = kernel.Find[Local](k, localName); err != nil {
		return fmt.Errorf("find what runs calls here: %w", err)
	}
	k.Every(forgetEvery, func(context.Context) { s.forget() })
	return nil
}

func (s *Service) forget() {
	present := map[string]bool{}
	s.gossip.WithTable(func(t *member.Table) {
		for _, r := range t.All() {
			present[r.ID] = !r.Gone()
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooser.Prune(func(id string) bool { return present[id] })
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
	}{s.chooser.Len(), s.sends.Get(), s.extras.Get()}
}

// Candidates returns the nodes that serve a service.
func (s *Service) Candidates(service string) []balancer.Candidate {
	var found []balancer.Candidate
	s.gossip.WithTable(func(t *member.Table) {
		for _, r := range t.Serving(service) {
			found = append(found, balancer.Candidate{
				ID:         r.ID,
				Address:    r.Address,
				Zone:       r.Zone,
				Slots:      r.Slots,
				ReadySince: t.TargetSince(r.ID),
				Failing:    r.Failing,
			})
		}
	})
	return found
}

// Downstream is what calls of a route to a service meet, as far as this node has
// heard lately.
func (s *Service) Downstream(now time.Time, service, route string) []balancer.Downstream {
	all := s.Candidates(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chooser.Downstream(now, all, service, route)
}

// Send carries a call out. It returns when there is a whole answer, a refusal,
// or the deadline has passed.
func (s *Service) Send(ctx context.Context, m Message) Result {
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	course := retry.NewAttempts(balancer.Call{
		Route: m.Call.Route,
		Score: m.Call.Score,
		Depth: m.Call.Depth,
	}, m.Call.Idempotent, m.Call.Retries)
	var reply peers.Reply
	for ctx.Err() == nil {
		send, ok := s.next(ctx, course, m).(retry.Send)
		if !ok {
			break
		}
		reply = s.try(ctx, m, send, course)
	}
	return resultOf(course, reply)
}

// next asks the course what to do. An extra send must be permitted first,
// which may wait.
func (s *Service) next(ctx context.Context, course *retry.Attempts, m Message) retry.Step {
	permit := func() bool { return true }
	if course.Sends() > 0 && course.WithinBudget() && m.Permit != nil && course.Allowed() {
		allowed := m.Permit(ctx)
		permit = func() bool { return allowed }
	}
	all := s.Candidates(m.Call.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.config.Get(); c != nil {
		s.ratio.SetRatio(c.Index.Manifest().Retry.Ratio)
	}
	return course.Next(time.Now(), all, s.chooser, s.ratio, permit)
}

// try makes one send and notes what came of it.
func (s *Service) try(ctx context.Context, m Message, send retry.Send, course *retry.Attempts) peers.Reply {
	to := send.Pick.Candidate
	call := m.Call
	call.ID = uuid.NewString()
	call.Forced = send.Pick.Forced
	call.Retries = send.Lent
	call.Remaining = time.Until(m.Deadline)
	s.sends.Inc()
	if course.Sends() > 1 {
		s.extras.Inc()
	}
	reply, err := s.deliver(ctx, to, call, m)
	if err != nil {
		s.lost(ctx, to, call, err, course)
		return reply
	}
	s.mu.Lock()
	s.chooser.Answered(time.Now(), to.ID, balancer.Report{Route: call.Route, Load: reply.Outcome.Load, Cutoff: reply.Outcome.Cutoff, Downstream: reply.Outcome.Downstream})
	s.mu.Unlock()
	var result retry.Result = retry.Answer{Status: reply.Outcome.Status, Inner: reply.Outcome.InnerFailed}
	if r := reply.Outcome.Refusal; r != nil {
		result = retry.Refused{Refusal: r.WithRetryAfter(reply.Outcome.RetryAfter)}
	}
	course.Record(result, send.Lent, reply.Outcome.UnusedRetries, reply.Outcome.Sends)
	return reply
}

func (s *Service) deliver(ctx context.Context, to balancer.Candidate, call wire.Call, m Message) (peers.Reply, error) {
	if call.Remaining <= 0 {
		return peers.Reply{}, fmt.Errorf("%w: %w", peers.ErrNotSent, context.DeadlineExceeded)
	}
	if to.ID == s.self {
		return s.local.Call(ctx, call, m.Header, m.Body), nil
	}
	reply, err := s.client.Send(ctx, to.Address, callPath, call, m.Header, m.Body)
	if err != nil {
		return reply, fmt.Errorf("call %s: %w", to.Address, err)
	}
	return reply, nil
}

// lost notes a send without an answer. Unless nothing was sent, what it was
// lent is used; how many sends it led to further down is not known.
func (s *Service) lost(ctx context.Context, to balancer.Candidate, call wire.Call, err error, course *retry.Attempts) {
	notSent := errors.Is(err, peers.ErrNotSent)
	s.mu.Lock()
	unused := 0
	if notSent {
		unused = call.Retries
	}
	course.Record(retry.NoAnswer{NotSent: notSent}, call.Retries, unused, 0)
	if ctx.Err() != nil && !errors.Is(err, peers.ErrNoHeartbeat) {
		s.chooser.Canceled(to.ID)
	} else {
		s.chooser.Failed(time.Now(), to.ID)
	}
	s.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.gossip.ReportRefused(to.ID)
	}
	s.log.WithField("root", call.Root).WithField("peer", to.Address).Debug("call lost: ", err)
}

// resultOf turns the end of a course into the result of the call.
func resultOf(course *retry.Attempts, reply peers.Reply) Result {
	r := Result{UnusedRetries: course.Remaining(), Sends: course.TotalSends()}
	switch last := course.Result().(type) {
	case retry.Answer:
		r.Status, r.Header, r.Body = reply.Outcome.Status, reply.Header, reply.Body
	case retry.Refused:
		r.Refusal = last.Refusal
	}
	return r
}
