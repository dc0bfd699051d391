package queue

import (
	"maps"
	"slices"

	"rudderfork.example/rudderfork"
)

// Snapshot is the stored form of a State. Restore computes again what can be derived from it.
type Snapshot struct {
	Document *Document          `cbor:"1,keyasint,omitempty"`
	Jobs     []*Job             `cbor:"2,keyasint,omitempty"`
	Ended    []rudderfork.JobID `cbor:"3,keyasint,omitempty"`
	VMs      []*VM              `cbor:"4,keyasint,omitempty"`
	Waves    []*Wave            `cbor:"5,keyasint,omitempty"`
	Clock    Clock              `cbor:"6,keyasint,omitempty"`
	Base     BaseRate           `cbor:"7,keyasint,omitempty"`

	Evacuations []Evacuation `cbor:"8,keyasint,omitempty"`
	Learned     []byte       `cbor:"9,keyasint,omitempty"`
}

// Snapshot returns the stored form of the state. It shares memory with the state.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Document: s.doc, Ended: s.ended, VMs: s.VMs(), Waves: s.waves, Clock: s.clock, Base: s.base, Evacuations: s.Evacuations(), Learned: s.learned}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		snap.Jobs = append(snap.Jobs, s.jobs[id])
	}
	return snap
}

// Restore returns the state that a snapshot was made of. It takes over the memory of the snapshot.
func Restore(snap Snapshot) *State {
	s := New()
	if snap.Document != nil {
		s.setDocument(snap.Document)
	}
	s.ended, s.waves, s.clock, s.base, s.learned = snap.Ended, snap.Waves, snap.Clock, snap.Base, snap.Learned
	for _, e := range snap.Evacuations {
		s.evacuations[e.Domain] = e
	}
	for _, v := range snap.VMs {
		s.setVM(v)
	}
	for _, j := range snap.Jobs {
		s.jobs[j.ID] = j
		s.restoreRuns(j)
		if !j.Status.Final() || j.ActiveRuns > 0 {
			s.live[j.ID] = j
		}
	}
	s.restoreLosses()
	return s
}

func (s *State) restoreRuns(j *Job) {
	for occ, o := range j.Occurrences {
		for step, tasks := range o.Steps {
			for index := range tasks {
				for _, r := range tasks[index].Runs {
					s.indexRun(j, TaskKey{j.ID, occ, step, index}, r)
				}
			}
		}
	}
}

func sortedKeys(m map[TaskKey]uint32) []TaskKey {
	return slices.SortedFunc(maps.Keys(m), TaskKey.Compare)
}
