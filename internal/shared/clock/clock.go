package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time elapsed since a fixed point in the past.
type Clock func() time.Duration

// Boot returns the time since the machine started. Unlike Go's monotonic time it advances while the machine is suspended. On
// a system without such a clock it returns the monotonic time since the process started.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()
