package state

import (
	"cmp"
	"fmt"
	"slices"

	"rudderfork.example/rudderfork"
)

// Job is a submitted batch job.
type Job struct {
	Spec        rudderfork.JobSpec  `cbor:"1,keyasint"`
	SubmittedAt int64               `cbor:"2,keyasint"` // Unix ms
	Cancelled   bool                `cbor:"3,keyasint,omitempty"`
	Open        int                 `cbor:"4,keyasint"`           // number of tasks that are not in a final phase
	Running     int                 `cbor:"5,keyasint"`           // number of tasks that hold capacity
	Done        int                 `cbor:"6,keyasint"`           // number of tasks done
	Failed      int                 `cbor:"7,keyasint"`           // number of tasks that failed for good
	Blocked     string              `cbor:"8,keyasint,omitempty"` // why no VM can run it; empty if one can
	FinishedAt  int64               `cbor:"9,keyasint,omitempty"` // when Open became 0, Unix ms
	Revision    rudderfork.Revision `cbor:"10,keyasint"`          // of its submission
}

// Task is one task of a job.
type Task struct {
	ID         rudderfork.TaskID      `cbor:"1,keyasint"`
	Job        rudderfork.JobID       `cbor:"2,keyasint"`
	Index      int                    `cbor:"3,keyasint"`
	Phase      rudderfork.TaskPhase   `cbor:"4,keyasint"`
	VM         rudderfork.VMID        `cbor:"5,keyasint,omitempty"`  // on which it holds capacity; empty if none
	Token      rudderfork.Token       `cbor:"6,keyasint"`            // of the newest lease; 0 if it never had one
	Size       rudderfork.Resources   `cbor:"7,keyasint"`            // of that lease
	Checkpoint int64                  `cbor:"8,keyasint,omitempty"`  // units of work done at its last checkpoint
	Failures   int                    `cbor:"9,keyasint,omitempty"`  // number of failed attempts
	Avoid      []rudderfork.VMID      `cbor:"10,keyasint,omitempty"` // VMs on which attempts failed, newest last
	Evictions  int                    `cbor:"11,keyasint,omitempty"` // number of attempts stopped on request
	Cancel     bool                   `cbor:"12,keyasint,omitempty"` // its job was cancelled while it held capacity
	Since      int64                  `cbor:"13,keyasint"`           // start of the phase, Unix ms
	Decisions  []Decision             `cbor:"14,keyasint,omitempty"` // the last maxDecisions, oldest first
	Revision   rudderfork.Revision    `cbor:"15,keyasint"`           // of the last change of the phase
	Blocked    string                 `cbor:"16,keyasint,omitempty"` // unused
	Waiting    []rudderfork.Rejection `cbor:"17,keyasint,omitempty"` // unused
}

// Decision is one decision about a task, kept to explain its state to operators.
type Decision struct {
	At         int64                  `cbor:"1,keyasint" json:"at"`   // Unix ms
	What       string                 `cbor:"2,keyasint" json:"what"` // what was decided, for example "placed" or "evicting"
	VM         rudderfork.VMID        `cbor:"3,keyasint,omitempty" json:"vm,omitempty"`
	Reason     string                 `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
	Rejections []rudderfork.Rejection `cbor:"5,keyasint,omitempty" json:"rejections,omitempty"`
	TableRev   rudderfork.Revision    `cbor:"6,keyasint,omitempty" json:"table_revision,omitempty"` // of the table at that time
	Revision   rudderfork.Revision    `cbor:"7,keyasint" json:"revision"`
	Token      rudderfork.Token       `cbor:"8,keyasint,omitempty" json:"token,omitempty"` // of the task's newest lease
}

const (
	// maxDecisions is the number of decisions kept for a task.
	maxDecisions = 8
	// maxFinishedJobs is the number of finished jobs kept.
	maxFinishedJobs = 2000
	// maxAvoidedVMs is the maximum length of Task.Avoid.
	maxAvoidedVMs = 4
)

// Submit adds a job. Submitting it again with the same spec returns the revision of
// the first submission.
type Submit struct {
	Spec rudderfork.JobSpec `cbor:"1,keyasint"`
}

// Cancel cancels a job and stops its running tasks.
type Cancel struct {
	Job rudderfork.JobID `cbor:"1,keyasint"`
}

func (s *State) submit(c Submit, at int64) Result {
	spec := c.Spec
	if err := spec.Check(); err != nil {
		return s.reject(CodeInvalid, "%v", err)
	}
	if old := s.jobs[spec.ID]; old != nil {
		if !sameSpec(old.Spec, spec) {
			return s.reject(CodeConflict, "job %s exists with another spec", spec.ID)
		}
		r := s.ok()
		r.Revision, r.Repeated = old.Revision, true
		return r
	}
	if spec.Attempts == 0 {
		spec.Attempts = rudderfork.DefaultAttempts
	}
	for col, v := range spec.Cells {
		k := rudderfork.CellKey{Kind: rudderfork.RowJob, Row: string(spec.ID), Column: col}
		s.setCell(rudderfork.Cell{Key: k, Value: v, Revision: s.revision})
	}
	s.jobs[spec.ID] = &Job{Spec: spec, SubmittedAt: at, Open: spec.Tasks, Revision: s.revision}
	for i := range spec.Tasks {
		t := &Task{ID: taskID(spec.ID, i), Job: spec.ID, Index: i, Since: at}
		s.tasks[t.ID] = t
		s.setPhase(t, rudderfork.TaskPending, at)
	}
	return s.ok()
}

func taskID(j rudderfork.JobID, i int) rudderfork.TaskID {
	return rudderfork.TaskID(fmt.Sprintf("%s/%d", j, i))
}

func sameSpec(a, b rudderfork.JobSpec) bool {
	if b.Attempts == 0 {
		b.Attempts = rudderfork.DefaultAttempts
	}
	same := a.Team == b.Team && a.Kind == b.Kind && a.Tasks == b.Tasks && a.Units == b.Units && a.Attempts == b.Attempts
	for col, v := range b.Cells {
		same = same && a.Cells[col] == v
	}
	return same && len(a.Cells) == len(b.Cells)
}

// cancel goes through all tasks of the job, so its cost is proportional to their
// number.
func (s *State) cancel(c Cancel, at int64) Result {
	j := s.jobs[c.Job]
	if j == nil {
		return s.reject(CodeNotFound, "job %s is unknown", c.Job)
	}
	if j.Cancelled || j.Open == 0 {
		return s.ok()
	}
	j.Cancelled = true
	for i := range j.Spec.Tasks {
		t := s.tasks[taskID(c.Job, i)]
		switch {
		case t.Phase == rudderfork.TaskPending:
			s.setPhase(t, rudderfork.TaskCancelled, at)
		case t.Phase.Holds():
			t.Cancel = true
			s.setPhase(t, rudderfork.TaskEvicting, at)
		}
	}
	return s.ok()
}

// setPhase changes the phase of t and updates all counts and indexes. To start a
// task, t.VM and t.Size must be set before.
func (s *State) setPhase(t *Task, phase rudderfork.TaskPhase, at int64) {
	j := s.jobs[t.Job]
	was := t.Phase
	t.Phase, t.Since, t.Revision = phase, at, s.revision
	delete(s.pending, t.ID)
	if phase == rudderfork.TaskPending {
		s.pending[t.ID] = t
	}
	if v := s.vms[t.VM]; v != nil {
		v.Revision = s.revision
	}
	if was.Holds() && !phase.Holds() {
		s.release(t, j)
	}
	if !was.Holds() && phase.Holds() {
		s.allocate(t, j)
	}
	switch phase {
	case rudderfork.TaskDone:
		j.Done++
	case rudderfork.TaskFailed:
		j.Failed++
	}
	if phase.Final() {
		j.Open--
		s.finishJob(j, at)
	}
}

func (s *State) allocate(t *Task, j *Job) {
	v := s.vms[t.VM]
	v.Used = v.Used.Add(t.Size)
	s.usage[j.Spec.Team] = s.usage[j.Spec.Team].Add(t.Size)
	if s.onVM[t.VM] == nil {
		s.onVM[t.VM] = map[rudderfork.TaskID]*Task{}
	}
	s.onVM[t.VM][t.ID] = t
	j.Running++
}

func (s *State) release(t *Task, j *Job) {
	v := s.vms[t.VM]
	v.Used = v.Used.Sub(t.Size)
	s.usage[j.Spec.Team] = s.usage[j.Spec.Team].Sub(t.Size)
	delete(s.onVM[t.VM], t.ID)
	t.VM = ""
	j.Running--
}

// finishJob records the end of a job that has no open tasks, and removes the
// oldest finished job if too many are kept.
func (s *State) finishJob(j *Job, at int64) {
	if j.Open > 0 {
		return
	}
	j.FinishedAt = at
	s.finished = append(s.finished, j.Spec.ID)
	if len(s.finished) <= maxFinishedJobs {
		return
	}
	s.forgetJob(s.finished[0])
	s.finished = s.finished[1:]
}

func (s *State) forgetJob(id rudderfork.JobID) {
	for i := range s.jobs[id].Spec.Tasks {
		delete(s.tasks, taskID(id, i))
	}
	for _, c := range rudderfork.Columns(rudderfork.RowJob) {
		k := rudderfork.CellKey{Kind: rudderfork.RowJob, Row: string(id), Column: c.Name}
		delete(s.cells, k) // without a removed cell in its place, since agents don't receive the rows of jobs
	}
	delete(s.jobs, id)
}

// TasksOf returns a job's tasks in the order of their indexes.
func (s *State) TasksOf(id rudderfork.JobID) []*Task {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	ts := make([]*Task, 0, j.Spec.Tasks)
	for i := range j.Spec.Tasks {
		ts = append(ts, s.tasks[taskID(id, i)])
	}
	return ts
}

// JobCell returns the value of a cell of a job's row.
func (s *State) JobCell(id rudderfork.JobID, column string) int64 {
	return s.Value(rudderfork.CellKey{Kind: rudderfork.RowJob, Row: string(id), Column: column})
}

// JobSize returns the size of each task of a job, from the job's row.
func (s *State) JobSize(id rudderfork.JobID) rudderfork.Resources {
	return rudderfork.Resources{
		CPUMilli:     s.JobCell(id, rudderfork.ColCPU),
		MemoryMB:     s.JobCell(id, rudderfork.ColMemory),
		Accelerators: s.JobCell(id, rudderfork.ColAccelerators),
	}
}

// Quota returns the maximum capacity that a team's tasks may hold together, from the
// team's row.
func (s *State) Quota(t rudderfork.Team) rudderfork.Resources {
	cell := func(col string) int64 {
		return s.Value(rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: string(t), Column: col})
	}
	return rudderfork.Resources{
		CPUMilli:     cell(rudderfork.ColCPU),
		MemoryMB:     cell(rudderfork.ColMemory),
		Accelerators: cell(rudderfork.ColAccelerators),
	}
}

// Leases returns the leases of the tasks on a VM, in the order of task IDs.
func (s *State) Leases(vm rudderfork.VMID) []rudderfork.Lease {
	ls := make([]rudderfork.Lease, 0, len(s.onVM[vm]))
	for _, t := range s.onVM[vm] {
		j := s.jobs[t.Job]
		ls = append(ls, rudderfork.Lease{
			Task: t.ID, Token: t.Token, Size: t.Size, Kind: j.Spec.Kind,
			Checkpoint: t.Checkpoint, Units: j.Spec.Units,
			Stop: t.Phase == rudderfork.TaskEvicting, Discard: t.Cancel,
			Weight: s.JobCell(t.Job, rudderfork.ColWeight),
		})
	}
	slices.SortFunc(ls, func(a, b rudderfork.Lease) int { return cmp.Compare(a.Task, b.Task) })
	return ls
}
