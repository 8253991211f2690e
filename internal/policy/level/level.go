// Package level decides how far down the order of scores a target's node
// admits requests, from what its queue and slots show.
//
// Under overload the cut is the score up to which offered work matches the
// measured capacity, less what drains the queue. While there is room, the cut
// rises with the share of slots that stand idle, so recovery takes about a
// second whether or not callers still retry.
package level

import (
	"math"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// Tick is the time between two decisions.
	Tick = 50 * time.Millisecond
	// binsPerClass is the resolution of offered work, per importance.
	binsPerClass = 256
	// memory is the time constant of offered work and capacity.
	memory = 500 * time.Millisecond
	// drain is the time in which a queue over its aim is worked off.
	drain = 500 * time.Millisecond
	// fullUse is the utilisation above which the cut isn't raised.
	fullUse = 0.97
	// minRise and maxRise bound one rise of the cut, in doublings of the rank.
	minRise = 0.02
	maxRise = 1
	// fallStep bounds one fall of the cut, in doublings of the rank, when the
	// queue is at its aim; the bound grows with the square of the queue.
	fallStep = 0.3
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

// Level is the cut of one node and what it is computed from. It is not safe
// for concurrent use.
type Level struct {
	cut      priority.Cut
	offered  [manifest.Importances * binsPerClass]float64
	fresh    []priority.Score
	capacity float64
	// top is the greatest score lately offered at each importance, the most
	// important first. Senders hold back what is above the cut, so the top
	// outlives what is seen.
	top [manifest.Importances]priority.Score
}

// New returns a level that admits everything.
func New() *Level {
	return &Level{cut: priority.Open}
}

// Cut is the present cut.
func (l *Level) Cut() priority.Cut { return l.cut }

// Capacity is the measured capacity in requests a second; 0 if none was seen.
func (l *Level) Capacity() float64 { return l.capacity }

// Offer counts an arrival, admitted or not.
func (l *Level) Offer(s priority.Score) { l.fresh = append(l.fresh, s) }

// Step closes a tick and moves the cut.
func (l *Level) Step(load Load) {
	if load.Elapsed <= 0 {
		return
	}
	keep := math.Exp(-load.Elapsed.Seconds() / memory.Seconds())
	l.learnOffered(load.Elapsed, keep)
	aim := queueAim(load.Slots)
	if load.Waiting <= aim {
		l.rise(load)
		return
	}
	l.learnCapacity(load, keep)
	l.fall(load, aim)
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
	for _, s := range l.fresh {
		l.offered[bin(s)] += weight
		class := min(int(s), len(l.top)-1)
		l.top[class] = max(l.top[class], s)
	}
	l.fresh = l.fresh[:0]
}

// learnCapacity averages the completions of ticks in which all slots were busy.
func (l *Level) learnCapacity(load Load, keep float64) {
	rate := float64(load.Done) / load.Elapsed.Seconds()
	if l.capacity == 0 {
		l.capacity = rate
		return
	}
	l.capacity = l.capacity*keep + rate*(1-keep)
}

// fall sets the cut to where offered work matches what can be done.
func (l *Level) fall(load Load, aim int) {
	target := l.capacity - float64(load.Waiting-aim)/drain.Seconds()
	target = max(target, 0.2*l.capacity, 0.5)
	cut := l.quantile(target)
	excess := float64(load.Waiting) / float64(aim)
	cut = max(cut, l.cut.WithStep(-fallStep*excess*excess))
	l.cut = min(l.cut, cut)
}

// rise raises the cut by the share of idle slots.
func (l *Level) rise(load Load) {
	if l.cut >= priority.Open || load.Slots == 0 {
		return
	}
	idle := fullUse - load.Busy/float64(load.Slots)
	if idle <= 0 && load.Waiting > queueAim(load.Slots)/2 {
		return
	}
	step := max(minRise, min(maxRise, 2*idle*maxRise))
	l.cut = l.skipEmpty(l.cut.WithStep(step))
}

// skipEmpty moves a cut above all work lately offered at its importance to the
// start of the next, less important one.
func (l *Level) skipEmpty(cut priority.Cut) priority.Cut {
	if cut >= priority.Open {
		return priority.Open
	}
	class := int(cut)
	if cut <= priority.Cut(l.top[class]) {
		return cut
	}
	return priority.Cut(class + 1)
}

// quantile is the cut below which target requests a second are offered.
func (l *Level) quantile(target float64) priority.Cut {
	sum := 0.0
	for i, rate := range l.offered {
		if sum+rate > target {
			inside := (target - sum) / rate
			return priority.Cut((float64(i) + inside) / binsPerClass)
		}
		sum += rate
	}
	return priority.Open
}

func bin(s priority.Score) int {
	i := int(float64(s) * binsPerClass)
	return min(max(i, 0), manifest.Importances*binsPerClass-1)
}
