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

// refusedRun is one that its agent has reported as refused.
var refusedRun = rudderfork.RunRef{Task: "job.0.0.0", Run: 1}

// newRefusal is a site whose only VM has a run that its agent refuses; commits are held.
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
	last := h.rep.Status().Last
	h.refuse(c, vm)
	h.waitUntil("the refusal is proposed", func() bool { return h.rep.Status().Last > last })
	return h, c, vm, release
}

// nextFull returns the next full list of orders.
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

// beatWithout sends heartbeats of an agent that has no list of orders.
func (h *gatedCluster) sendHeartbeatWithoutOrders(c *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM, sent int64) {
	h.t.Helper()
	assert.NilError(h.t, c.Send(h.ctx, wire.FromNode{Heartbeat: &wire.VMHeartbeat{Sent: sent, VM: vm, Epoch: new(uint64)}}))
}

// fullList returns the next full list of orders. Commits go on once it is there, or has
// not come for a while.
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
	assert.Assert(h.t, o != nil, "no list came")
	for _, r := range o.Start {
		assert.Assert(h.t, r.RunRef != refusedRun, "it is ordered to start though it is reported as refused")
	}
}

// TestFullListOrdersRefusedRun guards against a run that an agent without its orders starts
// while the refusal that it has reported is on its way, and that starts elsewhere then.
func TestFullListOrdersRefusedRun(t *testing.T) {
	t.Run("in the next session, which reports it again", func(t *testing.T) {
		h, c, vm, release := newRefusedRun(t)
		c.Close()
		c = h.openSession(string(vm.ID))
		h.refuse(c, vm)
		h.sendHeartbeatWithoutOrders(c, vm, 2)
		h.assertNotOrdered(h.awaitFullOrders(c, release))
	})
	t.Run("in the next session, of an agent that has started again", func(t *testing.T) {
		h, c, vm, release := newRefusedRun(t)
		c.Close()
		c = h.openSession(string(vm.ID))
		h.sendHeartbeatWithoutOrders(c, vm, 2)
		h.assertNotOrdered(h.awaitFullOrders(c, release))
	})
	t.Run("in the same session", func(t *testing.T) {
		h, c, vm, release := newRefusedRun(t)
		h.sched.mu.Lock()
		h.sched.fleet.vm(vm.ID).session.fullListDeadline = time.Time{} // its first list is long past
		h.sched.mu.Unlock()
		h.sendHeartbeatWithoutOrders(c, vm, 2)
		h.assertNotOrdered(h.awaitFullOrders(c, release))
	})
}

// fullExecutor has no room for a start once, and does not hear of stops.
type noRoomExecutor struct {
	*executor.Executor
	refusesStart func() bool
}

// Start implements rudderfork.Executor.
func (e *noRoomExecutor) Start(ctx context.Context, life string, s rudderfork.RunStart) (out rudderfork.StartOutcome, err error) {
	if e.refusesStart() {
		return rudderfork.StartNoRoom, nil
	}
	return e.Executor.Start(ctx, life, s)
}

// Stop implements rudderfork.Executor. The call is lost on its way.
func (e *noRoomExecutor) Stop(context.Context, string, rudderfork.RunRef, uint64) error {
	return context.DeadlineExceeded
}

// serveAgent runs an agent of a VM until it is ended.
func (h *gatedCluster) runAgent(name string, e *noRoomExecutor) (end func()) {
	ctx, cancel := context.WithCancel(h.ctx)
	var wg sync.WaitGroup
	a := runner.New(name, h.seeds, e, zerolog.Nop())
	for _, svc := range a.Services() {
		wg.Go(func() { _ = svc.Serve(ctx) })
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			a.HandleDescription(queue.VM{ID: rudderfork.VMID(name), Domain: domainOf(name), Incarnation: e.Life(), Service: "desk", Capacity: e.Room()}, false, 0)
			steady.Pause(ctx, 50*time.Millisecond)
		}
	})
	end = func() { cancel(); wg.Wait() }
	h.t.Cleanup(end)
	return end
}

// twoPlaces are two VMs, the first of which to be told to start something refuses it, while
// commits are held from then on.
type twoVMCluster struct {
	*gatedCluster
	executors     map[string]*noRoomExecutor
	stopAgent     map[string]func() // ends an agent
	mu            sync.Mutex
	refuser       string
	lastAtRefusal uint64 // entry when it refused
	release       func()
	ranTwice      bool // a start found the task at work on the other VM
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
				Now: steady.Now, Room: rudderfork.Resources{CPUMilli: 4_000, MemoryMB: 1_000},
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
	s.refuser, s.lastAtRefusal, s.release = name, s.rep.Status().Last, s.blockCommits()
	return true
}

func (s *twoVMCluster) refusalProposed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuser != "" && s.rep.Status().Last > s.lastAtRefusal
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

// atWork reports whether a run is at work somewhere.
func (s *twoVMCluster) isRunning(run uint32) bool {
	for _, e := range s.executors {
		if list := e.Running(); len(list) > 0 && list[0].Run == run {
			return true
		}
	}
	return false
}

// TestRefusedRunRunsTwice guards against a task that is at work in two places after an
// agent that had reported a refusal has started again.
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
	s.waitUntil("it is at work by its second run", func() bool {
		s.sched.round(s.ctx)
		return s.isRunning(refusedRun.Run + 1)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, !s.ranTwice, "its first run was at work when the second began")
}

func (h *gatedCluster) isLive(id rudderfork.VMID) (ok bool) {
	h.rep.View(func(st *state.State) {
		vm := st.Queues().VM(id)
		ok = vm != nil && vm.Live
	})
	return ok
}
