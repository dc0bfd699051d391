package placement

import (
	"fmt"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

// maxRejections bounds what an explanation lists besides the choice.
const maxRejections = 4

// FirstFit takes the first VM with room. It is the baseline.
type FirstFit struct{}

// Place implements rudderfork.Placer.
func (FirstFit) Place(t rudderfork.TaskView, vms []rudderfork.VMView, _ time.Time) (c rudderfork.Choice, ok bool) {
	for _, v := range vms {
		if t.Size.Fits(v.Free) {
			return rudderfork.Choice{VM: v.Place.VM, Reason: "first VM with room"}, true
		}
	}
	return rudderfork.Choice{}, false
}

// Scored takes the VM of least cost: what the task is expected to slow the
// services there, what it would crowd, and whether it failed there before.
type Scored struct {
	interference rudderfork.Interference
}

// NewScored returns a placer that asks model how much kinds slow services.
func NewScored(model rudderfork.Interference) *Scored { return &Scored{model} }

// The weights of the parts of a cost. docs/DECISIONS.md gives the measurement
// that chose each.
const (
	costSlowdown = 1.0 // for a service expected to take twice as long
	costPressure = 0.5 // for a service at its target
	costCrowding = 0.3 // for a VM without free processors
	costAlike    = 0.1 // for each task of the same kind there, at most three
	costFailed   = 10  // where an attempt of the task failed
	maxAlike     = 3
)

// Place implements rudderfork.Placer.
func (p *Scored) Place(t rudderfork.TaskView, vms []rudderfork.VMView, now time.Time) (c rudderfork.Choice, ok bool) {
	type scored struct {
		vm     rudderfork.VMID
		cost   float64
		reason string
	}
	var all []scored
	for _, v := range vms {
		if t.Size.Fits(v.Free) {
			cost, reason := p.cost(t, v, now)
			all = append(all, scored{v.Place.VM, cost, reason})
		}
	}
	if len(all) == 0 {
		return c, false
	}
	slices.SortStableFunc(all, func(a, b scored) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	c.VM = all[0].vm
	c.Reason = fmt.Sprintf("least cost %.2f of %d VMs with room: %s", all[0].cost, len(all), all[0].reason)
	for _, o := range all[1:min(len(all), 1+maxRejections)] {
		c.Rejections = append(c.Rejections, rudderfork.Rejection{
			VM: o.vm, Reason: fmt.Sprintf("cost %.2f: %s", o.cost, o.reason),
		})
	}
	return c, true
}

func (p *Scored) cost(t rudderfork.TaskView, v rudderfork.VMView, now time.Time) (cost float64, reason string) {
	for _, s := range v.Services {
		factor, stderr := p.interference.Slowdown(s, t.Kind, now)
		slow := max(0, factor+stderr-1)
		cost += costSlowdown * slow
		reason += fmt.Sprintf("%s slows %s by %.0f%% ± %.0f%%, ", t.Kind, s, 100*(factor-1), 100*stderr)
	}
	cost += costPressure * v.Pressure
	busy := 1 - float64(v.Free.CPUMilli-t.Size.CPUMilli)/float64(max(1, v.Capacity.CPUMilli))
	cost += costCrowding * busy
	cost += costAlike * float64(min(maxAlike, v.Tasks[t.Kind]))
	reason += fmt.Sprintf("pressure %.2f, %.0f%% of processors taken", v.Pressure, 100*busy)
	if slices.Contains(t.Avoid, v.Place.VM) {
		cost += costFailed
		reason += ", an attempt failed there"
	}
	return cost, reason
}
