package queue

// ending is what is known of how a life of a VM's executor ended.
type ending struct {
	planned bool   // it left, or was told to go: nobody is to blame
	seen    *Crash // by the VM's agent, or nil
	over    bool   // another life has begun: it was a crash
}

// endLife ends all that runs on a VM, and says whom it blames.
func (s *State) endLife(vm *VM, how ending, checkpoints map[TaskKey]string, at int64) Result {
	res := Result{Code: OK}
	var list []RunAge
	if !how.planned {
		list = s.atWorkOf(vm, how.seen, at)
	}
	res.LostRuns = s.endAll(vm, checkpoints, at)
	if how.over {
		res.Assessments = s.assess(vm, list, how, at)
		return res
	}
	s.noteCase(vm, list, how.seen != nil)
	return res
}

// returned settles what was left open when a VM's lease ran out: with another life it
// was a crash after all, with the same one it was none.
func (s *State) returned(vm *VM, how ending, same bool, at int64) []Assessment {
	list := vm.UnresolvedRuns
	s.settleCase(vm)
	vm.UnresolvedRuns = nil
	if same || how.planned {
		return nil
	}
	if how.seen != nil {
		list = how.seen.among(list)
	}
	return s.assess(vm, list, how, at)
}

// assess lays a crash of a VM's executor to the runs that it ended, and gives up the poison
// tasks. A life that was to end has not crashed.
func (s *State) assess(vm *VM, list []RunAge, how ending, at int64) []Assessment {
	if how.planned {
		return nil
	}
	s.clearProven(list)
	ordinary := int64(1000)
	if how.seen != nil {
		ordinary = s.blame(vm, list)
	}
	vm.Crashes.note(ordinary, s.clock.NowMS)
	s.countCrash(list, how.seen != nil)
	return s.giveUp(list, at)
}

// atWorkOf returns the runs that end with a life of a VM, those that nobody has told
// the age of with a cautious one.
func (s *State) atWorkOf(vm *VM, seen *Crash, at int64) (list []RunAge) {
	for _, k := range sortedKeys(vm.runs) {
		r := RunAge{Task: k, Run: vm.runs[k]}
		if seen == nil {
			run, _ := s.jobs[k.Job].Task(k).Run(r.Run)
			r.AgeMS = max(0, at-run.StartedAt-unheardMS)
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

// endPlanned notes that a life ends since its VM was told to go.
func (s *State) endPlanned(life string) {
	for _, vm := range s.vms {
		if life != "" && vm.Incarnation == life {
			vm.Leaving = true
		}
	}
}
