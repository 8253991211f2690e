// Package spill decides which fraction of the calls of a route leaves the availability zone
// of their sender, and to which zones.
//
// Leaving costs a round trip and the price of traffic between zones. It pays in two cases:
// targets elsewhere are faster by more than that, or the zone's own targets are full, so that
// calls would be refused for want of a slot. A zone that is itself full gets nothing.
//
// Each sender decides for its own calls from the loads that it has been told. All senders of
// a zone see the same loads, and each moves its fraction by the ratio of the load to keep to
// the load there is, so that the sum of what they send away is what the zone lacks.
package spill

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// startLoad is the load of the own zone at which calls begin to leave, and keepLoad the
	// load that is kept while calls leave. Loads are mean numbers of running and waiting
	// calls over effective slots; single targets differ from the mean.
	startLoad = 0.92
	keepLoad  = 0.85
	// roomLoad is the load up to which another zone has room.
	roomLoad = 0.85
	// Interval is the time between two steps.
	Interval = 250 * time.Millisecond
	// maxStep bounds a step after a pause.
	maxStep = 2 * Interval
	// window is the time constant with which fractions follow. Loads are told with up to a
	// second of delay, and several zones may send to one; faster changes would oscillate.
	window = 1500 * time.Millisecond
	// unknownRoom is the room of a zone whose load is not known, as a fraction of its slots:
	// enough to be told its load.
	unknownRoom = 0.05
	// minFraction is the fraction below which all calls stay.
	minFraction = 0.01
	// minStaying and minDemand bound the estimate of the zone's calls from those that stay,
	// as fractions of the calls and of the slots.
	minStaying = 0.05
	minDemand  = 0.1
)

// Price is the price of traffic between zones, as a fraction of the time that a call has. A
// price of 1 or more keeps all calls in the zone.
type Price struct {
	// Root is for callers' requests, Inner for calls that targets make.
	Root, Inner float64
}

// DefaultPrice returns the price where none is set. Calls of targets are many for each
// request, and the time of each adds to that of its caller.
func DefaultPrice() Price { return Price{Root: 0.2, Inner: 0.5} }

// At returns the price for a call that is depth hops from the root's caller.
func (p Price) At(depth int) float64 {
	if depth > 1 {
		return p.Inner
	}
	return p.Root
}

// Zone is what a sender knows of the targets of a service in one availability zone.
type Zone struct {
	Name string
	// Slots is the number of effective slots.
	Slots float64
	// Load is the number of running and waiting calls over the effective slots.
	Load float64
	// Known is set if the load was told lately.
	Known bool
	// Time is the time that a call takes a slot, in seconds, and Hop the round trip there,
	// 0 if they are not known.
	Time, Hop float64
}

// View is what a sender knows of a service.
type View struct {
	Own    Zone
	Others []Zone
	// Budget is the time that calls of the route have, in seconds: the objective of the
	// route, or what is left to their root request if that is less.
	Budget float64
	// Price is the price of leaving, as a fraction of the budget.
	Price float64
}

// Reason is why calls leave the zone.
type Reason string

// The reasons of calls that leave.
const (
	// Full means that the own targets are full.
	Full Reason = "full"
	// Faster means that targets elsewhere are faster by more than it costs to go there.
	Faster Reason = "faster"
	// Absent means that no target of the own zone takes the call.
	Absent Reason = "absent"
	// Probe is a call that is sent to learn about another zone.
	Probe Reason = "probe"
)

// Share is the fraction of the calls that goes to another zone.
type Share struct {
	Zone     string
	Fraction float64
}

// Plan is how the calls of one route leave the zone. The zero value keeps all calls.
type Plan struct {
	// Shares are sorted by zone.
	Shares []Share
	Reason Reason
	at     time.Time
}

// Fraction is the fraction of the calls that leaves the zone.
func (p Plan) Fraction() float64 {
	sum := 0.0
	for _, s := range p.Shares {
		sum += s.Fraction
	}
	return sum
}

func (p Plan) share(zone string) float64 {
	for _, s := range p.Shares {
		if s.Zone == zone {
			return s.Fraction
		}
	}
	return 0
}

// Due reports whether the plan may change at now.
func (p Plan) Due(now time.Time) bool { return now.Sub(p.at) >= Interval }

// WithView returns the plan after a step with what is known at now.
func (p Plan) WithView(now time.Time, v View) Plan {
	elapsed := min(now.Sub(p.at), maxStep)
	if p.at.IsZero() {
		elapsed = Interval
	}
	follow := 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
	gains, reason := v.gains()
	allowed, sum := map[string]float64{}, 0.0
	for _, z := range v.Others {
		if gains[z.Name] {
			allowed[z.Name] = max(0, p.share(z.Name)+z.room()/v.demand(p))
			sum += allowed[z.Name]
		}
	}
	scale := min(1, v.wanted(p, reason)/max(sum, math.SmallestNonzeroFloat64))
	next := Plan{at: now, Reason: reason}
	for _, z := range v.Others {
		was := p.share(z.Name)
		desired := allowed[z.Name] * scale
		f := was + (desired-was)*follow
		if f > minFraction || desired > was {
			next.Shares = append(next.Shares, Share{z.Name, f})
		}
	}
	if len(next.Shares) == 0 {
		next.Reason = ""
	}
	slices.SortFunc(next.Shares, func(a, b Share) int { return cmp.Compare(a.Zone, b.Zone) })
	return next
}

// gains returns the zones that calls gain by going to, and why.
func (v View) gains() (map[string]bool, Reason) {
	faster, full := map[string]bool{}, map[string]bool{}
	for _, z := range v.Others {
		there := cmp.Or(z.Time, v.Own.Time) + z.Hop + v.Price*v.Budget
		if v.Own.Time > 0 && z.Time > 0 && there < v.Own.Time {
			faster[z.Name] = true
		}
		if there < v.Budget {
			full[z.Name] = true
		}
	}
	if len(faster) > 0 && v.Own.Load < startLoad {
		return faster, Faster
	}
	return full, Full
}

// wanted returns the fraction of the calls that is to leave the own zone.
func (v View) wanted(p Plan, reason Reason) float64 {
	staying := 1 - p.Fraction()
	switch {
	case reason == Faster:
		return 1
	case v.Own.Load < keepLoad*staying, staying == 1 && v.Own.Load < startLoad:
		return 0
	}
	return max(0, 1-staying*keepLoad/v.Own.Load)
}

// demand is the number of slots that the calls of the own zone would take.
func (v View) demand(p Plan) float64 {
	staying := max(1-p.Fraction(), minStaying)
	return max(v.Own.Load*v.Own.Slots/staying, v.Own.Slots*minDemand, 1)
}

// room is the number of slots that a zone has room for; it is negative if it has too much.
func (z Zone) room() float64 {
	if !z.Known {
		return unknownRoom * z.Slots
	}
	return (roomLoad - z.Load) * z.Slots
}

// HasRoom reports whether the zone is known to have room.
func (z Zone) HasRoom() bool { return z.Known && z.room() > 0 }

// Leaves reports whether a call leaves the zone, and to which zone. Draw is a random number
// from 0 up to 1.
func (p Plan) Leaves(draw float64) (string, bool) {
	for _, s := range p.Shares {
		if draw < s.Fraction {
			return s.Zone, true
		}
		draw -= s.Fraction
	}
	return "", false
}
