package queue

import (
	"cmp"
	"slices"

	"rudderfork.example/rudderfork"
)

// doubtMS is how long a run that ended with its VM's lease is held against its task, ms:
// many times what an executor that has crashed takes to start again.
const doubtMS = 30_000

// openCase is a VM whose lease ran out: whether its executor had crashed is open.
type openCase struct {
	vm rudderfork.VMID
	at int64 // VM.DoubtfulAt
}

// noteCase notes the runs that ended with a VM's lease, and doubts their tasks.
func (s *State) noteCase(vm *VM, list []RunAge, silent bool) {
	vm.UnresolvedRuns, vm.LeaseExpiredAt, vm.Resolved, vm.ExecutorSilent = list, s.clock.NowMS, false, silent
	s.cases = append(s.cases, openCase{vm.ID, vm.LeaseExpiredAt})
	s.doubt(vm, 1)
}

// settleCase takes back the doubt in the tasks of a VM's open case.
func (s *State) settleCase(vm *VM) {
	if !vm.Resolved {
		s.doubt(vm, -1)
	}
	vm.Resolved = true
}

// settleCases takes back the doubts of VMs that have not come back for long. What ran
// there is blamed all the same should the VM be back under another life.
func (s *State) settleCases() {
	for len(s.cases) > 0 && s.clock.NowMS >= s.cases[0].at+doubtMS {
		c := s.cases[0]
		s.cases = s.cases[1:]
		if vm := s.vms[c.vm]; vm != nil && vm.LeaseExpiredAt == c.at {
			s.settleCase(vm)
		}
	}
}

// restoreCases finds the open cases of a state that was restored, and counts the doubts
// anew: those of an earlier release were never taken back.
func (s *State) restoreCases() {
	for _, j := range s.jobs {
		j.clearDoubts()
	}
	for _, vm := range s.order {
		if len(vm.UnresolvedRuns) > 0 && !vm.Resolved {
			s.cases = append(s.cases, openCase{vm.ID, vm.LeaseExpiredAt})
			s.doubt(vm, 1)
		}
	}
	slices.SortStableFunc(s.cases, func(a, b openCase) int { return cmp.Compare(a.at, b.at) })
}

// doubt counts the runs of a VM's open case: it is open whether their executor has crashed
// (step 1), or no longer (step -1). A run that had been at work for long would clear its
// task.
func (s *State) doubt(vm *VM, step int) {
	for _, r := range vm.UnresolvedRuns {
		t := s.openTask(r.Task)
		if t == nil || r.AgeMS >= provenMS {
			continue
		}
		t.UnresolvedLosses = max(0, t.UnresolvedLosses+step)
		if vm.ExecutorSilent {
			t.UnresolvedSilent = max(0, t.UnresolvedSilent+step)
		}
	}
}

func (j *Job) clearDoubts() {
	for _, o := range j.Occurrences {
		for _, tasks := range o.Steps {
			for i := range tasks {
				tasks[i].UnresolvedLosses, tasks[i].UnresolvedSilent = 0, 0
			}
		}
	}
}
