// Package clock reads the time since boot. Unlike Go's monotonic clock it keeps
// running while a VM is suspended, and unlike the wall clock it never jumps.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since boot, as a time.Time that can be compared only with other
// results of Now on the same VM.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux since 2.6.39 has CLOCK_BOOTTIME. Without it, fall back to
		// the monotonic clock.
		return time.Unix(0, 0).Add(time.Since(processStart))
	}
	return time.Unix(0, t.Nano())
}

var processStart = time.Now()
