package dispatch

import (
	"cmp"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

const (
	// stallMS is how long a run may go without progress before it is considered stalled. A
	// task of 4.3 s, the longest usual one, advances by a percent every 350 ms on a VM eight
	// times too slow; this is four times that.
	stallMS = 1_500
	// startupMS is how long a lasting task may take to start up.
	startupMS = 4_000
	// minPacedDownMS and minRunMS are how long a filler must have been paced down, and
	// have run, before it is moved.
	minPacedDownMS = 500
	minRunMS       = 1_000
	// moveCostMS is the delay a move adds to a filler's work: a stop, a start and their
	// reports. moveFactor is by how many times the remaining time must be shorter
	// elsewhere; it allows for errors in both estimates. Moving only fillers that are
	// paced down by 70 percent or more for 2 s leaves too many of them slow.
	moveCostMS = 500
	moveFactor = 1.3
	// minMovesPerPlan and vmsPerMove bound the moves of one plan to a few for each
	// hundred VMs.
	minMovesPerPlan = 5
	vmsPerMove      = 16
	// maxLostPercent is the progress up to which a filler without checkpoints is moved,
	// although it loses its work.
	maxLostPercent = 15
	fullPercent    = 100
)

// ReasonStalled is the reason for stopping a run without progress.
const ReasonStalled = "its progress stands still"

// ReasonSlow is the reason for moving a run whose VM is slow.
const ReasonSlow = "it would be done sooner elsewhere"

// ReasonPacedDown is the reason for moving a filler that is paced down.
const ReasonPacedDown = "it is held back by the tasks beside it"

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
	}
	return ""
}

// shouldMove reports whether a filler that is paced down would be done sooner on another
// VM where it could start, with the cost of the move.
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
	if here < moveFactor*(moveCostMS+left/minStartSpeed) {
		return false
	}
	return p.hasBetterVM(p.classOf(js, r.key.StepKey()), r.key)
}

// maxMoves bounds the fillers moved in one plan, since each move changes the speeds that
// the next can expect.
func (p *pass) maxMoves() int { return max(minMovesPerPlan, len(p.vms)/vmsPerMove) }

// isStalled reports whether a run makes no progress. Fillers are excluded, since pacing
// may bring them to a standstill.
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
	// minWatchMS is how long a run is observed before it can be called slow: with two
	// reports a second, at least two values.
	minWatchMS = 700
	// slowFactor is the ratio of a run's time to that of its siblings from which the run
	// is moved; times of a step's tasks differ by less than half. copyFactor is the ratio
	// for a copy, which costs less if it was in vain.
	slowFactor = 2.5
	copyFactor = 1.8
	// minSiblings is how many other tasks of the step must be done or running elsewhere.
	// Submitters' estimates are too inaccurate to detect a slow VM: by them, most runs
	// that are moved leave healthy VMs.
	minSiblings = 2
)

// isSlow reports whether a task should be restarted on another VM. It is moved only once:
// if it is slow there too, the cause is the task.
func (p *pass) isSlow(js *jobState, r *taskRun, run RunView) bool {
	st := &js.job.Spec.Steps[r.key.Step]
	if st.Lasting || st.Filler || st.Gang || st.Speculative || len(p.view.FailedOn[r.key]) > 0 {
		return false
	}
	return p.lagsSiblings(js, r, run, slowFactor) && p.fitsElsewhere(p.classOf(js, r.key.StepKey()), r.key)
}

// lagsSiblings reports whether the rest of a run takes more than factor times as long as
// a whole run of its siblings.
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

// siblingRate is the progress of a task of a step that is done or running, in percent
// per ms.
type siblingRate struct {
	rate float64
	vm   rudderfork.VMID // "" if it is done
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

// canMoveTo reports whether a VM is healthy, runs no run of the task and can take it now.
func (p *pass) canMoveTo(cl *taskClass, k queue.TaskKey, v *vmState) bool {
	return v.view.FailureScore < riskyFailureScore && p.isFeasible(cl, v) && !cl.runsOn(k, v)
}

// riskyFailureScore is the failure score right after one failure. Nothing is moved to a VM
// with this score or more.
const riskyFailureScore = 0.5
