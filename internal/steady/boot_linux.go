package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// sinceBoot returns the time since the system was booted, including the time for which
// it was suspended. Go's monotonic clock leaves that out, but a call of it takes 0.04 µs
// and one of sinceBoot 0.2 µs. Without CLOCK_BOOTTIME it is the time since the start of
// the process.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if !countsSuspension || unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// countsSuspension reports whether the kernel has CLOCK_BOOTTIME. A kernel without it
// does not suspend.
var countsSuspension = func() bool {
	var ts unix.Timespec
	return unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) == nil
}()
