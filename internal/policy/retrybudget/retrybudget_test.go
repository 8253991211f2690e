package retrybudget_test

import (
	"testing"

	"chestnutshed.example/chestnutshed/internal/policy/retrybudget"
	"github.com/matryer/is"
)

// All nodes together stay within the ratio and slack, on however many nodes the first
// attempts arrive.
func TestFleetBound(t *testing.T) {
	is := is.New(t)
	limits := retrybudget.Limits{Ratio: 0.2, Slack: 48}
	for _, nodes := range []int{1, 3, 12, 48} {
		first, retries := 0, 0
		for range nodes {
			b := retrybudget.New(limits)
			for range 200 {
				b.RecordFirst("s", nodes, 0)
				first++
				for b.AllowRetry("s", nodes, retrybudget.Caller) {
					retries++
				}
			}
		}
		is.True(float64(retries) <= limits.Ratio*float64(first)+limits.Slack) // bound per window
	}
}

// A service without first attempts gets no more than one target's part of the slack.
func TestNewServiceBound(t *testing.T) {
	is := is.New(t)
	is.True(!retrybudget.New(retrybudget.Limits{Ratio: 1, Slack: 100}).AllowRetry("new", 200, retrybudget.Caller))
}

// In a chain of services that all retry as often as allowed, retries must not
// multiply: the last service stays within the bound.
func TestChainBound(t *testing.T) {
	is := is.New(t)
	limits := retrybudget.Limits{Ratio: 0.2, Slack: 48}
	const depth, nodes, perNode = 4, 12, 500
	inherited := 0.0
	for range depth {
		retries := 0.0
		for range nodes {
			b := retrybudget.New(limits)
			for range perNode {
				b.RecordFirst("s", nodes, inherited)
				for b.AllowRetry("s", nodes, retrybudget.Target) {
					retries++
				}
			}
		}
		inherited += retries / (nodes * perNode)
	}
	is.True(inherited*nodes*perNode <= limits.Ratio*nodes*perNode+limits.Slack)
}

// If only the last service of a chain loses answers, it can use most of the ratio.
func TestLastServiceUsesRatio(t *testing.T) {
	is := is.New(t)
	b, retries := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Slack: 48}), 0
	for range 1000 {
		b.RecordFirst("s", 12, 0)
		if b.AllowRetry("s", 12, retrybudget.Target) {
			retries++
		}
	}
	is.True(retries >= 100)
}

// Callers' requests still get their retries when hundreds of inner calls to the same
// service fail and use up the rest of the budget.
func TestCallerReserve(t *testing.T) {
	is := is.New(t)
	b := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Slack: 91})
	allowed, denied := 0, 0
	for i := range 5000 {
		b.RecordFirst("s", 59, 0)
		if i%45 == 44 { // 1 caller's request for 44 inner calls, all fail
			if b.AllowRetry("s", 59, retrybudget.Caller) {
				allowed++
			} else {
				denied++
			}
			continue
		}
		b.AllowRetry("s", 59, retrybudget.Target)
	}
	is.True(denied <= 1) // the first request comes before there is credit
	is.True(allowed >= 100)
}

// In a fleet with more nodes than the slack has retries, nodes start without credit
// for one. Otherwise the fleet would exceed the slack.
func TestLargeFleetBound(t *testing.T) {
	is := is.New(t)
	retries := 0
	for range 4800 {
		b := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Slack: 91})
		b.RecordFirst("s", 4800, 0)
		if b.AllowRetry("s", 4800, retrybudget.Caller) {
			retries++
		}
	}
	is.True(retries <= 91)
}
