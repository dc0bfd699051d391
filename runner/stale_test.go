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
	oldLife = "life-b"
	newLife = "life-a"
)

// askedExecutor remembers as which lives it was asked for its account.
type askedExecutor struct {
	*executor.Executor
	mu    sync.Mutex
	asked []string
	mute  bool // it leaves looks unanswered
}

// Poll implements rudderfork.Executor.
func (e *askedExecutor) Poll(ctx context.Context, life string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	look, err := e.Executor.Poll(ctx, life, req)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked = append(e.asked, life)
	if e.mute {
		return rudderfork.ExecutorStatus{}, errors.New("no answer")
	}
	return look, err
}

func (e *askedExecutor) setMute(mute bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mute = mute
}

// wasAsked reports whether a call as this life was answered.
func (e *askedExecutor) wasAsked(life string) bool { return e.timesAsked(life) > 0 }

func (e *askedExecutor) timesAsked(life string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.asked {
		if l == life {
			n++
		}
	}
	return n
}

// script is an executor whose answers to looks a test gives.
type script struct {
	rudderfork.Executor
	looks int
	look  func(ctx context.Context, n int) error // n counts from 1
}

// Poll implements rudderfork.Executor.
func (s *script) Poll(ctx context.Context, _ string, _ rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	s.looks++
	return rudderfork.ExecutorStatus{ClockMS: 1}, s.look(ctx, s.looks)
}

// scripted returns an agent without loops and leader, and its executor.
func scripted(look func(ctx context.Context, n int) error) (*Agent, *script) {
	e := &script{look: look}
	return New("vm1", func() []string { return nil }, e, zerolog.Nop()), e
}

// hear has the life describe itself, and the agent ask about all that have.
func (a *Agent) hear(ctx context.Context, life string) {
	a.HandleDescription(queue.VM{ID: "vm1", Incarnation: life, Service: "desk"}, false, 0)
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
			a.hear(t.Context(), newLife)
		}
		assert.Equal(t, e.looks, 1)
		assert.Equal(t, a.Incarnation(), "")
	})
	t.Run("but once it describes itself later", func(t *testing.T) {
		a, _ := scripted(wrongOnce)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			a.hear(t.Context(), newLife)
			if a.Incarnation() == newLife {
				return poll.Success()
			}
			return poll.Continue("the life is not taken")
		}, poll.WithTimeout(waitLimit))
	})
	t.Run("nor is a life that is over taken then", func(t *testing.T) {
		e := &askedExecutor{Executor: executor.New(newLife, executor.Config{Now: steady.Now})}
		a := New("vm1", func() []string { return nil }, e, zerolog.Nop())
		a.hear(t.Context(), newLife)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			a.hear(t.Context(), oldLife)
			assert.Equal(t, a.Incarnation(), newLife)
			if e.timesAsked(oldLife) >= 2 {
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
		a.hear(t.Context(), newLife)
		assert.Equal(t, a.Incarnation(), newLife)
		assert.Assert(t, end.Sub(before) >= lookTimeout, "a look is given up after %v", end.Sub(before))
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
				a.hear(t.Context(), newLife)
				assert.Equal(t, a.Incarnation(), "")
			}
			a.hear(t.Context(), newLife)
			assert.Equal(t, a.Incarnation(), newLife)
		})
	}
}

// lateWorld is an agent without memory, beside an executor in its second life.
type lateWorld struct {
	t    *testing.T
	exec *askedExecutor
	a    *Agent
	ses  *leaderSession
}

func newLateWorld(t *testing.T) *lateWorld {
	l := newLeader(t)
	w := &lateWorld{t: t, exec: &askedExecutor{Executor: executor.New(newLife, executor.Config{Now: steady.Now})}}
	w.a = New("vm1", l.seeds, w.exec, zerolog.Nop())
	for _, s := range w.a.Services() {
		go func() { _ = s.Serve(t.Context()) }() // it ends with the test
	}
	w.ses = l.next()
	t.Cleanup(w.ses.close)
	return w
}

func (w *lateWorld) describe(life string, draining bool) {
	w.a.HandleDescription(queue.VM{ID: "vm1", Incarnation: life, Service: "desk"}, draining, 0)
}

// late has a heartbeat of the old life arrive, and waits until the agent has
// found out about it.
func (w *lateWorld) late() {
	w.t.Helper()
	w.describe(oldLife, true)
	w.until("the executor is asked as the old life", func() bool { return w.exec.wasAsked(oldLife) })
}

func (w *lateWorld) until(what string, ok func() bool) {
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
func (w *lateWorld) checkBeats(n int) {
	w.t.Helper()
	for range n {
		b := w.ses.until(isBeat).Heartbeat
		assert.Equal(w.t, b.VM.Incarnation, newLife)
		assert.Assert(w.t, !b.Draining, "the old life drained")
		w.ses.send(wire.ToQueueNode{Pong: 1}) // an agent leaves a silent leader
	}
}

// TestLateDescriptions has an agent that remembers nothing hear of two lives of
// its executor, of which one is over.
func TestLateDescriptions(t *testing.T) {
	t.Run("the old life's first", func(t *testing.T) {
		w := newLateWorld(t)
		w.late()
		w.describe(newLife, false)
		w.checkBeats(2)
	})
	t.Run("the new one's first", func(t *testing.T) {
		w := newLateWorld(t)
		w.describe(newLife, false)
		w.checkBeats(1)
		w.describe(oldLife, true)
		w.describe(oldLife, true)
		w.checkBeats(3)
		assert.Equal(t, w.a.Incarnation(), newLife)
	})
	t.Run("both while the executor does not answer", func(t *testing.T) {
		w := newLateWorld(t)
		w.exec.setMute(true)
		w.describe(newLife, false)
		w.late()
		w.exec.setMute(false)
		w.until("the new life is known", func() bool { return w.a.Incarnation() == newLife })
		w.checkBeats(2)
	})
	t.Run("a farewell of the old one", func(t *testing.T) {
		w := newLateWorld(t)
		w.describe(newLife, false)
		w.checkBeats(1)
		w.a.HandleShutdownNotice(oldLife)
		w.late()
		w.a.HandleShutdownNotice(oldLife)
		w.checkBeats(2)
		w.a.mu.Lock()
		defer w.a.mu.Unlock()
		assert.Assert(t, !w.a.leaving)
		assert.Equal(t, len(w.a.reports), 0)
	})
	t.Run("a farewell that comes before the life is confirmed", func(t *testing.T) {
		w := newLateWorld(t)
		w.exec.setMute(true)
		w.describe(newLife, false)
		w.a.HandleShutdownNotice(newLife)
		w.exec.setMute(false)
		w.until("the new life is known", func() bool { return w.a.Incarnation() == newLife })
		w.exec.Restart("")
		left := w.ses.until(func(m wire.FromNode) bool { return m.Ends != nil }).Ends
		assert.Assert(t, left.Departed)
		assert.Equal(t, left.Ends.Incarnation, newLife)
	})
}
