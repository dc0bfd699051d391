// Package state is the replicated state machine: the table, jobs and tasks,
// VMs with the capacity that their tasks use, the queues, and the claims of
// requests that must run at most once.
//
// It is changed only by Apply, which every replica calls with the same commands
// in the same order. Apply is deterministic: it reads no clock and no random
// numbers, and the leader puts its time into the command. Apply checks each
// command against the present state, because the leader may have decided it on
// an older one. So competing leaders and late messages cannot break these
// invariants:
//
//   - the sum of the sizes of a VM's tasks never exceeds its capacity less what
//     is reserved for its services (checkPlacement);
//   - a task holds at most one lease, and its fencing token rises with each
//     lease (startAttempt);
//   - a task leaves its VM only by a report that carries its current token, or
//     when the VM's lease has expired (applyReports, recordLoss);
//   - an edit changes a cell only if the cell has the revision that the edit names
//     (applyEdit).
//
// Records are plain data with exported fields, since they are sent and stored as
// CBOR. Callers must not change the records that they get.
package state

import (
	"maps"
	"slices"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	revision rudderfork.Revision // index of the last applied log entry
	tableRev rudderfork.Revision // revision of the newest change of a cell
	cells    map[rudderfork.CellKey]rudderfork.Cell
	edits    *editHistory

	vms      map[rudderfork.VMID]*VM
	jobs     map[rudderfork.JobID]*Job
	tasks    map[rudderfork.TaskID]*Task
	finished []rudderfork.JobID                              // oldest first, bounded by maxFinishedJobs
	usage    map[rudderfork.Team]rudderfork.Resources        // sum of the sizes of the tasks that hold capacity
	onVM     map[rudderfork.VMID]map[rudderfork.TaskID]*Task // tasks that hold capacity, by VM
	pending  map[rudderfork.TaskID]*Task                     // tasks in phase TaskPending

	upstreamRev rudderfork.Revision // see UpstreamRevision

	queues *queue.State

	claims     map[ClaimKey]*Claim
	claimQueue []claimExpiry // in the order in which the claims were first granted
}

// New returns an empty state.
func New() *State {
	return &State{
		cells:   map[rudderfork.CellKey]rudderfork.Cell{},
		edits:   newEditHistory(),
		vms:     map[rudderfork.VMID]*VM{},
		jobs:    map[rudderfork.JobID]*Job{},
		tasks:   map[rudderfork.TaskID]*Task{},
		usage:   map[rudderfork.Team]rudderfork.Resources{},
		onVM:    map[rudderfork.VMID]map[rudderfork.TaskID]*Task{},
		pending: map[rudderfork.TaskID]*Task{},
		claims:  map[ClaimKey]*Claim{},
		queues:  queue.New(),
	}
}

// Applied returns the index of the last applied log entry.
func (s *State) Applied() rudderfork.Revision { return s.revision }

// Skip records that the log entry at index was applied, and that it has no command.
func (s *State) Skip(index uint64) { s.revision = rudderfork.Revision(index) }

// Apply applies the command of the log entry at index.
func (s *State) Apply(index uint64, c Command) Result {
	s.revision = rudderfork.Revision(index)
	switch {
	case c.Edit != nil:
		return s.applyEdit(*c.Edit)
	case c.Submit != nil:
		return s.submit(*c.Submit, c.At)
	case c.Cancel != nil:
		return s.cancel(*c.Cancel, c.At)
	case c.Register != nil:
		return s.register(*c.Register)
	case c.Lost != nil:
		return s.recordLoss(*c.Lost, c.At)
	case c.Drain != nil:
		return s.drain(*c.Drain)
	case c.Place != nil:
		return s.place(*c.Place, c.At)
	case c.Evict != nil:
		return s.evict(*c.Evict, c.At)
	case c.Reports != nil:
		return s.applyReports(*c.Reports, c.At)
	case c.Claim != nil:
		return s.claim(*c.Claim, c.At)
	case c.Settle != nil:
		return s.settle(*c.Settle, c.At)
	case c.Queue != nil:
		res := s.ok()
		res.Queue = s.queues.Apply(*c.Queue, c.At)
		return res
	}
	return s.reject(CodeInvalid, "the command is empty")
}

// Queues returns the state of the queues.
func (s *State) Queues() *queue.State { return s.queues }

// VMs returns all VMs in the order of their names.
func (s *State) VMs() []*VM { return sorted(s.vms) }

// UpstreamRevision returns the revision of the last change of a VM's
// registration, drain or loss, on which the list of upstreams depends.
func (s *State) UpstreamRevision() rudderfork.Revision { return s.upstreamRev }

// VM returns a VM, or nil if it is unknown.
func (s *State) VM(id rudderfork.VMID) *VM { return s.vms[id] }

// Jobs returns all jobs in the order of their names.
func (s *State) Jobs() []*Job { return sorted(s.jobs) }

// Job returns a job, or nil if it is unknown.
func (s *State) Job(id rudderfork.JobID) *Job { return s.jobs[id] }

// Task returns a task, or nil if it is unknown.
func (s *State) Task(id rudderfork.TaskID) *Task { return s.tasks[id] }

// Pending returns the tasks that wait for a placement.
func (s *State) Pending() map[rudderfork.TaskID]*Task { return s.pending }

// TasksOn returns the tasks that hold capacity on a VM.
func (s *State) TasksOn(vm rudderfork.VMID) map[rudderfork.TaskID]*Task { return s.onVM[vm] }

// Usage returns the sum of the sizes of a team's tasks that hold capacity.
func (s *State) Usage(t rudderfork.Team) rudderfork.Resources { return s.usage[t] }

func sorted[K ~string, V any](m map[K]V) []V {
	vs := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		vs = append(vs, m[k])
	}
	return vs
}
