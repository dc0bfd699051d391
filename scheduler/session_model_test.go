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

// maxModelEvents bounds the number of events in a random schedule.
const maxModelEvents = 40

// TestMain fixes the seed and the number of rapid's checks; flags on the command line override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "27", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// sessionModel holds the sessions of one agent with a real leader. Each message is delayed until
// deliver sends it; the messages of one session stay in order.
type sessionModel struct {
	cluster     *testCluster
	vm          rudderfork.VMID
	incarnation int               // number of the current one
	delayed     [][]wire.FromNode // by session
	clients     []*agentClient    // by session

	committedIncarnation int // number of the incarnation that was found committed last; -1 if none
}

// modelIncarnation returns the name of incarnation i. The names do not sort in the order of i.
func modelIncarnation(i int) string { return fmt.Sprintf("i-%03d", (i+1)*619%1000) }

func (m *sessionModel) openSession() {
	m.clients = append(m.clients, m.cluster.connectAgent())
	m.delayed = append(m.delayed, nil)
}

func (m *sessionModel) send(msg wire.FromNode) {
	last := len(m.delayed) - 1
	m.delayed[last] = append(m.delayed[last], msg)
}

func (m *sessionModel) heartbeat(inc int) {
	hb := heartbeatOf(modelIncarnation(inc))
	hb.VM.ID = m.vm
	m.send(wire.FromNode{Heartbeat: &hb})
}

// leave sends the report that the current incarnation gave its shutdown notice, and begins the next.
func (m *sessionModel) leave() {
	m.send(wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: queue.Ends{VM: m.vm, Incarnation: modelIncarnation(m.incarnation)}, Departed: true}})
	m.incarnation++
}

// deliver delivers the next message of session i, if there is one.
func (m *sessionModel) deliver(t *rapid.T, i int) {
	if len(m.delayed[i]) == 0 {
		return
	}
	msg := m.delayed[i][0]
	m.delayed[i] = m.delayed[i][1:]
	m.clients[i].sendAndWait(msg)
	m.assertNoReversal(t)
}

// assertNoReversal checks that the leader never goes back to an earlier incarnation.
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
	assert.Assert(t, registered >= m.committedIncarnation, "the leader went from incarnation %d back to %d", m.committedIncarnation, registered)
	m.committedIncarnation = registered
}

func (m *sessionModel) committedVM() (vm *queue.VM) {
	m.cluster.sched.rep.View(func(st *state.State) { vm = st.Queues().VM(m.vm) })
	return vm
}

// TestDelayedMessagesRevertIncarnation guards against a leader that goes back to an earlier
// incarnation when an agent's messages arrive late. Messages are delayed beyond crashes and
// departures of the executor, so that those of earlier sessions arrive after those of later ones.
// In the end the current incarnation is committed, whatever arrives after that.
func TestDelayedMessagesRevertIncarnation(t *testing.T) {
	c := newTestClusterWithLease(t, nil, time.Hour)
	vms := 0
	rapid.Check(t, func(t *rapid.T) {
		vms++
		m := &sessionModel{cluster: c, vm: rudderfork.VMID(fmt.Sprintf("vm-%d", vms)), committedIncarnation: -1}
		m.openSession()
		for range rapid.IntRange(1, maxModelEvents).Draw(t, "events") {
			m.drawEvent(t)
		}
		m.openSession() // stale messages may have closed the previous session
		m.heartbeat(m.incarnation)
		for i := len(m.delayed) - 1; i >= 0; i-- {
			for len(m.delayed[i]) > 0 {
				m.deliver(t, i)
			}
		}
		assert.Equal(t, m.committedIncarnation, m.incarnation)
		assert.Assert(t, m.committedVM().Live)
		for _, client := range m.clients {
			client.conn.Close()
		}
	})
}

// drawEvent carries out a random event.
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
