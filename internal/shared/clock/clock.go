package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed moment in the past.
type Clock func() time.Duration

// Boot returns the time since the machine started; unlike Go's monotonic time it goes on while the machine is suspended.
// Where the system has no such clock, the steady clock stands in.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
