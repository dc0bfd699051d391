package queue

import (
	"cmp"
	"slices"

	"rudderfork.example/rudderfork"
)

// unresolvedLossMS is how long a run that ended with its VM's lease counts against its task if the
// VM does not register again, ms. It is many times what a crashed executor takes to start again.
const unresolvedLossMS = 30_000

// unresolvedLoss is a VM whose lease ran out while it is not known whether its executor crashed.
type unresolvedLoss struct {
	vm rudderfork.VMID
	at int64 // VM.LeaseExpiredAt
}

// recordLoss records the runs that ended with a VM's lease and counts an unresolved loss against
// their tasks.
func (s *State) recordLoss(vm *VM, list []RunAge, silent bool) {
	vm.UnresolvedRuns, vm.LeaseExpiredAt, vm.Resolved, vm.ExecutorSilent = list, s.clock.NowMS, false, silent
	s.losses = append(s.losses, unresolvedLoss{vm.ID, vm.LeaseExpiredAt})
	s.addUnresolved(vm, 1)
}

// resolveLoss removes a VM's unresolved loss from the counts of its tasks.
func (s *State) resolveLoss(vm *VM) {
	if !vm.Resolved {
		s.addUnresolved(vm, -1)
	}
	vm.Resolved = true
}

// resolveOldLosses resolves the losses of VMs that have not registered for unresolvedLossMS. If such
// a VM registers later with another incarnation, a crash is still counted against the tasks.
func (s *State) resolveOldLosses() {
	for len(s.losses) > 0 && s.clock.NowMS >= s.losses[0].at+unresolvedLossMS {
		c := s.losses[0]
		s.losses = s.losses[1:]
		if vm := s.vms[c.vm]; vm != nil && vm.LeaseExpiredAt == c.at {
			s.resolveLoss(vm)
		}
	}
}

// restoreLosses rebuilds the list of unresolved losses of a restored state and the counts of the
// tasks. The stored counts are not used because earlier releases never decremented them.
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

// addUnresolved adds delta, 1 or -1, to the unresolved losses of the tasks of vm.UnresolvedRuns.
// Runs that are at least provenRunMS old are skipped, since a crash clears their tasks.
func (s *State) addUnresolved(vm *VM, delta int) {
	for _, r := range vm.UnresolvedRuns {
		t := s.openTask(r.Task)
		if t == nil || r.AgeMS >= provenRunMS {
			continue
		}
		t.UnresolvedLosses = max(0, t.UnresolvedLosses+delta)
		if vm.ExecutorSilent {
			t.UnresolvedSilent = max(0, t.UnresolvedSilent+delta)
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
