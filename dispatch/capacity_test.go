package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// TestCapacityChangeIsRead guards against a reused planner that keeps the old capacity of
// a VM.
func TestCapacityChangeIsRead(t *testing.T) {
	w := newFixture(t, 1)
	pl := NewPlanner()
	resize := func(milli int64) {
		vm := *w.s.VM("vm1")
		vm.Capacity.CPUMilli = milli
		assert.Equal(t, w.s.Apply(queue.Command{Register: &vm}, w.view.Now).Code, queue.OK)
	}
	starts := func() (n int) {
		var c queue.Command
		for _, st := range pl.Plan(w.s, w.view).Starts {
			c.Starts = append(c.Starts, st.Start)
		}
		for _, number := range w.s.Apply(c, w.view.Now).Numbers {
			assert.Assert(t, number > 0)
			n++
		}
		return n
	}
	step := cpuStep(1000)
	step.Count = 8
	w.submit("urgent", "j1", 1, step)
	assert.Equal(t, starts(), 4)
	resize(2000)
	assert.Equal(t, starts(), 0)
	assert.Assert(t, w.s.Apply(queue.Command{Ends: &queue.Ends{VM: "vm1", Incarnation: "life", List: []queue.End{
		{Task: queue.TaskKey{Job: "j1"}, Run: 1, Outcome: queue.OutcomeDone},
	}}}, w.view.Now).Accepted[0])
	assert.Equal(t, starts(), 0)
	resize(5000)
	assert.Equal(t, starts(), 2)
	assert.Assert(t, w.s.VM("vm1").Used().Fits(rudderfork.Resources{CPUMilli: 5000, MemoryMB: 4000}))
}
