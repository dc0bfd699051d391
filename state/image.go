package state

import (
	"math"

	"github.com/fxamacker/cbor/v2"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/queue"
)

// image is the form of the state in a snapshot. Counts and indexes that follow
// from the records are left out and made anew.
type image struct {
	Revision   rudderfork.Revision `cbor:"1,keyasint"`
	TableRev   rudderfork.Revision `cbor:"2,keyasint"`
	Cells      []rudderfork.Cell   `cbor:"3,keyasint"`
	Edits      []editRecord        `cbor:"4,keyasint"`
	VMs        []*VM               `cbor:"5,keyasint"`
	Jobs       []*Job              `cbor:"6,keyasint"`
	Tasks      []*Task             `cbor:"7,keyasint"`
	Finished   []rudderfork.JobID  `cbor:"8,keyasint"`
	Claims     []*Claim            `cbor:"9,keyasint"`
	ClaimQueue []claimExpiry       `cbor:"10,keyasint"`
	Upstreams  rudderfork.Revision `cbor:"11,keyasint"`
	Queues     queue.Image         `cbor:"12,keyasint"`
}

// Encode returns the state as CBOR.
func (s *State) Encode() (data []byte, err error) {
	defer errs.Annotate(&err, "encode state")
	im := image{
		Revision: s.revision, TableRev: s.tableRev,
		Cells: s.CellsAfter(0), Edits: s.edits.records(),
		VMs: s.VMs(), Jobs: s.Jobs(), Tasks: sorted(s.tasks),
		Finished: s.finished, ClaimQueue: s.claimQueue, Upstreams: s.upstreamRev,
		Queues: s.queues.Image(),
	}
	for _, c := range s.claims {
		im.Claims = append(im.Claims, c)
	}
	return cbor.Marshal(im)
}

// Decode is the inverse of Encode. No data is the empty state.
func Decode(data []byte) (s *State, err error) {
	defer errs.Annotate(&err, "decode state")
	s = New()
	if len(data) == 0 {
		return s, nil
	}
	dec, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		return nil, err
	}
	var im image
	if err := dec.Unmarshal(data, &im); err != nil {
		return nil, err
	}
	s.restore(im)
	return s, nil
}

func (s *State) restore(im image) {
	s.revision, s.tableRev = im.Revision, im.TableRev
	s.finished, s.claimQueue = im.Finished, im.ClaimQueue
	s.upstreamRev = im.Upstreams
	s.queues = queue.Restore(im.Queues)
	for _, c := range im.Cells {
		s.cells[c.Key] = c
	}
	for _, r := range im.Edits {
		s.edits.put(r)
	}
	for _, v := range im.VMs {
		s.vms[v.Place.VM] = v
	}
	for _, j := range im.Jobs {
		s.jobs[j.Spec.ID] = j
	}
	for _, c := range im.Claims {
		s.claims[c.Key] = c
	}
	for _, t := range im.Tasks {
		s.restoreTask(t)
	}
}

func (s *State) restoreTask(t *Task) {
	s.tasks[t.ID] = t
	if t.Phase == rudderfork.TaskPending {
		s.pending[t.ID] = t
	}
	if !t.Phase.Holds() {
		return
	}
	if s.onVM[t.VM] == nil {
		s.onVM[t.VM] = map[rudderfork.TaskID]*Task{}
	}
	s.onVM[t.VM][t.ID] = t
	team := s.jobs[t.Job].Spec.Team
	s.usage[team] = s.usage[team].Add(t.Size)
}
