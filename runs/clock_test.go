package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClockNeverGoesBack guards against a lease that is computed from an outdated reading of the
// executor's clock.
func TestClockNeverGoesBack(t *testing.T) {
	r := newRestarted(t)
	until, ok := r.ExecutorLeaseEnd(t0)
	assert.Assert(t, ok)
	r.SetClock(9_000, t0.Add(time.Millisecond))
	again, ok := r.ExecutorLeaseEnd(t0.Add(time.Millisecond))
	assert.Assert(t, ok)
	assert.Equal(t, again, until)
}
