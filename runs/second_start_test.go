package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/wire"
)

// TestSecondStart has the executor of a keeper start again under its id: its clock, lease,
// room and orders are those of the start before, and so is what comes late for that.
func TestSecondStart(t *testing.T) {
	first, second := rudderfork.IncarnationName("i-1", 1000), rudderfork.IncarnationName("i-1", 2000)
	lease := whole(t0.Add(5 * time.Second))
	k := New()
	k.SetTerm(3)
	begin := func(life string, epoch uint64) {
		k.SetClock(90_000, t0)
		k.ApplyOrders(wire.Orders{Incarnation: life, Epoch: epoch, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		k.Grant(life, epoch, lease)
	}
	k.Reset(first)
	begin(first, 1)
	assert.Equal(t, onlyCall(t, k, t0).Ref, ref(1))

	k.Reset(second)
	k.SetTerm(3)
	t.Run("nothing is wanted there, and nothing granted on its clock", func(t *testing.T) {
		checkNothingDue(t, k, t0)
		_, ok := k.ExecutorLeaseEnd(t0)
		assert.Assert(t, !ok)
		assert.Equal(t, len(k.DesiredRuns()), 0)
	})
	t.Run("late orders and grants for the start before are not taken", func(t *testing.T) {
		k.SetClock(10, t0)
		k.ApplyOrders(wire.Orders{Incarnation: first, Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		k.Grant(first, 1, lease)
		checkNothingDue(t, k, t0)
		assert.Assert(t, k.LeaseEnd().IsZero())
	})
	t.Run("its own are, by its own clock", func(t *testing.T) {
		k.ApplyOrders(wire.Orders{Incarnation: second, Epoch: 2, Full: true, Start: []wire.RunOrder{{RunRef: ref(2)}}})
		k.Grant(second, 2, lease)
		c := onlyCall(t, k, t0)
		assert.Equal(t, c.Ref, ref(2))
		assert.Assert(t, c.Start.UntilMS < 10+5_000, "until %d", c.Start.UntilMS)
	})
}
