package runner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
)

// checkKnown checks which runs a crash report lists, by task.
func checkKnown(t *testing.T, c *queue.Crash, want map[string]queue.RunAge) {
	t.Helper()
	got := map[string]queue.RunAge{}
	for _, r := range c.Runs {
		got[r.Task.String()] = queue.RunAge{AgeMS: r.AgeMS, Confirmed: r.Confirmed}
	}
	assert.DeepEqual(t, got, want)
}

// TestCrash checks which runs an agent reports to the leader when its executor stops answering or
// answers as another incarnation. The leader suspects these runs of the crash.
func TestCrash(t *testing.T) {
	old, fresh, lost, refused := ref("old"), ref("fresh"), ref("lost"), ref("refused")
	begin := steady.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	silent := func() *Agent {
		a := newTestAgent(old, fresh, lost, refused)
		a.recordStart(old, rudderfork.Started, nil, at(0))
		a.recordStart(fresh, rudderfork.Started, nil, at(700))
		a.recordStart(lost, 0, executor.ErrNoAnswer, at(900))
		a.recordStart(refused, 0, fmt.Errorf("start: %w", rudderfork.ErrNotReached), at(950))
		return a
	}
	want := map[string]queue.RunAge{
		"old.0.0.0": {AgeMS: 900, Confirmed: true}, "fresh.0.0.0": {AgeMS: 200, Confirmed: true}, "lost.0.0.0": {},
	}
	t.Run("while it does not answer, heartbeats report what ran there", func(t *testing.T) {
		a := silent()
		a.lastStatusAt = steady.Now().Add(-2 * unresponsiveAfter)
		b, ok := a.nextHeartbeat()
		assert.Assert(t, ok && b.Unresponsive)
		assert.Equal(t, b.Crash.Incarnation, "life-1")
		checkKnown(t, b.Crash, want)
	})
	t.Run("once it is back, heartbeats report it until the new incarnation is registered", func(t *testing.T) {
		a := silent()
		a.handlePollError("life-1", rudderfork.ErrStaleIncarnation)
		a.applyDescription(description{vm: queue.VM{ID: "vm1", Incarnation: "life-2"}})
		b, _ := a.nextHeartbeat()
		assert.Equal(t, b.Crash.Incarnation, "life-1")
		checkKnown(t, b.Crash, want)
		a.handleRegistered("life-2")
		b, _ = a.nextHeartbeat()
		assert.Assert(t, b.Crash == nil)
	})
	t.Run("a start that is answered after all counts from then on", func(t *testing.T) {
		a := silent()
		a.recordStart(lost, rudderfork.Started, nil, at(1000))
		a.recordFailedCall(at(1010))
		checkKnown(t, a.crashReport(), map[string]queue.RunAge{
			"old.0.0.0": {AgeMS: 1010, Confirmed: true}, "fresh.0.0.0": {AgeMS: 310, Confirmed: true}, "lost.0.0.0": {AgeMS: 10, Confirmed: true},
		})
	})
	t.Run("a status ends the silence", func(t *testing.T) {
		a := silent()
		a.handleStatus(t.Context(), "life-1", rudderfork.ExecutorStatus{ClockMS: 1, Running: []rudderfork.RunStatus{{RunRef: old}}}, at(1990))
		assert.Assert(t, a.failingSince.IsZero())
	})
}

func ref(job string) rudderfork.RunRef {
	return rudderfork.RunRef{Task: rudderfork.TaskID(job + ".0.0.0"), Run: 1}
}

// TestUnreachableExecutor guards against a leader that places tasks on a VM for a second after its
// executor has crashed. Two polls that find nothing listening make the VM unresponsive.
func TestUnreachableExecutor(t *testing.T) {
	unresponsive := func(errs ...error) bool {
		a := newTestAgent(ref("old"))
		for _, err := range errs {
			a.handlePollError("life-1", err)
		}
		b, _ := a.nextHeartbeat()
		return b.Unresponsive
	}
	gone := fmt.Errorf("look: %w", rudderfork.ErrNotReached)
	assert.Assert(t, unresponsive(gone, gone))
	assert.Assert(t, !unresponsive(gone))
	assert.Assert(t, !unresponsive(gone, executor.ErrNoAnswer))
	assert.Assert(t, !unresponsive(executor.ErrNoAnswer, executor.ErrNoAnswer))
	t.Run("until it answers", func(t *testing.T) {
		a := newTestAgent(ref("old"))
		a.handlePollError("life-1", gone)
		a.handlePollError("life-1", gone)
		a.handleStatus(t.Context(), "life-1", rudderfork.ExecutorStatus{ClockMS: 1}, steady.Now())
		b, _ := a.nextHeartbeat()
		assert.Assert(t, !b.Unresponsive)
	})
}
