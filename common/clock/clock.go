// Package clock reads a monotonic clock that includes the time during which the machine is suspended. The monotonic
// clock of the Go runtime stops while suspended, so a lease checked against it would seem valid for too long.
//
// # Usage
//
//	deadline := clock.Now() + 3*time.Second
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspended time. It panics if the kernel lacks this clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39. Without it, lease expiry cannot be checked.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
