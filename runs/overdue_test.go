package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/wire"
)

// TestOverdue tells, once, what a start that is not confirmed waits for.
func TestOverdue(t *testing.T) {
	late := t0.Add(overdueAfter)
	check := func(t *testing.T, k *Reconciler, reason string) {
		t.Helper()
		k.NextCalls(t0)
		assert.Equal(t, len(k.OverdueStarts(late.Add(-time.Millisecond))), 0)
		assert.DeepEqual(t, k.OverdueStarts(late), []OverdueStart{{ref(1), t0, reason}})
		assert.Equal(t, len(k.OverdueStarts(late)), 0)
	}
	t.Run("no clock", func(t *testing.T) {
		k := New()
		k.Reset("life-1")
		k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		check(t, k, "the executor's clock is not known")
	})
	t.Run("no lease", func(t *testing.T) {
		k := ready(1)
		k.grant = t0
		check(t, k, "no lease")
	})
	t.Run("no word of the leader", func(t *testing.T) {
		k := ready(1)
		k.startBy = t0
		check(t, k, "no recent word of the leader")
	})
	t.Run("no answer", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), 0, errLost, t0)
		check(t, k, unanswered)
	})
	t.Run("fenced", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), rudderfork.StartFenced, nil, t0)
		check(t, k, rudderfork.StartFenced.String())
	})
	t.Run("a confirmed start is not overdue", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), rudderfork.Started, nil, t0)
		assert.Equal(t, len(k.OverdueStarts(late)), 0)
	})
}
