package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/queue"
)

// TestReserve plays the load of kiosks beside feeds: short tasks all the time, and
// lasting ones that would fill the fleet.
func TestReserve(t *testing.T) {
	short := cpu(300)
	// seen has four VMs with 0.9 of their 4 cores left by lasting tasks, and demand for
	// as many short tasks at once as given.
	seen := func(t *testing.T, tasks int) *world {
		w := newWorld(t, 4)
		w.serve("old", "audio", "vm1", "vm2", "vm3", "vm4")
		lasting := servingStep("audio", 2600)
		lasting.Count = 4
		w.submit("urgent", "feed", 1, lasting)
		w.run()
		w.view.ShortDemand = ShortDemand{at: 1, tasks: float64(tasks), cpu: 300}
		return w
	}
	lasting := func(w *world, id string) int {
		st := servingStep("audio", 600)
		st.Count = 4
		w.submit("urgent", id, 1, st)
		return len(w.run())
	}
	t.Run("lasting tasks take all room while no short ones are seen", func(t *testing.T) {
		assert.Equal(t, lasting(seen(t, 0), "more"), 4)
	})
	t.Run("they leave room for as many short ones as are usual", func(t *testing.T) {
		w := seen(t, 9)
		assert.Equal(t, lasting(w, "more"), 1)
		st := short
		st.Count = 9
		w.submit("urgent", "hold", w.view.Now, st)
		assert.Equal(t, len(w.run()), 9, "the short tasks find it")
	})
	t.Run("room that short ones have taken is not kept twice", func(t *testing.T) {
		w, st := seen(t, 3), short
		st.Count = 3
		w.submit("urgent", "hold", w.view.Now, st)
		assert.Equal(t, len(w.run()), 3)
		assert.Equal(t, lasting(w, "more"), 4)
	})
	t.Run("one that has run before begins again at once", func(t *testing.T) {
		w := seen(t, 9)
		k := queue.TaskKey{Job: "feed"}
		on := w.s.Job("feed").Task(k).Runs[0].VM
		w.s.Apply(queue.Command{Ends: &queue.Ends{VM: on, Incarnation: "life", List: []queue.End{{Task: k, Run: 1, Outcome: queue.OutcomeFailed}}}}, w.view.Now)
		assert.Equal(t, len(w.run()), 1)
	})
	t.Run("nothing is kept while the fleet is not nearly full", func(t *testing.T) {
		w := newWorld(t, 4)
		w.view.ShortDemand = ShortDemand{at: 1, tasks: 99, cpu: 1000}
		assert.Equal(t, lasting(w, "first"), 4)
	})
	t.Run("tasks that wait for a job that is over are not seen", func(t *testing.T) {
		w := newWorld(t, 2)
		st := cpu(4000)
		st.Count = 3
		w.submit("urgent", "hold", w.view.Now, st)
		assert.Equal(t, len(w.run()), 2)
		assert.DeepEqual(t, PlanOnce(w.s, w.view).ShortTasks, ShortTasks{Running: 2, Waiting: 1, CPUMilli: 12_000})
		w.s.Apply(queue.Command{Cancel: &queue.Cancel{Host: host, Path: "/urgent/hold"}}, w.view.Now)
		assert.DeepEqual(t, PlanOnce(w.s, w.view).ShortTasks, ShortTasks{Running: 2, CPUMilli: 8_000})
	})
	t.Run("why a task waits is told", func(t *testing.T) {
		w := seen(t, 99)
		assert.Equal(t, lasting(w, "more"), 0)
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
