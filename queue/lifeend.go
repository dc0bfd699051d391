package queue

// termination is what is known of how a life of a VM's executor ended.
type termination struct {
	planned  bool   // it left, or was told to go: nobody is to blame
	crash    *Crash // by the VM's agent, or nil
	replaced bool   // another life has begun: it was a crash
}

// endIncarnation ends all that runs on a VM, and says whom it blames.
func (s *State) endIncarnation(vm *VM, how termination, checkpoints map[TaskKey]string, at int64) Result {
	res := Result{Code: OK}
	var list []RunAge
	if !how.planned {
		list = s.activeRuns(vm, how.crash, at)
	}
	res.LostRuns = s.endAllRuns(vm, checkpoints, at)
	if how.replaced {
		res.Assessments = s.assess(vm, list, how, at)
		return res
	}
	s.recordLoss(vm, list, how.crash != nil)
	return res
}

// resolveReturned settles what was left open when a VM's lease ran out: with another life it
// was a crash after all, with the same one it was none.
func (s *State) resolveReturned(vm *VM, how termination, same bool, at int64) []Assessment {
	list := vm.UnresolvedRuns
	s.resolveLoss(vm)
	vm.UnresolvedRuns = nil
	if same || how.planned {
		return nil
	}
	if how.crash != nil {
		list = how.crash.filterBegun(list)
	}
	return s.assess(vm, list, how, at)
}

// assess lays a crash of a VM's executor to the runs that it ended, and gives up the poison
// tasks. A life that was to end has not crashed.
func (s *State) assess(vm *VM, list []RunAge, how termination, at int64) []Assessment {
	if how.planned {
		return nil
	}
	s.clearProven(list)
	ordinary := int64(1000)
	if how.crash != nil {
		ordinary = s.updateSuspicion(vm, list)
	}
	vm.Crashes.addCrash(ordinary, s.clock.NowMS)
	s.countCrash(list, how.crash != nil)
	return s.failPoisonTasks(list, at)
}

// activeRuns returns the runs that end with a life of a VM, those that nobody has told
// the age of with a cautious one.
func (s *State) activeRuns(vm *VM, seen *Crash, at int64) (list []RunAge) {
	for _, k := range sortedKeys(vm.runs) {
		r := RunAge{Task: k, Run: vm.runs[k]}
		if seen == nil {
			run, _ := s.jobs[k.Job].Task(k).Run(r.Run)
			r.AgeMS = max(0, at-run.StartedAt-unknownAgeMarginMS)
		} else {
			known, began := seen.find(k, r.Run)
			if !began {
				continue
			}
			r = known
		}
		list = append(list, r)
	}
	return list
}

// markLeaving notes that a life ends since its VM was told to go.
func (s *State) markLeaving(life string) {
	for _, vm := range s.vms {
		if life != "" && vm.Incarnation == life {
			vm.Leaving = true
		}
	}
}
