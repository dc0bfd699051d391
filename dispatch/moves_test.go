package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// newPacedDownFillers returns a fixture with a filler of 3 s on each of some VMs, paced
// down because of a serving task there, and as many empty VMs.
func newPacedDownFillers(t *testing.T, vms int, run RunView) *fixture {
	w := newFixture(t, 2*vms)
	w.pressures[[2]string{"audio", "loud"}] = 30
	for i := range vms {
		vm := rudderfork.VMID(fmt.Sprintf("vm%d", i+1))
		w.serve(fmt.Sprint("s", i), "audio", vm)
		st := fillerStep("loud", 500)
		st.ExpectedMS, st.Checkpoints = 3_000, true
		k := w.submit("later", fmt.Sprint("f", i), 1, st)
		numbers := w.s.Apply(queue.Command{Starts: []queue.Start{{Task: k, VM: vm, Incarnation: "life"}}}, w.view.Now).Numbers
		assert.Equal(t, numbers[0], uint32(1))
		run.FirstSeenAt, run.PacedDownSince = w.view.Now, w.view.Now
		w.view.Runs[k.Run(1)] = run
	}
	return w
}

// countMoves counts the fillers that a plan moves.
func countMoves(w *fixture) (n int) {
	for _, why := range stops(w) {
		if why == ReasonPacedDown {
			n++
		}
	}
	return n
}

// TestFillerMoves checks which fillers are moved to VMs on which they would be faster.
func TestFillerMoves(t *testing.T) {
	for _, c := range []struct {
		name  string
		run   RunView
		after int64 // ms since its start
		moved int
	}{
		{"paced down by half with most of its work left", RunView{Percent: 10, PacedDownPercent: 50}, minRunMS, 1},
		{"not before minRunMS", RunView{Percent: 10, PacedDownPercent: 50}, minRunMS - 1, 0},
		{"paced down by too little to gain", RunView{Percent: 10, PacedDownPercent: 20}, minRunMS, 0},
		{"paced down by half with little work left", RunView{Percent: 85, PacedDownPercent: 50}, minRunMS, 0},
		{"at a standstill with little work left", RunView{Percent: 85, PacedDownPercent: 100}, minRunMS, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newPacedDownFillers(t, 1, c.run)
			w.view.Now += c.after
			assert.Equal(t, countMoves(w), c.moved)
		})
	}
	t.Run("no member of a gang, since its end ends the others", func(t *testing.T) {
		w := newPacedDownFillers(t, 1, RunView{Percent: 10, PacedDownPercent: 100})
		w.s.Job("f0").Spec.Steps[0].Gang = true
		w.view.Now += minRunMS
		assert.Equal(t, countMoves(w), 0)
	})
	t.Run("not without a better VM", func(t *testing.T) {
		w := newPacedDownFillers(t, 1, RunView{Percent: 10, PacedDownPercent: 100})
		w.view.VMs["vm2"] = VMView{}
		w.view.Now += minRunMS
		assert.Equal(t, countMoves(w), 0)
	})
	t.Run("as many at once as the size of the fleet allows", func(t *testing.T) {
		const vms = 80
		w := newPacedDownFillers(t, vms, RunView{Percent: 10, PacedDownPercent: 100})
		w.view.Now += minRunMS
		assert.Equal(t, countMoves(w), 2*vms/vmsPerMove)
	})
}
