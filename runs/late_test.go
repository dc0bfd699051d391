package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/wire"
)

// lateKeeper returns a keeper in its second life and that life's second epoch,
// under the leader of term 3, with run 2 at work.
func lateKeeper(t *testing.T) *Reconciler {
	t.Helper()
	k := ready(1)
	k.Reset("life-2")
	k.SetClock(10_000, t0)
	k.ApplyOrders(wire.Orders{Incarnation: "life-2", Epoch: 3, Full: true, Start: []wire.RunOrder{{RunRef: ref(2)}}})
	k.Grant("life-2", 3, whole(t0.Add(5*time.Second)))
	onlyCall(t, k, t0)
	k.HandleStartResult(ref(2), rudderfork.Started, nil, t0)
	checkUntouched(t, k)
	return k
}

// checkUntouched holds that the keeper's run, lease and epoch are those of
// lateKeeper.
func checkUntouched(t *testing.T, k *Reconciler) {
	t.Helper()
	checkNothingDue(t, k, t0.Add(time.Second))
	assert.Equal(t, k.LeaseEnd(), t0.Add(5*time.Second))
	wanted := k.DesiredRuns()
	assert.Equal(t, len(wanted), 1)
	assert.Equal(t, wanted[task].RunRef, ref(2))
}

// TestLateOrders gives a keeper what was meant for an earlier life, an earlier
// epoch, or comes from an earlier leader.
func TestLateOrders(t *testing.T) {
	late := func(life string, epoch uint64, full bool) wire.Orders {
		return wire.Orders{
			Incarnation: life, Epoch: epoch, Full: full,
			Start: []wire.RunOrder{{RunRef: ref(1)}, {RunRef: rudderfork.RunRef{Task: "j.0.0.9", Run: 1}}}, Stop: []rudderfork.RunRef{ref(2)},
		}
	}
	for _, full := range []bool{true, false} {
		for name, o := range map[string]wire.Orders{
			"orders for an earlier life": late("life-1", 1, full), "orders for it in the present epoch": late("life-1", 3, full),
			"orders of an earlier epoch": late("life-2", 2, full),
		} {
			t.Run(name, func(t *testing.T) {
				k := lateKeeper(t)
				k.ApplyOrders(o)
				checkUntouched(t, k)
			})
		}
	}
	t.Run("grants", func(t *testing.T) {
		k := lateKeeper(t)
		k.Grant("life-1", 3, whole(t0.Add(time.Hour)))
		k.Grant("life-2", 2, whole(t0.Add(time.Hour)))
		k.Grant("life-2", 3, whole(t0.Add(time.Second)))
		checkUntouched(t, k)
	})
	t.Run("a leader that has been outranked", func(t *testing.T) {
		k := lateKeeper(t)
		k.SetTerm(2)
		k.ApplyOrders(late("life-2", 3, true))
		k.ApplyOrders(late("life-2", 4, true))
		k.Grant("life-2", 3, whole(t0.Add(time.Hour)))
		checkUntouched(t, k)
		assert.Equal(t, k.FencingToken(), uint64(3))
		t.Run("and then the present one again", func(t *testing.T) {
			k.SetTerm(3)
			k.ApplyOrders(wire.Orders{Incarnation: "life-2", Epoch: 3, Stop: []rudderfork.RunRef{ref(2)}})
			assert.Assert(t, onlyCall(t, k, t0.Add(time.Second)).Start == nil)
		})
	})
	t.Run("answers of the executor about an earlier run", func(t *testing.T) {
		k := lateKeeper(t)
		assert.Assert(t, k.HandleStartResult(ref(1), rudderfork.StartNoRoom, nil, t0) == nil)
		k.HandleStopResult(ref(1), nil, t0)
		checkUntouched(t, k)
	})
}
