package dispatch

import (
	"math"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

const (
	// tailAim is the tail over its objective that fillers are paced to.
	tailAim = 0.80
	// usualTail is assumed of a serving task that was not seen yet, and leastTail
	// is the least that is believed: in a trial, tails without fillers were 0.42
	// of their objective in the mean.
	usualTail = 0.45
	leastTail = 0.30
	// harmless is the effect on the logarithm of a tail below which a filler is
	// not paced.
	harmless = 0.03
	// leastSpeed bounds the cost of a place where a filler would stand still.
	leastSpeed = 0.05
)

// colocation is what shares a VM's processors.
type colocation struct {
	serving []servingTask
	fillers []filler
	whole   float64 // thousandths of a core of the VM
}

type servingTask struct {
	image string
	tail  float64 // over its objective
}

type filler struct {
	image string
	cpu   float64 // thousandths of a core at full speed
	speed float64 // 0 to 1
}

// colocationOn returns what shares a VM, with the starts of this plan.
func (p *planner) colocationOn(vm *queue.VM) *colocation {
	if c := p.shared[vm.ID]; c != nil {
		return c
	}
	c := &colocation{whole: float64(max(1, vm.Capacity.CPUMilli))}
	for k := range vm.Runs() {
		c.add(p.stepOf(k), p.view.Runs[k])
	}
	p.shared[vm.ID] = c
	return c
}

// add notes a run of a step; the zero view stands for one that was not seen yet.
func (c *colocation) add(st queue.Step, run RunView) {
	cpu := float64(st.Size.CPUMilli)
	switch {
	case st.Filler:
		c.fillers = append(c.fillers, filler{st.Image, cpu, 1 - float64(run.Held)/100})
	case st.TailMS > 0:
		tail := usualTail
		if run.Load > 0 {
			tail = max(leastTail, float64(run.Load)/float64(st.TailMS))
		}
		c.serving = append(c.serving, servingTask{st.Image, tail})
	}
}

// speed is what a filler can expect on the VM, 0 to 1: what the serving tasks'
// tails leave room for. (Idle processors did not bind in trials: fillers worked
// at full speed on VMs whose processors were all asked for.)
func (c *colocation) speed(st queue.Step, effect func(serving, filler string) float64) float64 {
	cpu := float64(max(1, st.Size.CPUMilli))
	speed := 1.0
	for _, s := range c.serving {
		harm := effect(s.image, st.Image) * cpu / c.whole
		if harm < harmless {
			continue
		}
		speed = min(speed, max(0, math.Log(tailAim/s.tail))/harm)
	}
	return speed
}

// fillerCost weighs a VM for a filler: how many times as long it takes there.
func (p *planner) fillerCost(st queue.Step, vm *queue.VM) float64 {
	return 1/max(leastSpeed, p.colocationOn(vm).speed(st, p.view.Effect)) - 1
}

// servingCost weighs a VM for a serving task: serving tasks of one image are
// packed together, so that every filler finds VMs whose tasks it leaves alone,
// and kept apart from fillers that harm them.
func (p *planner) servingCost(st queue.Step, vm *queue.VM) float64 {
	c := p.colocationOn(vm)
	cost := costEmpty
	if len(c.serving) > 0 {
		others := 0
		for _, s := range c.serving {
			if s.image != st.Image {
				others++
			}
		}
		cost = costOthers * float64(others) / float64(len(c.serving))
	}
	for _, f := range c.fillers {
		cost += max(0, p.view.Effect(st.Image, f.image)) * f.cpu * f.speed / c.whole
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
		if p.colocationOn(vm).speed(j.Spec.Steps[k.Step], p.view.Effect) >= moveSpeed {
			return true
		}
	}
	return false
}
