package dispatch

import "rudderfork.example/rudderfork/queue"

// FleetSummary summarizes how the fleet is used once a plan is carried out.
type FleetSummary struct {
	VMs            int // schedulable VMs
	Serving        int // running serving tasks
	ServingImages  int // distinct images of serving tasks on each VM, summed over the VMs
	Fillers        int // running fillers
	WaitingFillers int // ready fillers that the plan does not start
	WaitingOthers  int // the same of tasks that are no fillers

	FillerCores    float64 // cores of the running fillers at full speed
	PacedCores     float64 // of FillerCores, the part lost to pacing
	IdleCores      float64 // cores that further fillers could use
	TolerableCores float64 // cores that tasks other than fillers leave idle, weighted by the serving tasks' tolerance of the waiting and running fillers
}

// summarize returns the summary of all VMs and waiting tasks.
func (p *pass) summarize() *FleetSummary {
	s := &FleetSummary{}
	for _, v := range p.vms {
		if v.schedulable {
			p.summarizeVM(s, v)
		}
	}
	planned := map[queue.StepKey]int{}
	for _, st := range p.plan.Starts {
		planned[st.Task.StepKey()]++
	}
	for _, js := range p.jobs {
		p.summarizeWaiting(s, js, planned)
	}
	return s
}

func (p *pass) summarizeVM(s *FleetSummary, v *vmState) {
	s.VMs++
	s.ServingImages += len(v.colocation.serving)
	for i := range v.colocation.serving {
		s.Serving += v.colocation.serving[i].tasks
	}
	s.Fillers += len(v.colocation.fillers)
	for _, f := range v.colocation.fillers {
		s.FillerCores += f.cpu / milliPerCore
		s.PacedCores += f.cpu * (1 - f.speed) / milliPerCore
	}
	s.IdleCores += max(0, v.colocation.idleCPU) / milliPerCore
	s.TolerableCores += p.fillerCapacity(&v.colocation, nil, noImage) * v.colocation.totalCPU / milliPerCore
}

// summarizeWaiting adds the ready tasks of a job that the plan does not start.
func (p *pass) summarizeWaiting(s *FleetSummary, js *jobState, planned map[queue.StepKey]int) {
	for _, w := range js.waiting {
		if !p.isReady(js, w) {
			continue
		}
		waiting := max(0, w.tasks-planned[w.StepKey])
		if js.job.Spec.Steps[w.Step].Filler {
			s.WaitingFillers += waiting
			continue
		}
		s.WaitingOthers += waiting
	}
}
