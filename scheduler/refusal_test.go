package scheduler

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/runner"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// refusedRun is the run that its agent has reported as refused.
var refusedRun = rudderfork.RunRef{Task: "job.0.0.0", Run: 1}

// newRefusedRun returns a cluster whose only VM has reported refusedRun as refused. The commit of
// that report is proposed, but blocked until release is called.
func newRefusedRun(t *testing.T) (h *gatedCluster, c *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM, release func()) {
	h = newGatedCluster(t, Settings{Lease: time.Hour})
	vm = onlyVM
	vm.Service, vm.Capacity = "desk", rudderfork.Resources{CPUMilli: 4_000, MemoryMB: 1_000}
	h.commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	c = h.openSession(string(vm.ID))
	h.sendHeartbeat(c, vm, 1)
	h.nextFullOrders(c)
	h.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/job", Spec: queue.Spec{Steps: []queue.Step{smallStep}}}})
	h.sched.round(h.ctx)
	h.waitUntil("the run is on the VM", func() bool { return h.runsOf(vm.ID) == 1 })
	release = h.blockCommits()
	last := h.rep.Status().LastIndex
	h.refuse(c, vm)
	h.waitUntil("the refusal is proposed", func() bool { return h.rep.Status().LastIndex > last })
	return h, c, vm, release
}

// nextFullOrders returns the next full list of orders, or nil if the session ends before it.
func (h *gatedCluster) nextFullOrders(c *wire.Conn[wire.FromNode, wire.ToQueueNode]) *wire.Orders {
	for {
		m, err := c.ReceiveWithin(h.ctx, waitTimeout)
		if err != nil {
			return nil
		}
		if m.Orders != nil && m.Orders.Full {
			return m.Orders
		}
	}
}

func (h *gatedCluster) refuse(c *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM) {
	h.t.Helper()
	key, err := queue.ParseTaskKey(string(refusedRun.Task))
	assert.NilError(h.t, err)
	ends := queue.Ends{VM: vm.ID, Incarnation: vm.Incarnation, List: []queue.End{{Task: key, Run: refusedRun.Run, Outcome: queue.OutcomeRefused}}}
	assert.NilError(h.t, c.Send(h.ctx, wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: ends}}))
}

func (h *gatedCluster) runsOf(id rudderfork.VMID) (n int) {
	h.rep.View(func(st *state.State) { n = len(st.Queues().VM(id).Runs()) })
	return n
}

// sendHeartbeatWithoutOrders sends a heartbeat of an agent that has no list of orders.
func (h *gatedCluster) sendHeartbeatWithoutOrders(c *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM, sent int64) {
	h.t.Helper()
	assert.NilError(h.t, c.Send(h.ctx, wire.FromNode{Heartbeat: &wire.VMHeartbeat{Sent: sent, VM: vm, Epoch: new(uint64)}}))
}

// awaitFullOrders returns the next full list of orders. It unblocks commits when the list has
// arrived, or has not for fullListTimeout.
func (h *gatedCluster) awaitFullOrders(c *wire.Conn[wire.FromNode, wire.ToQueueNode], release func()) *wire.Orders {
	h.t.Helper()
	lists := make(chan *wire.Orders, 1)
	go func() { lists <- h.nextFullOrders(c) }()
	select {
	case o := <-lists:
		release()
		return o
	case <-time.After(fullListTimeout):
		release()
		return <-lists
	}
}

func (h *gatedCluster) assertNotOrdered(o *wire.Orders) {
	h.t.Helper()
	assert.Assert(h.t, o != nil, "no full list of orders arrived")
	for _, r := range o.Start {
		assert.Assert(h.t, r.RunRef != refusedRun, "the list orders a run to start that was reported as refused")
	}
}

// TestFullListOrdersRefusedRun guards against a full list that is sent before a reported refusal is
// committed. The agent, which has lost its orders, would start the run, and the leader would
// start the task elsewhere as well.
func TestFullListOrdersRefusedRun(t *testing.T) {
	t.Run("in the next session, which reports the refusal again", func(t *testing.T) {
		h, c, vm, release := newRefusedRun(t)
		c.Close()
		c = h.openSession(string(vm.ID))
		h.refuse(c, vm)
		h.sendHeartbeatWithoutOrders(c, vm, 2)
		h.assertNotOrdered(h.awaitFullOrders(c, release))
	})
	t.Run("in the next session, of an agent that was restarted", func(t *testing.T) {
		h, c, vm, release := newRefusedRun(t)
		c.Close()
		c = h.openSession(string(vm.ID))
		h.sendHeartbeatWithoutOrders(c, vm, 2)
		h.assertNotOrdered(h.awaitFullOrders(c, release))
	})
	t.Run("in the same session", func(t *testing.T) {
		h, c, vm, release := newRefusedRun(t)
		h.sched.mu.Lock()
		h.sched.fleet.vm(vm.ID).session.fullListDeadline = time.Time{} // as if the first list was sent long ago
		h.sched.mu.Unlock()
		h.sendHeartbeatWithoutOrders(c, vm, 2)
		h.assertNotOrdered(h.awaitFullOrders(c, release))
	})
}

// noRoomExecutor answers starts with StartNoCapacity while refusesStart returns true, and receives no
// stops.
type noRoomExecutor struct {
	*executor.Executor
	refusesStart func() bool
}

// Start implements rudderfork.Executor.
func (e *noRoomExecutor) Start(ctx context.Context, inc string, s rudderfork.RunStart) (out rudderfork.StartOutcome, err error) {
	if e.refusesStart() {
		return rudderfork.StartNoCapacity, nil
	}
	return e.Executor.Start(ctx, inc, s)
}

// Stop implements rudderfork.Executor. The call is lost.
func (e *noRoomExecutor) Stop(context.Context, string, rudderfork.RunRef, uint64) error {
	return context.DeadlineExceeded
}

// runAgent runs an agent of a VM until stop is called or the test ends.
func (h *gatedCluster) runAgent(name string, e *noRoomExecutor) (stop func()) {
	ctx, cancel := context.WithCancel(h.ctx)
	var wg sync.WaitGroup
	a := runner.New(name, h.seeds, e, zerolog.Nop())
	for _, svc := range a.Services() {
		wg.Go(func() { _ = svc.Serve(ctx) })
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			a.HandleDescription(queue.VM{ID: rudderfork.VMID(name), Domain: domainOf(name), Incarnation: e.Incarnation(), Service: "desk", Capacity: e.Capacity()}, false, 0)
			steady.Pause(ctx, 50*time.Millisecond)
		}
	})
	stop = func() { cancel(); wg.Wait() }
	h.t.Cleanup(stop)
	return stop
}

// twoVMCluster is a cluster of two VMs. The first VM that is ordered to start a run refuses it;
// commits are blocked from then on until release is called.
type twoVMCluster struct {
	*gatedCluster
	executors     map[string]*noRoomExecutor
	stopAgent     map[string]func()
	mu            sync.Mutex
	refuser       string // VM that refused a run
	lastAtRefusal uint64 // index of the last log entry when it did
	release       func()
	ranTwice      bool // the task was running on one VM when it started on the other
}

func newTwoVMCluster(t *testing.T) *twoVMCluster {
	s := &twoVMCluster{gatedCluster: newGatedCluster(t, Settings{Lease: testLease}), executors: map[string]*noRoomExecutor{}, stopAgent: map[string]func(){}}
	s.commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	for _, name := range []string{"vm1", "vm2"} {
		s.executors[name] = &noRoomExecutor{
			Executor: executor.New(name+"-life", executor.Config{
				Now: steady.Now, Capacity: rudderfork.Resources{CPUMilli: 4_000, MemoryMB: 1_000},
				OnStart: func(rudderfork.RunRef) { s.recordStart(name) },
			}),
			refusesStart: func() bool { return s.refuseFirst(name) },
		}
		s.stopAgent[name] = s.runAgent(name, s.executors[name])
		s.waitUntil(name+" is registered", func() bool { return s.isLive(rudderfork.VMID(name)) })
	}
	return s
}

func (s *twoVMCluster) refuseFirst(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuser != "" {
		return false
	}
	s.refuser, s.lastAtRefusal, s.release = name, s.rep.Status().LastIndex, s.blockCommits()
	return true
}

func (s *twoVMCluster) refusalProposed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuser != "" && s.rep.Status().LastIndex > s.lastAtRefusal
}

func (s *twoVMCluster) recordStart(on string) {
	for name, e := range s.executors {
		if name != on && len(e.Running()) > 0 {
			s.mu.Lock()
			s.ranTwice = true
			s.mu.Unlock()
		}
	}
}

// isRunning reports whether an executor runs a run of the given number.
func (s *twoVMCluster) isRunning(run uint32) bool {
	for _, e := range s.executors {
		if list := e.Running(); len(list) > 0 && list[0].Run == run {
			return true
		}
	}
	return false
}

// TestRefusedRunRunsTwice guards against a task that runs on two VMs after an agent was restarted
// whose report of a refusal was not committed yet.
func TestRefusedRunRunsTwice(t *testing.T) {
	s := newTwoVMCluster(t)
	s.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/job", Spec: queue.Spec{Steps: []queue.Step{{Count: 1, Size: smallStep.Size, Lasting: true}}}}})
	s.waitUntil("a refusal is proposed", func() bool {
		if s.runsOf("vm1")+s.runsOf("vm2") == 0 {
			s.sched.round(s.ctx)
		}
		return s.refusalProposed()
	})
	s.stopAgent[s.refuser]()
	s.runAgent(s.refuser, s.executors[s.refuser])
	for by := steady.Now().Add(testLease / 2); !s.isRunning(refusedRun.Run) && steady.Now().Before(by); {
		steady.Pause(s.ctx, 10*time.Millisecond)
	}
	s.release()
	s.waitUntil("the second run is running", func() bool {
		s.sched.round(s.ctx)
		return s.isRunning(refusedRun.Run + 1)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, !s.ranTwice, "the first run was still running when the second started")
}

func (h *gatedCluster) isLive(id rudderfork.VMID) (ok bool) {
	h.rep.View(func(st *state.State) {
		vm := st.Queues().VM(id)
		ok = vm != nil && vm.Live
	})
	return ok
}
