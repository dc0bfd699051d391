package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// Two lives of one VM's executor, and the VM. Their names do not tell their order.
const (
	oldIncarnation = "life-b"
	newIncarnation = "life-a"
	testVM         = rudderfork.VMID("vm1")
)

// speaker is an agent's session, spoken message by message.
type agentClient struct {
	cluster     *testCluster
	conn        *wire.Conn[wire.FromNode, wire.ToQueueNode]
	startOrders map[rudderfork.RunRef]bool
	stopOrders  map[rudderfork.RunRef]bool
}

// speak opens a session of the VM's agent. Until it sends a heartbeat, the leader
// does not know which VM it is of.
func (s *testCluster) connectAgent() *agentClient {
	s.t.Helper()
	p := &agentClient{cluster: s, startOrders: map[rudderfork.RunRef]bool{}, stopOrders: map[rudderfork.RunRef]bool{}}
	s.waitUntil("a session is opened", func() bool {
		c, err := wire.Dial[wire.FromNode, wire.ToQueueNode](s.ctx, "ws://"+s.addr+"/queues", wire.QueueSession)
		if err != nil {
			return false
		}
		assert.NilError(s.t, c.Send(s.ctx, wire.FromNode{Hello: &wire.QueueHello{Version: wire.Version, Process: string(testVM)}}))
		m, err := c.ReceiveWithin(s.ctx, waitTimeout)
		if err != nil || m.Welcome == nil {
			c.Close()
			return false
		}
		p.conn = c
		return true
	})
	s.t.Cleanup(p.conn.Close)
	return p
}

// speakTwice opens two sessions of the VM's agent. In the first it speaks of a life,
// unless that is ""; in the second of the new one, where a task is at work.
func (s *testCluster) connectAgentTwice(life string) (before, now *agentClient, epoch uint64) {
	s.t.Helper()
	before, now = s.connectAgent(), s.connectAgent()
	if life != "" {
		before.heartbeat(life)
	}
	epoch = now.heartbeat(newIncarnation).Epoch
	now.startLastingTask(newIncarnation)
	return before, now, epoch
}

func heartbeatOf(life string) wire.VMHeartbeat {
	return wire.VMHeartbeat{Sent: steady.Now().UnixNano(), VM: queue.VM{
		ID: testVM, Domain: "hall", Incarnation: life, Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000},
	}}
}

// beat sends a heartbeat and waits for its grant.
func (p *agentClient) heartbeat(life string) *wire.VMGrant {
	p.cluster.t.Helper()
	b := heartbeatOf(life)
	assert.NilError(p.cluster.t, p.conn.Send(p.cluster.ctx, wire.FromNode{Heartbeat: &b}))
	for {
		m, err := p.conn.ReceiveWithin(p.cluster.ctx, waitTimeout)
		assert.NilError(p.cluster.t, err)
		if m.Orders != nil {
			for _, o := range m.Orders.Start {
				p.startOrders[o.RunRef] = true
			}
			for _, r := range m.Orders.Stop {
				p.stopOrders[r] = true
			}
		}
		if m.Grant != nil {
			return m.Grant
		}
	}
}

// late sends a message, and waits until the leader has dealt with it: it answers
// what is sent after it, or ends the session.
func (p *agentClient) sendAndWait(m wire.FromNode) {
	p.cluster.t.Helper()
	for _, m := range []wire.FromNode{m, {Ping: 1}} {
		if p.conn.Send(p.cluster.ctx, m) != nil {
			return
		}
	}
	for {
		m, err := p.conn.ReceiveWithin(p.cluster.ctx, waitTimeout)
		if err != nil || m.Pong != 0 {
			return
		}
	}
}

// lateBeat sends a heartbeat that would harm whatever took it for its own.
func (p *agentClient) sendStaleHeartbeat(life string) {
	p.cluster.t.Helper()
	b := heartbeatOf(life)
	b.Draining = true
	b.Rows = []rudderfork.RunStatus{{RunRef: rudderfork.RunRef{Task: "feed.0.0.0", Run: 1}, Load: 9999, Percent: 3, Held: 100}}
	p.sendAndWait(wire.FromNode{Heartbeat: &b})
}

// atWork has a lasting task started on the VM's present life.
func (p *agentClient) startLastingTask(life string) {
	p.cluster.t.Helper()
	p.cluster.putDocument(nil)
	p.cluster.submit("feed", "", queue.Step{Count: 1, Size: smallStep.Size, Lasting: true})
	p.cluster.waitUntil("the feed is ordered", func() bool {
		p.heartbeat(life)
		return len(p.startOrders) == 1
	})
}

// checkPresent holds that the VM is in its new life, whose epoch, run, load and
// state are its own.
func (s *testCluster) assertCurrent(p *agentClient, epoch uint64) {
	s.t.Helper()
	grant := p.heartbeat(newIncarnation)
	assert.Equal(s.t, grant.Epoch, epoch)
	assert.Assert(s.t, grant.LeaseMS > 0)
	assert.Equal(s.t, len(p.stopOrders), 0)
	s.sched.rep.View(func(st *state.State) {
		vm := st.Queues().VM(testVM)
		assert.Equal(s.t, vm.Incarnation, newIncarnation)
		assert.Equal(s.t, vm.Epoch, epoch)
		assert.Assert(s.t, vm.Live)
		assert.Equal(s.t, len(vm.Runs()), 1)
	})
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	v := s.sched.fleet.vm(testVM)
	assert.Equal(s.t, v.heartbeat.VM.Incarnation, newIncarnation)
	assert.Assert(s.t, !v.heartbeat.Draining)
	assert.Equal(s.t, len(v.runs), 0, "a load of the old life's")
}

// TestStaleSessionChangesVM delivers messages in an agent's earlier session, after the agent
// has spoken of a newer life in a later one.
func TestStaleSessionChangesVM(t *testing.T) {
	t.Run("of a life that was registered", func(t *testing.T) {
		s := newTestCluster(t, nil)
		before, now, epoch := s.connectAgentTwice(oldIncarnation)
		before.sendStaleHeartbeat(oldIncarnation)
		s.assertCurrent(now, epoch)
	})
	t.Run("of a life that never was", func(t *testing.T) {
		s := newTestCluster(t, nil)
		before, now, epoch := s.connectAgentTwice("")
		before.sendStaleHeartbeat(oldIncarnation)
		s.assertCurrent(now, epoch)
	})
	t.Run("of the same life", func(t *testing.T) {
		s := newTestCluster(t, nil)
		before, now, epoch := s.connectAgentTwice(newIncarnation)
		before.sendStaleHeartbeat(newIncarnation)
		s.sched.mu.Lock()
		draining := s.sched.fleet.vm(testVM).heartbeat.Draining
		s.sched.mu.Unlock()
		assert.Assert(t, !draining)
		s.assertCurrent(now, epoch)
	})
	t.Run("ends, and that it has left", func(t *testing.T) {
		s := newTestCluster(t, nil)
		before, now, epoch := s.connectAgentTwice(oldIncarnation)
		list := []queue.End{{Task: queue.TaskKey{Job: "feed"}, Run: 1, Outcome: queue.OutcomeFailed}}
		before.sendAndWait(wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: queue.Ends{VM: testVM, Incarnation: oldIncarnation, List: list}, Left: true}})
		s.assertCurrent(now, epoch)
	})
	t.Run("a refusal of a run that the next process has started", func(t *testing.T) {
		s := newTestCluster(t, nil)
		before, now, epoch := s.connectAgentTwice(newIncarnation)
		list := []queue.End{{Task: queue.TaskKey{Job: "feed"}, Run: 1, Outcome: queue.OutcomeRefused}}
		before.sendAndWait(wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: queue.Ends{VM: testVM, Incarnation: newIncarnation, List: list}}})
		s.assertCurrent(now, epoch)
	})
	t.Run("after the later session has ended", func(t *testing.T) {
		s := newTestCluster(t, nil)
		before, now, epoch := s.connectAgentTwice(oldIncarnation)
		now.conn.Close()
		s.waitUntil("the session has ended", func() bool {
			s.sched.mu.Lock()
			defer s.sched.mu.Unlock()
			return s.sched.fleet.vm(testVM).session == nil
		})
		before.sendStaleHeartbeat(oldIncarnation)
		again := s.connectAgent()
		s.assertCurrent(again, epoch)
	})
}

// TestConcurrentRegistrationsOfVM has a heartbeat arrive while the VM is registered from
// another session: it waits for its turn.
func TestConcurrentRegistrationsOfVM(t *testing.T) {
	s := newTestCluster(t, nil)
	p := s.connectAgent()
	setRegistering := func(on bool) {
		s.sched.mu.Lock()
		defer s.sched.mu.Unlock()
		s.sched.fleet.vm(testVM).registering = on
	}
	setRegistering(true)
	grant := p.heartbeat(newIncarnation)
	assert.Equal(t, grant.Epoch, uint64(0))
	assert.Equal(t, grant.LeaseMS, int64(0))
	setRegistering(false)
	assert.Equal(t, p.heartbeat(newIncarnation).Epoch, uint64(1))
}
