package placement

import (
	"cmp"
	"fmt"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/state"
)

// preempt evicts tasks of lower priority for an urgent task, on the VM where the
// least work is lost. Capacity that evictions in progress will free counts as
// free, so that a task doesn't cause evictions twice.
func (p *Planner) preempt(r *round, t rudderfork.TaskView) {
	var best []*state.Task
	bestLost := int64(-1)
	for _, v := range r.vms {
		if !t.Size.Fits(v.Capacity.Sub(v.vm.Reserved)) {
			continue
		}
		victims, lost, ok := p.victims(r, v, t)
		if ok && len(victims) == 0 {
			return // evictions in progress free enough capacity
		}
		if ok && (bestLost < 0 || lost < bestLost) {
			best, bestLost = victims, lost
		}
	}
	for _, victim := range best {
		reason := fmt.Sprintf("urgent task %s (priority %d) needs the room; of the ways considered this loses least work, %d units", t.ID, t.Priority, bestLost)
		r.evict(victim, reason)
	}
}

// victims returns the tasks to evict on v so that t fits, those with the least
// unsaved work first, and the sum of their unsaved work in units. ok is false if t
// doesn't fit even then.
func (p *Planner) victims(r *round, v *view, t rudderfork.TaskView) (ts []*state.Task, lost int64, ok bool) {
	free := v.Free
	var lower []*state.Task
	for _, o := range r.s.TasksOn(v.Place.VM) {
		switch {
		case o.Phase == rudderfork.TaskEvicting || r.evicted(o.ID):
			free = free.Add(o.Size)
		case r.s.JobCell(o.Job, rudderfork.ColPriority) < t.Priority:
			lower = append(lower, o)
		}
	}
	slices.SortFunc(lower, func(a, b *state.Task) int {
		return cmp.Or(cmp.Compare(p.usage.UnsavedWork(a.ID), p.usage.UnsavedWork(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	for _, o := range lower {
		if t.Size.Fits(free) {
			break
		}
		free = free.Add(o.Size)
		lost += p.usage.UnsavedWork(o.ID)
		ts = append(ts, o)
	}
	return ts, lost, t.Size.Fits(free)
}

func (r *round) evicted(id rudderfork.TaskID) bool {
	return slices.ContainsFunc(r.plan.Evict.Evictions, func(e state.Eviction) bool { return e.Task == id })
}
