package retrybudget_test

import (
	"testing"

	"chestnutshed.example/chestnutshed/internal/policy/retrybudget"
	"github.com/matryer/is"
)

// All nodes together stay within the stated ratio and slack, however the first
// sends are spread and whenever the extra ones are asked for.
func TestBound(t *testing.T) {
	is := is.New(t)
	terms := retrybudget.Limits{Ratio: 0.2, Slack: 48}
	for _, nodes := range []int{1, 3, 12, 48} {
		first, extra := 0, 0
		for range nodes {
			b := retrybudget.New(terms)
			for range 200 {
				b.RecordFirst("s", nodes, 0)
				first++
				for b.AllowRetry("s", nodes, retrybudget.Caller) {
					extra++
				}
			}
		}
		is.True(float64(extra) <= terms.Ratio*float64(first)+terms.Slack) // the bound of the window
	}
}

// A target that had no first send yet allows no more than its part of the slack.
func TestUnknownService(t *testing.T) {
	is := is.New(t)
	is.True(!retrybudget.New(retrybudget.Limits{Ratio: 1, Slack: 100}).AllowRetry("never sent to", 200, retrybudget.Caller))
}

// In a chain of services in which every call is repeated as often as allowed,
// the last one still stays within the bound.
func TestChain(t *testing.T) {
	is := is.New(t)
	terms := retrybudget.Limits{Ratio: 0.2, Slack: 48}
	const depth, nodes, each = 4, 12, 500
	inherited := 0.0
	for range depth {
		extra := 0.0
		for range nodes {
			b := retrybudget.New(terms)
			for range each {
				b.RecordFirst("s", nodes, inherited)
				for b.AllowRetry("s", nodes, retrybudget.Target) {
					extra++
				}
			}
		}
		inherited += extra / (nodes * each)
	}
	is.True(inherited*nodes*each <= terms.Ratio*nodes*each+terms.Slack)
}

// Where only the last service of a chain loses answers, most of the ratio is
// there for it.
func TestLastService(t *testing.T) {
	is := is.New(t)
	b, extra := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Slack: 48}), 0
	for range 1000 {
		b.RecordFirst("s", 12, 0)
		if b.AllowRetry("s", 12, retrybudget.Target) {
			extra++
		}
	}
	is.True(extra >= 100)
}

// Where calls of targets fail by the hundred, callers' own requests to the same
// service still get their extra sends.
func TestCallersFirst(t *testing.T) {
	is := is.New(t)
	b := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Slack: 91})
	saved, lost := 0, 0
	for i := range 5000 {
		b.RecordFirst("s", 59, 0)
		if i%45 == 44 { // one of a caller to 44 of targets, all of which fail
			if b.AllowRetry("s", 59, retrybudget.Caller) {
				saved++
			} else {
				lost++
			}
			continue
		}
		b.AllowRetry("s", 59, retrybudget.Target)
	}
	is.True(lost <= 1) // the first comes before the credit has been earned
	is.True(saved >= 100)
}

// In a fleet of more nodes than the slack has sends, nodes start without one.
func TestLargeFleet(t *testing.T) {
	is := is.New(t)
	extra := 0
	for range 4800 {
		b := retrybudget.New(retrybudget.Limits{Ratio: 0.2, Slack: 91})
		b.RecordFirst("s", 4800, 0)
		if b.AllowRetry("s", 4800, retrybudget.Caller) {
			extra++
		}
	}
	is.True(extra <= 91)
}
