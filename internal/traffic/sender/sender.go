// Package sender sends a call to a node that serves it: it picks the node and
// retries on others where that is safe and within the retry budget.
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

// Name is the name of the kernel service.
const Name = "sender"

// callPath is the path that nodes accept calls of other nodes on.
const callPath = "/peer/call"

// localName is the name of the kernel service that runs calls on the node's own
// target.
const localService = "serve"

// pruneInterval is the time between removals of the statistics of nodes that are
// gone.
const pruneInterval = 30 * time.Second

// Local runs calls on the node's own target.
type Local interface {
	Call(ctx context.Context, call wire.Call, header http.Header, body []byte) peers.Reply
}

// Permit reports whether one retry is allowed. It may block, and may take a token
// of the organisation's rate.
type Permit func(ctx context.Context) bool

// Message is a call with the headers and body of its request.
type Message struct {
	Call   wire.Call
	Header http.Header
	Body   []byte
	// Deadline bounds all attempts together.
	Deadline time.Time
	// Permit is asked before each retry; nil allows all.
	Permit Permit
}

// Result is the result of a call: a complete response, or a Refusal.
type Result struct {
	Refusal *failure.Refusal
	Status  int
	Header  http.Header
	Body    []byte
	// UnusedRetries is how many retries of the call's budget are left.
	UnusedRetries int
	// Sends is the number of attempts, including those of inner calls.
	Sends int
}

// Service sends calls and retries them.
type Service struct {
	client *peers.Client
	gossip *gossip.Service
	config *active.Service
	log    *logrus.Entry
	local  Local
	self   string

	mu       sync.Mutex
	balancer *balancer.Balancer
	ratio    *budget.Ratio

	sends   *metrics.Counter
	retries *metrics.Counter
}

// New returns the service.
func New(zone string, client *peers.Client, g *gossip.Service, config *active.Service, set *metrics.Set, log *logrus.Entry) *Service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Service{
		client:   client,
		gossip:   g,
		config:   config,
		log:      log,
		self:     g.Self().ID,
		balancer: balancer.New(zone, random),
		ratio:    budget.NewRatio(0),
		sends:    set.NewCounter("chestnutshed_sends_total"),
		retries:  set.NewCounter("chestnutshed_extra_sends_total"),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.local, err = kernel.Find[Local](k, localService); err != nil {
		return fmt.Errorf("find the service that runs calls on the own target: %w", err)
	}
	k.Every(pruneInterval, func(context.Context) { s.prune() })
	return nil
}

func (s *Service) prune() {
	present := map[string]bool{}
	s.gossip.WithTable(func(t *member.Table) {
		for _, r := range t.All() {
			present[r.ID] = !r.Gone()
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Prune(func(id string) bool { return present[id] })
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
		Retries    uint64 `json:"extra_sends"`
	}{s.balancer.Len(), s.sends.Get(), s.retries.Get()}
}

// Candidates returns the nodes that serve a service, as gossip knows them.
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

// Downstream returns the admission cutoffs that calls of a route to a service
// meet, there and at the services behind it, from recent answers to this node.
func (s *Service) Downstream(now time.Time, service, route string) []balancer.Downstream {
	all := s.Candidates(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Downstream(now, all, service, route)
}

// Send sends a call, with retries. It returns on a complete response, a refusal
// that rules out a retry, or the deadline.
func (s *Service) Send(ctx context.Context, m Message) Result {
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	attempts := retry.NewAttempts(balancer.Call{
		Route: m.Call.Route,
		Score: m.Call.Score,
		Depth: m.Call.Depth,
	}, m.Call.Idempotent, m.Call.Retries)
	var reply peers.Reply
	for ctx.Err() == nil {
		send, ok := s.nextStep(ctx, attempts, m).(retry.Send)
		if !ok {
			break
		}
		reply = s.attempt(ctx, m, send, attempts)
	}
	return resultOf(attempts, reply)
}

// nextStep returns what to do next. It asks for the permit of a retry before it
// locks mu, because that may block.
func (s *Service) nextStep(ctx context.Context, attempts *retry.Attempts, m Message) retry.Step {
	permit := func() bool { return true }
	if attempts.Sends() > 0 && attempts.WithinBudget() && m.Permit != nil && attempts.Allowed() {
		allowed := m.Permit(ctx)
		permit = func() bool { return allowed }
	}
	all := s.Candidates(m.Call.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.config.Get(); c != nil {
		s.ratio.SetRatio(c.Index.Manifest().Retry.Ratio)
	}
	return attempts.Next(time.Now(), all, s.balancer, s.ratio, permit)
}

// attempt sends the call once and records the result.
func (s *Service) attempt(ctx context.Context, m Message, send retry.Send, attempts *retry.Attempts) peers.Reply {
	to := send.Pick.Candidate
	call := m.Call
	call.ID = uuid.NewString()
	call.Forced = send.Pick.Forced
	call.Retries = send.Lent
	call.Remaining = time.Until(m.Deadline)
	s.sends.Inc()
	if attempts.Sends() > 1 {
		s.retries.Inc()
	}
	reply, err := s.deliver(ctx, to, call, m)
	if err != nil {
		s.recordLost(ctx, to, call, err, attempts)
		return reply
	}
	s.mu.Lock()
	s.balancer.Answered(time.Now(), to.ID, balancer.Report{Route: call.Route, Load: reply.Outcome.Load, Cutoff: reply.Outcome.Cutoff, Downstream: reply.Outcome.Downstream})
	s.mu.Unlock()
	var result retry.Result = retry.Answer{Status: reply.Outcome.Status, InnerFailed: reply.Outcome.InnerFailed}
	if r := reply.Outcome.Refusal; r != nil {
		result = retry.Refused{Refusal: r.WithRetryAfter(reply.Outcome.RetryAfter)}
	}
	attempts.Record(result, send.Lent, reply.Outcome.UnusedRetries, reply.Outcome.Sends)
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

// recordLost records an attempt without an answer. Unless nothing was sent, the
// retries lent to it count as used. The number of attempts of inner calls that it
// led to is unknown.
func (s *Service) recordLost(ctx context.Context, to balancer.Candidate, call wire.Call, err error, attempts *retry.Attempts) {
	notSent := errors.Is(err, peers.ErrNotSent)
	s.mu.Lock()
	unused := 0
	if notSent {
		unused = call.Retries
	}
	attempts.Record(retry.NoAnswer{NotSent: notSent}, call.Retries, unused, 0)
	if ctx.Err() != nil && !errors.Is(err, peers.ErrNoHeartbeat) {
		s.balancer.Canceled(to.ID)
	} else {
		s.balancer.Failed(time.Now(), to.ID)
	}
	s.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.gossip.ReportRefused(to.ID)
	}
	s.log.WithField("root", call.Root).WithField("peer", to.Address).Debug("call got no answer: ", err)
}

// resultOf returns the result of a call from its attempts and the latest reply.
func resultOf(attempts *retry.Attempts, reply peers.Reply) Result {
	r := Result{UnusedRetries: attempts.Remaining(), Sends: attempts.TotalSends()}
	switch last := attempts.Result().(type) {
	case retry.Answer:
		r.Status, r.Header, r.Body = reply.Outcome.Status, reply.Header, reply.Body
	case retry.Refused:
		r.Refusal = last.Refusal
	}
	return r
}
