package scheduler

import (
	"context"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/wire"
)

// gatedCluster is a cluster whose commits the test can block. Rounds run only when the test calls
// them.
type gatedCluster struct {
	*testCluster
	rep   *replica.Replica
	store *gatedStore
}

func newGatedCluster(t *testing.T, cfg Settings) *gatedCluster {
	store := &gatedStore{}
	rep := newReplicaWithStore(t, func(s replica.Store) replica.Store { store.Store = s; return store }, selfMember)
	c := &gatedCluster{testCluster: &testCluster{t: t, ctx: t.Context()}, rep: rep, store: store}
	c.sched = New(cfg, rep, nil, zerolog.Nop(), noPeers{})
	c.addr = serveSessions(t, c.sched)
	c.serve(rep)
	c.waitUntil("it leads", rep.Leads)
	c.sched.startTerm(rep.Status().Term)
	return c
}

// blockCommits blocks commits until release is called or the test ends.
func (c *gatedCluster) blockCommits() (release func()) {
	gate := make(chan struct{})
	c.store.gate.Store(&gate)
	release = sync.OnceFunc(func() { c.store.gate.Store(nil); close(gate) })
	c.t.Cleanup(release)
	return release
}

// registerAgent opens a session as the agent of a VM, and registers the VM.
func (c *gatedCluster) registerAgent(vm queue.VM) *wire.Conn[wire.FromNode, wire.ToQueueNode] {
	c.t.Helper()
	conn := c.openSession(string(vm.ID))
	c.sendHeartbeat(conn, vm, 1)
	g := c.nextGrant(conn)
	assert.Assert(c.t, g != nil && g.LeaseMS > 0, "%+v", g)
	return conn
}

func (c *gatedCluster) sendHeartbeat(conn *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM, sent int64) {
	c.t.Helper()
	assert.NilError(c.t, conn.Send(c.ctx, wire.FromNode{Heartbeat: &wire.VMHeartbeat{Sent: sent, VM: vm}}))
}

// nextGrant returns the next grant, or nil if the session ends before it.
func (c *gatedCluster) nextGrant(conn *wire.Conn[wire.FromNode, wire.ToQueueNode]) *wire.VMGrant {
	for {
		m, err := conn.ReceiveWithin(c.ctx, waitTimeout)
		if err != nil {
			return nil
		}
		if m.Grant != nil {
			return m.Grant
		}
	}
}

var onlyVM = queue.VM{ID: "vm1", Incarnation: "vm1-life-1", Domain: "hall", Service: "desk"}

// TestHeartbeatBlockedByReport guards against a VM that loses its lease because its heartbeats are
// not answered while its agent's reports wait for their commits.
func TestHeartbeatBlockedByReport(t *testing.T) {
	c := newGatedCluster(t, Settings{Lease: testLease})
	conn := c.registerAgent(onlyVM)
	c.blockCommits()
	last := c.rep.Status().LastIndex
	ends := queue.Ends{VM: onlyVM.ID, Incarnation: onlyVM.Incarnation, List: []queue.End{{Task: queue.TaskKey{Job: "j"}, Run: 1, Outcome: queue.OutcomeDone}}}
	assert.NilError(t, conn.Send(c.ctx, wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: ends}}))
	c.waitUntil("the report is proposed", func() bool { return c.rep.Status().LastIndex > last })
	c.sendHeartbeat(conn, onlyVM, 2)
	g := c.nextGrant(conn)
	assert.Assert(t, g != nil, "the session ended while the heartbeat waited")
	assert.Equal(t, g.Sent, int64(2))
}

// TestStartsBlockedByLosses guards against starts that are proposed only after the loss of another
// VM is committed.
func TestStartsBlockedByLosses(t *testing.T) {
	c := newGatedCluster(t, Settings{Lease: waitTimeout})
	vm := onlyVM
	vm.Capacity.CPUMilli = smallStep.Size.CPUMilli
	conn := c.registerAgent(vm)
	c.commit(queue.Command{Register: &queue.VM{ID: "gone", Incarnation: "life"}})
	c.commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	c.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/j", Spec: queue.Spec{Steps: []queue.Step{smallStep}}}})
	c.blockCommits()
	last := c.rep.Status().LastIndex
	c.sendHeartbeat(conn, vm, 2)
	assert.Assert(t, c.nextGrant(conn) != nil)
	ctx, cancel := context.WithCancel(c.ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); c.sched.round(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	c.waitUntil("the loss is proposed", func() bool { return c.rep.Status().LastIndex > last })
	c.waitUntil("the start is also proposed, or the round has ended", func() bool {
		select {
		case <-ended:
			return true
		default:
			return c.rep.Status().LastIndex == last+2
		}
	})
	assert.Equal(t, c.rep.Status().LastIndex, last+2)
}

func (c *gatedCluster) commit(cmd queue.Command) {
	c.t.Helper()
	_, err := c.sched.do(c.ctx, cmd)
	assert.NilError(c.t, err)
}

// TestVMUsableInSessionWithoutEpoch guards against starts that are placed on a VM whose current
// session has no epoch yet, and so sends its agent no orders.
func TestVMUsableInSessionWithoutEpoch(t *testing.T) {
	c := newGatedCluster(t, Settings{Lease: testLease})
	conn := c.registerAgent(onlyVM)
	c.blockCommits()
	last := c.rep.Status().LastIndex
	grown := onlyVM
	grown.Capacity.CPUMilli++
	c.sendHeartbeat(conn, grown, 2)
	c.waitUntil("its description is proposed", func() bool { return c.rep.Status().LastIndex > last })
	conn = c.openSession(string(onlyVM.ID))
	c.sendHeartbeat(conn, grown, 3)
	g := c.nextGrant(conn)
	assert.Assert(t, g != nil && g.Epoch == 0, "%+v", g)
	c.sched.mu.Lock()
	defer c.sched.mu.Unlock()
	assert.Assert(t, !c.sched.fleet.vm(onlyVM.ID).usable(steady.Now()))
}

// TestUnacknowledgedRegistrationBlocksLease guards against a VM that gets no lease after it was lost
// and registered again, because its session ended before that registration was committed.
func TestUnacknowledgedRegistrationBlocksLease(t *testing.T) {
	c := newGatedCluster(t, Settings{Lease: testLease})
	c.registerAgent(onlyVM).Close()
	c.waitUntil("it is lost", func() bool { c.sched.round(c.ctx); return !c.isLive(onlyVM.ID) })
	release := c.blockCommits()
	last := c.rep.Status().LastIndex
	conn := c.openSession(string(onlyVM.ID))
	c.sendHeartbeat(conn, onlyVM, 2)
	c.waitUntil("its registration is proposed", func() bool { return c.rep.Status().LastIndex > last })
	assert.Assert(t, c.nextGrant(conn) == nil, "a grant was sent although the commit of the registration is blocked")
	release()
	c.waitUntil("its registration is committed", func() bool { return c.isLive(onlyVM.ID) })
	conn = c.openSession(string(onlyVM.ID))
	c.sendHeartbeat(conn, onlyVM, 3)
	g := c.nextGrant(conn)
	assert.Assert(t, g != nil && g.LeaseMS > 0, "%+v", g)
}
