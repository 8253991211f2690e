// Package clock tells the time since boot, which goes on while a VM is
// suspended and never jumps, unlike Go's monotonic clock and the time of day.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the time since boot, as a time that can only be compared with other
// results of Now on the same VM.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux since 2.6.39 has the clock; without it the monotonic one
		// is the nearest.
		return time.Unix(0, 0).Add(time.Since(started))
	}
	return time.Unix(0, t.Nano())
}

var started = time.Now()
