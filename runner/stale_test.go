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

// The two incarnations of the tests' executor. Their names do not show which one is older.
const (
	oldInc = "life-b"
	newInc = "life-a"
)

// pollRecorder is an executor that records for which incarnations it was polled.
type pollRecorder struct {
	*executor.Executor
	mu     sync.Mutex
	polled []string
	mute   bool // it leaves polls unanswered
}

// Poll implements rudderfork.Executor.
func (e *pollRecorder) Poll(ctx context.Context, inc string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	status, err := e.Executor.Poll(ctx, inc, req)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polled = append(e.polled, inc)
	if e.mute {
		return rudderfork.ExecutorStatus{}, errors.New("no answer")
	}
	return status, err
}

func (e *pollRecorder) setMute(mute bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mute = mute
}

// wasPolled reports whether the executor was polled for the incarnation.
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

// scriptedExecutor is an executor whose answers to polls a test provides.
type scriptedExecutor struct {
	rudderfork.Executor
	polls  int
	answer func(ctx context.Context, n int) error // n counts from 1
}

// Poll implements rudderfork.Executor.
func (s *scriptedExecutor) Poll(ctx context.Context, _ string, _ rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	s.polls++
	return rudderfork.ExecutorStatus{ClockMS: 1}, s.answer(ctx, s.polls)
}

// scripted returns an agent without loops and leader, and its scripted executor.
func scripted(answer func(ctx context.Context, n int) error) (*Agent, *scriptedExecutor) {
	e := &scriptedExecutor{answer: answer}
	return New("vm1", func() []string { return nil }, e, zerolog.Nop()), e
}

// describeAndConfirm takes a description of the incarnation and tries to confirm all incarnations
// that are not confirmed yet.
func (a *Agent) describeAndConfirm(ctx context.Context, inc string) {
	a.HandleDescription(queue.VM{ID: "vm1", Incarnation: inc, Service: "desk"}, false, 0)
	for _, l := range a.unconfirmed() {
		a.confirm(ctx, l)
	}
}

// TestWrongAnswer guards against a VM that stays unusable because its executor once answered a poll
// for the present incarnation with ErrStaleIncarnation. That happens if the executor does not have
// its new name yet, or if an earlier process answers.
func TestWrongAnswer(t *testing.T) {
	wrongOnce := func(_ context.Context, n int) error {
		if n == 1 {
			return rudderfork.ErrStaleIncarnation
		}
		return nil
	}
	t.Run("it is not polled again at once", func(t *testing.T) {
		a, e := scripted(wrongOnce)
		for range 10 {
			a.describeAndConfirm(t.Context(), newInc)
		}
		assert.Equal(t, e.polls, 1)
		assert.Equal(t, a.Incarnation(), "")
	})
	t.Run("it is polled again after a later description", func(t *testing.T) {
		a, _ := scripted(wrongOnce)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			a.describeAndConfirm(t.Context(), newInc)
			if a.Incarnation() == newInc {
				return poll.Success()
			}
			return poll.Continue("the incarnation is not recognized")
		}, poll.WithTimeout(waitLimit))
	})
	t.Run("an ended incarnation is not recognized then", func(t *testing.T) {
		e := &pollRecorder{Executor: executor.New(newInc, executor.Config{Now: steady.Now})}
		a := New("vm1", func() []string { return nil }, e, zerolog.Nop())
		a.describeAndConfirm(t.Context(), newInc)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			a.describeAndConfirm(t.Context(), oldInc)
			assert.Equal(t, a.Incarnation(), newInc)
			if e.pollCount(oldInc) >= 2 {
				return poll.Success()
			}
			return poll.Continue("the executor is not polled again for the old incarnation")
		}, poll.WithTimeout(waitLimit))
	})
}

// TestConfirmed checks that an incarnation is confirmed by a status and by nothing else.
func TestConfirmed(t *testing.T) {
	t.Run("a status that arrives just before the timeout is accepted", func(t *testing.T) {
		var end time.Time
		a, _ := scripted(func(ctx context.Context, _ int) error {
			end, _ = ctx.Deadline()
			return nil
		})
		before := time.Now()
		a.describeAndConfirm(t.Context(), newInc)
		assert.Equal(t, a.Incarnation(), newInc)
		assert.Assert(t, end.Sub(before) >= pollTimeout, "a poll times out after %v", end.Sub(before))
	})
	for name, err := range map[string]error{"an answer without a status": rudderfork.ErrNoStatus, "no answer": executor.ErrNoAnswer} {
		t.Run(name+" neither confirms nor ends an incarnation", func(t *testing.T) {
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

// agentFixture is a restarted agent with an executor in its second incarnation, newInc, and a fake
// leader.
type agentFixture struct {
	t    *testing.T
	exec *pollRecorder
	a    *Agent
	ses  *leaderSession
}

func newAgentFixture(t *testing.T) *agentFixture {
	l := newLeader(t)
	f := &agentFixture{t: t, exec: &pollRecorder{Executor: executor.New(newInc, executor.Config{Now: steady.Now})}}
	f.a = New("vm1", l.seeds, f.exec, zerolog.Nop())
	for _, s := range f.a.Services() {
		go func() { _ = s.Serve(t.Context()) }() // it ends with the test
	}
	f.ses = l.next()
	t.Cleanup(f.ses.close)
	return f
}

func (f *agentFixture) describe(inc string, draining bool) {
	f.a.HandleDescription(queue.VM{ID: "vm1", Incarnation: inc, Service: "desk"}, draining, 0)
}

// describeOld delivers a description of the old incarnation and waits until the agent has polled for
// that.
func (f *agentFixture) describeOld() {
	f.t.Helper()
	f.describe(oldInc, true)
	f.until("the executor is polled for the old incarnation", func() bool { return f.exec.wasPolled(oldInc) })
}

func (f *agentFixture) until(what string, ok func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(waitLimit))
}

// checkHeartbeats checks that the next n heartbeats to the leader are of the new incarnation, which
// does not drain.
func (f *agentFixture) checkHeartbeats(n int) {
	f.t.Helper()
	for range n {
		b := f.ses.until(isHeartbeat).Heartbeat
		assert.Equal(f.t, b.VM.Incarnation, newInc)
		assert.Assert(f.t, !b.Draining, "the draining of the old incarnation was reported")
		f.ses.send(wire.ToQueueNode{Pong: 1}) // an agent closes the session with a silent leader
	}
}

// TestLateDescriptions guards against an agent that takes an ended incarnation for the present one
// because its description or shutdown notice arrives late. The agent has just restarted, so at first
// it knows neither incarnation.
func TestLateDescriptions(t *testing.T) {
	t.Run("the old one's first", func(t *testing.T) {
		f := newAgentFixture(t)
		f.describeOld()
		f.describe(newInc, false)
		f.checkHeartbeats(2)
	})
	t.Run("the new one's first", func(t *testing.T) {
		f := newAgentFixture(t)
		f.describe(newInc, false)
		f.checkHeartbeats(1)
		f.describe(oldInc, true)
		f.describe(oldInc, true)
		f.checkHeartbeats(3)
		assert.Equal(t, f.a.Incarnation(), newInc)
	})
	t.Run("both while the executor does not answer", func(t *testing.T) {
		f := newAgentFixture(t)
		f.exec.setMute(true)
		f.describe(newInc, false)
		f.describeOld()
		f.exec.setMute(false)
		f.until("the new incarnation is recognized", func() bool { return f.a.Incarnation() == newInc })
		f.checkHeartbeats(2)
	})
	t.Run("a shutdown notice of the old one", func(t *testing.T) {
		f := newAgentFixture(t)
		f.describe(newInc, false)
		f.checkHeartbeats(1)
		f.a.HandleShutdownNotice(oldInc)
		f.describeOld()
		f.a.HandleShutdownNotice(oldInc)
		f.checkHeartbeats(2)
		f.a.mu.Lock()
		defer f.a.mu.Unlock()
		assert.Assert(t, !f.a.shuttingDown)
		assert.Equal(t, len(f.a.reports), 0)
	})
	t.Run("a shutdown notice that arrives before the incarnation is confirmed", func(t *testing.T) {
		f := newAgentFixture(t)
		f.exec.setMute(true)
		f.describe(newInc, false)
		f.a.HandleShutdownNotice(newInc)
		f.exec.setMute(false)
		f.until("the new incarnation is recognized", func() bool { return f.a.Incarnation() == newInc })
		f.exec.Restart("")
		left := f.ses.until(func(m wire.FromNode) bool { return m.Ends != nil }).Ends
		assert.Assert(t, left.Departed)
		assert.Equal(t, left.Ends.Incarnation, newInc)
	})
}
