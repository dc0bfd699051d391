package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// TestClosed holds what becomes of orders once control has nothing more started on the VM.
func TestClosed(t *testing.T) {
	closing := wire.Orders{Incarnation: "life-1", Epoch: 1, Cordoned: true}
	t.Run("a start that was not called is refused", func(t *testing.T) {
		k := ready(1)
		k.ApplyOrders(closing)
		calls, ends := k.NextCalls(t0)
		assert.Equal(t, len(calls), 0)
		checkEnds(t, ends, queue.OutcomeRefused)
		assert.Equal(t, ends[0].Reason, ReasonClosed)
	})
	t.Run("a grant closes too, and opens again", func(t *testing.T) {
		k := ready(1)
		k.Grant("life-1", 1, Lease{Until: t0.Add(5 * time.Second), StartBy: t0.Add(5 * time.Second), Closed: true})
		_, ends := k.NextCalls(t0)
		checkEnds(t, ends, queue.OutcomeRefused)
		k.Grant("life-1", 1, whole(t0.Add(6*time.Second)))
		k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Start: []wire.RunOrder{{RunRef: ref(2)}}})
		assert.Assert(t, onlyCall(t, k, t0).Start != nil)
	})
	t.Run("what runs is not stopped", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), rudderfork.Started, nil, t0)
		k.ApplyOrders(closing)
		checkNothingDue(t, k, t0.Add(time.Second))
		checkEnds(t, k.HandleStatus(listed(1), t0.Add(time.Second)))
		checkNothingDue(t, k, t0.Add(time.Second))
	})
	t.Run("a start without an answer is not called again: the account tells that it runs", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), 0, errLost, t0)
		k.ApplyOrders(closing)
		checkNothingDue(t, k, t0.Add(time.Second))
		checkEnds(t, k.HandleStatus(listed(1), t0.Add(time.Second)))
		checkNothingDue(t, k, t0.Add(time.Second))
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(2*time.Second)), queue.OutcomeLost)
	})
	t.Run("or that it does not, and then it is kept from beginning", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), 0, errLost, t0)
		k.ApplyOrders(closing)
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(time.Second)))
		assert.Assert(t, onlyCall(t, k, t0.Add(time.Second)).Start == nil)
	})
	t.Run("so too for what an agent before this one may have started", func(t *testing.T) {
		k := New()
		k.Reset("life-1")
		k.SetTerm(3)
		k.SetClock(10_000, t0)
		k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Cordoned: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		k.Grant("life-1", 1, Lease{Until: t0.Add(5 * time.Second), StartBy: t0.Add(5 * time.Second), Closed: true})
		checkNothingDue(t, k, t0)
		checkEnds(t, k.HandleStatus(listed(1), t0))
		checkNothingDue(t, k, t0)
	})
}

// TestStartBy holds that a VM which hears nothing more of control starts nothing, long
// before its lease ends.
func TestStartBy(t *testing.T) {
	k := ready()
	k.Grant("life-1", 1, Lease{Until: t0.Add(6 * time.Second), StartBy: t0.Add(5 * time.Second)})
	k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Start: []wire.RunOrder{{RunRef: ref(1)}}})
	checkNothingDue(t, k, t0.Add(5*time.Second))
	_, leased := k.ExecutorLeaseEnd(t0.Add(5 * time.Second))
	assert.Assert(t, leased)
	k.Grant("life-1", 1, whole(t0.Add(7*time.Second)))
	assert.Assert(t, onlyCall(t, k, t0.Add(5*time.Second)).Start != nil)
}
