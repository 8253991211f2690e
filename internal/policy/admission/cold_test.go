package admission_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/coldstart"
	"github.com/matryer/is"
)

// A target with many slots comes back cold while ten times what it tolerates is offered.
// It gets no more than its bound in any second, the more important requests first, and
// reports that it is full although hardly any of its slots are in use.
func TestColdTargetKeepsImportance(t *testing.T) {
	is := is.New(t)
	const coldTime = 3 * time.Second
	c := admission.New(admission.Sidecar())
	c.SetSlots(start, 158)
	c.Cold().SetBound(coldstart.Bound{Time: coldTime, PerSecond: 14, Overage: 1.5, Slack: 8})
	c.Cold().SetWarmth(coldstart.Warmth{}.WithStart(start, coldTime))
	r := rateLoad{
		duration: coldTime, step: 5 * time.Millisecond, hold: 100 * time.Millisecond,
		importantEvery: 100 * time.Millisecond, // half of the bound
	}.run(c)
	for i := range r.starts {
		n := 0
		for _, later := range r.starts[i:] {
			if later.Sub(r.starts[i]) < time.Second {
				n++
			}
		}
		is.True(n <= 21+8)
	}
	is.True(len(r.starts) >= 14*3)
	is.True(r.served >= r.offered-2) // the last ones may wait
	is.True(r.full >= 1)
}

// All slots are free, but the rate is used up: a request waits, and starts once a token is
// earned.
func TestColdTargetWithFreeSlots(t *testing.T) {
	is := is.New(t)
	c := admission.New(admission.Sidecar())
	c.SetSlots(start, 8)
	c.Cold().SetBound(coldstart.Bound{Time: time.Minute, PerSecond: 2, Overage: 1, Slack: 4})
	c.Cold().SetWarmth(coldstart.Warmth{}.WithStart(start, time.Minute))
	deadline := start.Add(time.Hour)
	verdict, _ := c.Offer(start, request(1, manifest.Low, 1, deadline))
	is.Equal(verdict, admission.Start{})
	verdict, _ = c.Offer(start, request(2, manifest.Low, 1, deadline))
	is.Equal(verdict, admission.Wait{})
	c.Release(start, 1, admission.Answered)
	is.True(c.Load(start) >= 0.5) // one sent and one waiting, of four
	is.Equal(len(c.Tick(start.Add(400*time.Millisecond)).Started), 0)
	is.Equal(c.Tick(start.Add(600*time.Millisecond)).Started, []uint64{2})
}
