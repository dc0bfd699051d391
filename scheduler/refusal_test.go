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

// refusedRun is the run that the VM's agent reports as refused.
var refusedRun = rudderfork.RunRef{Task: "job.0.0.0", Run: 1}

// newClusterWithRefusal returns a cluster whose only VM has reported refusedRun as refused. The
// commit of that report is proposed, but blocked until release is called.
func newClusterWithRefusal(t *testing.T) (c *gatedCluster, conn *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM, release func()) {
	c = newGatedCluster(t, Settings{Lease: time.Hour})
	vm = onlyVM
	vm.Service, vm.Capacity = "desk", rudderfork.Resources{CPUMilli: 4_000, MemoryMB: 1_000}
	c.commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	conn = c.openSession(string(vm.ID))
	c.sendHeartbeat(conn, vm, 1)
	c.nextFullOrders(conn)
	c.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/job", Spec: queue.Spec{Steps: []queue.Step{smallStep}}}})
	c.sched.round(c.ctx)
	c.waitUntil("the run is on the VM", func() bool { return c.runsOf(vm.ID) == 1 })
	release = c.blockCommits()
	last := c.rep.Status().LastIndex
	c.refuse(conn, vm)
	c.waitUntil("the refusal is proposed", func() bool { return c.rep.Status().LastIndex > last })
	return c, conn, vm, release
}

// nextFullOrders returns the next full list of orders, or nil if the session ends before it.
func (c *gatedCluster) nextFullOrders(conn *wire.Conn[wire.FromNode, wire.ToQueueNode]) *wire.Orders {
	for {
		m, err := conn.ReceiveWithin(c.ctx, waitTimeout)
		if err != nil {
			return nil
		}
		if m.Orders != nil && m.Orders.Full {
			return m.Orders
		}
	}
}

func (c *gatedCluster) refuse(conn *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM) {
	c.t.Helper()
	key, err := queue.ParseTaskKey(string(refusedRun.Task))
	assert.NilError(c.t, err)
	ends := queue.Ends{VM: vm.ID, Incarnation: vm.Incarnation, List: []queue.End{{Task: key, Run: refusedRun.Run, Outcome: queue.OutcomeRefused}}}
	assert.NilError(c.t, conn.Send(c.ctx, wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: ends}}))
}

func (c *gatedCluster) runsOf(id rudderfork.VMID) (n int) {
	c.rep.View(func(st *state.State) { n = len(st.Queues().VM(id).Runs()) })
	return n
}

// sendHeartbeatWithoutOrders sends a heartbeat of an agent that has no list of orders.
func (c *gatedCluster) sendHeartbeatWithoutOrders(conn *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM, sent int64) {
	c.t.Helper()
	assert.NilError(c.t, conn.Send(c.ctx, wire.FromNode{Heartbeat: &wire.VMHeartbeat{Sent: sent, VM: vm, Epoch: new(uint64)}}))
}

// awaitFullOrders returns the next full list of orders. It unblocks commits when the list has
// arrived, or after fullListTimeout if it has not.
func (c *gatedCluster) awaitFullOrders(conn *wire.Conn[wire.FromNode, wire.ToQueueNode], release func()) *wire.Orders {
	c.t.Helper()
	lists := make(chan *wire.Orders, 1)
	go func() { lists <- c.nextFullOrders(conn) }()
	select {
	case o := <-lists:
		release()
		return o
	case <-time.After(fullListTimeout):
		release()
		return <-lists
	}
}

func (c *gatedCluster) assertNotOrdered(o *wire.Orders) {
	c.t.Helper()
	assert.Assert(c.t, o != nil, "no full list of orders arrived")
	for _, r := range o.Start {
		assert.Assert(c.t, r.RunRef != refusedRun, "the list orders a run to start that was reported as refused")
	}
}

// TestFullListOrdersRefusedRun guards against a full list that is sent before a reported refusal is
// committed. The agent, which has lost its orders, would start the run, and the leader would
// start the task elsewhere as well.
func TestFullListOrdersRefusedRun(t *testing.T) {
	t.Run("in the next session, which reports the refusal again", func(t *testing.T) {
		c, conn, vm, release := newClusterWithRefusal(t)
		conn.Close()
		conn = c.openSession(string(vm.ID))
		c.refuse(conn, vm)
		c.sendHeartbeatWithoutOrders(conn, vm, 2)
		c.assertNotOrdered(c.awaitFullOrders(conn, release))
	})
	t.Run("in the next session, of an agent that was restarted", func(t *testing.T) {
		c, conn, vm, release := newClusterWithRefusal(t)
		conn.Close()
		conn = c.openSession(string(vm.ID))
		c.sendHeartbeatWithoutOrders(conn, vm, 2)
		c.assertNotOrdered(c.awaitFullOrders(conn, release))
	})
	t.Run("in the same session", func(t *testing.T) {
		c, conn, vm, release := newClusterWithRefusal(t)
		c.sched.mu.Lock()
		c.sched.fleet.vm(vm.ID).session.fullListDeadline = time.Time{} // as if the first list was sent long ago
		c.sched.mu.Unlock()
		c.sendHeartbeatWithoutOrders(conn, vm, 2)
		c.assertNotOrdered(c.awaitFullOrders(conn, release))
	})
}

// noCapacityExecutor answers starts with StartNoCapacity while refusesStart returns true, and
// receives no stops.
type noCapacityExecutor struct {
	*executor.Executor
	refusesStart func() bool
}

// Start implements rudderfork.Executor.
func (e *noCapacityExecutor) Start(ctx context.Context, inc string, s rudderfork.RunStart) (out rudderfork.StartOutcome, err error) {
	if e.refusesStart() {
		return rudderfork.StartNoCapacity, nil
	}
	return e.Executor.Start(ctx, inc, s)
}

// Stop implements rudderfork.Executor. The call is lost.
func (e *noCapacityExecutor) Stop(context.Context, string, rudderfork.RunRef, uint64) error {
	return context.DeadlineExceeded
}

// runAgent runs an agent of a VM until stop is called or the test ends.
func (c *gatedCluster) runAgent(name string, e *noCapacityExecutor) (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	a := runner.New(name, c.seeds, e, zerolog.Nop())
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
	c.t.Cleanup(stop)
	return stop
}

// twoVMCluster is a cluster of two VMs. The first VM that is ordered to start a run refuses it;
// commits are blocked from then on until release is called.
type twoVMCluster struct {
	*gatedCluster
	executors     map[string]*noCapacityExecutor
	stopAgent     map[string]func()
	mu            sync.Mutex
	refuser       string // VM that refused a run
	lastAtRefusal uint64 // index of the last log entry when it did
	release       func()
	ranTwice      bool // the task was running on one VM when it started on the other
}

func newTwoVMCluster(t *testing.T) *twoVMCluster {
	c := &twoVMCluster{gatedCluster: newGatedCluster(t, Settings{Lease: testLease}), executors: map[string]*noCapacityExecutor{}, stopAgent: map[string]func(){}}
	c.commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	for _, name := range []string{"vm1", "vm2"} {
		c.executors[name] = &noCapacityExecutor{
			Executor: executor.New(name+"-life", executor.Config{
				Now: steady.Now, Capacity: rudderfork.Resources{CPUMilli: 4_000, MemoryMB: 1_000},
				OnStart: func(rudderfork.RunRef) { c.recordStart(name) },
			}),
			refusesStart: func() bool { return c.refuseFirst(name) },
		}
		c.stopAgent[name] = c.runAgent(name, c.executors[name])
		c.waitUntil(name+" is registered", func() bool { return c.isLive(rudderfork.VMID(name)) })
	}
	return c
}

// refuseFirst reports whether a start is refused, and if so blocks commits: the first start is.
func (c *twoVMCluster) refuseFirst(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuser != "" {
		return false
	}
	c.refuser, c.lastAtRefusal, c.release = name, c.rep.Status().LastIndex, c.blockCommits()
	return true
}

func (c *twoVMCluster) refusalProposed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refuser != "" && c.rep.Status().LastIndex > c.lastAtRefusal
}

func (c *twoVMCluster) recordStart(on string) {
	for name, e := range c.executors {
		if name != on && len(e.Running()) > 0 {
			c.mu.Lock()
			c.ranTwice = true
			c.mu.Unlock()
		}
	}
}

// isRunning reports whether an executor is running the run of the given number.
func (c *twoVMCluster) isRunning(run uint32) bool {
	for _, e := range c.executors {
		if list := e.Running(); len(list) > 0 && list[0].Run == run {
			return true
		}
	}
	return false
}

// TestRefusedRunRunsTwice guards against a task that runs on two VMs at once, because an agent was
// restarted before its report of a refusal was committed.
func TestRefusedRunRunsTwice(t *testing.T) {
	c := newTwoVMCluster(t)
	c.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/job", Spec: queue.Spec{Steps: []queue.Step{{Count: 1, Size: smallStep.Size, Lasting: true}}}}})
	c.waitUntil("a refusal is proposed", func() bool {
		if c.runsOf("vm1")+c.runsOf("vm2") == 0 {
			c.sched.round(c.ctx)
		}
		return c.refusalProposed()
	})
	c.stopAgent[c.refuser]()
	c.runAgent(c.refuser, c.executors[c.refuser])
	for deadline := steady.Now().Add(testLease / 2); !c.isRunning(refusedRun.Run) && steady.Now().Before(deadline); {
		steady.Pause(c.ctx, 10*time.Millisecond)
	}
	c.release()
	c.waitUntil("the second run is running", func() bool {
		c.sched.round(c.ctx)
		return c.isRunning(refusedRun.Run + 1)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, !c.ranTwice, "the first run was still running when the second started")
}

func (c *gatedCluster) isLive(id rudderfork.VMID) (ok bool) {
	c.rep.View(func(st *state.State) {
		vm := st.Queues().VM(id)
		ok = vm != nil && vm.Live
	})
	return ok
}
