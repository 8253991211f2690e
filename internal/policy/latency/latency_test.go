package latency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/latency"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// simulate runs calls that arrive at a rate per second, with service times
// around a mean that changes from before to after. It returns the estimate at
// the given delay after the change.
func simulate(rate float64, before, after, delay time.Duration) time.Duration {
	random := rand.New(rand.NewPCG(1, 1))
	estimator := latency.New(start)
	const change = 10 * time.Second
	type call struct{ began, ends time.Time }
	var running []call
	gap := time.Duration(float64(time.Second) / rate)
	end := start.Add(change + delay)
	for now := start; now.Before(end); now = now.Add(gap) {
		kept := running[:0]
		for _, c := range running {
			if c.ends.After(now) {
				kept = append(kept, c)
				continue
			}
			estimator.End(c.began, c.ends, "r", true)
		}
		running = kept
		mean := before
		if now.Sub(start) >= change {
			mean = after
		}
		estimator.Start(now, "r")
		took := time.Duration(float64(mean) * (0.5 + random.Float64()))
		running = append(running, call{now, now.Add(took)})
	}
	return time.Duration(estimator.Estimate(end, "r") * float64(time.Second))
}

// A target becomes twelve times slower. The estimate must show it within a
// second, before the first slow call completes.
func TestSlowdown(t *testing.T) {
	is := is.New(t)
	steady := simulate(20, 220*time.Millisecond, 220*time.Millisecond, time.Second)
	t.Logf("steady: %s", steady)
	is.True(steady > 180*time.Millisecond && steady < 280*time.Millisecond)
	slow := simulate(20, 220*time.Millisecond, 2640*time.Millisecond, time.Second)
	t.Logf("one second after the slowdown: %s", slow)
	is.True(slow > 2*steady)
}

// The age of fewer than three running calls must not change the estimate.
func TestFewRunning(t *testing.T) {
	is := is.New(t)
	estimator := latency.New(start)
	is.Equal(estimator.Estimate(start, "r"), 0.0)
	estimator.Start(start, "r")
	estimator.End(start, start.Add(100*time.Millisecond), "r", true)
	estimator.Start(start, "r")
	estimator.Start(start, "r")
	is.True(estimator.Estimate(start.Add(time.Minute), "r") < 0.11)
	estimator.Reset()
	is.Equal(estimator.Estimate(start.Add(time.Minute), "r"), 0.0)
}
