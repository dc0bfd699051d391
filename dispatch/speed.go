package dispatch

// usualSpeed is the speed from which a VM is treated as one of the usual speed. Estimates differ by
// about as much between equal VMs.
const usualSpeed = 0.8

// speed returns the VM's speed for computations: above 0, and 1 if it is usual.
func (v VMView) speed() float64 {
	if v.Speed == 0 || v.Speed >= usualSpeed {
		return 1
	}
	return max(minSpeed, v.Speed)
}

// isSlow reports whether the VM is slower than usual.
func (v VMView) isSlow() bool { return v.speed() < 1 }

// slowCost returns the cost of the VM's speed for tasks other than fillers: by how much the work
// takes longer there, as a multiple of its time at the usual speed.
func (v *vmState) slowCost() float64 { return 1/v.speed - 1 }

// maxSlowVMRuns is the number of starts up to which a task without checkpoints is moved from a slow
// VM, so that it ends although VMs become slow and recover again and again.
const maxSlowVMRuns = 2

// shouldLeaveSlowVM reports whether a short task or filler on a slow VM would be done sooner on
// another VM that can take it, although without checkpoints it begins anew there. speed is that of
// the slow VM. The searches for such VMs in one plan are bounded like moves.
func (p *pass) shouldLeaveSlowVM(js *jobState, r *taskRun, run RunView, speed float64) bool {
	st := &js.job.Spec.Steps[r.key.Step]
	if st.Lasting || st.Gang || st.Speculative || p.searches >= p.maxMoves() ||
		p.view.Now-run.FirstSeenAt < minWatchMS || !st.Checkpoints && r.run.Number > maxSlowVMRuns {
		return false
	}
	work := js.workMS[r.key.Step]
	left := work * float64(fullPercent-run.Percent) / fullPercent
	here := left / max(minSpeed, (1-float64(run.PacedDownPercent)/fullPercent)*speed)
	there := work
	if st.Checkpoints {
		there = left
	}
	if st.Filler {
		there /= minStartSpeed
	}
	if !gainsByMove(here, there) {
		return false
	}
	p.searches++
	cl := p.classOf(js, r.key.StepKey())
	if st.Filler {
		return p.hasBetterVM(cl, r.key)
	}
	return p.fitsElsewhere(cl, r.key)
}
