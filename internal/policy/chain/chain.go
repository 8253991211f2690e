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
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// pressureTTL is how long a pressure is used after a node has measured it. A node
	// measures it in each cutoff.Tick.
	pressureTTL = time.Second
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

// Node identifies a node of a service among its readings.
type Node uint32

// Pressure is the state of a node's target, or of a service.
type Pressure struct {
	// Cutoff is the highest score of root requests that there is room for.
	Cutoff priority.Cutoff
	// Load is the running and waiting calls over the slots.
	Load float64
	// At is when it was measured.
	At time.Time
}

// agreed returns the state of a service: the median cutoff of its nodes, so that a slow or
// failing target does not decide for all, and their mean load. It is false if no node is
// short, or less than half of the nodes are known.
func agreed(readings map[Node]Pressure, nodes int) (Pressure, bool) {
	cutoffs := make([]priority.Cutoff, 0, len(readings))
	var p Pressure
	for _, r := range readings {
		cutoffs = append(cutoffs, r.Cutoff)
		p.Load += r.Load / float64(len(readings))
		if r.At.After(p.At) {
			p.At = r.At
		}
	}
	slices.Sort(cutoffs)
	n := len(cutoffs)
	if n == 0 || cutoffs[0] >= priority.AdmitAll || 2*n < nodes {
		return Pressure{}, false
	}
	p.Cutoff = (cutoffs[(n-1)/2] + cutoffs[n/2]) / 2
	return p, true
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
	// nodes returns the number of nodes of a service.
	nodes     func(service string) int
	pressures map[string]map[Node]Pressure
	profiles  map[string]Profile
	version   uint64
	// needs is derived from the profiles; nil after one has changed.
	needs   map[string]map[string]float64
	needsAt time.Time
}

// New returns a board that knows nothing. Nodes returns the number of nodes of a service.
func New(nodes func(service string) int) *Board {
	return &Board{nodes: nodes, pressures: map[string]map[Node]Pressure{}, profiles: map[string]Profile{}}
}

// SetVersion sets the version of the configuration in force.
func (b *Board) SetVersion(version uint64) { b.version = version }

// Hear records what a node of a service has measured, here or at a peer. Older measurements
// of the node are ignored, and those of a service without a short node are not kept.
func (b *Board) Hear(now time.Time, service string, node Node, p Pressure) {
	readings := b.pressures[service]
	if now.Sub(p.At) > pressureTTL || readings[node].At.After(p.At) {
		return
	}
	if readings == nil {
		if p.Cutoff >= priority.AdmitAll {
			return
		}
		readings = map[Node]Pressure{}
		b.pressures[service] = readings
	}
	readings[node] = p
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

// Prune removes what is too old.
func (b *Board) Prune(now time.Time) {
	for service, readings := range b.pressures {
		short := false
		for node, p := range readings {
			if now.Sub(p.At) > pressureTTL {
				delete(readings, node)
				continue
			}
			short = short || p.Cutoff < priority.AdmitAll
		}
		if !short {
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
	b.Prune(now)
	v := View{Cutoffs: make(map[string]priority.Cutoff, len(b.pressures))}
	for service := range b.pressures {
		if p, ok := b.Pressure(service); ok {
			v.Cutoffs[service] = p.Cutoff
		}
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

// Pressure returns the state of a service; false if it has room for all requests, or too
// few of its nodes are known.
func (b *Board) Pressure(service string) (Pressure, bool) {
	return agreed(b.pressures[service], b.nodes(service))
}

// Pressures returns what the nodes of short services have measured.
func (b *Board) Pressures(now time.Time) map[string]map[Node]Pressure {
	b.Prune(now)
	return b.pressures
}

// Profiles returns the profiles by route.
func (b *Board) Profiles(now time.Time) map[string]Profile {
	b.Prune(now)
	return b.profiles
}
