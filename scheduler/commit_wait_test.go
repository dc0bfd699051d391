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

// gatedCluster is a cluster whose commits the test can block. Rounds run only when the test makes
// them.
type gatedCluster struct {
	*testCluster
	rep   *replica.Replica
	store *gatedStore
}

func newGatedCluster(t *testing.T, cfg Settings) *gatedCluster {
	store := &gatedStore{}
	rep := newReplicaWithStore(t, func(s replica.Store) replica.Store { store.Store = s; return store }, selfMember)
	h := &gatedCluster{testCluster: &testCluster{t: t, ctx: t.Context()}, rep: rep, store: store}
	h.sched = New(cfg, rep, nil, zerolog.Nop(), noPeers{})
	h.addr = serveSessions(t, h.sched)
	h.serve(rep)
	h.waitUntil("it leads", rep.Leads)
	h.sched.startTerm(rep.Status().Term)
	return h
}

// blockCommits blocks commits until release is called or the test ends.
func (h *gatedCluster) blockCommits() (release func()) {
	gate := make(chan struct{})
	h.store.gate.Store(&gate)
	release = sync.OnceFunc(func() { h.store.gate.Store(nil); close(gate) })
	h.t.Cleanup(release)
	return release
}

// registerAgent opens a session as the agent of a VM, and registers the VM.
func (h *gatedCluster) registerAgent(vm queue.VM) *wire.Conn[wire.FromNode, wire.ToQueueNode] {
	h.t.Helper()
	c := h.openSession(string(vm.ID))
	h.sendHeartbeat(c, vm, 1)
	g := h.nextGrant(c)
	assert.Assert(h.t, g != nil && g.LeaseMS > 0, "%+v", g)
	return c
}

func (h *gatedCluster) sendHeartbeat(c *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM, sent int64) {
	h.t.Helper()
	assert.NilError(h.t, c.Send(h.ctx, wire.FromNode{Heartbeat: &wire.VMHeartbeat{Sent: sent, VM: vm}}))
}

// nextGrant returns the next grant, or nil if the session ends before it.
func (h *gatedCluster) nextGrant(c *wire.Conn[wire.FromNode, wire.ToQueueNode]) *wire.VMGrant {
	for {
		m, err := c.ReceiveWithin(h.ctx, waitTimeout)
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
	h := newGatedCluster(t, Settings{Lease: testLease})
	c := h.registerAgent(onlyVM)
	h.blockCommits()
	last := h.rep.Status().LastIndex
	ends := queue.Ends{VM: onlyVM.ID, Incarnation: onlyVM.Incarnation, List: []queue.End{{Task: queue.TaskKey{Job: "j"}, Run: 1, Outcome: queue.OutcomeDone}}}
	assert.NilError(t, c.Send(h.ctx, wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: ends}}))
	h.waitUntil("the report is proposed", func() bool { return h.rep.Status().LastIndex > last })
	h.sendHeartbeat(c, onlyVM, 2)
	g := h.nextGrant(c)
	assert.Assert(t, g != nil, "the session ended while the heartbeat waited")
	assert.Equal(t, g.Sent, int64(2))
}

// TestStartsBlockedByLosses guards against starts that are proposed only after the loss of another
// VM is committed.
func TestStartsBlockedByLosses(t *testing.T) {
	h := newGatedCluster(t, Settings{Lease: waitTimeout})
	vm := onlyVM
	vm.Capacity.CPUMilli = smallStep.Size.CPUMilli
	c := h.registerAgent(vm)
	h.commit(queue.Command{Register: &queue.VM{ID: "gone", Incarnation: "life"}})
	h.commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	h.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/j", Spec: queue.Spec{Steps: []queue.Step{smallStep}}}})
	h.blockCommits()
	last := h.rep.Status().LastIndex
	h.sendHeartbeat(c, vm, 2)
	assert.Assert(t, h.nextGrant(c) != nil)
	ctx, cancel := context.WithCancel(h.ctx)
	ended := make(chan struct{})
	go func() { defer close(ended); h.sched.round(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	h.waitUntil("the loss is proposed", func() bool { return h.rep.Status().LastIndex > last })
	h.waitUntil("the start is also proposed, or the round has ended", func() bool {
		select {
		case <-ended:
			return true
		default:
			return h.rep.Status().LastIndex == last+2
		}
	})
	assert.Equal(t, h.rep.Status().LastIndex, last+2)
}

func (h *gatedCluster) commit(c queue.Command) {
	h.t.Helper()
	_, err := h.sched.do(h.ctx, c)
	assert.NilError(h.t, err)
}

// TestVMUsableInSessionWithoutEpoch guards against starts that are placed on a VM whose current
// session has no epoch yet, and so sends its agent no orders.
func TestVMUsableInSessionWithoutEpoch(t *testing.T) {
	h := newGatedCluster(t, Settings{Lease: testLease})
	c := h.registerAgent(onlyVM)
	h.blockCommits()
	last := h.rep.Status().LastIndex
	grown := onlyVM
	grown.Capacity.CPUMilli++
	h.sendHeartbeat(c, grown, 2)
	h.waitUntil("its description is proposed", func() bool { return h.rep.Status().LastIndex > last })
	c = h.openSession(string(onlyVM.ID))
	h.sendHeartbeat(c, grown, 3)
	g := h.nextGrant(c)
	assert.Assert(t, g != nil && g.Epoch == 0, "%+v", g)
	h.sched.mu.Lock()
	defer h.sched.mu.Unlock()
	assert.Assert(t, !h.sched.fleet.vm(onlyVM.ID).usable(steady.Now()))
}

// TestUnacknowledgedRegistrationBlocksLease guards against a VM that gets no lease after it was lost
// and registered again, because its session ended before that registration was committed.
func TestUnacknowledgedRegistrationBlocksLease(t *testing.T) {
	h := newGatedCluster(t, Settings{Lease: testLease})
	h.registerAgent(onlyVM).Close()
	h.waitUntil("it is lost", func() bool { h.sched.round(h.ctx); return !h.isLive(onlyVM.ID) })
	release := h.blockCommits()
	last := h.rep.Status().LastIndex
	c := h.openSession(string(onlyVM.ID))
	h.sendHeartbeat(c, onlyVM, 2)
	h.waitUntil("its registration is proposed", func() bool { return h.rep.Status().LastIndex > last })
	assert.Assert(t, h.nextGrant(c) == nil, "the commit is held")
	release()
	h.waitUntil("its registration is committed", func() bool { return h.isLive(onlyVM.ID) })
	c = h.openSession(string(onlyVM.ID))
	h.sendHeartbeat(c, onlyVM, 3)
	g := h.nextGrant(c)
	assert.Assert(t, g != nil && g.LeaseMS > 0, "%+v", g)
}
