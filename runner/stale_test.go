package runner

import (
	"context"
	"errors"
	"sync"
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

// The two lives of the tests' executor. Their names do not tell which is older.
const (
	oldInc = "life-b"
	newInc = "life-a"
)

// askedExecutor remembers as which lives it was asked for its account.
type pollRecorder struct {
	*executor.Executor
	mu     sync.Mutex
	polled []string
	mute   bool // it leaves looks unanswered
}

// Poll implements rudderfork.Executor.
func (e *pollRecorder) Poll(ctx context.Context, inc string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	look, err := e.Executor.Poll(ctx, inc, req)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polled = append(e.polled, inc)
	if e.mute {
		return rudderfork.ExecutorStatus{}, errors.New("no answer")
	}
	return look, err
}

func (e *pollRecorder) setMute(mute bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mute = mute
}

// wasAsked reports whether a call as this life was answered.
func (e *pollRecorder) wasPolled(inc string) bool { return e.pollCount(inc) > 0 }

func (e *pollRecorder) pollCount(inc string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.polled {
		if l == inc {
			n++
		}
	}
	return n
}

// script is an executor whose answers to looks a test gives.
type scriptedExecutor struct {
	rudderfork.Executor
	polls int
	look  func(ctx context.Context, n int) error // n counts from 1
}

// Poll implements rudderfork.Executor.
func (s *scriptedExecutor) Poll(ctx context.Context, _ string, _ rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	s.polls++
	return rudderfork.ExecutorStatus{ClockMS: 1}, s.look(ctx, s.polls)
}

// scripted returns an agent without loops and leader, and its executor.
func scripted(look func(ctx context.Context, n int) error) (*Agent, *scriptedExecutor) {
	e := &scriptedExecutor{look: look}
	return New("vm1", func() []string { return nil }, e, zerolog.Nop()), e
}

// hear has the life describe itself, and the agent ask about all that have.
func (a *Agent) describeAndConfirm(ctx context.Context, inc string) {
	a.HandleDescription(queue.VM{ID: "vm1", Incarnation: inc, Service: "desk"}, false, 0)
	for _, l := range a.unconfirmed() {
		a.confirm(ctx, l)
	}
}

// TestWrongAnswer has an executor answer a look for its present life as if it were
// another: it does not know its new name yet, or a process of before answers.
func TestWrongAnswer(t *testing.T) {
	wrongOnce := func(_ context.Context, n int) error {
		if n == 1 {
			return rudderfork.ErrStaleIncarnation
		}
		return nil
	}
	t.Run("it is not asked again at once", func(t *testing.T) {
		a, e := scripted(wrongOnce)
		for range 10 {
			a.describeAndConfirm(t.Context(), newInc)
		}
		assert.Equal(t, e.polls, 1)
		assert.Equal(t, a.Incarnation(), "")
	})
	t.Run("but once it describes itself later", func(t *testing.T) {
		a, _ := scripted(wrongOnce)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			a.describeAndConfirm(t.Context(), newInc)
			if a.Incarnation() == newInc {
				return poll.Success()
			}
			return poll.Continue("the life is not taken")
		}, poll.WithTimeout(waitLimit))
	})
	t.Run("nor is a life that is over taken then", func(t *testing.T) {
		e := &pollRecorder{Executor: executor.New(newInc, executor.Config{Now: steady.Now})}
		a := New("vm1", func() []string { return nil }, e, zerolog.Nop())
		a.describeAndConfirm(t.Context(), newInc)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			a.describeAndConfirm(t.Context(), oldInc)
			assert.Equal(t, a.Incarnation(), newInc)
			if e.pollCount(oldInc) >= 2 {
				return poll.Success()
			}
			return poll.Continue("the old life is not asked about again")
		}, poll.WithTimeout(waitLimit))
	})
}

// TestConfirmed has a life confirmed by what counts as an account, and by nothing else.
func TestConfirmed(t *testing.T) {
	t.Run("an account that comes as late as one may is taken", func(t *testing.T) {
		var end time.Time
		a, _ := scripted(func(ctx context.Context, _ int) error {
			end, _ = ctx.Deadline()
			return nil
		})
		before := time.Now()
		a.describeAndConfirm(t.Context(), newInc)
		assert.Equal(t, a.Incarnation(), newInc)
		assert.Assert(t, end.Sub(before) >= pollTimeout, "a look is given up after %v", end.Sub(before))
	})
	for name, err := range map[string]error{"an answer without an account": rudderfork.ErrNoStatus, "no answer": executor.ErrNoAnswer} {
		t.Run(name+" neither confirms a life nor ends it", func(t *testing.T) {
			a, _ := scripted(func(_ context.Context, n int) error {
				if n <= 2 {
					return err
				}
				return nil
			})
			for range 2 {
				a.describeAndConfirm(t.Context(), newInc)
				assert.Equal(t, a.Incarnation(), "")
			}
			a.describeAndConfirm(t.Context(), newInc)
			assert.Equal(t, a.Incarnation(), newInc)
		})
	}
}

// lateWorld is an agent without memory, beside an executor in its second life.
type staleWorld struct {
	t    *testing.T
	exec *pollRecorder
	a    *Agent
	ses  *leaderSession
}

func newStaleWorld(t *testing.T) *staleWorld {
	l := newLeader(t)
	w := &staleWorld{t: t, exec: &pollRecorder{Executor: executor.New(newInc, executor.Config{Now: steady.Now})}}
	w.a = New("vm1", l.seeds, w.exec, zerolog.Nop())
	for _, s := range w.a.Services() {
		go func() { _ = s.Serve(t.Context()) }() // it ends with the test
	}
	w.ses = l.next()
	t.Cleanup(w.ses.close)
	return w
}

func (w *staleWorld) describe(inc string, draining bool) {
	w.a.HandleDescription(queue.VM{ID: "vm1", Incarnation: inc, Service: "desk"}, draining, 0)
}

// late has a heartbeat of the old life arrive, and waits until the agent has
// found out about it.
func (w *staleWorld) late() {
	w.t.Helper()
	w.describe(oldInc, true)
	w.until("the executor is asked as the old life", func() bool { return w.exec.wasPolled(oldInc) })
}

func (w *staleWorld) until(what string, ok func() bool) {
	w.t.Helper()
	poll.WaitOn(w.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(waitLimit))
}

// checkBeats holds that the leader hears of the new life alone, n times, and that
// it does not drain.
func (w *staleWorld) checkHeartbeats(n int) {
	w.t.Helper()
	for range n {
		b := w.ses.until(isHeartbeat).Heartbeat
		assert.Equal(w.t, b.VM.Incarnation, newInc)
		assert.Assert(w.t, !b.Draining, "the old life drained")
		w.ses.send(wire.ToQueueNode{Pong: 1}) // an agent leaves a silent leader
	}
}

// TestLateDescriptions has an agent that remembers nothing hear of two lives of
// its executor, of which one is over.
func TestLateDescriptions(t *testing.T) {
	t.Run("the old life's first", func(t *testing.T) {
		w := newStaleWorld(t)
		w.late()
		w.describe(newInc, false)
		w.checkHeartbeats(2)
	})
	t.Run("the new one's first", func(t *testing.T) {
		w := newStaleWorld(t)
		w.describe(newInc, false)
		w.checkHeartbeats(1)
		w.describe(oldInc, true)
		w.describe(oldInc, true)
		w.checkHeartbeats(3)
		assert.Equal(t, w.a.Incarnation(), newInc)
	})
	t.Run("both while the executor does not answer", func(t *testing.T) {
		w := newStaleWorld(t)
		w.exec.setMute(true)
		w.describe(newInc, false)
		w.late()
		w.exec.setMute(false)
		w.until("the new life is known", func() bool { return w.a.Incarnation() == newInc })
		w.checkHeartbeats(2)
	})
	t.Run("a farewell of the old one", func(t *testing.T) {
		w := newStaleWorld(t)
		w.describe(newInc, false)
		w.checkHeartbeats(1)
		w.a.HandleShutdownNotice(oldInc)
		w.late()
		w.a.HandleShutdownNotice(oldInc)
		w.checkHeartbeats(2)
		w.a.mu.Lock()
		defer w.a.mu.Unlock()
		assert.Assert(t, !w.a.shuttingDown)
		assert.Equal(t, len(w.a.reports), 0)
	})
	t.Run("a farewell that comes before the life is confirmed", func(t *testing.T) {
		w := newStaleWorld(t)
		w.exec.setMute(true)
		w.describe(newInc, false)
		w.a.HandleShutdownNotice(newInc)
		w.exec.setMute(false)
		w.until("the new life is known", func() bool { return w.a.Incarnation() == newInc })
		w.exec.Restart("")
		left := w.ses.until(func(m wire.FromNode) bool { return m.Ends != nil }).Ends
		assert.Assert(t, left.Departed)
		assert.Equal(t, left.Ends.Incarnation, newInc)
	})
}
