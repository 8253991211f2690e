package balancer_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"chestnutshed.example/chestnutshed/internal/policy/spill"
	"github.com/matryer/is"
)

// twoZones are two targets in the own zone and two elsewhere.
func twoZones() []balancer.Candidate {
	return []balancer.Candidate{
		{ID: "here-1", Zone: "here", Slots: 100},
		{ID: "here-2", Zone: "here", Slots: 100},
		{ID: "there-1", Zone: "there", Slots: 100},
		{ID: "there-2", Zone: "there", Slots: 100},
	}
}

// settle makes calls for a time while all targets report the same, and returns the fraction
// of the last ones that left the zone, and why.
func settle(b *balancer.Balancer, all []balancer.Candidate, c balancer.Call, report func(balancer.Candidate) balancer.Report) (float64, spill.Reason) {
	away, n, reason := 0, 0, spill.Reason("")
	for now := start; now.Before(start.Add(15 * time.Second)); now = now.Add(20 * time.Millisecond) {
		for _, k := range all {
			r := report(k)
			r.Route, r.Cutoff, r.Zone = c.Route, priority.AdmitAll, k.Zone
			b.Answered(now, k.ID, r)
		}
		pick, refusal := b.Choose(now, all, c)
		if refusal != nil || now.Before(start.Add(10*time.Second)) {
			continue
		}
		n++
		if pick.Candidate.Zone != "here" {
			away, reason = away+1, pick.Left
		}
	}
	return float64(away) / float64(max(n, 1)), reason
}

// Targets elsewhere are faster by more than the price of going there: calls follow within
// seconds, and return when the targets there fill up.
func TestFasterZonePreferred(t *testing.T) {
	is := is.New(t)
	serviceTime := func(k balancer.Candidate) float64 {
		if k.Zone == "there" {
			return 0.06
		}
		return 0.14
	}
	away, reason := settle(newBalancer(), twoZones(), call(), func(k balancer.Candidate) balancer.Report {
		return balancer.Report{Load: 0.2, ServiceTime: serviceTime(k)}
	})
	is.True(away > 0.98)
	is.Equal(reason, spill.Faster)
	away, _ = settle(newBalancer(), twoZones(), call(), func(k balancer.Candidate) balancer.Report {
		load := 0.2
		if k.Zone == "there" {
			load = 1.2
		}
		return balancer.Report{Load: load, ServiceTime: serviceTime(k)}
	})
	is.Equal(away, 0.0)
}

// The own zone is full and another has room: calls of targets leave as well.
func TestInnerCallsLeaveFullZone(t *testing.T) {
	is := is.New(t)
	inner := balancer.Call{Route: "i", Score: call().Score, Depth: 2, Objective: 300 * time.Millisecond, Remaining: time.Second}
	full := func(k balancer.Candidate) balancer.Report {
		load := 0.3
		if k.Zone == "here" {
			load = 1.3
		}
		return balancer.Report{Load: load, ServiceTime: 0.026}
	}
	away, reason := settle(newBalancer(), twoZones(), inner, full)
	is.True(away > 0.2)
	is.Equal(reason, spill.Full)
	dear := newBalancer()
	dear.SetPrice(spill.Price{Root: 1, Inner: 1})
	away, _ = settle(dear, twoZones(), inner, full)
	is.Equal(away, 0.0)
}

// A round trip as long as what is left to the root request does not pay.
func TestHopCounts(t *testing.T) {
	is := is.New(t)
	inner := balancer.Call{Route: "i", Score: call().Score, Depth: 2, Objective: 300 * time.Millisecond, Remaining: 60 * time.Millisecond}
	away, _ := settle(newBalancer(), twoZones(), inner, func(k balancer.Candidate) balancer.Report {
		if k.Zone == "here" {
			return balancer.Report{Load: 1.3, ServiceTime: 0.026}
		}
		return balancer.Report{Load: 0.3, ServiceTime: 0.026, Hop: 0.03}
	})
	is.Equal(away, 0.0)
}

// The targets of the zone turn calls away. They go elsewhere, unless traffic is too dear.
func TestRefusingZone(t *testing.T) {
	for name, price := range map[string]float64{"default": 0.2, "dear": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, all := newBalancer(), twoZones()
			b.SetPrice(spill.Price{Root: price, Inner: price})
			for _, k := range all {
				cutoff := priority.AdmitAll
				if k.Zone == "here" {
					cutoff = priority.AdmitNone
				}
				b.Answered(start, k.ID, balancer.Report{Route: "r", Cutoff: cutoff, ServiceTime: 0.1})
			}
			pick, refusal := b.Choose(start, all, call())
			if price < 1 {
				is.True(refusal == nil)
				is.Equal(pick.Candidate.Zone, "there")
				is.Equal(pick.Left, spill.Absent)
				return
			}
			is.Equal(refusal.Reason, failure.Overload)
			_, refusal = b.Choose(start, all[2:], call())
			is.True(refusal == nil) // a zone without targets has no choice
		})
	}
}

// Where a much faster target would pay, a call now and then tells how fast other zones are.
func TestProbe(t *testing.T) {
	is := is.New(t)
	b, all, probes := newBalancer(), twoZones(), 0
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(20 * time.Millisecond) {
		for _, k := range all[:2] {
			b.Answered(now, k.ID, balancer.Report{Route: "r", Load: 0.2, Cutoff: priority.AdmitAll, ServiceTime: 0.14})
		}
		if pick, refusal := b.Choose(now, all, call()); refusal == nil && pick.Left == spill.Probe {
			probes++
		}
	}
	is.True(probes >= 3 && probes <= 5)
}

// Changes of a plan are told once, for the log.
func TestPlanChanges(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	settle(b, twoZones(), call(), func(k balancer.Candidate) balancer.Report {
		load := 0.3
		if k.Zone == "here" {
			load = 1.3
		}
		return balancer.Report{Load: load, ServiceTime: 0.1}
	})
	changes := b.PlanChanges()
	is.True(len(changes) >= 1 && len(changes) < 12)
	is.Equal(changes[0].Reason, spill.Full)
	is.Equal(len(b.PlanChanges()), 0)
}

// A retry names only the targets that are left. What they report says nothing about the zone.
func TestRetryChangesNoPlan(t *testing.T) {
	is := is.New(t)
	b, all := newBalancer(), twoZones()
	for _, k := range all {
		b.Answered(start, k.ID, balancer.Report{Route: "r", Load: 0.2, Cutoff: priority.AdmitAll, ServiceTime: 0.1})
	}
	b.Answered(start, "here-1", balancer.Report{Route: "r", Load: 1.5, Cutoff: priority.AdmitAll, ServiceTime: 0.1})
	retry := call()
	retry.Retry, retry.Tried = true, []string{"here-2"}
	_, refusal := b.Choose(start, all, retry)
	is.True(refusal == nil)
	is.Equal(b.PlanFraction("", "r"), 0.0)
}

// Where all zones are full, calls meet the cutoff of the own zone, although a target elsewhere
// has just told that it admits everything. Where that zone has room, its cutoff counts.
func TestCutoffsMet(t *testing.T) {
	closed := priority.Cutoff(call().Score)
	for name, tt := range map[string]struct {
		load float64
		want priority.Cutoff
	}{"all full": {1.2, closed}, "room elsewhere": {0.3, priority.AdmitAll}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, all, c := newBalancer(), twoZones(), call()
			c.Service = "s"
			for _, k := range all {
				r := balancer.Report{Route: "r", Load: 1.2, Cutoff: closed, ServiceTime: 0.1}
				if k.Zone == "there" {
					r.Load, r.Cutoff = tt.load, priority.AdmitAll
				}
				b.Answered(start, k.ID, r)
			}
			_, refusal := b.Choose(start, all, c)
			is.True(refusal == nil)
			is.Equal(b.Downstream(start, b.Met(all, "s", "r"), "s", "r")[0].Cutoff, tt.want)
			is.Equal(len(b.Met(all[2:], "s", "r")), 2) // no target in the own zone
		})
	}
}
