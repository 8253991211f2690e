// Package rank gives each root a rank from its organisation's demand.
//
// The rank is uniform between 0 and the organisation's demand over its share.
// A cut at rank r then admits min(demand, r times share) of every organisation:
// the weighted max-min fair division, without any state per organisation at
// the nodes that shed. Stoica, Shenker and Zhang's core-stateless fair queueing
// labels flows in the same way.
package rank

import (
	"math"
	"time"
)

// window is the time constant of the demand estimate.
const window = 2 * time.Second

// Flow identifies the demand of one organisation of one class of importance, for
// all services: those that share a service further down lose in proportion there.
type Flow struct {
	Organisation string
	Class        int
}

type estimate struct {
	rate float64
	last time.Time
}

// Ranker estimates demand per flow. It is not safe for concurrent use.
type Ranker struct {
	flows map[Flow]estimate
	// all is the demand of all organisations of a class, and shares what they are
	// entitled to.
	all    map[int]estimate
	shares map[Flow]float64
}

// New returns a ranker without history.
func New() *Ranker {
	return &Ranker{flows: map[Flow]estimate{}, all: map[int]estimate{}, shares: map[Flow]float64{}}
}

// Rank counts one root of the flow at now and returns its rank. Share is the
// organisation's weight; u is uniform in [0, 1).
func (r *Ranker) Rank(now time.Time, flow Flow, share, u float64) float64 {
	e, known := r.flows[flow]
	e = e.counted(now, known)
	r.flows[flow] = e
	return u * e.rate / share
}

// RelativeRank is Rank over the mean of all organisations of the class at this node: the
// ranks of an organisation that asks for as much of its share as others lie between
// 0 and 1, however much passes through this node.
func (r *Ranker) RelativeRank(now time.Time, flow Flow, share, u float64) float64 {
	own := r.Rank(now, flow, share, u)
	all, known := r.all[flow.Class]
	all = all.counted(now, known)
	r.all[flow.Class], r.shares[flow] = all, share
	shares := 0.0
	for f, s := range r.shares {
		if f.Class == flow.Class {
			shares += s
		}
	}
	return own * shares / all.rate
}

// counted adds one arrival to an estimate, or begins one.
func (e estimate) counted(now time.Time, known bool) estimate {
	if !known {
		return estimate{rate: 1 / window.Seconds(), last: now}
	}
	return e.withArrival(now)
}

// withArrival adds one arrival to an exponential average over the window.
func (e estimate) withArrival(now time.Time) estimate {
	gap := now.Sub(e.last).Seconds()
	decay := math.Exp(-gap / window.Seconds())
	return estimate{rate: e.rate*decay + 1/window.Seconds(), last: now}
}

// Prune drops flows that had no root for ten windows.
func (r *Ranker) Prune(now time.Time) {
	for flow, e := range r.flows {
		if now.Sub(e.last) > 10*window {
			delete(r.flows, flow)
			delete(r.shares, flow)
		}
	}
}

// Flows is the number of flows known.
func (r *Ranker) Flows() int { return len(r.flows) }
