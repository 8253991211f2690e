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
	r.Adopt(agreed)
	is.True(r.Cutoff()-agreed < 1e-3)
}
