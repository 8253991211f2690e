// Package correlation infers the running call of a target that an inner call
// belongs to, and which routes call which. An inner call is one that the target
// makes while it serves another.
//
// The node of an overloaded service at the end of a chain sees only calls made by
// other targets. To shed the less important ones, it must know the root request
// behind each. Targets propagate nothing to the calls they make but the deadline:
// that of the call they serve, or an earlier one if their own timeout is shorter.
// If the deadlines of a route's calls match those of the inner calls more often
// than by chance, the route makes these calls. An inner call is then assigned to
// one of the running calls at random, weighted by how likely each is the parent.
//
// Where deadlines don't match, the order of events tells most: targets usually make the
// calls of one request one after the other. An inner call is then likely to belong to the
// running call whose last inner call has just ended, or to one that has made none yet, and
// unlikely to belong to one whose inner call is still running. So the inner calls of one
// request mostly get the same parent.
package correlation

import (
	"math"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// tolerance is the maximum distance of matching deadlines. Both are in
	// whole milliseconds, and the target takes some time between them.
	tolerance = 3 * time.Millisecond
	// timeoutTolerance is how much earlier than the target's timeout for inner calls a
	// deadline may be that comes from it. The node may get to the call a little late.
	timeoutTolerance = 10 * time.Millisecond
	// chanceWindow is the distance up to which deadlines that don't match are
	// counted, to estimate how many match by chance.
	chanceWindow = 60 * time.Millisecond
	// deadlineSpread is the range over which deadlines that don't match are spread:
	// that of the callers' timeouts.
	deadlineSpread = time.Second
	// minMatchFraction and maxMatchFraction bound the estimated fraction of inner
	// calls whose deadline matches their parent's.
	minMatchFraction = 0.05
	maxMatchFraction = 0.98
	// memory is the time constant with which the statistics of a route decay.
	memory = 10 * time.Second
	// decayInterval is the time between two steps of decay.
	decayInterval = 200 * time.Millisecond
	// minMatches and minMatchRatio decide when a route is known to make the calls:
	// so many matches more than expected by chance, and so many times as many.
	minMatches    = 4
	minMatchRatio = 2
	// minCalls is the number of inner calls after which, if deadlines don't match,
	// the routes with mainFraction or more of the running time are taken as the
	// likely origin.
	minCalls     = 200
	mainFraction = 0.25
	// followTime is how soon after the end of an inner call its parent usually makes the
	// next one.
	followTime = 3 * time.Millisecond
	// How much more likely than others a running call is the parent if its last inner
	// call ended within followTime, if it has made none yet, and if one is running.
	followOdds = 100.0
	firstOdds  = 5.0
	busyOdds   = 0.05
	// evictBelow is the decayed running time in seconds, or number of calls, below
	// which a route is removed.
	evictBelow = 0.001
)

// Call is a call that runs on the target.
type Call struct {
	// ID is the caller's identifier of the call, and Route the route it was sent
	// on.
	ID    string
	Route string
	// Root is the score of the root request: the call's own score if a caller sent
	// it. RootCertain is set unless Root is an estimate.
	Root        priority.Score
	RootCertain bool
	// Deadline is the deadline sent to the target.
	Deadline time.Time
}

// Parent is the running call that an inner call is assigned to.
type Parent struct {
	Call
	// Serial is the serial number of the running call.
	Serial uint64
	// Gap is the distance between the two deadlines.
	Gap time.Duration
	// RouteKnown is set when the route is known to make such calls.
	RouteKnown bool
	// RouteLikely is set when the route is known or likely to make such calls.
	RouteLikely bool
}

// RootCertain reports whether Root is the score of the inner call's own root
// request, and not an estimate.
func (p Parent) RootCertain() bool { return p.Call.RootCertain && p.RouteKnown && p.Gap <= tolerance }

// origin is a route whose calls run on the target and may make inner calls.
type origin struct {
	running int
	// runTime is the decaying sum of the time that its calls ran, in seconds.
	runTime float64
	// matches counts matching deadlines by the route of the inner calls.
	matches map[string]*matches
}

// matches counts the inner calls whose deadline matches that of a running call:
// all of them, and the number expected by chance.
type matches struct{ observed, expected float64 }

// known reports whether the matches show that the origin makes the calls.
func (m *matches) known() bool {
	return m != nil && m.observed-m.expected >= minMatches && m.observed >= minMatchRatio*m.expected
}

type entry struct {
	Call
	serial uint64
	origin *origin
	// inner is the number of inner calls that are running, and innerEnded when the last
	// one ended; zero before the first.
	inner      int
	innerEnded time.Time
}

// orderOdds is how likely an inner call at now belongs to the running call, judged by the
// order of events.
func (e entry) orderOdds(now time.Time) float64 {
	switch {
	case e.inner > 0:
		return busyOdds
	case e.innerEnded.IsZero():
		return firstOdds
	case now.Sub(e.innerEnded) <= followTime:
		return followOdds
	}
	return 1
}

// longest is the longest time that inner calls on a route had left lately: in the period
// since began and in the one before.
type longest struct {
	began            time.Time
	current, earlier time.Duration
}

// with returns longest after one more call.
func (l longest) with(now time.Time, left time.Duration) longest {
	switch age := now.Sub(l.began); {
	case age > 2*memory:
		return longest{began: now, current: left}
	case age > memory:
		return longest{began: now, current: left, earlier: l.current}
	}
	l.current = max(l.current, left)
	return l
}

func (l longest) value() time.Duration { return max(l.current, l.earlier) }

// Tracker holds the running calls of one target, sorted by deadline. It is not
// safe for concurrent use.
type Tracker struct {
	running []entry
	origins map[string]*origin
	// calls is the decaying number of inner calls by their route.
	calls map[string]float64
	// timeouts is the longest time that inner calls had, by their route.
	timeouts  map[string]longest
	decayedAt time.Time
	// cumulative is the running sum of the weights in FindParent, kept to save
	// allocations.
	cumulative []float64
}

// New returns a tracker without running calls.
func New(now time.Time) *Tracker {
	return &Tracker{origins: map[string]*origin{}, calls: map[string]float64{}, timeouts: map[string]longest{}, decayedAt: now}
}

// Start adds a call. The serial number must be unique among the running calls.
func (t *Tracker) Start(now time.Time, serial uint64, c Call) {
	t.decay(now)
	o, ok := t.origins[c.Route]
	if !ok {
		o = &origin{matches: map[string]*matches{}}
		t.origins[c.Route] = o
	}
	o.running++
	t.running = slices.Insert(t.running, t.search(c.Deadline), entry{Call: c, serial: serial, origin: o})
}

// End removes a call. An unknown serial number is ignored.
func (t *Tracker) End(now time.Time, serial uint64) {
	t.decay(now)
	at := slices.IndexFunc(t.running, func(e entry) bool { return e.serial == serial })
	if at < 0 {
		return
	}
	t.running[at].origin.running--
	t.running = slices.Delete(t.running, at, at+1)
}

// decay reduces the statistics by the time passed, and removes idle routes.
func (t *Tracker) decay(now time.Time) {
	elapsed := now.Sub(t.decayedAt)
	if elapsed < decayInterval {
		return
	}
	t.decayedAt = now
	keep := math.Exp(-elapsed.Seconds() / memory.Seconds())
	for route, o := range t.origins {
		o.runTime = o.runTime*keep + float64(o.running)*elapsed.Seconds()
		if o.running == 0 && o.runTime < evictBelow {
			delete(t.origins, route)
			continue
		}
		for _, m := range o.matches {
			m.observed *= keep
			m.expected *= keep
		}
	}
	for route := range t.calls {
		if t.calls[route] *= keep; t.calls[route] < evictBelow {
			delete(t.calls, route)
			delete(t.timeouts, route)
		}
	}
}

// search returns the index of the first call that does not end before the
// deadline.
func (t *Tracker) search(deadline time.Time) int {
	at, _ := slices.BinarySearchFunc(t.running, deadline, func(e entry, d time.Time) int { return e.Deadline.Compare(d) })
	return at
}

// FindParent returns the likely parent of an inner call that starts now, given its route
// and deadline. EndInner must follow. U is uniform in [0, 1) and selects among the candidates by weight. It
// returns false if the deadlines of all running calls are earlier.
func (t *Tracker) FindParent(now time.Time, route string, deadline time.Time, u float64) (Parent, bool) {
	t.decay(now)
	t.calls[route]++
	capped := t.recordTimeout(now, route, deadline)
	t.recordMatches(route, deadline)
	first := t.search(deadline.Add(-tolerance))
	odds, known := t.matchOdds(route)
	unmatched := t.unmatchedRate(route)
	t.cumulative = t.cumulative[:0]
	sum := 0.0
	for _, e := range t.running[first:] {
		w := 1.0
		if known {
			w = e.origin.matchRate(route)
		}
		switch later := e.Deadline.Sub(deadline); {
		case later <= tolerance:
			w *= odds
		case known && capped:
			w += unmatched
		}
		w *= e.orderOdds(now)
		sum += w
		t.cumulative = append(t.cumulative, sum)
	}
	for i, upTo := range t.cumulative {
		if upTo > u*sum {
			e := &t.running[first+i]
			e.inner++
			routeKnown := e.origin.matches[route].known()
			return Parent{
				Call: e.Call, Serial: e.serial, Gap: e.Deadline.Sub(deadline).Abs(),
				RouteKnown: routeKnown, RouteLikely: routeKnown || (!known && t.isMain(e.origin, route)),
			}, true
		}
	}
	return Parent{}, false
}

// recordTimeout records how long an inner call may take, and reports whether its deadline
// may come from the target's own timeout. That is the same for all calls on a route, and no
// deadline passed on is later.
func (t *Tracker) recordTimeout(now time.Time, route string, deadline time.Time) bool {
	left := deadline.Sub(now)
	t.timeouts[route] = t.timeouts[route].with(now, left)
	return left >= t.timeouts[route].value()-timeoutTolerance
}

// EndInner records that an inner call of a parent has ended.
func (t *Tracker) EndInner(now time.Time, serial uint64) {
	at := slices.IndexFunc(t.running, func(e entry) bool { return e.serial == serial })
	if at >= 0 {
		e := &t.running[at]
		e.inner, e.innerEnded = max(e.inner-1, 0), now
	}
}

// recordMatches counts the running calls whose deadline matches that of an inner
// call, and estimates the number expected by chance from those nearby.
func (t *Tracker) recordMatches(route string, deadline time.Time) {
	for _, e := range t.running[t.search(deadline.Add(-chanceWindow)):] {
		gap := e.Deadline.Sub(deadline)
		if gap > chanceWindow {
			return
		}
		m, ok := e.origin.matches[route]
		if !ok {
			m = &matches{}
			e.origin.matches[route] = m
		}
		if gap.Abs() <= tolerance {
			m.observed++
			continue
		}
		m.expected += float64(tolerance) / float64(chanceWindow-tolerance)
	}
}

// matchOdds returns how many times more likely a running call is the parent of an
// inner call if their deadlines match. Known is set if some route is known to
// make such calls.
func (t *Tracker) matchOdds(route string) (odds float64, known bool) {
	observed := 0.0
	for _, o := range t.origins {
		if m := o.matches[route]; m.known() {
			observed, known = observed+m.observed-m.expected, true
		}
	}
	fraction := min(max(observed/max(t.calls[route], 1), minMatchFraction), maxMatchFraction)
	return 1 + fraction/(1-fraction)*float64(deadlineSpread)/float64(2*tolerance), known
}

// unmatchedRate is the number of inner calls per second that calls ran which no match
// explains. Any running call with a later deadline may have made them, with the target's own
// timeout, which ends before it.
func (t *Tracker) unmatchedRate(route string) float64 {
	calls, runTime := t.calls[route], 0.0
	for _, o := range t.origins {
		runTime += o.runTime
		if m := o.matches[route]; m.known() {
			calls -= m.observed - m.expected
		}
	}
	return max(calls, 0) / max(runTime, decayInterval.Seconds())
}

// isMain reports whether an origin is likely to make the calls on a route, judged
// by its part of the running time alone.
func (t *Tracker) isMain(o *origin, route string) bool {
	runTime := 0.0
	for _, other := range t.origins {
		runTime += other.runTime
	}
	return t.calls[route] >= minCalls && o.runTime >= mainFraction*runTime
}

// matchRate is the number of matches beyond chance per second that calls of the
// origin ran; 0 if the origin is not known to make calls on the route.
func (o *origin) matchRate(route string) float64 {
	m := o.matches[route]
	if !m.known() {
		return 0
	}
	return (m.observed - m.expected) / max(o.runTime, decayInterval.Seconds())
}
