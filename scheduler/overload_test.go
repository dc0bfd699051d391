package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// TestOverload checks since when the planner sees a serving task as overloaded: not while it is not
// measured, has no tail latency above its objective, or has a working filler beside it.
func TestOverload(t *testing.T) {
	qs, f := newServingFleet(t, 1)
	f.speeds = newSpeeds(Policies{LearnSpeeds: true})
	filler := queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/f", Spec: queue.Spec{Steps: []queue.Step{{Count: 1, Filler: true, ExpectedMS: 4_000}}}}}
	assert.Equal(t, qs.Apply(filler, 1).Code, queue.OK)
	qs.Apply(queue.Command{Starts: []queue.Start{{Task: queue.TaskKey{Job: "f"}, VM: "vm1", Incarnation: "life-1"}}}, 1)
	serving, t0 := queue.TaskKey{Job: "feed"}, steady.Now()
	for i, c := range []struct {
		tail, pacedDown int
		measured        bool
		since           int // index of the report from which on it counts as overloaded, or -1
	}{
		{36, 0, true, -1}, {36, 100, false, -1}, {36, 100, true, 2}, {40, 95, true, 2}, {9, 100, false, 2}, {18, 100, true, -1}, {0, 100, true, -1}, {19, 100, true, 7},
	} {
		at, v := t0.Add(time.Duration(i)*time.Second), f.vm("vm1")
		f.recordHeartbeat(v, wire.VMHeartbeat{VM: *qs.VM("vm1"), Measured: c.measured, Runs: []rudderfork.RunStatus{
			{RunRef: serving.Ref(1), Percent: fullPercent, Load: int64(c.tail)},
			{RunRef: queue.TaskKey{Job: "f"}.Ref(1), Percent: 3, PacedDownPercent: c.pacedDown},
		}}, at)
		f.observeOverload(qs, qs.VM("vm1"), v, at)
		expect := int64(0)
		if c.since >= 0 {
			expect = rudderfork.Millis(t0.Add(time.Duration(c.since) * time.Second))
		}
		assert.Equal(t, f.view(qs, at).OverloadedSince[serving.Run(1)], expect, "report %d", i)
	}
}

// TestSlowRelocations checks for how long a relocation from a slow VM counts against the disruption
// budget, and that its task avoids the VM, which is not blamed.
func TestSlowRelocations(t *testing.T) {
	qs, f := newServingFleet(t, 1)
	k, at := queue.TaskKey{Job: "feed"}, steady.Now()
	f.setStops([]dispatch.Stop{{Task: k, Run: 1, VM: "vm1", Reason: dispatch.ReasonTooSlow}}, at)
	f.setStops([]dispatch.Stop{{Task: k, Run: 1, VM: "vm1", Reason: dispatch.ReasonTooSlow}}, at.Add(time.Second))
	assertPending := func(after time.Duration, n int) {
		t.Helper()
		assert.Equal(t, len(f.view(qs, at.Add(after)).SlowRelocations), n)
		assert.Equal(t, f.isRelocating(k, 1, rudderfork.Millis(at.Add(after))), n > 0)
	}
	assertPending(time.Hour, 1) // its run is still active
	end := queue.End{Task: k, Run: 1, Outcome: queue.OutcomeStopped}
	f.recordEnd("vm1", end, at)
	qs.Apply(queue.Command{Ends: &queue.Ends{VM: "vm1", Incarnation: "life-1", List: []queue.End{end}}}, 2)
	assertPending(time.Second, 1)
	assert.Assert(t, f.isRelocating(k, 2, rudderfork.Millis(at.Add(time.Second))))
	assertPending(time.Hour, 0)
	assert.DeepEqual(t, f.failedOn[k], []rudderfork.VMID{"vm1"})
	assert.Equal(t, f.vm("vm1").failureScore(at), 0.0)
}
