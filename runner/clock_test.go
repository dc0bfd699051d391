package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/wire"
)

// TestAccountBehindClock guards against a run that is taken for gone by an account from before it.
func TestAccountBehindClock(t *testing.T) {
	run := rudderfork.RunRef{Task: "5c0e7a21d94b36f8.0.0.0", Run: 1}
	a := newTestAgent()
	describe(a, firstInc, false, 0)
	a.reconciler.ApplyOrders(wire.Orders{Incarnation: firstInc, Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: run}}})
	look := func(clockMS int64, running ...rudderfork.RunStatus) {
		a.handleStatus(t.Context(), firstInc, rudderfork.ExecutorStatus{ClockMS: clockMS, Running: running}, time.Now())
	}
	look(80_000)
	a.reconciler.HandleStartResult(run, rudderfork.Started, nil, time.Now())
	look(90_000, rudderfork.RunStatus{RunRef: run})
	seen := a.lastStatusAt
	look(80_000)
	assert.Equal(t, a.lastStatusAt, seen, "it is no sign of life")
	assert.Equal(t, len(a.reports), 0)
	assert.Equal(t, len(a.rows), 1)
	look(90_001)
	assert.Equal(t, len(a.reports), 1)
}
