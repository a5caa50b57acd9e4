// Package clock reads a steady clock that goes on while the machine is suspended.
// The monotonic clock of the runtime stands still during that time, so that a lease judged by it would seem valid for too long.
//
// # Usage
//
//	deadline := clock.Now() + 3*time.Second
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, with the time that it was suspended.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be judged.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
