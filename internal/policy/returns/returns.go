// Package returns decides when a refused caller may come back.
//
// Callers that were refused wait in a virtual queue: each is told the time of a place, at
// which it comes first among those of its importance. Places are given out at a part of the
// rate at which requests get through, the rest goes to callers that come for the first time.
// No capacity is set aside for places, so one whose caller does not come back costs nothing.
// A caller whose place would come too late gets none, and is told so by the time it is sent
// back for.
package returns

import (
	"slices"
	"time"
)

const (
	// placedShare is the fraction of what gets through that goes to places. Returning
	// callers alone would use up all of it in a long shortage, and none would be served
	// at its first attempt.
	placedShare = 0.5
	// leftFraction is the fraction of the time left that callers wait at most before they
	// come back.
	leftFraction = 1.0 / 3
	// objectiveFraction is the fraction of the objective within which a caller is to come
	// back, so that its response is in time.
	objectiveFraction = 0.5
	// minWait is the shortest time that a caller is sent away for. A new connection alone
	// takes about as long.
	minWait = 20 * time.Millisecond
	// deadlineTolerance is the difference of the deadlines of two attempts that counts as
	// none. The time on the way varies.
	deadlineTolerance = 15 * time.Millisecond
	// earlyTolerance and lateTolerance say how far from its time a caller comes back.
	earlyTolerance = 20 * time.Millisecond
	lateTolerance  = 300 * time.Millisecond
	// maxTold bounds the callers that are remembered for an organisation and a route.
	maxTold = 1000
)

// Caller is a request as its caller sent it.
type Caller struct {
	Organisation, Route string
	// Left is how long the caller waits for the response, and Objective the time within
	// which it should get it.
	Left, Objective time.Duration
}

// longest is the longest time that the caller waits before it comes back.
func (c Caller) longest() time.Duration {
	return time.Duration(float64(c.Left) * leftFraction)
}

// Reach is how far ahead a place may be to be of use to the caller.
func (c Caller) Reach() time.Duration {
	return min(c.longest(), time.Duration(float64(c.Objective)*objectiveFraction))
}

// Told is what a refused caller is told: after which time to come back, and whether it has
// a place then.
type Told struct {
	After time.Duration
	Place bool
}

// NotBefore returns the told time that is not before a minimum. A place in the meantime, or
// one that is then out of the caller's reach, is given up.
func (t Told) NotBefore(minimum time.Duration, c Caller) Told {
	if t.After < minimum {
		t = Told{After: minimum, Place: t.Place && minimum <= c.Reach()}
	}
	return t
}

// Placed tells a caller the time of its place.
func Placed(wait time.Duration) Told { return Told{After: max(wait, minWait), Place: true} }

// Unplaced tells a caller that there is no place in its time. The next one is free after
// wait. Callers that can't wait as long come back spread over the time between their reach
// and the longest that they wait, when the shortage may have ended; u is uniform in [0, 1).
func Unplaced(c Caller, wait time.Duration, u float64) Told {
	spread := c.Reach() + time.Duration(u*float64(c.longest()-c.Reach()))
	return Told{After: max(wait, spread, minWait)}
}

// Line gives out places in turn. Its zero value has no place taken.
type Line struct{ next time.Time }

// Wait is the time until the next free place.
func (l Line) Wait(now time.Time) time.Duration { return max(minWait, l.next.Sub(now)) }

// Places are consecutive places: the first after Wait, the others every Step.
type Places struct {
	Count      int
	Wait, Step time.Duration
}

// WithPlaces takes up to n places that come within reach, where perSecond requests get
// through.
func (l Line) WithPlaces(now time.Time, n int, reach time.Duration, perSecond float64) (Line, Places) {
	p := Places{Wait: l.Wait(now)}
	rate := perSecond * placedShare
	if rate <= 0 || p.Wait > reach {
		return l, p
	}
	p.Step = time.Duration(float64(time.Second) / rate)
	p.Count = min(n, 1+int((reach-p.Wait)/max(p.Step, 1)))
	return Line{next: now.Add(p.Wait + time.Duration(p.Count)*p.Step)}, p
}

// Turn says whether a request is the return of a refused one.
type Turn int

// Turns: a first attempt, the return of a caller that has a place, and of one without.
const (
	First Turn = iota
	WithPlace
	WithoutPlace
)

// String is the name used in metrics and logs.
func (t Turn) String() string { return [...]string{"first", "place", "none"}[t] }

type flow struct{ organisation, route string }

// expected is a caller that will come back.
type expected struct {
	due, deadline time.Time
	place         bool
}

// Book remembers what callers were told. A returning request has a new ID; it is recognised
// by its organisation, route and deadline, and by the time at which it comes. It is not safe
// for concurrent use.
type Book struct{ expected map[flow][]expected }

// NewBook returns an empty book.
func NewBook() *Book { return &Book{expected: map[flow][]expected{}} }

// Tell remembers what a caller is told.
func (b *Book) Tell(now time.Time, c Caller, t Told) {
	of := flow{c.Organisation, c.Route}
	list := b.pruned(now, of)
	if len(list) >= maxTold {
		list = list[1:]
	}
	b.expected[of] = append(list, expected{due: now.Add(min(t.After, c.longest())), deadline: now.Add(c.Left), place: t.Place})
}

// pruned is the list of a flow without callers that did not come back.
func (b *Book) pruned(now time.Time, of flow) []expected {
	return slices.DeleteFunc(b.expected[of], func(e expected) bool { return now.Sub(e.due) > lateTolerance })
}

// Prune forgets callers that did not come back.
func (b *Book) Prune(now time.Time) {
	for of := range b.expected {
		b.store(of, b.pruned(now, of))
	}
}

// Claim reports whether a request is a return, whose place is then used up.
func (b *Book) Claim(now time.Time, c Caller) Turn {
	of := flow{c.Organisation, c.Route}
	list := b.pruned(now, of)
	i, turn := find(list, now, c)
	if i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	b.store(of, list)
	return turn
}

// Expects reports whether a request is a return with a place, which it keeps.
func (b *Book) Expects(now time.Time, c Caller) bool {
	_, turn := find(b.expected[flow{c.Organisation, c.Route}], now, c)
	return turn == WithPlace
}

// find returns the index of the refusal that a request returns from, or -1.
func find(list []expected, now time.Time, c Caller) (int, Turn) {
	for i, e := range list {
		off := now.Add(c.Left).Sub(e.deadline)
		early, late := e.due.Sub(now), now.Sub(e.due)
		if off.Abs() > deadlineTolerance || early > earlyTolerance || late > lateTolerance {
			continue
		}
		if e.place {
			return i, WithPlace
		}
		return i, WithoutPlace
	}
	return -1, First
}

func (b *Book) store(of flow, list []expected) {
	if len(list) == 0 {
		delete(b.expected, of)
		return
	}
	b.expected[of] = list
}
