package knee_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/knee"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// measure plays rising load up to full slots on a target that slows above a knee, and then a
// time at full load. It returns the bound after that.
func measure(seed uint64, slowdown func(occupancy float64) float64) (*knee.Finder, float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	f := knee.New()
	for i := range 16000 {
		occupancy := min(1, float64(i)/14000)
		took := 0.05 * math.Exp(0.5*random.NormFloat64()-0.125) * slowdown(occupancy)
		f.Record("r", occupancy, time.Duration(took*float64(time.Second)))
	}
	return f, f.Bound(start)
}

func above(limit, x float64) func(float64) float64 {
	return func(occupancy float64) float64 {
		if occupancy > limit {
			return x
		}
		return 1
	}
}

// A target that slows by 1.3 above 0.95 of its slots is kept under that.
func TestKneeKept(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		_, bound := measure(seed, above(0.95, 1.3))
		is.Equal(bound, 0.94)
	}
}

// A target that does not slow uses all its slots, and so does one that slows by less than it
// gains.
func TestNoKnee(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		_, bound := measure(seed, above(1, 1))
		is.Equal(bound, 1.0)
	}
}

// After a while all slots are tried again, and the knee is found again within some calls.
func TestTriedAgain(t *testing.T) {
	is := is.New(t)
	f, bound := measure(1, above(0.95, 1.3))
	is.True(bound < 1)
	is.True(f.Bound(start.Add(19*time.Second)) < 1)
	later := start.Add(21 * time.Second)
	is.Equal(f.Bound(later), 1.0)
	for range 500 {
		f.Record("r", 1, 65*time.Millisecond)
	}
	is.True(f.Bound(later) < 1)
}

// Without calls at a low load nothing is known of the usual time.
func TestUsualUnknown(t *testing.T) {
	is := is.New(t)
	f := knee.New()
	for range 1000 {
		f.Record("r", 1, time.Second)
	}
	is.Equal(f.Bound(start), 1.0)
}
