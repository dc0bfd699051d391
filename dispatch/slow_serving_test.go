package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// newSlowVM returns a fixture with jobs of three serving tasks each, on vm1 to vm3, of which vm1 is too
// slow to serve. The other VMs are empty.
func newSlowVM(t *testing.T, vms, jobs int) *fixture {
	w := newFixture(t, vms)
	w.view.OverloadedSince = map[queue.RunKey]int64{}
	for i := range jobs {
		k := w.serve(fmt.Sprint("s", i), "audio", "vm1", "vm2", "vm3")
		w.overload(k, int64(40+i))
	}
	w.view.Now, w.view.Relocate = servedMS, true
	return w
}

// slowRelocations returns the tasks that a plan relocates from slow VMs.
func slowRelocations(w *fixture) (keys []string) {
	for _, st := range PlanOnce(w.s, w.view).Stops {
		if st.Reason == ReasonTooSlow {
			keys = append(keys, st.Task.String())
		}
	}
	return keys
}

// overload makes the first run of a task overloaded, with a tail latency in ms.
func (w *fixture) overload(k queue.TaskKey, tail int64) {
	w.view.Runs[k.Run(1)] = RunView{Percent: 100, Load: tail, FirstSeenAt: 1}
	w.view.OverloadedSince[k.Run(1)] = servedMS - minOverloadedMS
}

// TestSlowRelocation checks which serving tasks are relocated from a VM that is too slow.
func TestSlowRelocation(t *testing.T) {
	first := queue.TaskKey{Job: "s0"}
	for _, c := range []struct {
		name   string
		change func(w *fixture)
		expect []string
	}{
		{"one at a time on a small fleet", func(*fixture) {}, []string{"s0.0.0.0"}},
		{"not before minOverloadedMS", func(w *fixture) { w.view.Now-- }, nil},
		{"not a single task, which may have a high load of its own", func(w *fixture) {
			delete(w.view.OverloadedSince, first.Run(1))
		}, nil},
		{"a single task if the VM is known to be slow", func(w *fixture) {
			delete(w.view.OverloadedSince, first.Run(1))
			w.view.VMs["vm1"] = VMView{Usable: true, Speed: 0.3}
		}, []string{"s1.0.0.0"}},
		{"none if the other tasks of the steps are overloaded too", func(w *fixture) {
			for k, r := range w.view.Runs {
				r.Load = 40
				w.view.Runs[k] = r
			}
		}, nil},
		{"none during upkeep", func(w *fixture) {
			w.s.Apply(queue.Command{Wave: &queue.Wave{ID: 1, Machines: []string{"m1"}, DueMS: 1 << 40, MaxDown: 1}}, 1)
		}, nil},
		{"none of a step of which another task is starting", func(w *fixture) {
			w.view.Runs[queue.TaskKey{Job: "s0", Index: 2}.Run(1)] = RunView{Percent: 50, Load: 9, FirstSeenAt: 1, ProgressedAt: servedMS}
		}, []string{"s1.0.0.0"}},
		{"none of a step of which another task was just relocated", func(w *fixture) {
			w.view.LastRelocation = Relocation{Task: queue.TaskKey{Job: "s0", Index: 2}, Run: 9, At: servedMS - 1}
		}, []string{"s1.0.0.0"}},
		{"no other while one is in progress, which is ordered again", func(w *fixture) {
			w.view.SlowRelocations = []Relocation{{Task: queue.TaskKey{Job: "s1"}, Run: 1, At: 1}}
		}, []string{"s1.0.0.0"}},
		{"not to a VM that has failures", func(w *fixture) { w.setOthers(VMView{Usable: true, FailureScore: riskyFailureScore}) }, nil},
		{"not to a slow VM", func(w *fixture) { w.setOthers(VMView{Usable: true, Speed: 0.5}) }, nil},
		{"not to a VM on which it was slow before", func(w *fixture) {
			w.view.FailedOn[first] = []rudderfork.VMID{"vm2", "vm3", "vm4"}
			w.view.FailedOn[queue.TaskKey{Job: "s1"}] = w.view.FailedOn[first]
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newSlowVM(t, 4, 2)
			c.change(w)
			assert.DeepEqual(t, slowRelocations(w), c.expect)
		})
	}
	t.Run("of several steps at once in a larger fleet, but one of a step", func(t *testing.T) {
		w := newSlowVM(t, 3*vmsPerMove, 4)
		w.serve("s9", "audio", "vm1", "vm1", "vm2", "vm3", "vm4")
		for i := range 2 {
			w.overload(queue.TaskKey{Job: "s9", Index: i}, 50)
		}
		assert.DeepEqual(t, slowRelocations(w), []string{"s0.0.0.0", "s1.0.0.0", "s2.0.0.0"})
	})
	t.Run("not more than the other VMs have capacity for", func(t *testing.T) {
		w := newSlowVM(t, 2*vmsPerMove, 2)
		w.setOthers(VMView{})
		w.view.VMs["vm2"], w.view.VMs["vm3"] = VMView{Usable: true}, VMView{Usable: true}
		w.serve("big", "audio", "vm2", "vm2", "vm2", "vm2", "vm2", "vm3", "vm3", "vm3", "vm3", "vm3", "vm3")
		assert.DeepEqual(t, slowRelocations(w), []string{"s0.0.0.0"})
	})
}

// setOthers sets the view of all VMs but the slow one.
func (w *fixture) setOthers(view VMView) {
	for id := range w.view.VMs {
		if id != "vm1" {
			w.view.VMs[id] = view
		}
	}
}

// TestServingOnSlowVM checks that a serving task does not start on a VM known to be slow.
func TestServingOnSlowVM(t *testing.T) {
	w := newFixture(t, 2)
	w.view.VMs["vm1"] = VMView{Usable: true, Speed: 0.25}
	k := w.submit("urgent", "s", 1, servingStep("audio", 500))
	assert.Equal(t, w.startPlanned()[k.String()], rudderfork.VMID("vm2"))
}
