package dispatch

import (
	"slices"

	"rudderfork.example/rudderfork/queue"
)

// The parts of a place's cost. One stands for a VM that is wholly taken; the
// rest are set against that and are first guesses that no run has chosen yet.
const (
	costFar    = 1.0 // the data is in another rack: half as long again
	costFailed = 8.0 // the task has failed there before
	costDoubt  = 4.0 // for each unit of doubt in the VM
	costOthers = 1.0 // beside serving tasks of other images only
	// costShadow is for a serving task that takes all of a VM's room from fillers.
	// (Worth of a day in the mean of 40 runs: 0.601 with it, 0.595 without; 0.575
	// without it and without moves of serving tasks.)
	costShadow = 6.0
	costEmpty  = 0.5 // a serving task on a VM that has none yet
	packing    = 1.3 // a serving task on a full VM: more than it costs others
)

// cost weighs a VM for a task; the least is chosen.
func (p *planner) cost(j *queue.Job, k queue.TaskKey, vm *queue.VM) float64 {
	st := j.Spec.Steps[k.Step]
	c := p.fullness(vm) + costDoubt*p.view.VMs[vm.ID].Doubt
	if st.DataRack != "" && vm.Rack != st.DataRack {
		c += costFar
	}
	if slices.Contains(p.view.Failed[k], vm.ID) {
		c += costFailed
	}
	switch {
	case st.Filler:
		c += p.fillerCost(st, vm)
	case st.TailMS > 0:
		c += p.servingCost(st, vm)
	}
	return c
}

// fullness is the larger of the shares of processors and memory that are taken.
func (p *planner) fullness(vm *queue.VM) float64 {
	held := vm.Used().Add(p.taken[vm.ID])
	return max(share(held.CPUMilli, vm.Capacity.CPUMilli), share(held.MemoryMB, vm.Capacity.MemoryMB))
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func (p *planner) stepOf(k queue.TaskKey) queue.Step {
	return p.state.Job(k.Job).Spec.Steps[k.Step]
}
