// Package clock tells the time since boot, which goes on while a VM is
// suspended and never jumps, unlike Go's monotonic clock and the time of day.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// reading is a time since boot and the monotonic clock at that moment.
type reading struct {
	boot, monotonic time.Time
}

var (
	started = time.Now()
	last    atomic.Pointer[reading]
)

// Now is the time since boot, as a time that can only be compared with other
// results of this package on the same VM. It costs a system call.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux since 2.6.39 has the clock; without it the monotonic one
		// is the nearest.
		return time.Unix(0, 0).Add(time.Since(started))
	}
	now := time.Unix(0, t.Nano())
	last.Store(&reading{now, time.Now()})
	return now
}

// Recent is the time of the last Now and what has passed since, without a
// system call. It misses a suspension since then, so that leases, ages of keys
// and deadlines of new requests need Now.
func Recent() time.Time {
	r := last.Load()
	if r == nil {
		return Now()
	}
	return r.boot.Add(time.Since(r.monotonic))
}
