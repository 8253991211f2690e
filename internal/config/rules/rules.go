// Package rules holds what a node decides requests by: routes by host and path
// prefix, services, organisations with their keys, and limits. A set is made
// once per version and never changed.
package rules

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// WeightedService is one service of a route and its share of the requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route says where requests of a host below a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Services are the services of the route; a plain route has one.
	Services   []WeightedService
	Idempotent bool
	// Public routes need no key.
	Public bool
	// MaxAttempts is the greatest number of targets that one request may run on.
	MaxAttempts int
	// Timeout bounds the time to the final answer, Objective is the time within
	// which an answer is worth most.
	Timeout   time.Duration
	Objective time.Duration
	// Rank orders routes by importance, 0 first.
	Rank int
}

// Pick returns the service for one request, by the parts' weights. Spread is
// uniform in [0, 1).
func (r *Route) Pick(spread float64) string {
	total := 0
	for _, p := range r.Services {
		total += p.Weight
	}
	at := spread * float64(total)
	for _, p := range r.Services {
		if at -= float64(p.Weight); at < 0 {
			return p.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// LowDiscrepancy returns the place of request n among a route's weights: the golden
// ratio's sequence fills [0, 1) evenly from any start.
func LowDiscrepancy(start float64, n uint64) float64 {
	const golden = 0.6180339887498949
	at := start + float64(n)*golden
	return at - float64(uint64(at))
}

// Organisation is a customer with its keys, rate and burst.
type Organisation struct {
	Name string
	Keys []string
	// Rate is in requests a second and Burst in requests, over all nodes; a
	// Rate of 0 is no limit.
	Rate  float64
	Burst float64
	// Rank orders organisations by importance, 0 first, where it is set. It goes
	// before the rank of a route, which orders the requests of one organisation.
	Rank    int
	HasRank bool
}

// Service is a group of targets.
type Service struct {
	Name string
	// Connections is what one target accepts, from all callers together.
	Connections int
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DefaultLimits hold until a configuration names others.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Set is one version of the configuration, ready for look-ups.
type Set struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	routesByHost map[string][]*Route
	orgByKey  map[string]*Organisation
	orgByName map[string]*Organisation
	serviceByName  map[string]*Service
	sequenceStart  float64
}

// New validates and indexes a version.
func New(version uint64, routes []Route, services []Service, orgs []Organisation, limits Limits) (*Set, error) {
	s := &Set{
		Version: version, Routes: routes, Services: services, Organisations: orgs, Limits: limits,
		routesByHost: map[string][]*Route{}, orgByKey: map[string]*Organisation{},
		orgByName: map[string]*Organisation{}, serviceByName: map[string]*Service{},
		sequenceStart: rand.Float64(),
	}
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("configuration %d: %w", version, err)
	}
	for i := range services {
		s.serviceByName[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		s.routesByHost[r.Host] = append(s.routesByHost[r.Host], r)
	}
	for _, list := range s.routesByHost {
		slices.SortFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range orgs {
		s.orgByName[orgs[i].Name] = &orgs[i]
		for _, k := range orgs[i].Keys {
			s.orgByKey[k] = &orgs[i]
		}
	}
	return s, nil
}

// Validate returns one error that names every field that is wrong.
func (s *Set) Validate() error {
	var errs []error
	add := func(place, format string, args ...any) {
		errs = append(errs, trace.BadParameter("%s: %s", place, fmt.Sprintf(format, args...)))
	}
	for i, r := range s.Routes {
		place := fmt.Sprintf("routes[%d] %s", i, r.Name)
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			add(place+".prefix", "must begin and end with a slash, got %q", r.Prefix)
		}
		if len(r.Services) == 0 {
			add(place+".parts", "must name a service")
		}
		total := 0
		for _, p := range r.Services {
			total += p.Weight
			if p.Weight < 0 || p.Service == "" {
				add(place+".parts", "must have services with weights of at least 0")
			}
		}
		if total <= 0 {
			add(place+".parts", "the weights must be above 0 together")
		}
		if r.Timeout <= 0 {
			add(place+".timeout", "must be above 0, got %s", r.Timeout)
		}
	}
	for i, o := range s.Organisations {
		if o.Name == "" {
			add(fmt.Sprintf("organisations[%d].name", i), "must be set")
		}
		if o.Rate < 0 || o.Burst < 0 {
			add(fmt.Sprintf("organisations[%d] %s", i, o.Name), "rate and burst must not be negative")
		}
	}
	return errors.Join(errs...)
}

// Lookup returns the route with the longest prefix of a path, or nil.
func (s *Set) Lookup(host, path string) *Route {
	list := s.routesByHost[host]
	if list == nil {
		if at := strings.LastIndexByte(host, ':'); at > 0 {
			list = s.routesByHost[host[:at]]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ByKey returns the organisation that holds a key, or nil.
func (s *Set) ByKey(key string) *Organisation { return s.orgByKey[key] }

// ByName returns an organisation, or nil.
func (s *Set) ByName(name string) *Organisation { return s.orgByName[name] }

// Service returns a declared service, or nil.
func (s *Set) Service(name string) *Service { return s.serviceByName[name] }

// SequenceStart is where this set's sequence of Spread begins.
func (s *Set) SequenceStart() float64 { return s.sequenceStart }
