package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
)

// stateWithRun returns a state in which the one task of job j runs on vm1.
func stateWithRun(t testing.TB) *queue.State {
	t.Helper()
	qs := queue.New()
	key := queue.TaskKey{Job: "j"}
	for _, cmd := range []queue.Command{
		{Document: &queue.Document{
			Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 1}},
			Pools: []queue.Pool{{Service: "desk"}},
		}},
		{Register: &queue.VM{ID: "vm1", Domain: "north", Incarnation: "life-1", Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 4000}}},
		{Submit: &queue.Submit{Host: testHost, Path: "/q/j", Spec: queue.Spec{Steps: []queue.Step{smallStep}}}},
		{Starts: []queue.Start{{Task: key, VM: "vm1", Incarnation: "life-1"}}},
	} {
		assert.Equal(t, qs.Apply(cmd, 1).Code, queue.OK)
	}
	assert.Equal(t, len(qs.VM("vm1").Runs()), 1)
	return qs
}

func cancelJob(t *testing.T, qs *queue.State) {
	t.Helper()
	assert.Equal(t, qs.Apply(queue.Command{Cancel: &queue.Cancel{Host: testHost, Path: "/q/j"}}, 2).Code, queue.OK)
}

// newSessionOfAgent returns a session of vm1's agent with a leader that has not made a plan yet.
func newSessionOfAgent(qs *queue.State) *session {
	return &session{
		s: &Scheduler{fleet: newFleet()}, vm: "vm1", incarnation: "life-1", epoch: qs.VM("vm1").Epoch,
		startsSent: map[rudderfork.RunRef]bool{}, stopsSent: map[rudderfork.RunRef]bool{}, pressuresSent: map[interference.Pair]float64{},
	}
}

// TestCancelledRunOrderedWithoutStop guards against an agent that receives the start order of a
// cancelled job's run without the stop order, because the leader has not made a plan yet.
func TestCancelledRunOrderedWithoutStop(t *testing.T) {
	run := queue.TaskKey{Job: "j"}.Ref(1)
	t.Run("a new leader orders the start and the stop together", func(t *testing.T) {
		qs := stateWithRun(t)
		cancelJob(t, qs)
		o := newSessionOfAgent(qs).newOrders(qs)
		assert.Assert(t, o.Full)
		assert.Equal(t, len(o.Start), 1)
		assert.Equal(t, o.Start[0].RunRef, run)
		assert.DeepEqual(t, o.Stop, []rudderfork.RunRef{run})
	})
	t.Run("a run that was ordered gets one stop order when the cancellation is applied", func(t *testing.T) {
		qs := stateWithRun(t)
		ses := newSessionOfAgent(qs)
		o := ses.newOrders(qs)
		assert.Equal(t, len(o.Start), 1)
		assert.Equal(t, len(o.Stop), 0)
		cancelJob(t, qs)
		o = ses.newOrders(qs)
		assert.Equal(t, len(o.Start), 0)
		assert.DeepEqual(t, o.Stop, []rudderfork.RunRef{run})
		assert.Equal(t, len(ses.newOrders(qs).Stop), 0)
	})
	t.Run("the next session gets the stop order again", func(t *testing.T) {
		qs := stateWithRun(t)
		cancelJob(t, qs)
		newSessionOfAgent(qs).newOrders(qs)
		assert.DeepEqual(t, newSessionOfAgent(qs).newOrders(qs).Stop, []rudderfork.RunRef{run})
	})
	t.Run("the job is kept until the run's end is known", func(t *testing.T) {
		qs := stateWithRun(t)
		cancelJob(t, qs)
		later := int64(1_000_000)
		qs.Apply(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/other", Spec: queue.Spec{Steps: []queue.Step{smallStep}}}}, later)
		assert.Assert(t, qs.Job("j") != nil)
		assert.DeepEqual(t, newSessionOfAgent(qs).newOrders(qs).Stop, []rudderfork.RunRef{run})
	})
}

// TestSessionWakesOnlyForItsVM checks that a session is woken for changes that concern its VM, and for
// no others.
func TestSessionWakesOnlyForItsVM(t *testing.T) {
	key := queue.TaskKey{Job: "j"}
	// upToDate returns a session that has sent all orders of its VM.
	upToDate := func(t *testing.T) (qs *queue.State, ses *session) {
		qs = stateWithRun(t)
		ses = newSessionOfAgent(qs)
		assert.Assert(t, ses.mayHaveOrders(qs), "a session that has sent no orders yet does not report that it may have some")
		ses.newOrders(qs)
		assert.Assert(t, !ses.mayHaveOrders(qs))
		return qs, ses
	}
	t.Run("changes of other VMs", func(t *testing.T) {
		qs, ses := upToDate(t)
		assert.Equal(t, qs.Apply(queue.Command{Register: &queue.VM{ID: "vm2", Incarnation: "life-2", Service: "desk"}}, 2).Code, queue.OK)
		ses.s.fleet.setStops([]dispatch.Stop{{Task: key, Run: 1, VM: "vm2"}}, steady.Now())
		assert.Assert(t, !ses.mayHaveOrders(qs))
	})
	t.Run("a run has ended", func(t *testing.T) {
		qs, ses := upToDate(t)
		qs.Apply(queue.Command{Ends: &queue.Ends{VM: "vm1", Incarnation: "life-1", List: []queue.End{{Task: key, Run: 1, Outcome: queue.OutcomeFailed}}}}, 2)
		assert.Assert(t, ses.mayHaveOrders(qs))
	})
	t.Run("a run is to be stopped", func(t *testing.T) {
		qs, ses := upToDate(t)
		ses.s.fleet.setStops([]dispatch.Stop{{Task: key, Run: 1, VM: "vm1"}}, steady.Now())
		assert.Assert(t, ses.mayHaveOrders(qs))
	})
	t.Run("its failure domain is evacuated, and then not", func(t *testing.T) {
		qs, ses := upToDate(t)
		for _, end := range []bool{false, true} {
			assert.Equal(t, qs.Apply(queue.Command{Evacuate: &queue.Evacuate{Domain: "north", End: end}}, 2).Code, queue.OK)
			assert.Assert(t, ses.mayHaveOrders(qs))
			assert.Equal(t, ses.newOrders(qs).Cordoned, !end)
			assert.Assert(t, !ses.mayHaveOrders(qs))
		}
	})
	t.Run("the VM has a new incarnation", func(t *testing.T) {
		qs, ses := upToDate(t)
		assert.Equal(t, qs.Apply(queue.Command{Register: &queue.VM{ID: "vm1", Incarnation: "life-2", Service: "desk"}}, 2).Code, queue.OK)
		assert.Assert(t, ses.mayHaveOrders(qs))
	})
}
