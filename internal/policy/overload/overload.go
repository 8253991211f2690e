// Package overload decides whether a target's node admits an arriving call. It
// combines the admission controller, the health of the target and the cutoffs
// of downstream services.
package overload

import (
	"maps"
	"math"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/coldstart"
	"chestnutshed.example/chestnutshed/internal/policy/health"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/ratelimit"
)

const (
	// childTTL is how long a route counts as calling another route after the
	// last such call.
	childTTL = time.Minute
	// downstreamRetryAfter is when a caller that was refused because of a
	// downstream service is asked to retry.
	downstreamRetryAfter = time.Second
	// callsWindow is the time constant of the mean number of inner calls of a run. It is
	// long, since runs that fail halfway make fewer calls than those that complete.
	callsWindow = 20 * time.Second
	// decayInterval is the time between two steps of decay.
	decayInterval = time.Second
	// minRuns is the decayed number of runs below which a route is removed.
	minRuns = 0.01
)

// Child is a route that calls of another route call.
type Child struct {
	Service string
	Route   string
}

// parent is a route whose calls make inner calls. The numbers of runs and calls decay with
// callsWindow.
type parent struct {
	runs     float64
	children map[Child]innerCalls
}

type innerCalls struct {
	last  time.Time
	calls float64
}

// perRun is the mean number of calls of a child that one run makes.
func (p *parent) perRun(c innerCalls) float64 { return c.calls / max(p.runs, 1) }

// DownstreamFunc returns the cutoffs that apply to calls of a child: that of its
// own service and those of the services further downstream.
type DownstreamFunc func(c Child) []balancer.Downstream

// Controller is the admission state of one target's node. It is not safe for
// concurrent use.
type Controller struct {
	admission *admission.Controller
	health    health.Health
	parents   map[string]*parent
	decayedAt time.Time
}

// New returns a controller without slots.
func New(options admission.Options) *Controller {
	return &Controller{admission: admission.New(options), parents: map[string]*parent{}}
}

// SetSlots sets the number of slots that the target announced.
func (c *Controller) SetSlots(now time.Time, slots int) admission.Changes {
	return c.admission.SetSlots(now, slots)
}

// ResetHealth discards the health of the previous target.
func (c *Controller) ResetHealth() { c.health = health.Health{} }

// RecordRun records that the target starts a call of a route.
func (c *Controller) RecordRun(now time.Time, route string) {
	c.decay(now)
	c.parent(route).runs++
}

// RecordInnerCall records that a call of a route made a call of another.
func (c *Controller) RecordInnerCall(now time.Time, route string, child Child) {
	p := c.parent(route)
	if len(p.children) == 0 {
		// Calls of earlier runs were not recognized as such.
		p.runs = 1
	}
	p.children[child] = innerCalls{last: now, calls: p.children[child].calls + 1}
}

func (c *Controller) parent(route string) *parent {
	p, ok := c.parents[route]
	if !ok {
		p = &parent{children: map[Child]innerCalls{}}
		c.parents[route] = p
	}
	return p
}

// decay reduces the numbers of runs and inner calls, and removes routes without any.
func (c *Controller) decay(now time.Time) {
	elapsed := now.Sub(c.decayedAt)
	if elapsed < decayInterval {
		return
	}
	c.decayedAt = now
	keep := math.Exp(-elapsed.Seconds() / callsWindow.Seconds())
	for route, p := range c.parents {
		p.runs *= keep
		for child, calls := range p.children {
			if now.Sub(calls.last) > childTTL {
				delete(p.children, child)
				continue
			}
			calls.calls *= keep
			p.children[child] = calls
		}
		if len(p.children) == 0 && p.runs < minRuns {
			delete(c.parents, route)
		}
	}
}

// MakesCalls reports whether calls of a route are known to make calls of their own.
func (c *Controller) MakesCalls(route string) bool {
	p, ok := c.parents[route]
	return ok && len(p.children) > 0
}

// Cutoff is the cutoff of this node, without downstream services.
func (c *Controller) Cutoff() priority.Cutoff { return c.admission.Cutoff() }

// Downstream lists the cutoffs of the downstream services that calls of a route
// use, the lowest for each service, and the calls that they make, sorted by name.
func (c *Controller) Downstream(now time.Time, route string, downstream DownstreamFunc) []balancer.Downstream {
	p, ok := c.parents[route]
	if !ok {
		return nil
	}
	met := map[string]balancer.Downstream{}
	for child, calls := range p.children {
		if now.Sub(calls.last) > childTTL {
			continue
		}
		for _, d := range downstream(child) {
			d.Calls *= p.perRun(calls)
			if other, ok := met[d.Service]; ok {
				d.Cutoff, d.Calls = min(d.Cutoff, other.Cutoff), d.Calls+other.Calls
			}
			met[d.Service] = d
		}
	}
	list := make([]balancer.Downstream, 0, len(met))
	for _, service := range slices.Sorted(maps.Keys(met)) {
		list = append(list, met[service])
	}
	return list
}

func (c *Controller) downstreamCutoff(now time.Time, route string, downstream DownstreamFunc) priority.Cutoff {
	lowest := priority.AdmitAll
	for _, d := range c.Downstream(now, route, downstream) {
		lowest = min(lowest, d.Cutoff)
	}
	return lowest
}

// Offer asks for a slot. Forced admits the request to a failing target, as the
// caller found no healthy one. When a downstream service refuses the request,
// Offer also drops the waiting requests that downstream services refuse.
func (c *Controller) Offer(now time.Time, r admission.Request, forced bool, downstream DownstreamFunc) (admission.Verdict, admission.Changes) {
	var ok bool
	if c.health, ok = c.health.WithProbe(now); !ok && !forced {
		return admission.Refuse{Reason: failure.NotReady}, admission.Changes{}
	}
	if cutoff := c.downstreamCutoff(now, r.Route, downstream); !cutoff.Admits(r.Score, r.Depth) {
		cutoffs := map[string]priority.Cutoff{}
		changes := c.admission.Shed(func(w admission.Request) bool {
			if _, ok := cutoffs[w.Route]; !ok {
				cutoffs[w.Route] = c.downstreamCutoff(now, w.Route, downstream)
			}
			return !cutoffs[w.Route].Admits(w.Score, w.Depth)
		})
		return admission.Refuse{Reason: failure.Overload, Backoff: downstreamRetryAfter}, changes
	}
	return c.admission.Offer(now, r)
}

// Release frees the slot of a request. Failed is set when the target failed the
// request. Changed reports whether the target became failing or healthy.
func (c *Controller) Release(now time.Time, id uint64, result admission.Result, failed bool) (changes admission.Changes, changed bool) {
	before := c.health.Failing()
	switch {
	case failed && result == admission.Rejected:
		c.health = c.health.WithAnswer(health.Rejected)
	case failed:
		c.health = c.health.WithAnswer(health.Failure)
	case result != admission.Aborted:
		c.health = c.health.WithAnswer(health.Success)
	}
	return c.admission.Release(now, id, result), before != c.health.Failing()
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (c *Controller) Cancel(id uint64) bool { return c.admission.Cancel(id) }

// Tick adjusts the cutoff and starts waiting requests. It must be called every
// cutoff.Tick.
func (c *Controller) Tick(now time.Time) admission.Changes { return c.admission.Tick(now) }

// SetRate sets the limit that the target names on the requests per second.
func (c *Controller) SetRate(now time.Time, rate ratelimit.Limit) { c.admission.SetRate(now, rate) }

// Rate is the limit that the target names on the requests per second.
func (c *Controller) Rate() ratelimit.Limit { return c.admission.Rate() }

// Cold bounds the requests while the target is cold.
func (c *Controller) Cold() *coldstart.Limiter { return c.admission.Cold() }

// Load is the number of running and waiting requests divided by the usable slots.
func (c *Controller) Load(now time.Time) float64 { return c.admission.Load(now) }

// Failing reports whether the target fails most requests.
func (c *Controller) Failing() bool { return c.health.Failing() }

// State is a snapshot for operators.
type State struct {
	Admission    admission.State `json:"gate"`
	FailureRatio float64         `json:"failure_ratio"`
	Failing      bool            `json:"failing"`
}

// State returns a snapshot.
func (c *Controller) State() State {
	return State{Admission: c.admission.State(), FailureRatio: c.health.Ratio(), Failing: c.health.Failing()}
}

// RetryAfter is the time after which a refused caller is asked to retry.
func (c *Controller) RetryAfter() time.Duration { return c.admission.RetryAfter() }
