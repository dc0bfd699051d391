package queue

// termination is what is known of the end of an incarnation of a VM's executor.
type termination struct {
	planned  bool   // the executor announced its shutdown or upkeep ended it, so no task is blamed
	crash    *Crash // the report of the VM's agent, or nil
	replaced bool   // another incarnation has registered, so the executor crashed unless planned is set
}

// endIncarnation ends all runs on a VM. If the incarnation was replaced it updates the suspicion
// against their tasks; otherwise it records an unresolved loss.
func (s *State) endIncarnation(vm *VM, term termination, checkpoints map[TaskKey]string, at int64) Result {
	res := Result{Code: OK}
	var list []RunAge
	if !term.planned {
		list = s.activeRuns(vm, term.crash, at)
	}
	res.LostRuns = s.endAllRuns(vm, checkpoints, at)
	if term.replaced {
		res.Assessments = s.assess(vm, list, term, at)
		return res
	}
	s.recordLoss(vm, list, term.crash != nil)
	return res
}

// resolveReturned resolves the loss of a VM that registers again. If the incarnation is the same
// one, the executor had not crashed; if it is another one, it had, unless its end was planned.
func (s *State) resolveReturned(vm *VM, term termination, same bool, at int64) []Assessment {
	list := vm.UnresolvedRuns
	s.resolveLoss(vm)
	vm.UnresolvedRuns = nil
	if same || term.planned {
		return nil
	}
	if term.crash != nil {
		list = term.crash.filterBegun(list)
	}
	return s.assess(vm, list, term, at)
}

// assess counts a crash of a VM's executor against the tasks of the runs that it ended, and fails
// the jobs of poison tasks. A planned end is no crash.
func (s *State) assess(vm *VM, list []RunAge, term termination, at int64) []Assessment {
	if term.planned {
		return nil
	}
	s.clearProven(list)
	spontaneous := int64(1000)
	if term.crash != nil {
		spontaneous = s.updateSuspicion(vm, list)
	}
	vm.Crashes.addCrash(spontaneous, s.clock.NowMS)
	s.countCrash(list, term.crash != nil)
	return s.failPoisonTasks(list, at)
}

// activeRuns returns the active runs of a VM that may have begun, with their ages. Without a report
// of the agent it returns all active runs, and the ages are lower bounds.
func (s *State) activeRuns(vm *VM, crash *Crash, at int64) (list []RunAge) {
	for _, k := range sortedKeys(vm.runs) {
		r := RunAge{Task: k, Run: vm.runs[k]}
		if crash == nil {
			run, _ := s.jobs[k.Job].Task(k).Run(r.Run)
			r.AgeMS = max(0, at-run.StartedAt-unknownAgeMarginMS)
		} else {
			known, began := crash.find(k, r.Run)
			if !began {
				continue
			}
			r = known
		}
		list = append(list, r)
	}
	return list
}

// markLeaving marks the VM of an incarnation that ends because the VM's upkeep has begun. If inc is
// empty it marks none.
func (s *State) markLeaving(inc string) {
	for _, vm := range s.vms {
		if inc != "" && vm.Incarnation == inc {
			vm.Leaving = true
		}
	}
}
