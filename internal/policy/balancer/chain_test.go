package balancer_test

import (
	"testing"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/policy/balancer"
	"chestnutshed.example/chestnutshed/internal/policy/chain"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
)

// deepShort is a service four hops down that is short, known by the reports of peers alone.
func deepShort() chain.View {
	return chain.View{
		Cutoffs: map[string]priority.Cutoff{"deep": priority.Cutoff(priority.New(manifest.Normal, 1))},
		Needs:   map[string]map[string]float64{"r": {"middle": 2, "deep": 8}, "seldom": {"deep": 0.01}},
	}
}

func chooseOne(b *balancer.Balancer, c balancer.Call) *failure.Refusal {
	_, refusal := b.Choose(start, []balancer.Candidate{{ID: "a", Slots: 10}}, c)
	return refusal
}

// In the first second of a load, and after a restart, a node has had no answer that tells
// which services a route uses. It refuses requests that a service further down has no room
// for all the same, as not run, the least important first.
func TestPressureRefusesAtEntry(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	b.SetChains(deepShort())
	refusal := chooseOne(b, call())
	is.True(refusal != nil)
	is.Equal(refusal.Reason, failure.Overload)
	is.Equal(refusal.Ran, failure.RanNo)
	important := call()
	important.Score = priority.New(manifest.High, 100)
	is.True(chooseOne(b, important) == nil)
	seldom := call()
	seldom.Route = "seldom"
	is.True(chooseOne(b, seldom) == nil)
}

// A cutoff that the service has given up is not kept for its time to live: the pressure goes
// before what an answer said earlier.
func TestPressureBeforeReportedCutoff(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	b.Answered(start, "a", balancer.Report{Route: "r", Cutoff: priority.AdmitAll, Downstream: []balancer.Downstream{{Service: "deep", Cutoff: 0, Calls: 8}}})
	is.True(chooseOne(b, call()) != nil)
	v := deepShort()
	v.Cutoffs["deep"] = priority.AdmitAll
	b.SetChains(v)
	is.True(chooseOne(b, call()) == nil)
}

// The calls of a root request that is no longer admitted are refused by its score, though
// inner calls go before all requests of callers.
func TestPressureRefusesInnerCalls(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	b.SetChains(deepShort())
	inner := call()
	inner.Score, inner.Depth = priority.New(manifest.Critical, 0), 2
	is.True(chooseOne(b, inner) == nil) // its root is not known
	inner.RootScore = call().Score
	is.True(chooseOne(b, inner) != nil)
	inner.RootScore = priority.New(manifest.Normal, 1.05) // admitted just before
	is.True(chooseOne(b, inner) == nil)
}

// A service rejects half of all calls at random. It has no shortage, so that what its nodes
// know of the chain changes nothing: runs are rationed by the calls that they make.
func TestRejectingWithoutShortage(t *testing.T) {
	is := is.New(t)
	report := balancer.Report{Route: "r", Cutoff: priority.AdmitAll, Downstream: []balancer.Downstream{{Service: "deep", Cutoff: priority.AdmitAll, Calls: 3}}}
	v := deepShort()
	v.Cutoffs = nil
	for _, fraction := range []float64{0.1, 0.2, 0.3, 0.4, 0.5, 0.55, 0.6, 0.7, 0.8, 0.9} {
		without, with := newBalancer(), newBalancer()
		with.SetChains(v)
		c := call()
		c.Repeatable = true
		var refused [2]bool
		for i, b := range []*balancer.Balancer{without, with} {
			b.Answered(start, "a", report)
			b.SetRejecting([]balancer.Rejecting{{Service: "deep", Fraction: fraction, Cutoff: 0}})
			refused[i] = chooseOne(b, c) != nil
		}
		is.Equal(refused[0], refused[1])
	}
}
