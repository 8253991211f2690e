package latency_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/latency"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// target replays calls that come at a rate, with times around a mean that
// changes at a moment. It returns the estimate some time after the change.
func target(rate float64, before, after, wait time.Duration) time.Duration {
	random := rand.New(rand.NewPCG(1, 1))
	times := latency.New(start)
	const change = 10 * time.Second
	type call struct{ began, ends time.Time }
	var running []call
	gap := time.Duration(float64(time.Second) / rate)
	end := start.Add(change + wait)
	for now := start; now.Before(end); now = now.Add(gap) {
		kept := running[:0]
		for _, c := range running {
			if c.ends.After(now) {
				kept = append(kept, c)
				continue
			}
			times.End(c.began, c.ends, "r", true)
		}
		running = kept
		mean := before
		if now.Sub(start) >= change {
			mean = after
		}
		times.Start(now, "r")
		held := time.Duration(float64(mean) * (0.5 + random.Float64()))
		running = append(running, call{now, now.Add(held)})
	}
	return time.Duration(times.Estimate(end, "r") * float64(time.Second))
}

// A target that turns twelve times as slow is known for it within a second,
// long before the first slow call has ended.
func TestTurnsSlow(t *testing.T) {
	is := is.New(t)
	steady := target(20, 220*time.Millisecond, 220*time.Millisecond, time.Second)
	t.Logf("steady: %s", steady)
	is.True(steady > 180*time.Millisecond && steady < 280*time.Millisecond)
	slow := target(20, 220*time.Millisecond, 2640*time.Millisecond, time.Second)
	t.Logf("a second after it turned slow: %s", slow)
	is.True(slow > 2*steady)
}

// Few running calls prove nothing.
func TestFewRunning(t *testing.T) {
	is := is.New(t)
	times := latency.New(start)
	is.Equal(times.Estimate(start, "r"), 0.0)
	times.Start(start, "r")
	times.End(start, start.Add(100*time.Millisecond), "r", true)
	times.Start(start, "r")
	times.Start(start, "r")
	is.True(times.Estimate(start.Add(time.Minute), "r") < 0.11)
	times.Reset()
	is.Equal(times.Estimate(start.Add(time.Minute), "r"), 0.0)
}
