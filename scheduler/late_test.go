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
	oldLife = "life-b"
	newLife = "life-a"
	lateVM  = rudderfork.VMID("vm1")
)

// speaker is an agent's session, spoken message by message.
type speaker struct {
	s       *site
	conn    *wire.Conn[wire.FromNode, wire.ToQueueNode]
	started map[rudderfork.RunRef]bool
	stopped map[rudderfork.RunRef]bool
}

// speak opens a session of the VM's agent. Until it sends a heartbeat, the leader
// does not know which VM it is of.
func (s *site) speak() *speaker {
	s.t.Helper()
	p := &speaker{s: s, started: map[rudderfork.RunRef]bool{}, stopped: map[rudderfork.RunRef]bool{}}
	s.until("a session is opened", func() bool {
		c, err := wire.Dial[wire.FromNode, wire.ToQueueNode](s.ctx, "ws://"+s.addr+"/queues", wire.QueueSession)
		if err != nil {
			return false
		}
		assert.NilError(s.t, c.Send(s.ctx, wire.FromNode{Hello: &wire.QueueHello{Version: wire.Version, Process: string(lateVM)}}))
		m, err := c.ReceiveWithin(s.ctx, waitLimit)
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
func (s *site) speakTwice(life string) (before, now *speaker, epoch uint64) {
	s.t.Helper()
	before, now = s.speak(), s.speak()
	if life != "" {
		before.beat(life)
	}
	epoch = now.beat(newLife).Epoch
	now.atWork(newLife)
	return before, now, epoch
}

func beatOf(life string) wire.VMBeat {
	return wire.VMBeat{Sent: steady.Now().UnixNano(), VM: queue.VM{
		ID: lateVM, Domain: "hall", Incarnation: life, Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000},
	}}
}

// beat sends a heartbeat and waits for its grant.
func (p *speaker) beat(life string) *wire.VMGrant {
	p.s.t.Helper()
	b := beatOf(life)
	assert.NilError(p.s.t, p.conn.Send(p.s.ctx, wire.FromNode{Beat: &b}))
	for {
		m, err := p.conn.ReceiveWithin(p.s.ctx, waitLimit)
		assert.NilError(p.s.t, err)
		if m.Orders != nil {
			for _, o := range m.Orders.Start {
				p.started[o.RunRef] = true
			}
			for _, r := range m.Orders.Stop {
				p.stopped[r] = true
			}
		}
		if m.Grant != nil {
			return m.Grant
		}
	}
}

// late sends a message, and waits until the leader has dealt with it: it answers
// what is sent after it, or ends the session.
func (p *speaker) late(m wire.FromNode) {
	p.s.t.Helper()
	for _, m := range []wire.FromNode{m, {Ping: 1}} {
		if p.conn.Send(p.s.ctx, m) != nil {
			return
		}
	}
	for {
		m, err := p.conn.ReceiveWithin(p.s.ctx, waitLimit)
		if err != nil || m.Pong != 0 {
			return
		}
	}
}

// lateBeat sends a heartbeat that would harm whatever took it for its own.
func (p *speaker) lateBeat(life string) {
	p.s.t.Helper()
	b := beatOf(life)
	b.Draining = true
	b.Rows = []rudderfork.RunRow{{RunRef: rudderfork.RunRef{Task: "feed.0.0.0", Run: 1}, Load: 9999, Percent: 3, Held: 100}}
	p.late(wire.FromNode{Beat: &b})
}

// atWork has a lasting task started on the VM's present life.
func (p *speaker) atWork(life string) {
	p.s.t.Helper()
	p.s.put(nil)
	p.s.submit("feed", "", queue.Step{Count: 1, Size: small.Size, Lasting: true})
	p.s.until("the feed is ordered", func() bool {
		p.beat(life)
		return len(p.started) == 1
	})
}

// checkPresent holds that the VM is in its new life, whose epoch, run, load and
// state are its own.
func (s *site) checkPresent(p *speaker, epoch uint64) {
	s.t.Helper()
	grant := p.beat(newLife)
	assert.Equal(s.t, grant.Epoch, epoch)
	assert.Assert(s.t, grant.LeaseMS > 0)
	assert.Equal(s.t, len(p.stopped), 0)
	s.sched.rep.View(func(st *state.State) {
		vm := st.Queues().VM(lateVM)
		assert.Equal(s.t, vm.Incarnation, newLife)
		assert.Equal(s.t, vm.Epoch, epoch)
		assert.Assert(s.t, vm.Live)
		assert.Equal(s.t, len(vm.Runs()), 1)
	})
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	v := s.sched.fleet.vm(lateVM)
	assert.Equal(s.t, v.beat.VM.Incarnation, newLife)
	assert.Assert(s.t, !v.beat.Draining)
	assert.Equal(s.t, len(v.rows), 0, "a load of the old life's")
}

// TestLateBeats delivers messages in an agent's earlier session, after the agent
// has spoken of a newer life in a later one.
func TestLateBeats(t *testing.T) {
	t.Run("of a life that was registered", func(t *testing.T) {
		s := newSite(t, nil)
		before, now, epoch := s.speakTwice(oldLife)
		before.lateBeat(oldLife)
		s.checkPresent(now, epoch)
	})
	t.Run("of a life that never was", func(t *testing.T) {
		s := newSite(t, nil)
		before, now, epoch := s.speakTwice("")
		before.lateBeat(oldLife)
		s.checkPresent(now, epoch)
	})
	t.Run("of the same life", func(t *testing.T) {
		s := newSite(t, nil)
		before, now, epoch := s.speakTwice(newLife)
		before.lateBeat(newLife)
		s.sched.mu.Lock()
		draining := s.sched.fleet.vm(lateVM).beat.Draining
		s.sched.mu.Unlock()
		assert.Assert(t, !draining)
		s.checkPresent(now, epoch)
	})
	t.Run("ends, and that it has left", func(t *testing.T) {
		s := newSite(t, nil)
		before, now, epoch := s.speakTwice(oldLife)
		list := []queue.End{{Task: queue.TaskKey{Job: "feed"}, Run: 1, How: queue.EndFailed}}
		before.late(wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: queue.Ends{VM: lateVM, Incarnation: oldLife, List: list}, Left: true}})
		s.checkPresent(now, epoch)
	})
	t.Run("a refusal of a run that the next process has started", func(t *testing.T) {
		s := newSite(t, nil)
		before, now, epoch := s.speakTwice(newLife)
		list := []queue.End{{Task: queue.TaskKey{Job: "feed"}, Run: 1, How: queue.EndRefused}}
		before.late(wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: queue.Ends{VM: lateVM, Incarnation: newLife, List: list}}})
		s.checkPresent(now, epoch)
	})
	t.Run("after the later session has ended", func(t *testing.T) {
		s := newSite(t, nil)
		before, now, epoch := s.speakTwice(oldLife)
		now.conn.Close()
		s.until("the session has ended", func() bool {
			s.sched.mu.Lock()
			defer s.sched.mu.Unlock()
			return s.sched.fleet.vm(lateVM).session == nil
		})
		before.lateBeat(oldLife)
		again := s.speak()
		s.checkPresent(again, epoch)
	})
}

// TestRegistrationsInOrder has a heartbeat arrive while the VM is registered from
// another session: it waits for its turn.
func TestRegistrationsInOrder(t *testing.T) {
	s := newSite(t, nil)
	p := s.speak()
	setRegistering := func(on bool) {
		s.sched.mu.Lock()
		defer s.sched.mu.Unlock()
		s.sched.fleet.vm(lateVM).registering = on
	}
	setRegistering(true)
	grant := p.beat(newLife)
	assert.Equal(t, grant.Epoch, uint64(0))
	assert.Equal(t, grant.LeaseMS, int64(0))
	setRegistering(false)
	assert.Equal(t, p.beat(newLife).Epoch, uint64(1))
}
