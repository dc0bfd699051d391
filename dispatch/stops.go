package dispatch

import (
	"cmp"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

const (
	// stallMS is how long a run may go without progress, ms, before it counts as stalled. A
	// task of 4.3 s, the longest usual one, advances by one percent every 350 ms on a VM
	// that runs it eight times slower than usual; stallMS is four times that.
	stallMS = 1_500
	// startupMS is how long a lasting task that is starting up may go without progress, ms,
	// and how long it must have run before it or another task of its step is relocated.
	startupMS = 4_000
	// minPacedDownMS and minRunMS are how long a filler must have been paced down, and
	// have run, before it is moved, ms.
	minPacedDownMS = 500
	minRunMS       = 1_000
	// moveCostMS is the time that a move adds to a filler's remaining time, ms: a stop, a
	// start and their reports. The remaining time without a move must be at least moveFactor
	// times that with it, which allows for errors in both estimates. Moving only fillers that
	// are paced down by 70 percent or more for 2 s leaves too many of them slow.
	moveCostMS = 500
	moveFactor = 1.3
	// minMovesPerPlan and vmsPerMove bound the moves of one plan: to one for every vmsPerMove
	// VMs, or to minMovesPerPlan if that is more.
	minMovesPerPlan = 5
	vmsPerMove      = 16
	// maxLostPercent is the progress up to which a filler without checkpoints is moved,
	// although its work is lost.
	maxLostPercent = 15
	fullPercent    = 100
)

// ReasonStalled is the reason for stopping a run without progress.
const ReasonStalled = "its progress stands still"

// ReasonSlow is the reason for moving a run whose VM is slow.
const ReasonSlow = "it would be done sooner elsewhere"

// ReasonPacedDown is the reason for moving a filler that is paced down.
const ReasonPacedDown = "it is held back by the tasks beside it"

// ReasonSlowVM is the reason for moving a run from a VM that is slow for all tasks. It does not count
// as a failure of the VM.
const ReasonSlowVM = "its VM is slow"

// planStops plans the stops of a job's runs.
func (p *pass) planStops(js *jobState) {
	for i := range js.runs {
		r := &js.runs[i]
		if why := p.stopReason(js, r); why != "" {
			p.plan.Stops = append(p.plan.Stops, Stop{r.key, r.run.Number, r.run.VM, why})
		}
	}
}

func (p *pass) stopReason(js *jobState, r *taskRun) string {
	st := &js.job.Spec.Steps[r.key.Step]
	vm := p.view.VMs[r.run.VM]
	switch {
	case js.job.Status.Final():
		return "the job is " + string(js.job.Status)
	case r.task.Done:
		return "another run has done the task"
	case !vm.Usable:
		return ""
	case st.Lasting && vm.Draining:
		return "the VM is about to leave"
	}
	run, seen := p.view.Runs[r.key.Run(r.run.Number)]
	switch {
	case !seen:
		return ""
	case p.isStalled(st, run):
		return ReasonStalled
	case p.isSlow(js, r, run):
		return ReasonSlow
	case p.shouldMove(js, r, run):
		p.fillerMoves++
		return ReasonPacedDown
	case vm.isSlow() && p.shouldLeaveSlowVM(js, r, run, vm.speed()):
		return ReasonSlowVM
	}
	return ""
}

// shouldMove reports whether a filler that is paced down would be done sooner on another
// VM that can take it, in spite of the cost of the move.
func (p *pass) shouldMove(js *jobState, r *taskRun, run RunView) bool {
	if run.PacedDownSince == 0 || p.view.Now-run.PacedDownSince < minPacedDownMS || p.view.Now-r.run.StartedAt < minRunMS || p.fillerMoves >= p.maxMoves() {
		return false
	}
	st := &js.job.Spec.Steps[r.key.Step]
	if st.Gang || !st.Checkpoints && run.Percent > maxLostPercent {
		return false // the end of one member ends its gang
	}
	left := js.workMS[r.key.Step] * float64(fullPercent-run.Percent) / fullPercent
	here := left / max(minSpeed, 1-float64(run.PacedDownPercent)/fullPercent)
	return gainsByMove(here, left/minStartSpeed) && p.hasBetterVM(p.classOf(js, r.key.StepKey()), r.key)
}

// gainsByMove reports whether a run that would end here after some ms would end sooner
// elsewhere, where it needs there ms.
func gainsByMove(here, there float64) bool { return here >= moveFactor*(moveCostMS+there) }

// maxMoves bounds the fillers moved in one plan, since each move changes the speeds that
// the next can expect.
func (p *pass) maxMoves() int { return max(minMovesPerPlan, len(p.vms)/vmsPerMove) }

// isStalled reports whether a run makes no progress. Fillers are excluded, since pacing may
// bring them to a standstill, and so are gangs. A lasting task is at 100 percent once it has
// started up, and makes no further progress.
func (p *pass) isStalled(st *queue.Step, run RunView) bool {
	if st.Filler || st.Gang {
		return false
	}
	stalledFor := p.view.Now - run.ProgressedAt
	if st.Lasting {
		return run.Percent < 100 && stalledFor > startupMS
	}
	return stalledFor > stallMS
}

const (
	// minWatchMS is how long a run is observed before it can be called slow, ms: with two
	// reports a second, it then has at least two values. It is also how long a run may go
	// without progress before a speculative copy is started.
	minWatchMS = 700
	// The siblings of a task are the other tasks of its step. slowFactor is the ratio of
	// the remaining time of a run to the time of a sibling's whole run above which the run
	// is moved; the run times of siblings differ by less than half. copyFactor is the ratio
	// for a speculative copy, which costs less than a move if it was not needed.
	slowFactor = 2.5
	copyFactor = 1.8
	// minSiblings is how many siblings must be done or running on other VMs for a
	// comparison. Submitters' estimates are too inaccurate to detect a slow VM: most runs
	// that they would move are on healthy VMs.
	minSiblings = 2
)

// isSlow reports whether a run is so slow that its task should be restarted on another VM. A
// task that is slow is moved only once: if it is slow on the next VM too, the cause is not
// the VM.
func (p *pass) isSlow(js *jobState, r *taskRun, run RunView) bool {
	st := &js.job.Spec.Steps[r.key.Step]
	if st.Lasting || st.Filler || st.Gang || st.Speculative || len(p.view.FailedOn[r.key]) > 0 {
		return false
	}
	return p.lagsSiblings(js, r, run, slowFactor) && p.fitsElsewhere(p.classOf(js, r.key.StepKey()), r.key)
}

// lagsSiblings reports whether the rest of a run is expected to take more than factor times
// as long as a whole run of its siblings.
func (p *pass) lagsSiblings(js *jobState, r *taskRun, run RunView, factor float64) bool {
	rate, ok := p.rate(run)
	if !ok {
		return false
	}
	usual, ok := p.medianSiblingRate(js, r)
	left := float64(100 - run.Percent)
	return ok && left*usual > 100*factor*rate
}

// rate returns the progress of a run, in percent per ms.
func (p *pass) rate(run RunView) (rate float64, ok bool) {
	watched := run.ProgressedAt - run.FirstSeenAt
	if p.view.Now-run.FirstSeenAt < minWatchMS || watched <= 0 {
		return 0, false
	}
	return float64(run.Percent-run.FirstPercent) / float64(watched), true
}

// siblingRate is how fast a task of a step has progressed that is done or running.
type siblingRate struct {
	rate float64         // percent per ms
	vm   rudderfork.VMID // of its run; "" if the task is done
}

// medianSiblingRate returns the median rate of the step's tasks that are done or run on
// other VMs; ok is false if there are too few.
func (p *pass) medianSiblingRate(js *jobState, r *taskRun) (rate float64, ok bool) {
	list := p.stepRates(js, r.key.StepKey())
	others := 0
	for _, s := range list {
		if s.vm != r.run.VM {
			others++
		}
	}
	if others < minSiblings {
		return 0, false
	}
	left := others / 2
	for _, s := range list {
		if s.vm == r.run.VM {
			continue
		}
		if left == 0 {
			return s.rate, true
		}
		left--
	}
	return 0, false
}

// stepRates returns the rates of a step's tasks in ascending order.
func (p *pass) stepRates(js *jobState, key queue.StepKey) []siblingRate {
	if list, known := p.rates[key]; known {
		return list
	}
	list := []siblingRate{}
	tasks := js.job.Occurrences[key.Occurrence].Steps[key.Step]
	for i := range tasks {
		if tasks[i].TookMS > 0 {
			list = append(list, siblingRate{rate: 100 / float64(tasks[i].TookMS)})
			continue
		}
		k := queue.TaskKey{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step, Index: i}
		for _, r := range tasks[i].Runs {
			run, seen := p.view.Runs[k.Run(r.Number)]
			if rate, ok := p.rate(run); seen && ok {
				list = append(list, siblingRate{rate, r.VM})
			}
		}
	}
	slices.SortFunc(list, func(a, b siblingRate) int { return cmp.Compare(a.rate, b.rate) })
	p.rates[key] = list
	return list
}

// fitsElsewhere reports whether another VM can take the task now.
func (p *pass) fitsElsewhere(cl *taskClass, k queue.TaskKey) bool {
	return slices.ContainsFunc(p.vms, func(v *vmState) bool { return p.canMoveTo(cl, k, v) })
}

// canMoveTo reports whether a VM is healthy and not slow, runs no run of the task and can take it now.
func (p *pass) canMoveTo(cl *taskClass, k queue.TaskKey, v *vmState) bool {
	return v.view.FailureScore < riskyFailureScore && !v.view.isSlow() && p.isFeasible(cl, v) && !cl.runsOn(k, v)
}

// riskyFailureScore is the failure score right after one failure. Nothing is moved to a VM
// with this score or more.
const riskyFailureScore = 0.5
