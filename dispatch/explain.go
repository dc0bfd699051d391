package dispatch

import (
	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// Explanation gives the reasons why tasks of a job wait.
type Explanation struct {
	p   *pass
	job *jobState
}

// Explain returns the explanation for a job at the time of the view. It is valid until
// the state or the view changes or the planner plans again.
func (pl *Planner) Explain(s *queue.State, v View, j *queue.Job) Explanation {
	p := pl.newPass(s, v)
	return Explanation{p, p.newJobState(j)}
}

// RejectReasons returns for each VM why it cannot take a task now, or "" if it can.
func (e Explanation) RejectReasons(k queue.TaskKey) map[rudderfork.VMID]string {
	p, cl := e.p, e.p.classOf(e.job, k.StepKey())
	why := map[rudderfork.VMID]string{}
	for _, v := range p.vms {
		why[v.vm.ID] = p.rejectReason(cl, k, v)
		switch {
		case why[v.vm.ID] != "":
		case p.tooSlowToStart(cl, v):
			why[v.vm.ID] = "the task would crawl beside the serving tasks there"
		case !p.reserve.allows(cl, cl.job.Task(k), v):
			why[v.vm.ID] = "room is kept there for short tasks"
		case cl.job.Task(k).Suspect() && v.quarantine:
			why[v.vm.ID] = "another suspect of a crash is in quarantine there"
		}
	}
	return why
}

// rejectReason returns why a VM cannot take a task in this plan, or "" if it can. It checks
// the conditions of isFeasible, and that the VM has no run of the task.
func (p *pass) rejectReason(cl *taskClass, k queue.TaskKey, v *vmState) string {
	switch {
	case cl.advised && cl.tickets[v.vm.ID] == "":
		return "the adviser has given no leave for it"
	case !v.view.Usable:
		return "it does not answer"
	case v.view.Draining:
		return "it is about to leave"
	case v.view.CordonedForUpkeep:
		return "its upkeep is next"
	}
	if why := p.state.RejectReason(cl.job, k, v.vm); why != "" {
		return why
	}
	if cl.step.MaxPerVM > 0 && p.onVM(cl, v) >= cl.step.MaxPerVM {
		return "it holds as many tasks of the step as it may"
	}
	if lack := cl.need.Lacking(v.free); lack != "" {
		return "too few " + lack
	}
	return ""
}
