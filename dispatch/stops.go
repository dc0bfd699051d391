package dispatch

import (
	"cmp"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

const (
	// stillMS is how long a run's progress may stand still before the run is
	// taken for stuck. A task of 4.3 s, the longest usual, on a VM eight times
	// too slow moves by a percent every 350 ms; this is four times that.
	stallMS = 1_500
	// startupMS is how long a lasting task may take until it is at work.
	startupMS = 4_000
	// heldMS is how long a filler must be held down before it is moved, and restMS
	// how long it must have run.
	minPacedDownMS = 500
	minRunMS       = 1_000
	// moveMS is what a move costs a filler beside its work: a stop, a start, and their
	// reports, in ms. moveFactor is how many times as long it must take here as
	// elsewhere, since neither is known well. (On four days of 240 VMs, pairs of one
	// seed, fillers earned 0.60 of their worth, and 0.42 where only those were moved
	// that were held by 70 of 100 after 2 s, five a plan; the days 0.579 and 0.474.)
	moveCostMS = 500
	moveFactor = 1.3
	// leastMoves and vmsAMove bound the moves of one plan, a few for each hundred VMs.
	minMovesPerPlan = 5
	vmsPerMove      = 16
	// littleDone is the part of its work, in percent, up to which a filler that
	// keeps no checkpoint is moved too.
	maxLostPercent = 15
	fullPercent    = 100
)

// ReasonStalled is the reason for stopping a run that gets nowhere.
const ReasonStalled = "its progress stands still"

// ReasonSlow is the reason for moving a run whose VM is slow.
const ReasonSlow = "it would be done sooner elsewhere"

// ReasonPacedDown is the reason for moving a filler.
const ReasonPacedDown = "it is held back by the tasks beside it"

// stops plans the ends of a job's runs that should not go on.
func (p *pass) planStops(n *jobState) {
	for i := range n.runs {
		r := &n.runs[i]
		if why := p.stopReason(n, r); why != "" {
			p.plan.Stops = append(p.plan.Stops, Stop{r.key, r.run.Number, r.run.VM, why})
		}
	}
}

func (p *pass) stopReason(n *jobState, r *taskRun) string {
	st := &n.job.Spec.Steps[r.key.Step]
	vm := p.view.VMs[r.run.VM]
	switch {
	case n.job.Status.Final():
		return "the job is " + string(n.job.Status)
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
	case p.isSlow(n, r, run):
		return ReasonSlow
	case p.shouldMove(n, r, run):
		p.fillerMoves++
		return ReasonPacedDown
	}
	return ""
}

// heldBack reports whether a filler is held down here and had better be moved: by what
// it is held, it would be done sooner at a place where it could begin, with what the
// move costs.
func (p *pass) shouldMove(n *jobState, r *taskRun, run RunView) bool {
	if run.PacedDownSince == 0 || p.view.Now-run.PacedDownSince < minPacedDownMS || p.view.Now-r.run.StartedAt < minRunMS || p.fillerMoves >= p.maxMoves() {
		return false
	}
	st := &n.job.Spec.Steps[r.key.Step]
	if st.Gang || !st.Checkpoints && run.Percent > maxLostPercent {
		return false // the end of one member ends its gang
	}
	left := n.workMS[r.key.Step] * float64(fullPercent-run.Percent) / fullPercent
	here := left / max(minSpeed, 1-float64(run.PacedDownPercent)/fullPercent)
	if here < moveFactor*(moveCostMS+left/minStartSpeed) {
		return false
	}
	return p.hasBetterVM(p.classOf(n, r.key.StepKey()), r.key)
}

// mostMoves bounds the fillers moved in one plan, since each changes what the next one
// can expect.
func (p *pass) maxMoves() int { return max(minMovesPerPlan, len(p.vms)/vmsPerMove) }

// stuck reports whether a run gets nowhere. Fillers may be paced to a
// standstill, so nothing is concluded from theirs.
func (p *pass) isStalled(st *queue.Step, run RunView) bool {
	if st.Filler || st.Gang {
		return false
	}
	still := p.view.Now - run.ProgressedAt
	if st.Lasting {
		return run.Percent < 100 && still > startupMS
	}
	return still > stallMS
}

const (
	// slowAfterMS is how long a run is watched before it is called slow: with two
	// reports a second, two figures at least.
	minWatchMS = 700
	// slowFactor is how many times as long as its siblings' a run's time must be
	// for the run to be moved; the tasks of a step differ by less than half.
	// copyFactor is the same for a second run beside the first, which costs less
	// if it was in vain.
	slowFactor = 2.5
	copyFactor = 1.8
	// leastSiblings is how many others of a step must be done or seen at work
	// elsewhere: the guesses of run times are too far off to tell a slow VM by (in
	// a trial they had 50 runs moved on a day, most of them on sound VMs).
	minSiblings = 2
)

// slow reports whether a task is better begun again on another VM. It is moved
// once: if it is slow there too, the task is what is slow.
func (p *pass) isSlow(n *jobState, r *taskRun, run RunView) bool {
	st := &n.job.Spec.Steps[r.key.Step]
	if st.Lasting || st.Filler || st.Gang || st.Speculative || len(p.view.FailedOn[r.key]) > 0 {
		return false
	}
	return p.lagsSiblings(n, r, run, slowFactor) && p.fitsElsewhere(p.classOf(n, r.key.StepKey()), r.key)
}

// lags reports whether what a run still needs is so many times what its siblings
// need for the whole.
func (p *pass) lagsSiblings(n *jobState, r *taskRun, run RunView, factor float64) bool {
	rate, ok := p.rate(run)
	if !ok {
		return false
	}
	usual, ok := p.medianSiblingRate(n, r)
	left := float64(100 - run.Percent)
	return ok && left*usual > 100*factor*rate
}

// rate is the progress of a run, in percent a millisecond.
func (p *pass) rate(run RunView) (rate float64, ok bool) {
	watched := run.ProgressedAt - run.FirstSeenAt
	if p.view.Now-run.FirstSeenAt < minWatchMS || watched <= 0 {
		return 0, false
	}
	return float64(run.Percent-run.FirstPercent) / float64(watched), true
}

// siblingRate is the rate of a task of a step, in percent a millisecond, of one that
// is done or at work on a VM.
type siblingRate struct {
	rate float64
	vm   rudderfork.VMID // "" if it is done
}

// siblingRate is the median rate of a step's other tasks, of those that are done
// and of those at work on other VMs; ok is false if there are too few.
func (p *pass) medianSiblingRate(n *jobState, r *taskRun) (rate float64, ok bool) {
	list := p.stepRates(n, r.key.StepKey())
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

// ratesOf returns the rates of the tasks of a step, the lowest first.
func (p *pass) stepRates(n *jobState, key queue.StepKey) []siblingRate {
	if list, known := p.rates[key]; known {
		return list
	}
	list := []siblingRate{}
	tasks := n.job.Occurrences[key.Occurrence].Steps[key.Step]
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

// roomElsewhere reports whether another VM can take the task now.
func (p *pass) fitsElsewhere(cl *taskClass, k queue.TaskKey) bool {
	return slices.ContainsFunc(p.vms, func(v *vmState) bool { return p.canMoveTo(cl, k, v) })
}

// takesMoved reports whether a VM is another than the one a task is on, sound, and
// can take the task now.
func (p *pass) canMoveTo(cl *taskClass, k queue.TaskKey, v *vmState) bool {
	return v.view.FailureScore < riskyFailureScore && p.isFeasible(cl, v) && !cl.runsOn(k, v)
}

// doubtful is the doubt in a VM above which nothing is moved there: one failure.
const riskyFailureScore = 0.5
