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
func (p *pass) summarize() *FleetSummary {
	a := &FleetSummary{}
	for _, v := range p.vms {
		if v.schedulable {
			p.summarizeVM(a, v)
		}
	}
	planned := map[queue.StepKey]int{}
	for _, st := range p.plan.Starts {
		planned[st.Task.StepKey()]++
	}
	for _, n := range p.jobs {
		p.summarizeWaiting(a, n, planned)
	}
	return a
}

func (p *pass) summarizeVM(a *FleetSummary, v *vmState) {
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
	a.IdleCores += max(0, v.colocation.idleCPU) / perCore
	a.TolerableCores += p.fillerCapacity(&v.colocation, nil, noImage) * v.colocation.totalCPU / perCore
}

// accountJob adds what a job waits for, but for what the plan starts.
func (p *pass) summarizeWaiting(a *FleetSummary, n *jobState, planned map[queue.StepKey]int) {
	for _, w := range n.waiting {
		if !p.isReady(n, w) {
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
