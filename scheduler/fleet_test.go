package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
)

func TestMovedTask(t *testing.T) {
	key := queue.TaskKey{Job: "feed"}
	stop := dispatch.Stop{Task: key, Run: 1, VM: "vm1", Reason: dispatch.Regrouped}
	at := steady.Now()
	t.Run("the time of a move is that of its first plan", func(t *testing.T) {
		f := newFleet()
		f.setStops([]dispatch.Stop{stop}, at)
		f.setStops([]dispatch.Stop{stop}, at.Add(time.Second))
		assert.Equal(t, f.moved, dispatch.Move{Task: key, Run: 1, At: rudderfork.Millis(at)})
	})
	t.Run("other stops are no moves", func(t *testing.T) {
		f := newFleet()
		other := stop
		other.Reason = dispatch.Slow
		f.setStops([]dispatch.Stop{other}, at)
		assert.Equal(t, f.moved, dispatch.Move{})
	})
	t.Run("upkeep counts a task that is being moved as away", func(t *testing.T) {
		s := &Scheduler{fleet: newFleet()}
		j := &queue.Job{ID: key.Job, Times: []*queue.Occurrence{{Steps: [][]queue.Task{{
			{Runs: []queue.Run{{Number: 1, VM: "vm1"}}},
		}}}}}
		s.fleet.vm("vm1").rows[key] = &runInfo{row: rudderfork.RunRow{RunRef: key.Ref(1), Percent: fullPercent}}
		elsewhere := &queue.VM{ID: "vm2"}
		assert.Equal(t, s.away(j, key.StepKey(), elsewhere), 0)
		s.fleet.setStops([]dispatch.Stop{stop}, steady.Now())
		assert.Equal(t, s.away(j, key.StepKey(), elsewhere), 1)
	})
}
