package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// The two incarnations of the tests' executor, under one id.
var (
	firstInc  = rudderfork.IncarnationName("i-1", 1000)
	secondInc = rudderfork.IncarnationName("i-1", 2000)
)

// describe applies the description of an incarnation.
func describe(a *Agent, inc string, draining bool, leave time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := description{vm: queue.VM{ID: "vm1", Incarnation: inc, Service: "desk"}, draining: draining}
	d.leaveNotBefore = time.Now().Add(leave)
	a.applyDescription(d)
}

// TestShutdownNoticeOfWhichIncarnation guards against a late shutdown notice of an earlier
// incarnation that ends the runs of the present one. Some notices name the executor's id alone.
func TestShutdownNoticeOfWhichIncarnation(t *testing.T) {
	for _, x := range []struct {
		name     string
		draining bool
		leave    time.Duration
		notice   string
		accepted bool
	}{
		{"of the present incarnation", false, 0, secondInc, true},
		{"of the incarnation before", true, 0, firstInc, false},
		{"of the id alone, and it has not announced that it leaves", false, 0, "i-1", false},
		{"of the id alone, and it has announced that it leaves much later", true, time.Minute, "i-1", false},
		{"of the id alone, at the announced time", true, 0, "i-1", true},
		{"of another id", true, 0, "i-2", false},
	} {
		t.Run(x.name, func(t *testing.T) {
			a := newTestAgent()
			describe(a, secondInc, x.draining, x.leave)
			a.HandleShutdownNotice(x.notice)
			assert.Equal(t, a.shuttingDown, x.accepted)
		})
		t.Run(x.name+", before the incarnation is confirmed", func(t *testing.T) {
			a := newTestAgent()
			a.HandleDescription(queue.VM{ID: "vm1", Incarnation: secondInc, Service: "desk"}, x.draining, x.leave)
			a.HandleShutdownNotice(x.notice)
			assert.Equal(t, a.descriptions[secondInc].shutdownNotice, x.accepted)
		})
	}
}

// TestLateStatusOfEarlierIncarnation guards against ends that are lost because they are in a late
// status of the first incarnation, and against ends of the second incarnation that are acknowledged
// because the leader has committed those of the first.
func TestLateStatusOfEarlierIncarnation(t *testing.T) {
	a := newTestAgent()
	describe(a, firstInc, false, 0)
	describe(a, secondInc, false, 0)
	end := rudderfork.EndedRun{Seq: 57, RunRef: rudderfork.RunRef{Task: "j.0.0.0", Run: 1}, Outcome: "done"}
	a.handleStatus(t.Context(), firstInc, rudderfork.ExecutorStatus{ClockMS: 90_000, Ended: []rudderfork.EndedRun{end}}, time.Now())
	assert.Equal(t, len(a.reports), 1)
	for id, r := range a.reports {
		assert.Equal(t, r.ends.Incarnation, firstInc)
		a.handleAck(id)
	}
	req, inc, ok := a.nextPoll()
	assert.Assert(t, ok)
	assert.Equal(t, inc, secondInc)
	assert.Equal(t, req.AckedUpTo, uint64(0))
	assert.Equal(t, req.UntilMS, int64(0))
}

// TestNewIncarnationDropsState guards against state of the first incarnation that is kept for the
// second: capacity, labels and draining must be as the second describes them, and all other state
// must be empty.
func TestNewIncarnationDropsState(t *testing.T) {
	run := rudderfork.RunRef{Task: "j.0.0.0", Run: 1}
	a := newTestAgent()
	describe(a, firstInc, true, time.Minute)
	a.handleStatus(t.Context(), firstInc, rudderfork.ExecutorStatus{ClockMS: 90_000, Running: []rudderfork.RunStatus{{RunRef: run, Load: 7}}}, time.Now())
	a.paces[run], a.unansweredStarts[run], a.startedAt[run] = 30, time.Now(), time.Now()
	a.fillerUsage = map[string]float64{"loud": 1}
	a.HandleShutdownNotice(firstInc)
	a.nextHeartbeat()
	assert.Assert(t, a.shuttingDown && len(a.runStatuses) == 1 && len(a.reportedStatuses) == 1)

	second := queue.VM{ID: "vm1", Incarnation: secondInc, Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 8000}, Labels: []string{"b"}}
	a.applyDescription(description{vm: second})
	vm, draining := a.Description()
	assert.DeepEqual(t, vm.Capacity, second.Capacity)
	assert.DeepEqual(t, vm.Labels, second.Labels)
	assert.Assert(t, !draining && !a.shuttingDown)
	for name, n := range map[string]int{
		"run statuses": len(a.runStatuses), "reported statuses": len(a.reportedStatuses), "paces": len(a.paces), "filler speeds": len(a.fillerSpeeds),
		"starts confirmed": len(a.startedAt), "starts unanswered": len(a.unansweredStarts), "filler usage": len(a.fillerUsage),
	} {
		assert.Equal(t, n, 0, name)
	}
	assert.Assert(t, !a.recentlyEnded(secondInc, time.Now()) && a.recentlyEnded(firstInc, time.Now()))
}
