package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// TestLast holds which runs are told to be the last of their step.
func TestLast(t *testing.T) {
	const count = 20
	// after has a step of which so many tasks are done.
	after := func(t *testing.T, st queue.Step, done int) (last []queue.RunKey) {
		w := newWorld(t, 2)
		st.Count = count
		k := w.submit("later", "f", 1, st)
		assert.Equal(t, len(w.run()), count)
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
	t.Run("no tasks that are not paced", func(t *testing.T) {
		assert.Equal(t, len(after(t, cpu(100), 19)), 0)
	})
	t.Run("not the one task of a step that nobody waits with", func(t *testing.T) {
		w := newWorld(t, 1)
		w.submit("later", "f", 1, fillerStep("loud", 100))
		w.run()
		assert.Equal(t, len(PlanOnce(w.s, w.view).LastOfStep), 0)
	})
}
