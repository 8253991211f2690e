// Package pressure spreads over all nodes how short services are and which services the
// runs of a route use.
//
// Reports travel with the probes of the membership, which also reach nodes without
// traffic, and with results between nodes, so that under load nearly all nodes hear of a
// change within a tenth of a second.
package pressure

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"chestnutshed.example/chestnutshed/internal/policy/chain"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/VictoriaMetrics/metrics"
	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"
)

// Name is the name of the service in the kernel and in logs, and of its topic.
const Name = "pressure"

const (
	// resultRate bounds the reports in results to other nodes, in bytes per second.
	resultRate = 2000
	// changeTime is how long a changed profile goes with results.
	changeTime = time.Second
	// maxServices, maxReadings, maxRoutes and maxChildren bound a note.
	maxServices = 8
	maxReadings = 8
	maxRoutes   = 16
	maxChildren = 8
	// maxAge bounds the ages in a note, maxLoad the loads and maxCalls the calls per run.
	maxAge  = time.Hour
	maxLoad = 1e3
	// maxNode bounds the numbers of nodes.
	maxNode  = 1 << 24
	maxCalls = 1e4
	// peerWeight is the weight of a peer's profile against the known one, and ownWeight
	// that of a run measured here.
	peerWeight = 0.3
	ownWeight  = 0.1
)

// Service keeps the reports that a node knows. It is safe for concurrent use.
type Service struct {
	now     func() time.Time
	version func() uint64
	// node identifies this node.
	node  chain.Node
	log   *logrus.Entry
	heard *metrics.Counter

	mu    sync.Mutex
	board *chain.Board
	// nextResult is when a result may carry the next report.
	nextResult time.Time
	// short are the services that were short when last looked at, for the log.
	short map[string]bool
}

// New returns a service that knows nothing. Now is its clock, version returns the version of
// the configuration in force, and nodes the number of nodes of a service.
func New(now func() time.Time, version func() uint64, nodes func(service string) int, set *metrics.Set, log *logrus.Entry) *Service {
	s := &Service{now: now, version: version, node: chain.Node(rand.Uint32N(maxNode)), log: log, board: chain.New(nodes), short: map[string]bool{}}
	s.heard = set.NewCounter("chain_reports_total")
	set.NewGauge("chain_short_services", func() float64 { return float64(len(s.View(s.now()).Cutoffs)) })
	return s
}

// Measure records what the target's node has measured.
func (s *Service) Measure(now time.Time, service string, own chain.Pressure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own.At = now
	s.board.Hear(now, service, s.node, own)
}

// Get returns the pressure of a service; false if it has room for all requests.
func (s *Service) Get(now time.Time, service string) (chain.Pressure, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.SetVersion(s.version())
	s.board.Prune(now)
	return s.board.Pressure(service)
}

// Learn records the profile of a route that was measured here.
func (s *Service) Learn(now time.Time, route string, p chain.Profile) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Version = s.version()
	s.board.SetVersion(p.Version)
	s.board.Learn(now, route, p, ownWeight)
}

// View returns what is known at now.
func (s *Service) View(now time.Time) chain.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.SetVersion(s.version())
	v := s.board.View(now)
	s.logChanges(v)
	return v
}

// logChanges logs services that have become short or no longer are. The caller holds the
// mutex.
func (s *Service) logChanges(v chain.View) {
	for service, cutoff := range v.Cutoffs {
		if !s.short[service] {
			s.short[service] = true
			s.log.WithFields(logrus.Fields{"service": service, "cut": float64(cutoff)}).Info("service is short; requests that need it are admitted by score")
		}
	}
	for service := range s.short {
		if _, ok := v.Cutoffs[service]; !ok {
			delete(s.short, service)
			s.log.WithField("service", service).Info("service has room again")
		}
	}
}

// note is a report between nodes.
type note struct {
	Services []serviceNote `json:"svcs,omitempty"`
	Routes   []routeNote   `json:"routes,omitempty"`
}

// serviceNote is what the nodes of a short service have measured.
type serviceNote struct {
	Service string        `json:"svc"`
	Nodes   []readingNote `json:"nodes"`
}

// readingNote is a chain.Pressure: the node, the cutoff in units of 1/cutoffFactor, the load
// in units of 1/loadFactor, and the age in milliseconds. Without names, since there are many.
type readingNote [4]int64

// routeNote is a chain.Profile. Age is in milliseconds.
type routeNote struct {
	Route   string      `json:"route"`
	Version uint64      `json:"cfg"`
	Age     int64       `json:"age"`
	Calls   []callsNote `json:"calls"`
}

// callsNote is the calls per run, in units of 1/callsFactor.
type callsNote struct {
	Service string `json:"svc"`
	Route   string `json:"route"`
	Calls   int64  `json:"n"`
}

const (
	cutoffFactor = 1e5
	callsFactor  = 1e3
	loadFactor   = 1e3
)

// reading returns the pressure in a note, or an error if a field is out of range.
func (n readingNote) reading(now time.Time) (chain.Node, chain.Pressure, error) {
	node, cutoff, load, age := n[0], n[1], n[2], n[3]
	valid := node >= 0 && node < maxNode && age >= 0 && age <= maxAge.Milliseconds() && load >= 0 && load <= maxLoad*loadFactor
	if !valid || cutoff < 0 || cutoff > int64(float64(priority.AdmitAll)*cutoffFactor) {
		return 0, chain.Pressure{}, fmt.Errorf("pressure of node %d: a field is out of range", node)
	}
	return chain.Node(node), chain.Pressure{
		Cutoff: priority.Cutoff(cutoff) / cutoffFactor,
		Load:   float64(load) / loadFactor,
		At:     now.Add(-time.Duration(age) * time.Millisecond),
	}, nil
}

func newReadingNote(now time.Time, node chain.Node, p chain.Pressure) readingNote {
	return readingNote{int64(node), int64(float64(p.Cutoff) * cutoffFactor), int64(min(p.Load, maxLoad) * loadFactor), now.Sub(p.At).Milliseconds()}
}

// profile returns the profile in a note, or an error if a field is out of range.
func (n routeNote) profile(now time.Time) (chain.Profile, error) {
	p := chain.Profile{Calls: map[chain.Child]float64{}, At: now.Add(-time.Duration(n.Age) * time.Millisecond), Version: n.Version}
	valid := n.Route != "" && n.Age >= 0 && n.Age <= maxAge.Milliseconds() && len(n.Calls) > 0 && len(n.Calls) <= maxChildren
	for _, c := range n.Calls {
		valid = valid && c.Service != "" && c.Route != "" && c.Calls >= 0 && c.Calls <= maxCalls*callsFactor
		p.Calls[chain.Child{Service: c.Service, Route: c.Route}] = float64(c.Calls) / callsFactor
	}
	if !valid {
		return p, fmt.Errorf("profile of route %q: a field is out of range", n.Route)
	}
	return p, nil
}

// encode returns the report to send, nil if there is nothing to tell. Profiles that have
// not changed since are left out. The caller holds the mutex.
func (s *Service) encode(now, since time.Time) json.RawMessage {
	var n note
	pressures := s.board.Pressures(now)
	for _, service := range slices.Sorted(maps.Keys(pressures)) {
		if len(n.Services) < maxServices {
			n.Services = append(n.Services, s.newServiceNote(now, service, pressures[service]))
		}
	}
	profiles := s.board.Profiles(now)
	for _, route := range slices.Sorted(maps.Keys(profiles)) {
		if p := profiles[route]; !p.Changed.Before(since) && len(n.Routes) < maxRoutes {
			n.Routes = append(n.Routes, newRouteNote(now, route, p))
		}
	}
	if len(n.Services)+len(n.Routes) == 0 {
		return nil
	}
	text, err := json.Marshal(n)
	if err != nil {
		s.log.WithError(err).Error("could not encode a report of short services")
		return nil
	}
	return text
}

// newServiceNote returns what this node has measured, and some of its peers in no order, so
// that all nodes soon hear of all.
func (s *Service) newServiceNote(now time.Time, service string, readings map[chain.Node]chain.Pressure) serviceNote {
	n := serviceNote{Service: service}
	if own, ok := readings[s.node]; ok {
		n.Nodes = append(n.Nodes, newReadingNote(now, s.node, own))
	}
	for node, p := range readings {
		if node != s.node && len(n.Nodes) < maxReadings {
			n.Nodes = append(n.Nodes, newReadingNote(now, node, p))
		}
	}
	return n
}

func newRouteNote(now time.Time, route string, p chain.Profile) routeNote {
	n := routeNote{Route: route, Version: p.Version, Age: now.Sub(p.At).Milliseconds()}
	for child, calls := range p.Calls {
		n.Calls = append(n.Calls, callsNote{child.Service, child.Route, int64(min(calls, maxCalls) * callsFactor)})
	}
	slices.SortFunc(n.Calls, func(a, b callsNote) int { return cmp.Compare(b.Calls, a.Calls) })
	n.Calls = n.Calls[:min(len(n.Calls), maxChildren)]
	return n
}

// Note implements roster.Topic.
func (s *Service) Note() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.encode(s.now(), time.Time{})
}

// ResultNote returns the report for a result to another node, nil if there is nothing new
// or the last one was sent too recently.
func (s *Service) ResultNote(now time.Time) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextResult) {
		return nil
	}
	text := s.encode(now, now.Add(-changeTime))
	s.nextResult = now.Add(time.Duration(len(text)) * time.Second / resultRate)
	return text
}

// Noted implements roster.Topic. It also takes the reports in results.
func (s *Service) Noted(now time.Time, from string, text json.RawMessage) {
	var n note
	if err := json.Unmarshal(text, &n); err != nil {
		s.log.WithError(fmt.Errorf("decode report: %w", err)).WithField("member", from).Warn("report of short services ignored")
		return
	}
	s.heard.Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.SetVersion(s.version())
	for _, service := range n.Services[:min(len(n.Services), maxServices)] {
		for _, r := range service.Nodes[:min(len(service.Nodes), maxReadings)] {
			node, p, err := r.reading(now)
			if err != nil || service.Service == "" {
				s.log.WithError(err).WithFields(logrus.Fields{"member": from, "service": service.Service}).Warn("pressure ignored")
				continue
			}
			if node != s.node {
				s.board.Hear(now, service.Service, node, p)
			}
		}
	}
	for _, route := range n.Routes[:min(len(n.Routes), maxRoutes)] {
		p, err := route.profile(now)
		if err != nil {
			s.log.WithError(err).WithField("member", from).Warn("profile ignored")
			continue
		}
		s.board.Learn(now, route.Route, p, peerWeight)
	}
}

// Message implements roster.Topic. There are no messages.
func (s *Service) Message(time.Time, string, json.RawMessage) {}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Start implements kernel.Service.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error { return nil }

// State implements kernel.Service.
func (s *Service) State() any {
	v := s.View(s.now())
	return struct {
		Cutoffs map[string]priority.Cutoff    `json:"short"`
		Needs   map[string]map[string]float64 `json:"needs"`
	}{v.Cutoffs, v.Needs}
}
