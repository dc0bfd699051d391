package runs

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

var (
	t0          = time.Unix(1000, 0)
	errNoAnswer = errors.New("no answer")
)

const task = rudderfork.TaskID("j.0.0.0")

func ref(run uint32) rudderfork.RunRef { return rudderfork.RunRef{Task: task, Run: run} }

// fullLease returns a lease that allows starts until its end.
func fullLease(until time.Time) Lease { return Lease{Until: until, StartBy: until} }

// newSynced returns a reconciler in its first epoch, with a lease of 5 s and a known clock. The
// runs are ordered after the full list, so that no earlier agent can have started them.
func newSynced(starts ...uint32) *Reconciler {
	r := New()
	r.Reset("life-1")
	r.SetTerm(3)
	r.SetClock(10_000, t0)
	r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true})
	for _, run := range starts {
		r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Start: []wire.RunOrder{{RunRef: ref(run), Payload: "p"}}})
	}
	r.Grant("life-1", 1, fullLease(t0.Add(5*time.Second)))
	return r
}

// onlyCall returns the single call that is due.
func onlyCall(t *testing.T, r *Reconciler, now time.Time) Call {
	t.Helper()
	calls, ends := r.NextCalls(now)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, len(ends), 0)
	return calls[0]
}

func checkNoCalls(t *testing.T, r *Reconciler, now time.Time) {
	t.Helper()
	calls, ends := r.NextCalls(now)
	assert.Equal(t, len(calls)+len(ends), 0, "%v %v", calls, ends)
}

func checkEnds(t *testing.T, got []queue.End, want ...queue.Outcome) {
	t.Helper()
	assert.Equal(t, len(got), len(want), "%v", got)
	for i, outcome := range want {
		assert.Equal(t, got[i].Outcome, outcome)
	}
}

// TestLeaseChain guards against runs that outlive the leader's grant: because the lease ends too late
// on the executor's clock, or because a grant is accepted that is not for this VM's present state.
func TestLeaseChain(t *testing.T) {
	r := newSynced()
	until, ok := r.ExecutorLeaseEnd(t0)
	assert.Assert(t, ok)
	// A clock that runs 2% slow from 10,000 on reaches the end no later than after 5 s.
	assert.Assert(t, until <= 10_000+4_900, "the lease ends at %d on the executor's clock", until)
	assert.Assert(t, until > 10_000+4_800, "the lease ends at %d on the executor's clock", until)
	t.Run("a grant for another epoch is ignored", func(t *testing.T) {
		r.Grant("life-1", 2, fullLease(t0.Add(time.Hour)))
		assert.Equal(t, r.LeaseEnd(), t0.Add(5*time.Second))
	})
	t.Run("a grant for another incarnation is ignored", func(t *testing.T) {
		r.Grant("life-0", 1, fullLease(t0.Add(time.Hour)))
		assert.Equal(t, r.LeaseEnd(), t0.Add(5*time.Second))
	})
	t.Run("a grant never shortens the lease", func(t *testing.T) {
		r.Grant("life-1", 1, fullLease(t0.Add(time.Second)))
		assert.Equal(t, r.LeaseEnd(), t0.Add(5*time.Second))
	})
	t.Run("nothing starts without a lease", func(t *testing.T) {
		r := newSynced(1)
		checkNoCalls(t, r, t0.Add(4900*time.Millisecond))
	})
	t.Run("nothing starts without the executor's clock", func(t *testing.T) {
		r := New()
		r.Reset("life-1")
		r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		r.Grant("life-1", 1, fullLease(t0.Add(5*time.Second)))
		checkNoCalls(t, r, t0)
	})
}

// TestStart guards against starts that are not retried although they were not answered, and against
// starts that are sent again after they were confirmed.
func TestStart(t *testing.T) {
	r := newSynced(1)
	c := onlyCall(t, r, t0)
	assert.Equal(t, c.Start.Fence, uint64(3))
	assert.Equal(t, c.Start.Payload, "p")
	checkNoCalls(t, r, t0)
	t.Run("an unanswered start is retried", func(t *testing.T) {
		assert.Assert(t, r.HandleStartResult(ref(1), 0, errNoAnswer, t0) == nil)
		checkNoCalls(t, r, t0)
		at, ok := r.NextRetry()
		assert.Assert(t, ok)
		assert.Assert(t, onlyCall(t, r, at).Start != nil)
	})
	t.Run("a confirmed start is not retried", func(t *testing.T) {
		assert.Assert(t, r.HandleStartResult(ref(1), rudderfork.Started, nil, t0.Add(time.Second)) == nil)
		checkNoCalls(t, r, t0.Add(2*time.Second))
	})
}

// TestRefused checks when a run that is refused counts as ended. It must not while an earlier,
// unanswered start of it may still be carried out.
func TestRefused(t *testing.T) {
	t.Run("a run whose first start is refused has ended", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		end := r.HandleStartResult(ref(1), rudderfork.StartNoCapacity, nil, t0)
		checkEnds(t, []queue.End{*end}, queue.OutcomeRefused)
		checkNoCalls(t, r, t0.Add(time.Second))
	})
	t.Run("after an unanswered start, a refused run is stopped before it counts as ended", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), 0, errNoAnswer, t0)
		onlyCall(t, r, t0.Add(time.Second))
		assert.Assert(t, r.HandleStartResult(ref(1), rudderfork.StartNoCapacity, nil, t0.Add(time.Second)) == nil)
		assert.Assert(t, onlyCall(t, r, t0.Add(time.Second)).Start == nil)
		r.HandleStopResult(ref(1), nil, t0.Add(2*time.Second))
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(1900*time.Millisecond)))
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(2100*time.Millisecond)), queue.OutcomeLost)
	})
	t.Run("a draining executor is sent no starts", func(t *testing.T) {
		r := newSynced(1)
		r.SetDraining(true)
		calls, ends := r.NextCalls(t0)
		assert.Equal(t, len(calls), 0)
		checkEnds(t, ends, queue.OutcomeRefused)
	})
	t.Run("a start that came too late is retried with a newer lease", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		assert.Assert(t, r.HandleStartResult(ref(1), rudderfork.StartExpired, nil, t0) == nil)
		assert.Assert(t, onlyCall(t, r, t0.Add(time.Second)).Start != nil)
	})
}

// TestHandleStatus checks which ends are reported and which runs are stopped because of the runs that
// a poll lists.
func TestHandleStatus(t *testing.T) {
	running := func(run uint32) rudderfork.ExecutorStatus {
		return rudderfork.ExecutorStatus{Running: []rudderfork.RunStatus{{RunRef: ref(run)}}}
	}
	t.Run("a run that is no longer listed is lost, if the poll was sent after its start", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), rudderfork.Started, nil, t0.Add(time.Second))
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0))
		checkEnds(t, r.HandleStatus(running(1), t0.Add(2*time.Second)))
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(3*time.Second)), queue.OutcomeLost)
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(4*time.Second)))
	})
	t.Run("ends are reported until the leader has committed them", func(t *testing.T) {
		r := newSynced(1)
		status := rudderfork.ExecutorStatus{Ended: []rudderfork.EndedRun{{Seq: 1, RunRef: ref(1), Outcome: "done"}}}
		for range 2 {
			checkEnds(t, r.HandleStatus(status, t0), queue.OutcomeDone)
		}
		r.ForgetEnded([]queue.End{{Task: queue.TaskKey{Job: "j"}, Run: 1}})
		assert.Equal(t, len(r.DesiredRuns()), 0)
	})
	t.Run("a run without an order is stopped once the full list was received", func(t *testing.T) {
		r := New()
		r.Reset("life-1")
		r.SetClock(1, t0)
		r.HandleStatus(running(7), t0)
		checkNoCalls(t, r, t0)
		r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true})
		r.HandleStatus(running(7), t0)
		c := onlyCall(t, r, t0)
		assert.Equal(t, c.Ref, ref(7))
		assert.Assert(t, c.Start == nil)
		r.HandleStopResult(ref(7), errNoAnswer, t0)
		assert.Assert(t, onlyCall(t, r, t0.Add(time.Second)).Start == nil)
	})
	t.Run("another run of an ordered task is stopped", func(t *testing.T) {
		r := newSynced(2)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(2), 0, errNoAnswer, t0)
		r.HandleStatus(running(1), t0)
		c := onlyCall(t, r, t0)
		assert.Equal(t, c.Ref, ref(1))
		assert.Assert(t, c.Start == nil)
	})
}

// statusOf returns a status that lists running runs.
func statusOf(runs ...uint32) (status rudderfork.ExecutorStatus) {
	for _, run := range runs {
		status.Running = append(status.Running, rudderfork.RunStatus{RunRef: ref(run)})
	}
	return status
}

// checkStops checks that the only call due is a stop of the run.
func checkStops(t *testing.T, r *Reconciler, run uint32, now time.Time) {
	t.Helper()
	c := onlyCall(t, r, now)
	assert.Equal(t, c.Ref, ref(run))
	assert.Assert(t, c.Start == nil, "run %d is started", run)
}

// TestDelayedStart guards against runs that go on because a delayed start was carried out after
// the run was stopped or its end reported.
func TestDelayedStart(t *testing.T) {
	stopOrder := wire.Orders{Incarnation: "life-1", Epoch: 1, Stop: []rudderfork.RunRef{ref(1)}}
	t.Run("a run that starts after its stop was confirmed is stopped again", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), 0, errNoAnswer, t0)
		r.ApplyOrders(stopOrder)
		checkStops(t, r, 1, t0.Add(time.Second))
		r.HandleStopResult(ref(1), nil, t0.Add(time.Second))
		checkNoCalls(t, r, t0.Add(time.Second))
		checkEnds(t, r.HandleStatus(statusOf(1), t0.Add(2*time.Second)))
		checkStops(t, r, 1, t0.Add(2*time.Second))
	})
	t.Run("the stop is not sent again within stopGrace", func(t *testing.T) {
		r := newSynced(1)
		r.ApplyOrders(stopOrder)
		checkStops(t, r, 1, t0)
		r.HandleStopResult(ref(1), nil, t0)
		polledAt := t0.Add(stopGrace)
		checkEnds(t, r.HandleStatus(statusOf(1), polledAt))
		checkNoCalls(t, r, polledAt)
		polledAt = polledAt.Add(time.Millisecond)
		checkEnds(t, r.HandleStatus(statusOf(1), polledAt))
		checkStops(t, r, 1, polledAt)
	})
	t.Run("the stop of a run without an order is not sent again within stopGrace", func(t *testing.T) {
		r := newSynced()
		r.HandleStatus(statusOf(1), t0)
		checkStops(t, r, 1, t0)
		r.HandleStopResult(ref(1), nil, t0)
		r.HandleStatus(statusOf(1), t0.Add(stopGrace))
		checkNoCalls(t, r, t0.Add(stopGrace))
		r.HandleStatus(statusOf(1), t0.Add(time.Second))
		checkStops(t, r, 1, t0.Add(time.Second))
		r.HandleStopResult(ref(1), nil, t0.Add(time.Second))
		r.HandleStatus(statusOf(), t0.Add(2*time.Second))
		assert.Equal(t, len(r.orphans), 0)
	})
	t.Run("a poll that was sent before the stop was confirmed does not repeat the stop", func(t *testing.T) {
		r := newSynced(1)
		r.ApplyOrders(stopOrder)
		checkStops(t, r, 1, t0)
		r.HandleStopResult(ref(1), nil, t0.Add(time.Second))
		checkEnds(t, r.HandleStatus(statusOf(1), t0))
		checkNoCalls(t, r, t0.Add(time.Second))
	})
	t.Run("a run that starts after its end was reported is stopped, whether or not the end is committed", func(t *testing.T) {
		r := newSynced(1)
		r.ApplyOrders(stopOrder)
		checkStops(t, r, 1, t0)
		r.HandleStopResult(ref(1), nil, t0)
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(time.Second)), queue.OutcomeLost)
		checkEnds(t, r.HandleStatus(statusOf(1), t0.Add(2*time.Second)))
		checkStops(t, r, 1, t0.Add(2*time.Second))
		r.HandleStopResult(ref(1), nil, t0.Add(2*time.Second))
		r.ForgetEnded([]queue.End{{Task: queue.TaskKey{Job: "j"}, Run: 1}})
		r.HandleStatus(statusOf(1), t0.Add(3*time.Second))
		checkStops(t, r, 1, t0.Add(3*time.Second))
	})
	t.Run("an unanswered stop is retried until it is answered", func(t *testing.T) {
		r := newSynced(1)
		r.ApplyOrders(stopOrder)
		now := t0
		for range 5 {
			checkStops(t, r, 1, now)
			r.HandleStopResult(ref(1), errNoAnswer, now)
			at, ok := r.NextRetry()
			assert.Assert(t, ok)
			now = at
		}
	})
	t.Run("no retry is planned while a call is under way", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), 0, errNoAnswer, t0)
		onlyCall(t, r, t0.Add(time.Second))
		_, ok := r.NextRetry()
		assert.Assert(t, !ok)
	})
}

// TestEarlierAgent guards against a run that counts as ended although a start that an earlier agent
// sent may still be carried out. A new agent gets the orders of its predecessor.
func TestEarlierAgent(t *testing.T) {
	fullList := func() *Reconciler {
		r := New()
		r.Reset("life-1")
		r.SetClock(10_000, t0)
		r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		r.Grant("life-1", 1, fullLease(t0.Add(5*time.Second)))
		return r
	}
	t.Run("a refused run is stopped before it counts as ended", func(t *testing.T) {
		r := fullList()
		onlyCall(t, r, t0)
		assert.Assert(t, r.HandleStartResult(ref(1), rudderfork.StartNoCapacity, nil, t0) == nil)
		checkStops(t, r, 1, t0)
		r.HandleStopResult(ref(1), nil, t0)
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(time.Second)), queue.OutcomeLost)
	})
	again := wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}}
	for _, why := range []rudderfork.StartOutcome{rudderfork.StartTicketInvalid, rudderfork.StartNoCapacity} {
		t.Run("in a later session with the same leader a refused run has ended at once: "+why.String(), func(t *testing.T) {
			r := newSynced()
			r.SetTerm(3)
			r.ApplyOrders(again)
			onlyCall(t, r, t0)
			end := r.HandleStartResult(ref(1), why, nil, t0)
			assert.Assert(t, end != nil)
			checkEnds(t, []queue.End{*end}, queue.OutcomeRefused)
			checkNoCalls(t, r, t0.Add(time.Second))
		})
	}
	t.Run("with a later leader it is stopped first, since the earlier one may have been superseded", func(t *testing.T) {
		r := newSynced()
		r.SetTerm(4)
		r.ApplyOrders(again)
		onlyCall(t, r, t0)
		assert.Assert(t, r.HandleStartResult(ref(1), rudderfork.StartNoCapacity, nil, t0) == nil)
		checkStops(t, r, 1, t0)
	})
	t.Run("it is stopped first if the incarnation was given up and recognized again", func(t *testing.T) {
		r := newSynced()
		r.Reset("")
		r.Reset("life-1")
		r.SetClock(10_000, t0)
		r.ApplyOrders(again)
		r.Grant("life-1", 1, fullLease(t0.Add(5*time.Second)))
		onlyCall(t, r, t0)
		assert.Assert(t, r.HandleStartResult(ref(1), rudderfork.StartNoCapacity, nil, t0) == nil)
		checkStops(t, r, 1, t0)
	})
	t.Run("a run that a draining executor is not sent is stopped", func(t *testing.T) {
		r := fullList()
		r.SetDraining(true)
		checkStops(t, r, 1, t0)
	})
	t.Run("a run that is to stop is not started", func(t *testing.T) {
		r := fullList()
		r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Stop: []rudderfork.RunRef{ref(1)}})
		checkStops(t, r, 1, t0)
	})
	t.Run("a run without an order is stopped once it is listed", func(t *testing.T) {
		r := fullList()
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), rudderfork.Started, nil, t0)
		other := rudderfork.RunRef{Task: "j.0.0.1", Run: 1}
		r.HandleStatus(rudderfork.ExecutorStatus{Running: []rudderfork.RunStatus{{RunRef: ref(1)}, {RunRef: other}}}, t0.Add(time.Second))
		c := onlyCall(t, r, t0.Add(time.Second))
		assert.Equal(t, c.Ref, other)
		assert.Assert(t, c.Start == nil)
	})
}

// TestEpochs guards against orders and leases of an earlier epoch or incarnation, whose runs the
// leader counts as ended.
func TestEpochs(t *testing.T) {
	r := newSynced(1)
	onlyCall(t, r, t0)
	r.HandleStartResult(ref(1), rudderfork.Started, nil, t0)
	r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 2, Full: true})
	t.Run("the lease of the old epoch is dropped", func(t *testing.T) {
		_, ok := r.ExecutorLeaseEnd(t0)
		assert.Assert(t, !ok)
	})
	t.Run("a run that the new full list leaves out is stopped, and its end is not reported", func(t *testing.T) {
		c := onlyCall(t, r, t0)
		assert.Assert(t, c.Start == nil)
		r.HandleStopResult(ref(1), nil, t0)
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(time.Second)))
	})
	t.Run("orders for another incarnation are ignored", func(t *testing.T) {
		// Otherwise runs that count as ended start again if the executor crashes while the
		// orders are under way.
		r := newSynced()
		r.Reset("life-2")
		r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		assert.Equal(t, len(r.DesiredRuns()), 0)
	})
	t.Run("orders of the old epoch are ignored", func(t *testing.T) {
		r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Start: []wire.RunOrder{{RunRef: ref(2)}}})
		assert.Equal(t, len(r.DesiredRuns()), 0)
	})
}

// TestStopBeforeStart guards against starting a run that the leader has ordered to stop before its
// start was sent.
func TestStopBeforeStart(t *testing.T) {
	r := newSynced(1)
	r.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Stop: []rudderfork.RunRef{ref(1)}})
	c := onlyCall(t, r, t0)
	assert.Assert(t, c.Start == nil, "a run that was never sent is not started")
	r.HandleStopResult(ref(1), nil, t0)
	checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(time.Second)), queue.OutcomeLost)
}
