// Package node assembles a node that callers on its own VM use as their way to
// every service, and runs it.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/follow"
	"chestnutshed.example/chestnutshed/internal/config/rules"
	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/fleet/member"
	"chestnutshed.example/chestnutshed/internal/fleet/quota"
	"chestnutshed.example/chestnutshed/internal/fleet/roster"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/lifecycle"
	"chestnutshed.example/chestnutshed/internal/policy/retrybudget"
	"chestnutshed.example/chestnutshed/internal/traffic/call"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"chestnutshed.example/chestnutshed/internal/traffic/inbound"
	"chestnutshed.example/chestnutshed/internal/traffic/relay"
	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// hearTime is how long callers and peers get to notice a planned stop.
	hearTime = 2200 * time.Millisecond
	// Parts of the grace after which a node that stops refuses what comes.
	//
	// refusePart is for callers' requests, which have the rest to end; innerPart
	// for calls of the own target, which are short and whose callers wait.
	refusePart = 0.45
	innerPart  = 0.7
	// endMargin is what is left of the grace when the process ends.
	endMargin = 800 * time.Millisecond
	// idlePoll is the time between looks whether all requests have ended.
	idlePoll = 20 * time.Millisecond
	// keyMargin is what the age of a key's proof stays below the time in which
	// a withdrawn key must stop, for requests on their way and clocks read late.
	keyMargin = 500 * time.Millisecond
	// memoryPart is the part of the memory limit at which the collector works
	// harder.
	memoryPart = 0.6
	// collectAt is the garbage in percent of the live heap at which the collector
	// runs. A node's heap is a few megabytes: at 50 an eighth of its processor
	// time went to collecting.
	collectAt = 100
	// answersPart divides the memory limit: so much of it large answers may take
	// while they are read, with as much garbage, and as much again once they are
	// put together. leastAnswers is room for one of the greatest size, in bytes.
	answersPart  = 8
	leastAnswers = 33 << 20
	// httpTimeout bounds the side listeners' requests.
	httpTimeout = 3 * time.Second
)

// Adapter are what the platform's adapter provides.
type Adapter struct {
	Dialect       call.Dialect
	Source        follow.Source
	Directory     roster.Directory
	Announcements func(sink *inbound.Service, address string, now func() time.Time, log *logrus.Entry) http.Handler
	Ready         func(ready func() bool) http.Handler
}

// Node is one running node.
type Node struct {
	settings settings.Mesh
	log      *logrus.Entry
	kernel   *kernel.Kernel
	set      *metrics.Set

	config  *follow.Service
	roster  *roster.Service
	rates   *quota.Service
	guard   *inbound.Service
	relay   *relay.Service
	callers *httpconn.Server
	peers   *httpconn.Server

	draining atomic.Bool
}

// New assembles a node and opens its listeners.
func New(s settings.Mesh, seams Adapter, log *logrus.Logger) (*Node, error) {
	n := &Node{settings: s, log: log.WithField("node", s.Node), kernel: kernel.New(), set: metrics.NewSet()}
	debug.SetGCPercent(collectAt)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory<<20) * memoryPart))
	}
	now := clock.Now()
	n.config = follow.New(seams.Source, s.Revoke.Duration(), n.named(follow.Name))
	var err error
	n.roster, err = roster.New(now, roster.Options{Node: s.Node, Listen: s.Datagrams, Self: member.Record{
		Address: s.Public.Peers, Operators: s.Operators, Datagrams: s.Public.Datagrams, Zone: s.Zone, Region: s.Region,
	}}, seams.Directory, n.config, n.named(roster.Name))
	if err != nil {
		return nil, fmt.Errorf("open roster: %w", err)
	}
	n.rates = quota.New(clock.Now, n.roster, n.config, n.named(quota.Name))
	n.roster.AddTopic(quota.Name, n.rates)
	answers := httpconn.NewBudget(answersBudget(s))
	n.guard = inbound.New(inbound.Options{
		Address: s.Target, ResponseBudget: answers, Retries: retrybudget.Limits{Ratio: s.Extra.Ratio, Slack: s.Extra.Slack}, OnChange: n.announced,
		Synced:      func(now time.Time) bool { return n.roster.Settled(now) },
		HasLeft:     func(instance string, born int64) bool { return n.roster.TargetLeft(instance, born) },
		TargetCount: func(service string) int { return len(n.roster.Serving(clock.Now(), service)) },
		Downstream: func(now time.Time, service, route string) []balancer.Downstream {
			return n.relay.Downstream(now, service, route)
		},
	}, seams.Dialect, n.set, n.named(inbound.Name))
	n.relay = relay.New(s.Zone, n.terms(s), relay.Deps{
		Dialect: seams.Dialect, Config: n.config, Roster: n.roster, Allowance: n.rates,
		Inbound: n.guard, ResponseBudget: answers, Metrics: n.set, Log: n.named(relay.Name),
	})
	if err := n.listen(seams); err != nil {
		return nil, err
	}
	for _, service := range []kernel.Service{n.config, n.roster, n.rates, n.guard, n.relay} {
		if err := n.kernel.Register(service); err != nil {
			return nil, fmt.Errorf("assemble node: %w", err)
		}
	}
	return n, nil
}

// answersBudget is what large answers may take of the memory, in bytes.
func answersBudget(s settings.Mesh) int64 {
	return max(int64(s.Memory)<<20/answersPart, leastAnswers)
}

func (n *Node) named(service string) *logrus.Entry { return n.log.WithField("component", service) }

func (n *Node) terms(s settings.Mesh) relay.Settings {
	return relay.Settings{
		MaxKeyAge: s.Revoke.Duration() - keyMargin,
		Service:   s.Service,
	}
}

// limits are those of the configuration in force.
func (n *Node) limits() httpconn.Limits {
	l := rules.DefaultLimits()
	if c := n.config.Get(); c != nil {
		l = c.Rules.Limits
	}
	return httpconn.Limits{Header: l.Header, Body: l.Body, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, Connections: n.settings.Files / callersPart}
}

// peerLimits leave room for what nodes add, and keep connections for long.
func (n *Node) peerLimits() httpconn.Limits {
	l := n.limits()
	l.Header += peerHeader
	l.IdleTimeout = peerIdle
	l.Connections = n.settings.Files / peersPart
	return l
}

const (
	// peerHeader is the room for headers between nodes, in bytes.
	peerHeader = 8 << 10
	// callersPart and peersPart divide the descriptors: idle callers hold memory,
	// and twice either number leaves a third for targets and calls to peers.
	callersPart = 8
	peersPart   = 6
	// peerIdle is how long peers keep an idle connection open.
	peerIdle = 30 * time.Second
)

func (n *Node) listen(seams Adapter) error {
	var err error
	if n.callers, err = httpconn.Listen(n.settings.Callers, n.limits, n.relay.Handle); err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	if n.peers, err = httpconn.Listen(n.settings.Peers, n.peerLimits, n.guard.Handle); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	for _, server := range []*httpconn.Server{n.callers, n.peers} {
		server.OnError = func(err error) { n.log.WithError(err).WithField("address", server.Address()).Warn("listener") }
	}
	n.kernelHTTP(n.settings.Ready, seams.Ready(n.isReady))
	n.kernelHTTP(n.settings.Announcements, seams.Announcements(n.guard, n.settings.Target, clock.Now, n.named("announcements")))
	n.kernelHTTP(n.settings.Operators, n.operators())
	if n.settings.Metrics != "" {
		n.kernelHTTP(n.settings.Metrics, n.metrics())
	}
	return nil
}

// kernelHTTP registers a side listener as a service.
func (n *Node) kernelHTTP(address string, h http.Handler) {
	s := &side{address: address, server: &http.Server{Handler: h, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout}}
	if err := n.kernel.Register(s); err != nil {
		n.log.WithError(err).Error("side listener not registered")
	}
}

func (n *Node) isReady() bool { return !n.draining.Load() && n.config.Get() != nil }

// announced tells peers of the target beside this node.
func (n *Node) announced(t lifecycle.Target) {
	failing := n.guard.Failing()
	n.roster.Update(clock.Now(), func(r member.Record) member.Record {
		r.Service, r.Slots, r.Instance, r.Born = t.Last.Service, t.Slots(), t.Last.ID, t.Last.Born
		r.Deregistered = t.State == lifecycle.Leaving || t.State == lifecycle.Gone
		r.Failing, r.Leaving = failing, n.draining.Load()
		return r
	})
}

// Run runs the node until ctx ends, then stops it in good order.
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

// stop ends the node without cutting a request: callers and peers hear that it
// takes no new work, and what is under way ends by itself.
func (n *Node) stop() error {
	began := time.Now()
	n.draining.Store(true)
	n.log.WithField("busy", n.callers.Busy()+n.guard.Busy()).Info("node is stopping")
	n.guard.Drain(clock.Now())
	n.roster.Update(clock.Now(), func(r member.Record) member.Record {
		r.Leaving, r.Slots = true, 0
		return r
	})
	n.callers.Drain()
	grace := n.settings.Grace.Duration()
	last := began.Add(grace - endMargin)
	for time.Now().Before(last) {
		switch passed := time.Since(began); {
		case passed > time.Duration(innerPart*float64(grace)):
			n.relay.SetAccepting(relay.AcceptNone)
		case passed > time.Duration(refusePart*float64(grace)):
			n.relay.SetAccepting(relay.AcceptInner)
		}
		if time.Since(began) > hearTime && n.callers.Busy()+n.guard.Busy()+n.peers.Busy() == 0 {
			break
		}
		time.Sleep(idlePoll)
	}
	busy := n.callers.Busy() + n.guard.Busy()
	n.callers.Finish(last)
	n.roster.Leave(clock.Now())
	n.peers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), endMargin/2)
	defer cancel()
	err := n.kernel.Stop(ctx)
	n.log.WithFields(logrus.Fields{"busy": busy, "ms": time.Since(began).Milliseconds()}).Info("node has stopped")
	if err != nil {
		return fmt.Errorf("stop node: %w", err)
	}
	return nil
}

// Reload takes changed settings. Only terms change while a node runs.
func (n *Node) Reload(s settings.Mesh) {
	n.relay.UpdateSettings(n.terms(s))
	n.log.WithField("service", s.Service).Info("settings reloaded")
}

// side is a listener with net/http's server.
type side struct {
	address string
	server  *http.Server
}

// Name implements kernel.Service.
func (s *side) Name() string { return "listener " + s.address }

// Start implements kernel.Service.
func (s *side) Start(_ context.Context, k *kernel.Kernel) error {
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
func (s *side) Stop(context.Context) error { return s.server.Close() }

// State implements kernel.Service.
func (s *side) State() any { return nil }
