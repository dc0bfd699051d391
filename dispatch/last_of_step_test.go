package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// TestLastOfStep checks which runs count as the last of their step.
func TestLastOfStep(t *testing.T) {
	const count = 20
	// after returns the runs that count as the last of a step once some of its tasks are done.
	after := func(t *testing.T, st queue.Step, done int) (last []queue.RunKey) {
		w := newFixture(t, 2)
		st.Count = count
		k := w.submit("later", "f", 1, st)
		assert.Equal(t, len(w.startPlanned()), count)
		for i := range done {
			k.Index = i
			r := w.s.Job("f").Task(k).Runs[0]
			w.s.Apply(queue.Command{Ends: &queue.Ends{VM: r.VM, Incarnation: "life", List: []queue.End{{Task: k, Run: 1, Outcome: queue.OutcomeDone}}}}, w.view.Now)
		}
		for _, vm := range []rudderfork.VMID{"vm1", "vm2"} {
			last = append(last, PlanOnce(w.s, w.view).LastOfStep[vm]...)
		}
		return last
	}
	for _, c := range []struct{ done, last int }{{0, 0}, {10, 0}, {16, 0}, {17, 3}, {19, 1}} {
		t.Run(fmt.Sprintf("%d of %d are done", c.done, count), func(t *testing.T) {
			assert.Equal(t, len(after(t, fillerStep("loud", 100), c.done)), c.last)
		})
	}
	t.Run("none of a step that is not paced", func(t *testing.T) {
		assert.Equal(t, len(after(t, cpuStep(100), 19)), 0)
	})
	t.Run("not the only task of a step", func(t *testing.T) {
		w := newFixture(t, 1)
		w.submit("later", "f", 1, fillerStep("loud", 100))
		w.startPlanned()
		assert.Equal(t, len(PlanOnce(w.s, w.view).LastOfStep), 0)
	})
}
