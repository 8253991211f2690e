// Package poll makes calls to the store whenever they are due.
package poll

import (
	"context"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/clock"
	"chestnutshed.example/chestnutshed/internal/core/kernel"
)

const (
	// CallTimeout is the timeout of a call, in addition to the time that it asks the store to
	// wait for changes.
	CallTimeout = 1200 * time.Millisecond
	// checkInterval is how often it is checked whether a call is due.
	checkInterval = 100 * time.Millisecond
)

// Loop makes a call whenever one is due, until ctx ends. Ended is told its error, nil after a
// success.
func Loop(ctx context.Context, due func(now time.Time) bool, call func(ctx context.Context) error, ended func(now time.Time, err error)) {
	for ctx.Err() == nil {
		if !due(clock.Now()) {
			kernel.Pause(ctx, checkInterval)
			continue
		}
		err := call(ctx)
		ended(clock.Now(), err)
	}
}
