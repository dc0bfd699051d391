package dispatch

import (
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// vmState is a VM with the starts planned for it.
type vmState struct {
	vm          *queue.VM
	schedulable bool    // new tasks may start on it
	speed       float64 // see VMView.speed
	free        rudderfork.Resources
	utilization float64 // see maxShare
	colocation  colocation

	view VMView
	runs []vmRun

	changes, viewChanges uint64 // change counters of the VM and of its view when it was read
	rereadAt             int64  // when the measured headrooms first reflect a filler that is unmeasured now, Unix ms; 0 for never
	hasStarts            bool   // a plan has added starts since the VM was read
	starts               int    // number of starts added since the VM was read, with those rolled back

	suspects   []queue.RunKey // runs of suspects
	quarantine bool           // a suspect is planned to start on it, or runs on it and has not yet been seen running for quarantineMS
}

// vmRun is an active run on a VM.
type vmRun struct {
	key        queue.TaskKey
	step       *queue.Step
	run        RunView
	image      int  // number of the step's image
	unmeasured bool // the measured headrooms do not reflect the run yet; used of fillers only
}

// readVMs returns all VMs and their indexes by ID. It reads a VM again if it has changed or
// if the previous plan added starts to it.
func (pl *Planner) readVMs(p *pass) (vms []*vmState, index map[rudderfork.VMID]int) {
	list := p.state.VMs()
	vms = make([]*vmState, len(list))
	index = make(map[rudderfork.VMID]int, len(list))
	for i, vm := range list {
		v := pl.vms[vm.ID]
		view := p.view.VMs[vm.ID]
		if v == nil || v.isStale(vm, view, p.view.Now) {
			v = p.readVM(vm, view)
			pl.vms[vm.ID] = v
		}
		v.view, v.speed = view, view.speed()
		v.schedulable = vm.Live && view.Usable && !view.Draining && !view.CordonedForUpkeep && !p.state.Evacuating(vm.Domain)
		v.quarantine = false
		if v.hasUnprovenSuspect(p) {
			p.markQuarantined(v)
		}
		v.colocation.tolerance = nil // depends on demand and pressures, which differ from plan to plan
		v.colocation.updateSlack(p)
		vms[i], index[vm.ID] = v, i
	}
	return vms, index
}

// isStale reports whether the VM has to be read again at now, Unix ms.
func (v *vmState) isStale(vm *queue.VM, view VMView, now int64) bool {
	return v.hasStarts || v.vm != vm || v.changes != vm.Changes() ||
		view.Changes == 0 || v.viewChanges != view.Changes || v.rereadAt != 0 && now >= v.rereadAt
}

// readVM reads a VM without planned starts.
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
		if measuredAt := run.FirstSeenAt + headroomDelayMS; seen && t.unmeasured && st.Filler && (v.rereadAt == 0 || measuredAt < v.rereadAt) {
			v.rereadAt = measuredAt
		}
		v.runs = append(v.runs, t)
	}
	// Sums of floats depend on the order; a fixed one makes plans of one state equal.
	slices.SortFunc(v.runs, func(a, b vmRun) int { return a.key.Compare(b.key) })
	v.colocation = v.colocationWithout(queue.TaskKey{})
	return v
}

// colocationWithout returns the colocation of the VM's active runs except those of one task.
// Planned starts are left out. The caller must call updateSlack if it uses slacks.
func (v *vmState) colocationWithout(except queue.TaskKey) colocation {
	c := newColocation(v.vm.Capacity)
	for i := range v.runs {
		if t := &v.runs[i]; t.key != except {
			c.add(t.step, t.image, t.run, t.unmeasured)
		}
	}
	return c
}

// addStart adds a planned start.
func (v *vmState) addStart(p *pass, cl *taskClass) {
	v.hasStarts = true
	v.starts++
	v.free = v.free.Sub(cl.need)
	v.utilization = v.maxShare()
	v.colocation.add(cl.step, cl.image, RunView{}, true)
	v.colocation.updateSlack(p)
}

// maxShare returns the larger of the used shares of processors and memory.
func (v *vmState) maxShare() float64 {
	used := v.vm.Capacity.Sub(v.free)
	return max(share(used.CPUMilli, v.vm.Capacity.CPUMilli), share(used.MemoryMB, v.vm.Capacity.MemoryMB))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
