package poll_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/poll"
	"github.com/matryer/is"
)

// Calls follow each other while they are due, also after one that failed.
func TestLoop(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	failure := errors.New("store is away")
	checks, results := 0, []error{failure, nil}
	var ended []error
	poll.Loop(ctx,
		func(time.Time) bool { checks++; return checks > 1 },
		func(context.Context) error { return results[len(ended)] },
		func(_ time.Time, err error) {
			if ended = append(ended, err); len(ended) == len(results) {
				cancel()
			}
		})
	is.Equal(ended, results)
	is.Equal(checks, 3)
}
