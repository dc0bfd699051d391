package dispatch

import "rudderfork.example/rudderfork/queue"

// FleetSummary sums up how a fleet is used, as a plan leaves it.
type FleetSummary struct {
	VMs            int // that may be given work
	Serving        int // tasks with an objective of their own that run
	ServingImages  int // images of these, summed up over the VMs
	Fillers        int // that run
	WaitingFillers int // tasks whose turn has come, that are not started
	WaitingOthers  int

	FillerCores    float64 // at full speed, of the fillers that run
	PacedCores     float64 // of these, what they are paced down by
	IdleCores      float64 // what fillers could use beside those there
	TolerableCores float64 // of what serving tasks leave, what they bear of the fillers that are wanted
}

// account sums up the fleet and what waits.
func (p *planner) account() *FleetSummary {
	a := &FleetSummary{}
	for _, v := range p.vms {
		if v.fit {
			p.accountVM(a, v)
		}
	}
	planned := map[queue.StepKey]int{}
	for _, st := range p.plan.Starts {
		planned[st.Task.StepKey()]++
	}
	for _, n := range p.jobs {
		p.accountJob(a, n, planned)
	}
	return a
}

func (p *planner) accountVM(a *FleetSummary, v *vmNote) {
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
	a.TolerableCores += p.room(&v.colocation, nil, noImage) * v.colocation.whole / perCore
}

// accountJob adds what a job waits for, but for what the plan starts.
func (p *planner) accountJob(a *FleetSummary, n *jobNote, planned map[queue.StepKey]int) {
	for _, w := range n.waiting {
		if !p.hasTurn(n, w) {
			continue
		}
		waiting := max(0, w.tasks-planned[w.StepKey])
		if n.job.Spec.Steps[w.Step].Filler {
			a.WaitingFillers += waiting
			continue
		}
		a.WaitingOthers += waiting
	}
}
