// Package cutoff computes the score up to which the node of a target admits
// requests, from the load on its queue and slots.
//
// Each tick compares the work that may be admitted with the work offered below
// the cutoff. The work that may be admitted is the number of slots less what it
// takes to drain the queue. If too much is offered, the cutoff drops to where the
// offered work fits; if too little, it rises by a fraction of the shortage. Work
// is counted in slots, by the time that requests of a route hold one, so a few
// long requests weigh as much as many short ones. Whether all slots are in use
// plays no part, so recovery takes about a second and does not wait for callers
// to stop retrying.
package cutoff

import (
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// Tick is the time between two updates.
	Tick = 50 * time.Millisecond
	// loadWindow is the time constant of the averages of offered work and capacity.
	loadWindow = 500 * time.Millisecond
	// admittedWindow is the time constant of the average of admitted work.
	admittedWindow = 150 * time.Millisecond
	// drainTime is the time in which a queue above its setpoint is to be drained.
	drainTime = 500 * time.Millisecond
	// headroom is the maximum of admitted work, in multiples of the slots, while
	// the queue is below its setpoint. It is above 1 so that no slot stays idle.
	headroom = 1.2
	// minAdmitted is the minimum of admitted work, as a fraction of the slots.
	minAdmitted = 0.3
	// gain is the fraction of a shortage that one tick makes up when all
	// requests come from callers.
	gain = 1
	// innerDelay is the time until a higher cutoff shows in inner calls: their
	// roots are admitted at other nodes and do their own work first.
	innerDelay = 500 * time.Millisecond
	// minRise and maxRise bound one rise of the cutoff, in doublings of the rank.
	minRise = 0.02
	maxRise = 1
	// maxFall bounds one fall of the cutoff, in doublings of the rank, with the
	// queue at its setpoint. The bound grows with the square of the queue length.
	maxFall = 1
	// maxScoreDecay is how fast the highest offered score decays, in scores per
	// second.
	maxScoreDecay = 0.01
)

// Sample is the load measured in one tick.
type Sample struct {
	// Waiting is the number of items in the queue at the end.
	Waiting int
	// Slots is the concurrency limit.
	Slots int
	// Busy is the mean number of slots in use.
	Busy float64
	// Released is the number of requests that released their slot.
	Released int
	// Elapsed is the length of the tick.
	Elapsed time.Duration
}

// arrival is a request offered since the last tick.
type arrival struct {
	score priority.Score
	// hold is the expected time that it holds a slot, in seconds.
	hold float64
}

// Regulator adjusts the cutoff of one node to its load. It is not safe for concurrent use.
type Regulator struct {
	cutoff priority.Cutoff
	// offered is a histogram of the offered work by score, in slots.
	offered  priority.Histogram
	arrivals []arrival
	// inner is the fraction of inner calls among the arrivals.
	inner float64
	// innerArrivals is the number of inner calls since the last tick.
	innerArrivals int
	// admitted is the moving average of the work offered below the cutoff, in
	// slots.
	admitted float64
	// released and busy are decaying sums of released slots and of slot time in
	// use, in slot seconds.
	released float64
	busy     float64
	// slots is the latest concurrency limit.
	slots int
	// maxScore is the highest score offered lately in each class, the most
	// important class first. It decays slowly, because senders hold back requests
	// above the cutoff and those are not seen here.
	maxScore [priority.Classes]priority.Score
}

// New returns a regulator that admits everything.
func New() *Regulator {
	return &Regulator{cutoff: priority.AdmitAll}
}

// Cutoff is the present cutoff.
func (r *Regulator) Cutoff() priority.Cutoff { return r.cutoff }

// Capacity is the throughput of the slots in requests per second, at the present
// holding times; 0 if no request finished lately.
func (r *Regulator) Capacity() float64 {
	if r.busy < 1e-9 {
		return 0
	}
	return float64(r.slots) * r.released / r.busy
}

// Hold is the mean time that a request holds a slot, in seconds; 0 if no request finished
// lately.
func (r *Regulator) Hold() float64 {
	if r.released < 1e-9 {
		return 0
	}
	return r.busy / r.released
}

// Offer counts an arrival, admitted or not, by the score of its root
// request. Inner is set for a call made by a target, whose root was admitted at
// another node. Hold is the expected time that it holds a slot in seconds, 0 if
// unknown.
func (r *Regulator) Offer(root priority.Score, inner bool, hold float64) {
	if hold == 0 && r.released > 0 {
		hold = r.busy / r.released
	}
	r.arrivals = append(r.arrivals, arrival{root, hold})
	if inner {
		r.innerArrivals++
	}
}

// Update ends a tick and moves the cutoff.
func (r *Regulator) Update(s Sample) {
	if s.Elapsed <= 0 {
		return
	}
	r.slots = s.Slots
	keep := decayFactor(s.Elapsed, loadWindow)
	r.released = r.released*keep + float64(s.Released)
	r.busy = r.busy*keep + s.Busy*s.Elapsed.Seconds()
	r.updateOffered(s.Elapsed, keep)
	if r.Capacity() > 0 {
		r.adjust(s)
		return
	}
	// No request finished lately, so the capacity is unknown. Admit some to
	// measure it.
	if s.Waiting == 0 {
		r.cutoff = r.skipEmpty(r.cutoff.WithStep(maxRise))
	}
}

func decayFactor(elapsed, constant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / constant.Seconds())
}

// adjust moves the cutoff to bring the admitted work to the allowed work.
func (r *Regulator) adjust(s Sample) {
	setpoint := queueSetpoint(s.Slots)
	slots := float64(s.Slots)
	excessWork := float64(s.Waiting-setpoint) * r.busy / r.released / drainTime.Seconds()
	allowed := min(max(slots-excessWork, minAdmitted*slots), headroom*slots)
	switch {
	case s.Waiting > setpoint:
		excess := float64(s.Waiting) / float64(setpoint)
		lowest := r.cutoff.WithStep(-maxFall * excess * excess)
		r.cutoff = min(r.cutoff, max(r.offered.Quantile(allowed), lowest))
	case r.cutoff < priority.AdmitAll && r.admitted < allowed:
		shortage := math.Log2(allowed / max(r.admitted, allowed/16))
		r.cutoff = r.skipEmpty(r.cutoff.WithStep(min(max(r.gain()*shortage, minRise), maxRise)))
	}
}

// gain is the fraction of a shortage that one tick makes up. It is lower for
// inner calls, where a rise shows only after innerDelay.
func (r *Regulator) gain() float64 {
	innerGain := float64(Tick) / float64(innerDelay)
	return gain*(1-r.inner) + gain*innerGain*r.inner
}

// queueSetpoint is the queue length, in items, that keeps all slots in use.
func queueSetpoint(slots int) int { return max(4, slots/2) }

// updateOffered adds the arrivals of a tick to the averages of offered and
// admitted work.
func (r *Regulator) updateOffered(elapsed time.Duration, keep float64) {
	r.offered.Scale(keep)
	weight := (1 - keep) / elapsed.Seconds()
	for class := range r.maxScore {
		floor := priority.Score(class)
		r.maxScore[class] = max(floor, r.maxScore[class]-maxScoreDecay*priority.Score(elapsed.Seconds()))
	}
	below := 0.0
	for _, a := range r.arrivals {
		if r.cutoff.Admits(a.score, 1) {
			below += a.hold
		}
		r.offered.Add(a.score, weight*a.hold)
		class := a.score.Class()
		r.maxScore[class] = max(r.maxScore[class], a.score)
	}
	if n := float64(len(r.arrivals)); n > 0 {
		r.inner += (float64(r.innerArrivals)/n - r.inner) * (1 - keep)
	}
	r.arrivals, r.innerArrivals = r.arrivals[:0], 0
	keepAdmitted := decayFactor(elapsed, admittedWindow)
	r.admitted = r.admitted*keepAdmitted + below/elapsed.Seconds()*(1-keepAdmitted)
}

// skipEmpty moves a cutoff above all scores offered lately in its class to the
// start of the next, less important class.
func (r *Regulator) skipEmpty(cutoff priority.Cutoff) priority.Cutoff {
	if cutoff >= priority.AdmitAll {
		return priority.AdmitAll
	}
	class := int(cutoff)
	if cutoff <= priority.Cutoff(r.maxScore[class]) {
		return cutoff
	}
	return priority.Cutoff(class + 1)
}
