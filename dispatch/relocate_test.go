package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// servedMS is how long the serving tasks of these tests have been running.
const servedMS = 60_000

// serve submits a lasting job with a running task on each of the VMs.
func (w *fixture) serve(id, image string, on ...rudderfork.VMID) queue.TaskKey {
	w.t.Helper()
	st := servingStep(image, 500)
	st.Count = len(on)
	k := w.submit("urgent", id, 1, st)
	var c queue.Command
	for i, vm := range on {
		k.Index = i
		c.Starts = append(c.Starts, queue.Start{Task: k, VM: vm, Incarnation: "life"})
	}
	for i, n := range w.s.Apply(c, 1).Numbers {
		assert.Assert(w.t, n > 0)
		k.Index = i
		w.view.Runs[k.Run(n)] = RunView{Percent: 100, Load: 9, FirstSeenAt: 1}
	}
	k.Index = 0
	return k
}

// newMixedImages returns a fixture with serving tasks of the images "audio" and "video", which
// tolerate different fillers. stray is a task of "video" on vm1, beside two of "audio"; the
// other tasks of "video" are on vm2.
func newMixedImages(t *testing.T) (w *fixture, stray queue.TaskKey) {
	w = newFixture(t, 2)
	w.pressures[[2]string{"audio", "loud"}] = 6
	w.pressures[[2]string{"video", "bright"}] = 6
	w.serve("a", "audio", "vm1", "vm1")
	w.serve("b", "video", "vm2", "vm2")
	stray = w.serve("c", "video", "vm1")
	w.submit("later", "x", 2, fillerStep("loud", 1000))
	w.submit("later", "y", 2, fillerStep("bright", 1000))
	w.view.Now, w.view.Relocate = servedMS, true
	return w, stray
}

// relocations returns the tasks that a plan moves to gain filler capacity.
func relocations(p Plan) (keys []queue.TaskKey) {
	for _, st := range p.Stops {
		if st.Reason == ReasonRelocated {
			keys = append(keys, st.Task)
		}
	}
	return keys
}

// TestRelocation checks which serving tasks are moved so that fillers gain capacity.
func TestRelocation(t *testing.T) {
	t.Run("a task beside an image that tolerates other fillers is moved to its own image", func(t *testing.T) {
		w, stray := newMixedImages(t)
		assert.DeepEqual(t, relocations(PlanOnce(w.s, w.view)), []queue.TaskKey{stray})
		w.s.Apply(queue.Command{Ends: &queue.Ends{
			VM: "vm1", Incarnation: "life", List: []queue.End{{Task: stray, Run: 1, Outcome: queue.OutcomeStopped}},
		}}, w.view.Now)
		w.view.LastRelocation = Relocation{Task: stray, Run: 1, At: w.view.Now}
		assert.Equal(t, w.startPlanned()[stray.String()], rudderfork.VMID("vm2"))
		assert.Equal(t, len(relocations(PlanOnce(w.s, w.view))), 0)
	})
	t.Run("none is moved while all tolerate the same fillers", func(t *testing.T) {
		w, _ := newMixedImages(t)
		w.pressures[[2]string{"audio", "loud"}] = 0
		w.pressures[[2]string{"audio", "bright"}] = 6
		assert.Equal(t, len(relocations(PlanOnce(w.s, w.view))), 0)
	})
	t.Run("none is moved while another task of its step is starting", func(t *testing.T) {
		w, stray := newMixedImages(t)
		w.view.Runs[stray.Run(1)] = RunView{Percent: 50, FirstSeenAt: 1, ProgressedAt: w.view.Now}
		assert.Equal(t, len(relocations(PlanOnce(w.s, w.view))), 0)
	})
	t.Run("none is moved during upkeep", func(t *testing.T) {
		w, _ := newMixedImages(t)
		w.s.Apply(queue.Command{Wave: &queue.Wave{ID: 1, Machines: []string{"m1"}, DueMS: 1 << 40, MaxDown: 1}}, 1)
		assert.Equal(t, len(relocations(PlanOnce(w.s, w.view))), 0)
	})
	t.Run("an unfinished relocation is ordered again and blocks others", func(t *testing.T) {
		w, stray := newMixedImages(t)
		other := w.serve("d", "audio", "vm2")
		w.view.LastRelocation = Relocation{Task: other, Run: 1, At: w.view.Now - 1}
		assert.DeepEqual(t, relocations(PlanOnce(w.s, w.view)), []queue.TaskKey{other})
		w.view.LastRelocation.At = w.view.Now - 10*relocationPauseMS
		assert.DeepEqual(t, relocations(PlanOnce(w.s, w.view)), []queue.TaskKey{other}) // its run has not ended
		w.view.LastRelocation.Run++
		assert.DeepEqual(t, relocations(PlanOnce(w.s, w.view)), []queue.TaskKey{stray})
	})
}

// TestServingVMChoice checks that a serving task starts beside one that tolerates the same
// fillers, although their images differ.
func TestServingVMChoice(t *testing.T) {
	w := newFixture(t, 3)
	w.pressures[[2]string{"audio", "loud"}] = 6
	w.pressures[[2]string{"radio", "loud"}] = 6
	w.pressures[[2]string{"video", "bright"}] = 6
	w.serve("a", "audio", "vm1")
	w.serve("b", "video", "vm2")
	w.submit("later", "x", 2, fillerStep("loud", 500))
	w.submit("later", "y", 2, fillerStep("bright", 500))
	w.startPlanned()
	k := w.submit("urgent", "r", 3, servingStep("radio", 500))
	assert.Equal(t, w.startPlanned()[k.String()], rudderfork.VMID("vm1"), "beside a task that tolerates the same fillers")
}
