package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// crash has the executor of a VM come back under another life, right after the starts
// of all that runs there.
func (w *world) crash(id rudderfork.VMID, life string) {
	w.t.Helper()
	vm := *w.s.VM(id)
	c := queue.Crash{Incarnation: vm.Incarnation}
	for k, run := range vm.Runs() {
		c.Runs = append(c.Runs, queue.RunAge{Task: k, Run: run, Confirmed: true})
	}
	vm.Incarnation = life
	assert.Equal(w.t, w.s.Apply(queue.Command{Register: &vm, Crash: &c}, w.view.Now).Code, queue.OK)
}

// see has all runs on a VM reported at a time.
func (w *world) see(id rudderfork.VMID, at int64) {
	for k, run := range w.s.VM(id).Runs() {
		w.view.Runs[k.Run(run)] = RunView{FirstSeenAt: at, ProgressedAt: at}
	}
}

// suspects is a world in which the only VM of n tasks' runs has crashed under them.
func suspects(t *testing.T, vms, n int) *world {
	w := newWorld(t, 1)
	for i := range n {
		w.submit("urgent", fmt.Sprintf("s%d", i), 1, cpu(200))
	}
	assert.Equal(t, len(w.run()), n)
	for i := range vms - 1 {
		w.addVM(i + 2)
	}
	w.crash("vm1", "life-2")
	return w
}

// TestQuarantine has tasks wait that are suspected of a crash.
func TestQuarantine(t *testing.T) {
	t.Run("each runs on a VM of its own, on a part of the VMs", func(t *testing.T) {
		w := suspects(t, 8, 5)
		places := w.run()
		assert.Equal(t, len(places), 8/quarantineDivisor)
		assert.Assert(t, places["s0.0.0.0"] != places["s1.0.0.0"])
		assert.Equal(t, len(w.run()), 0)
	})
	t.Run("the next one follows when one has been at work for a while", func(t *testing.T) {
		w := suspects(t, 4, 2)
		on := w.run()["s0.0.0.0"]
		w.see(on, w.view.Now)
		w.view.Now += quarantineMS - 1
		assert.Equal(t, len(w.run()), 0)
		w.view.Now++
		assert.Equal(t, len(w.run()), 1)
	})
	t.Run("where least runs", func(t *testing.T) {
		w := suspects(t, 4, 1)
		for i := range 3 {
			vm := w.s.VM(rudderfork.VMID(fmt.Sprintf("vm%d", i+1)))
			k := w.submit("later", fmt.Sprintf("beside%d", i), 1, cpu(100))
			assert.Assert(t, w.s.Apply(queue.Command{Starts: []queue.Start{{Task: k, VM: vm.ID, Incarnation: vm.Incarnation}}}, 1).Numbers[0] > 0)
		}
		assert.Equal(t, w.run()["s0.0.0.0"], rudderfork.VMID("vm4"))
	})
	t.Run("others rather run elsewhere", func(t *testing.T) {
		w := suspects(t, 2, 1)
		on := w.run()["s0.0.0.0"]
		w.submit("urgent", "other", 1, cpu(3000))
		assert.Assert(t, w.run()["other.0.0.0"] != on)
	})
	t.Run("none waits for long", func(t *testing.T) {
		w := suspects(t, 4, 3)
		assert.Equal(t, len(w.run()), 1)
		w.view.Now += maxQuarantineWaitMS - 1
		assert.Equal(t, len(w.run()), 0)
		w.view.Now++
		assert.Equal(t, len(w.run()), 2)
	})
	t.Run("the explanation names it", func(t *testing.T) {
		w := suspects(t, 1, 2)
		w.run()
		k := queue.TaskKey{Job: "s1"}
		why := NewPlanner().Explain(w.s, w.view, w.s.Job("s1")).RejectReasons(k)
		assert.Equal(t, why["vm1"], "another suspect of a crash is in quarantine there")
	})
}
