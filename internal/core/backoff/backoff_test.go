package backoff_test

import (
	"fmt"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/backoff"
	"github.com/matryer/is"
)

func ExampleBackoff() {
	now := time.Unix(0, 0)
	b := backoff.New(100*time.Millisecond, time.Second)
	fmt.Println(b.Due(now), b.Failing())
	b = b.WithFailure(now)
	fmt.Println(b.Due(now), b.Due(now.Add(150*time.Millisecond)), b.Failing())
	b = b.WithSuccess()
	fmt.Println(b.Due(now), b.Failing())
	// Output:
	// true false
	// false true true
	// true false
}

// Nodes that fail at the same time don't call again together, and none waits for longer
// than one and a half times the longest mean.
func TestDelays(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	const shortest, longest = 100 * time.Millisecond, 400 * time.Millisecond
	for range 1000 {
		b := backoff.New(shortest, longest)
		for _, mean := range []time.Duration{shortest, 2 * shortest, longest, longest} {
			b = b.WithFailure(now)
			is.True(!b.Due(now.Add(mean/2 - 1)))
			is.True(b.Due(now.Add(mean + mean/2)))
		}
	}
}
