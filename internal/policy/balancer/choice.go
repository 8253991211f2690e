// Package choice picks the node that a call is sent to.
//
// Of the candidates that admit the call, two random ones are compared by load
// and recent outcome; the candidates of the caller's own availability zone
// come first while one of them has room. What this node observed outranks what
// a target reports about itself.
package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// cutLife is how long a cut is believed after it was heard. Afterwards the
	// next call goes through and hears the present one.
	cutLife = 500 * time.Millisecond
	// useLife is how long a route counts as using a service further down.
	useLife = time.Minute
	// loadLife is how long a reported load is believed.
	loadLife = 2 * time.Second
	// room is the load below which the own availability zone is preferred.
	room = 0.9
	// warmTime is how long a new target gets less than its share.
	warmTime = 10 * time.Second
	// holdLife is how long a reported time of service is believed; afterwards
	// the candidate is tried as if it were as quick as the quickest.
	holdLife = 5 * time.Second
	// farPart is the part of a route's objective that a caller's request must
	// save for one to another availability zone, since bytes between zones are
	// paid for; farInner is that for calls of targets, of which there are many
	// and each only adds to its caller's time.
	farPart  = 0.2
	farInner = 0.5
	// easy is the load up to which waiting for a slot is unlikely, and fullTime
	// how many times the time of service a call takes at load 1.
	easy     = 0.65
	fullTime = 3.0
	// waitTime is how many times of service each further unit of load adds.
	waitTime = 8.0
	// ejectAfter is the number of failures in a row that eject a candidate.
	ejectAfter = 3
	// minEject and maxEject bound how long a candidate is left out.
	minEject = 500 * time.Millisecond
	maxEject = 10 * time.Second
)

// Candidate is a node that serves a target of the wanted service.
type Candidate struct {
	// ID is the incarnation of the node.
	ID string
	// Address is its peers' listener, IP:port.
	Address string
	Zone    string
	// Slots is the announced size of its target.
	Slots int
	// ReadySince is when the target became ready; zero if long ago.
	ReadySince time.Time
	// Failing is what the node says of its own target.
	Failing bool
}

// observed is what this node has seen of a candidate.
type observed struct {
	inFlight  int
	load      float64
	loadAt    time.Time
	cut       heard
	failures  int
	ejections int
	outUntil  time.Time
}

type heard struct {
	cut priority.Cutoff
	at  time.Time
}

// admits reports whether a request of this score passes. Once the cut is too old,
// ranks are let in little by little: its news come only with answers to calls.
func (h heard) admits(now time.Time, s priority.Score, depth int) bool {
	past := now.Sub(h.at) - cutLife
	switch {
	case h.at.IsZero():
		return true
	case past > 0:
		return h.cut.Relaxed(s, past).Admits(s, depth)
	}
	return h.cut.Admits(s, depth)
}

// fresh reports whether the cut is still believed.
func (h heard) fresh(now time.Time) bool { return !h.at.IsZero() && now.Sub(h.at) <= cutLife }

// now is the cut as believed at a time.
func (h heard) now(now time.Time) priority.Cutoff {
	if !h.fresh(now) {
		return priority.AdmitAll
	}
	return h.cut
}

// Downstream is what the nodes of a service further down admit. Whatever route it
// was heard on, it holds for all routes that use the service, so that they are
// shed in one order.
type Downstream struct {
	Service string          `json:"svc"`
	Cutoff  priority.Cutoff `json:"cut"`
}

// Balancer remembers what came of earlier calls. It is not safe for concurrent
// use.
type Balancer struct {
	zone   string
	random *rand.Rand
	seen   map[string]*observed
	// below is what services further down admit, and uses the services that
	// calls of a route meet there, with the time of the latest news.
	below map[string]heard
	uses  map[string]map[string]time.Time
	// holds are the times of service that candidates reported, by route.
	holds map[string]map[string]hold
	// usable and admitting hold the candidates of one choice.
	usable, admitting []Candidate
}

// hold is a mean time of service in seconds.
type hold struct {
	mean float64
	at   time.Time
}

// New returns a chooser for a node in an availability zone.
func New(zone string, random *rand.Rand) *Balancer {
	return &Balancer{zone: zone, random: random, seen: map[string]*observed{}, below: map[string]heard{}, uses: map[string]map[string]time.Time{}, holds: map[string]map[string]hold{}}
}

// Call is what a choice is made for.
type Call struct {
	Route string
	Score priority.Score
	Depth int
	// Objective is the time within which an answer is worth most.
	Objective time.Duration
	// Tried are the IDs of candidates that must not be taken again.
	Tried []string
}

func (c Call) farPart() float64 {
	if c.Depth > 1 {
		return farInner
	}
	return farPart
}

// Pick is a candidate and whether it was taken although it fails.
type Pick struct {
	Candidate Candidate
	// Forced is set when every candidate seems to fail.
	Forced bool
}

// Choose returns the candidate for a call. It returns failure.Overload when
// all refuse the call's score and failure.NoTarget when there is none.
func (c *Balancer) Choose(now time.Time, all []Candidate, call Call) (Pick, *failure.Refusal) {
	untried := without(all, call.Tried)
	if len(untried) == 0 {
		return Pick{}, failure.New(failure.NoTarget, "no other target of the service")
	}
	forced := false
	c.usable = c.filter(c.usable, untried, func(k Candidate, o *observed) bool {
		return !k.Failing && !now.Before(o.outUntil)
	})
	usable := c.usable
	if len(usable) == 0 {
		usable, forced = untried, true
	}
	c.admitting = c.filter(c.admitting, usable, func(_ Candidate, o *observed) bool {
		return o.cut.now(now).Admits(call.Score, call.Depth)
	})
	if len(c.admitting) == 0 {
		// A target that was away may be back.
		c.admitting = c.filter(c.admitting, usable, func(_ Candidate, o *observed) bool { return o.cut.now(now) == priority.AdmitNone })
	}
	admitting := c.admitting
	if !c.belowAdmits(now, call) {
		return Pick{}, failure.New(failure.Overload, "a service further down is overloaded")
	}
	if len(admitting) == 0 {
		return Pick{}, failure.New(failure.Overload, "every target of the service is overloaded")
	}
	if quickest, ok := c.quickest(now, admitting, call); ok {
		return Pick{Candidate: quickest, Forced: forced}, nil
	}
	return Pick{Candidate: c.better(now, c.near(now, admitting)), Forced: forced}, nil
}

func without(all []Candidate, tried []string) []Candidate {
	if len(tried) == 0 {
		return all
	}
	var rest []Candidate
	for _, k := range all {
		found := false
		for _, id := range tried {
			found = found || id == k.ID
		}
		if !found {
			rest = append(rest, k)
		}
	}
	return rest
}

// filter puts the candidates to keep into the space of an earlier list.
func (c *Balancer) filter(space, all []Candidate, keep func(Candidate, *observed) bool) []Candidate {
	kept := space[:0]
	for _, k := range all {
		if keep(k, c.of(k.ID)) {
			kept = append(kept, k)
		}
	}
	return kept
}

// belowAdmits reports whether all services further down admit a call.
func (c *Balancer) belowAdmits(now time.Time, call Call) bool {
	for service, at := range c.uses[call.Route] {
		if now.Sub(at) > useLife {
			delete(c.uses[call.Route], service)
			continue
		}
		if !c.below[service].admits(now, call.Score, call.Depth) {
			return false
		}
	}
	return true
}

// near keeps the candidates of the own zone when one of them has room.
func (c *Balancer) near(now time.Time, all []Candidate) []Candidate {
	var own []Candidate
	hasRoom := false
	for _, k := range all {
		if k.Zone != c.zone {
			continue
		}
		own = append(own, k)
		hasRoom = hasRoom || c.loadOf(now, k) < room
	}
	if hasRoom {
		return own
	}
	return all
}

// sampledNear and sampledFar are the numbers of candidates of the own zone and
// of others that are compared by their time of service. With few of many, nodes
// that hear the same of all don't flock to one; with some of the own zone in
// every sample, no call leaves it for want of one.
const (
	sampledNear = 6
	sampledFar  = 2
)

// quickest returns the candidate with the least expected time for a call. It
// returns false while no candidate's time of service is known.
func (c *Balancer) quickest(now time.Time, all []Candidate, call Call) (Candidate, bool) {
	best, holds := 0.0, c.holds[call.Route]
	for _, k := range all {
		if h, ok := holds[k.ID]; ok && now.Sub(h.at) < holdLife && (best == 0 || h.mean < best) {
			best = h.mean
		}
	}
	if best == 0 {
		return Candidate{}, false
	}
	var pick Candidate
	least := 0.0
	start := c.random.IntN(len(all))
	near, far := 0, 0
	for i := range all {
		k := all[(start+i)%len(all)]
		if k.Zone == c.zone {
			near++
		} else {
			far++
		}
		if (k.Zone == c.zone && near > sampledNear) || (k.Zone != c.zone && far > sampledFar) {
			continue
		}
		cost := best
		if h, ok := holds[k.ID]; ok && now.Sub(h.at) < holdLife {
			cost = h.mean
		}
		cost *= stretch(c.loadOf(now, k))
		if k.Zone != c.zone {
			cost += call.farPart() * call.Objective.Seconds()
		}
		if pick.ID == "" || cost < least {
			pick, least = k, cost
		}
	}
	return pick, true
}

// stretch is how many times its time of service a call takes at a load.
func stretch(load float64) float64 {
	switch {
	case load <= easy:
		return 1
	case load <= 1:
		return 1 + (fullTime-1)*(load-easy)/(1-easy)
	}
	return fullTime + waitTime*(load-1)
}

// better compares two random candidates.
func (c *Balancer) better(now time.Time, all []Candidate) Candidate {
	if len(all) == 1 {
		return all[0]
	}
	i := c.random.IntN(len(all))
	j := c.random.IntN(len(all) - 1)
	if j >= i {
		j++
	}
	if c.loadOf(now, all[j]) < c.loadOf(now, all[i]) {
		return all[j]
	}
	return all[i]
}

// loadOf joins the load that the candidate reported with the calls that this
// node has there, and scales it up while the target is warming.
func (c *Balancer) loadOf(now time.Time, k Candidate) float64 {
	o := c.of(k.ID)
	load := float64(o.inFlight+1) / float64(max(k.Slots, 1))
	if now.Sub(o.loadAt) < loadLife {
		load = max(load, o.load)
	}
	if age := now.Sub(k.ReadySince); !k.ReadySince.IsZero() && age < warmTime {
		load *= float64(warmTime) / float64(max(age, warmTime/20))
	}
	return load
}

func (c *Balancer) of(id string) *observed {
	o, ok := c.seen[id]
	if !ok {
		o = &observed{}
		c.seen[id] = o
	}
	return o
}

// Sent counts a call that goes to a candidate.
func (c *Balancer) Sent(id string) { c.of(id).inFlight++ }

// Report is what a candidate's answer said.
type Report struct {
	Route string
	// Load, Cut and Below come with every answer of a node. Cut is priority.None while
	// its target is away.
	Load       float64
	Cutoff     priority.Cutoff
	Downstream []Downstream
	// ServiceTime is the candidate's mean time of service for the route in seconds; 0
	// if it doesn't say.
	ServiceTime float64
}

// Answered notes an answer of the candidate's node, whatever it said.
func (c *Balancer) Answered(now time.Time, id string, r Report) {
	o := c.of(id)
	o.inFlight = max(0, o.inFlight-1)
	o.load, o.loadAt = r.Load, now
	o.cut = heard{cut: r.Cutoff, at: now}
	c.learnBelow(now, r)
	c.learnHold(now, id, r)
	o.failures, o.ejections = 0, 0
	o.outUntil = time.Time{}
}

// Failed notes a call without an answer from the candidate's node.
func (c *Balancer) Failed(now time.Time, id string) {
	o := c.of(id)
	o.inFlight = max(0, o.inFlight-1)
	o.failures++
	if o.failures < ejectAfter {
		return
	}
	out := min(minEject<<min(o.ejections, 8), maxEject)
	o.outUntil = now.Add(out)
	o.ejections++
	o.failures = ejectAfter - 1
}

// Canceled notes a call that ended for the caller's own reasons.
func (c *Balancer) Canceled(id string) {
	o := c.of(id)
	o.inFlight = max(0, o.inFlight-1)
}

func (c *Balancer) learnHold(now time.Time, id string, r Report) {
	if r.ServiceTime <= 0 {
		return
	}
	if c.holds[r.Route] == nil {
		c.holds[r.Route] = map[string]hold{}
	}
	c.holds[r.Route][id] = hold{r.ServiceTime, now}
}

func (c *Balancer) learnBelow(now time.Time, r Report) {
	if len(r.Downstream) > 0 && c.uses[r.Route] == nil {
		c.uses[r.Route] = map[string]time.Time{}
	}
	for _, b := range r.Downstream {
		c.uses[r.Route][b.Service] = now
		c.below[b.Service] = heard{cut: b.Cutoff, at: now}
	}
}

// Downstream lists what calls of a route to a service meet from there on, as far as news
// are fresh: the most that any candidate of the service admits whose target is there,
// and what services further down do.
func (c *Balancer) Downstream(now time.Time, all []Candidate, service, route string) []Downstream {
	var list []Downstream
	most, known := priority.AdmitNone, false
	for _, k := range all {
		if h := c.of(k.ID).cut; h.fresh(now) && h.cut != priority.AdmitNone {
			most, known = max(most, h.cut), true
		}
	}
	if known {
		list = append(list, Downstream{Service: service, Cutoff: most})
	}
	for _, name := range slices.Sorted(maps.Keys(c.uses[route])) {
		if h := c.below[name]; h.fresh(now) {
			list = append(list, Downstream{Service: name, Cutoff: h.cut})
		}
	}
	return list
}

// HasInnerCalls reports whether calls of a route are known to make inner calls.
func (c *Balancer) HasInnerCalls(route string) bool { return len(c.uses[route]) > 0 }

// Prune forgets candidates that are gone and idle.
func (c *Balancer) Prune(present func(id string) bool) {
	for id, o := range c.seen {
		if !present(id) && o.inFlight == 0 {
			delete(c.seen, id)
		}
	}
	for route, holds := range c.holds {
		maps.DeleteFunc(holds, func(id string, _ hold) bool { return !present(id) })
		if len(holds) == 0 {
			delete(c.holds, route)
		}
	}
}

// Len is the number of candidates remembered.
func (c *Balancer) Len() int { return len(c.seen) }
