package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// crash registers a new incarnation of a VM's executor, with a crash report in which all runs
// on the VM had just begun.
func (w *fixture) crash(id rudderfork.VMID, life string) {
	w.t.Helper()
	vm := *w.s.VM(id)
	c := queue.Crash{Incarnation: vm.Incarnation}
	for k, run := range vm.Runs() {
		c.Runs = append(c.Runs, queue.RunAge{Task: k, Run: run, Confirmed: true})
	}
	vm.Incarnation = life
	assert.Equal(w.t, w.s.Apply(queue.Command{Register: &vm, Crash: &c}, w.view.Now).Code, queue.OK)
}

// reportRuns reports all runs on a VM for the first time at a time, Unix ms.
func (w *fixture) reportRuns(id rudderfork.VMID, at int64) {
	for k, run := range w.s.VM(id).Runs() {
		w.view.Runs[k.Run(run)] = RunView{FirstSeenAt: at, ProgressedAt: at}
	}
}

// newSuspects returns a fixture of some VMs in which the executor of vm1 has crashed while n
// tasks ran on it.
func newSuspects(t *testing.T, vms, n int) *fixture {
	w := newFixture(t, 1)
	for i := range n {
		w.submit("urgent", fmt.Sprintf("s%d", i), 1, cpuStep(200))
	}
	assert.Equal(t, len(w.startPlanned()), n)
	for i := range vms - 1 {
		w.addVM(i + 2)
	}
	w.crash("vm1", "life-2")
	return w
}

// TestQuarantine checks on which VMs suspects of a crash start, and how long they wait.
func TestQuarantine(t *testing.T) {
	t.Run("each runs on its own VM, on a part of the VMs", func(t *testing.T) {
		w := newSuspects(t, 8, 5)
		places := w.startPlanned()
		assert.Equal(t, len(places), 8/quarantineDivisor)
		assert.Assert(t, places["s0.0.0.0"] != places["s1.0.0.0"])
		assert.Equal(t, len(w.startPlanned()), 0)
	})
	t.Run("the next one starts once the first has run for quarantineMS", func(t *testing.T) {
		w := newSuspects(t, 4, 2)
		on := w.startPlanned()["s0.0.0.0"]
		w.reportRuns(on, w.view.Now)
		w.view.Now += quarantineMS - 1
		assert.Equal(t, len(w.startPlanned()), 0)
		w.view.Now++
		assert.Equal(t, len(w.startPlanned()), 1)
	})
	t.Run("on the VM with the fewest runs", func(t *testing.T) {
		w := newSuspects(t, 4, 1)
		for i := range 3 {
			vm := w.s.VM(rudderfork.VMID(fmt.Sprintf("vm%d", i+1)))
			k := w.submit("later", fmt.Sprintf("beside%d", i), 1, cpuStep(100))
			assert.Assert(t, w.s.Apply(queue.Command{Starts: []queue.Start{{Task: k, VM: vm.ID, Incarnation: vm.Incarnation}}}, 1).Numbers[0] > 0)
		}
		assert.Equal(t, w.startPlanned()["s0.0.0.0"], rudderfork.VMID("vm4"))
	})
	t.Run("other tasks prefer other VMs", func(t *testing.T) {
		w := newSuspects(t, 2, 1)
		on := w.startPlanned()["s0.0.0.0"]
		w.submit("urgent", "other", 1, cpuStep(3000))
		assert.Assert(t, w.startPlanned()["other.0.0.0"] != on)
	})
	t.Run("none waits longer than maxQuarantineWaitMS", func(t *testing.T) {
		w := newSuspects(t, 4, 3)
		assert.Equal(t, len(w.startPlanned()), 1)
		w.view.Now += maxQuarantineWaitMS - 1
		assert.Equal(t, len(w.startPlanned()), 0)
		w.view.Now++
		assert.Equal(t, len(w.startPlanned()), 2)
	})
	t.Run("the explanation names the quarantine", func(t *testing.T) {
		w := newSuspects(t, 1, 2)
		w.startPlanned()
		k := queue.TaskKey{Job: "s1"}
		why := NewPlanner().Explain(w.s, w.view, w.s.Job("s1")).RejectReasons(k)
		assert.Equal(t, why["vm1"], "another suspect of a crash is in quarantine there")
	})
}
