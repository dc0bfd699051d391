package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// atWorkFor is how long serving tasks of these tests have been at work.
const atWorkFor = 60_000

// serve hands in a lasting job of count tasks and has each at work on its VM.
func (w *world) serve(id, image string, on ...rudderfork.VMID) queue.TaskKey {
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

// mixedWorld has tasks of two images, on which different fillers press, in each
// other's way: "stray" runs on vm1 beside two of "audio", the other "video" on vm2.
func mixedWorld(t *testing.T) (w *world, stray queue.TaskKey) {
	w = newWorld(t, 2)
	w.pair[[2]string{"audio", "loud"}] = 6
	w.pair[[2]string{"video", "bright"}] = 6
	w.serve("a", "audio", "vm1", "vm1")
	w.serve("b", "video", "vm2", "vm2")
	stray = w.serve("c", "video", "vm1")
	w.submit("later", "x", 2, fillerStep("loud", 1000))
	w.submit("later", "y", 2, fillerStep("bright", 1000))
	w.view.Now, w.view.Relocate = atWorkFor, true
	return w, stray
}

// regroupings returns the tasks that a plan moves to make room for fillers.
func regroupings(p Plan) (keys []queue.TaskKey) {
	for _, st := range p.Stops {
		if st.Reason == ReasonRelocated {
			keys = append(keys, st.Task)
		}
	}
	return keys
}

func TestRegroup(t *testing.T) {
	t.Run("a task among others that bear other fillers is moved to its like", func(t *testing.T) {
		w, stray := mixedWorld(t)
		assert.DeepEqual(t, regroupings(PlanOnce(w.s, w.view)), []queue.TaskKey{stray})
		w.s.Apply(queue.Command{Ends: &queue.Ends{
			VM: "vm1", Incarnation: "life", List: []queue.End{{Task: stray, Run: 1, Outcome: queue.OutcomeStopped}},
		}}, w.view.Now)
		w.view.LastRelocation = Relocation{Task: stray, Run: 1, At: w.view.Now}
		assert.Equal(t, w.run()[stray.String()], rudderfork.VMID("vm2"))
		assert.Equal(t, len(regroupings(PlanOnce(w.s, w.view))), 0)
	})
	t.Run("none is moved while all bear the same", func(t *testing.T) {
		w, _ := mixedWorld(t)
		w.pair[[2]string{"audio", "loud"}] = 0
		w.pair[[2]string{"audio", "bright"}] = 6
		assert.Equal(t, len(regroupings(PlanOnce(w.s, w.view))), 0)
	})
	t.Run("none is moved while another of its step is away", func(t *testing.T) {
		w, stray := mixedWorld(t)
		w.view.Runs[stray.Run(1)] = RunView{Percent: 50, FirstSeenAt: 1, ProgressedAt: w.view.Now}
		assert.Equal(t, len(regroupings(PlanOnce(w.s, w.view))), 0)
	})
	t.Run("none is moved during upkeep", func(t *testing.T) {
		w, _ := mixedWorld(t)
		w.s.Apply(queue.Command{Wave: &queue.Wave{ID: 1, Machines: []string{"m1"}, DueMS: 1 << 40, MaxDown: 1}}, 1)
		assert.Equal(t, len(regroupings(PlanOnce(w.s, w.view))), 0)
	})
	t.Run("after a move only its stop is asked for again", func(t *testing.T) {
		w, stray := mixedWorld(t)
		other := w.serve("d", "audio", "vm2")
		w.view.LastRelocation = Relocation{Task: other, Run: 1, At: w.view.Now - 1}
		assert.DeepEqual(t, regroupings(PlanOnce(w.s, w.view)), []queue.TaskKey{other})
		w.view.LastRelocation.At = w.view.Now - 10*relocationPauseMS
		assert.DeepEqual(t, regroupings(PlanOnce(w.s, w.view)), []queue.TaskKey{other}) // its stop is not done
		w.view.LastRelocation.Run++
		assert.DeepEqual(t, regroupings(PlanOnce(w.s, w.view)), []queue.TaskKey{stray})
	})
}

func TestServingPlace(t *testing.T) {
	w := newWorld(t, 3)
	w.pair[[2]string{"audio", "loud"}] = 6
	w.pair[[2]string{"radio", "loud"}] = 6
	w.pair[[2]string{"video", "bright"}] = 6
	w.serve("a", "audio", "vm1")
	w.serve("b", "video", "vm2")
	w.submit("later", "x", 2, fillerStep("loud", 500))
	w.submit("later", "y", 2, fillerStep("bright", 500))
	w.run()
	k := w.submit("urgent", "r", 3, servingStep("radio", 500))
	assert.Equal(t, w.run()[k.String()], rudderfork.VMID("vm1"), "beside a task that bears the same fillers")
}
