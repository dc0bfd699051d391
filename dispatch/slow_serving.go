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
	if !p.view.Relocate || len(p.state.Waves()) > 0 || len(p.view.OverloadedSince) == 0 {
		return
	}
	overloads := p.overloads()
	left := max(1, len(p.vms)/vmsPerMove) - len(p.view.SlowRelocations)
	for _, js := range jobs {
		for step := range js.job.Spec.Steps {
			if left <= 0 {
				return
			}
			if !js.mayRelocate(step) {
				continue
			}
			cl := p.classOf(js, queue.StepKey{Job: js.job.ID, Step: step})
			if st, ok := p.slowRelocation(cl, overloads); ok {
				p.plan.Stops = append(p.plan.Stops, st)
				left--
			}
		}
	}
}

// overload is the overloaded serving tasks of a VM.
type overload struct {
	tasks   map[queue.TaskKey]bool // overloaded for minOverloadedMS, while most of their step serve well
	tooSlow bool                   // the VM is too slow to serve
}

// overloads returns the VMs with overloaded tasks.
func (p *pass) overloads() map[*vmState]*overload {
	all := map[*vmState]*overload{}
	for k, since := range p.view.OverloadedSince {
		v := p.vmOfRun(k)
		if v == nil {
			continue
		}
		if all[v] == nil {
			all[v] = &overload{tasks: map[queue.TaskKey]bool{}}
		}
		if p.view.Now-since >= minOverloadedMS && p.siblingsServeWell(k.TaskKey, v) {
			all[v].tasks[k.TaskKey] = true
		}
	}
	for v, o := range all {
		o.tooSlow = len(o.tasks) >= minOverloaded || len(o.tasks) > 0 && v.view.isSlow()
	}
	return all
}

// vmOfRun returns the VM of an active run, or nil.
func (p *pass) vmOfRun(k queue.RunKey) *vmState {
	j := p.state.Job(k.Job)
	if j == nil || j.Task(k.TaskKey) == nil {
		return nil
	}
	r, _ := j.Task(k.TaskKey).Run(k.Number)
	return p.vmByID(r.VM)
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
func (p *pass) slowRelocation(cl *taskClass, overloads map[*vmState]*overload) (best Stop, ok bool) {
	highest := int64(0)
	for i := range cl.tasks {
		k := cl.task(i)
		for _, r := range cl.tasks[i].Runs {
			load := p.view.Runs[k.Run(r.Number)].Load
			if o := overloads[p.vmByID(r.VM)]; o != nil && o.tooSlow && o.tasks[k] && load > highest {
				best, highest = Stop{k, r.Number, r.VM, ReasonTooSlow}, load
			}
		}
	}
	if highest == 0 || !p.allRunning(cl) || p.isRelocating(cl.key) || p.stops(cl.key) {
		return Stop{}, false
	}
	return best, p.reserveElsewhere(cl, best.Task, overloads)
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
func (p *pass) reserveElsewhere(cl *taskClass, k queue.TaskKey, overloads map[*vmState]*overload) bool {
	for _, v := range p.vms {
		if overloads[v] == nil && p.canMoveTo(cl, k, v) && p.failedCost(k, v) == 0 && !v.quarantine {
			v.free = v.free.Sub(cl.need)
			v.hasStarts = true // so that the next plan reads it again
			return true
		}
	}
	return false
}
