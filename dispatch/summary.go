package dispatch

import "rudderfork.example/rudderfork/queue"

// FleetSummary summarizes how the fleet is used once a plan is carried out.
type FleetSummary struct {
	VMs            int // schedulable VMs
	Serving        int // running serving tasks
	ServingImages  int // distinct images of serving tasks on each VM, summed over the VMs
	Fillers        int // running fillers
	WaitingFillers int // ready tasks that the plan does not start
	WaitingOthers  int

	FillerCores    float64 // cores of the running fillers at full speed
	PacedCores     float64 // of FillerCores, the part lost to pacing
	IdleCores      float64 // cores that further fillers could use
	TolerableCores float64 // cores left by serving tasks, weighted by their tolerance of the waiting and running fillers
}

// summarize returns the summary of all VMs and waiting tasks.
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
	for _, js := range p.jobs {
		p.summarizeWaiting(a, js, planned)
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

// summarizeWaiting adds the ready tasks of a job that the plan does not start.
func (p *pass) summarizeWaiting(a *FleetSummary, js *jobState, planned map[queue.StepKey]int) {
	for _, w := range js.waiting {
		if !p.isReady(js, w) {
			continue
		}
		waiting := max(0, w.tasks-planned[w.StepKey])
		if js.job.Spec.Steps[w.Step].Filler {
			a.WaitingFillers += waiting
			continue
		}
		a.WaitingOthers += waiting
	}
}
