package chain_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/chain"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// one is the number of nodes of each service.
func one(string) int { return 1 }

func profile(at time.Time, service, route string, calls float64) chain.Profile {
	return chain.Profile{Calls: map[chain.Child]float64{{Service: service, Route: route}: calls}, At: at, Version: 1}
}

// newBoard returns a board that knows a chain of four services.
func newBoard() *chain.Board {
	b := chain.New(one)
	b.SetVersion(1)
	b.Learn(start, "lookup", profile(start, "rates", "rate", 2), 1)
	b.Learn(start, "rate", profile(start, "ledgers", "ledger", 1), 1)
	b.Learn(start, "ledger", profile(start, "profiles", "profile", 4), 1)
	return b
}

// A lookup calls for two rates, each of which calls for a ledger, which calls for four
// profiles.
func ExampleBoard_View() {
	needs := newBoard().View(start).Needs["lookup"]
	fmt.Println(needs["rates"], needs["ledgers"], needs["profiles"])
	// Output: 2 2 8
}

// A profile is used for a minute, and under a newer configuration for five seconds, in
// which the nodes measure it anew.
func TestProfileExpires(t *testing.T) {
	is := is.New(t)
	b := newBoard()
	is.Equal(len(b.View(start.Add(59*time.Second)).Needs), 3)
	b.SetVersion(2)
	is.Equal(len(b.View(start.Add(4*time.Second)).Needs), 3)
	is.Equal(len(b.View(start.Add(6*time.Second)).Needs), 0)
}

// Routes that call each other in a circle have finite needs.
func TestCircle(t *testing.T) {
	b := chain.New(one)
	b.SetVersion(1)
	b.Learn(start, "a", profile(start, "s", "b", 1), 1)
	b.Learn(start, "b", profile(start, "s", "a", 1), 1)
	is.New(t).Equal(b.View(start).Needs["a"]["s"], 8.0)
}

// A service has three nodes. One of them, with a slow target, does not make it short.
func TestSlowTargetDoesNotDecide(t *testing.T) {
	is := is.New(t)
	b := chain.New(func(string) int { return 3 })
	b.Hear(start, "s", 1, chain.Pressure{Cutoff: 7.2, Load: 2.4, At: start})
	_, ok := b.Pressure("s")
	is.True(!ok) // the others are not known
	b.Hear(start, "s", 2, chain.Pressure{Cutoff: priority.AdmitAll, Load: 0.5, At: start})
	b.Hear(start, "s", 3, chain.Pressure{Cutoff: priority.AdmitAll, Load: 0.7, At: start})
	p, ok := b.Pressure("s")
	is.True(ok)
	is.Equal(p.Cutoff, priority.AdmitAll)
	is.True(math.Abs(p.Load-1.2) < 1e-9)
	b.Hear(start, "s", 2, chain.Pressure{Cutoff: 8.1, Load: 2.5, At: start.Add(time.Millisecond)})
	b.Hear(start, "s", 2, chain.Pressure{Cutoff: priority.AdmitAll, At: start}) // late
	p, _ = b.Pressure("s")
	is.Equal(p.Cutoff, priority.Cutoff(8.1))
}

// A service that admits everything makes no report, and one that does so again or ends is
// soon forgotten.
func TestNoReportWithoutPressure(t *testing.T) {
	is := is.New(t)
	b := chain.New(one)
	b.Hear(start, "s", 1, chain.Pressure{Cutoff: priority.AdmitAll, At: start})
	is.Equal(len(b.View(start).Cutoffs), 0)
	b.Hear(start, "s", 1, chain.Pressure{Cutoff: 5, At: start})
	b.Hear(start, "t", 2, chain.Pressure{Cutoff: 5, At: start})
	is.Equal(len(b.View(start).Cutoffs), 2)
	now := start.Add(500 * time.Millisecond)
	b.Hear(now, "s", 1, chain.Pressure{Cutoff: priority.AdmitAll, At: now})
	is.Equal(len(b.View(now).Cutoffs), 1)
	is.Equal(len(b.View(start.Add(2*time.Second)).Cutoffs), 0)
}

// Half of the runs end with their first call. The calls of a run that completes are what an
// entry must know.
func TestFailedRunsDoNotCount(t *testing.T) {
	is := is.New(t)
	m := chain.NewMeter()
	child := chain.Child{Service: "s", Route: "c"}
	var p chain.Profile
	for run := range uint64(20) {
		m.Start(run)
		m.Call(run, child)
		if run%2 == 0 {
			m.End(start, run, "r", false)
			continue
		}
		m.Call(run, child)
		m.Call(run, child)
		m.Call(run, child)
		p, _ = m.End(start, run, "r", true)
	}
	is.Equal(p.Calls[child], 4.0)
}

// Routes without calls have no profile.
func TestNoCalls(t *testing.T) {
	m := chain.NewMeter()
	m.Start(1)
	_, ok := m.End(start, 1, "r", true)
	is.New(t).True(!ok)
}
