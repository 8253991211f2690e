package correlation_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/correlation"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// kind is a route whose calls run on the replayed target.
type kind struct {
	route string
	// every is the time between two of its calls, lasts how long each runs.
	every, lasts time.Duration
	// patience is how long its callers wait.
	patience time.Duration
	// calls is the number of calls that each makes, one after the other.
	calls int
}

// replay runs the kinds on a target for a while, whose calls wait no longer than
// most. It returns how the calls made were given out: by the route that made them,
// then the one that was found.
func replay(kinds []kind, most, length time.Duration) map[string]map[string]int {
	random := rand.New(rand.NewPCG(1, 1))
	calls := correlation.New(start)
	type event struct {
		at time.Time
		do func(now time.Time)
	}
	var events []event
	serial := uint64(0)
	found := map[string]map[string]int{}
	for _, k := range kinds {
		found[k.route] = map[string]int{}
		for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(float64(k.every) * 2 * random.Float64())) {
			serial++
			id, until := serial, at.Add(k.patience).Truncate(time.Millisecond)
			events = append(events, event{at, func(now time.Time) {
				calls.Start(now, id, correlation.Call{ID: fmt.Sprint(id), Route: k.route, Deadline: until})
			}})
			for i := range k.calls {
				events = append(events, event{at.Add(k.lasts * time.Duration(i+1) / time.Duration(k.calls+2)), func(now time.Time) {
					limit := until
					if capped := now.Add(most); capped.Before(limit) {
						limit = capped
					}
					p, ok := calls.FindParent(now, "made", limit, random.Float64())
					if ok {
						found[k.route][p.Route]++
					}
				}})
			}
			events = append(events, event{at.Add(k.lasts), func(now time.Time) { calls.End(now, id) }})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return a.at.Compare(b.at) })
	for _, e := range events {
		e.do(e.at)
	}
	return found
}

// A route whose calls make none is not taken for the parent of others, whether
// deadlines are always passed on or some are shortened.
func TestFindsRoute(t *testing.T) {
	parent := kind{"parent", 20 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond, 5}
	other := kind{"other", 30 * time.Millisecond, 300 * time.Millisecond, time.Second, 0}
	for _, most := range []time.Duration{time.Minute, time.Second} {
		t.Run(most.String(), func(t *testing.T) {
			is := is.New(t)
			found := replay([]kind{parent, other}, most, 20*time.Second)["parent"]
			is.True(found["parent"] > 19*found["other"]) // at least 95 %
		})
	}
}

// Of two routes that make calls each gets its own.
func TestFindsBoth(t *testing.T) {
	is := is.New(t)
	found := replay([]kind{
		{"lookup", 20 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 1},
		{"payment", 50 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 2},
	}, time.Minute, 20*time.Second)
	is.True(found["lookup"]["lookup"] > 3*found["lookup"]["payment"])
	is.True(found["payment"]["payment"] > 3*found["payment"]["lookup"])
}

// Where no deadline says anything, a call is given to any of those that run.
func TestNothingKnown(t *testing.T) {
	is := is.New(t)
	c := correlation.New(start)
	_, ok := c.FindParent(start, "made", start.Add(time.Second), 0.5)
	is.True(!ok) // nothing runs
	c.Start(start, 1, correlation.Call{ID: "a", Route: "r", Deadline: start.Add(10 * time.Second)})
	c.Start(start, 2, correlation.Call{ID: "b", Route: "r", Deadline: start.Add(20 * time.Second)})
	c.Start(start, 3, correlation.Call{ID: "c", Route: "r", Deadline: start.Add(500 * time.Millisecond)})
	seen := map[string]bool{}
	for i := range 10 {
		p, ok := c.FindParent(start, "made", start.Add(time.Second), float64(i)/10)
		is.True(ok && !p.RouteKnown)
		seen[p.ID] = true
	}
	is.Equal(seen, map[string]bool{"a": true, "b": true}) // c ends before the call
	c.End(start, 1)
	c.End(start, 2)
	_, ok = c.FindParent(start, "made", start.Add(time.Second), 0.5)
	is.True(!ok)
}
