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
	// maxServices, maxRoutes and maxChildren bound a note.
	maxServices = 8
	maxRoutes   = 16
	maxChildren = 8
	// maxAge bounds the ages in a note, and maxCalls the calls per run.
	maxAge   = time.Hour
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
	log     *logrus.Entry
	heard   *metrics.Counter

	mu    sync.Mutex
	board *chain.Board
	// nextResult is when a result may carry the next report.
	nextResult time.Time
	// short are the services that were short when last looked at, for the log.
	short map[string]bool
}

// New returns a service that knows nothing. Now is its clock, and version returns the
// version of the configuration in force.
func New(now func() time.Time, version func() uint64, set *metrics.Set, log *logrus.Entry) *Service {
	s := &Service{now: now, version: version, log: log, board: chain.New(), short: map[string]bool{}}
	s.heard = set.NewCounter("chain_reports_total")
	set.NewGauge("chain_short_services", func() float64 { return float64(len(s.View(s.now()).Cutoffs)) })
	return s
}

// Measure records what the target's node has measured.
func (s *Service) Measure(now time.Time, service string, own chain.Pressure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.board.Measure(now, service, own)
}

// Get returns the pressure of a service; false if it has room for all requests.
func (s *Service) Get(now time.Time, service string) (chain.Pressure, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.board.Pressures(now)[service]
	return p, ok
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

// serviceNote is a chain.Pressure. Cutoff is in units of 1/cutoffFactor, Age in
// milliseconds.
type serviceNote struct {
	Service string `json:"svc"`
	Cutoff  int64  `json:"cut"`
	Age     int64  `json:"age"`
}

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
)

// pressure returns the pressure in a note, or an error if a field is out of range.
func (n serviceNote) pressure(now time.Time) (chain.Pressure, error) {
	if n.Service == "" || n.Age < 0 || n.Age > maxAge.Milliseconds() || n.Cutoff < 0 || n.Cutoff > int64(float64(priority.AdmitAll)*cutoffFactor) {
		return chain.Pressure{}, fmt.Errorf("pressure of service %q: a field is out of range", n.Service)
	}
	return chain.Pressure{Cutoff: priority.Cutoff(n.Cutoff) / cutoffFactor, At: now.Add(-time.Duration(n.Age) * time.Millisecond)}, nil
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
	for service, p := range s.board.Pressures(now) {
		n.Services = append(n.Services, serviceNote{service, int64(float64(p.Cutoff) * cutoffFactor), now.Sub(p.At).Milliseconds()})
	}
	slices.SortFunc(n.Services, func(a, b serviceNote) int { return cmp.Compare(a.Cutoff, b.Cutoff) })
	n.Services = n.Services[:min(len(n.Services), maxServices)]
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
		p, err := service.pressure(now)
		if err != nil {
			s.log.WithError(err).WithField("member", from).Warn("pressure ignored")
			continue
		}
		s.board.Hear(now, service.Service, p)
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
