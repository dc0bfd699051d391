package dispatch

import (
	"fmt"
	"testing"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/backlog"
	"rudderfork.example/rudderfork/fairshare"
	"rudderfork.example/rudderfork/queue"
)

// newLoadedFleet returns a fleet full of serving tasks and fillers, with 26 waiting tasks
// for each VM, 16 images of serving tasks and 30 of fillers.
func newLoadedFleet(vms int) *fixture {
	const (
		width         = 10 // tasks of a job of fillers
		each          = 6  // tasks of a job of serving tasks
		servingImages = 16
		fillerImages  = 30
	)
	jobs, lasting := vms*26/width, vms*4/5
	w := newFixture(&testing.T{}, 0)
	for i := range vms {
		id := rudderfork.VMID(fmt.Sprintf("vm%04d", i))
		w.s.Apply(queue.Command{Register: &queue.VM{
			ID: id, Incarnation: "life", Service: "desk", Rack: fmt.Sprintf("rack%d", i/3),
			Capacity: rudderfork.Resources{CPUMilli: 16_000, MemoryMB: 64_000}, Labels: []string{"a"},
		}}, 1)
		w.view.VMs[id] = VMView{Usable: true, Changes: 1}
	}
	for s := range servingImages {
		for f := range fillerImages {
			w.pressures[[2]string{fmt.Sprintf("s%d", s), fmt.Sprintf("f%d", f)}] = float64((s*7+f*3)%10) / 2
		}
	}
	for i := range lasting {
		st := servingStep(fmt.Sprintf("s%d", i%servingImages), 2500)
		st.Count, st.Size.MemoryMB = each, 6000
		w.submit("urgent", fmt.Sprintf("srv%05d", i), 1, st)
	}
	submitFillers := func(name string, at int64) {
		for i := range jobs {
			w.origin = fmt.Sprintf("domain%d", i%4)
			st := fillerStep(fmt.Sprintf("f%d", i%fillerImages), 1800)
			st.Count, st.Size.MemoryMB, st.ExpectedMS = width, 3000, 2200
			w.submit("later", fmt.Sprintf("%s%05d", name, i), at, st)
		}
	}
	submitFillers("fil", 2)
	w.startPlanned()
	for _, vm := range w.s.VMs() {
		for k, n := range vm.Runs() {
			w.view.Runs[k.Run(n)] = RunView{Percent: 100, Load: 9}
		}
		w.view.VMs[vm.ID] = VMView{Usable: true, Changes: 2}
	}
	submitFillers("new", 3)
	w.view.Now = 10_000

	return w
}

// BenchmarkPlan measures a planner's first plan, a plan after one VM changed, a plan
// that searches for a relocation, and one with a summary of the backlog.
func BenchmarkPlan(b *testing.B) {
	for _, vms := range []int{76, 240, 1_000, 3_900} {
		w := newLoadedFleet(vms)
		b.Run(fmt.Sprintf("first/%d", vms), func(b *testing.B) {
			for b.Loop() {
				PlanOnce(w.s, w.view)
			}
		})
		for len(w.startPlanned()) > 0 {
		}
		pl := NewPlanner()
		pl.Plan(w.s, w.view)
		b.Run(fmt.Sprintf("after a change of one VM/%d", vms), func(b *testing.B) {
			id := w.s.VMs()[vms/2].ID
			for b.Loop() {
				view := w.view.VMs[id]
				view.Changes++
				w.view.VMs[id] = view
				pl.Plan(w.s, w.view)
			}
		})
		w.view.Shares = fairshare.Standings{{Queue: "later", Origin: "domain1"}: fairshare.Ahead}
		pl.Plan(w.s, w.view)
		b.Run(fmt.Sprintf("with shares/%d", vms), func(b *testing.B) {
			for b.Loop() {
				pl.Plan(w.s, w.view)
			}
		})
		w.view.Shares = nil
		pl.Plan(w.s, w.view)
		b.Run(fmt.Sprintf("with a search for a relocation/%d", vms), func(b *testing.B) {
			w.view.Relocate = true
			for b.Loop() {
				pl.Plan(w.s, w.view)
			}
			w.view.Relocate = false
		})
		b.Run(fmt.Sprintf("with a summary of the backlog/%d", vms), func(b *testing.B) {
			w.view.SummarizeBacklog = true
			for b.Loop() {
				pl.Plan(w.s, w.view)
			}
			w.view.SummarizeBacklog = false
		})
	}
}

// BenchmarkSubmission measures the decision whether to refuse a submission, with 10,000 waiting jobs on
// 3,900 VMs.
func BenchmarkSubmission(b *testing.B) {
	w := newLoadedFleet(3_900)
	for len(w.startPlanned()) > 0 {
	}
	w.view.SummarizeBacklog = true
	c := backlog.New()
	c.SetSummary(PlanOnce(w.s, w.view).Backlog)
	q, _ := w.s.Document().Queue("later")
	spec := queue.Spec{Steps: []queue.Step{fillerStep("f1", 1_800), fillerStep("f1", 1_800)}}
	for b.Loop() {
		c.Decide(NewcomerOf(q, "new", spec, nil), w.view.Now)
	}
}
