package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/spill"
)

const (
	// zoneTTL is how long what candidates of a zone reported is used for the zone as a whole.
	zoneTTL = 5 * time.Second
	// budgetWeight is the weight of the newest call in the mean budget of a route.
	budgetWeight = 0.05
	// hopRise and hopFall are the weights of a slower and a faster round trip than the
	// measured one. Slow ones waited somewhere.
	hopRise = 0.01
	hopFall = 0.3
	// probeInterval is the time between two calls that are sent to another zone to learn
	// whether targets there are faster.
	probeInterval = 5 * time.Second
	// loggedChange is the least change of a fraction that is reported.
	loggedChange = 0.1
)

// planKey names the calls that a plan is for.
type planKey struct{ service, route string }

// zonePlan is the plan for the calls of a route to a service.
type zonePlan struct {
	spill.Plan
	// budget is the mean time within which the calls are of use, in seconds.
	budget float64
	// reported is the fraction of the last PlanChange.
	reported float64
	// roomy are the other zones that have room.
	roomy    []string
	probedAt time.Time
	probed   int
}

// PlanChange tells that another fraction of the calls leaves the zone.
type PlanChange struct {
	Service, Route string
	Fraction       float64
	Reason         spill.Reason
	Shares         []spill.Share
}

// PlanChanges returns the larger changes of plans since the last call.
func (b *Balancer) PlanChanges() []PlanChange {
	changes := b.changes
	b.changes = nil
	return changes
}

// PlanFraction returns the fraction of the calls of a route to a service that leaves the zone.
func (b *Balancer) PlanFraction(service, route string) float64 {
	if p, ok := b.plans[planKey{service, route}]; ok {
		return p.Fraction()
	}
	return 0
}

// inZone returns the candidates of the zone that a call goes to, and why it leaves the own
// zone. Usable are the candidates that do not fail, admitting those that admit the call.
func (b *Balancer) inZone(now time.Time, usable, admitting []Candidate, call Call) ([]Candidate, spill.Reason) {
	plan := b.plan(now, usable, call)
	if zone, leaves := plan.Leaves(b.random.Float64()); leaves {
		if to := b.ofZone(admitting, zone); len(to) > 0 {
			return to, plan.Reason
		}
	}
	if zone, due := b.probe(now, plan, usable, call); due {
		if to := b.ofZone(admitting, zone); len(to) > 0 {
			return to, spill.Probe
		}
	}
	if own := b.ofZone(admitting, b.zone); len(own) > 0 {
		return own, ""
	}
	if b.price.At(call.Depth) >= 1 && len(b.ofZone(usable, b.zone)) > 0 {
		return nil, ""
	}
	return admitting, spill.Absent
}

// Met returns the candidates whose cutoffs calls of a route meet: those of the own zone and
// of zones with room, to which a call goes that the own zone turns away. Where all zones are
// full, the most lenient of their cutoffs changes all the time and holds for few calls.
func (b *Balancer) Met(all []Candidate, service, route string) []Candidate {
	p, ok := b.plans[planKey{service, route}]
	if !ok {
		return all
	}
	b.zoned = b.zoned[:0]
	for _, k := range all {
		if k.Zone == b.zone || slices.Contains(p.roomy, k.Zone) {
			b.zoned = append(b.zoned, k)
		}
	}
	if len(b.zoned) == 0 {
		return all
	}
	return b.zoned
}

// ofZone returns the candidates of a zone. The result is valid until the next call.
func (b *Balancer) ofZone(all []Candidate, zone string) []Candidate {
	b.zoned = b.zoned[:0]
	for _, k := range all {
		if k.Zone == zone {
			b.zoned = append(b.zoned, k)
		}
	}
	return b.zoned
}

// plan returns the plan for a call, after a step if one is due.
func (b *Balancer) plan(now time.Time, usable []Candidate, call Call) *zonePlan {
	key := planKey{call.Service, call.Route}
	p, ok := b.plans[key]
	if !ok {
		p = &zonePlan{budget: call.budget()}
		b.plans[key] = p
	}
	if call.Retry {
		return p
	}
	p.budget += (call.budget() - p.budget) * budgetWeight
	if !p.Due(now) {
		return p
	}
	v := b.view(now, usable, call, p.budget)
	p.Plan, p.roomy = p.WithView(now, v), p.roomy[:0]
	for _, z := range v.Others {
		if z.HasRoom() {
			p.roomy = append(p.roomy, z.Name)
		}
	}
	f := p.Fraction()
	if math.Abs(f-p.reported) >= loggedChange || (f == 0) != (p.reported == 0) {
		p.reported = f
		b.changes = append(b.changes, PlanChange{Service: call.Service, Route: call.Route, Fraction: f, Reason: p.Reason, Shares: p.Shares})
	}
	return p
}

// zoneSums adds up what is known of the candidates of a zone.
type zoneSums struct {
	slots, load, weights float64
	// timedSlots are the slots with a known service time, and rate the calls per second
	// that they take.
	timedSlots, rate float64
}

// view returns what is known of the zones of a service.
func (b *Balancer) view(now time.Time, usable []Candidate, call Call, budget float64) spill.View {
	sums, serviceTimes := map[string]*zoneSums{b.zone: {}}, b.serviceTimes[call.Route]
	for _, k := range usable {
		z, ok := sums[k.Zone]
		if !ok {
			z = &zoneSums{}
			sums[k.Zone] = z
		}
		o, slots := b.get(k.ID), max(float64(k.Slots), 1)*warmth(now, k)
		z.slots += slots
		if now.Sub(o.loadAt) < zoneTTL {
			w := slots * reportWeight(now, o)
			z.load, z.weights = z.load+o.load*w, z.weights+w
		}
		if s, ok := serviceTimes[k.ID]; ok && now.Sub(s.at) < zoneTTL {
			z.timedSlots, z.rate = z.timedSlots+slots, z.rate+slots/s.mean
		}
	}
	v := spill.View{Budget: budget, Price: b.price.At(call.Depth)}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		z := sums[name]
		zone := spill.Zone{Name: name, Slots: z.slots, Known: z.weights > 0}
		if z.weights > 0 {
			zone.Load = z.load / z.weights
		}
		if z.rate > 0 {
			zone.Time = z.timedSlots / z.rate
		}
		if name == b.zone {
			v.Own = zone
			continue
		}
		zone.Hop = b.hops[name]
		v.Others = append(v.Others, zone)
	}
	return v
}

// probe returns a zone to send a call to, to learn the service times there. It does so only
// where a much faster target would be worth the price of leaving.
func (b *Balancer) probe(now time.Time, p *zonePlan, usable []Candidate, call Call) (string, bool) {
	if now.Sub(p.probedAt) < probeInterval || len(p.Shares) > 0 || call.Retry {
		return "", false
	}
	p.probedAt = now
	v := b.view(now, usable, call, p.budget)
	var unknown []spill.Zone
	for _, z := range v.Others {
		if z.Time == 0 && v.Own.Time > z.Hop+v.Price*v.Budget {
			unknown = append(unknown, z)
		}
	}
	if len(unknown) == 0 {
		return "", false
	}
	p.probed++
	return unknown[p.probed%len(unknown)].Name, true
}

// recordHop records the round trip to a zone.
func (b *Balancer) recordHop(r Report) {
	if r.Hop <= 0 || r.Zone == b.zone {
		return
	}
	was := cmp.Or(b.hops[r.Zone], r.Hop)
	weight := hopRise
	if r.Hop < was {
		weight = hopFall
	}
	b.hops[r.Zone] = was + (r.Hop-was)*weight
}

// prunePlans removes the plans of routes that no candidate reports any more.
func (b *Balancer) prunePlans() {
	maps.DeleteFunc(b.plans, func(key planKey, _ *zonePlan) bool { return len(b.serviceTimes[key.route]) == 0 })
}
