package dispatch

import (
	"math"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

const (
	// usualHeadroom is assumed of a serving task that was not seen yet: in a
	// trial, tails without fillers were 0.42 of their objective in the mean, and
	// a little is taken off.
	defaultHeadroom = 2.2
	// startSpeed is the least speed at which a filler begins while others of its
	// job run; waitMS is how long a job may have nothing running for that reason
	// (the users look after 3 s).
	minStartSpeed = 0.8
	maxSlowWaitMS = 1_000
	// leftHeadroom is what a filler must leave a serving task at its place: more
	// than package pace leaves it, since loads swing while the filler works, and
	// since it works at full speed until its first pace holds.
	placementHeadroom = 1.3
	// leastSpeed bounds the cost of a place where a filler would stand still.
	minSpeed = 0.05
	// freshMS is how long a filler runs until the headrooms show it.
	headroomDelayMS = 1_000
)

// colocation is what shares a VM's processors.
type colocation struct {
	serving  []servingGroup // by image
	fillers  []filler
	totalCPU float64 // thousandths of a core of the VM
	idleCPU  float64 // of these, what fillers may use together beside those there
	spareCPU float64 // what they may use if none were there

	tolerance []float64 // openness, by the image of a further serving task, none first
}

// company is the serving tasks of one image on a VM.
type servingGroup struct {
	image    int
	tasks    int
	headroom float64 // the least
	slack    float64 // what a further filler may take of it; see weigh
}

type filler struct {
	image      int
	cpu        float64 // thousandths of a core at full speed
	speed      float64 // 0 to 1
	unmeasured bool    // the headrooms do not show it yet
}

func newColocation(capacity rudderfork.Resources) colocation {
	whole := float64(max(1, capacity.CPUMilli))
	return colocation{totalCPU: whole, idleCPU: whole * pace.MaxUtilization, spareCPU: whole * pace.MaxUtilization}
}

// add notes a run of a step; the zero view stands for one that was not seen yet.
// Rooms are right again after weigh.
func (c *colocation) add(st *queue.Step, image int, run RunView, fresh bool) {
	c.tolerance = nil
	cpu := float64(st.Size.CPUMilli)
	switch {
	case st.Filler:
		speed := 1 - float64(run.PacedDownPercent)/100
		c.fillers = append(c.fillers, filler{image, cpu, speed, fresh})
		c.idleCPU -= cpu * speed
	case st.TailMS > 0:
		headroom := defaultHeadroom
		if run.Load > 0 {
			// (Places by the headroom ahead, not by the last figure alone, and by expected run
			// times: on 25 days of 62 VMs, pairs of one seed, serving tasks were 971 s over
			// their objectives for 1,190 s, and earned 0.785 of their worth for 0.738,
			// fillers 0.44 for 0.432.)
			headroom = min(pace.Headroom(st.TailMS, run.Load)+run.ForecastHeadroomChange, pace.MaxHeadroom)
		}
		c.addServing(image, headroom)
		c.idleCPU -= cpu * pace.ServingUtilization
		c.spareCPU -= cpu * pace.ServingUtilization
	default:
		c.idleCPU -= cpu
		c.spareCPU -= cpu
	}
}

// join notes a serving task.
func (c *colocation) addServing(image int, headroom float64) {
	for i := range c.serving {
		if s := &c.serving[i]; s.image == image {
			s.tasks++
			s.headroom = min(s.headroom, headroom)
			return
		}
	}
	c.serving = append(c.serving, servingGroup{image: image, tasks: 1, headroom: headroom})
}

// weigh works out what a further filler may take from the serving tasks, by the
// plan's pressures.
func (c *colocation) updateSlack(p *pass) {
	for i := range c.serving {
		s := &c.serving[i]
		s.slack = s.headroom - placementHeadroom
		for _, f := range c.fillers {
			if f.unmeasured {
				s.slack -= p.pressure(s.image, f.image) * f.cpu * f.speed / c.totalCPU
			}
		}
	}
}

// others returns the part of the VM's serving tasks that are of other images.
func (c *colocation) otherImagesShare(image int) float64 {
	others, all := 0, 0
	for i := range c.serving {
		all += c.serving[i].tasks
		if c.serving[i].image != image {
			others += c.serving[i].tasks
		}
	}
	return float64(others) / float64(max(1, all))
}

// speed is what a filler of an image can expect on the VM, 0 to 1: what is idle and
// what the serving tasks' headrooms leave. Package pace has the limits.
func (c *colocation) fillerSpeed(p *pass, st *queue.Step, image int) float64 {
	cpu := float64(max(1, st.Size.CPUMilli))
	speed := min(1, max(0, c.idleCPU)/cpu)
	for i := range c.serving {
		s := &c.serving[i]
		harm := p.pressure(s.image, image) * cpu / c.totalCPU
		if harm < pace.NegligibleImpact {
			continue
		}
		speed = min(speed, max(0, s.slack)/harm)
	}
	return speed
}

// fillerCost weighs a VM for a filler: how many times as long it takes there.
func (p *pass) fillerCost(cl *taskClass, v *vmState) float64 {
	return 1/max(minSpeed, v.colocation.fillerSpeed(p, cl.step, cl.image)) - 1
}

// worthless reports whether a filler had better wait than begin on the best VM
// there is: many that crawl side by side end later than few at full speed.
func (p *pass) tooSlowToStart(cl *taskClass, v *vmState) bool {
	if !cl.step.Filler || v.colocation.fillerSpeed(p, cl.step, cl.image) >= minStartSpeed {
		return false
	}
	return !p.mayStartSlow(cl)
}

// mayCrawl reports whether a filler is to begin however slow: a job of which nothing
// runs is not kept waiting for long.
func (p *pass) mayStartSlow(cl *taskClass) bool {
	idleSince := max(cl.job.SubmittedAt, cl.state.lastEndedAt)
	return cl.job.ActiveRuns+p.started[cl.job.ID] == 0 && p.view.Now-idleSince >= maxSlowWaitMS
}

// servingCost weighs a VM for a serving task: where it takes least room from the
// fillers that are wanted, beside its own image while little is known of others, and
// apart from the fillers there that harm it.
func (p *pass) servingCost(cl *taskClass, v *vmState) float64 {
	cost := costFillerLoss * p.fillerCapacityLoss(&v.colocation, cl.step, cl.image)
	if len(v.colocation.serving) > 0 {
		cost += costOtherImages * v.colocation.otherImagesShare(cl.image)
	} else {
		cost += costNoServing
	}
	for _, f := range v.colocation.fillers {
		cost += p.pressure(cl.image, f.image) * f.cpu * f.speed / v.colocation.totalCPU
	}
	return cost - packingBonus*v.utilization
}

// suits reports whether a filler can begin on a VM, and would not crawl there.
func (p *pass) canRunWell(cl *taskClass, v *vmState) bool {
	return p.isFeasible(cl, v) && v.colocation.fillerSpeed(p, cl.step, cl.image) >= minStartSpeed
}

// betterPlace reports whether a filler that is held back would work well
// elsewhere.
func (p *pass) hasBetterVM(cl *taskClass, k queue.TaskKey) bool {
	if p.isSlowEverywhere(cl) {
		return false
	}
	if slices.ContainsFunc(p.vms, func(v *vmState) bool { return p.canRunWell(cl, v) && !cl.runsOn(k, v) }) {
		return true
	}
	p.recordSlowEverywhere(cl)
	return false
}

// openness is the part of the fillers that are wanted that a VM's serving tasks
// bear, 0 to 1, with a further one of an image (noImage for none).
func (p *pass) fillerTolerance(c *colocation, image int) float64 {
	if c.tolerance == nil {
		c.tolerance = unknowns(len(p.images.names) + 1)
	}
	if known := c.tolerance[image+1]; !math.IsNaN(known) {
		return known
	}
	open := 0.0
	for filler, part := range p.fillerDemand() {
		if part == 0 {
			continue
		}
		most := 0.0
		if image != noImage {
			most = p.pressure(image, filler)
		}
		for i := range c.serving {
			most = max(most, p.pressure(c.serving[i].image, filler))
		}
		open += part / (1 + most*most/(halfTolerancePressure*halfTolerancePressure))
	}
	c.tolerance[image+1] = open
	return open
}
