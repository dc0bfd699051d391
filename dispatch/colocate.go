package dispatch

import (
	"math"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

const (
	// defaultHeadroom is the headroom assumed for a serving task without a measurement.
	// Without fillers, tail latencies are 0.42 of their objectives on average, a headroom
	// of 2.4.
	defaultHeadroom = 2.2
	// minStartSpeed is the lowest speed, as a share of full speed, at which a filler starts
	// while other runs of its job are active. maxSlowWaitMS is how long a job without runs
	// waits for that speed, ms: users consider a job forgotten after 3 s without runs.
	minStartSpeed = 0.8
	maxSlowWaitMS = 1_000
	// placementHeadroom is the headroom that a filler must leave a serving task when it is
	// placed. It exceeds pace.TargetHeadroom, because loads change while the filler works
	// and because it works at full speed until it is paced for the first time.
	placementHeadroom = 1.3
	// minSpeed is the lowest speed of a filler that costs and remaining times are computed
	// with, so that they stay finite where a filler would stand still.
	minSpeed = 0.05
	// headroomDelayMS is how long a filler runs before the measured headrooms reflect it.
	headroomDelayMS = 1_000
)

// colocation describes the tasks that share a VM's processors.
type colocation struct {
	serving  []servingGroup // by image
	fillers  []filler
	totalCPU float64 // of the VM, thousandths of a core
	idleCPU  float64 // available to further fillers, thousandths of a core
	spareCPU float64 // available to fillers if none ran, thousandths of a core

	tolerance []float64 // cached fillerTolerance; index 0 is noImage, then by image
}

// servingGroup is the serving tasks of one image on a VM.
type servingGroup struct {
	image    int
	tasks    int
	headroom float64 // lowest headroom of the tasks
	slack    float64 // headroom that a further filler may take; see updateSlack
}

// filler is a running filler, or one that the plan starts.
type filler struct {
	image      int
	cpu        float64 // CPU use at full speed, thousandths of a core
	speed      float64 // 0 to 1
	unmeasured bool    // the measured headrooms do not reflect it yet
}

func newColocation(capacity rudderfork.Resources) colocation {
	total := float64(max(1, capacity.CPUMilli))
	return colocation{totalCPU: total, idleCPU: total * pace.MaxUtilization, spareCPU: total * pace.MaxUtilization}
}

// add adds a run of a step. A zero RunView stands for a run without a report. The caller
// must call updateSlack afterwards.
func (c *colocation) add(st *queue.Step, image int, run RunView, unmeasured bool) {
	c.tolerance = nil
	cpu := float64(st.Size.CPUMilli)
	switch {
	case st.Filler:
		speed := 1 - float64(run.PacedDownPercent)/100
		c.fillers = append(c.fillers, filler{image, cpu, speed, unmeasured})
		c.idleCPU -= cpu * speed
	case st.TailMS > 0:
		headroom := defaultHeadroom
		if run.Load > 0 {
			// Only the forecast keeps fillers from starting where the measured headroom is
			// about to shrink.
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

// addServing adds a serving task to the group of its image.
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

// updateSlack computes the headroom that a further filler may take from the serving tasks:
// what exceeds placementHeadroom, less what unmeasured fillers take by the plan's pressures.
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

// otherImagesShare returns the share of the VM's serving tasks that are of other images.
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

// fillerSpeed returns the speed, 0 to 1, that a filler of an image can expect on the VM.
// It is limited by the idle processors and by the slack of the serving tasks, as the speeds
// that package pace sets.
func (c *colocation) fillerSpeed(p *pass, st *queue.Step, image int) float64 {
	cpu := float64(max(1, st.Size.CPUMilli))
	speed := min(1, max(0, c.idleCPU)/cpu)
	for i := range c.serving {
		s := &c.serving[i]
		impact := p.pressure(s.image, image) * cpu / c.totalCPU
		if impact < pace.NegligibleImpact {
			continue
		}
		speed = min(speed, max(0, s.slack)/impact)
	}
	return speed
}

// fillerSpeed returns the speed, 0 to 1, that a filler of a class can expect on a VM.
func (p *pass) fillerSpeed(cl *taskClass, v *vmState) float64 {
	return v.colocation.fillerSpeed(p, cl.step, cl.image) * v.speed
}

// fillerCost returns the cost of a VM for a filler: by how much the work takes longer
// there, as a multiple of its time at full speed.
func (p *pass) fillerCost(cl *taskClass, v *vmState) float64 {
	return 1/max(minSpeed, p.fillerSpeed(cl, v)) - 1
}

// tooSlowToStart reports whether a filler should wait rather than start on v, its best VM,
// since many slow fillers side by side end later than a few at full speed. It is false for
// other tasks.
func (p *pass) tooSlowToStart(cl *taskClass, v *vmState) bool {
	if !cl.step.Filler || p.fillerSpeed(cl, v) >= minStartSpeed {
		return false
	}
	return !p.mayStartSlow(cl)
}

// mayStartSlow reports whether a filler may start at any speed, since its job has had no
// runs for maxSlowWaitMS.
func (p *pass) mayStartSlow(cl *taskClass) bool {
	idleSince := max(cl.job.SubmittedAt, cl.js.lastEndedAt)
	return cl.job.ActiveRuns+p.started[cl.job.ID] == 0 && p.view.Now-idleSince >= maxSlowWaitMS
}

// servingCost returns the cost of a VM for a serving task. It is low where the task takes
// little capacity from waiting and running fillers, beside serving tasks of its own image
// (the effects of others may not be known yet), away from fillers that slow it down, and on
// VMs that are nearly full.
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

// canRunWell reports whether a filler can start on a VM at minStartSpeed or more.
func (p *pass) canRunWell(cl *taskClass, v *vmState) bool {
	return p.isFeasible(cl, v) && p.fillerSpeed(cl, v) >= minStartSpeed
}

// hasBetterVM reports whether a filler that is paced down can start on another VM at
// minStartSpeed or more.
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

// fillerTolerance returns the share of the fillers' remaining work, 0 to 1, that the serving
// tasks of a VM tolerate. A further serving task of an image is assumed there unless image
// is noImage. The tolerance for fillers of one image falls with the highest pressure that
// they have on these serving tasks.
func (p *pass) fillerTolerance(c *colocation, image int) float64 {
	if c.tolerance == nil {
		c.tolerance = unknowns(len(p.images.names) + 1)
	}
	if known := c.tolerance[image+1]; !math.IsNaN(known) {
		return known
	}
	tolerated := 0.0
	for filler, part := range p.fillerDemand() {
		if part == 0 {
			continue
		}
		highest := 0.0
		if image != noImage {
			highest = p.pressure(image, filler)
		}
		for i := range c.serving {
			highest = max(highest, p.pressure(c.serving[i].image, filler))
		}
		tolerated += part / (1 + highest*highest/(halfTolerancePressure*halfTolerancePressure))
	}
	c.tolerance[image+1] = tolerated
	return tolerated
}
