// Package clock provides a monotonic clock that includes the time during which the
// machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine was booted, including suspension.
//
// The monotonic clock of time.Now stops during suspension. With that clock, leases would
// not expire and ages would not grow, and an instance that resumes would treat outdated
// state as fresh.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux version that Go supports has this clock.
		panic("clock: can't read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
