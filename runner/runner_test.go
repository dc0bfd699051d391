package runner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/wire"
)

// waitLimit bounds a wait for a message.
const waitLimit = 20 * time.Second

// leader is a fake leader. It serves one session at a time.
type leader struct {
	t        *testing.T
	sessions chan *leaderSession
	srv      *httptest.Server
}

// leaderSession is the session of an agent.
type leaderSession struct {
	t    *testing.T
	conn *wire.Conn[wire.ToQueueNode, wire.FromNode]
	done chan struct{}
}

func newLeader(t *testing.T) *leader {
	l := &leader{t: t, sessions: make(chan *leaderSession)}
	l.srv = httptest.NewServer(http.HandlerFunc(l.accept))
	t.Cleanup(l.srv.Close)
	return l
}

func (l *leader) seeds() []string { return []string{strings.TrimPrefix(l.srv.URL, "http://")} }

func (l *leader) accept(w http.ResponseWriter, r *http.Request) {
	c, err := wire.Accept[wire.ToQueueNode, wire.FromNode](w, r, wire.QueueSession)
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := c.Receive(r.Context()); err != nil { // the hello
		return
	}
	if err := c.Send(r.Context(), wire.ToQueueNode{Welcome: &wire.QueueWelcome{Term: 1}}); err != nil {
		return
	}
	ses := &leaderSession{t: l.t, conn: c, done: make(chan struct{})}
	select {
	case l.sessions <- ses:
		<-ses.done
	case <-l.t.Context().Done():
	}
}

// next waits for the next session.
func (l *leader) next() *leaderSession {
	l.t.Helper()
	select {
	case ses := <-l.sessions:
		return ses
	case <-time.After(waitLimit):
		l.t.Fatal("no session was opened")
		return nil
	}
}

// until reads messages until one matches.
func (s *leaderSession) until(match func(m wire.FromNode) bool) wire.FromNode {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitLimit)
	defer cancel()
	for {
		m, err := s.conn.Receive(ctx)
		assert.NilError(s.t, err)
		if match(m) {
			return m
		}
	}
}

func (s *leaderSession) send(m wire.ToQueueNode) {
	s.t.Helper()
	assert.NilError(s.t, s.conn.Send(s.t.Context(), m))
}

// close ends the session, as if the leader had crashed.
func (s *leaderSession) close() { close(s.done) }

func isHeartbeat(m wire.FromNode) bool { return m.Heartbeat != nil }

// startAgent runs an agent with the stand-in executor.
func startAgent(t *testing.T, l *leader) *Agent {
	capacity := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	a := New("vm1", l.seeds, executor.New("life-1", executor.Config{Now: steady.Now, Capacity: capacity}), zerolog.Nop())
	for _, s := range a.Services() {
		go func() { _ = s.Serve(t.Context()) }() // it ends with the test
	}
	a.HandleDescription(queue.VM{ID: "vm1", Incarnation: "life-1", Service: "desk", Capacity: capacity}, false, 0)
	return a
}

// TestNewLeader guards against pressures that are lost with a leader: an agent must send a new leader
// those that it received from the earlier one.
func TestNewLeader(t *testing.T) {
	l := newLeader(t)
	a := startAgent(t, l)
	first := l.next()
	first.until(isHeartbeat)
	pressures := []wire.PairPressure{{Serving: "audio", Filler: "loud", Pressure: 9}}
	first.send(wire.ToQueueNode{Grant: &wire.VMGrant{Incarnation: "life-1", Pressures: pressures}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.pressure("audio", "loud") == 9 {
			return poll.Success()
		}
		return poll.Continue("the grant was not handled yet")
	}, poll.WithTimeout(waitLimit))
	first.close()
	second := l.next()
	defer second.close()
	m := second.until(func(m wire.FromNode) bool { return len(m.KnownPressures) > 0 })
	assert.DeepEqual(t, m.KnownPressures, pressures)
}

// newTestAgent returns an agent without loops, leader and executor. An incarnation is recognized, and
// the given runs are ordered.
func newTestAgent(running ...rudderfork.RunRef) *Agent {
	a := New("vm1", func() []string { return nil }, nil, zerolog.Nop())
	a.applyDescription(description{vm: queue.VM{ID: "vm1", Incarnation: "life-1"}})
	o := wire.Orders{Full: true, Incarnation: "life-1"}
	for _, r := range running {
		o.Start = append(o.Start, wire.RunOrder{RunRef: r})
	}
	a.reconciler.ApplyOrders(o)
	return a
}

// TestShutdownNotice guards against an executor that is reported as left while it still runs tasks.
// It has left if it sent a shutdown notice and two polls in succession were not answered.
func TestShutdownNotice(t *testing.T) {
	run := rudderfork.RunRef{Task: "j.0.0.1", Run: 1}
	leftOf := func(a *Agent) (inc string) {
		for _, r := range a.reports {
			if r.left {
				inc = r.ends.Incarnation
			}
		}
		return inc
	}
	t.Run("not after one unanswered poll", func(t *testing.T) {
		a := newTestAgent(run)
		a.HandleShutdownNotice("life-1")
		a.handlePollError("life-1", executor.ErrNoAnswer)
		assert.Equal(t, a.Incarnation(), "life-1")
		a.handleStatus(t.Context(), "life-1", rudderfork.ExecutorStatus{ClockMS: 1, Running: []rudderfork.RunStatus{{RunRef: run}}}, steady.Now())
		a.handlePollError("life-1", executor.ErrNoAnswer)
		assert.Equal(t, a.Incarnation(), "life-1")
		assert.Equal(t, leftOf(a), "")
	})
	t.Run("after two in succession", func(t *testing.T) {
		a := newTestAgent(run)
		a.HandleShutdownNotice("life-1")
		a.handlePollError("life-1", executor.ErrNoAnswer)
		a.handlePollError("life-1", executor.ErrNoAnswer)
		assert.Equal(t, a.Incarnation(), "")
		assert.Equal(t, leftOf(a), "life-1")
	})
	t.Run("an unanswered poll before the notice counts", func(t *testing.T) {
		a := newTestAgent(run)
		a.handlePollError("life-1", executor.ErrNoAnswer)
		a.HandleShutdownNotice("life-1")
		a.handlePollError("life-1", executor.ErrNoAnswer)
		assert.Equal(t, leftOf(a), "life-1")
	})
	t.Run("not if an answer without a status comes between them", func(t *testing.T) {
		a := newTestAgent(run)
		a.HandleShutdownNotice("life-1")
		for range 3 {
			a.handlePollError("life-1", fmt.Errorf("look: status 503: %w", rudderfork.ErrNoStatus))
			a.handlePollError("life-1", executor.ErrNoAnswer)
		}
		assert.Equal(t, a.Incarnation(), "life-1")
		assert.Equal(t, leftOf(a), "")
	})
	t.Run("not after a poll that the agent's own shutdown cancels", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := newTestAgent(run)
		a.exec = &scriptedExecutor{answer: func(ctx context.Context, _ int) error {
			cancel()
			<-ctx.Done()
			return ctx.Err()
		}}
		a.HandleShutdownNotice("life-1")
		a.handlePollError("life-1", executor.ErrNoAnswer)
		assert.ErrorIs(t, a.pollLoop(ctx), context.Canceled)
		assert.Equal(t, a.Incarnation(), "life-1")
		assert.Equal(t, leftOf(a), "")
	})
	t.Run("not without a notice", func(t *testing.T) {
		a := newTestAgent(run)
		for range 5 {
			a.handlePollError("life-1", executor.ErrNoAnswer)
		}
		assert.Equal(t, a.Incarnation(), "life-1")
	})
}

// TestReportsAreBounded guards against reports that grow without bound while no leader acknowledges
// them.
func TestReportsAreBounded(t *testing.T) {
	lost := rudderfork.RunRef{Task: "j.0.0.1", Run: 1}
	a := newTestAgent(lost)
	status := rudderfork.ExecutorStatus{
		ClockMS: 1, Running: []rudderfork.RunStatus{{RunRef: lost}},
		Ended: []rudderfork.EndedRun{{Seq: 1, RunRef: rudderfork.RunRef{Task: "j.0.0.0", Run: 1}, Outcome: "done"}},
	}
	handle := func() { a.handleStatus(t.Context(), "life-1", status, steady.Now()) }
	for range 3 * maxReports {
		handle()
	}
	assert.Equal(t, len(a.reports), maxReports)
	t.Run("an end that the executor does not list again is reported all the same", func(t *testing.T) {
		a.reconciler.HandleStartResult(lost, rudderfork.Started, nil, steady.Now())
		status.Running = nil
		handle()
		last := a.reports[a.reportID].ends.List
		assert.Equal(t, len(last), 1)
		assert.Equal(t, last[0].Outcome, queue.OutcomeLost)
	})
	t.Run("once reports are acknowledged, listed ends are reported again", func(t *testing.T) {
		for id := range a.reports {
			delete(a.reports, id)
		}
		handle()
		assert.Equal(t, len(a.reports), 1)
	})
}
