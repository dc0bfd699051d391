package dispatch

import (
	"slices"

	"rudderfork.example/rudderfork/queue"
)

// Components of a VM's cost, on a scale on which 1 is a fully used VM.
const (
	costRemoteData   = 1.0 // the data is in another rack, which adds half to the run time
	costFailedBefore = 8.0 // the task has failed on this VM
	costFailureScore = 4.0 // per unit of the VM's failure score
	costOtherImages  = 1.0 // all serving tasks on the VM are of other images
	// costFillerLoss is for a serving task that takes a whole VM's capacity from fillers.
	// Without it serving tasks are placed where they leave fillers less capacity.
	costFillerLoss = 6.0
	costNoServing  = 0.5 // a serving task on a VM without any
	packingBonus   = 1.3 // for a serving task on a full VM; exceeds the cost of utilization, so that they pack
)

// cost returns the cost of a VM for the tasks of a class, without failedCost.
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

// failedCost returns the additional cost of a VM on which the task has failed.
func (p *pass) failedCost(k queue.TaskKey, v *vmState) float64 {
	if slices.Contains(p.view.FailedOn[k], v.vm.ID) {
		return costFailedBefore
	}
	return 0
}
