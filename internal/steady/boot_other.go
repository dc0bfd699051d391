//go:build !linux

package steady

import "time"

var processStart = time.Now()

// sinceBoot returns the time since the start of the process, by Go's monotonic clock.
func sinceBoot() time.Duration { return time.Since(processStart) }
