// Package rules holds the routing and admission rules of a node: routes by host
// and path prefix, services, organisations with their keys, and limits. A set is
// built once per version and is immutable.
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

// WeightedService is a service of a route. It gets a part of the requests in
// proportion to its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Services share the requests by weight. Most routes have one.
	Services   []WeightedService
	Idempotent bool
	// Public routes accept requests without a key.
	Public bool
	// MaxAttempts is the maximum number of targets that one request may run on.
	MaxAttempts int
	// Timeout is the maximum time to the final response. Objective is the target
	// latency; a later response has less value.
	Timeout   time.Duration
	Objective time.Duration
	// Rank orders routes by importance; 0 is the most important.
	Rank int
}

// Pick returns the service for one request. The point u in [0, 1) selects it by
// weight; use LowDiscrepancy for an even distribution.
func (r *Route) Pick(u float64) string {
	total := 0
	for _, p := range r.Services {
		total += p.Weight
	}
	at := u * float64(total)
	for _, p := range r.Services {
		if at -= float64(p.Weight); at < 0 {
			return p.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// LowDiscrepancy returns point n of the golden ratio sequence from start. Its
// points fill [0, 1) evenly from any start, so that the shares of the services
// match their weights also over few requests.
func LowDiscrepancy(start float64, n uint64) float64 {
	const golden = 0.6180339887498949
	at := start + float64(n)*golden
	return at - float64(uint64(at))
}

// Organisation is a customer with its keys, rate and burst.
type Organisation struct {
	Name string
	Keys []string
	// Rate is in requests per second and Burst in requests, over all nodes. A
	// rate of 0 means no limit.
	Rate  float64
	Burst float64
	// Rank orders organisations by importance if HasRank is set; 0 is the most
	// important. It takes precedence over the rank of a route, which orders the
	// requests of one organisation.
	Rank    int
	HasRank bool
}

// Service is a group of targets.
type Service struct {
	Name string
	// Connections is the maximum number of connections that one target accepts
	// from all callers together.
	Connections int
	// HealthPath is the path of the targets' health check; empty for none.
	HealthPath string
	// ColdTime is how long a target is cold after its start. ColdRate is the requests per
	// second that it tolerates meanwhile, 0 for no bound.
	ColdTime time.Duration
	ColdRate float64
}

// ServiceByName returns a service, or nil.
func (s *Set) ServiceByName(name string) *Service { return s.serviceByName[name] }

// Limits apply to requests from callers. Sizes are in bytes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DefaultLimits returns the limits that apply if the configuration sets none.
func DefaultLimits() Limits {
	return Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Set is one version of the rules, indexed for lookups.
type Set struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// Notes say what in the configuration nodes did not understand.
	Notes []string

	routesByHost  map[string][]*Route
	orgByKey      map[string]*Organisation
	orgByName     map[string]*Organisation
	serviceByName map[string]*Service
	sequenceStart float64
}

// New validates and indexes the rules of a version. It returns the error of
// Validate.
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

// WithNotes returns a copy with other notes.
func (s *Set) WithNotes(notes []string) *Set {
	set := *s
	set.Notes = notes
	return &set
}

// Validate returns an error that lists every invalid field, or nil.
func (s *Set) Validate() error {
	var errs []error
	add := func(field, format string, args ...any) {
		errs = append(errs, trace.BadParameter("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	for i, r := range s.Routes {
		field := fmt.Sprintf("routes[%d] %s", i, r.Name)
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			add(field+".prefix", "must begin and end with a slash, got %q", r.Prefix)
		}
		if len(r.Services) == 0 {
			add(field+".parts", "must name a service")
		}
		total := 0
		for _, p := range r.Services {
			total += p.Weight
			if p.Weight < 0 || p.Service == "" {
				add(field+".parts", "must have services with weights of at least 0")
			}
		}
		if total <= 0 {
			add(field+".parts", "the weights must be above 0 together")
		}
		if r.Timeout <= 0 {
			add(field+".timeout", "must be above 0, got %s", r.Timeout)
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

// Lookup returns the route of a host with the longest matching path prefix, or
// nil. If the host has no routes, it is tried without its port.
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

// ByKey returns the organisation with a key, or nil.
func (s *Set) ByKey(key string) *Organisation { return s.orgByKey[key] }

// ByName returns the organisation with a name, or nil.
func (s *Set) ByName(name string) *Organisation { return s.orgByName[name] }

// Service returns the service with a name, or nil.
func (s *Set) Service(name string) *Service { return s.serviceByName[name] }

// SequenceStart returns the start for LowDiscrepancy. It is random for each set.
func (s *Set) SequenceStart() float64 { return s.sequenceStart }
