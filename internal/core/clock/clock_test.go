package clock_test

import (
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"github.com/matryer/is"
)

// Both readings go forward together.
func TestRecent(t *testing.T) {
	is := is.New(t)
	for range 100 {
		before := clock.Now()
		recent := clock.Recent()
		time.Sleep(100 * time.Microsecond)
		later := clock.Recent()
		after := clock.Now()
		is.True(!recent.Before(before))
		is.True(later.Sub(recent) >= 100*time.Microsecond)
		is.True(!after.Before(later))
		is.True(after.Sub(later) < 50*time.Millisecond)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		clock.Now()
	}
}

func BenchmarkRecent(b *testing.B) {
	for b.Loop() {
		clock.Recent()
	}
}
