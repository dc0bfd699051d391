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

// Two incarnations of the executor of testVM. Their names do not sort in the order of their starts.
const (
	oldIncarnation = "life-b"
	newIncarnation = "life-a"
	testVM         = rudderfork.VMID("vm1")
)

// agentClient is the agent's end of a session. The test sends each message itself.
type agentClient struct {
	cluster     *testCluster
	conn        *wire.Conn[wire.FromNode, wire.ToQueueNode]
	startOrders map[rudderfork.RunRef]bool // runs that heartbeat received a start order for
	stopOrders  map[rudderfork.RunRef]bool // runs that heartbeat received a stop order for
}

// connectAgent opens a session as the agent of testVM. The leader learns which VM it belongs to
// from the first heartbeat.
func (c *testCluster) connectAgent() *agentClient {
	c.t.Helper()
	client := &agentClient{cluster: c, startOrders: map[rudderfork.RunRef]bool{}, stopOrders: map[rudderfork.RunRef]bool{}}
	c.waitUntil("a session is opened", func() bool {
		conn, err := wire.Dial[wire.FromNode, wire.ToQueueNode](c.ctx, "ws://"+c.addr+"/queues", wire.QueueSession)
		if err != nil {
			return false
		}
		assert.NilError(c.t, conn.Send(c.ctx, wire.FromNode{Hello: &wire.QueueHello{Version: wire.Version, Process: string(testVM)}}))
		m, err := conn.ReceiveWithin(c.ctx, waitTimeout)
		if err != nil || m.Welcome == nil {
			conn.Close()
			return false
		}
		client.conn = conn
		return true
	})
	c.t.Cleanup(client.conn.Close)
	return client
}

// connectAgentTwice opens two sessions as the agent of testVM. The first sends a heartbeat of
// incarnation inc, unless that is "". The second sends one of newIncarnation, on which a lasting
// task is then started.
func (c *testCluster) connectAgentTwice(inc string) (earlier, current *agentClient, epoch uint64) {
	c.t.Helper()
	earlier, current = c.connectAgent(), c.connectAgent()
	if inc != "" {
		earlier.heartbeat(inc)
	}
	epoch = current.heartbeat(newIncarnation).Epoch
	current.startLastingTask(newIncarnation)
	return earlier, current, epoch
}

func heartbeatOf(inc string) wire.VMHeartbeat {
	return wire.VMHeartbeat{Sent: steady.Now().UnixNano(), VM: queue.VM{
		ID: testVM, Domain: "hall", Incarnation: inc, Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000},
	}}
}

// heartbeat sends a heartbeat and returns its grant, recording the orders that arrive before it.
func (c *agentClient) heartbeat(inc string) *wire.VMGrant {
	c.cluster.t.Helper()
	hb := heartbeatOf(inc)
	assert.NilError(c.cluster.t, c.conn.Send(c.cluster.ctx, wire.FromNode{Heartbeat: &hb}))
	for {
		m, err := c.conn.ReceiveWithin(c.cluster.ctx, waitTimeout)
		assert.NilError(c.cluster.t, err)
		if m.Orders != nil {
			for _, o := range m.Orders.Start {
				c.startOrders[o.RunRef] = true
			}
			for _, r := range m.Orders.Stop {
				c.stopOrders[r] = true
			}
		}
		if m.Grant != nil {
			return m.Grant
		}
	}
}

// sendAndWait sends a message and returns when the leader has handled it: when it answers a ping
// sent after it, or ends the session.
func (c *agentClient) sendAndWait(m wire.FromNode) {
	c.cluster.t.Helper()
	for _, m := range []wire.FromNode{m, {Ping: 1}} {
		if c.conn.Send(c.cluster.ctx, m) != nil {
			return
		}
	}
	for {
		m, err := c.conn.ReceiveWithin(c.cluster.ctx, waitTimeout)
		if err != nil || m.Pong != 0 {
			return
		}
	}
}

// sendStaleHeartbeat sends a heartbeat with a run status and the draining flag. A leader that
// accepted it would record both for the wrong incarnation.
func (c *agentClient) sendStaleHeartbeat(inc string) {
	c.cluster.t.Helper()
	hb := heartbeatOf(inc)
	hb.Draining = true
	hb.Runs = []rudderfork.RunStatus{{RunRef: rudderfork.RunRef{Task: "feed.0.0.0", Run: 1}, Load: 9999, Percent: 3, PacedDownPercent: 100}}
	c.sendAndWait(wire.FromNode{Heartbeat: &hb})
}

// startLastingTask submits a lasting task and waits for the order to start it.
func (c *agentClient) startLastingTask(inc string) {
	c.cluster.t.Helper()
	c.cluster.putDocument(nil)
	c.cluster.submit("feed", "", queue.Step{Count: 1, Size: smallStep.Size, Lasting: true})
	c.cluster.waitUntil("the lasting task is ordered", func() bool {
		c.heartbeat(inc)
		return len(c.startOrders) == 1
	})
}

// assertCurrent checks that the VM is registered with newIncarnation, and that its epoch, run,
// load and draining flag are unaffected by earlier sessions.
func (c *testCluster) assertCurrent(client *agentClient, epoch uint64) {
	c.t.Helper()
	grant := client.heartbeat(newIncarnation)
	assert.Equal(c.t, grant.Epoch, epoch)
	assert.Assert(c.t, grant.LeaseMS > 0)
	assert.Equal(c.t, len(client.stopOrders), 0)
	c.sched.rep.View(func(st *state.State) {
		vm := st.Queues().VM(testVM)
		assert.Equal(c.t, vm.Incarnation, newIncarnation)
		assert.Equal(c.t, vm.Epoch, epoch)
		assert.Assert(c.t, vm.Live)
		assert.Equal(c.t, len(vm.Runs()), 1)
	})
	c.sched.mu.Lock()
	defer c.sched.mu.Unlock()
	v := c.sched.fleet.vm(testVM)
	assert.Equal(c.t, v.heartbeat.VM.Incarnation, newIncarnation)
	assert.Assert(c.t, !v.heartbeat.Draining)
	assert.Equal(c.t, len(v.runs), 0, "a load of the old incarnation was recorded")
}

// TestStaleSessionChangesVM guards against messages that change the VM although they arrive in an
// earlier session of its agent, after the agent's heartbeat in a later session.
func TestStaleSessionChangesVM(t *testing.T) {
	t.Run("heartbeat of a registered incarnation", func(t *testing.T) {
		c := newTestCluster(t, nil)
		earlier, current, epoch := c.connectAgentTwice(oldIncarnation)
		earlier.sendStaleHeartbeat(oldIncarnation)
		c.assertCurrent(current, epoch)
	})
	t.Run("heartbeat of an incarnation never registered", func(t *testing.T) {
		c := newTestCluster(t, nil)
		earlier, current, epoch := c.connectAgentTwice("")
		earlier.sendStaleHeartbeat(oldIncarnation)
		c.assertCurrent(current, epoch)
	})
	t.Run("heartbeat of the current incarnation", func(t *testing.T) {
		c := newTestCluster(t, nil)
		earlier, current, epoch := c.connectAgentTwice(newIncarnation)
		earlier.sendStaleHeartbeat(newIncarnation)
		c.sched.mu.Lock()
		draining := c.sched.fleet.vm(testVM).heartbeat.Draining
		c.sched.mu.Unlock()
		assert.Assert(t, !draining)
		c.assertCurrent(current, epoch)
	})
	t.Run("ends of runs and the shutdown notice", func(t *testing.T) {
		c := newTestCluster(t, nil)
		earlier, current, epoch := c.connectAgentTwice(oldIncarnation)
		list := []queue.End{{Task: queue.TaskKey{Job: "feed"}, Run: 1, Outcome: queue.OutcomeFailed}}
		earlier.sendAndWait(wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: queue.Ends{VM: testVM, Incarnation: oldIncarnation, List: list}, Departed: true}})
		c.assertCurrent(current, epoch)
	})
	t.Run("refusal of a run that the next agent process has started", func(t *testing.T) {
		c := newTestCluster(t, nil)
		earlier, current, epoch := c.connectAgentTwice(newIncarnation)
		list := []queue.End{{Task: queue.TaskKey{Job: "feed"}, Run: 1, Outcome: queue.OutcomeRefused}}
		earlier.sendAndWait(wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: queue.Ends{VM: testVM, Incarnation: newIncarnation, List: list}}})
		c.assertCurrent(current, epoch)
	})
	t.Run("heartbeat after the later session has ended", func(t *testing.T) {
		c := newTestCluster(t, nil)
		earlier, current, epoch := c.connectAgentTwice(oldIncarnation)
		current.conn.Close()
		c.waitUntil("the session has ended", func() bool {
			c.sched.mu.Lock()
			defer c.sched.mu.Unlock()
			return c.sched.fleet.vm(testVM).session == nil
		})
		earlier.sendStaleHeartbeat(oldIncarnation)
		again := c.connectAgent()
		c.assertCurrent(again, epoch)
	})
}

// TestConcurrentRegistrationsOfVM guards against a heartbeat that registers the VM while another
// session is registering it. The VM gets no epoch and no lease from it until that has finished.
func TestConcurrentRegistrationsOfVM(t *testing.T) {
	c := newTestCluster(t, nil)
	client := c.connectAgent()
	setRegistering := func(on bool) {
		c.sched.mu.Lock()
		defer c.sched.mu.Unlock()
		c.sched.fleet.vm(testVM).registering = on
	}
	setRegistering(true)
	grant := client.heartbeat(newIncarnation)
	assert.Equal(t, grant.Epoch, uint64(0))
	assert.Equal(t, grant.LeaseMS, int64(0))
	setRegistering(false)
	assert.Equal(t, client.heartbeat(newIncarnation).Epoch, uint64(1))
}
