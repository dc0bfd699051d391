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
	t0      = time.Unix(1000, 0)
	errLost = errors.New("no answer")
)

const task = rudderfork.TaskID("j.0.0.0")

func ref(run uint32) rudderfork.RunRef { return rudderfork.RunRef{Task: task, Run: run} }

// whole is a lease for all of which starts may be made.
func whole(until time.Time) Lease { return Lease{Until: until, StartBy: until} }

// ready returns a keeper in its first epoch, with a lease of 5 s and a clock. The
// runs come after the full list: no other agent has sent them.
func ready(starts ...uint32) *Reconciler {
	k := New()
	k.Reset("life-1")
	k.SetTerm(3)
	k.SetClock(10_000, t0)
	k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true})
	for _, run := range starts {
		k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Start: []wire.RunOrder{{RunRef: ref(run), Payload: "p"}}})
	}
	k.Grant("life-1", 1, whole(t0.Add(5*time.Second)))
	return k
}

// onlyCall returns the single call that is due.
func onlyCall(t *testing.T, k *Reconciler, now time.Time) Call {
	t.Helper()
	calls, ends := k.NextCalls(now)
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, len(ends), 0)
	return calls[0]
}

func checkNothingDue(t *testing.T, k *Reconciler, now time.Time) {
	t.Helper()
	calls, ends := k.NextCalls(now)
	assert.Equal(t, len(calls)+len(ends), 0, "%v %v", calls, ends)
}

func checkEnds(t *testing.T, got []queue.End, how ...queue.Outcome) {
	t.Helper()
	assert.Equal(t, len(got), len(how), "%v", got)
	for i, h := range how {
		assert.Equal(t, got[i].Outcome, h)
	}
}

func TestLeaseChain(t *testing.T) {
	k := ready()
	until, ok := k.ExecutorLeaseEnd(t0)
	assert.Assert(t, ok)
	// On a clock that runs 2% slow since 10,000 the end comes no later than 5 s.
	assert.Assert(t, until <= 10_000+4_900, "the executor's end is %d", until)
	assert.Assert(t, until > 10_000+4_800, "the executor's end is %d", until)
	t.Run("a grant of another epoch does not count", func(t *testing.T) {
		k.Grant("life-1", 2, whole(t0.Add(time.Hour)))
		assert.Equal(t, k.LeaseEnd(), t0.Add(5*time.Second))
	})
	t.Run("nor one to another life", func(t *testing.T) {
		k.Grant("life-0", 1, whole(t0.Add(time.Hour)))
		assert.Equal(t, k.LeaseEnd(), t0.Add(5*time.Second))
	})
	t.Run("a grant never shortens", func(t *testing.T) {
		k.Grant("life-1", 1, whole(t0.Add(time.Second)))
		assert.Equal(t, k.LeaseEnd(), t0.Add(5*time.Second))
	})
	t.Run("nothing starts without a lease", func(t *testing.T) {
		k := ready(1)
		checkNothingDue(t, k, t0.Add(4900*time.Millisecond))
	})
	t.Run("nothing starts without the executor's clock", func(t *testing.T) {
		k := New()
		k.Reset("life-1")
		k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		k.Grant("life-1", 1, whole(t0.Add(5*time.Second)))
		checkNothingDue(t, k, t0)
	})
}

func TestStart(t *testing.T) {
	k := ready(1)
	c := onlyCall(t, k, t0)
	assert.Equal(t, c.Start.Fence, uint64(3))
	assert.Equal(t, c.Start.Payload, "p")
	checkNothingDue(t, k, t0)
	t.Run("an unanswered start is sent again", func(t *testing.T) {
		assert.Assert(t, k.HandleStartResult(ref(1), 0, errLost, t0) == nil)
		checkNothingDue(t, k, t0)
		at, ok := k.NextRetry()
		assert.Assert(t, ok)
		assert.Assert(t, onlyCall(t, k, at).Start != nil)
	})
	t.Run("a confirmed one is not", func(t *testing.T) {
		assert.Assert(t, k.HandleStartResult(ref(1), rudderfork.Started, nil, t0.Add(time.Second)) == nil)
		checkNothingDue(t, k, t0.Add(2*time.Second))
	})
}

func TestRefused(t *testing.T) {
	t.Run("a start that was refused at once is over", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		end := k.HandleStartResult(ref(1), rudderfork.StartNoRoom, nil, t0)
		checkEnds(t, []queue.End{*end}, queue.OutcomeRefused)
		checkNothingDue(t, k, t0.Add(time.Second))
	})
	t.Run("after a try without an answer only a stop ends it", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), 0, errLost, t0)
		onlyCall(t, k, t0.Add(time.Second))
		assert.Assert(t, k.HandleStartResult(ref(1), rudderfork.StartNoRoom, nil, t0.Add(time.Second)) == nil)
		assert.Assert(t, onlyCall(t, k, t0.Add(time.Second)).Start == nil)
		k.HandleStopResult(ref(1), nil, t0.Add(2*time.Second))
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(1900*time.Millisecond)))
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(2100*time.Millisecond)), queue.OutcomeLost)
	})
	t.Run("a draining executor is sent nothing", func(t *testing.T) {
		k := ready(1)
		k.SetDraining(true)
		calls, ends := k.NextCalls(t0)
		assert.Equal(t, len(calls), 0)
		checkEnds(t, ends, queue.OutcomeRefused)
	})
	t.Run("a start that is late is tried with a newer lease", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		assert.Assert(t, k.HandleStartResult(ref(1), rudderfork.StartLate, nil, t0) == nil)
		assert.Assert(t, onlyCall(t, k, t0.Add(time.Second)).Start != nil)
	})
}

func TestLooked(t *testing.T) {
	running := func(run uint32) rudderfork.ExecutorStatus {
		return rudderfork.ExecutorStatus{Running: []rudderfork.RunStatus{{RunRef: ref(run)}}}
	}
	t.Run("a run that vanished is gone, if the look is newer than its start", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), rudderfork.Started, nil, t0.Add(time.Second))
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0))
		checkEnds(t, k.HandleStatus(running(1), t0.Add(2*time.Second)))
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(3*time.Second)), queue.OutcomeLost)
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(4*time.Second)))
	})
	t.Run("ends are reported until they are noted", func(t *testing.T) {
		k := ready(1)
		look := rudderfork.ExecutorStatus{Ended: []rudderfork.EndedRun{{Seq: 1, RunRef: ref(1), Outcome: "done"}}}
		for range 2 {
			checkEnds(t, k.HandleStatus(look, t0), queue.OutcomeDone)
		}
		k.ForgetEnded([]queue.End{{Task: queue.TaskKey{Job: "j"}, Run: 1}})
		assert.Equal(t, len(k.DesiredRuns()), 0)
	})
	t.Run("a run that is not wanted is stopped, once the orders are known", func(t *testing.T) {
		k := New()
		k.Reset("life-1")
		k.SetClock(1, t0)
		k.HandleStatus(running(7), t0)
		checkNothingDue(t, k, t0)
		k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true})
		k.HandleStatus(running(7), t0)
		c := onlyCall(t, k, t0)
		assert.Equal(t, c.Ref, ref(7))
		assert.Assert(t, c.Start == nil)
		k.HandleStopResult(ref(7), errLost, t0)
		assert.Assert(t, onlyCall(t, k, t0.Add(time.Second)).Start == nil)
	})
	t.Run("a run of another number is stopped and the wanted one stays", func(t *testing.T) {
		k := ready(2)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(2), 0, errLost, t0)
		k.HandleStatus(running(1), t0)
		c := onlyCall(t, k, t0)
		assert.Equal(t, c.Ref, ref(1))
		assert.Assert(t, c.Start == nil)
	})
}

// listed is an account that lists runs at work.
func listed(runs ...uint32) (look rudderfork.ExecutorStatus) {
	for _, run := range runs {
		look.Running = append(look.Running, rudderfork.RunStatus{RunRef: ref(run)})
	}
	return look
}

// checkStops holds that a stop of the run is all that is due.
func checkStops(t *testing.T, k *Reconciler, run uint32, now time.Time) {
	t.Helper()
	c := onlyCall(t, k, now)
	assert.Equal(t, c.Ref, ref(run))
	assert.Assert(t, c.Start == nil, "run %d is started", run)
}

// TestLateStart has a run begin that was thought to be over: a start of it was
// held back.
func TestLateStart(t *testing.T) {
	stopOrder := wire.Orders{Incarnation: "life-1", Epoch: 1, Stop: []rudderfork.RunRef{ref(1)}}
	t.Run("after its stop was confirmed it is stopped again", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), 0, errLost, t0)
		k.ApplyOrders(stopOrder)
		checkStops(t, k, 1, t0.Add(time.Second))
		k.HandleStopResult(ref(1), nil, t0.Add(time.Second))
		checkNothingDue(t, k, t0.Add(time.Second))
		checkEnds(t, k.HandleStatus(listed(1), t0.Add(2*time.Second)))
		checkStops(t, k, 1, t0.Add(2*time.Second))
	})
	t.Run("while the stop may take its time it is not", func(t *testing.T) {
		k := ready(1)
		k.ApplyOrders(stopOrder)
		checkStops(t, k, 1, t0)
		k.HandleStopResult(ref(1), nil, t0)
		asked := t0.Add(stopSpan)
		checkEnds(t, k.HandleStatus(listed(1), asked))
		checkNothingDue(t, k, asked)
		asked = asked.Add(time.Millisecond)
		checkEnds(t, k.HandleStatus(listed(1), asked))
		checkStops(t, k, 1, asked)
	})
	t.Run("nor is one that was not ordered", func(t *testing.T) {
		k := ready()
		k.HandleStatus(listed(1), t0)
		checkStops(t, k, 1, t0)
		k.HandleStopResult(ref(1), nil, t0)
		k.HandleStatus(listed(1), t0.Add(stopSpan))
		checkNothingDue(t, k, t0.Add(stopSpan))
		k.HandleStatus(listed(1), t0.Add(time.Second))
		checkStops(t, k, 1, t0.Add(time.Second))
		k.HandleStopResult(ref(1), nil, t0.Add(time.Second))
		k.HandleStatus(listed(), t0.Add(2*time.Second))
		assert.Equal(t, len(k.strays), 0)
	})
	t.Run("an account that is older than the stop says nothing", func(t *testing.T) {
		k := ready(1)
		k.ApplyOrders(stopOrder)
		checkStops(t, k, 1, t0)
		k.HandleStopResult(ref(1), nil, t0.Add(time.Second))
		checkEnds(t, k.HandleStatus(listed(1), t0))
		checkNothingDue(t, k, t0.Add(time.Second))
	})
	t.Run("after its end was reported it is stopped, noted or not", func(t *testing.T) {
		k := ready(1)
		k.ApplyOrders(stopOrder)
		checkStops(t, k, 1, t0)
		k.HandleStopResult(ref(1), nil, t0)
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(time.Second)), queue.OutcomeLost)
		checkEnds(t, k.HandleStatus(listed(1), t0.Add(2*time.Second)))
		checkStops(t, k, 1, t0.Add(2*time.Second))
		k.HandleStopResult(ref(1), nil, t0.Add(2*time.Second))
		k.ForgetEnded([]queue.End{{Task: queue.TaskKey{Job: "j"}, Run: 1}})
		k.HandleStatus(listed(1), t0.Add(3*time.Second))
		checkStops(t, k, 1, t0.Add(3*time.Second))
	})
	t.Run("a stop without an answer is sent until there is one", func(t *testing.T) {
		k := ready(1)
		k.ApplyOrders(stopOrder)
		now := t0
		for range 5 {
			checkStops(t, k, 1, now)
			k.HandleStopResult(ref(1), errLost, now)
			at, ok := k.NextRetry()
			assert.Assert(t, ok)
			now = at
		}
	})
	t.Run("while a call is under way there is nothing to try again", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), 0, errLost, t0)
		onlyCall(t, k, t0.Add(time.Second))
		_, ok := k.NextRetry()
		assert.Assert(t, !ok)
	})
}

// TestEarlierAgent gives a new agent the orders of one before it, whose calls may
// still be held back.
func TestEarlierAgent(t *testing.T) {
	fullList := func() *Reconciler {
		k := New()
		k.Reset("life-1")
		k.SetClock(10_000, t0)
		k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		k.Grant("life-1", 1, whole(t0.Add(5*time.Second)))
		return k
	}
	t.Run("a start that is refused is over only by a stop", func(t *testing.T) {
		k := fullList()
		onlyCall(t, k, t0)
		assert.Assert(t, k.HandleStartResult(ref(1), rudderfork.StartNoRoom, nil, t0) == nil)
		checkStops(t, k, 1, t0)
		k.HandleStopResult(ref(1), nil, t0)
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(time.Second)), queue.OutcomeLost)
	})
	again := wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}}
	for _, why := range []rudderfork.StartOutcome{rudderfork.StartTicket, rudderfork.StartNoRoom} {
		t.Run("in a later session with the leader a refusal is over at once: "+why.String(), func(t *testing.T) {
			k := ready()
			k.SetTerm(3)
			k.ApplyOrders(again)
			onlyCall(t, k, t0)
			end := k.HandleStartResult(ref(1), why, nil, t0)
			assert.Assert(t, end != nil)
			checkEnds(t, []queue.End{*end}, queue.OutcomeRefused)
			checkNothingDue(t, k, t0.Add(time.Second))
		})
	}
	t.Run("but not with a later leader, since the first may have been outranked", func(t *testing.T) {
		k := ready()
		k.SetTerm(4)
		k.ApplyOrders(again)
		onlyCall(t, k, t0)
		assert.Assert(t, k.HandleStartResult(ref(1), rudderfork.StartNoRoom, nil, t0) == nil)
		checkStops(t, k, 1, t0)
	})
	t.Run("nor once the life was lost and found again", func(t *testing.T) {
		k := ready()
		k.Reset("")
		k.Reset("life-1")
		k.SetClock(10_000, t0)
		k.ApplyOrders(again)
		k.Grant("life-1", 1, whole(t0.Add(5*time.Second)))
		onlyCall(t, k, t0)
		assert.Assert(t, k.HandleStartResult(ref(1), rudderfork.StartNoRoom, nil, t0) == nil)
		checkStops(t, k, 1, t0)
	})
	t.Run("so is one that a draining executor is not sent", func(t *testing.T) {
		k := fullList()
		k.SetDraining(true)
		checkStops(t, k, 1, t0)
	})
	t.Run("a run of a job that was cancelled meanwhile is stopped and not started", func(t *testing.T) {
		k := fullList()
		k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Stop: []rudderfork.RunRef{ref(1)}})
		checkStops(t, k, 1, t0)
	})
	t.Run("a run that is not listed is stopped once it begins", func(t *testing.T) {
		k := fullList()
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), rudderfork.Started, nil, t0)
		other := rudderfork.RunRef{Task: "j.0.0.1", Run: 1}
		k.HandleStatus(rudderfork.ExecutorStatus{Running: []rudderfork.RunStatus{{RunRef: ref(1)}, {RunRef: other}}}, t0.Add(time.Second))
		c := onlyCall(t, k, t0.Add(time.Second))
		assert.Equal(t, c.Ref, other)
		assert.Assert(t, c.Start == nil)
	})
}

func TestEpochs(t *testing.T) {
	k := ready(1)
	onlyCall(t, k, t0)
	k.HandleStartResult(ref(1), rudderfork.Started, nil, t0)
	k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 2, Full: true})
	t.Run("the lease of the old epoch is void", func(t *testing.T) {
		_, ok := k.ExecutorLeaseEnd(t0)
		assert.Assert(t, !ok)
	})
	t.Run("what the new one does not list is stopped and not reported", func(t *testing.T) {
		c := onlyCall(t, k, t0)
		assert.Assert(t, c.Start == nil)
		k.HandleStopResult(ref(1), nil, t0)
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(time.Second)))
	})
	t.Run("orders for another life are not taken", func(t *testing.T) {
		// They once were, when an executor crashed while they were under way: its
		// runs, counted as over, began again (TestModel/162).
		k := ready()
		k.Reset("life-2")
		k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true, Start: []wire.RunOrder{{RunRef: ref(1)}}})
		assert.Equal(t, len(k.DesiredRuns()), 0)
	})
	t.Run("orders of the old one are not taken", func(t *testing.T) {
		k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Start: []wire.RunOrder{{RunRef: ref(2)}}})
		assert.Equal(t, len(k.DesiredRuns()), 0)
	})
}

func TestStopBeforeStart(t *testing.T) {
	k := ready(1)
	k.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Stop: []rudderfork.RunRef{ref(1)}})
	c := onlyCall(t, k, t0)
	assert.Assert(t, c.Start == nil, "a run that was never sent is barred there")
	k.HandleStopResult(ref(1), nil, t0)
	checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, t0.Add(time.Second)), queue.OutcomeLost)
}
