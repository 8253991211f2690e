package balancer

import (
	"math"
	"time"
)

const (
	// sampleSize is the number of candidates that are compared. A small sample keeps nodes
	// with the same reports from all sending to one target.
	sampleSize = 4
	// loadFade is the time in which a reported load counts for a third, against the mean of
	// all candidates.
	loadFade = time.Second
	// freeTime is the time that a candidate may be slower than the fastest at no cost, as a
	// fraction of the time that the call has. slowCost is the cost of all of that time, in
	// units of load.
	freeTime = 0.05
	slowCost = 2.5
)

// sampled is a candidate that is compared with others.
type sampled struct {
	candidate Candidate
	// weight is its capacity in calls per second, load the expected load after the call,
	// and took the expected time of the call in seconds.
	weight, load, took float64
}

// leastServiceTime returns the least known service time of the candidates in seconds, 0
// while none is known.
func (b *Balancer) leastServiceTime(now time.Time, all []Candidate, route string) float64 {
	best, serviceTimes := 0.0, b.serviceTimes[route]
	for _, k := range all {
		if s, ok := serviceTimes[k.ID]; ok && now.Sub(s.at) < serviceTimeTTL && (best == 0 || s.mean < best) {
			best = s.mean
		}
	}
	return best
}

// place returns the best of a few candidates, drawn by their capacity. Best is the service
// time of a candidate whose own is not known, so that it is tried.
func (b *Balancer) place(now time.Time, all []Candidate, call Call, best float64) Candidate {
	b.sample = b.sample[:0]
	mean, serviceTimes := b.meanLoad(now, all), b.serviceTimes[call.Route]
	for _, k := range all {
		o, took := b.get(k.ID), best
		if s, ok := serviceTimes[k.ID]; ok && now.Sub(s.at) < serviceTimeTTL {
			took = s.mean
		}
		factor, warm := o.pace.At(now), warmth(now, k)
		took *= factor
		slots := max(float64(k.Slots), 1) * warm / factor
		load := b.expectedLoad(now, o, mean)/warm + float64(max(0, o.inFlight-o.inFlightThen)+1)/slots
		b.sample = append(b.sample, sampled{candidate: k, weight: slots / took, load: load, took: took * max(1, load)})
	}
	return leastCost(b.draw(), call.budget()).candidate
}

// meanLoad returns the mean load of the candidates, the newest reports first.
func (b *Balancer) meanLoad(now time.Time, all []Candidate) float64 {
	sum, weights := 0.0, 0.0
	for _, k := range all {
		o := b.get(k.ID)
		w := reportWeight(now, o) * float64(max(k.Slots, 1))
		sum, weights = sum+o.load*w, weights+w
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// reportWeight is how much a candidate's report counts by its age.
func reportWeight(now time.Time, o *observed) float64 {
	if o.loadAt.IsZero() {
		return 0
	}
	return math.Exp(-max(0, now.Sub(o.loadAt)).Seconds() / loadFade.Seconds())
}

// expectedLoad returns the load that a candidate reported, the nearer to the mean the older
// the report is: all senders have had the same report and would follow it together.
func (b *Balancer) expectedLoad(now time.Time, o *observed, mean float64) float64 {
	return mean + (o.load-mean)*reportWeight(now, o)
}

// warmth is the part of its capacity that a new target is given.
func warmth(now time.Time, k Candidate) float64 {
	age := now.Sub(k.ReadySince)
	if k.ReadySince.IsZero() || age >= warmup {
		return 1
	}
	return float64(max(age, warmup/20)) / float64(warmup)
}

// draw moves up to sampleSize candidates to the front, drawn by weight, and returns them.
func (b *Balancer) draw() []sampled {
	n := min(sampleSize, len(b.sample))
	sum := 0.0
	for _, k := range b.sample {
		sum += k.weight
	}
	for i := range n {
		at, drawn := b.random.Float64()*sum, i
		for j := i; j < len(b.sample); j++ {
			drawn = j
			if at -= b.sample[j].weight; at < 0 {
				break
			}
		}
		b.sample[i], b.sample[drawn] = b.sample[drawn], b.sample[i]
		sum -= b.sample[i].weight
	}
	return b.sample[:n]
}

// leastCost returns the candidate with the least load, where being slower than the fastest
// costs what it takes of the call's time beyond freeTime.
func leastCost(list []sampled, budget float64) sampled {
	fastest := math.Inf(1)
	for _, k := range list {
		fastest = min(fastest, k.took)
	}
	var best sampled
	least := math.Inf(1)
	for _, k := range list {
		cost := k.load
		if budget > 0 {
			cost += slowCost * max(0, (k.took-fastest)/budget-freeTime)
		}
		if cost < least {
			best, least = k, cost
		}
	}
	return best
}
