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

func chooser() *balancer.Balancer { return balancer.New("here", rand.New(rand.NewPCG(1, 1))) }

func call() balancer.Call {
	return balancer.Call{Route: "r", Score: priority.New(manifest.Normal, 5), Depth: 1, Objective: 250 * time.Millisecond}
}

// share counts how often each candidate is picked of 1000 calls.
func share(c *balancer.Balancer, now time.Time, all []balancer.Candidate) map[string]int {
	picked := map[string]int{}
	for range 1000 {
		p, refusal := c.Choose(now, all, call())
		if refusal == nil {
			picked[p.Candidate.ID]++
		}
	}
	return picked
}

func TestOwnZoneFirstWhileItHasRoom(t *testing.T) {
	is := is.New(t)
	c := chooser()
	all := []balancer.Candidate{{ID: "near", Zone: "here", Slots: 10}, {ID: "far", Zone: "there", Slots: 10}}
	is.Equal(share(c, start, all)["near"], 1000)
	c.Answered(start, "near", balancer.Report{Load: 2, Cutoff: priority.AdmitAll})
	is.True(share(c, start, all)["far"] > 900)
}

func TestColdTargetsWarmUp(t *testing.T) {
	is := is.New(t)
	c := chooser()
	all := []balancer.Candidate{{ID: "warm", Slots: 10}, {ID: "cold", Slots: 10, ReadySince: start}}
	is.Equal(share(c, start, all)["cold"], 0)
	is.True(share(c, start.Add(time.Minute), all)["cold"] > 400)
}

func TestObservedFailuresOutrankWhatIsReported(t *testing.T) {
	is := is.New(t)
	c := chooser()
	all := []balancer.Candidate{{ID: "a", Slots: 10}, {ID: "b", Slots: 10}}
	for range 3 {
		c.Sent("a")
		c.Failed(start, "a")
	}
	is.Equal(share(c, start, all)["a"], 0)
	is.True(share(c, start.Add(time.Minute), all)["a"] > 0) // tried again later
	all[1].Failing = true
	p, refusal := c.Choose(start, all, call())
	is.True(refusal == nil)
	is.True(p.Forced) // all seem to fail: one is tried all the same
}

func TestCutsRefuseEarly(t *testing.T) {
	closed := priority.Cutoff(priority.New(manifest.High, 0))
	tests := []struct {
		name  string
		learn func(c *balancer.Balancer)
		at    time.Time
		want  bool
	}{
		{"nothing known", func(*balancer.Balancer) {}, start, true},
		{"the only candidate is cut", func(c *balancer.Balancer) { c.Answered(start, "a", balancer.Report{Route: "r", Cutoff: closed}) }, start, false},
		{"the news is old", func(c *balancer.Balancer) { c.Answered(start, "a", balancer.Report{Route: "r", Cutoff: closed}) }, start.Add(time.Second), true},
		{"a service further down is cut", func(c *balancer.Balancer) {
			c.Answered(start, "a", balancer.Report{Route: "r", Cutoff: priority.AdmitAll, Downstream: []balancer.Downstream{{Service: "deep", Cutoff: closed}}})
		}, start, false},
		{"heard on another route that uses it too", func(c *balancer.Balancer) {
			c.Answered(start.Add(-time.Second), "a", balancer.Report{Route: "r", Cutoff: priority.AdmitAll, Downstream: []balancer.Downstream{{Service: "deep", Cutoff: priority.AdmitAll}}})
			c.Answered(start, "a", balancer.Report{Route: "other", Cutoff: priority.AdmitAll, Downstream: []balancer.Downstream{{Service: "deep", Cutoff: closed}}})
		}, start, false},
	}
	for _, tt := range tests {
		c := chooser()
		tt.learn(c)
		_, refusal := c.Choose(tt.at, []balancer.Candidate{{ID: "a", Slots: 10}}, call())
		if (refusal == nil) != tt.want {
			t.Errorf("%s: got %v, want admitted %t", tt.name, refusal, tt.want)
		}
		if refusal != nil && (refusal.Reason != failure.Overload || refusal.Ran != failure.RanNo) {
			t.Errorf("%s: refused as %v", tt.name, refusal)
		}
	}
}

// Targets of one service differ in speed: calls go to the quickest while it has
// room, to the next as it fills, and the news is not believed for ever.
func TestQuickestWhileItHasRoom(t *testing.T) {
	is := is.New(t)
	c := chooser()
	all := []balancer.Candidate{{ID: "quick", Zone: "there", Slots: 100}, {ID: "slow", Zone: "here", Slots: 100}}
	told := func(quick, slow float64) {
		c.Answered(start, "quick", balancer.Report{Route: "r", Load: quick, Cutoff: priority.AdmitAll, ServiceTime: 0.06})
		c.Answered(start, "slow", balancer.Report{Route: "r", Load: slow, Cutoff: priority.AdmitAll, ServiceTime: 0.14})
	}
	told(0.2, 0.2)
	is.Equal(share(c, start, all)["quick"], 1000)
	told(1, 0.2)
	is.Equal(share(c, start, all)["slow"], 1000)
	told(1.5, 1)
	is.Equal(share(c, start, all)["slow"], 1000)
	told(0.2, 0.2)
	is.True(share(c, start.Add(time.Minute), all)["slow"] > 0) // tried again when the news is old
}

// Of equally quick targets, the one in the own availability zone is taken.
func TestEquallyQuickNearby(t *testing.T) {
	is := is.New(t)
	c := chooser()
	all := []balancer.Candidate{{ID: "far", Zone: "there", Slots: 100}, {ID: "near", Zone: "here", Slots: 100}}
	for _, k := range all {
		c.Answered(start, k.ID, balancer.Report{Route: "r", Load: 0.3, Cutoff: priority.AdmitAll, ServiceTime: 0.1})
	}
	is.Equal(share(c, start, all)["near"], 1000)
}

// A service with many targets elsewhere: calls stay in the own zone as long as
// its few targets are as good.
func TestFewNearbyAmongMany(t *testing.T) {
	is := is.New(t)
	c := chooser()
	var all []balancer.Candidate
	for i := range 15 {
		zone := "there"
		if i < 3 {
			zone = "here"
		}
		k := balancer.Candidate{ID: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Slots: 100}
		all = append(all, k)
		c.Answered(start, k.ID, balancer.Report{Route: "r", Load: 0.3, Cutoff: priority.AdmitAll, ServiceTime: 0.1})
	}
	counts := share(c, start, all)
	is.Equal(counts["here-0"]+counts["here-1"]+counts["here-2"], 1000)
}

// The node of a target that is gone has nothing to cut. What it says must not hide
// that all others are overloaded, nor draw calls while others take them.
func TestGoneTargetHidesOverload(t *testing.T) {
	is := is.New(t)
	c := chooser()
	all := []balancer.Candidate{{ID: "full", Slots: 10}, {ID: "gone", Slots: 10}}
	cut := priority.Cutoff(priority.New(manifest.High, 0))
	c.Answered(start, "full", balancer.Report{Route: "r", Load: 2, Cutoff: cut})
	c.Answered(start, "gone", balancer.Report{Route: "r", Cutoff: priority.AdmitNone})
	is.Equal(c.Downstream(start, all, "s", "r"), []balancer.Downstream{{Service: "s", Cutoff: cut}})
	important := balancer.Call{Route: "r", Score: priority.New(manifest.Critical, 0), Depth: 2}
	for range 10 {
		pick, refusal := c.Choose(start, all, important)
		is.True(refusal == nil)
		is.Equal(pick.Candidate.ID, "full")
	}
	pick, refusal := c.Choose(start, all[1:], important)
	is.True(refusal == nil)
	is.Equal(pick.Candidate.ID, "gone") // it may be back
}

// News of a service further down come with answers only. While none come since all
// are refused, requests are let in little by little, not all at once.
func TestOldNewsOpenAtOnce(t *testing.T) {
	is := is.New(t)
	c := chooser()
	all := []balancer.Candidate{{ID: "a", Slots: 10}}
	closed := priority.Cutoff(priority.New(manifest.High, 0))
	c.Answered(start, "a", balancer.Report{Route: "r", Cutoff: priority.AdmitAll, Downstream: []balancer.Downstream{{Service: "deep", Cutoff: closed}}})
	admitted := func(after time.Duration) int {
		n := 0
		for i := range 100 {
			_, refusal := c.Choose(start.Add(after), all, balancer.Call{Route: "r", Score: priority.New(manifest.Low, float64(i)/100), Depth: 1})
			if refusal == nil {
				n++
			}
		}
		return n
	}
	is.Equal(admitted(500*time.Millisecond), 0)
	early := admitted(700 * time.Millisecond)
	is.True(early > 0 && early < 20)       // some bring news
	is.Equal(admitted(3*time.Second), 100) // the service may not be in use any more
}
