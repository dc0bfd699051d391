package state

import (
	"math"

	"github.com/fxamacker/cbor/v2"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/queue"
)

// snapshot is the encoded form of the state. Counts and indexes that can be
// derived from the records are left out and computed again by restore.
type snapshot struct {
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
	Queues     queue.Snapshot      `cbor:"12,keyasint"`
}

// Encode returns the state as CBOR.
func (s *State) Encode() (data []byte, err error) {
	defer errs.Annotate(&err, "encode state")
	snap := snapshot{
		Revision: s.revision, TableRev: s.tableRev,
		Cells: s.CellsAfter(0), Edits: s.edits.records(),
		VMs: s.VMs(), Jobs: s.Jobs(), Tasks: sorted(s.tasks),
		Finished: s.finished, ClaimQueue: s.claimQueue, Upstreams: s.upstreamRev,
		Queues: s.queues.Snapshot(),
	}
	for _, c := range s.claims {
		snap.Claims = append(snap.Claims, c)
	}
	return cbor.Marshal(snap)
}

// Decode is the inverse of Encode. Without data it returns an empty state.
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
	var snap snapshot
	if err := dec.Unmarshal(data, &snap); err != nil {
		return nil, err
	}
	s.restore(snap)
	return s, nil
}

func (s *State) restore(snap snapshot) {
	s.revision, s.tableRev = snap.Revision, snap.TableRev
	s.finished, s.claimQueue = snap.Finished, snap.ClaimQueue
	s.upstreamRev = snap.Upstreams
	s.queues = queue.Restore(snap.Queues)
	for _, c := range snap.Cells {
		s.cells[c.Key] = c
	}
	for _, r := range snap.Edits {
		s.edits.put(r)
	}
	for _, v := range snap.VMs {
		s.vms[v.Place.VM] = v
	}
	for _, j := range snap.Jobs {
		s.jobs[j.Spec.ID] = j
	}
	for _, c := range snap.Claims {
		s.claims[c.Key] = c
	}
	for _, t := range snap.Tasks {
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
