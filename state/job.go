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
	Open        int                 `cbor:"4,keyasint"` // tasks that are not final
	Running     int                 `cbor:"5,keyasint"` // tasks that hold capacity
	Done        int                 `cbor:"6,keyasint"`
	Failed      int                 `cbor:"7,keyasint"`
	Blocked     string              `cbor:"8,keyasint,omitempty"` // why it can never run
	FinishedAt  int64               `cbor:"9,keyasint,omitempty"`
	Revision    rudderfork.Revision `cbor:"10,keyasint"`
}

// Task is one task of a job.
type Task struct {
	ID         rudderfork.TaskID      `cbor:"1,keyasint"`
	Job        rudderfork.JobID       `cbor:"2,keyasint"`
	Index      int                    `cbor:"3,keyasint"`
	Phase      rudderfork.TaskPhase   `cbor:"4,keyasint"`
	VM         rudderfork.VMID        `cbor:"5,keyasint,omitempty"` // while it holds capacity
	Token      rudderfork.Token       `cbor:"6,keyasint"`           // of the newest lease
	Size       rudderfork.Resources   `cbor:"7,keyasint"`           // of that lease
	Checkpoint int64                  `cbor:"8,keyasint,omitempty"` // units done
	Failures   int                    `cbor:"9,keyasint,omitempty"`
	Avoid      []rudderfork.VMID      `cbor:"10,keyasint,omitempty"`
	Evictions  int                    `cbor:"11,keyasint,omitempty"`
	Cancel     bool                   `cbor:"12,keyasint,omitempty"`
	Since      int64                  `cbor:"13,keyasint"` // start of the phase, Unix ms
	Decisions  []Decision             `cbor:"14,keyasint,omitempty"`
	Revision   rudderfork.Revision    `cbor:"15,keyasint"`
	Blocked    string                 `cbor:"16,keyasint,omitempty"`
	Waiting    []rudderfork.Rejection `cbor:"17,keyasint,omitempty"`
}

// Decision is one thing decided about a task, kept for explanations.
type Decision struct {
	At         int64                  `cbor:"1,keyasint" json:"at"` // Unix ms
	What       string                 `cbor:"2,keyasint" json:"what"`
	VM         rudderfork.VMID        `cbor:"3,keyasint,omitempty" json:"vm,omitempty"`
	Reason     string                 `cbor:"4,keyasint,omitempty" json:"reason,omitempty"`
	Rejections []rudderfork.Rejection `cbor:"5,keyasint,omitempty" json:"rejections,omitempty"`
	TableRev   rudderfork.Revision    `cbor:"6,keyasint,omitempty" json:"table_revision,omitempty"`
	Revision   rudderfork.Revision    `cbor:"7,keyasint" json:"revision"`
	Token      rudderfork.Token       `cbor:"8,keyasint,omitempty" json:"token,omitempty"`
}

const (
	// keepDecisions bounds the decisions remembered for a task.
	keepDecisions = 8
	// keepFinished bounds the finished jobs remembered.
	keepFinished = 2000
	// keepAvoid bounds the VMs that a task avoids.
	keepAvoid = 4
)

// Submit adds a job. Submitted again with the same spec it gets the same answer.
type Submit struct {
	Spec rudderfork.JobSpec `cbor:"1,keyasint"`
}

// Cancel ends a job; its running tasks stop.
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

// cancel costs one step for each task of the job.
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

// setPhase moves t to phase and keeps every count and index in step.
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
		s.hold(t, j)
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

func (s *State) hold(t *Task, j *Job) {
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

// finishJob remembers a job that has ended, and forgets the oldest of those.
func (s *State) finishJob(j *Job, at int64) {
	if j.Open > 0 {
		return
	}
	j.FinishedAt = at
	s.finished = append(s.finished, j.Spec.ID)
	if len(s.finished) <= keepFinished {
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
		delete(s.cells, k) // agents forget a finished job's row by its absence from leases
	}
	delete(s.jobs, id)
}

// TasksOf returns a job's tasks in their order.
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

// JobCell reads a cell of a job's row.
func (s *State) JobCell(id rudderfork.JobID, column string) int64 {
	return s.Value(rudderfork.CellKey{Kind: rudderfork.RowJob, Row: string(id), Column: column})
}

// JobSize is the size that the job's row gives each of its tasks.
func (s *State) JobSize(id rudderfork.JobID) rudderfork.Resources {
	return rudderfork.Resources{
		CPUMilli:     s.JobCell(id, rudderfork.ColCPU),
		MemoryMB:     s.JobCell(id, rudderfork.ColMemory),
		Accelerators: s.JobCell(id, rudderfork.ColAccelerators),
	}
}

// Quota is what a team's row allows its tasks to hold.
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

// Leases returns what a VM is to run, in the order of tasks.
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
