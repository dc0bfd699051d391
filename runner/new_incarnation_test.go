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
	firstStart  = rudderfork.IncarnationName("i-1", 1000)
	secondStart = rudderfork.IncarnationName("i-1", 2000)
)

// describe has the agent take what a start of its executor says.
func describe(a *Agent, life string, draining bool, leave time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := description{vm: queue.VM{ID: "vm1", Incarnation: life, Service: "desk"}, draining: draining}
	d.leaveAt = time.Now().Add(leave)
	a.take(d)
}

// TestFarewellOfWhichStart brings an agent farewells, some of which do not say which start
// of the executor leaves. One that is believed has the leader end all that runs there,
// once two looks have had no answer.
func TestFarewellOfWhichStart(t *testing.T) {
	for _, x := range []struct {
		name     string
		draining bool
		leave    time.Duration
		farewell string
		believed bool
	}{
		{"its own", false, 0, secondStart, true},
		{"that of the start before", true, 0, firstStart, false},
		{"of the id alone, and it has said nothing of leaving", false, 0, "i-1", false},
		{"of the id alone, and it has said that it stays for long", true, time.Minute, "i-1", false},
		{"of the id alone, at the time that it has said", true, 0, "i-1", true},
		{"of another id", true, 0, "i-2", false},
	} {
		t.Run(x.name, func(t *testing.T) {
			a := newAgentAlone()
			describe(a, secondStart, x.draining, x.leave)
			a.HandleShutdownNotice(x.farewell)
			assert.Equal(t, a.leaving, x.believed)
		})
		t.Run(x.name+", before the life is confirmed", func(t *testing.T) {
			a := newAgentAlone()
			a.HandleDescription(queue.VM{ID: "vm1", Incarnation: secondStart, Service: "desk"}, x.draining, x.leave)
			a.HandleShutdownNotice(x.farewell)
			assert.Equal(t, a.described[secondStart].farewell, x.believed)
		})
	}
}

// TestLateAccountOfStart has an answer of the first start come once the second is known:
// the ends that it lists stand, and acknowledge nothing to the second.
func TestLateAccountOfStart(t *testing.T) {
	a := newAgentAlone()
	describe(a, firstStart, false, 0)
	describe(a, secondStart, false, 0)
	end := rudderfork.EndedRun{Seq: 57, RunRef: rudderfork.RunRef{Task: "j.0.0.0", Run: 1}, Outcome: "done"}
	a.looked(t.Context(), firstStart, rudderfork.ExecutorStatus{ClockMS: 90_000, Ended: []rudderfork.EndedRun{end}}, time.Now())
	assert.Equal(t, len(a.reports), 1)
	for id, r := range a.reports {
		assert.Equal(t, r.ends.Incarnation, firstStart)
		a.takeNoted(id)
	}
	req, life, ok := a.nextLook()
	assert.Assert(t, ok)
	assert.Equal(t, life, secondStart)
	assert.Equal(t, req.AckedUpTo, uint64(0))
	assert.Equal(t, req.UntilMS, int64(0))
}

// TestForgottenOfStart has an agent know much of the first start when the second is
// confirmed: room, labels and draining are as that says, and all else begins anew.
func TestForgottenOfStart(t *testing.T) {
	run := rudderfork.RunRef{Task: "j.0.0.0", Run: 1}
	a := newAgentAlone()
	describe(a, firstStart, true, time.Minute)
	a.looked(t.Context(), firstStart, rudderfork.ExecutorStatus{ClockMS: 90_000, Running: []rudderfork.RunStatus{{RunRef: run, Load: 7}}}, time.Now())
	a.paces[run], a.unsure[run], a.begun[run] = 30, time.Now(), time.Now()
	a.worked = map[string]float64{"loud": 1}
	a.HandleShutdownNotice(firstStart)
	a.beat()
	assert.Assert(t, a.leaving && len(a.rows) == 1 && len(a.told) == 1)

	second := queue.VM{ID: "vm1", Incarnation: secondStart, Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 8000}, Labels: []string{"b"}}
	a.take(description{vm: second})
	vm, draining := a.Description()
	assert.DeepEqual(t, vm.Capacity, second.Capacity)
	assert.DeepEqual(t, vm.Labels, second.Labels)
	assert.Assert(t, !draining && !a.leaving)
	for name, n := range map[string]int{
		"rows": len(a.rows), "figures told": len(a.told), "paces": len(a.paces), "exposures": len(a.exposures),
		"runs begun": len(a.begun), "runs that may have begun": len(a.unsure), "shares": len(a.worked),
	} {
		assert.Equal(t, n, 0, name)
	}
	assert.Assert(t, !a.isOver(secondStart, time.Now()) && a.isOver(firstStart, time.Now()))
}
