package chain_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/chain"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func profile(at time.Time, service, route string, calls float64) chain.Profile {
	return chain.Profile{Calls: map[chain.Child]float64{{Service: service, Route: route}: calls}, At: at, Version: 1}
}

// newBoard returns a board that knows a chain of four services.
func newBoard() *chain.Board {
	b := chain.New()
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
	b := chain.New()
	b.SetVersion(1)
	b.Learn(start, "a", profile(start, "s", "b", 1), 1)
	b.Learn(start, "b", profile(start, "s", "a", 1), 1)
	is.New(t).Equal(b.View(start).Needs["a"]["s"], 8.0)
}

// The nodes of a short service, of which one has a free target, agree on one cutoff.
func TestNodesAgree(t *testing.T) {
	is := is.New(t)
	boards := []*chain.Board{chain.New(), chain.New()}
	cutoffs := []priority.Cutoff{8.1, 11.5}
	now := start
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for i, b := range boards {
			b.Measure(now, "s", chain.Pressure{Cutoff: cutoffs[i]})
		}
		for i, b := range boards {
			b.Hear(now, "s", boards[1-i].Pressures(now)["s"])
			cutoffs[i] = b.Pressures(now)["s"].Cutoff
		}
	}
	is.True(cutoffs[0]-cutoffs[1] < 0.01 && cutoffs[1]-cutoffs[0] < 0.01)
}

// A service that admits everything makes no report, and one that does so again is soon
// forgotten.
func TestNoReportWithoutPressure(t *testing.T) {
	is := is.New(t)
	b := chain.New()
	b.Measure(start, "s", chain.Pressure{Cutoff: priority.AdmitAll})
	is.Equal(len(b.View(start).Cutoffs), 0)
	b.Measure(start, "s", chain.Pressure{Cutoff: 5})
	now := start
	for range 30 {
		now = now.Add(50 * time.Millisecond)
		b.Measure(now, "s", chain.Pressure{Cutoff: priority.AdmitAll})
	}
	is.Equal(len(b.View(now).Cutoffs), 0)
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
