package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/queue"
)

// TestReserve guards against lasting tasks that fill the fleet and leave short tasks, which
// arrive all the time, without capacity.
func TestReserve(t *testing.T) {
	short := cpuStep(300)
	// nearlyFull returns a fixture of four VMs on which lasting tasks leave 0.9 of 4 cores
	// free, with a recent demand of the given number of short tasks.
	nearlyFull := func(t *testing.T, tasks int) *fixture {
		w := newFixture(t, 4)
		w.serve("old", "audio", "vm1", "vm2", "vm3", "vm4")
		lasting := servingStep("audio", 2600)
		lasting.Count = 4
		w.submit("urgent", "feed", 1, lasting)
		w.startPlanned()
		w.view.ShortDemand = ShortDemand{at: 1, tasks: float64(tasks), cpu: 300}
		return w
	}
	startLasting := func(w *fixture, id string) int {
		st := servingStep("audio", 600)
		st.Count = 4
		w.submit("urgent", id, 1, st)
		return len(w.startPlanned())
	}
	t.Run("lasting tasks take all capacity while there are no short tasks", func(t *testing.T) {
		assert.Equal(t, startLasting(nearlyFull(t, 0), "more"), 4)
	})
	t.Run("lasting tasks leave the reserve free", func(t *testing.T) {
		w := nearlyFull(t, 9)
		assert.Equal(t, startLasting(w, "more"), 1)
		st := short
		st.Count = 9
		w.submit("urgent", "hold", w.view.Now, st)
		assert.Equal(t, len(w.startPlanned()), 9, "the short tasks start in the reserve")
	})
	t.Run("running short tasks count towards the reserve", func(t *testing.T) {
		w, st := nearlyFull(t, 3), short
		st.Count = 3
		w.submit("urgent", "hold", w.view.Now, st)
		assert.Equal(t, len(w.startPlanned()), 3)
		assert.Equal(t, startLasting(w, "more"), 4)
	})
	t.Run("a lasting task that ran before restarts at once", func(t *testing.T) {
		w := nearlyFull(t, 9)
		k := queue.TaskKey{Job: "feed"}
		on := w.s.Job("feed").Task(k).Runs[0].VM
		w.s.Apply(queue.Command{Ends: &queue.Ends{VM: on, Incarnation: "life", List: []queue.End{{Task: k, Run: 1, Outcome: queue.OutcomeFailed}}}}, w.view.Now)
		assert.Equal(t, len(w.startPlanned()), 1)
	})
	t.Run("there is no reserve while the fleet is not nearly full", func(t *testing.T) {
		w := newFixture(t, 4)
		w.view.ShortDemand = ShortDemand{at: 1, tasks: 99, cpu: 1000}
		assert.Equal(t, startLasting(w, "first"), 4)
	})
	t.Run("waiting tasks of a cancelled job are not counted", func(t *testing.T) {
		w := newFixture(t, 2)
		st := cpuStep(4000)
		st.Count = 3
		w.submit("urgent", "hold", w.view.Now, st)
		assert.Equal(t, len(w.startPlanned()), 2)
		assert.DeepEqual(t, PlanOnce(w.s, w.view).ShortTasks, ShortTasks{Running: 2, Waiting: 1, CPUMilli: 12_000})
		w.s.Apply(queue.Command{Cancel: &queue.Cancel{Host: host, Path: "/urgent/hold"}}, w.view.Now)
		assert.DeepEqual(t, PlanOnce(w.s, w.view).ShortTasks, ShortTasks{Running: 2, CPUMilli: 8_000})
	})
	t.Run("the explanation names the reserve", func(t *testing.T) {
		w := nearlyFull(t, 99)
		assert.Equal(t, startLasting(w, "more"), 0)
		for vm, why := range NewPlanner().Explain(w.s, w.view, w.s.Job("more")).RejectReasons(queue.TaskKey{Job: "more"}) {
			assert.Equal(t, why, "room is kept there for short tasks", string(vm))
		}
	})
}

func TestShortDemand(t *testing.T) {
	var d ShortDemand
	for now := int64(1_000); now < 60_000; now += 100 {
		d.Observe(ShortTasks{Running: 8, Waiting: 2, CPUMilli: 15_000}, now)
	}
	assert.Equal(t, fmt.Sprintf("%.1f %.1f %.0f", d.tasks, d.spread, d.cpu), "10.0 0.0 1500")
	for now := int64(60_000); now < 120_000; now += 1_000 {
		d.Observe(ShortTasks{Running: int(now/1_000%2) * 20, CPUMilli: 1_500 * (now / 1_000 % 2) * 20}, now)
	}
	assert.Assert(t, d.tasks > 8 && d.tasks < 12 && d.spread > 8 && d.spread < 12, "%+v", d)
}
