package dispatch

import (
	"fmt"
	"testing"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// largeWorld is a fleet of 76 VMs that is full of serving tasks and fillers, with
// 2,000 tasks that wait.
func largeWorld() *world {
	const (
		vms           = 76
		jobs, width   = 200, 10 // of fillers that run, and as many that wait
		lasting, each = 60, 6   // jobs of serving tasks
		servingImages = 5
		fillerImages  = 9
	)
	w := newWorld(&testing.T{}, 0)
	for i := range vms {
		id := rudderfork.VMID(fmt.Sprintf("vm%03d", i))
		w.s.Apply(queue.Command{Register: &queue.VM{
			ID: id, Life: "life", Service: "desk", Rack: fmt.Sprintf("rack%d", i/3),
			Capacity: rudderfork.Resources{CPUMilli: 16_000, MemoryMB: 64_000}, Labels: []string{"a"},
		}}, 1)
		w.view.VMs[id] = VMView{Usable: true}
	}
	for s := range servingImages {
		for f := range fillerImages {
			w.pair[[2]string{fmt.Sprintf("s%d", s), fmt.Sprintf("f%d", f)}] = float64((s*7+f*3)%10) / 2
		}
	}
	for i := range lasting {
		st := servingStep(fmt.Sprintf("s%d", i%servingImages), 2500)
		st.Count, st.Size.MemoryMB = each, 6000
		w.submit("urgent", fmt.Sprintf("srv%03d", i), 1, st)
	}
	for i := range jobs {
		st := fillerStep(fmt.Sprintf("f%d", i%fillerImages), 1800)
		st.Count, st.Size.MemoryMB, st.ExpectedMS = width, 3000, 2200
		w.submit("later", fmt.Sprintf("fil%03d", i), 2, st)
	}
	w.run()
	for _, vm := range w.s.VMs() {
		for k, n := range vm.Runs() {
			w.view.Runs[k.Run(n)] = RunView{Percent: 100, Load: 9}
		}
	}
	for i := range jobs {
		st := fillerStep(fmt.Sprintf("f%d", i%fillerImages), 1800)
		st.Count, st.Size.MemoryMB, st.ExpectedMS = width, 3000, 2200
		w.submit("later", fmt.Sprintf("new%03d", i), 3, st)
	}
	w.view.Now = 10_000

	return w
}

// BenchmarkMake makes one plan for a large fleet under load: 27 ms before serving
// tasks of an image were weighed together and pressures asked for once, 17 ms after.
func BenchmarkMake(b *testing.B) {
	w := largeWorld()
	b.Run("between moves", func(b *testing.B) {
		for b.Loop() {
			Make(w.s, w.view)
		}
	})
	b.Run("with a move to find", func(b *testing.B) {
		w.view.Regroup = true

		for b.Loop() {
			Make(w.s, w.view)
		}
	})
}
