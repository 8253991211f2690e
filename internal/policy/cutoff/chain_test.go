package cutoff_test

import (
	"testing"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/policy/cutoff"
	"chestnutshed.example/chestnutshed/internal/policy/priority"
	"github.com/matryer/is"
)

const (
	slots = 96
	// perTick is the number of inner calls that arrive in a tick.
	perTick = 100
)

// rank returns the score of the root request behind a call.
func rank(i int) priority.Score {
	return priority.New(manifest.Low, 0.5+float64(i%perTick)/perTick)
}

// tick offers the inner calls of one tick.
func tick(r *cutoff.Regulator) {
	for i := range perTick {
		r.Offer(rank(i), true, 0.05)
	}
	r.Update(cutoff.Sample{Waiting: slots / 4, Slots: slots, Busy: slots, Released: perTick, Elapsed: cutoff.Tick})
}

// A node that was idle adopts the cutoff of a service that is short, if it serves inner calls.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	r := cutoff.New()
	for range 100 {
		tick(r)
	}
	agreed := priority.Cutoff(rank(30))
	for range 50 {
		r.Adopt(agreed, 1.25)
	}
	is.True(r.Cutoff()-agreed < 1e-3)
}

// A service of three nodes has a slow target with a long queue, while the others have free
// slots. Its runs are not refused.
func TestSlowTarget(t *testing.T) {
	is := is.New(t)
	r := cutoff.New()
	for range 40 {
		tick(r)
	}
	before := priority.Cutoff(rank(80))
	for range 100 {
		r.Adopt(before, 1.1)
		for i := range perTick {
			r.Offer(rank(i), true, 0.1)
		}
		r.Update(cutoff.Sample{Waiting: 2 * slots, Slots: slots, Busy: slots, Released: perTick / 2, Elapsed: cutoff.Tick})
	}
	is.True(r.Cutoff() >= before)
}

// Two bursts have passed that a service was short for. Their requests fill two classes; after
// the second one, only the first class is admitted and half of the slots are free. All are
// admitted again within a second and a half, though the entries keep back what is refused.
func TestRiseAfterBurst(t *testing.T) {
	is := is.New(t)
	r := cutoff.New()
	offer := func(highest priority.Cutoff) {
		for i := range perTick {
			important := priority.New(manifest.Normal, 1+float64(i)/10)
			for _, root := range []priority.Score{important, rank(i)} {
				if highest.Admits(root, 1) {
					r.Offer(root, true, 0.025)
				}
			}
		}
	}
	for range 40 {
		r.Adopt(r.Cutoff(), 1.2)
		offer(priority.AdmitAll)
		r.Update(cutoff.Sample{Waiting: slots / 4, Slots: slots, Busy: slots, Released: 2 * perTick, Elapsed: cutoff.Tick})
	}
	r.Adopt(priority.Cutoff(priority.New(manifest.Normal, 1)), 1.2)
	for range 30 {
		r.Adopt(r.Cutoff(), 0.6)
		offer(r.Cutoff())
		r.Update(cutoff.Sample{Slots: slots, Busy: slots / 2, Released: perTick, Elapsed: cutoff.Tick})
	}
	is.True(r.Cutoff() >= priority.Cutoff(rank(perTick-1)))
}
