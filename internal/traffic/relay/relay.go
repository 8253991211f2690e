// Package relay is the entry node's side of a request: it finds the route, the
// organisation and a target's node, and gives the caller one final answer.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/follow"
	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/quota"
	"chestnutshed.example/chestnutshed/internal/fleet/roster"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/overload"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/rank"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"chestnutshed.example/chestnutshed/internal/traffic/inbound"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Name of the service.
const Name = "relay"

const (
	// peerDial bounds a connection to a peer: several round trips between zones.
	peerDial = 250 * time.Millisecond
	// peerIdle bounds the idle connections to one peer.
	peerIdle = 16
	// maxAnswer bounds an answer's body, in bytes.
	maxAnswer = 32 << 20
	// places is the number of nodes that are asked for a slot.
	places = 3
	// turns is the number of refusals by targets after which a request is
	// refused: where half of all sends are, nine in ten pass before.
	turns = 4
	// noRepeatFor is how long calls of targets are not sent again to a service
	// after one of its nodes said that second sends are used up: about as long
	// as it takes to earn one.
	noRepeatFor = 50 * time.Millisecond
	// answerGrace is how long past the request's time a peer's final word is
	// awaited.
	answerGrace = 80 * time.Millisecond
	// waitPart is the part of a route's objective that a caller's request may
	// wait for a slot: after an eighth, a refusal serves the caller better.
	waitPart = 8
	// innerWaitPart is the same for calls of targets, whose callers hold slots
	// and have work done already.
	innerWaitPart = 2
	// noConfigAfter, staleAfter and noTargetAfter are when a caller refused
	// for the reason may come back.
	noConfigAfter = 300 * time.Millisecond
	staleAfter    = 500 * time.Millisecond
	noTargetAfter = 200 * time.Millisecond
	// returnPart is the part of a route's objective after which callers return on
	// average: late enough for a surge to move on, early enough for full worth.
	returnPart = 0.4
	// poolsKept is the number of peers' pools at which unused ones are dropped.
	poolsKept = 128
)

// Settings are what an operator or the platform sets.
type Settings struct {
	// MaxKeyAge is the greatest age of the configuration's confirmation at which
	// keys are honoured.
	MaxKeyAge time.Duration
	// Service is the service of the target on this VM, which calls made here
	// come from.
	Service string
}

// Deps are the services that the relay works with.
type Deps struct {
	Dialect call.Dialect
	Config  *follow.Service
	Roster  *roster.Service
	Quota   *quota.Service
	Inbound *inbound.Service
	// ResponseBudget bounds the memory of large answers.
	ResponseBudget *httpconn.Budget
	Metrics        *metrics.Set
	Log            *logrus.Entry
}

// Service answers callers.
type Service struct {
	Deps
	terms  atomic.Pointer[Settings]
	zone   string
	taking atomic.Int32
	serial atomic.Uint64

	mu      sync.Mutex
	chooser *balancer.Balancer
	ranker  *rank.Ranker
	denied  map[string]time.Time
	// scratch holds the candidates of one choice.
	scratch []balancer.Candidate
	pools   map[string]*httpconn.Pool

	took *metrics.Histogram
}

// New returns the service of a node in an availability zone.
func New(zone string, t Settings, p Deps) *Service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Service{
		Deps: p, zone: zone, chooser: balancer.New(zone, random), ranker: rank.New(),
		denied: map[string]time.Time{}, pools: map[string]*httpconn.Pool{},
		took: p.Metrics.NewHistogram("request_seconds"),
	}
	s.terms.Store(&t)
	return s
}

// UpdateSettings changes the terms.
func (s *Service) UpdateSettings(t Settings) { s.terms.Store(&t) }

// Accepting is whose requests the relay still takes while its node stops.
type Accepting int32

// The steps of a stop: everybody's, only calls of the own target, nobody's.
const (
	AcceptAll Accepting = iota
	AcceptInner
	AcceptNone
)

// SetAccepting changes whose requests are taken; the others are refused as not run.
func (s *Service) SetAccepting(t Accepting) { s.taking.Store(int32(t)) }

// takes reports whether a request on a route is taken.
func (s *Service) takes(r *rules.Route) bool {
	switch Accepting(s.taking.Load()) {
	case AcceptInner:
		return r.Open
	case AcceptNone:
		return false
	}
	return true
}

// Handle implements httpconn.Handler.
func (s *Service) Handle(ctx context.Context, in *httpconn.Request) *httpconn.Response {
	q := &request{wish: s.Dialect.Wish(in.Header), in: in, began: in.Received}
	resp, v := s.decide(ctx, q)
	now := clock.Now()
	if ctx.Err() != nil {
		v = &verdict{reason: "caller-left"}
	}
	s.record(now, q, resp, v)
	switch {
	case ctx.Err() != nil:
		return nil
	case v != nil:
		return s.Dialect.Refusal(q.wish.ID, v.status, v.after, v.reason)
	}
	httpconn.StripHopHeaders(resp.Header)
	return resp
}

// decide answers a request or says why not.
func (s *Service) decide(ctx context.Context, q *request) (*httpconn.Response, *verdict) {
	if v := s.accept(q); v != nil {
		return nil, v
	}
	q.until = q.began.Add(q.route.Timeout)
	if q.wish.Timeout > 0 && q.wish.Timeout < q.route.Timeout {
		q.until = q.began.Add(q.wish.Timeout)
	}
	if q.org != nil {
		got := s.Quota.Take(ctx, clock.Now(), q.org, q.route.Rank)
		q.quota = got.String()
		if got == quota.Exceeded {
			return nil, &verdict{http.StatusTooManyRequests, failure.RateExceeded, quota.RetryAfter()}
		}
	}
	s.describe(q)
	resp, v := s.place(ctx, q)
	if v != nil && q.runs == 0 && q.quota == quota.Taken.String() {
		s.Quota.Refund(clock.Now(), q.org, q.route.Rank)
	}
	return resp, v
}

// accept finds route and organisation, or refuses.
func (s *Service) accept(q *request) *verdict {
	if q.wish.ID == "" {
		return &verdict{http.StatusBadRequest, failure.BadRequest, 0}
	}
	now := clock.Now()
	q.config, q.age = s.Config.Get(), s.Config.Age(now)
	if q.config == nil {
		return &verdict{http.StatusServiceUnavailable, failure.NotReady, noConfigAfter}
	}
	stale := &verdict{http.StatusServiceUnavailable, "stale-config", staleAfter}
	q.route = q.config.Rules.Lookup(q.in.Host, q.in.Path())
	isStale := q.age > s.terms.Load().MaxKeyAge
	switch {
	case q.route == nil && isStale:
		return stale
	case q.route == nil:
		return &verdict{http.StatusNotFound, failure.NoRoute, 0}
	case !s.takes(q.route):
		return &verdict{http.StatusServiceUnavailable, failure.Leaving, noConfigAfter}
	case q.route.Open:
		return nil
	case isStale:
		return stale
	case q.wish.Key == "":
		return &verdict{http.StatusUnauthorized, failure.NoKey, 0}
	}
	if q.org = q.config.Rules.ByKey(q.wish.Key); q.org == nil {
		return &verdict{http.StatusUnauthorized, failure.BadKey, 0}
	}
	return nil
}

// importances of callers' requests by their organisation's rank, the highest first;
// calls of targets go before all of them.
var importances = [...]manifest.Importance{manifest.High, manifest.Normal, manifest.Low}

// score orders a caller's request: by its organisation's rank, or its route's if the
// organisation has none, then by its route's, then by its place among those alike.
func score(o *rules.Organisation, r *rules.Route, place float64) priority.Score {
	order := r.Rank
	if o.HasRank {
		order = o.Rank
	}
	return priority.NewGraded(importances[min(max(order, 0), len(importances)-1)], r.Rank, place)
}

// describe makes the call that serving nodes get.
func (s *Service) describe(q *request) {
	c := call.Call{
		ID: q.wish.ID, Route: q.route.Name, Caller: s.terms.Load().Service, Idempotent: q.route.Idempotent, Depth: 1,
		Service: q.route.Pick(rules.Spread(q.config.Rules.Start(), s.serial.Add(1))),
	}
	wait := q.route.Objective / waitPart
	now := clock.Now()
	if q.org == nil {
		c.Depth, wait = 2, q.route.Objective/innerWaitPart
		c.Score = priority.New(manifest.Critical, 0)
		c.RetryFraction = s.Inbound.RetryFraction()
		q.parent, _ = s.Inbound.RecordInnerCall(now, overload.Child{Service: c.Service, Route: c.Route}, q.began.Add(q.wish.Timeout))
		c.RootScore, c.RootCertain = q.parent.Root, q.parent.RootCertain()
	} else {
		c.Organisation = q.org.Name
		s.mu.Lock()
		place := s.ranker.RelativeRank(now, rank.Flow{Organisation: q.org.Name, Class: score(q.org, q.route, 0).Class()}, max(q.org.Rate, 1), rand.Float64())
		s.mu.Unlock()
		c.Score = score(q.org, q.route, place)
	}
	q.call, q.patience = c, now.Add(wait)
}

// sweepEvery is the time between looks for pools and estimates that are not
// used any more.
const sweepEvery = 10 * time.Second

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every(sweepEvery, func(context.Context) { s.sweep(clock.Now()) })
	return nil
}

// sweep forgets what belongs to members that are gone.
func (s *Service) sweep(now time.Time) {
	present := func(id string) bool {
		r, ok := s.Roster.Get(id)
		return ok && !r.Gone()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranker.Prune(now)
	s.chooser.Prune(present)
	if len(s.pools) > poolsKept {
		for address, p := range s.pools {
			p.CloseIdle()
			delete(s.pools, address)
		}
	}
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// State implements kernel.Service.
func (s *Service) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	dials := uint64(0)
	for _, p := range s.pools {
		dials += p.Dials()
	}
	return struct {
		Requests uint64 `json:"requests"`
		Peers    int    `json:"peers"`
		Dials    uint64 `json:"connections"`
	}{s.serial.Load(), len(s.pools), dials}
}
