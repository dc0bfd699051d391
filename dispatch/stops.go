package dispatch

import (
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

const (
	// stillMS is how long a run's progress may stand still before the run is
	// taken for stuck. A task of 4.3 s, the longest usual, on a VM eight times
	// too slow moves by a percent every 350 ms; this is four times that.
	stillMS = 1_500
	// startupMS is how long a lasting task may take until it is at work.
	startupMS = 4_000
	// heldMS is how long a filler must be held down before it is moved, and
	// moveSpeed what it must expect elsewhere: more than a move costs it, with
	// its restart and half a second of work. A step ends with its slowest task,
	// which was paced down for 2 to 4 s of 11. (0.3 s, with ten moves a plan, earned
	// the same in 40 runs.)
	heldMS    = 500
	restMS    = 2_000 // between two moves of a task
	moveSpeed = 0.8
	// maxMoves bounds the fillers moved in one plan, since each changes what the
	// next one can expect.
	maxMoves = 5
	// littleDone is the part of its work, in percent, up to which a filler that
	// keeps no checkpoint is moved too.
	littleDone = 15
)

// Stuck is the reason for stopping a run that gets nowhere.
const Stuck = "its progress stands still"

// Slow is the reason for moving a run whose VM is slow.
const Slow = "it would be done sooner elsewhere"

// HeldBack is the reason for moving a filler.
const HeldBack = "it is held back by the tasks beside it"

// stops plans the ends of a job's runs that should not go on.
func (p *planner) stops(j *queue.Job) {
	for time, o := range j.Times {
		for step := range o.Steps {
			for index := range o.Steps[step] {
				t := &o.Steps[step][index]
				for _, r := range t.Runs {
					k := queue.TaskKey{Job: j.ID, Time: time, Step: step, Index: index}
					if why := p.stopReason(j, k, t, r); why != "" {
						p.plan.Stops = append(p.plan.Stops, Stop{k, r.Number, r.VM, why})
					}
				}
			}
		}
	}
}

func (p *planner) stopReason(j *queue.Job, k queue.TaskKey, t *queue.Task, r queue.Run) string {
	st := j.Spec.Steps[k.Step]
	vm := p.view.VMs[r.VM]
	switch {
	case j.Status.Final():
		return "the job is " + string(j.Status)
	case t.Done:
		return "another run has done the task"
	case !vm.Usable:
		return ""
	case st.Lasting && vm.Draining:
		return "the VM is about to leave"
	case p.stuck(st, k, r):
		return Stuck
	case p.slow(j, k, r):
		return Slow
	case p.heldBack(j, k, r):
		p.moves++
		return HeldBack
	}
	return ""
}

// heldBack reports whether a filler is held down here and would work elsewhere.
func (p *planner) heldBack(j *queue.Job, k queue.TaskKey, r queue.Run) bool {
	run, ok := p.view.Runs[k.Run(r.Number)]
	if !ok || run.HeldAt == 0 || p.view.Now-run.HeldAt < heldMS || p.view.Now-r.StartedAt < restMS || p.moves >= maxMoves {
		return false
	}
	if !j.Spec.Steps[k.Step].Checkpoints && run.Percent > littleDone {
		return false
	}
	return p.betterPlace(j, k, r.VM)
}

// stuck reports whether a run gets nowhere. Fillers may be paced to a
// standstill, so nothing is concluded from theirs.
func (p *planner) stuck(st queue.Step, k queue.TaskKey, r queue.Run) bool {
	run, ok := p.view.Runs[k.Run(r.Number)]
	if !ok || st.Filler || st.Gang {
		return false
	}
	still := p.view.Now - run.MovedAt
	if st.Lasting {
		return run.Percent < 100 && still > startupMS
	}
	return still > stillMS
}

const (
	// slowAfterMS is how long a run is watched before it is called slow: with two
	// reports a second, two figures at least.
	slowAfterMS = 700
	// slowFactor is how many times as long as its siblings' a run's time must be
	// for the run to be moved; the tasks of a step differ by less than half.
	// copyFactor is the same for a second run beside the first, which costs less
	// if it was in vain.
	slowFactor = 2.5
	copyFactor = 1.8
	// leastSiblings is how many others of a step must be done or seen at work
	// elsewhere: the guesses of run times are too far off to tell a slow VM by (in
	// a trial they had 50 runs moved on a day, most of them on sound VMs).
	leastSiblings = 2
)

// slow reports whether a task is better begun again on another VM. It is moved
// once: if it is slow there too, the task is what is slow.
func (p *planner) slow(j *queue.Job, k queue.TaskKey, r queue.Run) bool {
	st := j.Spec.Steps[k.Step]
	if st.Lasting || st.Filler || st.Gang || st.Speculative || len(p.view.Failed[k]) > 0 {
		return false
	}
	return p.lags(j, k, r, slowFactor) && p.roomElsewhere(j, k, r.VM)
}

// lags reports whether what a run still needs is so many times what its siblings
// need for the whole.
func (p *planner) lags(j *queue.Job, k queue.TaskKey, r queue.Run, factor float64) bool {
	rate, ok := p.rate(k, r)
	if !ok {
		return false
	}
	usual, ok := p.siblingRate(j, k, r.VM)
	left := float64(100 - p.view.Runs[k.Run(r.Number)].Percent)
	return ok && left*usual > 100*factor*rate
}

// rate is the progress of a run, in percent a millisecond.
func (p *planner) rate(k queue.TaskKey, r queue.Run) (rate float64, ok bool) {
	run, seen := p.view.Runs[k.Run(r.Number)]
	watched := run.MovedAt - run.SeenAt
	if !seen || p.view.Now-run.SeenAt < slowAfterMS || watched <= 0 {
		return 0, false
	}
	return float64(run.Percent-run.From) / float64(watched), true
}

// siblingRate is the median rate of a step's other tasks, of those that are done
// and of those at work on other VMs; ok is false if there are too few.
func (p *planner) siblingRate(j *queue.Job, k queue.TaskKey, at rudderfork.VMID) (rate float64, ok bool) {
	var rates []float64
	tasks := j.Times[k.Time].Steps[k.Step]
	for i := range tasks {
		o := k
		o.Index = i
		if tasks[i].TookMS > 0 {
			rates = append(rates, 100/float64(tasks[i].TookMS))
			continue
		}
		for _, r := range tasks[i].Runs {
			if rate, ok := p.rate(o, r); ok && r.VM != at {
				rates = append(rates, rate)
			}
		}
	}
	if len(rates) < leastSiblings {
		return 0, false
	}
	slices.Sort(rates)
	return rates[len(rates)/2], true
}

// roomElsewhere reports whether another VM can take the task now.
func (p *planner) roomElsewhere(j *queue.Job, k queue.TaskKey, at rudderfork.VMID) bool {
	return slices.ContainsFunc(p.vms, func(vm *queue.VM) bool { return p.takesMoved(j, k, at, vm) })
}

// takesMoved reports whether a VM is another than the one a task is on, sound, and
// can take the task now.
func (p *planner) takesMoved(j *queue.Job, k queue.TaskKey, at rudderfork.VMID, vm *queue.VM) bool {
	return vm.ID != at && p.view.VMs[vm.ID].Doubt < doubtful && p.obstacle(j, k, vm) == ""
}

// doubtful is the doubt in a VM above which nothing is moved there: one failure.
const doubtful = 0.5
