// Package rank assigns each root request a rank from its organisation's demand.
//
// The rank is uniform between 0 and the organisation's demand over its share.
// A cutoff at rank r then admits min(demand, r times share) of every
// organisation. That is the weighted max-min fair allocation, without state per
// organisation at the nodes that shed. Core-stateless fair queueing (Stoica,
// Shenker and Zhang) labels flows in the same way.
package rank

import (
	"math"
	"time"
)

// window is the time constant of the demand estimate.
const window = 2 * time.Second

// Flow identifies the demand of one organisation in one class of importance,
// across all services. If flows share an overloaded downstream service, each
// loses there in proportion.
type Flow struct {
	Organisation string
	Class        int
}

// estimate is a moving average of arrivals.
type estimate struct {
	// rate is in arrivals per second.
	rate float64
	last time.Time
}

// Ranker estimates the demand per flow. It is not safe for concurrent use.
type Ranker struct {
	flows map[Flow]estimate
	// total is the demand of all organisations by class, and shares the share of
	// each flow.
	total  map[int]estimate
	shares map[Flow]float64
}

// New returns a ranker without history.
func New() *Ranker {
	return &Ranker{flows: map[Flow]estimate{}, total: map[int]estimate{}, shares: map[Flow]float64{}}
}

// Rank counts one root request of the flow and returns its rank. Share is the
// organisation's weight; u is uniform in [0, 1).
func (r *Ranker) Rank(now time.Time, flow Flow, share, u float64) float64 {
	e, known := r.flows[flow]
	e = e.counted(now, known)
	r.flows[flow] = e
	return u * e.rate / share
}

// RelativeRank is Rank divided by the demand over share of the whole class at
// this node. An organisation that uses as much of its share as the others gets
// ranks from 0 to 1, however much traffic this node has.
func (r *Ranker) RelativeRank(now time.Time, flow Flow, share, u float64) float64 {
	own := r.Rank(now, flow, share, u)
	total, known := r.total[flow.Class]
	total = total.counted(now, known)
	r.total[flow.Class], r.shares[flow] = total, share
	shares := 0.0
	for f, s := range r.shares {
		if f.Class == flow.Class {
			shares += s
		}
	}
	return own * shares / total.rate
}

// counted adds one arrival to an estimate, or starts one if none is known.
func (e estimate) counted(now time.Time, known bool) estimate {
	if !known {
		return estimate{rate: 1 / window.Seconds(), last: now}
	}
	return e.withArrival(now)
}

// withArrival decays the average by the time since the last arrival and adds one
// arrival.
func (e estimate) withArrival(now time.Time) estimate {
	gap := now.Sub(e.last).Seconds()
	decay := math.Exp(-gap / window.Seconds())
	return estimate{rate: e.rate*decay + 1/window.Seconds(), last: now}
}

// Prune removes flows without a root request in the last ten windows (20 s).
func (r *Ranker) Prune(now time.Time) {
	for flow, e := range r.flows {
		if now.Sub(e.last) > 10*window {
			delete(r.flows, flow)
			delete(r.shares, flow)
		}
	}
}

// Flows is the number of flows with an estimate.
func (r *Ranker) Flows() int { return len(r.flows) }
