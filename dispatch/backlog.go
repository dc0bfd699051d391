package dispatch

import (
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/backlog"
	"rudderfork.example/rudderfork/queue"
)

// maxTaskMS bounds the work time with which a waiting task counts, ms. A longer task still uses only
// its own processors, so it does not delay the others by all of its work.
const maxTaskMS = 30_000

// shapesCache holds the shapes of the VMs of the previous summary of the backlog.
type shapesCache struct {
	vms    []*queue.VM
	shapes *backlog.Shapes
}

// of returns the shapes of a list of VMs. As long as the list is the same, so is the result.
func (c *shapesCache) of(vms []*queue.VM) *backlog.Shapes {
	if c.shapes != nil && slices.Equal(c.vms, vms) {
		return c.shapes
	}
	c.vms, c.shapes = slices.Clone(vms), backlog.NewShapes()
	for _, vm := range vms {
		c.shapes.Add(vm.Service, vm.Labels, vm.Capacity)
	}
	return c.shapes
}

// summarizeBacklog returns the summary of the tasks that wait once the plan is carried out. It leaves
// out lasting tasks, worthless jobs, which do not delay others, jobs that wait for an adviser, and
// tasks that fit on no known VM.
func (p *pass) summarizeBacklog(shapes *backlog.Shapes) *backlog.Summary {
	planned := map[queue.StepKey]int{}
	for _, st := range p.plan.Starts {
		planned[st.Task.StepKey()]++
	}
	lanes := map[backlog.Lane]*backlog.Queue{}
	for _, js := range p.jobs {
		if len(js.waiting) > 0 && js.queue.Advice == nil && !js.rank(p.view.Now).worthless {
			p.addToLanes(lanes, js, planned, shapes)
		}
	}
	byService := map[rudderfork.Service][]backlog.Lane{}
	for l := range lanes {
		byService[l.Service] = append(byService[l.Service], l)
	}
	for _, v := range p.vms {
		for _, l := range byService[v.vm.Service] {
			if v.vm.HasLabel(l.Label) {
				p.addCapacity(lanes[l], l, v)
			}
		}
	}
	return backlog.NewSummary(p.view.Now, lanes, shapes)
}

// addToLanes adds the waiting tasks of a job. Fillers that ask for more processors than a VM has are
// left out: they use at most those of one VM, so their work does not tell how long they delay others.
func (p *pass) addToLanes(lanes map[backlog.Lane]*backlog.Queue, js *jobState, planned map[queue.StepKey]int, shapes *backlog.Shapes) {
	for _, w := range js.waiting {
		st := &js.job.Spec.Steps[w.Step]
		waiting := w.tasks - planned[w.StepKey]
		if waiting <= 0 || st.Lasting || js.job.Occurrences[w.Occurrence].DueMS > p.view.Now || !shapes.CanHold(js.queue.Service, st.Label, st.Size) {
			continue
		}
		l := laneOf(js.queue, st)
		q := lanes[l]
		if q == nil {
			q = &backlog.Queue{}
			lanes[l] = q
		}
		q.Entries = append(q.Entries, backlog.Entry{Priority: js.queue.Priority, JobWork: js.workLeft, Work: expectedWork(st, min(maxTaskMS, js.workMS[w.Step]), waiting)})
		if p.isReady(js, w) {
			q.AddReady(st.Size, waiting)
		}
	}
}

// addCapacity adds the capacity of a VM that the tasks of a lane use or may use.
func (p *pass) addCapacity(q *backlog.Queue, l backlog.Lane, v *vmState) {
	used, free := p.laneCapacity(l, v)
	q.Rate += used
	// A VM whose agent has no session yet will be usable as soon as it has one.
	if !v.vm.Live || v.view.Draining || v.view.CordonedForUpkeep || p.state.Evacuating(v.vm.Domain) {
		return
	}
	q.Free.Add(free)
	if q.Least.Fits(free) {
		q.Rate += float64(free.CPUMilli)
	}
}

// laneCapacity returns the processors of a VM, thousandths of a core, that the tasks of a lane use
// after the plan, and the resources that are free for them. Idle processors that fillers may use are
// those on which the serving tasks tolerate them.
func (p *pass) laneCapacity(l backlog.Lane, v *vmState) (used float64, free rudderfork.Resources) {
	free = v.free
	if l.Filler {
		for _, f := range v.colocation.fillers {
			used += f.cpu * f.speed
		}
		used = min(used, float64(v.vm.Capacity.CPUMilli)) // fillers may ask for more than a VM has
		free.CPUMilli = int64(max(0, v.colocation.idleCPU) * p.fillerTolerance(&v.colocation, noImage))
		return used, free
	}
	reserved := v.vm.Capacity.CPUMilli - v.free.CPUMilli
	for i := range v.runs {
		if st := v.runs[i].step; kindOf(st) == Lasting {
			reserved -= st.Size.CPUMilli
		}
	}
	return float64(reserved), free
}

// laneOf returns the lane of the tasks of a step.
func laneOf(q queue.Queue, st *queue.Step) backlog.Lane {
	return backlog.Lane{Service: q.Service, Filler: st.Filler, Label: st.Label}
}

// NewcomerOf returns a job that is submitted to a queue as package backlog sees it. spec must be
// valid.
func NewcomerOf(q queue.Queue, id rudderfork.JobID, spec queue.Spec, w WorkTimeFunc) backlog.Job {
	j := &queue.Job{ID: id, Queue: q, Spec: spec}
	workMS := w.estimates(q, j, 0)
	b := backlog.Job{
		ID: id, Queue: q.Name, Service: q.Service, Priority: q.Priority,
		Exempt: spec.Repeat != nil || q.Advice != nil || hasLastingStep(j),
		PathMS: criticalPathMS(spec, workMS, func(int) bool { return true }),
	}
	b.ObjectiveMS = stretchedPathMS(q, j, workMS) + float64(q.LatencyMS)
	b.WorthlessMS = worthlessFactor * b.ObjectiveMS
	for i := range spec.Steps {
		st := &spec.Steps[i]
		work := expectedWork(st, workMS[i], st.Count)
		b.Work += work
		b.AddTasks(laneOf(q, st), work, st.Size, st.Need())
	}
	return b
}
