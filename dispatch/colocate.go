package dispatch

import (
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

const (
	// usualHeadroom is assumed of a serving task that was not seen yet: in a
	// trial, tails without fillers were 0.42 of their objective in the mean, and
	// a little is taken off.
	usualHeadroom = 2.2
	// startSpeed is the least speed at which a filler begins while others of its
	// job run; waitMS is how long a job may have nothing running for that reason
	// (the users look after 3 s).
	startSpeed = 0.8
	waitMS     = 1_000
	// leftHeadroom is what a filler must leave a serving task at its place: more
	// than package pace leaves it, since loads swing while the filler works, and
	// since it works at full speed until its first pace holds.
	leftHeadroom = 1.3
	// leastSpeed bounds the cost of a place where a filler would stand still.
	leastSpeed = 0.05
)

// colocation is what shares a VM's processors.
type colocation struct {
	serving []company // by image
	fillers []filler
	whole   float64 // thousandths of a core of the VM
	idle    float64 // of these, what fillers may use together beside those there
	spare   float64 // what they may use if none were there

	open map[string]float64 // openness, by the image of a further serving task
}

// company is the serving tasks of one image on a VM.
type company struct {
	image    string
	tasks    int
	headroom float64 // the least
}

// freshMS is how long a filler runs until the headrooms show it.
const freshMS = 1_000

type filler struct {
	image string
	cpu   float64 // thousandths of a core at full speed
	speed float64 // 0 to 1
	fresh bool    // the headrooms do not show it yet
}

// colocationOn returns what shares a VM, with the starts of this plan.
func (p *planner) colocationOn(vm *queue.VM) *colocation {
	if c := p.shared[vm.ID]; c != nil {
		return c
	}
	c := p.colocationWithout(vm, queue.TaskKey{})
	p.shared[vm.ID] = c
	return c
}

// colocationWithout returns what shares a VM but for one task, without the starts
// of this plan.
func (p *planner) colocationWithout(vm *queue.VM, but queue.TaskKey) *colocation {
	whole := float64(max(1, vm.Capacity.CPUMilli))
	c := &colocation{whole: whole, idle: whole * pace.MostUsed, spare: whole * pace.MostUsed}
	for k, number := range vm.Runs() {
		if k == but {
			continue
		}
		run, seen := p.view.Runs[k.Run(number)]
		c.add(p.stepOf(k), run, !seen || p.view.Now-run.SeenAt < freshMS)
	}
	return c
}

// add notes a run of a step; the zero view stands for one that was not seen yet.
func (c *colocation) add(st queue.Step, run RunView, fresh bool) {
	cpu := float64(st.Size.CPUMilli)
	switch {
	case st.Filler:
		speed := 1 - float64(run.Held)/100
		c.fillers = append(c.fillers, filler{st.Image, cpu, speed, fresh})
		c.idle -= cpu * speed
	case st.TailMS > 0:
		headroom := usualHeadroom
		if run.Load > 0 {
			headroom = min(pace.Headroom(st.TailMS, run.Load), pace.MostHeadroom)
		}
		c.join(st.Image, headroom)
		c.idle -= cpu * pace.ServingUse
		c.spare -= cpu * pace.ServingUse
	default:
		c.idle -= cpu
		c.spare -= cpu
	}
}

// join notes a serving task.
func (c *colocation) join(image string, headroom float64) {
	c.open = nil
	i := slices.IndexFunc(c.serving, func(s company) bool { return s.image == image })
	if i < 0 {
		c.serving = append(c.serving, company{image, 1, headroom})
		return
	}
	c.serving[i].tasks++
	c.serving[i].headroom = min(c.serving[i].headroom, headroom)
}

// others returns the part of the VM's serving tasks that are of other images.
func (c *colocation) others(image string) float64 {
	others, all := 0, 0
	for _, s := range c.serving {
		all += s.tasks
		if s.image != image {
			others += s.tasks
		}
	}
	return float64(others) / float64(max(1, all))
}

// speed is what a filler can expect on the VM, 0 to 1: what is idle and what the
// serving tasks' headrooms leave. Package pace has the limits.
func (c *colocation) speed(st queue.Step, pressure pace.Pressures) float64 {
	cpu := float64(max(1, st.Size.CPUMilli))
	speed := min(1, max(0, c.idle)/cpu)
	for _, s := range c.serving {
		harm := pressure(s.image, st.Image) * cpu / c.whole
		if harm < pace.Harmless {
			continue
		}
		room := s.headroom - leftHeadroom
		for _, f := range c.fillers {
			if f.fresh {
				room -= pressure(s.image, f.image) * f.cpu * f.speed / c.whole
			}
		}
		speed = min(speed, max(0, room)/harm)
	}
	return speed
}

// fillerCost weighs a VM for a filler: how many times as long it takes there.
func (p *planner) fillerCost(st queue.Step, vm *queue.VM) float64 {
	return 1/max(leastSpeed, p.colocationOn(vm).speed(st, p.pressure)) - 1
}

// worthless reports whether a filler had better wait than begin on the best VM
// there is: many that crawl side by side end later than few at full speed. A job
// of which nothing runs is not kept waiting for long.
func (p *planner) worthless(j *queue.Job, k queue.TaskKey, vm *queue.VM) bool {
	st := j.Spec.Steps[k.Step]
	if !st.Filler || p.colocationOn(vm).speed(st, p.pressure) >= startSpeed {
		return false
	}
	idleSince := max(j.SubmittedAt, p.lastEnd(j))
	return j.ActiveRuns+p.started[j.ID] > 0 || p.view.Now-idleSince < waitMS
}

// lastEnd is when a run of the job ended last.
func (p *planner) lastEnd(j *queue.Job) (last int64) {
	for _, o := range j.Times {
		for _, tasks := range o.Steps {
			for i := range tasks {
				last = max(last, tasks[i].EndedAt)
			}
		}
	}
	return last
}

// servingCost weighs a VM for a serving task: where it takes least room from the
// fillers that are wanted, beside its own image while little is known of others, and
// apart from the fillers there that harm it.
func (p *planner) servingCost(st queue.Step, vm *queue.VM) float64 {
	c := p.colocationOn(vm)
	cost := costShadow * p.shadow(c, st)
	if len(c.serving) > 0 {
		cost += costOthers * c.others(st.Image)
	} else {
		cost += costEmpty
	}
	for _, f := range c.fillers {
		cost += p.pressure(st.Image, f.image) * f.cpu * f.speed / c.whole
	}
	return cost - packing*p.fullness(vm)
}

// betterPlace reports whether a filler that is held back would work well
// elsewhere.
func (p *planner) betterPlace(j *queue.Job, k queue.TaskKey, at rudderfork.VMID) bool {
	for _, vm := range p.vms {
		if vm.ID == at || p.obstacle(j, k, vm) != "" {
			continue
		}
		if p.colocationOn(vm).speed(j.Spec.Steps[k.Step], p.pressure) >= moveSpeed {
			return true
		}
	}
	return false
}
