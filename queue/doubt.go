package queue

import (
	"cmp"
	"slices"

	"rudderfork.example/rudderfork"
)

// unresolvedLossMS is how long a run that ended with its VM's lease is held against its task, ms:
// many times what an executor that has crashed takes to start again.
const unresolvedLossMS = 30_000

// unresolvedLoss is a VM whose lease ran out: whether its executor had crashed is open.
type unresolvedLoss struct {
	vm rudderfork.VMID
	at int64 // VM.DoubtfulAt
}

// recordLoss notes the runs that ended with a VM's lease, and doubts their tasks.
func (s *State) recordLoss(vm *VM, list []RunAge, silent bool) {
	vm.UnresolvedRuns, vm.LeaseExpiredAt, vm.Resolved, vm.ExecutorSilent = list, s.clock.NowMS, false, silent
	s.losses = append(s.losses, unresolvedLoss{vm.ID, vm.LeaseExpiredAt})
	s.addUnresolved(vm, 1)
}

// resolveLoss takes back the doubt in the tasks of a VM's open case.
func (s *State) resolveLoss(vm *VM) {
	if !vm.Resolved {
		s.addUnresolved(vm, -1)
	}
	vm.Resolved = true
}

// resolveOldLosses takes back the doubts of VMs that have not come back for long. What ran
// there is blamed all the same should the VM be back under another life.
func (s *State) resolveOldLosses() {
	for len(s.losses) > 0 && s.clock.NowMS >= s.losses[0].at+unresolvedLossMS {
		c := s.losses[0]
		s.losses = s.losses[1:]
		if vm := s.vms[c.vm]; vm != nil && vm.LeaseExpiredAt == c.at {
			s.resolveLoss(vm)
		}
	}
}

// restoreLosses finds the open cases of a state that was restored, and counts the doubts
// anew: those of an earlier release were never taken back.
func (s *State) restoreLosses() {
	for _, j := range s.jobs {
		j.clearUnresolved()
	}
	for _, vm := range s.vmsByID {
		if len(vm.UnresolvedRuns) > 0 && !vm.Resolved {
			s.losses = append(s.losses, unresolvedLoss{vm.ID, vm.LeaseExpiredAt})
			s.addUnresolved(vm, 1)
		}
	}
	slices.SortStableFunc(s.losses, func(a, b unresolvedLoss) int { return cmp.Compare(a.at, b.at) })
}

// addUnresolved counts the runs of a VM's open case: it is open whether their executor has crashed
// (step 1), or no longer (step -1). A run that had been at work for long would clear its
// task.
func (s *State) addUnresolved(vm *VM, step int) {
	for _, r := range vm.UnresolvedRuns {
		t := s.openTask(r.Task)
		if t == nil || r.AgeMS >= provenRunMS {
			continue
		}
		t.UnresolvedLosses = max(0, t.UnresolvedLosses+step)
		if vm.ExecutorSilent {
			t.UnresolvedSilent = max(0, t.UnresolvedSilent+step)
		}
	}
}

func (j *Job) clearUnresolved() {
	for _, o := range j.Occurrences {
		for _, tasks := range o.Steps {
			for i := range tasks {
				tasks[i].UnresolvedLosses, tasks[i].UnresolvedSilent = 0, 0
			}
		}
	}
}
