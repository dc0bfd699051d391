package dispatch

import (
	"slices"

	"rudderfork.example/rudderfork/queue"
)

// The parts of a place's cost. One stands for a VM that is wholly taken; the
// rest are set against that and are first guesses that no run has chosen yet.
const (
	costRemoteData   = 1.0 // the data is in another rack: half as long again
	costFailedBefore = 8.0 // the task has failed there before
	costFailureScore = 4.0 // for each unit of doubt in the VM
	costOtherImages  = 1.0 // beside serving tasks of other images only
	// costShadow is for a serving task that takes all of a VM's room from fillers.
	// (Worth of a day in the mean of 40 runs: 0.601 with it, 0.595 without; 0.575
	// without it and without moves of serving tasks.)
	costFillerLoss = 6.0
	costNoServing  = 0.5 // a serving task on a VM that has none yet
	packingBonus   = 1.3 // a serving task on a full VM: more than it costs others
)

// cost weighs a VM for the tasks of a class; the least is chosen, with failedCost for
// the task.
func (p *pass) cost(cl *taskClass, v *vmState) float64 {
	st := cl.step
	c := v.utilization + costFailureScore*v.view.FailureScore
	if st.DataRack != "" && v.vm.Rack != st.DataRack {
		c += costRemoteData
	}
	if v.quarantine {
		c += costQuarantine
	}
	switch {
	case st.Filler:
		c += p.fillerCost(cl, v)
	case st.TailMS > 0:
		c += p.servingCost(cl, v)
	}
	return c
}

// failedCost is what a VM costs a task more if it has failed there.
func (p *pass) failedCost(k queue.TaskKey, v *vmState) float64 {
	if slices.Contains(p.view.FailedOn[k], v.vm.ID) {
		return costFailedBefore
	}
	return 0
}
