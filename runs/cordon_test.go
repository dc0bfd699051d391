package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// TestCordon checks what becomes of orders on a VM on which the leader allows no new starts.
func TestCordon(t *testing.T) {
	cordon := wire.Orders{Incarnation: "life-1", Epoch: 1, Cordoned: true}
	t.Run("a start that was not sent is refused", func(t *testing.T) {
		r := newSynced(1)
		r.ApplyOrders(cordon)
		calls, ends := r.NextCalls(t0)
		assert.Equal(t, len(calls), 0)
		checkEnds(t, ends, queue.OutcomeRefused)
		assert.Equal(t, ends[0].Reason, ReasonCordoned)
	})
	t.Run("a grant cordons the VM too, and a later one lifts it", func(t *testing.T) {
		r := newSynced(1)
		r.Grant("life-1", 1, Lease{Until: t0.Add(5 * time.Second), StartBy: t0.Add(5 * time.Second), Cordoned: true})
		_, ends := r.NextCalls(t0)
		checkEnds(t, ends, queue.OutcomeRefused)
		r.Grant("life-1", 1, fullLease(t0.Add(6*time.Second)))
		r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Start: []wire.RunOrder{{RunRef: ref(2)}}})
		assert.Assert(t, onlyCall(t, r, t0).Start != nil)
	})
	t.Run("what runs is not stopped", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), rudderfork.Started, nil, t0)
		r.ApplyOrders(cordon)
		checkNoCalls(t, r, t0.Add(time.Second))
		checkEnds(t, r.HandleStatus(statusOf(1), t0.Add(time.Second)))
		checkNoCalls(t, r, t0.Add(time.Second))
	})
	t.Run("a run whose start was not answered is kept if a poll lists it", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), 0, errNoAnswer, t0)
		r.ApplyOrders(cordon)
		checkNoCalls(t, r, t0.Add(time.Second))
		checkEnds(t, r.HandleStatus(statusOf(1), t0.Add(time.Second)))
		checkNoCalls(t, r, t0.Add(time.Second))
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(2*time.Second)), queue.OutcomeLost)
	})
	t.Run("a run whose start was not answered is stopped if a poll does not list it", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), 0, errNoAnswer, t0)
		r.ApplyOrders(cordon)
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(time.Second)))
		assert.Assert(t, onlyCall(t, r, t0.Add(time.Second)).Start == nil)
	})
	t.Run("a run that an earlier agent may have started is kept if a poll lists it", func(t *testing.T) {
		r := New()
		r.Reset("life-1")
		r.SetTerm(3)
		r.SetClock(10_000, t0)
		r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Cordoned: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		r.Grant("life-1", 1, Lease{Until: t0.Add(5 * time.Second), StartBy: t0.Add(5 * time.Second), Cordoned: true})
		checkNoCalls(t, r, t0)
		checkEnds(t, r.HandleStatus(statusOf(1), t0))
		checkNoCalls(t, r, t0)
	})
}

// TestStartDeadline checks that a VM that is cut off from the leader sends no starts after the
// deadline of its last grant, although its lease is still valid.
func TestStartDeadline(t *testing.T) {
	r := newSynced()
	r.Grant("life-1", 1, Lease{Until: t0.Add(6 * time.Second), StartBy: t0.Add(5 * time.Second)})
	r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Start: []wire.RunOrder{{RunRef: ref(1)}}})
	checkNoCalls(t, r, t0.Add(5*time.Second))
	_, leased := r.ExecutorLeaseEnd(t0.Add(5 * time.Second))
	assert.Assert(t, leased)
	r.Grant("life-1", 1, fullLease(t0.Add(7*time.Second)))
	assert.Assert(t, onlyCall(t, r, t0.Add(5*time.Second)).Start != nil)
}
