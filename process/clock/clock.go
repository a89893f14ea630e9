// Package clock reads time that goes on while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the time since the machine started, suspension included.
//
// It guards against leases and ages that stand still with a suspended machine:
// the monotonic clock that time.Now carries does not count that time. It shows
// as an instance that wakes and takes what it knew seconds ago for fresh. It
// holds because this clock counts the suspension too.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every kernel that Go runs on has this clock.
		panic("clock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(now.Nano())
}
