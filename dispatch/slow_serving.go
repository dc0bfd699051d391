package dispatch

import (
	"slices"

	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

const (
	// minOverloadedMS is how long a serving task must have been overloaded, ms, before it is
	// relocated. Pacing stops the fillers beside it sooner, so then they are not the cause.
	minOverloadedMS = 3_000
	// minOverloaded is how many serving tasks of a VM must be overloaded for the VM to count as
	// too slow, unless its speed is known to be low.
	minOverloaded = 2
)

// ReasonTooSlow is the reason for relocating a serving task from a VM that is too slow for it.
const ReasonTooSlow = "its VM is too slow to serve"

// planSlowRelocations plans the relocation of overloaded serving tasks from VMs that are too slow. The
// conditions are those of planRelocation, except that tasks of several steps may be
// relocated at the same time: one for every vmsPerMove VMs.
func (p *pass) planSlowRelocations(jobs []*jobState) {
	for _, m := range p.view.SlowRelocations {
		p.repeatRelocation(m, ReasonTooSlow)
	}
	if !p.view.Relocate || len(p.state.Waves()) > 0 {
		return
	}
	slow := p.tooSlowVMs()
	left := max(1, len(p.vms)/vmsPerMove) - len(p.view.SlowRelocations)
	for _, js := range jobs {
		for step := range js.job.Spec.Steps {
			if left <= 0 || len(slow) == 0 {
				return
			}
			if !js.mayRelocate(step) {
				continue
			}
			cl := p.classOf(js, queue.StepKey{Job: js.job.ID, Step: step})
			if st, ok := p.slowRelocation(cl, slow); ok {
				p.plan.Stops = append(p.plan.Stops, st)
				left--
			}
		}
	}
}

// tooSlowVMs returns the VMs that are too slow to serve, with their overloaded tasks.
func (p *pass) tooSlowVMs() map[*vmState]map[queue.TaskKey]bool {
	slow := map[*vmState]map[queue.TaskKey]bool{}
	for _, v := range p.vms {
		tasks := map[queue.TaskKey]bool{}
		for i := range v.runs {
			if r := &v.runs[i]; p.isOverloaded(r.run) && p.siblingsServeWell(r.key, v) {
				tasks[r.key] = true
			}
		}
		if len(tasks) >= minOverloaded || len(tasks) > 0 && v.view.isSlow() {
			slow[v] = tasks
		}
	}
	return slow
}

// isOverloaded reports whether a serving task has been overloaded for minOverloadedMS.
func (p *pass) isOverloaded(run RunView) bool {
	return run.OverloadedSince != 0 && p.view.Now-run.OverloadedSince >= minOverloadedMS
}

// siblingsServeWell reports whether most of the other tasks of a serving task's step that are at work on
// other VMs have a headroom of 1 or more. Otherwise the load on the step is the cause, or unknown.
func (p *pass) siblingsServeWell(k queue.TaskKey, v *vmState) bool {
	j := p.state.Job(k.Job)
	st, well, others := &j.Spec.Steps[k.Step], 0, 0
	tasks := j.Occurrences[k.Occurrence].Steps[k.Step]
	for i := range tasks {
		for _, r := range tasks[i].Runs {
			run := p.view.Runs[queue.TaskKey{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step, Index: i}.Run(r.Number)]
			if r.VM == v.vm.ID || run.Load <= 0 {
				continue
			}
			others++
			if pace.Headroom(st.TailMS, run.Load) >= 1 {
				well++
			}
		}
	}
	return others >= minSiblings && 2*well > others
}

// slowRelocation returns the stop of the overloaded task of a class with the highest tail latency, if
// it may be relocated and another VM can take it.
func (p *pass) slowRelocation(cl *taskClass, slow map[*vmState]map[queue.TaskKey]bool) (best Stop, ok bool) {
	highest := int64(0)
	for i := range cl.tasks {
		k := cl.task(i)
		for _, r := range cl.tasks[i].Runs {
			load := p.view.Runs[k.Run(r.Number)].Load
			if slow[p.vmByID(r.VM)][k] && load > highest {
				best, highest = Stop{k, r.Number, r.VM, ReasonTooSlow}, load
			}
		}
	}
	if highest == 0 || !p.allRunning(cl) || p.isRelocating(cl.key) || p.stops(cl.key) {
		return Stop{}, false
	}
	return best, p.reserveElsewhere(cl, best.Task, slow)
}

// stops reports whether the plan stops a run of a step.
func (p *pass) stops(key queue.StepKey) bool {
	return slices.ContainsFunc(p.plan.Stops, func(st Stop) bool { return st.Task.StepKey() == key })
}

// isRelocating reports whether a task of a step is being relocated.
func (p *pass) isRelocating(key queue.StepKey) bool {
	is := func(m Relocation) bool { return m.Task.StepKey() == key }
	return slices.ContainsFunc(p.view.SlowRelocations, is) || is(p.view.LastRelocation) && p.view.LastRelocation.InProgress(p.view.Now)
}

// reserveElsewhere reserves capacity in this plan for a task on a VM to which it can be relocated, so that
// tasks that are relocated at the same time do not count on the same capacity. It returns false if
// there is none.
func (p *pass) reserveElsewhere(cl *taskClass, k queue.TaskKey, slow map[*vmState]map[queue.TaskKey]bool) bool {
	for _, v := range p.vms {
		if slow[v] == nil && p.canMoveTo(cl, k, v) && p.failedCost(k, v) == 0 && !v.quarantine && !v.hasOverloaded() {
			v.free = v.free.Sub(cl.need)
			v.hasStarts = true // so that the next plan reads it again
			return true
		}
	}
	return false
}

// hasOverloaded reports whether a serving task on the VM is overloaded.
func (v *vmState) hasOverloaded() bool {
	return slices.ContainsFunc(v.runs, func(r vmRun) bool { return r.run.OverloadedSince != 0 })
}
