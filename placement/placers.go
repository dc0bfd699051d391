package placement

import (
	"fmt"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

// maxRejections is the number of rejected VMs that a choice lists.
const maxRejections = 4

// FirstFit chooses the first VM with enough free capacity. It is the baseline of
// benchmarks.
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

// Scored chooses the VM of least cost. The cost grows with the expected slowdown
// of the services there, their pressure, the processors in use and the number of
// tasks of the same kind. An attempt of the task that failed on the VM adds
// most.
type Scored struct {
	interference rudderfork.Interference
}

// NewScored returns a placer that takes the expected slowdowns from model.
func NewScored(model rudderfork.Interference) *Scored { return &Scored{model} }

// The weights of the terms of a cost.
const (
	costSlowdown = 1.0 // for a service whose latency is expected to double
	costPressure = 0.5 // for a service at its target
	costCrowding = 0.3 // for a VM whose processors are all in use
	costSameKind = 0.1 // for each task of the same kind there, up to maxSameKind
	costFailed   = 10  // if an attempt of the task failed there
	maxSameKind  = 3
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
	cost += costSameKind * float64(min(maxSameKind, v.Tasks[t.Kind]))
	reason += fmt.Sprintf("pressure %.2f, %.0f%% of processors taken", v.Pressure, 100*busy)
	if slices.Contains(t.Avoid, v.Place.VM) {
		cost += costFailed
		reason += ", an attempt failed there"
	}
	return cost, reason
}
