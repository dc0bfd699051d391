package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/wire"
)

// TestStatusBehindClock guards against a run that is reported as lost because a late status, which
// was made before the run started, does not list it.
func TestStatusBehindClock(t *testing.T) {
	run := rudderfork.RunRef{Task: "5c0e7a21d94b36f8.0.0.0", Run: 1}
	a := newTestAgent()
	describe(a, firstInc, false, 0)
	a.reconciler.ApplyOrders(wire.Orders{Incarnation: firstInc, Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: run}}})
	handle := func(clockMS int64, running ...rudderfork.RunStatus) {
		a.handleStatus(t.Context(), firstInc, rudderfork.ExecutorStatus{ClockMS: clockMS, Running: running}, time.Now())
	}
	handle(80_000)
	a.reconciler.HandleStartResult(run, rudderfork.Started, nil, time.Now())
	handle(90_000, rudderfork.RunStatus{RunRef: run})
	seen := a.lastStatusAt
	handle(80_000)
	assert.Equal(t, a.lastStatusAt, seen, "a stale status counts as an answer")
	assert.Equal(t, len(a.reports), 0)
	assert.Equal(t, len(a.runStatuses), 1)
	handle(90_001)
	assert.Equal(t, len(a.reports), 1)
}
