package dispatch

import "rudderfork.example/rudderfork/queue"

// Account sums up how a fleet is used, as a plan leaves it.
type Account struct {
	VMs            int // that may be given work
	Serving        int // tasks with an objective of their own that run
	ServingImages  int // images of these, summed up over the VMs
	Fillers        int // that run
	WaitingFillers int // tasks whose turn has come, that are not started
	WaitingOthers  int

	FillerCores float64 // at full speed, of the fillers that run
	PacedCores  float64 // of these, what they are paced down by
	IdleCores   float64 // what fillers could use beside those there
	OpenCores   float64 // of what serving tasks leave, what they bear of the fillers that are wanted
}

// account sums up the fleet and what waits.
func (p *planner) account() *Account {
	a := &Account{}
	for _, v := range p.vms {
		if v.fit {
			p.accountVM(a, v)
		}
	}
	for _, n := range p.jobs {
		p.accountJob(a, n)
	}
	return a
}

func (p *planner) accountVM(a *Account, v *vmNote) {
	const perCore = 1_000
	a.VMs++
	a.ServingImages += len(v.colocation.serving)
	for i := range v.colocation.serving {
		a.Serving += v.colocation.serving[i].tasks
	}
	a.Fillers += len(v.colocation.fillers)
	for _, f := range v.colocation.fillers {
		a.FillerCores += f.cpu / perCore
		a.PacedCores += f.cpu * (1 - f.speed) / perCore
	}
	a.IdleCores += max(0, v.colocation.idle) / perCore
	a.OpenCores += p.room(&v.colocation, nil, noImage) * v.colocation.whole / perCore
}

func (p *planner) accountJob(a *Account, n *jobNote) {
	for _, w := range n.waiting {
		waiting := p.waitingTasks(n, w)
		if n.job.Spec.Steps[w.Step].Filler {
			a.WaitingFillers += waiting
			continue
		}
		a.WaitingOthers += waiting
	}
}

// waitingTasks counts the tasks of a step whose turn has come and that have no run.
func (p *planner) waitingTasks(n *jobNote, w waitingStep) (waiting int) {
	if n.job.Status.Final() || !p.hasTurn(n, w) {
		return 0
	}
	tasks := n.job.Times[w.Time].Steps[w.Step]
	for i := range tasks {
		if !tasks[i].Done && len(tasks[i].Runs) == 0 {
			waiting++
		}
	}
	return max(0, waiting-p.planned(w.StepKey))
}

// planned counts the starts of the plan for a step.
func (p *planner) planned(key queue.StepKey) (n int) {
	for _, st := range p.plan.Starts {
		if st.Task.StepKey() == key {
			n++
		}
	}
	return n
}
