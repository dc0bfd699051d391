package queue

import (
	"maps"
	"slices"

	"rudderfork.example/rudderfork"
)

// Image is the content of a snapshot. Restore rebuilds what can be derived from the records.
type Image struct {
	Document *Document          `cbor:"1,keyasint,omitempty"`
	Jobs     []*Job             `cbor:"2,keyasint,omitempty"`
	Ended    []rudderfork.JobID `cbor:"3,keyasint,omitempty"`
	VMs      []*VM              `cbor:"4,keyasint,omitempty"`
	Waves    []*Wave            `cbor:"5,keyasint,omitempty"`
	Clock    Clock              `cbor:"6,keyasint,omitempty"`
	Base     BaseRate           `cbor:"7,keyasint,omitempty"`

	Evacuations []Evacuation `cbor:"8,keyasint,omitempty"`
}

// Image returns the state for a snapshot. It shares memory with the state.
func (s *State) Image() Image {
	im := Image{Document: s.doc, Ended: s.ended, VMs: s.VMs(), Waves: s.waves, Clock: s.clock, Base: s.base, Evacuations: s.Evacuations()}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		im.Jobs = append(im.Jobs, s.jobs[id])
	}
	return im
}

// Restore returns the state of an image.
func Restore(im Image) *State {
	s := New()
	if im.Document != nil {
		s.setDocument(im.Document)
	}
	s.ended, s.waves, s.clock, s.base = im.Ended, im.Waves, im.Clock, im.Base
	for _, e := range im.Evacuations {
		s.evacuations[e.Domain] = e
	}
	for _, v := range im.VMs {
		s.setVM(v)
	}
	for _, j := range im.Jobs {
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
