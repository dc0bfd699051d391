package scheduler

import (
	"maps"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// newlyBegun returns the jobs of which a VM has reported a run and that the state does not have
// as begun yet, and drops the others.
func (f *fleet) newlyBegun(s *queue.State) []rudderfork.JobID {
	maps.DeleteFunc(f.begun, func(id rudderfork.JobID, _ bool) bool {
		j := s.Job(id)
		return j == nil || j.Begun
	})
	return slices.Sorted(maps.Keys(f.begun))
}

// hasBegun reports whether a VM has reported a run of a job that the state does not have as
// begun yet.
func (f *fleet) hasBegun(id rudderfork.JobID) bool { return f.begun[id] }
