package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/wire"
)

// TestNewIncarnationSameID guards against a clock, lease, orders or late messages of the first
// incarnation that are applied to the second, when an executor restarts under the same id.
func TestNewIncarnationSameID(t *testing.T) {
	first, second := rudderfork.IncarnationName("i-1", 1000), rudderfork.IncarnationName("i-1", 2000)
	lease := fullLease(t0.Add(5 * time.Second))
	r := New()
	r.SetTerm(3)
	sync := func(incarnation string, epoch uint64) {
		r.SetClock(90_000, t0)
		r.ApplyOrders(wire.Orders{Incarnation: incarnation, Epoch: epoch, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		r.Grant(incarnation, epoch, lease)
	}
	r.Reset(first)
	sync(first, 1)
	assert.Equal(t, onlyCall(t, r, t0).Ref, ref(1))

	r.Reset(second)
	r.SetTerm(3)
	t.Run("it has no orders and no lease", func(t *testing.T) {
		checkNoCalls(t, r, t0)
		_, ok := r.ExecutorLeaseEnd(t0)
		assert.Assert(t, !ok)
		assert.Equal(t, len(r.DesiredRuns()), 0)
	})
	t.Run("late orders and grants for the first incarnation are ignored", func(t *testing.T) {
		r.SetClock(10, t0)
		r.ApplyOrders(wire.Orders{Incarnation: first, Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		r.Grant(first, 1, lease)
		checkNoCalls(t, r, t0)
		assert.Assert(t, r.LeaseEnd().IsZero())
	})
	t.Run("its own orders and grants count, by its own clock", func(t *testing.T) {
		r.ApplyOrders(wire.Orders{Incarnation: second, Epoch: 2, Full: true, Start: []wire.RunOrder{{RunRef: ref(2)}}})
		r.Grant(second, 2, lease)
		c := onlyCall(t, r, t0)
		assert.Equal(t, c.Ref, ref(2))
		assert.Assert(t, c.Start.UntilMS < 10+5_000, "until %d", c.Start.UntilMS)
	})
}
