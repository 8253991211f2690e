// Package lineage finds the running call of a target that a call made by the
// target belongs to, and which routes lead to which.
//
// It answers the load of a chain of services whose last one is short: what its
// node sees are calls of other targets, and only whose requests they serve tells
// which of them matter. Targets pass nothing on from a call they run to those they
// make but the deadline, which is that of the call or, if the target waits less
// long, an earlier one. Deadlines that agree more often than by chance tell which
// routes make the calls; a call is then given to one of those that run.
package correlation

import (
	"math"
	"slices"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/priority"
)

const (
	// within is how far the deadlines of a call and its parent lie apart: both are
	// whole milliseconds, and the target takes its time between them.
	within = 3 * time.Millisecond
	// around is the distance up to which running calls are counted for the number
	// of deadlines that agree by chance.
	around = 60 * time.Millisecond
	// spread is the range over which deadlines that don't agree are spread: that of
	// the times that callers wait.
	spread = time.Second
	// leastPart and mostPart bound the part of the calls made whose deadline agrees
	// with their parent's.
	leastPart = 0.05
	mostPart  = 0.98
	// memory is the time constant of what is known of a route.
	memory = 10 * time.Second
	// fadeEvery is the time between two steps of forgetting.
	fadeEvery = 200 * time.Millisecond
	// leastHits is the number of agreeing deadlines beyond chance from which a
	// route is known to make the calls, and leastTimes how many times those of
	// chance they are.
	leastHits  = 4
	leastTimes = 2
	// leastAsked is the number of calls after which, if deadlines tell nothing, the
	// routes that most of the work is for are taken to make them: those with
	// mainPart of the running time or more.
	leastAsked = 200
	mainPart   = 0.25
	// forgetBelow is what is left in the memory of a route, in seconds or calls, when
	// it is forgotten.
	forgetBelow = 0.001
)

// Call is a call that runs on the target.
type Call struct {
	// ID identifies the call to the caller, Route is what it was sent on.
	ID    string
	Route string
	// Root is the score of the request that the call is made for: its own, if a
	// caller sent it. Sure is set unless it is only a likely one.
	Root        priority.Score
	RootCertain bool
	// Deadline is the deadline that the target was told.
	Deadline time.Time
}

// Parent is the running call that a call is taken to belong to.
type Parent struct {
	Call
	// Gap is the distance between the two deadlines.
	Gap time.Duration
	// RouteKnown is set when the route is known to make such calls.
	RouteKnown bool
	// RouteLikely is set when it is known or likely to.
	RouteLikely bool
}

// RootCertain reports whether the root's score is that of the call's own root, and not only
// of one that is likely.
func (p Parent) RootCertain() bool { return p.Call.RootCertain && p.RouteKnown && p.Gap <= within }

// origin is a route whose calls run on the target.
type origin struct {
	running int
	// held is the time that its calls ran, in seconds.
	held float64
	// made counts deadlines that agreed with those of calls made, by their route.
	made map[string]*made
}

// made counts calls whose deadline agrees with one of the origin's: all of them,
// and as many as chance would bring.
type made struct{ hits, chance float64 }

func (m *made) known() bool {
	return m != nil && m.hits-m.chance >= leastHits && m.hits >= leastTimes*m.chance
}

type entry struct {
	Call
	serial uint64
	origin *origin
}

// Tracker are the running calls of one target, by deadline. It is not safe for
// concurrent use.
type Tracker struct {
	running []entry
	origins map[string]*origin
	// asked counts the calls made, by their route.
	asked   map[string]float64
	at      time.Time
	weights []float64
}

// New returns a target's calls, none of them running.
func New(now time.Time) *Tracker {
	return &Tracker{origins: map[string]*origin{}, asked: map[string]float64{}, at: now}
}

// Start adds a call under a serial number of its own.
func (c *Tracker) Start(now time.Time, serial uint64, r Call) {
	c.fade(now)
	o, ok := c.origins[r.Route]
	if !ok {
		o = &origin{made: map[string]*made{}}
		c.origins[r.Route] = o
	}
	o.running++
	c.running = slices.Insert(c.running, c.search(r.Deadline), entry{r, serial, o})
}

// End removes a call.
func (c *Tracker) End(now time.Time, serial uint64) {
	c.fade(now)
	at := slices.IndexFunc(c.running, func(e entry) bool { return e.serial == serial })
	if at < 0 {
		return
	}
	c.running[at].origin.running--
	c.running = slices.Delete(c.running, at, at+1)
}

// fade forgets a part of what is known of the routes.
func (c *Tracker) fade(now time.Time) {
	past := now.Sub(c.at)
	if past < fadeEvery {
		return
	}
	c.at = now
	keep := math.Exp(-past.Seconds() / memory.Seconds())
	for route, o := range c.origins {
		o.held = o.held*keep + float64(o.running)*past.Seconds()
		if o.running == 0 && o.held < forgetBelow {
			delete(c.origins, route)
			continue
		}
		for _, m := range o.made {
			m.hits *= keep
			m.chance *= keep
		}
	}
	for route := range c.asked {
		if c.asked[route] *= keep; c.asked[route] < forgetBelow {
			delete(c.asked, route)
		}
	}
}

// search is the index of the first call whose deadline is not before until.
func (c *Tracker) search(until time.Time) int {
	at, _ := slices.BinarySearchFunc(c.running, until, func(e entry, t time.Time) int { return e.Deadline.Compare(t) })
	return at
}

// FindParent returns the parent of a call that the target makes on a route, with a
// deadline. U is uniform in [0, 1) and decides between the calls that may be it.
// It returns false if none that runs lasts as long.
func (c *Tracker) FindParent(now time.Time, route string, until time.Time, u float64) (Parent, bool) {
	c.fade(now)
	c.asked[route]++
	c.learn(route, until)
	first := c.search(until.Add(-within))
	agrees, known := c.agreement(route)
	c.weights = c.weights[:0]
	sum := 0.0
	for _, e := range c.running[first:] {
		w := 1.0
		if known {
			w = e.origin.rate(route)
		}
		if e.Deadline.Sub(until).Abs() <= within {
			w *= agrees
		}
		sum += w
		c.weights = append(c.weights, sum)
	}
	for i, upTo := range c.weights {
		if upTo > u*sum {
			e := c.running[first+i]
			return Parent{Call: e.Call, Gap: e.Deadline.Sub(until).Abs(), RouteKnown: known, RouteLikely: known || c.main(e.origin, route)}, true
		}
	}
	return Parent{}, false
}

// learn counts the running calls whose deadlines agree with one.
func (c *Tracker) learn(route string, until time.Time) {
	for _, e := range c.running[c.search(until.Add(-around)):] {
		off := e.Deadline.Sub(until)
		if off > around {
			return
		}
		m, ok := e.origin.made[route]
		if !ok {
			m = &made{}
			e.origin.made[route] = m
		}
		if off.Abs() <= within {
			m.hits++
			continue
		}
		m.chance += float64(within) / float64(around-within)
	}
}

// agreement is how many times likelier a running call is the parent of one made on
// a route if their deadlines agree. Known is set if some route is known to make
// such calls.
func (c *Tracker) agreement(route string) (times float64, known bool) {
	hits := 0.0
	for _, o := range c.origins {
		if m := o.made[route]; m.known() {
			hits, known = hits+m.hits-m.chance, true
		}
	}
	part := min(max(hits/max(c.asked[route], 1), leastPart), mostPart)
	return 1 + part/(1-part)*float64(spread)/float64(2*within), known
}

// main reports whether an origin is likely to make calls on a route of which only
// their number is known.
func (c *Tracker) main(o *origin, route string) bool {
	held := 0.0
	for _, other := range c.origins {
		held += other.held
	}
	return c.asked[route] >= leastAsked && o.held >= mainPart*held
}

// rate is the number of agreeing deadlines for each second that a call of the
// origin ran; 0 if it is not known to make calls on the route.
func (o *origin) rate(route string) float64 {
	m := o.made[route]
	if !m.known() {
		return 0
	}
	return (m.hits - m.chance) / max(o.held, fadeEvery.Seconds())
}
