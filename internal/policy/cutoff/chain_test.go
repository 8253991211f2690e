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
	// perTick is the number of inner calls that arrive in a tick, and perRun that of a root
	// request.
	perTick = 100
	perRun  = 8
)

// rank returns the score of the root request behind a call.
func rank(i int) priority.Score {
	return priority.New(manifest.Low, 0.5+float64(i%perTick)/perTick)
}

// tick offers the inner calls of one tick. Every refused-th call is refused, none if it is 0.
func tick(r *cutoff.Regulator, refused int) {
	for i := range perTick {
		r.Offer(rank(i), true, 0.05)
		if refused > 0 && i%refused == 0 {
			r.RefuseInner(rank(i))
		}
	}
	r.Update(cutoff.Sample{Waiting: slots / 4, Slots: slots, Busy: slots, Released: perTick, Elapsed: cutoff.Tick})
}

// admitted is the fraction of the root requests that the cutoff admits.
func admitted(r *cutoff.Regulator) float64 {
	n := 0.0
	for i := range perTick {
		if r.Cutoff().Admits(rank(i), 1) {
			n++
		}
	}
	return n / perTick
}

// A service at the end of a chain refuses a tenth of the calls, as they waited too long, and
// its queue is short. Of eight calls in a row one is then refused in most runs, and far fewer
// calls are seen than the runs need. The cutoff falls at once to where all calls pass, which
// is 0.64 of the runs, and not further until that can show.
func TestLossOfCallsLowersCutoff(t *testing.T) {
	is := is.New(t)
	r := cutoff.New()
	r.SetCallsPerRun(perRun)
	for range 10 {
		tick(r, 0)
	}
	is.Equal(r.Cutoff(), priority.AdmitAll)
	for range 7 { // 350 ms
		tick(r, 10)
	}
	is.True(admitted(r) < 0.75)
	is.True(admitted(r) > 0.5)
	for range 100 { // 5 s
		tick(r, 0)
	}
	is.Equal(r.Cutoff(), priority.AdmitAll)
}

// Calls are lost at other targets of the service only. All nodes must move their cutoffs, or
// those of a service drift apart.
func TestLossIsShared(t *testing.T) {
	is := is.New(t)
	r := cutoff.New()
	r.SetCallsPerRun(perRun)
	for range 10 {
		tick(r, 0)
	}
	for range 7 {
		r.Adopt(r.Cutoff(), 0.1)
		tick(r, 0)
	}
	is.True(admitted(r) < 0.75)
}

// A node that was idle adopts the cutoff of a service that is short, if it serves inner calls.
func TestAdopt(t *testing.T) {
	is := is.New(t)
	r := cutoff.New()
	for range 100 {
		tick(r, 0)
	}
	agreed := priority.Cutoff(rank(30))
	r.Adopt(agreed, 0)
	is.True(r.Cutoff()-agreed < 1e-3)
}
