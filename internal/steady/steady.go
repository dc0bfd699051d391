// Package steady gives a wall clock that a step of the system's clock cannot
// turn back while the process runs.
package steady

import (
	"context"
	"time"
)

var start = time.Now()

// Now returns the wall time at the start of the process plus the monotonic
// time since. The result carries no monotonic reading, so it can be compared
// with times that were stored or received.
func Now() time.Time { return start.Round(0).Add(time.Since(start)) }

// Pause waits until d has passed or ctx has ended.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
