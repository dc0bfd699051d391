package dispatch

import (
	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

const (
	// heavyPressure is the pressure at which a VM's processors count half for a
	// filler: of 90 pairs of images, by regression over the figures of two days,
	// half take less than 1 of a serving task's headroom, the others 1.5 to 7.
	halfTolerancePressure = 2.0
	// regroupGain is how much less a serving task must cost elsewhere to be moved
	// there, as a part of a VM's processors: more than the second and a half that
	// the task is away for. (Worth of a day in the mean of 40 runs, four days of ten
	// seeds: 0.601 with these moves, 0.587 without.)
	minRelocationGain = 0.15
	// regroupRestMS is between two such moves: a stop, a start and their reports.
	relocationPauseMS = 2_000
)

// ReasonRelocated is the reason for moving a serving task.
const ReasonRelocated = "fillers would find more room if it ran elsewhere"

// Relocation is the serving task that was moved last.
type Relocation struct {
	Task queue.TaskKey
	Run  uint32
	At   int64 // when it was ordered, leader's clock, Unix ms
}

// InProgress reports whether the move may be under way still.
func (m Relocation) InProgress(now int64) bool { return now-m.At < relocationPauseMS }

// Covers reports whether the move concerns a run of a task and may be under way.
func (m Relocation) Covers(k queue.TaskKey, run uint32, now int64) bool {
	return m.Task == k && (m.Run == run || m.InProgress(now))
}

// noImage stands for no further serving task.
const noImage = -1

// demand is how much work of fillers waits or runs, by image, as parts of the
// whole.
func (p *pass) fillerDemand() []float64 {
	if p.demandShares != nil {
		return p.demandShares
	}
	p.demandShares = make([]float64, len(p.images.names))
	sum := 0.0
	for _, n := range p.jobs {
		for _, d := range n.fillerWork {
			p.demandShares[d.image] += d.work
			sum += d.work
		}
	}
	for image := range p.demandShares {
		p.demandShares[image] /= max(1, sum)
	}
	return p.demandShares
}

// room is what the VM's processors are worth to the fillers that are wanted, as a
// part of a VM: those that serving tasks leave idle, less for images that press on
// a serving task there. extra is a serving step of an image that would be there too,
// if not nil.
func (p *pass) fillerCapacity(c *colocation, extra *queue.Step, image int) float64 {
	idle := c.spareCPU
	if extra != nil {
		idle -= float64(extra.Size.CPUMilli) * pace.ServingUtilization
	}
	return max(0, idle) / c.totalCPU * p.fillerTolerance(c, image)
}

// shadow is the room that fillers lose on a VM to a serving task of an image.
func (p *pass) fillerCapacityLoss(c *colocation, st *queue.Step, image int) float64 {
	return p.fillerCapacity(c, nil, noImage) - p.fillerCapacity(c, st, image)
}

// regroup plans the move of the one serving task that leaves fillers most more room
// elsewhere. Tasks come as they come, and what presses on what is known only later.
func (p *pass) planRelocation(jobs []*jobState) {
	if p.repeatRelocation(p.view.LastRelocation) || p.view.LastRelocation.InProgress(p.view.Now) || !p.view.Relocate {
		return
	}
	if len(p.state.Waves()) > 0 {
		return // upkeep ends tasks too, and counts who is away
	}
	var best Stop
	most := minRelocationGain
	for _, n := range jobs {
		for step := range n.job.Spec.Steps {
			st := &n.job.Spec.Steps[step]
			if st.TailMS == 0 || !st.Lasting || st.Gang || n.job.Status.Final() || n.job.Spec.Repeat != nil {
				continue
			}
			cl := p.classOf(n, queue.StepKey{Job: n.job.ID, Step: step})
			if p.allRunning(cl) {
				best, most = p.betterRelocation(cl, best, most)
			}
		}
	}
	if best.Run != 0 {
		p.plan.Stops = append(p.plan.Stops, best)
	}
}

// renewMove asks for a stop again until it is done, since the plan before may not
// have reached the VM; false means that it is done. Until then no other task is
// moved: a stop that is carried out late would have two of a step away.
func (p *pass) repeatRelocation(m Relocation) (pending bool) {
	j := p.state.Job(m.Task.Job)
	if j == nil || j.Task(m.Task) == nil {
		return false
	}
	for _, r := range j.Task(m.Task).Runs {
		if r.Number == m.Run {
			p.plan.Stops = append(p.plan.Stops, Stop{m.Task, r.Number, r.VM, ReasonRelocated})
			pending = true
		}
	}
	return pending
}

// allAtWork reports whether each task of a lasting step was at work for a while on
// a VM that answers: a move must not add to what is away.
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

// betterMove returns the move of a task of a step that gains most, if one gains more
// than the best one so far, else that.
func (p *pass) betterRelocation(cl *taskClass, best Stop, most float64) (Stop, float64) {
	for i := range cl.tasks {
		r := cl.tasks[i].Runs[0]
		if gain := p.relocationGain(cl, cl.task(i), r.VM, most); gain > most {
			best, most = Stop{cl.task(i), r.Number, r.VM, ReasonRelocated}, gain
		}
	}
	return best, most
}

// moveGain is how much more room fillers have if a task leaves its VM for the best
// other one, or least if that is not more.
func (p *pass) relocationGain(cl *taskClass, k queue.TaskKey, at rudderfork.VMID, least float64) float64 {
	without := p.vmByID(at).colocationWithout(k)
	stays := p.fillerCapacityLoss(&without, cl.step, cl.image)
	most := least
	for _, v := range p.vms {
		gain := stays - p.fillerCapacityLoss(&v.colocation, cl.step, cl.image)
		if gain > most && p.canMoveTo(cl, k, v) {
			most = gain
		}
	}
	return most
}
