// Package intake decides about calls that arrive at a target's node: it joins
// the gate, the target's health and what nodes further down admit.
package overload

import (
	"maps"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/health"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// childLife is how long a route counts as calling another one.
	childLife = time.Minute
	// downAfter is when a caller refused for a service further down is asked to
	// come back.
	downAfter = time.Second
)

// Child is a route that calls of another route make.
type Child struct {
	Service string
	Route   string
}

// DownstreamFunc tells what calls of a child meet: at the nodes that serve it and further
// down.
type DownstreamFunc func(c Child) []balancer.Downstream

// Controller is the state of one target's node. It is not safe for concurrent use.
type Controller struct {
	gate     *admission.Controller
	health   health.Health
	children map[string]map[Child]time.Time
}

// New returns an intake without slots.
func New(rules admission.Options) *Controller {
	return &Controller{gate: admission.New(rules), children: map[string]map[Child]time.Time{}}
}

// SetSlots changes the number of slots that the target announced.
func (i *Controller) SetSlots(now time.Time, slots int) admission.Changes {
	return i.gate.SetSlots(now, slots)
}

// ResetHealth forgets the health of the target before.
func (i *Controller) ResetHealth() { i.health = health.Health{} }

// RecordInnerCall notes that calls of a route make calls of another.
func (i *Controller) RecordInnerCall(now time.Time, route string, child Child) {
	if i.children[route] == nil {
		i.children[route] = map[Child]time.Time{}
	}
	i.children[route][child] = now
}

// Cutoff is what this node admits.
func (i *Controller) Cutoff() priority.Cutoff { return i.gate.Cutoff() }

// Downstream is what calls of a route meet further down, one entry a service.
func (i *Controller) Downstream(now time.Time, route string, down DownstreamFunc) []balancer.Downstream {
	least := map[string]priority.Cutoff{}
	for child, last := range i.children[route] {
		if now.Sub(last) > childLife {
			delete(i.children[route], child)
			continue
		}
		for _, b := range down(child) {
			if cut, ok := least[b.Service]; !ok || b.Cutoff < cut {
				least[b.Service] = b.Cutoff
			}
		}
	}
	list := make([]balancer.Downstream, 0, len(least))
	for _, service := range slices.Sorted(maps.Keys(least)) {
		list = append(list, balancer.Downstream{Service: service, Cutoff: least[service]})
	}
	return list
}

func (i *Controller) downCut(now time.Time, route string, down DownstreamFunc) priority.Cutoff {
	if len(i.children[route]) == 0 {
		return priority.AdmitAll
	}
	least := priority.AdmitAll
	for _, b := range i.Downstream(now, route, down) {
		least = min(least, b.Cutoff)
	}
	return least
}

// Offer asks for a slot. Forced is set when every target of the service seems
// to fail, so that this one is tried all the same.
func (i *Controller) Offer(now time.Time, r admission.Request, forced bool, down DownstreamFunc) (admission.Verdict, admission.Changes) {
	var ok bool
	if i.health, ok = i.health.WithProbe(now); !ok && !forced {
		return admission.Refuse{Reason: failure.NotReady}, admission.Changes{}
	}
	if cut := i.downCut(now, r.Route, down); !cut.Admits(r.Score, r.Depth) {
		cuts := map[string]priority.Cutoff{}
		moves := i.gate.Shed(func(w admission.Request) bool {
			if _, ok := cuts[w.Route]; !ok {
				cuts[w.Route] = i.downCut(now, w.Route, down)
			}
			return !cuts[w.Route].Admits(w.Score, w.Depth)
		})
		return admission.Refuse{Reason: failure.Overload, Backoff: downAfter}, moves
	}
	return i.gate.Offer(now, r)
}

// Release gives back the slot of a request. Failed tells whether the target
// failed it; changed reports whether the judgement of the target's health is
// another now.
func (i *Controller) Release(now time.Time, id uint64, result admission.Result, failed bool) (moves admission.Changes, changed bool) {
	before := i.health.Failing()
	switch {
	case failed && result == admission.Rejected:
		i.health = i.health.WithAnswer(health.Rejected)
	case failed:
		i.health = i.health.WithAnswer(health.Failure)
	case result != admission.Aborted:
		i.health = i.health.WithAnswer(health.Success)
	}
	return i.gate.Release(now, id, result), before != i.health.Failing()
}

// Cancel takes a waiting request out. It reports whether it was waiting.
func (i *Controller) Cancel(id uint64) bool { return i.gate.Cancel(id) }

// Tick moves the cut; call it every level.Tick.
func (i *Controller) Tick(now time.Time) { i.gate.Tick(now) }

// Load is running plus waiting requests over the limit.
func (i *Controller) Load() float64 { return i.gate.Load() }

// Failing reports whether the target fails most requests.
func (i *Controller) Failing() bool { return i.health.Failing() }

// State is a snapshot for the dump.
type State struct {
	Admission    admission.State `json:"gate"`
	FailureRatio float64         `json:"failure_ratio"`
	Failing      bool            `json:"failing"`
}

// State returns a snapshot.
func (i *Controller) State() State {
	return State{Admission: i.gate.State(), FailureRatio: i.health.Ratio(), Failing: i.health.Failing()}
}

// RetryAfter is when a refused caller is asked to try again.
func (i *Controller) RetryAfter() time.Duration { return i.gate.RetryAfter() }
