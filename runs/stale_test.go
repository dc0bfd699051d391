package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/wire"
)

// newRestarted returns a reconciler in the second incarnation of its executor, and in epoch 3,
// under the leader of term 3, with run 2 started.
func newRestarted(t *testing.T) *Reconciler {
	t.Helper()
	r := newSynced(1)
	r.Reset("life-2")
	r.SetClock(10_000, t0)
	r.ApplyOrders(wire.Orders{Incarnation: "life-2", Epoch: 3, Full: true, Start: []wire.RunOrder{{RunRef: ref(2)}}})
	r.Grant("life-2", 3, fullLease(t0.Add(5*time.Second)))
	onlyCall(t, r, t0)
	r.HandleStartResult(ref(2), rudderfork.Started, nil, t0)
	checkUnchanged(t, r)
	return r
}

// checkUnchanged checks that the run and the lease are as newRestarted leaves them.
func checkUnchanged(t *testing.T, r *Reconciler) {
	t.Helper()
	checkNoCalls(t, r, t0.Add(time.Second))
	assert.Equal(t, r.LeaseEnd(), t0.Add(5*time.Second))
	desired := r.DesiredRuns()
	assert.Equal(t, len(desired), 1)
	assert.Equal(t, desired[task].RunRef, ref(2))
}

// TestStaleMessages sends a reconciler messages that are for an earlier incarnation or epoch, or
// from an earlier leader: they must change nothing.
func TestStaleMessages(t *testing.T) {
	stale := func(incarnation string, epoch uint64, full bool) wire.Orders {
		return wire.Orders{
			Incarnation: incarnation, Epoch: epoch, Full: full,
			Start: []wire.RunOrder{{RunRef: ref(1)}, {RunRef: rudderfork.RunRef{Task: "j.0.0.9", Run: 1}}}, Stop: []rudderfork.RunRef{ref(2)},
		}
	}
	for _, full := range []bool{true, false} {
		for name, o := range map[string]wire.Orders{
			"orders for an earlier incarnation": stale("life-1", 1, full), "orders for an earlier incarnation in the present epoch": stale("life-1", 3, full),
			"orders of an earlier epoch": stale("life-2", 2, full),
		} {
			t.Run(name, func(t *testing.T) {
				r := newRestarted(t)
				r.ApplyOrders(o)
				checkUnchanged(t, r)
			})
		}
	}
	t.Run("grants", func(t *testing.T) {
		r := newRestarted(t)
		r.Grant("life-1", 3, fullLease(t0.Add(time.Hour)))
		r.Grant("life-2", 2, fullLease(t0.Add(time.Hour)))
		r.Grant("life-2", 3, fullLease(t0.Add(time.Second)))
		checkUnchanged(t, r)
	})
	t.Run("a superseded leader", func(t *testing.T) {
		r := newRestarted(t)
		r.SetTerm(2)
		r.ApplyOrders(stale("life-2", 3, true))
		r.ApplyOrders(stale("life-2", 4, true))
		r.Grant("life-2", 3, fullLease(t0.Add(time.Hour)))
		checkUnchanged(t, r)
		assert.Equal(t, r.FencingToken(), uint64(3))
		t.Run("then the present leader again", func(t *testing.T) {
			r.SetTerm(3)
			r.ApplyOrders(wire.Orders{Incarnation: "life-2", Epoch: 3, Stop: []rudderfork.RunRef{ref(2)}})
			assert.Assert(t, onlyCall(t, r, t0.Add(time.Second)).Start == nil)
		})
	})
	t.Run("results of calls for an earlier run", func(t *testing.T) {
		r := newRestarted(t)
		assert.Assert(t, r.HandleStartResult(ref(1), rudderfork.StartNoCapacity, nil, t0) == nil)
		r.HandleStopResult(ref(1), nil, t0)
		checkUnchanged(t, r)
	})
}
