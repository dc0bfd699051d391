// Package steady provides a wall clock that does not follow steps of the system's
// clock while the process runs, and that advances while the system is suspended.
package steady

import (
	"context"
	"time"
)

// clock returns the time since a fixed moment. It must advance while the system is
// suspended: a lease also expires by the clocks of other processes, which advance meanwhile.
type clock func() time.Duration

// Clock is a wall clock: the system's wall time at its start plus the time since.
type Clock struct {
	wall  time.Time
	start time.Duration
	since clock
}

var process = newClock(time.Now(), sinceBoot)

func newClock(wall time.Time, since clock) *Clock {
	return &Clock{wall: wall.Round(0), start: since(), since: since}
}

// Now returns the wall time at the clock's start plus the time since.
func (c *Clock) Now() time.Time { return c.wall.Add(c.since() - c.start) }

// Now returns the wall time at the start of the process plus the time since, including
// the time for which the system was suspended. The result has no monotonic reading, so
// it can be compared with times that were stored or received.
func Now() time.Time { return process.Now() }

// Pause waits until d has passed or ctx has ended.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
