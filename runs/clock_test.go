package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClockBehind guards against a lease by a clock that is behind what the life has shown.
func TestClockBehind(t *testing.T) {
	k := lateKeeper(t)
	until, ok := k.ExecutorLeaseEnd(t0)
	assert.Assert(t, ok)
	k.SetClock(9_000, t0.Add(time.Millisecond))
	again, ok := k.ExecutorLeaseEnd(t0.Add(time.Millisecond))
	assert.Assert(t, ok)
	assert.Equal(t, again, until)
}
