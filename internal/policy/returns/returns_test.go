package returns_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/returns"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func ExampleLine_WithPlaces() {
	var line returns.Line
	_, places := line.WithPlaces(start, 10, time.Second, 10)
	fmt.Println(places.Count, places.Wait, places.Step)
	// Output:
	// 5 20ms 200ms
}

// A return is recognised by the deadline that it shares with the first attempt, and by its
// time. A request that comes before it was told to, or has another deadline, is none.
func TestBook(t *testing.T) {
	c := returns.Caller{Organisation: "o", Route: "r", Left: 5 * time.Second, Objective: 2 * time.Second}
	const after = 600 * time.Millisecond
	for _, test := range []struct {
		name  string
		place bool
		// back is when the request comes, and left the time that it has left.
		back, left time.Duration
		turn       returns.Turn
	}{
		{"in time", true, after + 3*time.Millisecond, 4397 * time.Millisecond, returns.WithPlace},
		{"without place", false, after, 4400 * time.Millisecond, returns.WithoutPlace},
		{"other deadline", true, after, 4800 * time.Millisecond, returns.First},
		{"too early", true, 100 * time.Millisecond, 4900 * time.Millisecond, returns.First},
		{"too late", true, time.Second, 4 * time.Second, returns.First},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := returns.NewBook()
			b.Tell(start, c, returns.Told{After: after, Place: test.place})
			again := c
			again.Left = test.left
			is.Equal(b.Expects(start.Add(test.back), again), test.turn == returns.WithPlace)
			is.Equal(b.Claim(start.Add(test.back), again), test.turn)
			is.Equal(b.Claim(start.Add(test.back), again), returns.First) // used up
		})
	}
}

// load is what arrives at a service in a replay.
type load struct {
	organisation string
	class        int
	perSecond    float64
	from, until  time.Duration
	// leave is set if refused callers do not come back.
	leave bool
}

type attempt struct {
	returns.Caller
	class    int
	at, sent time.Duration
	again    bool
	position float64
	// leaves is set if the caller does not come back.
	leaves bool
}

type totals struct{ asked, served, inTime, twice int }

const (
	tick     = 10 * time.Millisecond
	waitTime = 250 * time.Millisecond
	capacity = 100.0
	dayTime  = 14 * time.Second
)

// replay runs a service of 100 requests a second that admits by importance and position and
// refuses what has waited for an eighth of the objective. Each caller returns once at the
// time told. It returns what each organisation got by class.
func replay(places bool, loads ...load) map[string]totals {
	arrivals, random := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4))
	s, b := returns.NewShortage(), returns.NewBook()
	got, due, room := map[string]totals{}, []attempt{}, 0.0
	var waiting []attempt
	for now := time.Duration(0); now < dayTime; now += tick {
		at := start.Add(now)
		for _, l := range loads {
			for n := l.perSecond * tick.Seconds(); now >= l.from && now < l.until && arrivals.Float64() < n; n-- {
				c := returns.Caller{Organisation: l.organisation, Route: "r", Left: time.Duration(4250+750*arrivals.Float64()) * time.Millisecond, Objective: 2 * time.Second}
				due = append(due, attempt{Caller: c, class: l.class, at: now, sent: now, leaves: l.leave})
			}
		}
		for _, a := range due {
			if a.at == now {
				a.position = random.Float64()
				if places && b.Claim(at, a.Caller) == returns.WithPlace {
					a.position = 0
				}
				waiting = append(waiting, a)
			}
		}
		due = slices.DeleteFunc(due, func(a attempt) bool { return a.at == now })
		slices.SortStableFunc(waiting, func(a, b attempt) int {
			return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.position, b.position))
		})
		room = min(room+capacity*tick.Seconds(), 2)
		var still []attempt
		for _, a := range waiting {
			name := fmt.Sprint(a.Organisation, a.class)
			sum, r := got[name], returns.Resource{Service: "s", Class: a.class}
			if !a.again && a.at == now {
				sum.asked++
			}
			switch {
			case room >= 1:
				room--
				s.Passed(at, r)
				sum.served++
				if now-a.sent < a.Objective {
					sum.inTime++
				}
			case now-a.at < waitTime:
				still = append(still, a)
			case a.again || a.leaves:
				sum.twice++
			default:
				c := a.Caller
				c.Left -= now - a.at
				told := returns.Told{After: time.Duration(0.4 * (0.5 + random.Float64()) * float64(c.Objective))}
				if places {
					told = s.Refuse(at, r, c, random.Float64())
					b.Tell(at, c, told)
				}
				wait := min(told.After, c.Left/3).Round(tick)
				c.Left -= wait
				due = append(due, attempt{Caller: c, class: a.class, at: now + max(wait, tick), sent: a.sent, again: true})
			}
			got[name] = sum
		}
		waiting = still
	}
	return got
}

// surge is a load below the capacity of a service with a time above it.
func surge(factor float64, lasts time.Duration) []load {
	return []load{{"o", 1, 50, 0, 10 * time.Second, false}, {"o", 1, factor*capacity - 50, 2 * time.Second, 2*time.Second + lasts, false}}
}

// A service is short by a factor for some seconds. More callers get their response in time
// and fewer are refused twice than with random times.
func TestSurge(t *testing.T) {
	for _, factor := range []float64{1.5, 2, 4} {
		for _, lasts := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprint(factor, lasts), func(t *testing.T) {
				is := is.New(t)
				random, places := replay(false, surge(factor, lasts)...)["o1"], replay(true, surge(factor, lasts)...)["o1"]
				t.Log(random, places)
				is.Equal(random.asked, places.asked)
				is.True(places.inTime > random.inTime)
				is.True(places.twice < random.twice)
			})
		}
	}
}

// The most important requests of the organisation with the greatest demand are all served.
// Below them an organisation with less demand than its part is refused less than with random
// times, where the other takes the room of those that come back.
func TestImportanceAndFairness(t *testing.T) {
	is := is.New(t)
	loads := []load{{"small", 1, 30, 0, 10 * time.Second, false}, {"large", 1, 300, 0, 10 * time.Second, false}, {"large", 0, 20, 0, 10 * time.Second, false}}
	random, places := replay(false, loads...), replay(true, loads...)
	t.Log(random, places)
	is.Equal(places["large0"].served, places["large0"].asked)
	is.True(places["small1"].served*10 > places["small1"].asked*6)
	is.True(places["small1"].served*2 > random["small1"].served*3)
}

// Callers that got places and do not come back cost no capacity.
func TestUnusedPlaces(t *testing.T) {
	is := is.New(t)
	loads := surge(2, 3*time.Second)
	for i := range loads {
		loads[i].leave = true
	}
	random, places := replay(false, loads...)["o1"], replay(true, loads...)["o1"]
	is.Equal(random, places)
}

// Once a shortage has ended, nobody is refused.
func TestSurgeEnds(t *testing.T) {
	is := is.New(t)
	loads := append(surge(4, 3*time.Second), load{"late", 1, 30, 7 * time.Second, 10 * time.Second, false})
	late := replay(true, loads...)["late1"]
	is.Equal(late.inTime, late.asked)
}
