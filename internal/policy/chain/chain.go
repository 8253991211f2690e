// Package chain keeps what nodes know about chains of services: how short each service
// is, and which services the runs of a route use.
//
// A request completes only if each service of its chain has room for it. Its entry must
// know that before it admits the request, as later all work done for it is lost. So the
// nodes of a short service agree on one cutoff, the pressure of the service, and all nodes
// pass it on. The profile of a route tells an entry to which pressures its requests are
// subject.
package chain

import (
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// pressureTTL is how long a pressure is used after a node of the service has measured
	// it. Such a node measures it in each cutoff.Tick.
	pressureTTL = time.Second
	// sameTime is the distance up to which two pressures count alike. Otherwise the newer
	// one gets newerWeight, and the older one is ignored.
	sameTime    = 50 * time.Millisecond
	newerWeight = 0.8
	// profileTTL is how long a profile is used after a run was last measured, and
	// outdatedTTL the same for one measured under an earlier configuration.
	profileTTL  = time.Minute
	outdatedTTL = 5 * time.Second
	// changedBy is the relative change of the calls per run that counts as a change of a
	// profile.
	changedBy = 0.25
	// maxHops bounds the length of a chain.
	maxHops = 8
)

// Pressure is the state of a service, on average over its nodes.
type Pressure struct {
	// Cutoff is the highest score of root requests that the service has room for.
	Cutoff priority.Cutoff
	// At is when a node of the service last measured it.
	At time.Time
}

// WithOther returns the pressure after that of a peer was heard.
func (p Pressure) WithOther(other Pressure) Pressure {
	weight := 0.0
	switch lead := other.At.Sub(p.At); {
	case lead > sameTime:
		weight = newerWeight
	case lead >= -sameTime:
		weight = 0.5
	}
	p.Cutoff += (other.Cutoff - p.Cutoff) * priority.Cutoff(weight)
	if other.At.After(p.At) {
		p.At = other.At
	}
	return p
}

// Child is a route to a service that runs of another route call.
type Child struct {
	Service string
	Route   string
}

// Profile is what a completed run of a route calls.
type Profile struct {
	// Calls is the mean number of calls per run.
	Calls map[Child]float64
	// At is when a run was last measured, and Version the configuration in force then.
	At      time.Time
	Version uint64
	// Changed is when the calls last changed.
	Changed time.Time
}

// fresh reports whether the profile is used at now, under a configuration.
func (p Profile) fresh(now time.Time, version uint64) bool {
	ttl := profileTTL
	if p.Version != version {
		ttl = outdatedTTL
	}
	return now.Sub(p.At) <= ttl
}

// WithOther returns the mean of two profiles, with a weight for the other one.
func (p Profile) WithOther(now time.Time, other Profile, weight float64) Profile {
	merged := Profile{Calls: make(map[Child]float64, len(p.Calls)), At: p.At, Version: max(p.Version, other.Version), Changed: p.Changed}
	for child, calls := range other.Calls {
		known, ok := p.Calls[child]
		if !ok {
			known = calls
		}
		merged.Calls[child] = known + (calls-known)*weight
		if !ok || calls > known*(1+changedBy) || calls < known*(1-changedBy) {
			merged.Changed = now
		}
	}
	for child, calls := range p.Calls {
		if _, ok := other.Calls[child]; !ok {
			merged.Calls[child] = calls * (1 - weight)
		}
	}
	if other.At.After(p.At) {
		merged.At = other.At
	}
	return merged
}

// View is what an entry needs to know. Its maps must not be changed.
type View struct {
	// Cutoffs are the pressures of services, and Needs the mean calls to services that a
	// run of a route makes, with those that its inner calls make.
	Cutoffs map[string]priority.Cutoff
	Needs   map[string]map[string]float64
}

// Board holds the pressures and profiles that a node knows. It is not safe for concurrent
// use.
type Board struct {
	pressures map[string]Pressure
	profiles  map[string]Profile
	version   uint64
	// needs is derived from the profiles; nil after one has changed.
	needs   map[string]map[string]float64
	needsAt time.Time
}

// New returns a board that knows nothing.
func New() *Board {
	return &Board{pressures: map[string]Pressure{}, profiles: map[string]Profile{}}
}

// SetVersion sets the version of the configuration in force.
func (b *Board) SetVersion(version uint64) { b.version = version }

// Measure records what a node of a service has measured. Its cutoff is the agreed one,
// moved by its last step. A service that admits everything makes no report.
func (b *Board) Measure(now time.Time, service string, own Pressure) {
	own.At = now
	known, ok := b.pressures[service]
	open := own.Cutoff >= priority.AdmitAll
	if !ok && open {
		return
	}
	if ok && open {
		own.At = known.At
	}
	b.pressures[service] = own
}

// Hear records the pressure that a peer knows.
func (b *Board) Hear(now time.Time, service string, p Pressure) {
	if now.Sub(p.At) > pressureTTL {
		return
	}
	if known, ok := b.pressures[service]; ok {
		p = known.WithOther(p)
	}
	b.pressures[service] = p
}

// Learn records the profile of a route, measured here or by a peer, with a weight against
// the known one.
func (b *Board) Learn(now time.Time, route string, p Profile, weight float64) {
	if !p.fresh(now, b.version) || len(p.Calls) == 0 {
		return
	}
	known, ok := b.profiles[route]
	switch {
	case !ok || !known.fresh(now, b.version) || p.Version > known.Version:
		p.Changed = now
	case p.Version < known.Version:
		return
	default:
		p = known.WithOther(now, p, weight)
	}
	b.profiles[route] = p
	if !ok || p.Changed.Equal(now) {
		b.needs = nil
	}
}

// prune removes what is too old.
func (b *Board) prune(now time.Time) {
	for service, p := range b.pressures {
		if now.Sub(p.At) > pressureTTL {
			delete(b.pressures, service)
		}
	}
	for route, p := range b.profiles {
		if !p.fresh(now, b.version) {
			delete(b.profiles, route)
			b.needs = nil
		}
	}
}

// needsInterval is the time after which the needs are derived anew, so that they follow
// profiles that change slowly.
const needsInterval = time.Second

// View returns what is known at now.
func (b *Board) View(now time.Time) View {
	b.prune(now)
	v := View{Cutoffs: make(map[string]priority.Cutoff, len(b.pressures))}
	for service, p := range b.pressures {
		v.Cutoffs[service] = p.Cutoff
	}
	if b.needs == nil || now.Sub(b.needsAt) > needsInterval {
		b.needs, b.needsAt = map[string]map[string]float64{}, now
		for route := range b.profiles {
			needs := map[string]float64{}
			b.addNeeds(needs, route, 1, maxHops)
			b.needs[route] = needs
		}
	}
	v.Needs = b.needs
	return v
}

// addNeeds adds the calls of a number of runs of a route.
func (b *Board) addNeeds(needs map[string]float64, route string, runs float64, hops int) {
	if hops == 0 {
		return
	}
	for child, calls := range b.profiles[route].Calls {
		needs[child.Service] += runs * calls
		b.addNeeds(needs, child.Route, runs*calls, hops-1)
	}
}

// Pressures returns the pressures by service.
func (b *Board) Pressures(now time.Time) map[string]Pressure {
	b.prune(now)
	return b.pressures
}

// Profiles returns the profiles by route.
func (b *Board) Profiles(now time.Time) map[string]Profile {
	b.prune(now)
	return b.profiles
}
