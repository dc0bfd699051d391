package scheduler

import (
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
)

// stoppedPercent is by how many percent a filler is paced down from which on it counts as stopped.
const stoppedPercent = 95

// observeOverload updates since when the serving tasks of a VM have been overloaded, if speeds are
// learned.
func (f *fleet) observeOverload(s *queue.State, vm *queue.VM, v *vmInfo, now time.Time) {
	if f.speeds == nil || !v.heartbeat.Measured {
		return
	}
	fillersWork := false
	for k, r := range v.runs {
		j := s.Job(k.Job)
		fillersWork = fillersWork || j != nil && j.Spec.Steps[k.Step].Filler && r.status.PacedDownPercent < stoppedPercent
	}
	for k, r := range v.runs {
		if vm.Runs()[k] != r.status.Run {
			continue
		}
		step := &s.Job(k.Job).Spec.Steps[k.Step]
		overloaded := step.TailMS > 0 && r.status.Percent == fullPercent && !fillersWork && pace.Headroom(step.TailMS, r.status.Load) < 1
		key := k.Run(r.status.Run)
		if !overloaded {
			delete(f.overloadedSince, key)
		} else if f.overloadedSince[key] == 0 {
			f.overloadedSince[key] = rudderfork.Millis(now)
		}
	}
}

// recordSlowRelocation remembers a relocation from a slow VM that a plan orders for the first time.
func (f *fleet) recordSlowRelocation(stop dispatch.Stop, now time.Time) {
	same := func(m dispatch.Relocation) bool { return m.Task == stop.Task && m.Run == stop.Run }
	if stop.Reason == dispatch.ReasonTooSlow && !slices.ContainsFunc(f.slowRelocations, same) {
		f.slowRelocations = append(f.slowRelocations, dispatch.Relocation{Task: stop.Task, Run: stop.Run, At: rudderfork.Millis(now)})
	}
}

// pendingSlowRelocations drops the relocations from slow VMs that are complete, and returns the others.
func (f *fleet) pendingSlowRelocations(s *queue.State, now time.Time) []dispatch.Relocation {
	f.slowRelocations = slices.DeleteFunc(f.slowRelocations, func(m dispatch.Relocation) bool {
		j := s.Job(m.Task.Job)
		if m.InProgress(rudderfork.Millis(now)) || j == nil || j.Task(m.Task) == nil {
			return j == nil
		}
		_, active := j.Task(m.Task).Run(m.Run)
		return !active
	})
	return f.slowRelocations
}

// isRelocating reports whether a run is being relocated, at now, Unix ms.
func (f *fleet) isRelocating(k queue.TaskKey, run uint32, now int64) bool {
	covers := func(m dispatch.Relocation) bool { return m.Covers(k, run, now) }
	return covers(f.lastRelocation) || slices.ContainsFunc(f.slowRelocations, covers)
}
