package scheduler

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// lateEvents is the most events of a drawn schedule.
const maxModelEvents = 40

// TestMain fixes the seed and number of the drawn schedules, unless the command
// line sets them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "27", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// lateSessions is an agent's sessions with a real leader. What the agent sends is
// held up, in each session in its order, until it is delivered.
type sessionModel struct {
	cluster     *testCluster
	vm          rudderfork.VMID
	incarnation int // the present one
	delayed     [][]wire.FromNode
	clients     []*agentClient

	committedIncarnation int // life that was seen committed
}

// lateLife names a life. The names do not tell the order.
func modelIncarnation(i int) string { return fmt.Sprintf("i-%03d", (i+1)*619%1000) }

func (m *sessionModel) openSession() {
	m.clients = append(m.clients, m.cluster.connectAgent())
	m.delayed = append(m.delayed, nil)
}

func (m *sessionModel) send(msg wire.FromNode) {
	last := len(m.delayed) - 1
	m.delayed[last] = append(m.delayed[last], msg)
}

func (m *sessionModel) heartbeat(life int) {
	b := heartbeatOf(modelIncarnation(life))
	b.VM.ID = m.vm
	m.send(wire.FromNode{Heartbeat: &b})
}

// farewell is the agent's report that the present life has left.
func (m *sessionModel) leave() {
	m.send(wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: queue.Ends{VM: m.vm, Incarnation: modelIncarnation(m.incarnation)}, Left: true}})
	m.incarnation++
}

// deliver brings the leader the next message of a session.
func (m *sessionModel) deliver(t *rapid.T, i int) {
	if len(m.delayed[i]) == 0 {
		return
	}
	msg := m.delayed[i][0]
	m.delayed[i] = m.delayed[i][1:]
	m.clients[i].sendAndWait(msg)
	m.assertNoReversal(t)
}

// check holds that the leader never goes back to an earlier life.
func (m *sessionModel) assertNoReversal(t *rapid.T) {
	vm := m.committedVM()
	if vm == nil {
		return
	}
	registered := -1
	for i := range m.incarnation + 1 {
		if modelIncarnation(i) == vm.Incarnation {
			registered = i
		}
	}
	assert.Assert(t, registered >= m.committedIncarnation, "the leader went from life %d back to %d", m.committedIncarnation, registered)
	m.committedIncarnation = registered
}

func (m *sessionModel) committedVM() (vm *queue.VM) {
	m.cluster.sched.rep.View(func(st *state.State) { vm = st.Queues().VM(m.vm) })
	return vm
}

// TestDelayedMessagesRevertIncarnation delays what an agent sends in each of its sessions, over
// crashes and farewells of its executor, so that earlier sessions are heard after
// later ones. In the end the present life is the one that is committed, and stays
// so whatever is late.
func TestDelayedMessagesRevertIncarnation(t *testing.T) {
	s := newTestClusterWithLease(t, nil, time.Hour)
	vms := 0
	rapid.Check(t, func(t *rapid.T) {
		vms++
		m := &sessionModel{cluster: s, vm: rudderfork.VMID(fmt.Sprintf("vm-%d", vms)), committedIncarnation: -1}
		m.openSession()
		for range rapid.IntRange(1, maxModelEvents).Draw(t, "events") {
			m.drawEvent(t)
		}
		m.openSession() // the session before may have been closed for what came late
		m.heartbeat(m.incarnation)
		for i := len(m.delayed) - 1; i >= 0; i-- {
			for len(m.delayed[i]) > 0 {
				m.deliver(t, i)
			}
		}
		assert.Equal(t, m.committedIncarnation, m.incarnation)
		assert.Assert(t, m.committedVM().Live)
		for _, p := range m.clients {
			p.conn.Close()
		}
	})
}

func (m *sessionModel) drawEvent(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		m.openSession()
	case 1:
		m.incarnation++
	case 2:
		m.leave()
	case 3, 4, 5:
		m.heartbeat(m.incarnation)
	default:
		m.deliver(t, rapid.IntRange(0, len(m.delayed)-1).Draw(t, "session"))
	}
}
