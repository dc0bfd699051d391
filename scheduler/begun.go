package scheduler

import (
	"maps"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// newlyBegun returns the jobs that a VM's account shows to have begun and that the state
// does not have as begun, and forgets the others.
func (f *fleet) newlyBegun(s *queue.State) []rudderfork.JobID {
	maps.DeleteFunc(f.begun, func(id rudderfork.JobID, _ bool) bool {
		j := s.Job(id)
		return j == nil || j.Begun
	})
	return slices.Sorted(maps.Keys(f.begun))
}

// hasBegun reports whether a VM's account shows a job to have begun.
func (f *fleet) hasBegun(id rudderfork.JobID) bool { return f.begun[id] }
