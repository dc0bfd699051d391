package runner

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/wire"
)

// TestMain fixes the seed, number and length of the drawn schedules, unless the
// command line sets them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "27", "rapid.checks": "500", "rapid.steps": "80"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// modelVM is the VM of the model.
const modelVM = rudderfork.VMID("vm1")

// staleModel models an executor that crashes and leaves, its agent, the leader's committed state,
// and the messages under way between them. As package scheduler does, the leader accepts heartbeats
// only from the agent's latest session.
type staleModel struct {
	t         *rapid.T
	name      func(inc int) string
	exec      *executor.Executor
	inc       int  // number of the executor's present incarnation, from 0
	mute      bool // it leaves polls unanswered
	crashNext bool // it crashes as soon as it has answered the next poll
	inFlight  []executorCall

	a        *Agent
	known    int // newest incarnation that this agent has recognized, or -1
	sessions []agentSession

	lastSession int // latest session from which the leader received a heartbeat
	state       *queue.State
	registered  int // incarnation that is committed, or -1
}

// executorCall is a heartbeat or a shutdown notice of an incarnation.
type executorCall struct {
	inc            int
	draining       bool // it announces that it leaves in a minute
	shutdownNotice bool
}

// agentSession holds what was sent in one session and has not been delivered.
type agentSession struct {
	agent    *Agent
	messages []wire.FromNode
	sent     map[uint64]bool // reports that were sent
}

// otherID names an incarnation with an id of its own. The names have no order.
func otherID(i int) string { return fmt.Sprintf("i-%03d", (i+1)*619%1000) }

// sameID names an incarnation with the same id as all others. The start times have no order either,
// as if the clock had been set back.
func sameID(i int) string { return rudderfork.IncarnationName("i-1", int64((i+1)*619%1000)) }

func newStaleModel(t *rapid.T, name func(inc int) string) *staleModel {
	m := &staleModel{t: t, name: name, state: queue.New(), registered: -1}
	m.exec = executor.New(name(0), executor.Config{
		Now: func() time.Time { return time.Unix(1000, 0) },
		Delivery: func(string) executor.Delivery {
			if m.mute {
				return executor.RequestLost
			}
			return executor.Answered
		},
	})
	m.apply(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "desk", MaxAttempts: 9}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	m.apply(queue.Command{Submit: &queue.Submit{Host: "h", Path: "/q/feed", Spec: queue.Spec{
		Steps: []queue.Step{{Count: 1, Lasting: true}},
	}}})
	m.restartAgent(t)
	return m
}

func (m *staleModel) apply(c queue.Command) { m.state.Apply(c, 1) }

// Poll implements rudderfork.Executor for the agent.
func (m *staleModel) Poll(ctx context.Context, inc string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	status, err := m.exec.Poll(ctx, inc, req)
	if m.crashNext {
		m.crashNext = false
		m.crash(m.t)
	}
	return status, err
}

// Start implements rudderfork.Executor.
func (m *staleModel) Start(ctx context.Context, inc string, s rudderfork.RunStart) (rudderfork.StartOutcome, error) {
	return m.exec.Start(ctx, inc, s)
}

// Stop implements rudderfork.Executor.
func (m *staleModel) Stop(ctx context.Context, inc string, r rudderfork.RunRef, fence uint64) error {
	return m.exec.Stop(ctx, inc, r, fence)
}

// Pace implements rudderfork.Executor.
func (m *staleModel) Pace(ctx context.Context, inc string, r rudderfork.RunRef, percent int, fence uint64) error {
	return m.exec.Pace(ctx, inc, r, percent, fence)
}

// crash replaces the executor's incarnation without a notice.
func (m *staleModel) crash(*rapid.T) {
	m.inc++
	m.exec.Restart(m.name(m.inc))
}

// leave replaces the executor's incarnation after a shutdown notice.
func (m *staleModel) leave(t *rapid.T) {
	m.inFlight = append(m.inFlight, executorCall{inc: m.inc, shutdownNotice: true})
	m.crash(t)
}

func (m *staleModel) heartbeat(*rapid.T) { m.inFlight = append(m.inFlight, executorCall{inc: m.inc}) }

func (m *staleModel) drain(*rapid.T) {
	m.inFlight = append(m.inFlight, executorCall{inc: m.inc, draining: true})
}

// deliverCall delivers one of the executor's calls to the agent, and may keep it to deliver it again.
func (m *staleModel) deliverCall(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "call")
	c := m.inFlight[i]
	if !rapid.Bool().Draw(t, "again") {
		m.inFlight = slices.Delete(m.inFlight, i, i+1)
	}
	if c.shutdownNotice {
		id, _ := rudderfork.SplitIncarnation(m.name(c.inc))
		m.a.HandleShutdownNotice(id)
		return
	}
	m.a.HandleDescription(queue.VM{ID: modelVM, Incarnation: m.name(c.inc), Service: "desk"}, c.draining, time.Minute)
}

// confirm makes the agent poll for one of the unconfirmed incarnations.
func (m *staleModel) confirm(t *rapid.T) {
	if incs := m.a.unconfirmed(); len(incs) > 0 {
		m.a.confirm(context.Background(), rapid.SampledFrom(incs).Draw(t, "life"))
	}
}

// forgetEnded makes the agent forget which incarnations have ended, as if endedTTL had passed.
func (m *staleModel) forgetEnded(*rapid.T) { m.a.ended = nil }

func (m *staleModel) poll(*rapid.T) {
	req, inc, ok := m.a.nextPoll()
	if !ok {
		return
	}
	status, err := m.a.poll(context.Background(), inc, req)
	if err != nil {
		m.a.handlePollError(inc, err)
		return
	}
	m.a.handleStatus(context.Background(), inc, status, time.Unix(1000, 0))
}

// restartAgent replaces the agent by a new one. What the old one has sent may still arrive.
func (m *staleModel) restartAgent(t *rapid.T) {
	m.a = New(string(modelVM), func() []string { return nil }, m, zerolog.Nop())
	m.known = -1
	m.reopen(t)
}

// reopen opens another session.
func (m *staleModel) reopen(*rapid.T) {
	m.sessions = append(m.sessions, agentSession{agent: m.a, sent: map[uint64]bool{}})
}

// send sends the agent's reports and a heartbeat.
func (m *staleModel) send(*rapid.T) {
	ses := &m.sessions[len(m.sessions)-1]
	for _, id := range slices.Sorted(maps.Keys(m.a.reports)) {
		if !ses.sent[id] {
			ses.sent[id] = true
			ses.messages = append(ses.messages, m.a.reports[id].message(id))
		}
	}
	if b, ok := m.a.nextHeartbeat(); ok {
		ses.messages = append(ses.messages, wire.FromNode{Heartbeat: &b})
	}
}

// deliver delivers the next message of any session to the leader.
func (m *staleModel) deliver(t *rapid.T) {
	m.deliverFrom(rapid.IntRange(0, len(m.sessions)-1).Draw(t, "session"))
}

// deliverFrom delivers the next message of session i to the leader.
func (m *staleModel) deliverFrom(i int) {
	ses := &m.sessions[i]
	if len(ses.messages) == 0 {
		return
	}
	msg := ses.messages[0]
	ses.messages = ses.messages[1:]
	switch {
	case msg.Ends != nil:
		m.apply(queue.Command{Ends: &msg.Ends.Ends})
		if msg.Ends.Departed {
			m.apply(queue.Command{Lost: &queue.VMLoss{VM: modelVM, Incarnation: msg.Ends.Ends.Incarnation}})
		}
		if i == len(m.sessions)-1 {
			ses.agent.Handle(wire.ToQueueNode{EndsAck: &wire.EndsAck{Seq: msg.Ends.Seq}})
		}
	case i < m.lastSession:
		ses.messages = nil // the leader closes the session
	default:
		m.lastSession = i
		m.register(msg.Heartbeat.VM)
	}
}

// register commits a new incarnation and starts the job there.
func (m *staleModel) register(vm queue.VM) {
	if known := m.state.VM(modelVM); known != nil && known.Live && known.SameRegistration(vm) {
		return
	}
	m.apply(queue.Command{Register: &vm})
	m.apply(queue.Command{Starts: []queue.Start{{Task: queue.TaskKey{Job: "feed"}, VM: modelVM, Incarnation: vm.Incarnation}}})
}

// index returns the number of an incarnation, or -1 for "".
func (m *staleModel) index(inc string) int {
	for i := range m.inc + 1 {
		if m.name(i) == inc {
			return i
		}
	}
	return -1
}

// check checks that neither agent nor leader goes back to an earlier incarnation, and that the run of
// the present incarnation has not ended.
func (m *staleModel) check(t *rapid.T) {
	known := m.index(m.a.Incarnation())
	if known >= 0 {
		assert.Assert(t, known >= m.known, "the agent went from incarnation %d back to %d", m.known, known)
		m.known = known
	}
	vm := m.state.VM(modelVM)
	if vm == nil {
		return
	}
	registered := m.index(vm.Incarnation)
	assert.Assert(t, registered >= m.registered, "the leader went from incarnation %d back to %d", m.registered, registered)
	m.registered = registered
	if registered == m.inc {
		assert.Assert(t, vm.Live, "the present incarnation counts as lost")
		assert.Equal(t, len(vm.Runs()), 1, "the run of the present incarnation was ended")
	}
}

// settle ends the faults, delivers a description of the present incarnation and then all messages
// that are under way. Agent and leader must then know the present incarnation.
func (m *staleModel) settle(t *rapid.T) {
	m.mute, m.crashNext = false, false
	m.a.HandleDescription(queue.VM{ID: modelVM, Incarnation: m.name(m.inc), Service: "desk"}, false, 0)
	for _, inc := range m.a.unconfirmed() {
		m.a.confirm(context.Background(), inc)
	}
	m.poll(t)
	m.send(t)
	for i := len(m.sessions) - 1; i >= 0; i-- {
		for len(m.sessions[i].messages) > 0 {
			m.deliverFrom(i)
			m.check(t)
		}
	}
	m.forgetEnded(t)
	for _, c := range m.inFlight {
		m.a.HandleDescription(queue.VM{ID: modelVM, Incarnation: m.name(c.inc), Service: "desk"}, false, 0)
	}
	for _, inc := range m.a.unconfirmed() {
		m.a.confirm(context.Background(), inc)
	}
	m.check(t)
	assert.Equal(t, m.known, m.inc)
	assert.Equal(t, m.registered, m.inc)
}

// TestStaleModel guards against agents and leaders that go back to an earlier incarnation because a
// message was delayed. It delays, reorders and repeats messages of the executor to the agent and
// delays those of the agent to the leader, while the executor crashes and leaves and the agent
// restarts.
func TestStaleModel(t *testing.T) { checkStale(t, otherID) }

// TestStaleModelSameID uses incarnations with the same id. Shutdown notices name this id alone.
func TestStaleModelSameID(t *testing.T) { checkStale(t, sameID) }

func checkStale(t *testing.T, name func(inc int) string) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStaleModel(t, name)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "crash": m.crash, "leave": m.leave, "heartbeat": m.heartbeat, "drain": m.drain,
			"arrive": m.deliverCall, "arrive too": m.deliverCall, "confirm": m.confirm, "confirm too": m.confirm, "look": m.poll,
			"restart the agent": m.restartAgent, "reopen": m.reopen, "send": m.send,
			"deliver": m.deliver, "deliver too": m.deliver,
			"mute": func(*rapid.T) { m.mute = !m.mute }, "dies": func(*rapid.T) { m.crashNext = true },
			"forget": m.forgetEnded,
		})
		m.settle(t)
	})
}
