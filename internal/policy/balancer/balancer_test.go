package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func newBalancer() *balancer.Balancer { return balancer.New("here", rand.New(rand.NewPCG(1, 1))) }

func call() balancer.Call {
	return balancer.Call{Route: "r", Score: priority.New(manifest.Normal, 5), Depth: 1, Objective: 250 * time.Millisecond}
}

// countPicks returns how often each candidate is picked for 1000 calls.
func countPicks(b *balancer.Balancer, now time.Time, all []balancer.Candidate) map[string]int {
	picked := map[string]int{}
	for range 1000 {
		p, refusal := b.Choose(now, all, call())
		if refusal == nil {
			picked[p.Candidate.ID]++
		}
	}
	return picked
}

func TestOwnZonePreferred(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := []balancer.Candidate{{ID: "near", Zone: "here", Slots: 10}, {ID: "far", Zone: "there", Slots: 10}}
	is.Equal(countPicks(b, start, all)["near"], 1000)
	b.Answered(start, "near", balancer.Report{Load: 2, Cutoff: priority.AdmitAll})
	is.True(countPicks(b, start, all)["far"] > 900)
}

func TestWarmup(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := []balancer.Candidate{{ID: "warm", Slots: 10}, {ID: "cold", Slots: 10, ReadySince: start}}
	is.Equal(countPicks(b, start, all)["cold"], 0)
	is.True(countPicks(b, start.Add(time.Minute), all)["cold"] > 400)
}

func TestEjection(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := []balancer.Candidate{{ID: "a", Slots: 10}, {ID: "b", Slots: 10}}
	for range 3 {
		b.Sent("a")
		b.Failed(start, "a")
	}
	is.Equal(countPicks(b, start, all)["a"], 0)
	is.True(countPicks(b, start.Add(time.Minute), all)["a"] > 0) // retried after the ejection
	all[1].Failing = true
	p, refusal := b.Choose(start, all, call())
	is.True(refusal == nil)
	is.True(p.Forced) // all are ejected or failing: one is picked all the same
}

func TestCutoffsRefuse(t *testing.T) {
	closed := priority.Cutoff(priority.New(manifest.High, 0))
	tests := []struct {
		name   string
		report func(b *balancer.Balancer)
		at     time.Time
		want   bool
	}{
		{"no report", func(*balancer.Balancer) {}, start, true},
		{"the only candidate reports a cutoff", func(b *balancer.Balancer) { b.Answered(start, "a", balancer.Report{Route: "r", Cutoff: closed}) }, start, false},
		{"the cutoff has expired", func(b *balancer.Balancer) { b.Answered(start, "a", balancer.Report{Route: "r", Cutoff: closed}) }, start.Add(time.Second), true},
		{"a downstream service has a cutoff", func(b *balancer.Balancer) {
			b.Answered(start, "a", balancer.Report{Route: "r", Cutoff: priority.AdmitAll, Downstream: []balancer.Downstream{{Service: "deep", Cutoff: closed}}})
		}, start, false},
		{"reported on another route with the same dependency", func(b *balancer.Balancer) {
			b.Answered(start.Add(-time.Second), "a", balancer.Report{Route: "r", Cutoff: priority.AdmitAll, Downstream: []balancer.Downstream{{Service: "deep", Cutoff: priority.AdmitAll}}})
			b.Answered(start, "a", balancer.Report{Route: "other", Cutoff: priority.AdmitAll, Downstream: []balancer.Downstream{{Service: "deep", Cutoff: closed}}})
		}, start, false},
	}
	for _, tt := range tests {
		b := newBalancer()
		tt.report(b)
		_, refusal := b.Choose(tt.at, []balancer.Candidate{{ID: "a", Slots: 10}}, call())
		if (refusal == nil) != tt.want {
			t.Errorf("%s: got %v, want admitted %t", tt.name, refusal, tt.want)
		}
		if refusal != nil && (refusal.Reason != failure.Overload || refusal.Ran != failure.RanNo) {
			t.Errorf("%s: refused as %v", tt.name, refusal)
		}
	}
}

// Targets of one service differ in speed. Calls go to the fastest while it has
// spare capacity and to the next as it fills up. An expired service time does
// not keep a target from being tried.
func TestFastestPreferred(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := []balancer.Candidate{{ID: "quick", Zone: "here", Slots: 100}, {ID: "slow", Zone: "here", Slots: 100}}
	reportLoads := func(quick, slow float64) {
		b.Answered(start, "quick", balancer.Report{Route: "r", Load: quick, Cutoff: priority.AdmitAll, ServiceTime: 0.06})
		b.Answered(start, "slow", balancer.Report{Route: "r", Load: slow, Cutoff: priority.AdmitAll, ServiceTime: 0.14})
	}
	reportLoads(0.2, 0.2)
	is.Equal(countPicks(b, start, all)["quick"], 1000)
	reportLoads(1, 0.2)
	is.Equal(countPicks(b, start, all)["slow"], 1000)
	reportLoads(1.5, 1)
	is.Equal(countPicks(b, start, all)["slow"], 1000)
	reportLoads(0.2, 0.2)
	is.True(countPicks(b, start.Add(time.Minute), all)["slow"] > 0) // the reports have expired
}

// Of targets with equal service times, the one in the own availability zone is
// picked.
func TestOwnZonePreferredAtEqualServiceTime(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := []balancer.Candidate{{ID: "far", Zone: "there", Slots: 100}, {ID: "near", Zone: "here", Slots: 100}}
	for _, k := range all {
		b.Answered(start, k.ID, balancer.Report{Route: "r", Load: 0.3, Cutoff: priority.AdmitAll, ServiceTime: 0.1})
	}
	is.Equal(countPicks(b, start, all)["near"], 1000)
}

// A service has a few targets in the own availability zone and many elsewhere.
// Calls must not leave the zone because the sample holds no target of it.
func TestOwnZoneSampled(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	var all []balancer.Candidate
	for i := range 15 {
		zone := "there"
		if i < 3 {
			zone = "here"
		}
		k := balancer.Candidate{ID: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Slots: 100}
		all = append(all, k)
		b.Answered(start, k.ID, balancer.Report{Route: "r", Load: 0.3, Cutoff: priority.AdmitAll, ServiceTime: 0.1})
	}
	counts := countPicks(b, start, all)
	is.Equal(counts["here-0"]+counts["here-1"]+counts["here-2"], 1000)
}

// A node whose target is absent reports AdmitNone. That report must not hide
// that all other nodes are overloaded, and the node must not get calls while
// others admit them.
func TestAbsentTargetDoesNotHideOverload(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := []balancer.Candidate{{ID: "full", Slots: 10}, {ID: "gone", Slots: 10}}
	cutoff := priority.Cutoff(priority.New(manifest.High, 0))
	b.Answered(start, "full", balancer.Report{Route: "r", Load: 2, Cutoff: cutoff})
	b.Answered(start, "gone", balancer.Report{Route: "r", Cutoff: priority.AdmitNone})
	is.Equal(b.Downstream(start, all, "s", "r"), []balancer.Downstream{{Service: "s", Cutoff: cutoff, Calls: 1}})
	important := balancer.Call{Route: "r", Score: priority.New(manifest.Critical, 0), Depth: 2}
	for range 10 {
		pick, refusal := b.Choose(start, all, important)
		is.True(refusal == nil)
		is.Equal(pick.Candidate.ID, "full")
	}
	pick, refusal := b.Choose(start, all[1:], important)
	is.True(refusal == nil)
	is.Equal(pick.Candidate.ID, "gone") // it may be back
}

// The cutoff of a downstream service is reported only with answers, so that no
// report comes while all calls are refused. After the cutoff expires, requests
// must be admitted step by step, not all at once.
func TestExpiredCutoffRelaxesGradually(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	all := []balancer.Candidate{{ID: "a", Slots: 10}}
	closed := priority.Cutoff(priority.New(manifest.High, 0))
	b.Answered(start, "a", balancer.Report{Route: "r", Cutoff: priority.AdmitAll, Downstream: []balancer.Downstream{{Service: "deep", Cutoff: closed}}})
	admitted := func(after time.Duration) int {
		n := 0
		for i := range 100 {
			_, refusal := b.Choose(start.Add(after), all, balancer.Call{Route: "r", Score: priority.New(manifest.Low, float64(i)/100), Depth: 1})
			if refusal == nil {
				n++
			}
		}
		return n
	}
	is.Equal(admitted(500*time.Millisecond), 0)
	early := admitted(700 * time.Millisecond)
	is.True(early > 0 && early < 20)       // some calls get a new report
	is.Equal(admitted(3*time.Second), 100) // the service may not be in use any more
}
