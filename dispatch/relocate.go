package dispatch

import (
	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

const (
	// halfTolerancePressure is the pressure at which the tolerance of a serving task for a
	// filler is one half (see fillerTolerance). Of 90 pairs of images, half have pressures
	// below 1, the others from 1.5 to 7.
	halfTolerancePressure = 2.0
	// minRelocationGain is the least gain of filler capacity, as a share of a VM's
	// processors, for which a serving task is moved. It outweighs the 1.5 s for which the
	// task does not run.
	minRelocationGain = 0.15
	// relocationPauseMS is the least time between two relocations, ms. It covers a stop, a
	// start and their reports.
	relocationPauseMS = 2_000
)

// ReasonRelocated is the reason for moving a serving task to gain filler capacity.
const ReasonRelocated = "fillers would find more room if it ran elsewhere"

// Relocation is a move of a serving task to another VM.
type Relocation struct {
	Task queue.TaskKey
	Run  uint32
	At   int64 // when the stop was ordered, leader's clock, Unix ms
}

// InProgress reports whether the relocation may still be in progress.
func (m Relocation) InProgress(now int64) bool { return now-m.At < relocationPauseMS }

// Covers reports whether a run is the one that the relocation stops or, while the
// relocation may be in progress, any run of the same task.
func (m Relocation) Covers(k queue.TaskKey, run uint32, now int64) bool {
	return m.Task == k && (m.Run == run || m.InProgress(now))
}

// noImage is used in place of an image's number where no image is meant.
const noImage = -1

// fillerDemand returns the remaining work of waiting and running fillers by image, as
// shares of their total.
func (p *pass) fillerDemand() []float64 {
	if p.demandShares != nil {
		return p.demandShares
	}
	p.demandShares = make([]float64, len(p.images.names))
	sum := 0.0
	for _, js := range p.jobs {
		for _, d := range js.fillerWork {
			p.demandShares[d.image] += d.work
			sum += d.work
		}
	}
	for image := range p.demandShares {
		p.demandShares[image] /= max(1, sum)
	}
	return p.demandShares
}

// fillerCapacity returns the capacity of a VM for the waiting and running fillers, as a
// share of its processors: the share that tasks other than fillers leave idle, times
// fillerTolerance. If extra is not nil, a further serving task of that step and image is
// assumed on the VM.
func (p *pass) fillerCapacity(c *colocation, extra *queue.Step, image int) float64 {
	idle := c.spareCPU
	if extra != nil {
		idle -= float64(extra.Size.CPUMilli) * pace.ServingUtilization
	}
	return max(0, idle) / c.totalCPU * p.fillerTolerance(c, image)
}

// fillerCapacityLoss returns by how much a further serving task reduces fillerCapacity.
func (p *pass) fillerCapacityLoss(c *colocation, st *queue.Step, image int) float64 {
	return p.fillerCapacity(c, nil, noImage) - p.fillerCapacity(c, st, image)
}

// planRelocation plans the relocation that gains the most filler capacity. It corrects
// earlier placements, which were made without knowing later jobs and pressures.
func (p *pass) planRelocation(jobs []*jobState) {
	if p.repeatRelocation(p.view.LastRelocation, ReasonRelocated) || p.view.LastRelocation.InProgress(p.view.Now) || !p.view.Relocate {
		return
	}
	if len(p.state.Waves()) > 0 {
		return // upkeep ends tasks too, and a step's disruption budget counts both
	}
	var best Stop
	most := minRelocationGain
	for _, js := range jobs {
		for step := range js.job.Spec.Steps {
			if !js.mayRelocate(step) {
				continue
			}
			cl := p.classOf(js, queue.StepKey{Job: js.job.ID, Step: step})
			if p.allRunning(cl) && !p.isRelocating(cl.key) {
				best, most = p.betterRelocation(cl, best, most)
			}
		}
	}
	if best.Run != 0 {
		p.plan.Stops = append(p.plan.Stops, best)
	}
}

// mayRelocate reports whether tasks of a step may be relocated at all: serving tasks that last.
func (js *jobState) mayRelocate(step int) bool {
	st := &js.job.Spec.Steps[step]
	return st.TailMS > 0 && st.Lasting && !st.Gang && !js.job.Status.Final() && js.job.Spec.Repeat == nil
}

// repeatRelocation orders the stop of a relocation again until the run has ended, since
// earlier orders may not have reached the VM. It reports whether the run is still active;
// until it ends no other task is moved, since a late stop would leave two tasks of a step
// without runs.
func (p *pass) repeatRelocation(m Relocation, reason string) (pending bool) {
	j := p.state.Job(m.Task.Job)
	if j == nil || j.Task(m.Task) == nil {
		return false
	}
	for _, r := range j.Task(m.Task).Runs {
		if r.Number == m.Run {
			p.plan.Stops = append(p.plan.Stops, Stop{m.Task, r.Number, r.VM, reason})
			pending = true
		}
	}
	return pending
}

// allRunning reports whether every task of a lasting step has one run, which was started at
// least startupMS ago, has completed its startup and is on a usable VM. Otherwise a
// relocation could leave more than one task of the step without a working run.
func (p *pass) allRunning(cl *taskClass) bool {
	for i := range cl.tasks {
		if len(cl.tasks[i].Runs) != 1 {
			return false
		}
		r := cl.tasks[i].Runs[0]
		run, seen := p.view.Runs[cl.task(i).Run(r.Number)]
		vm := p.view.VMs[r.VM]
		if !seen || run.Percent < 100 || !vm.Usable || vm.Draining || p.view.Now-r.StartedAt < startupMS {
			return false
		}
	}
	return true
}

// betterRelocation returns the best relocation of a task of the class with its gain, if it
// gains more than most; otherwise it returns best and most unchanged.
func (p *pass) betterRelocation(cl *taskClass, best Stop, most float64) (Stop, float64) {
	for i := range cl.tasks {
		r := cl.tasks[i].Runs[0]
		if gain := p.relocationGain(cl, cl.task(i), r.VM, most); gain > most {
			best, most = Stop{cl.task(i), r.Number, r.VM, ReasonRelocated}, gain
		}
	}
	return best, most
}

// relocationGain returns the filler capacity gained by moving a task to the best other VM,
// or least if no VM gains more.
func (p *pass) relocationGain(cl *taskClass, k queue.TaskKey, at rudderfork.VMID, least float64) float64 {
	without := p.vmByID(at).colocationWithout(k)
	current := p.fillerCapacityLoss(&without, cl.step, cl.image)
	most := least
	for _, v := range p.vms {
		gain := current - p.fillerCapacityLoss(&v.colocation, cl.step, cl.image)
		if gain > most && p.canMoveTo(cl, k, v) {
			most = gain
		}
	}
	return most
}
