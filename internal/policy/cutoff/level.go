// Package level decides how far down the order of scores a target's node
// admits requests, from what its queue and slots show.
//
// Each tick compares the work that may be let in, which is the slots less what
// works off the queue, with the work that is offered below the cut. Too much moves
// the cut down to where the offered work fits; too little moves it up by a part of
// the shortage. Work is counted in slots, by the time that requests of a route hold
// one: a few long requests weigh as much as many short ones. Whether or not the
// slots are all in use makes no difference, so recovery takes about a second and
// does not wait for callers to stop retrying.
package cutoff

import (
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// Tick is the time between two decisions.
	Tick = 50 * time.Millisecond
	// binsPerClass is the resolution of offered work, per class.
	binsPerClass = 256
	// memory is the time constant of offered work and capacity.
	memory = 500 * time.Millisecond
	// recent is the time constant of the work let in.
	recent = 150 * time.Millisecond
	// drain is the time in which a queue over its aim is worked off.
	drain = 500 * time.Millisecond
	// headroom is how far over the slots the work may go while the queue is under its
	// aim, so that no slot stays idle.
	headroom = 1.2
	// leastPart is the part of the slots that is let in at least.
	leastPart = 0.3
	// gain is the part of a shortage that one tick makes up, of callers' requests.
	gain = 1
	// reaction is how long it takes until a rise of the cut shows in the calls of
	// targets: their roots are let in elsewhere, and do their work first.
	reaction = 500 * time.Millisecond
	// minRise and maxRise bound one rise of the cut, in doublings of the rank.
	minRise = 0.02
	maxRise = 1
	// fallStep bounds one fall of the cut, in doublings of the rank, when the
	// queue is at its aim; the bound grows with the square of the queue.
	fallStep = 1
	// topFade is how fast the top of offered scores is forgotten, in scores a
	// second.
	topFade = 0.01
)

// Load is what one tick saw.
type Load struct {
	// Waiting is the number of items in the queue at the end.
	Waiting int
	// Slots is the concurrency limit.
	Slots int
	// Busy is the mean number of slots in use.
	Busy float64
	// Done is the number of requests that gave their slot back.
	Done int
	// Elapsed is the length of the tick.
	Elapsed time.Duration
}

// arrival is a request offered since the last tick.
type arrival struct {
	score priority.Score
	// work is how long it would hold a slot, in seconds.
	work float64
}

// Level is the cut of one node and what it is computed from. It is not safe
// for concurrent use.
type Level struct {
	cut     priority.Cutoff
	offered [priority.Classes * binsPerClass]float64
	fresh   []arrival
	// inner is the part of what is let in that calls of targets make up.
	inner      float64
	freshInner int
	// let is the work offered below the cut lately, in slots.
	let float64
	// done and busy are decaying sums of completions and of slot time in use.
	done float64
	busy float64
	// slots is the latest concurrency limit.
	slots int
	// top is the greatest score lately offered of each class, the most important
	// first. Senders hold back what is above the cut, so the top
	// outlives what is seen.
	top [priority.Classes]priority.Score
}

// New returns a level that admits everything.
func New() *Level {
	return &Level{cut: priority.AdmitAll}
}

// Cut is the present cut.
func (l *Level) Cut() priority.Cutoff { return l.cut }

// Capacity is what the slots can do in requests a second, at the present
// holding times; 0 if nothing was done lately.
func (l *Level) Capacity() float64 {
	if l.busy < 1e-9 {
		return 0
	}
	return float64(l.slots) * l.done / l.busy
}

// Offer counts an arrival, admitted or not, by the score of its root. Inner is set
// for a call of a target, whose root was let in elsewhere; work is how long it would
// hold a slot in seconds, 0 if that is not known.
func (l *Level) Offer(s priority.Score, inner bool, work float64) {
	if work == 0 && l.done > 0 {
		work = l.busy / l.done
	}
	l.fresh = append(l.fresh, arrival{s, work})
	if inner {
		l.freshInner++
	}
}

// Step closes a tick and moves the cut.
func (l *Level) Step(load Load) {
	if load.Elapsed <= 0 {
		return
	}
	l.slots = load.Slots
	keep := decay(load.Elapsed, memory)
	l.done = l.done*keep + float64(load.Done)
	l.busy = l.busy*keep + load.Busy*load.Elapsed.Seconds()
	l.learnOffered(load.Elapsed, keep)
	if l.Capacity() > 0 {
		l.move(load)
		return
	}
	// Nothing was done lately: only letting something in tells what can be.
	if load.Waiting == 0 {
		l.cut = l.skipEmpty(l.cut.WithStep(maxRise))
	}
}

func decay(elapsed, constant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / constant.Seconds())
}

// move brings the rate let in towards the rate that may be.
func (l *Level) move(load Load) {
	aim := queueAim(load.Slots)
	slots := float64(load.Slots)
	over := float64(load.Waiting-aim) * l.busy / l.done / drain.Seconds()
	may := min(max(slots-over, leastPart*slots), headroom*slots)
	switch {
	case load.Waiting > aim:
		excess := float64(load.Waiting) / float64(aim)
		lowest := l.cut.WithStep(-fallStep * excess * excess)
		l.cut = min(l.cut, max(l.quantile(may), lowest))
	case l.cut < priority.AdmitAll && l.let < may:
		shortage := math.Log2(may / max(l.let, may/16))
		l.cut = l.skipEmpty(l.cut.WithStep(min(max(l.gain()*shortage, minRise), maxRise)))
	}
}

// gain is the part of a shortage that one tick makes up: all of it by requests that
// come here from callers, less where a rise shows later.
func (l *Level) gain() float64 {
	late := float64(Tick) / float64(reaction)
	return gain*(1-l.inner) + gain*late*l.inner
}

// queueAim is the number of waiting items that keeps all slots in use.
func queueAim(slots int) int { return max(4, slots/2) }

func (l *Level) learnOffered(elapsed time.Duration, keep float64) {
	for i := range l.offered {
		l.offered[i] *= keep
	}
	weight := (1 - keep) / elapsed.Seconds()
	for class := range l.top {
		floor := priority.Score(class)
		l.top[class] = max(floor, l.top[class]-topFade*priority.Score(elapsed.Seconds()))
	}
	below := 0.0
	for _, a := range l.fresh {
		if l.cut.Admits(a.score, 1) {
			below += a.work
		}
		l.offered[bin(a.score)] += weight * a.work
		class := a.score.Class()
		l.top[class] = max(l.top[class], a.score)
	}
	if n := float64(len(l.fresh)); n > 0 {
		l.inner += (float64(l.freshInner)/n - l.inner) * (1 - keep)
	}
	l.fresh, l.freshInner = l.fresh[:0], 0
	keepRecent := decay(elapsed, recent)
	l.let = l.let*keepRecent + below/elapsed.Seconds()*(1-keepRecent)
}

// skipEmpty moves a cut above all work lately offered of its class to the start of
// the next, less important one.
func (l *Level) skipEmpty(cut priority.Cutoff) priority.Cutoff {
	if cut >= priority.AdmitAll {
		return priority.AdmitAll
	}
	class := int(cut)
	if cut <= priority.Cutoff(l.top[class]) {
		return cut
	}
	return priority.Cutoff(class + 1)
}

// quantile is the cut below which target slots of work are offered.
func (l *Level) quantile(target float64) priority.Cutoff {
	sum := 0.0
	for i, rate := range l.offered {
		if sum+rate > target {
			inside := (target - sum) / rate
			return priority.Cutoff((float64(i) + inside) / binsPerClass)
		}
		sum += rate
	}
	return priority.AdmitAll
}

func bin(s priority.Score) int {
	i := int(float64(s) * binsPerClass)
	return min(max(i, 0), priority.Classes*binsPerClass-1)
}
