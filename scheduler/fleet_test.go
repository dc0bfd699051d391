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

// TestRelocatedTask checks what the leader remembers of the latest relocation, and that upkeep counts
// the relocated task as away.
func TestRelocatedTask(t *testing.T) {
	key := queue.TaskKey{Job: "feed"}
	stop := dispatch.Stop{Task: key, Run: 1, VM: "vm1", Reason: dispatch.ReasonRelocated}
	at := steady.Now()
	t.Run("a relocation has the time of its first plan", func(t *testing.T) {
		f := newFleet()
		f.setStops([]dispatch.Stop{stop}, at)
		f.setStops([]dispatch.Stop{stop}, at.Add(time.Second))
		assert.Equal(t, f.lastRelocation, dispatch.Relocation{Task: key, Run: 1, At: rudderfork.Millis(at)})
	})
	t.Run("a stop for another reason is no relocation", func(t *testing.T) {
		f := newFleet()
		other := stop
		other.Reason = dispatch.ReasonSlow
		f.setStops([]dispatch.Stop{other}, at)
		assert.Equal(t, f.lastRelocation, dispatch.Relocation{})
	})
	t.Run("upkeep counts a task that is being relocated as away", func(t *testing.T) {
		s := &Scheduler{fleet: newFleet()}
		j := &queue.Job{ID: key.Job, Occurrences: []*queue.Occurrence{{Steps: [][]queue.Task{{
			{Runs: []queue.Run{{Number: 1, VM: "vm1"}}},
		}}}}}
		s.fleet.vm("vm1").runs[key] = &runInfo{status: rudderfork.RunStatus{RunRef: key.Ref(1), Percent: fullPercent}}
		elsewhere := &queue.VM{ID: "vm2"}
		assert.Equal(t, s.countAway(j, key.StepKey(), elsewhere), 0)
		s.fleet.setStops([]dispatch.Stop{stop}, steady.Now())
		assert.Equal(t, s.countAway(j, key.StepKey(), elsewhere), 1)
	})
}

// TestRunStatuses checks which of the run statuses that agents report the leader keeps.
func TestRunStatuses(t *testing.T) {
	key, at := queue.TaskKey{Job: "j"}, steady.Now()
	sendStatus := func(f *fleet, inc string, run uint32, percent int, checkpoint string) {
		f.recordHeartbeat(f.vm("vm1"), wire.VMHeartbeat{VM: queue.VM{ID: "vm1", Incarnation: inc}, Runs: []rudderfork.RunStatus{
			{RunRef: key.Ref(run), Percent: percent, Checkpoint: checkpoint},
		}}, at)
	}
	t.Run("the planner sees the last reported status of a run", func(t *testing.T) {
		qs, f := stateWithRun(t), newFleet()
		sendStatus(f, "life-1", 1, 10, "")
		before := f.view(qs, at).VMs["vm1"].Changes
		sendStatus(f, "life-1", 1, 60, "")
		view := f.view(qs, at)
		assert.Equal(t, view.Runs[key.Run(1)].Percent, 60)
		assert.Equal(t, view.Runs[key.Run(1)].FirstPercent, 10)
		assert.Assert(t, view.VMs["vm1"].Changes != before)
	})
	t.Run("a run that has ended is dropped with its checkpoint", func(t *testing.T) {
		qs, f := stateWithRun(t), newFleet()
		sendStatus(f, "life-1", 1, 10, "old")
		qs.Apply(queue.Command{Ends: &queue.Ends{VM: "vm1", Incarnation: "life-1", List: []queue.End{{Task: key, Run: 1, Outcome: queue.OutcomeStopped}}}}, 2)
		qs.Apply(queue.Command{Starts: []queue.Start{{Task: key, VM: "vm1", Incarnation: "life-1"}}}, 2)
		assert.Equal(t, len(f.view(qs, at).Runs), 0)
		assert.Equal(t, len(f.vm("vm1").checkpoints()), 0)
	})
	t.Run("a new incarnation drops the runs of the old one", func(t *testing.T) {
		f := newFleet()
		sendStatus(f, "life-1", 1, 10, "old")
		f.recordHeartbeat(f.vm("vm1"), wire.VMHeartbeat{VM: queue.VM{ID: "vm1", Incarnation: "life-2"}}, at)
		assert.Equal(t, len(f.runs), 0)
		assert.Equal(t, len(f.vm("vm1").checkpoints()), 0)
	})
}
