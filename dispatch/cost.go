package dispatch

import (
	"slices"

	"rudderfork.example/rudderfork/queue"
)

// Components of a VM's cost. On their scale, the utilization of a full VM costs 1.
const (
	costRemoteData   = 1.0 // the input data is in another rack, which makes the run half as long again
	costFailedBefore = 8.0 // the task has failed on this VM
	costFailureScore = 4.0 // per unit of the VM's failure score
	costOtherImages  = 1.0 // all serving tasks on the VM are of other images
	// costFillerLoss is the cost of a VM on which a serving task would take all of the VM's
	// processors from fillers; see fillerCapacityLoss. Without it serving tasks are placed
	// where they leave fillers less capacity.
	costFillerLoss = 6.0
	costNoServing  = 0.5 // for a serving task, no other serving task is on the VM
	// packingBonus is subtracted for a serving task on a full VM, and in part on others. It
	// exceeds the cost of utilization, so that serving tasks are packed on few VMs.
	packingBonus = 1.3
)

// cost returns the cost of a VM for the tasks of a class, without failedCost, which depends
// on the task.
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
		c += p.servingCost(cl, v) + v.slowCost()
	default:
		c += v.slowCost()
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
