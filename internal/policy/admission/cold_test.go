package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/policy/admission"
	"chestnutshed.example/chestnutshed/internal/policy/coldstart"
	"chestnutshed.example/chestnutshed/internal/policy/cutoff"
	"github.com/matryer/is"
)

// A target with many slots comes back cold while ten times what it tolerates is offered.
// It gets no more than its bound in any second, the more important requests first, and
// reports that it is full although hardly any of its slots are in use.
func TestColdTargetKeepsImportance(t *testing.T) {
	is := is.New(t)
	const (
		coldTime = 3 * time.Second
		hold     = 100 * time.Millisecond
		step     = 5 * time.Millisecond
	)
	c := admission.New(admission.Sidecar())
	c.SetSlots(start, 158)
	c.Cold().SetBound(coldstart.Bound{Time: coldTime, PerSecond: 14, Overage: 1.5, Slack: 8})
	c.Cold().SetWarmth(coldstart.Warmth{}.WithStart(start, coldTime))
	important, starts := map[uint64]bool{}, map[uint64]time.Time{}
	var times []time.Time
	offered, id, full := 0, uint64(0), 0.0
	begin := func(now time.Time, ids ...uint64) {
		for _, id := range ids {
			starts[id] = now
			times = append(times, now)
		}
	}
	for at := time.Duration(0); at < coldTime; at += step {
		now := start.Add(at)
		for id, began := range starts {
			if now.Sub(began) == hold {
				begin(now, c.Release(now, id, admission.Answered).Started...)
			}
		}
		if at%cutoff.Tick == 0 {
			begin(now, c.Tick(now).Started...)
		}
		importance := manifest.Low
		if at%(100*time.Millisecond) == 0 { // half of the bound
			importance = manifest.High
			offered++
		}
		id++
		important[id] = importance == manifest.High
		verdict, changes := c.Offer(now, request(id, importance, rand.Float64(), now.Add(time.Minute)))
		if _, ok := verdict.(admission.Start); ok {
			begin(now, id)
		}
		begin(now, changes.Started...)
		full = max(full, c.Load(now))
	}
	served := 0
	for id := range starts {
		if important[id] {
			served++
		}
	}
	for i := range times {
		n := 0
		for _, later := range times[i:] {
			if later.Sub(times[i]) < time.Second {
				n++
			}
		}
		is.True(n <= 21+8)
	}
	is.True(len(starts) >= 14*3)
	is.True(served >= offered-2) // the last ones may wait
	is.True(full >= 1)
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
