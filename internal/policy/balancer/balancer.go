// Package balancer picks the node that a call is sent to.
//
// Once the service times of candidates are known, a plan for the availability zone as a
// whole decides whether a call leaves it (package spill). Among the candidates of the zone,
// it compares a few, drawn by capacity, by load over effective slots, and prefers faster ones
// where that matters for the objective. Until then it compares two random candidates by
// load, and prefers the own zone while a candidate there has spare capacity. Only candidates
// that admit the call are considered. Failures that this node observed outrank what a target
// reports about itself.
package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/pace"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/spill"
)

const (
	// cutoffTTL is how long a reported cutoff is used. After it, calls are sent
	// again, and their answers report the current cutoff.
	cutoffTTL = 500 * time.Millisecond
	// dependencyTTL is how long a route counts as using a downstream service
	// after the last answer that listed it.
	dependencyTTL = time.Minute
	// loadTTL is how long a reported load is used.
	loadTTL = 2 * time.Second
	// zoneMaxLoad is the load below which a candidate in the own availability
	// zone is preferred.
	zoneMaxLoad = 0.9
	// warmup is how long a new target gets less than its share of calls.
	warmup = 10 * time.Second
	// serviceTimeTTL is how long a reported service time is used. After it, the
	// candidate is tried as if it were as fast as the fastest.
	serviceTimeTTL = 5 * time.Second
	// ejectAfter is the number of consecutive failures that eject a candidate.
	ejectAfter = 3
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = 500 * time.Millisecond
	maxEjection = 10 * time.Second
)

// Candidate is a node that serves a target of the requested service.
type Candidate struct {
	// ID is the incarnation of the node.
	ID string
	// Address is the node's listener for peers, IP:port.
	Address string
	Zone    string
	// Slots is the number of concurrent requests that its target announced.
	Slots int
	// ReadySince is when the target became ready; zero if long ago.
	ReadySince time.Time
	// Failing is set when the node reports that its own target fails.
	Failing bool
}

// observed is what this node has seen of a candidate.
type observed struct {
	inFlight int
	load     float64
	loadAt   time.Time
	// inFlightThen is inFlight when the load was reported.
	inFlightThen int
	pace         pace.Pace
	cutoff       reportedCutoff
	failures     int
	ejections    int
	ejectedUntil time.Time
}

type reportedCutoff struct {
	cutoff priority.Cutoff
	at     time.Time
}

// admits reports whether a request with this score passes. An expired cutoff is
// relaxed step by step: cutoffs are reported only with answers to calls, so that
// the current one is unknown while all calls are refused.
func (r reportedCutoff) admits(now time.Time, s priority.Score, depth int) bool {
	expired := now.Sub(r.at) - cutoffTTL
	switch {
	case r.at.IsZero():
		return true
	case expired > 0:
		return r.cutoff.Relaxed(s, expired).Admits(s, depth)
	}
	return r.cutoff.Admits(s, depth)
}

// fresh reports whether the cutoff is known and has not expired.
func (r reportedCutoff) fresh(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) <= cutoffTTL
}

// current returns the cutoff to use at now; all requests pass when it is not
// fresh.
func (r reportedCutoff) current(now time.Time) priority.Cutoff {
	if !r.fresh(now) {
		return priority.AdmitAll
	}
	return r.cutoff
}

// Downstream is what a route meets at a downstream service.
type Downstream struct {
	Service string `json:"svc"`
	// Cutoff is the admission cutoff of the service. It applies to all routes that
	// use the service, whichever route it was reported on, so that the service sheds
	// their calls in one order of priority.
	Cutoff priority.Cutoff `json:"cut"`
	// Calls is the mean number of calls to the service that one run of the route makes,
	// with those that its inner calls make.
	Calls float64 `json:"calls,omitempty"`
}

// Rejecting is a service whose targets reject a part of all calls, whatever their number.
type Rejecting struct {
	Service string `json:"svc"`
	// Fraction is the fraction of attempts that is rejected.
	Fraction float64 `json:"part"`
	// Cutoff is the highest score of root requests whose rejected calls are retried.
	Cutoff priority.Cutoff `json:"cut"`
}

// Requests whose rejected calls are not retried are refused at their entry if a run meets
// more rejections than this on average. One that can't be repeated fails for good at the
// first. One that can is refused only if hardly any run would complete, to save the work.
const (
	maxRejectionsOnce       = 0.8
	maxRejectionsRepeatable = 3.0
)

// admits reports whether a request is worth admitting, if one run of its route makes this
// many calls.
func (r Rejecting) admits(call Call, calls float64) bool {
	limit := maxRejectionsOnce
	if call.Repeatable {
		limit = maxRejectionsRepeatable
	}
	return calls*r.Fraction <= limit || r.Cutoff.Admits(call.Score, call.Depth)
}

// dependency is a downstream service of a route.
type dependency struct {
	// at is the time of the latest report.
	at    time.Time
	calls float64
}

// Balancer picks candidates by the results of earlier calls. It is not safe for
// concurrent use.
type Balancer struct {
	zone       string
	random     *rand.Rand
	candidates map[string]*observed
	// downstream holds the cutoffs of downstream services by name.
	// dependencies holds the downstream services of each route.
	downstream   map[string]reportedCutoff
	dependencies map[string]map[string]dependency
	// rejecting holds the services that reject calls, by name.
	rejecting map[string]Rejecting
	// serviceTimes are the service times that candidates reported, by route and
	// candidate.
	serviceTimes map[string]map[string]serviceTime
	// price is the price of traffic between zones, and hops the round trips there in
	// seconds.
	price spill.Price
	hops  map[string]float64
	plans map[planKey]*zonePlan
	// changes are the changes of plans since the last call of PlanChanges.
	changes []PlanChange
	// usable, admitting and zoned are reused for the candidates of one choice, and sample
	// for those that are compared.
	usable, admitting, zoned []Candidate
	sample                   []sampled
}

// serviceTime is a mean service time in seconds.
type serviceTime struct {
	mean float64
	at   time.Time
}

// New returns a balancer for a node in an availability zone.
func New(zone string, random *rand.Rand) *Balancer {
	return &Balancer{zone: zone, random: random, candidates: map[string]*observed{}, downstream: map[string]reportedCutoff{}, dependencies: map[string]map[string]dependency{}, serviceTimes: map[string]map[string]serviceTime{}, rejecting: map[string]Rejecting{}, price: spill.DefaultPrice(), hops: map[string]float64{}, plans: map[planKey]*zonePlan{}}
}

// SetPrice sets the price of traffic between availability zones.
func (b *Balancer) SetPrice(p spill.Price) { b.price = p }

// Call is a call that needs a node.
type Call struct {
	Route string
	// Service is the service that the candidates belong to.
	Service string
	Score   priority.Score
	// Depth is the number of hops from the root's caller, 1 for the root itself.
	Depth int
	// Objective is the latency objective of the route.
	Objective time.Duration
	// Remaining is the time until the deadline; 0 if it is not known.
	Remaining time.Duration
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Retry is set if the call was sent before. Its candidates may be only some of the
	// service's, and say nothing about its zones.
	Retry bool
	// Tried are the IDs of candidates that must not be picked again.
	Tried []string
}

// budget is the time within which the call is of use, in seconds.
func (c Call) budget() float64 {
	budget := c.Objective
	if c.Remaining > 0 {
		budget = min(budget, c.Remaining)
	}
	return budget.Seconds()
}

// Pick is the chosen candidate.
type Pick struct {
	Candidate Candidate
	// Forced is set when all candidates are failing or ejected and one was
	// picked all the same.
	Forced bool
	// Left is why the call leaves the availability zone; empty if it stays.
	Left spill.Reason
}

// Choose returns the candidate for a call. It returns failure.NoTarget when no
// untried candidate exists, and failure.Overload when all candidates, or a
// downstream service, refuse the call's score.
func (b *Balancer) Choose(now time.Time, all []Candidate, call Call) (Pick, *failure.Refusal) {
	untried := without(all, call.Tried)
	if len(untried) == 0 {
		return Pick{}, failure.New(failure.NoTarget, "no untried target of the service")
	}
	forced := false
	b.usable = b.filter(b.usable, untried, func(k Candidate, o *observed) bool {
		return !k.Failing && !now.Before(o.ejectedUntil)
	})
	usable := b.usable
	if len(usable) == 0 {
		usable, forced = untried, true
	}
	b.admitting = b.filter(b.admitting, usable, func(_ Candidate, o *observed) bool {
		return o.cutoff.current(now).Admits(call.Score, call.Depth)
	})
	if len(b.admitting) == 0 {
		// A target that was absent may be back.
		b.admitting = b.filter(b.admitting, usable, func(_ Candidate, o *observed) bool { return o.cutoff.current(now) == priority.AdmitNone })
	}
	admitting := b.admitting
	if !b.downstreamAdmits(now, call) {
		return Pick{}, failure.New(failure.Overload, "a downstream service is overloaded")
	}
	if len(admitting) == 0 {
		return Pick{}, failure.New(failure.Overload, "every target of the service is overloaded")
	}
	best := b.leastServiceTime(now, admitting, call.Route)
	if best == 0 {
		return b.left(Pick{Candidate: b.lessLoaded(now, b.preferZone(now, admitting)), Forced: forced}), nil
	}
	zoned, reason := b.inZone(now, usable, admitting, call)
	if len(zoned) == 0 {
		return Pick{}, failure.New(failure.Overload, "every target of the zone is overloaded")
	}
	return Pick{Candidate: b.place(now, zoned, call, best), Forced: forced, Left: reason}, nil
}

// left sets the reason of a pick outside the zone that no plan has decided.
func (b *Balancer) left(p Pick) Pick {
	if p.Candidate.Zone != b.zone {
		p.Left = spill.Absent
	}
	return p
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

// filter returns the candidates for which keep is true, in the memory of buf.
func (b *Balancer) filter(buf, all []Candidate, keep func(Candidate, *observed) bool) []Candidate {
	kept := buf[:0]
	for _, k := range all {
		if keep(k, b.get(k.ID)) {
			kept = append(kept, k)
		}
	}
	return kept
}

// downstreamAdmits reports whether all downstream services of the route admit a
// call. It removes expired dependencies.
func (b *Balancer) downstreamAdmits(now time.Time, call Call) bool {
	for service, d := range b.dependencies[call.Route] {
		if now.Sub(d.at) > dependencyTTL {
			delete(b.dependencies[call.Route], service)
			continue
		}
		if !b.downstream[service].admits(now, call.Score, call.Depth) || !b.rejecting[service].admits(call, d.calls) {
			return false
		}
	}
	return true
}

// preferZone returns the candidates of the own availability zone if one of them
// has spare capacity, otherwise all.
func (b *Balancer) preferZone(now time.Time, all []Candidate) []Candidate {
	var own []Candidate
	hasCapacity := false
	for _, k := range all {
		if k.Zone != b.zone {
			continue
		}
		own = append(own, k)
		hasCapacity = hasCapacity || b.loadOf(now, k) < zoneMaxLoad
	}
	if hasCapacity {
		return own
	}
	return all
}

// lessLoaded returns the less loaded of two random candidates.
func (b *Balancer) lessLoaded(now time.Time, all []Candidate) Candidate {
	if len(all) == 1 {
		return all[0]
	}
	i := b.random.IntN(len(all))
	j := b.random.IntN(len(all) - 1)
	if j >= i {
		j++
	}
	if b.loadOf(now, all[j]) < b.loadOf(now, all[i]) {
		return all[j]
	}
	return all[i]
}

// loadOf returns the load of a candidate: the greater of the load it reported
// and that of this node's own calls in flight there, scaled up while the target
// warms up.
func (b *Balancer) loadOf(now time.Time, k Candidate) float64 {
	o := b.get(k.ID)
	load := float64(o.inFlight+1) / float64(max(k.Slots, 1))
	if now.Sub(o.loadAt) < loadTTL {
		load = max(load, o.load)
	}
	return load / warmth(now, k)
}

func (b *Balancer) get(id string) *observed {
	o, ok := b.candidates[id]
	if !ok {
		o = &observed{}
		b.candidates[id] = o
	}
	return o
}

// Sent records that a call is sent to a candidate. Answered, Failed or Canceled
// must follow.
func (b *Balancer) Sent(id string) { b.get(id).inFlight++ }

// Report is the load information in a candidate's answer.
type Report struct {
	Route string
	// Load, Cutoff and Downstream come with every answer of a node. Cutoff is
	// priority.AdmitNone while its target is absent.
	Load       float64
	Cutoff     priority.Cutoff
	Downstream []Downstream
	// ServiceTime is the candidate's mean service time for the route at the usual pace,
	// in seconds; 0 if it is not reported.
	ServiceTime float64
	// Pace is the time that work takes there at this moment, as a multiple of the usual; 0
	// if it is not reported.
	Pace float64
	// Zone is the candidate's availability zone, and Hop the round trip there in seconds; 0
	// if it was not measured.
	Zone string
	Hop  float64
}

// Answered records an answer of the candidate's node, also a refusal.
func (b *Balancer) Answered(now time.Time, id string, r Report) {
	o := b.get(id)
	o.inFlight = max(0, o.inFlight-1)
	o.load, o.loadAt, o.inFlightThen = r.Load, now, o.inFlight
	if r.Pace > 0 {
		o.pace = o.pace.WithReported(now, r.Pace)
	}
	b.recordHop(r)
	o.cutoff = reportedCutoff{cutoff: r.Cutoff, at: now}
	b.recordDownstream(now, r)
	b.recordServiceTime(now, id, r)
	o.failures, o.ejections = 0, 0
	o.ejectedUntil = time.Time{}
}

// Failed records a call that the candidate's node did not answer.
func (b *Balancer) Failed(now time.Time, id string) {
	o := b.get(id)
	o.inFlight = max(0, o.inFlight-1)
	o.failures++
	if o.failures < ejectAfter {
		return
	}
	duration := min(minEjection<<min(o.ejections, 8), maxEjection)
	o.ejectedUntil = now.Add(duration)
	o.ejections++
	// One more failure after the ejection ejects it again.
	o.failures = ejectAfter - 1
}

// Canceled records a call that the caller ended; it says nothing about the
// candidate.
func (b *Balancer) Canceled(id string) {
	o := b.get(id)
	o.inFlight = max(0, o.inFlight-1)
}

func (b *Balancer) recordServiceTime(now time.Time, id string, r Report) {
	if r.ServiceTime <= 0 {
		return
	}
	if b.serviceTimes[r.Route] == nil {
		b.serviceTimes[r.Route] = map[string]serviceTime{}
	}
	b.serviceTimes[r.Route][id] = serviceTime{r.ServiceTime, now}
}

func (b *Balancer) recordDownstream(now time.Time, r Report) {
	if len(r.Downstream) > 0 && b.dependencies[r.Route] == nil {
		b.dependencies[r.Route] = map[string]dependency{}
	}
	for _, d := range r.Downstream {
		b.dependencies[r.Route][d.Service] = dependency{at: now, calls: d.Calls}
		b.downstream[d.Service] = reportedCutoff{cutoff: d.Cutoff, at: now}
	}
}

// SetRejecting replaces the list of services that reject calls.
func (b *Balancer) SetRejecting(list []Rejecting) {
	clear(b.rejecting)
	for _, r := range list {
		b.rejecting[r.Service] = r
	}
}

// Downstream lists the fresh cutoffs that apply to calls of a route to a
// service: the highest among the service's candidates whose target is present,
// and those of the services further downstream.
func (b *Balancer) Downstream(now time.Time, all []Candidate, service, route string) []Downstream {
	var list []Downstream
	highest, known := priority.AdmitNone, false
	for _, k := range all {
		if r := b.get(k.ID).cutoff; r.fresh(now) && r.cutoff != priority.AdmitNone {
			highest, known = max(highest, r.cutoff), true
		}
	}
	if known {
		list = append(list, Downstream{Service: service, Cutoff: highest, Calls: 1})
	}
	for _, name := range slices.Sorted(maps.Keys(b.dependencies[route])) {
		if r := b.downstream[name]; r.fresh(now) {
			list = append(list, Downstream{Service: name, Cutoff: r.cutoff, Calls: b.dependencies[route][name].calls})
		}
	}
	return list
}

// HasInnerCalls reports whether calls of a route are known to make inner calls.
func (b *Balancer) HasInnerCalls(route string) bool { return len(b.dependencies[route]) > 0 }

// Prune removes candidates that are not present and have no calls in flight, and
// the service times of all that are not present.
func (b *Balancer) Prune(present func(id string) bool) {
	for id, o := range b.candidates {
		if !present(id) && o.inFlight == 0 {
			delete(b.candidates, id)
		}
	}
	b.prunePlans()
	for route, serviceTimes := range b.serviceTimes {
		maps.DeleteFunc(serviceTimes, func(id string, _ serviceTime) bool { return !present(id) })
		if len(serviceTimes) == 0 {
			delete(b.serviceTimes, route)
		}
	}
}

// Len is the number of candidates recorded.
func (b *Balancer) Len() int { return len(b.candidates) }
