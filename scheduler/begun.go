package scheduler

import (
	"maps"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// newlyBegun returns the jobs of which a VM has reported a run and that are not marked as begun in
// the replicated state yet. It drops all other jobs from f.begun.
func (f *fleet) newlyBegun(s *queue.State) []rudderfork.JobID {
	maps.DeleteFunc(f.begun, func(id rudderfork.JobID, _ bool) bool {
		j := s.Job(id)
		return j == nil || j.Begun
	})
	return slices.Sorted(maps.Keys(f.begun))
}

// hasBegun reports whether a VM has reported a run of a job that may not be marked as begun in the
// replicated state yet.
func (f *fleet) hasBegun(id rudderfork.JobID) bool { return f.begun[id] }
