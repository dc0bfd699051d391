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
	// freshMS is how long a filler runs until the headrooms show it.
	freshMS = 1_000
)

// colocation is what shares a VM's processors.
type colocation struct {
	serving []company // by image
	fillers []filler
	whole   float64 // thousandths of a core of the VM
	idle    float64 // of these, what fillers may use together beside those there
	spare   float64 // what they may use if none were there

	open []float64 // openness, by the image of a further serving task, none first
}

// company is the serving tasks of one image on a VM.
type company struct {
	image    int
	tasks    int
	headroom float64 // the least
	room     float64 // what a further filler may take of it; see weigh
}

type filler struct {
	image int
	cpu   float64 // thousandths of a core at full speed
	speed float64 // 0 to 1
	fresh bool    // the headrooms do not show it yet
}

func newColocation(capacity rudderfork.Resources) colocation {
	whole := float64(max(1, capacity.CPUMilli))
	return colocation{whole: whole, idle: whole * pace.MaxUtilization, spare: whole * pace.MaxUtilization}
}

// add notes a run of a step; the zero view stands for one that was not seen yet.
// Rooms are right again after weigh.
func (c *colocation) add(st *queue.Step, image int, run RunView, fresh bool) {
	c.open = nil
	cpu := float64(st.Size.CPUMilli)
	switch {
	case st.Filler:
		speed := 1 - float64(run.PacedDownPercent)/100
		c.fillers = append(c.fillers, filler{image, cpu, speed, fresh})
		c.idle -= cpu * speed
	case st.TailMS > 0:
		headroom := usualHeadroom
		if run.Load > 0 {
			// (Places by the headroom ahead, not by the last figure alone, and by expected run
			// times: on 25 days of 62 VMs, pairs of one seed, serving tasks were 971 s over
			// their objectives for 1,190 s, and earned 0.785 of their worth for 0.738,
			// fillers 0.44 for 0.432.)
			headroom = min(pace.Headroom(st.TailMS, run.Load)+run.ForecastHeadroomChange, pace.MaxHeadroom)
		}
		c.join(image, headroom)
		c.idle -= cpu * pace.ServingUtilization
		c.spare -= cpu * pace.ServingUtilization
	default:
		c.idle -= cpu
		c.spare -= cpu
	}
}

// join notes a serving task.
func (c *colocation) join(image int, headroom float64) {
	for i := range c.serving {
		if s := &c.serving[i]; s.image == image {
			s.tasks++
			s.headroom = min(s.headroom, headroom)
			return
		}
	}
	c.serving = append(c.serving, company{image: image, tasks: 1, headroom: headroom})
}

// weigh works out what a further filler may take from the serving tasks, by the
// plan's pressures.
func (c *colocation) weigh(p *planner) {
	for i := range c.serving {
		s := &c.serving[i]
		s.room = s.headroom - leftHeadroom
		for _, f := range c.fillers {
			if f.fresh {
				s.room -= p.pressure(s.image, f.image) * f.cpu * f.speed / c.whole
			}
		}
	}
}

// others returns the part of the VM's serving tasks that are of other images.
func (c *colocation) others(image int) float64 {
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
func (c *colocation) speed(p *planner, st *queue.Step, image int) float64 {
	cpu := float64(max(1, st.Size.CPUMilli))
	speed := min(1, max(0, c.idle)/cpu)
	for i := range c.serving {
		s := &c.serving[i]
		harm := p.pressure(s.image, image) * cpu / c.whole
		if harm < pace.NegligibleImpact {
			continue
		}
		speed = min(speed, max(0, s.room)/harm)
	}
	return speed
}

// fillerCost weighs a VM for a filler: how many times as long it takes there.
func (p *planner) fillerCost(cl *class, v *vmNote) float64 {
	return 1/max(leastSpeed, v.colocation.speed(p, cl.step, cl.image)) - 1
}

// worthless reports whether a filler had better wait than begin on the best VM
// there is: many that crawl side by side end later than few at full speed.
func (p *planner) worthless(cl *class, v *vmNote) bool {
	if !cl.step.Filler || v.colocation.speed(p, cl.step, cl.image) >= startSpeed {
		return false
	}
	return !p.mayCrawl(cl)
}

// mayCrawl reports whether a filler is to begin however slow: a job of which nothing
// runs is not kept waiting for long.
func (p *planner) mayCrawl(cl *class) bool {
	idleSince := max(cl.job.SubmittedAt, cl.note.lastEnd)
	return cl.job.ActiveRuns+p.started[cl.job.ID] == 0 && p.view.Now-idleSince >= waitMS
}

// servingCost weighs a VM for a serving task: where it takes least room from the
// fillers that are wanted, beside its own image while little is known of others, and
// apart from the fillers there that harm it.
func (p *planner) servingCost(cl *class, v *vmNote) float64 {
	cost := costShadow * p.shadow(&v.colocation, cl.step, cl.image)
	if len(v.colocation.serving) > 0 {
		cost += costOthers * v.colocation.others(cl.image)
	} else {
		cost += costEmpty
	}
	for _, f := range v.colocation.fillers {
		cost += p.pressure(cl.image, f.image) * f.cpu * f.speed / v.colocation.whole
	}
	return cost - packing*v.full
}

// suits reports whether a filler can begin on a VM, and would not crawl there.
func (p *planner) suits(cl *class, v *vmNote) bool {
	return p.able(cl, v) && v.colocation.speed(p, cl.step, cl.image) >= startSpeed
}

// betterPlace reports whether a filler that is held back would work well
// elsewhere.
func (p *planner) betterPlace(cl *class, k queue.TaskKey) bool {
	if p.crawls(cl) {
		return false
	}
	if slices.ContainsFunc(p.vms, func(v *vmNote) bool { return p.suits(cl, v) && !cl.runsOn(k, v) }) {
		return true
	}
	p.noteSlow(cl)
	return false
}

// openness is the part of the fillers that are wanted that a VM's serving tasks
// bear, 0 to 1, with a further one of an image (noImage for none).
func (p *planner) openness(c *colocation, image int) float64 {
	if c.open == nil {
		c.open = unasked(len(p.images.names) + 1)
	}
	if known := c.open[image+1]; !math.IsNaN(known) {
		return known
	}
	open := 0.0
	for filler, part := range p.demand() {
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
		open += part / (1 + most*most/(heavyPressure*heavyPressure))
	}
	c.open[image+1] = open
	return open
}
