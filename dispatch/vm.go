package dispatch

import (
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// vmState is a VM as a plan sees it: as it is, and with the plan's own starts.
type vmState struct {
	vm          *queue.VM
	view        VMView
	schedulable bool // may be given work at all
	runs        []vmRun

	free        rudderfork.Resources
	utilization float64 // fullness
	colocation  colocation

	changes, viewChanges uint64 // of the VM and of what is known of its runs, when it was read
	rereadAt             int64  // when a filler there is fresh no more, Unix ms; 0 for never
	hasStarts            bool   // starts of a plan were added
	starts               int    // how many

	suspects   []queue.RunKey // of its runs
	quarantine bool           // one of these has not been seen at work for long
}

// vmRun is an active run on a VM.
type vmRun struct {
	key  queue.TaskKey
	step *queue.Step
	run  RunView
	// image is the number of the step's image.
	image      int
	unmeasured bool // a filler that the headrooms do not show yet
}

// readVMs returns the VMs, those anew that have changed or that the plan before
// has added starts to.
func (pl *Planner) readVMs(p *pass) (vms []*vmState, at map[rudderfork.VMID]int) {
	list := p.state.VMs()
	vms = make([]*vmState, len(list))
	at = make(map[rudderfork.VMID]int, len(list))
	for i, vm := range list {
		v := pl.vms[vm.ID]
		view := p.view.VMs[vm.ID]
		if v == nil || v.isStale(vm, view, p.view.Now) {
			v = p.readVM(vm, view)
			pl.vms[vm.ID] = v
		}
		v.view = view
		v.schedulable = vm.Live && view.Usable && !view.Draining && !view.Cordoned && !p.state.Evacuating(vm.Domain)
		v.quarantine = false
		if v.hasUnprovenSuspect(p) {
			p.markQuarantined(v)
		}
		v.colocation.tolerance = nil // what is wanted and what presses change from plan to plan
		v.colocation.updateSlack(p)
		vms[i], at[vm.ID] = v, i
	}
	return vms, at
}

// outdated reports whether the VM has to be read again.
func (v *vmState) isStale(vm *queue.VM, view VMView, now int64) bool {
	return v.hasStarts || v.vm != vm || v.changes != vm.Changes() ||
		view.Changes == 0 || v.viewChanges != view.Changes || v.rereadAt != 0 && now >= v.rereadAt
}

// read reads a VM, without starts of a plan.
func (p *pass) readVM(vm *queue.VM, view VMView) *vmState {
	v := &vmState{vm: vm, changes: vm.Changes(), viewChanges: view.Changes, free: vm.Capacity.Sub(vm.Used())}
	v.utilization = v.maxShare()
	v.runs = make([]vmRun, 0, len(vm.Runs()))
	for k, number := range vm.Runs() {
		run, seen := p.view.Runs[k.Run(number)]
		j := p.state.Job(k.Job)
		st := &j.Spec.Steps[k.Step]
		if j.Task(k).Suspect() {
			v.suspects = append(v.suspects, k.Run(number))
		}
		t := vmRun{key: k, step: st, run: run, image: p.images.number(st.Image)}
		t.unmeasured = !seen || p.view.Now-run.FirstSeenAt < headroomDelayMS
		if ages := run.FirstSeenAt + headroomDelayMS; seen && t.unmeasured && st.Filler && (v.rereadAt == 0 || ages < v.rereadAt) {
			v.rereadAt = ages
		}
		v.runs = append(v.runs, t)
	}
	// In one order, since sums of fractions depend on it: plans of one state are alike.
	slices.SortFunc(v.runs, func(a, b vmRun) int { return a.key.Compare(b.key) })
	v.colocation = v.colocationWithout(queue.TaskKey{})
	return v
}

// colocationWithout returns what shares the VM's processors but for one task, without the
// starts of a plan.
func (v *vmState) colocationWithout(but queue.TaskKey) colocation {
	c := newColocation(v.vm.Capacity)
	for i := range v.runs {
		if t := &v.runs[i]; t.key != but {
			c.add(t.step, t.image, t.run, t.unmeasured)
		}
	}
	return c
}

// add notes a start of the plan.
func (v *vmState) addStart(p *pass, cl *taskClass) {
	v.hasStarts = true
	v.starts++
	v.free = v.free.Sub(cl.need)
	v.utilization = v.maxShare()
	v.colocation.add(cl.step, cl.image, RunView{}, true)
	v.colocation.updateSlack(p)
}

// fullness is the larger of the shares of processors and memory that are taken.
func (v *vmState) maxShare() float64 {
	held := v.vm.Capacity.Sub(v.free)
	return max(share(held.CPUMilli, v.vm.Capacity.CPUMilli), share(held.MemoryMB, v.vm.Capacity.MemoryMB))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
