// Package node assembles and runs the proxy process of one VM, through which
// local callers reach every service.
package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/confsync"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/departure"
	"chestnutshed.example/chestnutshed/internal/fleet/era"
	"chestnutshed.example/chestnutshed/internal/fleet/evacuation"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/fleet/quarantine"
	"chestnutshed.example/chestnutshed/internal/fleet/quota"
	"chestnutshed.example/chestnutshed/internal/fleet/rejection"
	"chestnutshed.example/chestnutshed/internal/fleet/roster"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/coldstart"
	"chestnutshed.example/chestnutshed/internal/policy/intake"
	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"chestnutshed.example/chestnutshed/internal/policy/retrybudget"
	"chestnutshed.example/chestnutshed/internal/policy/spill"
	"chestnutshed.example/chestnutshed/internal/traffic/bodies"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"chestnutshed.example/chestnutshed/internal/traffic/inbound"
	"chestnutshed.example/chestnutshed/internal/traffic/relay"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// drainNotice is how long callers and peers have to notice a planned stop.
	drainNotice = 2200 * time.Millisecond
	// exitMargin is the part of the grace period kept for the exit of the
	// process.
	exitMargin = 800 * time.Millisecond
	// answerMargin is the part of the time until the end of a stop that is kept for
	// the last answers.
	answerMargin = 200 * time.Millisecond
	// idlePoll is the time between checks whether all requests have ended.
	idlePoll = 20 * time.Millisecond
	// keyMargin is subtracted from the time within which a revoked key must
	// stop working. It allows for requests under way and for clocks that are
	// read late.
	keyMargin = 500 * time.Millisecond
	// memoryFraction is the fraction of the memory limit above which the
	// garbage collector works harder.
	memoryFraction = 0.6
	// gcPercent is the garbage, in percent of the live heap, that starts a
	// collection. The heap is a few megabytes: with 50, collections took an
	// eighth of the processor time.
	gcPercent = 100
	// Large answers may take 1/responseDivisor of the memory limit while they
	// are read. They take the same again as garbage, and once more when they
	// are assembled. minResponseBudget, in bytes, has room for one answer of
	// the greatest size.
	responseDivisor   = 8
	minResponseBudget = 33 << 20
	// Bodies of callers' requests, and of peers', may each take 1/bodyDivisor of the
	// memory limit. If that is less than the largest body and growRoom, in bytes, for its
	// buffer while it grows, they may take so much, up to maxBodyFloor.
	bodyDivisor  = 4
	growRoom     = 5 << 20
	maxBodyFloor = 69 << 20
	// New requests are refused while responses that wait for slow readers take
	// 1/unwrittenDivisor of the memory limit, or minUnwritten, in bytes, if that is more.
	unwrittenDivisor = 8
	minUnwritten     = 16 << 20
	// httpTimeout limits reads and writes on the HTTP listeners, such as those
	// for readiness, announcements and operators.
	httpTimeout = 3 * time.Second
)

// Adapter holds the parts that depend on the platform.
type Adapter struct {
	Dialect     call.Dialect
	Source      confsync.Source
	Directory   roster.Directory
	Leaves      departure.Store
	Evacuations evacuation.Source
	// Eras tracks the era of the store, which its client tells. Nil is a store that never
	// comes back from an older copy.
	Eras          *era.Tracker
	Announcements func(sink *inbound.Service, address string, now func() time.Time, log *logrus.Entry) http.Handler
	Ready         func(ready func() bool) http.Handler
}

// Node is a running node.
type Node struct {
	settings  settings.Mesh
	log       *logrus.Entry
	kernel    *kernel.Kernel
	metricSet *metrics.Set

	config     *confsync.Service
	roster     *roster.Service
	rates      *quota.Service
	quarantine *quarantine.Service
	rejections *rejection.Service
	departures *departure.Service
	// evacuations are the availability zones that get no work.
	evacuations *evacuation.Service
	inbound     *inbound.Service
	relay       *relay.Service
	callers     *httpconn.Server
	peers       *httpconn.Server

	draining atomic.Bool
}

// New assembles a node and opens its listeners for callers, peers and
// datagrams.
func New(s settings.Mesh, adapter Adapter, log *logrus.Logger) (*Node, error) {
	n := &Node{settings: s, log: log.WithField("node", s.Node), kernel: kernel.New(), metricSet: metrics.NewSet()}
	debug.SetGCPercent(gcPercent)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory<<20) * memoryFraction))
	}
	n.kernel.OnPanic = n.recordPanic
	if adapter.Eras == nil {
		adapter.Eras = era.New(n.log)
	}
	n.metricSet.NewGauge("store_era", func() float64 {
		number, _ := adapter.Eras.Current().Number()
		return float64(number)
	})
	now := clock.Now()
	n.config = confsync.New(adapter.Source, s.RevokeDelay.Duration(), n.logger(confsync.Name))
	var err error
	n.roster, err = roster.New(now, roster.Options{Node: s.Node, Listen: s.Datagrams, Self: member.Record{
		Address: s.Public.Peers, Operators: s.Operators, Datagrams: s.Public.Datagrams, Zone: s.Zone, Region: s.Region,
	}, Eras: adapter.Eras}, adapter.Directory, n.config, n.logger(roster.Name))
	if err != nil {
		return nil, fmt.Errorf("open roster: %w", err)
	}
	n.rates = quota.New(clock.Now, n.roster, n.config, n.logger(quota.Name))
	n.roster.AddTopic(quota.Name, n.rates)
	n.quarantine = quarantine.New(clock.Now, n.roster, n.logger(quarantine.Name))
	n.roster.AddTopic(quarantine.Name, n.quarantine)
	n.rejections = rejection.New(clock.Now, n.logger(rejection.Name))
	n.roster.AddTopic(rejection.Name, n.rejections)
	n.evacuations = evacuation.New(now, s.Zone, s.EvacuationDelay.Duration(), adapter.Evacuations, n.roster, adapter.Eras, n.logger(evacuation.Name))
	n.roster.AddTopic(evacuation.Name, n.evacuations)
	n.metricSet.NewGauge("evacuated_zones", func() float64 { return float64(n.evacuations.Count(clock.Now())) })
	n.departures = departure.New(s.Node, adapter.Leaves, n.roster, adapter.Eras, n.logger(departure.Name))
	answers := httpconn.NewBudget(responseBudget(s))
	n.inbound = inbound.New(inbound.Options{
		Address: s.Target, ResponseBudget: answers, Retries: retrybudget.Limits{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window.Duration()}, OnChange: n.publishTarget,
		Quarantine:  n.quarantine,
		Rejections:  n.rejections,
		Backlogged:  n.backlogged,
		Synced:      func(now time.Time) bool { return n.roster.Synced(now) },
		Departures:  n.departures,
		HealthPath:  n.healthPath,
		HasLeft:     func(instance string, born int64) bool { return n.roster.TargetLeft(instance, born) },
		TargetCount: func(service string) int { return len(n.roster.Serving(clock.Now(), service)) },
		OwnZone:     n.evacuations.OwnZone,
		ColdBound:   n.coldBound,
		Downstream: func(now time.Time, service, route string) []balancer.Downstream {
			return n.relay.Downstream(now, service, route)
		},
	}, adapter.Dialect, n.metricSet, n.logger(inbound.Name))
	n.relay = relay.New(s.Zone, n.relaySettings(s), relay.Deps{
		Dialect: adapter.Dialect, Config: n.config, Roster: n.roster, Quota: n.rates,
		Inbound: n.inbound, Quarantine: n.quarantine, Rejections: n.rejections, Evacuations: n.evacuations, ResponseBudget: answers, Backlogged: n.backlogged, Metrics: n.metricSet, Log: n.logger(relay.Name),
	})
	if err := n.listen(adapter); err != nil {
		return nil, err
	}
	for _, service := range []kernel.Service{n.config, n.roster, n.rates, n.quarantine, n.rejections, n.departures, n.evacuations, n.inbound, n.relay} {
		if err := n.kernel.Register(service); err != nil {
			return nil, fmt.Errorf("assemble node: %w", err)
		}
	}
	return n, nil
}

// responseBudget returns how much memory large answers may take, in bytes.
func responseBudget(s settings.Mesh) int64 {
	return max(int64(s.Memory)<<20/responseDivisor, minResponseBudget)
}

// bodyBound returns how much memory request bodies may take on each of the listeners for
// callers and peers, in bytes. With one bound for both, nodes whose callers have used it up
// would refuse each other's calls.
func (n *Node) bodyBound() int64 {
	if n.settings.Bodies > 0 {
		return int64(n.settings.Bodies) << 20
	}
	return max(int64(n.settings.Memory)<<20/bodyDivisor, min(n.limits().Body+growRoom, maxBodyFloor))
}

// backlogged reports whether the responses that wait for slow readers take too much
// memory.
func (n *Node) backlogged() bool {
	limit := max(int64(n.settings.Memory)<<20/unwrittenDivisor, minUnwritten)
	return n.callers.Unwritten()+n.peers.Unwritten() > limit
}

// healthPath returns the path of the health check of a service's targets, or "".
func (n *Node) healthPath(service string) string {
	c := n.config.Get()
	if c == nil {
		return ""
	}
	if s := c.Rules.ServiceByName(service); s != nil {
		return s.HealthPath
	}
	return ""
}

// coldBound returns what targets of a service take while they are cold, and false while
// that is not known.
func (n *Node) coldBound(service string) (coldstart.Bound, bool) {
	c := n.config.Get()
	if c == nil {
		return coldstart.Bound{}, n.settings.Cold == settings.ColdLimits{}
	}
	rule := c.Rules.ServiceByName(service)
	if rule == nil {
		return coldstart.Bound{}, true
	}
	return coldstart.Bound{
		Time: rule.ColdTime, PerSecond: rule.ColdRate, Overage: cmp.Or(n.settings.Cold.Overage, 1), Slack: n.settings.Cold.Slack,
	}, true
}

func (n *Node) logger(service string) *logrus.Entry { return n.log.WithField("component", service) }

func (n *Node) relaySettings(s settings.Mesh) relay.Settings {
	price, inner := s.Zones.Prices()
	return relay.Settings{
		MaxKeyAge: s.RevokeDelay.Duration() - keyMargin,
		Service:   s.Service,
		ZonePrice: spill.Price{Root: price, Inner: inner},
	}
}

// limits returns the limits for callers, from the configuration in force.
func (n *Node) limits() httpconn.Limits {
	l := rules.DefaultLimits()
	if c := n.config.Get(); c != nil {
		l = c.Rules.Limits
	}
	return httpconn.Limits{Header: l.MaxHeaderBytes, Body: l.MaxBodyBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, Connections: n.settings.Files / callersDivisor}
}

// peerLimits returns the limits for peers. They allow for the headers that
// nodes add, and keep idle connections open longer.
func (n *Node) peerLimits() httpconn.Limits {
	l := n.limits()
	l.Header += peerHeaderRoom
	l.IdleTimeout = peerIdleTimeout
	l.Connections = n.settings.Files / peersDivisor
	return l
}

const (
	// peerHeaderRoom is the size of the headers that nodes add, in bytes.
	peerHeaderRoom = 8 << 10
	// The listeners for callers and peers may use 1/callersDivisor and
	// 1/peersDivisor of the file descriptors, since idle callers hold memory.
	// Twice the two numbers leaves more than a third for connections to the
	// target and to peers.
	callersDivisor = 8
	peersDivisor   = 6
	// peerIdleTimeout is how long an idle connection from a peer stays open.
	peerIdleTimeout = 30 * time.Second
)

func (n *Node) listen(adapter Adapter) error {
	var err error
	if n.callers, err = httpconn.Listen(n.settings.Callers, n.limits, n.relay.Handle); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if n.peers, err = httpconn.Listen(n.settings.Peers, n.peerLimits, n.inbound.Handle); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	gate := func(name string, describe func(time.Time, *httpconn.Request) (intake.Body, bool)) *bodies.Gate {
		return bodies.New(bodies.Options{Name: name, Bound: n.bodyBound, Describe: describe, Metrics: n.metricSet, Log: n.logger("bodies")})
	}
	callers, peers := gate("callers", n.relay.DescribeBody), gate("peers", n.inbound.DescribeBody)
	n.callers.Intake, n.peers.Intake = callers, peers
	for _, server := range []*httpconn.Server{n.callers, n.peers} {
		server.OnError = func(err error) { n.log.WithError(err).WithField("address", server.Address()).Warn("accept failed") }
		server.OnPanic = n.recordPanic
	}
	n.metricSet.NewGauge("unwritten_bytes", func() float64 { return float64(n.callers.Unwritten() + n.peers.Unwritten()) })
	n.metricSet.NewGauge("request_body_bytes", func() float64 { return float64(callers.Held() + peers.Held()) })
	n.registerHTTP(n.settings.Ready, adapter.Ready(n.isReady))
	n.registerHTTP(n.settings.Announcements, adapter.Announcements(n.inbound, n.settings.Target, clock.Now, n.logger("announcements")))
	n.registerHTTP(n.settings.Operators, n.operators())
	if n.settings.Metrics != "" {
		n.registerHTTP(n.settings.Metrics, n.metrics())
	}
	return nil
}

// recordPanic logs and counts a panic that ended one request or one step of a background
// task.
func (n *Node) recordPanic(value any, stack []byte) {
	n.metricSet.GetOrCreateCounter("panics_total").Inc()
	n.log.WithFields(logrus.Fields{"panic": fmt.Sprint(value), "stack": string(stack)}).Error("panic recovered")
}

// registerHTTP registers an HTTP listener as a service of the kernel.
func (n *Node) registerHTTP(address string, h http.Handler) {
	s := &httpListener{address: address, server: &http.Server{Handler: h, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout}}
	if err := n.kernel.Register(s); err != nil {
		n.log.WithError(err).Error("HTTP listener not registered")
	}
}

func (n *Node) isReady() bool { return !n.draining.Load() && n.config.Get() != nil }

// publishTarget sends the state of this node's target to peers.
func (n *Node) publishTarget(t lifecycle.Target) {
	failing := n.inbound.Failing()
	n.roster.Update(clock.Now(), func(r member.Record) member.Record {
		r.Service, r.Slots, r.Instance, r.Born = t.Last.Service, t.Slots(), t.Last.ID, t.Last.Born
		r.Deregistered = t.HasLeft()
		r.Until = t.LeftUntil()
		r.Failing, r.Leaving = failing, n.draining.Load()
		return r
	})
}

// Run runs the node until ctx ends or the kernel fails, then stops it
// gracefully.
func (n *Node) Run(ctx context.Context) error {
	if err := n.kernel.Start(context.WithoutCancel(ctx)); err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	n.kernel.Go(n.callers.Serve)
	n.kernel.Go(n.peers.Serve)
	n.log.WithFields(logrus.Fields{"id": n.roster.Self().ID, "zone": n.settings.Zone, "target": n.settings.Service}).Info("node is running")
	select {
	case <-ctx.Done():
	case <-n.kernel.Done():
	}
	return n.stop()
}

// stop stops the node without cutting off requests. Callers and peers are
// notified that it accepts no new work, and running requests may end within the
// grace period.
func (n *Node) stop() error {
	began := time.Now()
	n.draining.Store(true)
	n.log.WithField("busy", n.callers.InFlight()+n.inbound.InFlight()).Info("node is stopping")
	n.inbound.Drain(clock.Now())
	n.roster.Update(clock.Now(), func(r member.Record) member.Record {
		r.Leaving, r.Slots = true, 0
		return r
	})
	n.callers.Drain()
	deadline := began.Add(n.settings.Grace.Duration() - exitMargin)
	lastAnswer := deadline.Add(-answerMargin)
	n.relay.Drain(clock.Now(), clock.Now().Add(time.Until(lastAnswer)))
	defer time.AfterFunc(time.Until(lastAnswer), n.relay.Abort).Stop()
	inFlight := func() int { return n.callers.InFlight() + n.inbound.InFlight() + n.peers.InFlight() }
	for time.Now().Before(lastAnswer) && (time.Since(began) <= drainNotice || inFlight() > 0) {
		time.Sleep(idlePoll)
	}
	busy := n.callers.InFlight() + n.inbound.InFlight()
	n.callers.Shutdown(deadline)
	n.roster.Leave(clock.Now())
	n.peers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin/2)
	defer cancel()
	err := n.kernel.Stop(ctx)
	n.log.WithFields(logrus.Fields{"busy": busy, "ms": time.Since(began).Milliseconds()}).Info("node has stopped")
	if err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}

// Reload applies changed settings. Only the settings of the relay change while
// the node runs.
func (n *Node) Reload(s settings.Mesh) {
	n.relay.UpdateSettings(n.relaySettings(s))
	n.log.WithField("service", s.Service).Info("settings reloaded")
}

// httpListener is a listener served by net/http.
type httpListener struct {
	address string
	server  *http.Server
}

// Name implements kernel.Service.
func (s *httpListener) Name() string { return "listener " + s.address }

// Start implements kernel.Service.
func (s *httpListener) Start(_ context.Context, k *kernel.Kernel) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	k.Go(func(context.Context) error {
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve %s: %w", s.address, err)
		}
		return nil
	})
	return nil
}

// Stop implements kernel.Service.
func (s *httpListener) Stop(context.Context) error { return s.server.Close() }

// State implements kernel.Service.
func (s *httpListener) State() any { return nil }
