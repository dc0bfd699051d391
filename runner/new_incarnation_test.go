package runner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// The two starts of the tests' executor, under one id.
var (
	firstInc  = rudderfork.IncarnationName("i-1", 1000)
	secondInc = rudderfork.IncarnationName("i-1", 2000)
)

// describe has the agent take what a start of its executor says.
func describe(a *Agent, inc string, draining bool, leave time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := description{vm: queue.VM{ID: "vm1", Incarnation: inc, Service: "desk"}, draining: draining}
	d.leaveNotBefore = time.Now().Add(leave)
	a.applyDescription(d)
}

// TestFarewellOfWhichStart brings an agent farewells, some of which do not say which start
// of the executor leaves. One that is believed has the leader end all that runs there,
// once two looks have had no answer.
func TestFarewellOfWhichStart(t *testing.T) {
	for _, x := range []struct {
		name           string
		draining       bool
		leave          time.Duration
		shutdownNotice string
		believed       bool
	}{
		{"its own", false, 0, secondInc, true},
		{"that of the start before", true, 0, firstInc, false},
		{"of the id alone, and it has said nothing of leaving", false, 0, "i-1", false},
		{"of the id alone, and it has said that it stays for long", true, time.Minute, "i-1", false},
		{"of the id alone, at the time that it has said", true, 0, "i-1", true},
		{"of another id", true, 0, "i-2", false},
	} {
		t.Run(x.name, func(t *testing.T) {
			a := newTestAgent()
			describe(a, secondInc, x.draining, x.leave)
			a.HandleShutdownNotice(x.shutdownNotice)
			assert.Equal(t, a.shuttingDown, x.believed)
		})
		t.Run(x.name+", before the life is confirmed", func(t *testing.T) {
			a := newTestAgent()
			a.HandleDescription(queue.VM{ID: "vm1", Incarnation: secondInc, Service: "desk"}, x.draining, x.leave)
			a.HandleShutdownNotice(x.shutdownNotice)
			assert.Equal(t, a.descriptions[secondInc].shutdownNotice, x.believed)
		})
	}
}

// TestLateAccountOfStart has an answer of the first start come once the second is known:
// the ends that it lists stand, and acknowledge nothing to the second.
func TestLateAccountOfStart(t *testing.T) {
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

// TestForgottenOfStart has an agent know much of the first start when the second is
// confirmed: room, labels and draining are as that says, and all else begins anew.
func TestForgottenOfStart(t *testing.T) {
	run := rudderfork.RunRef{Task: "j.0.0.0", Run: 1}
	a := newTestAgent()
	describe(a, firstInc, true, time.Minute)
	a.handleStatus(t.Context(), firstInc, rudderfork.ExecutorStatus{ClockMS: 90_000, Running: []rudderfork.RunStatus{{RunRef: run, Load: 7}}}, time.Now())
	a.paces[run], a.unansweredStarts[run], a.startedAt[run] = 30, time.Now(), time.Now()
	a.fillerUsage = map[string]float64{"loud": 1}
	a.HandleShutdownNotice(firstInc)
	a.nextHeartbeat()
	assert.Assert(t, a.shuttingDown && len(a.rows) == 1 && len(a.reportedRows) == 1)

	second := queue.VM{ID: "vm1", Incarnation: secondInc, Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 8000}, Labels: []string{"b"}}
	a.applyDescription(description{vm: second})
	vm, draining := a.Description()
	assert.DeepEqual(t, vm.Capacity, second.Capacity)
	assert.DeepEqual(t, vm.Labels, second.Labels)
	assert.Assert(t, !draining && !a.shuttingDown)
	for name, n := range map[string]int{
		"rows": len(a.rows), "figures told": len(a.reportedRows), "paces": len(a.paces), "exposures": len(a.fillerSpeeds),
		"runs begun": len(a.startedAt), "runs that may have begun": len(a.unansweredStarts), "shares": len(a.fillerUsage),
	} {
		assert.Equal(t, n, 0, name)
	}
	assert.Assert(t, !a.recentlyEnded(secondInc, time.Now()) && a.recentlyEnded(firstInc, time.Now()))
}
