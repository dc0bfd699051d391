package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

var processStart = time.Now()

// sinceBoot returns the time since the system was booted, including the time for which
// it was suspended. Go's monotonic clock leaves that out, but a call to it takes 0.04 µs,
// and a call to sinceBoot 0.2 µs. Without CLOCK_BOOTTIME, sinceBoot returns the time since
// the start of the process.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if !countsSuspension || unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// countsSuspension reports whether the kernel has CLOCK_BOOTTIME. A kernel without it
// is assumed not to be suspended.
var countsSuspension = func() bool {
	var ts unix.Timespec
	return unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) == nil
}()
