package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/wire"
)

// TestOverdueStarts checks that an unconfirmed start is reported once, with what it waits for.
func TestOverdueStarts(t *testing.T) {
	late := t0.Add(overdueAfter)
	check := func(t *testing.T, r *Reconciler, reason string) {
		t.Helper()
		r.NextCalls(t0)
		assert.Equal(t, len(r.OverdueStarts(late.Add(-time.Millisecond))), 0)
		assert.DeepEqual(t, r.OverdueStarts(late), []OverdueStart{{ref(1), t0, reason}})
		assert.Equal(t, len(r.OverdueStarts(late)), 0)
	}
	t.Run("unknown clock", func(t *testing.T) {
		r := New()
		r.Reset("life-1")
		r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		check(t, r, "the executor's clock is not known")
	})
	t.Run("no lease", func(t *testing.T) {
		r := newSynced(1)
		r.leaseEnd = t0
		check(t, r, "no lease")
	})
	t.Run("start deadline passed", func(t *testing.T) {
		r := newSynced(1)
		r.startBy = t0
		check(t, r, "no recent word of the leader")
	})
	t.Run("no answer", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), 0, errNoAnswer, t0)
		check(t, r, unanswered)
	})
	t.Run("fenced", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), rudderfork.StartFenced, nil, t0)
		check(t, r, rudderfork.StartFenced.String())
	})
	t.Run("a confirmed start is not overdue", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), rudderfork.Started, nil, t0)
		assert.Equal(t, len(r.OverdueStarts(late)), 0)
	})
}
