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
const lateEvents = 40

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
type lateSessions struct {
	s      *site
	vm     rudderfork.VMID
	life   int // the present one
	held   [][]wire.FromNode
	spoken []*speaker

	registered int // life that was seen committed
}

// lateLife names a life. The names do not tell the order.
func lateLife(i int) string { return fmt.Sprintf("i-%03d", (i+1)*619%1000) }

func (m *lateSessions) reopen() {
	m.spoken = append(m.spoken, m.s.speak())
	m.held = append(m.held, nil)
}

func (m *lateSessions) send(msg wire.FromNode) {
	last := len(m.held) - 1
	m.held[last] = append(m.held[last], msg)
}

func (m *lateSessions) heartbeat(life int) {
	b := beatOf(lateLife(life))
	b.VM.ID = m.vm
	m.send(wire.FromNode{Beat: &b})
}

// farewell is the agent's report that the present life has left.
func (m *lateSessions) farewell() {
	m.send(wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: queue.Ends{VM: m.vm, Incarnation: lateLife(m.life)}, Left: true}})
	m.life++
}

// deliver brings the leader the next message of a session.
func (m *lateSessions) deliver(t *rapid.T, i int) {
	if len(m.held[i]) == 0 {
		return
	}
	msg := m.held[i][0]
	m.held[i] = m.held[i][1:]
	m.spoken[i].late(msg)
	m.check(t)
}

// check holds that the leader never goes back to an earlier life.
func (m *lateSessions) check(t *rapid.T) {
	vm := m.committed()
	if vm == nil {
		return
	}
	registered := -1
	for i := range m.life + 1 {
		if lateLife(i) == vm.Incarnation {
			registered = i
		}
	}
	assert.Assert(t, registered >= m.registered, "the leader went from life %d back to %d", m.registered, registered)
	m.registered = registered
}

func (m *lateSessions) committed() (vm *queue.VM) {
	m.s.sched.rep.View(func(st *state.State) { vm = st.Queues().VM(m.vm) })
	return vm
}

// TestLateSessions delays what an agent sends in each of its sessions, over
// crashes and farewells of its executor, so that earlier sessions are heard after
// later ones. In the end the present life is the one that is committed, and stays
// so whatever is late.
func TestLateSessions(t *testing.T) {
	s := newSiteWith(t, nil, time.Hour)
	vms := 0
	rapid.Check(t, func(t *rapid.T) {
		vms++
		m := &lateSessions{s: s, vm: rudderfork.VMID(fmt.Sprintf("vm-%d", vms)), registered: -1}
		m.reopen()
		for range rapid.IntRange(1, lateEvents).Draw(t, "events") {
			m.event(t)
		}
		m.reopen() // the session before may have been closed for what came late
		m.heartbeat(m.life)
		for i := len(m.held) - 1; i >= 0; i-- {
			for len(m.held[i]) > 0 {
				m.deliver(t, i)
			}
		}
		assert.Equal(t, m.registered, m.life)
		assert.Assert(t, m.committed().Live)
		for _, p := range m.spoken {
			p.conn.Close()
		}
	})
}

func (m *lateSessions) event(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		m.reopen()
	case 1:
		m.life++
	case 2:
		m.farewell()
	case 3, 4, 5:
		m.heartbeat(m.life)
	default:
		m.deliver(t, rapid.IntRange(0, len(m.held)-1).Draw(t, "session"))
	}
}
