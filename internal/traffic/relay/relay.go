// Package relay is the entry side of a node: it finds the route, the organisation
// and a serving node for a request, and gives the caller one final response.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/evacuation"
	"chestnutshed.example/chestnutshed/internal/fleet/quarantine"
	"chestnutshed.example/chestnutshed/internal/fleet/quota"
	"chestnutshed.example/chestnutshed/internal/fleet/rejection"
	"chestnutshed.example/chestnutshed/internal/fleet/roster"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/overload"
	"chestnutshed.example/chestnutshed/internal/policy/poison"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/rank"
	"chestnutshed.example/chestnutshed/internal/policy/returns"
	"chestnutshed.example/chestnutshed/internal/policy/spill"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"chestnutshed.example/chestnutshed/internal/traffic/inbound"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Name is the name of the service in the kernel and in logs.
const Name = "relay"

const (
	// peerDialTimeout bounds opening a connection to a peer. It allows for several
	// round trips between availability zones.
	peerDialTimeout = 250 * time.Millisecond
	// maxIdlePeerConns is the number of idle connections kept open to each peer.
	maxIdlePeerConns = 16
	// maxResponse is the largest response body accepted, in bytes.
	maxResponse = 32 << 20
	// maxNodes is the number of nodes asked for a slot.
	maxNodes = 3
	// maxRejections is the number of rejections by targets after which a request is
	// refused. If targets reject half of all attempts, a request that needs eight calls
	// completes 97 times in 100.
	maxRejections = 8
	// retryPause is how long calls made by targets are not retried on a service
	// after one of its nodes reported that its retry budget is used up. The budget
	// earns one more retry in about that time.
	retryPause = 50 * time.Millisecond
	// responseGrace is how long past the request's deadline to wait for a peer's
	// outcome.
	responseGrace = 80 * time.Millisecond
	// waitDivisor divides the route's objective to give the longest wait of a
	// caller's request for a slot. After an eighth, a refusal is better for the
	// caller.
	waitDivisor = 8
	// innerWaitDivisor is the same for calls made by targets. They may wait longer,
	// since their callers hold slots and have done work already.
	innerWaitDivisor = 2
	// Retry-After of refusals that are not due to overload: no configuration yet or
	// node stopping, configuration too old, no target available.
	noConfigRetryAfter    = 300 * time.Millisecond
	staleConfigRetryAfter = 500 * time.Millisecond
	noTargetRetryAfter    = 200 * time.Millisecond
	// backlogRetryAfter is the Retry-After while slow readers take up the memory for
	// responses.
	backlogRetryAfter = 500 * time.Millisecond
	// innerRetryAfterFactor is the mean Retry-After of calls made by targets on overload,
	// as a fraction of the route's objective.
	innerRetryAfterFactor = 0.4
	// maxPools is the number of peers' connection pools above which all of them are
	// dropped. Those still in use are created again.
	maxPools = 128
)

// Settings are set by the operator or the platform and can change at run time.
type Settings struct {
	// MaxKeyAge is the longest time since the configuration was last confirmed
	// during which API keys are accepted.
	MaxKeyAge time.Duration
	// Service of the target on this VM, recorded as the source of calls that enter
	// at this node.
	Service string
	// ZonePrice is the price of traffic between availability zones.
	ZonePrice spill.Price
}

// Deps are the services that the relay depends on.
type Deps struct {
	Dialect call.Dialect
	Config  *confsync.Service
	Roster  *roster.Service
	Quota   *quota.Service
	Inbound *inbound.Service
	// Quarantine knows the requests that crash targets.
	Quarantine *quarantine.Service
	// Rejections knows which services reject calls at their targets.
	Rejections *rejection.Service
	// Evacuations knows the availability zones that get no work.
	Evacuations *evacuation.Service
	// ResponseBudget bounds the memory used by large responses.
	ResponseBudget *httpconn.Budget
	// Backlogged reports whether responses that wait for slow readers take too much
	// memory for new requests.
	Backlogged func() bool
	Metrics    *metrics.Set
	Log        *logrus.Entry
}

// Service handles requests of callers and of the node's own target.
type Service struct {
	Deps
	settings atomic.Pointer[Settings]
	zone     string
	stop     atomic.Pointer[stop]
	// aborted ends when the requests that are still in flight are given up.
	aborted context.Context
	abort   context.CancelFunc
	serial  atomic.Uint64

	mu            sync.Mutex
	balancer      *balancer.Balancer
	ranker        *rank.Ranker
	told          *returns.Book
	shortage      *returns.Shortage
	retriesDenied map[string]time.Time
	// candidateBuf is reused for the candidates of each choice.
	candidateBuf []balancer.Candidate
	pools        map[string]*httpconn.Pool
	targets      targets
	// rejectionsAt is when the balancer last got the services that reject calls.
	rejectionsAt time.Time

	duration *metrics.Histogram
}

// New returns the service of a node in an availability zone.
func New(zone string, t Settings, p Deps) *Service {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := &Service{
		Deps: p, zone: zone, balancer: balancer.New(zone, random), ranker: rank.New(), told: returns.NewBook(), shortage: returns.NewShortage(),
		retriesDenied: map[string]time.Time{}, pools: map[string]*httpconn.Pool{}, targets: newTargets(),
		duration: p.Metrics.NewHistogram("request_seconds"),
	}
	s.settings.Store(&t)
	s.balancer.SetPrice(t.ZonePrice)
	s.aborted, s.abort = context.WithCancel(context.Background())
	return s
}

// UpdateSettings replaces the settings.
func (s *Service) UpdateSettings(t Settings) {
	s.settings.Store(&t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetPrice(t.ZonePrice)
}

// Handle implements httpconn.Handler.
func (s *Service) Handle(ctx context.Context, in *httpconn.Request) *httpconn.Response {
	q := &request{info: s.Dialect.ParseRequest(in.Header), in: in, start: in.Received}
	resp, errResp := s.process(ctx, q)
	now := clock.Now()
	if ctx.Err() != nil {
		errResp = &errorResponse{reason: "caller-left"}
	}
	s.record(now, q, resp, errResp)
	switch {
	case ctx.Err() != nil:
		return nil
	case errResp != nil:
		return s.Dialect.Refusal(q.info.ID, errResp.status, errResp.after, errResp.reason)
	}
	httpconn.StripHopHeaders(resp.Header)
	return resp
}

// process returns the target's response or, if there is none, an error response.
func (s *Service) process(ctx context.Context, q *request) (*httpconn.Response, *errorResponse) {
	if errResp := s.resolve(q); errResp != nil {
		return nil, errResp
	}
	if s.Backlogged() {
		return nil, &errorResponse{http.StatusServiceUnavailable, failure.Backlog, backlogRetryAfter}
	}
	if q.in.NoRoom != nil {
		return nil, s.refuseBody(clock.Now(), q)
	}
	q.deadline = q.start.Add(q.route.Timeout)
	if q.info.Timeout > 0 && q.info.Timeout < q.route.Timeout {
		q.deadline = q.start.Add(q.info.Timeout)
	}
	if errResp := s.limitByStop(clock.Now(), q); errResp != nil {
		return nil, errResp
	}
	if errResp := s.quarantined(clock.Now(), q); errResp != nil {
		return nil, errResp
	}
	if q.org != nil {
		s.claimReturn(clock.Now(), q)
		got := s.Quota.Take(ctx, clock.Now(), q.org, q.quotaRequest())
		q.quotaResult = got.String()
		if got == quota.Exceeded {
			return nil, s.refuseRate(clock.Now(), q)
		}
	}
	s.passBody(clock.Now(), q)
	s.buildCall(q)
	resp, errResp := s.forward(ctx, q)
	if q.parent.ID != "" {
		s.Inbound.EndInnerCall(clock.Now(), q.parent)
	}
	if errResp != nil && q.attempts == 0 && q.quotaResult == quota.Taken.String() {
		s.Quota.Refund(clock.Now(), q.org, q.quotaRequest())
	}
	return resp, s.sendBack(clock.Now(), q, errResp)
}

// quarantined refuses a request that crashes targets.
func (s *Service) quarantined(now time.Time, q *request) *errorResponse {
	if !s.Quarantine.Active() {
		return nil
	}
	organisation := ""
	if q.org != nil {
		organisation = q.org.Name
	}
	q.print = poison.FingerprintOf(organisation, q.in.Method, q.in.Target, q.in.Body)
	if left := s.Quarantine.BanLeft(now, q.print); left > 0 {
		return &errorResponse{http.StatusServiceUnavailable, failure.Poison, left}
	}
	return nil
}

// resolve finds the route and organisation of a request, or returns an error response.
func (s *Service) resolve(q *request) *errorResponse {
	if q.info.ID == "" {
		return &errorResponse{http.StatusBadRequest, failure.BadRequest, 0}
	}
	now := clock.Now()
	q.config, q.configAge = s.Config.Get(), s.Config.Age(now)
	if q.config == nil {
		return &errorResponse{http.StatusServiceUnavailable, failure.NotReady, noConfigRetryAfter}
	}
	stale := &errorResponse{http.StatusServiceUnavailable, "stale-config", staleConfigRetryAfter}
	q.route = q.config.Rules.Lookup(q.in.Host, q.in.Path())
	isStale := q.configAge > s.settings.Load().MaxKeyAge
	switch {
	case q.route == nil && isStale:
		return stale
	case q.route == nil:
		return &errorResponse{http.StatusNotFound, failure.NoRoute, 0}
	case q.route.Public:
		return nil
	case isStale:
		return stale
	case q.info.Key == "":
		return &errorResponse{http.StatusUnauthorized, failure.NoKey, 0}
	}
	if q.org = q.config.Rules.ByKey(q.info.Key); q.org == nil {
		return &errorResponse{http.StatusUnauthorized, failure.BadKey, 0}
	}
	return nil
}

// importances by rank of an organisation or route, the highest first. Calls made by
// targets come before all of them.
var importances = [...]manifest.Importance{manifest.High, manifest.Normal, manifest.Low}

// score orders callers' requests by the organisation's rank, or the route's if the
// organisation has none, then by the route's rank, then by position in that class.
func score(o *rules.Organisation, r *rules.Route, position float64) priority.Score {
	order := r.Rank
	if o.HasRank {
		order = o.Rank
	}
	return priority.NewGraded(importances[min(max(order, 0), len(importances)-1)], r.Rank, position)
}

// class is the class of the request's importance; 0 is the highest.
func (q *request) class() int { return score(q.org, q.route, 0).Class() }

// buildCall sets the call for serving nodes and how long it may wait for a slot.
func (s *Service) buildCall(q *request) {
	c := call.Call{
		ID: q.info.ID, Route: q.route.Name, Caller: s.settings.Load().Service, Idempotent: q.route.Idempotent, Depth: 1,
		Service: q.route.Pick(rules.LowDiscrepancy(q.config.Rules.SequenceStart(), s.serial.Add(1))),
	}
	wait := q.route.Objective / waitDivisor
	now := clock.Now()
	if q.org == nil {
		c.Depth, wait = 2, q.route.Objective/innerWaitDivisor
		c.Score = priority.New(manifest.Critical, 0)
		c.RetryFraction = s.Inbound.RetryFraction()
		q.parent, _ = s.Inbound.RegisterInnerCall(now, overload.Child{Service: c.Service, Route: c.Route}, q.start.Add(q.info.Timeout))
		c.RootScore, c.RootCertain = q.parent.Root, q.parent.RootCertain()
	} else {
		c.Organisation = q.org.Name
		s.mu.Lock()
		position := s.ranker.RelativeRank(now, rank.Flow{Organisation: q.org.Name, Class: q.class()}, max(q.org.Rate, 1), rand.Float64())
		s.mu.Unlock()
		if q.turn == returns.WithPlace {
			position = 0
		}
		c.Score = score(q.org, q.route, position)
	}
	q.call, q.waitUntil = c, now.Add(wait)
}

const (
	// sweepInterval is the time between removals of unused pools and estimates.
	sweepInterval = 10 * time.Second
	// rejectionInterval is the time between updates of which services reject calls.
	rejectionInterval = 100 * time.Millisecond
)

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every(sweepInterval, func(context.Context) { s.sweep(clock.Now()) })
	return nil
}

// sweep removes the state of members that have left.
func (s *Service) sweep(now time.Time) {
	present := func(id string) bool {
		r, ok := s.Roster.Get(id)
		return ok && !r.Gone()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.prune(now)
	s.ranker.Prune(now)
	s.told.Prune(now)
	s.balancer.Prune(present)
	if len(s.pools) > maxPools {
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
