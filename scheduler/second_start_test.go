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

// The two starts of the tests' executor, under one id.
var (
	firstIncarnation  = rudderfork.IncarnationName("i-1", 1000)
	secondIncarnation = rudderfork.IncarnationName("i-1", 2000)
)

// stateOf returns a state in which the executor of one VM is in a life.
func stateWithIncarnation(life string) *queue.State {
	s := queue.New()
	s.Apply(queue.Command{Register: &queue.VM{ID: "vm1", Incarnation: life, Service: "desk"}}, 1)
	return s
}

// TestUpkeepFindsVMOfAnyIncarnation finds the VM of an executor that the provider lists by its id,
// whichever start it is in.
func TestUpkeepFindsVMOfAnyIncarnation(t *testing.T) {
	for _, life := range []string{"i-1", firstIncarnation, secondIncarnation} {
		s := stateWithIncarnation(life)
		assert.Equal(t, vmOfExecutor(s, "i-1"), s.VM("vm1"))
		assert.Assert(t, vmOfExecutor(s, "i-2") == nil)
		assert.Assert(t, vmOfExecutor(s, "") == nil)
	}
}

// TestTicketKeptOverIncarnations keeps no ticket over a start: an executor would refuse it.
func TestTicketKeptOverIncarnations(t *testing.T) {
	now, step := steady.Now(), queue.StepKey{Job: "j"}
	for life, want := range map[string]map[rudderfork.VMID]string{firstIncarnation: {"vm1": "t-1"}, secondIncarnation: {}} {
		s := stateWithIncarnation(life)
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

// TestFailureScoreKeptOverIncarnations drops what the start before has told of its runs, and the VM's doubt.
func TestFailureScoreKeptOverIncarnations(t *testing.T) {
	f, now := newFleet(), steady.Now()
	v := f.vm("vm1")
	row := rudderfork.RunStatus{RunRef: rudderfork.RunRef{Task: "j.0.0.0", Run: 1}, Percent: 40}
	f.recordHeartbeat(v, wire.VMHeartbeat{VM: queue.VM{ID: "vm1", Incarnation: firstIncarnation}, Rows: []rudderfork.RunStatus{row}}, now)
	v.addFailures(failureStep, now)
	assert.Equal(t, len(v.runs), 1)
	f.recordHeartbeat(v, wire.VMHeartbeat{VM: queue.VM{ID: "vm1", Incarnation: secondIncarnation}}, now)
	assert.Equal(t, len(v.runs)+len(f.runs), 0)
	assert.Equal(t, v.failures, 0.0)
}

// addTelling is addVM with an executor that tells when it began, as one does that may
// start again under its id. What is meant for an id alone would reach its next start.
func (s *testCluster) addRestartableVM(cfg executor.Config) *executor.Executor {
	cfg.Now, cfg.Room = steady.Now, rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	e := executor.New(firstIncarnation, cfg)
	s.addAgent("vm1", e, e.Life, cfg.Room)
	return e
}

// TestRestartUnderSameID has an executor start again under its id while a task lasts there:
// the leader takes note of it, and the task begins anew, once.
func TestRestartUnderSameID(t *testing.T) {
	s := newTestCluster(t, nil)
	var starts atomic.Int32
	e := s.addRestartableVM(executor.Config{OnStart: func(rudderfork.RunRef) { starts.Add(1) }})
	s.putDocument(nil)
	s.submit("feed", "", queue.Step{Count: 1, Size: smallStep.Size, Lasting: true})
	atWork := func(run uint32) func() bool {
		return func() bool {
			refs := e.Running()
			return len(refs) == 1 && refs[0].Run == run
		}
	}
	s.waitUntil("the lasting task runs", atWork(1))
	s.submit("before", "work=1ms", queue.Step{Count: 3})
	s.waitForStatus("before", queue.Completed)
	e.StartAgain()
	s.waitUntil("it is at work again", atWork(2))
	s.submit("after", "work=1ms", queue.Step{Count: 3})
	s.waitForStatus("after", queue.Completed)
	assert.Equal(t, starts.Load(), int32(2+3+3))
	s.sched.rep.View(func(st *state.State) { assert.Equal(t, st.Queues().VM("vm1").Incarnation, e.Life()) })
}

// betweenLooks holds a look back that acknowledges ends, until the executor has started again.
type ackBlockingExecutor struct {
	*executor.Executor
	blockFrom atomic.Uint64 // ends that the look acknowledges; 0 holds none back
	held      chan struct{}
	release   chan struct{}
}

// Poll implements rudderfork.Executor.
func (e *ackBlockingExecutor) Poll(ctx context.Context, life string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	if n := e.blockFrom.Load(); n > 0 && req.AckedUpTo >= n && e.blockFrom.CompareAndSwap(n, 0) {
		close(e.held)
		<-e.release
	}
	return e.Executor.Poll(ctx, life, req)
}

// TestStalePollAcknowledgesNewEnds has a look for the first start reach the executor in its second: it
// acknowledges none of the ends there, whose runs would be found gone and be started again.
func TestStalePollAcknowledgesNewEnds(t *testing.T) {
	s := newTestCluster(t, nil)
	var starts atomic.Int32
	room := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	cfg := executor.Config{Now: steady.Now, Room: room, OnStart: func(rudderfork.RunRef) { starts.Add(1) }}
	e := &ackBlockingExecutor{Executor: executor.New(firstIncarnation, cfg), held: make(chan struct{}), release: make(chan struct{})}
	e.blockFrom.Store(3)
	s.addAgent("vm1", e, e.Life, room)
	s.putDocument(nil)
	s.submit("before", "work=1ms", queue.Step{Count: 3})
	s.waitForStatus("before", queue.Completed)
	<-e.held
	e.StartAgain()
	close(e.release)
	s.submit("after", "work=1ms", queue.Step{Count: 3})
	s.waitForStatus("after", queue.Completed)
	assert.Equal(t, starts.Load(), int32(3+3))
}
