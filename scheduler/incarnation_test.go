package scheduler

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// Two incarnations of one executor under the same id.
var (
	firstIncarnation  = rudderfork.IncarnationName("i-1", 1000)
	secondIncarnation = rudderfork.IncarnationName("i-1", 2000)
)

// stateWithIncarnation returns a state with one VM whose executor has the incarnation.
func stateWithIncarnation(inc string) *queue.State {
	s := queue.New()
	s.Apply(queue.Command{Register: &queue.VM{ID: "vm1", Incarnation: inc, Service: "desk"}}, 1)
	return s
}

// TestUpkeepFindsVMOfAnyIncarnation checks that upkeep finds the VM of an executor that the provider
// lists by its id alone, whatever its incarnation.
func TestUpkeepFindsVMOfAnyIncarnation(t *testing.T) {
	for _, inc := range []string{"i-1", firstIncarnation, secondIncarnation} {
		s := stateWithIncarnation(inc)
		assert.Equal(t, vmOfExecutor(s, "i-1"), s.VM("vm1"))
		assert.Assert(t, vmOfExecutor(s, "i-2") == nil)
		assert.Assert(t, vmOfExecutor(s, "") == nil)
	}
}

// TestTicketKeptOverIncarnations guards against a ticket that is used for a later incarnation under
// the same id, which refuses it.
func TestTicketKeptOverIncarnations(t *testing.T) {
	now, step := steady.Now(), queue.StepKey{Job: "j"}
	for inc, want := range map[string]map[rudderfork.VMID]string{firstIncarnation: {"vm1": "t-1"}, secondIncarnation: {}} {
		s := stateWithIncarnation(inc)
		s.Apply(queue.Command{Document: &queue.Document{
			Version: 1, Queues: []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "desk", MaxAttempts: 1}},
			Pools: []queue.Pool{{Service: "desk"}},
		}}, 1)
		s.Apply(queue.Command{Submit: &queue.Submit{Host: "h", Path: "/q/j", Spec: queue.Spec{Steps: []queue.Step{{Count: 1}}}}}, 1)
		a := newAdvice()
		a.steps[step] = &stepTickets{tickets: map[rudderfork.VMID]ticket{"vm1": {text: "t-1", incarnation: firstIncarnation, until: now.Add(defaultTicketValidity)}}}
		assert.DeepEqual(t, a.view(s, now)[step], want)
	}
}

// TestFailureScoreKeptOverIncarnations guards against run statuses and a failure score that a new
// incarnation under the same id inherits.
func TestFailureScoreKeptOverIncarnations(t *testing.T) {
	f, now := newFleet(), steady.Now()
	v := f.vm("vm1")
	status := rudderfork.RunStatus{RunRef: rudderfork.RunRef{Task: "j.0.0.0", Run: 1}, Percent: 40}
	f.recordHeartbeat(v, wire.VMHeartbeat{VM: queue.VM{ID: "vm1", Incarnation: firstIncarnation}, Runs: []rudderfork.RunStatus{status}}, now)
	v.addFailures(failureStep, now)
	assert.Equal(t, len(v.runs), 1)
	f.recordHeartbeat(v, wire.VMHeartbeat{VM: queue.VM{ID: "vm1", Incarnation: secondIncarnation}}, now)
	assert.Equal(t, len(v.runs)+len(f.runs), 0)
	assert.Equal(t, v.failures, 0.0)
}

// addRestartableVM adds a VM whose executor may restart under the same id: the names of its
// incarnations contain its start time. A call for the id alone would reach the next incarnation.
func (c *testCluster) addRestartableVM(cfg executor.Config) *executor.Executor {
	cfg.Now, cfg.Capacity = steady.Now, rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	e := executor.New(firstIncarnation, cfg)
	c.addAgent("vm1", e, e.Incarnation, cfg.Capacity)
	return e
}

// TestRestartUnderSameID checks that after an executor restarts under the same id while it runs a
// lasting task, the leader registers the new incarnation and starts the task again once.
func TestRestartUnderSameID(t *testing.T) {
	c := newTestCluster(t, nil)
	var starts atomic.Int32
	e := c.addRestartableVM(executor.Config{OnStart: func(rudderfork.RunRef) { starts.Add(1) }})
	c.putDocument(nil)
	c.submit("feed", "", queue.Step{Count: 1, Size: smallStep.Size, Lasting: true})
	running := func(run uint32) func() bool {
		return func() bool {
			refs := e.Running()
			return len(refs) == 1 && refs[0].Run == run
		}
	}
	c.waitUntil("the lasting task runs", running(1))
	c.submit("before", "work=1ms", queue.Step{Count: 3})
	c.waitForStatus("before", queue.Completed)
	e.RestartSameID()
	c.waitUntil("the lasting task runs again", running(2))
	c.submit("after", "work=1ms", queue.Step{Count: 3})
	c.waitForStatus("after", queue.Completed)
	assert.Equal(t, starts.Load(), int32(2+3+3))
	c.sched.rep.View(func(st *state.State) { assert.Equal(t, st.Queues().VM("vm1").Incarnation, e.Incarnation()) })
}

// ackBlockingExecutor holds back one poll that acknowledges ended runs until it is released.
type ackBlockingExecutor struct {
	*executor.Executor
	blockFrom atomic.Uint64 // blocks the first poll with this AckedUpTo or more; 0 for none
	held      chan struct{} // closed when the poll is held back
	release   chan struct{} // closed to let the poll go on
}

// Poll implements rudderfork.Executor.
func (e *ackBlockingExecutor) Poll(ctx context.Context, inc string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	if n := e.blockFrom.Load(); n > 0 && req.AckedUpTo >= n && e.blockFrom.CompareAndSwap(n, 0) {
		close(e.held)
		<-e.release
	}
	return e.Executor.Poll(ctx, inc, req)
}

// TestStalePollAcknowledgesNewEnds guards against a poll for an earlier incarnation that reaches the
// executor late and acknowledges ends of the current one. Those would never be listed, and
// their runs would be taken for lost and started again.
func TestStalePollAcknowledgesNewEnds(t *testing.T) {
	c := newTestCluster(t, nil)
	var starts atomic.Int32
	capacity := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	cfg := executor.Config{Now: steady.Now, Capacity: capacity, OnStart: func(rudderfork.RunRef) { starts.Add(1) }}
	e := &ackBlockingExecutor{Executor: executor.New(firstIncarnation, cfg), held: make(chan struct{}), release: make(chan struct{})}
	e.blockFrom.Store(3)
	c.addAgent("vm1", e, e.Incarnation, capacity)
	c.putDocument(nil)
	c.submit("before", "work=1ms", queue.Step{Count: 3})
	c.waitForStatus("before", queue.Completed)
	<-e.held
	e.RestartSameID()
	close(e.release)
	c.submit("after", "work=1ms", queue.Step{Count: 3})
	c.waitForStatus("after", queue.Completed)
	assert.Equal(t, starts.Load(), int32(3+3))
}
