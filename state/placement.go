package state

import (
	"fmt"
	"slices"

	"rudderfork.example/rudderfork"
)

// Placement assigns a pending task to a VM.
type Placement struct {
	Task       rudderfork.TaskID      `cbor:"1,keyasint"`
	VM         rudderfork.VMID        `cbor:"2,keyasint"`
	Epoch      rudderfork.Token       `cbor:"3,keyasint"` // epoch of the VM when the placement was decided
	Token      rudderfork.Token       `cbor:"4,keyasint"` // token of the task's newest lease at that time; 0 if it never had one
	Size       rudderfork.Resources   `cbor:"5,keyasint"`
	Reason     string                 `cbor:"6,keyasint,omitempty"`
	Rejections []rudderfork.Rejection `cbor:"7,keyasint,omitempty"`
}

// Place is a batch of placements, and of changes of Job.Blocked. Each placement is
// accepted or rejected on its own.
type Place struct {
	Placements []Placement `cbor:"1,keyasint"`
	Blocked    []Block     `cbor:"2,keyasint,omitempty"`
}

// blameTaskAfterVMs is the number of VMs on which a task must have failed before
// its further failures no longer count against the VMs.
const blameTaskAfterVMs = 2

// Block sets the reason why no VM can run a job; an empty reason clears it.
type Block struct {
	Job    rudderfork.JobID `cbor:"1,keyasint"`
	Reason string           `cbor:"2,keyasint"`
}

// Evict makes tasks checkpoint, stop and become pending again.
type Evict struct {
	Evictions []Eviction `cbor:"1,keyasint"`
}

// Eviction is one task to evict.
type Eviction struct {
	Task   rudderfork.TaskID `cbor:"1,keyasint"`
	Token  rudderfork.Token  `cbor:"2,keyasint"`
	Reason string            `cbor:"3,keyasint"`
}

// Reports carries the outcomes of attempts on one VM.
type Reports struct {
	VM      rudderfork.VMID     `cbor:"1,keyasint"`
	Reports []rudderfork.Report `cbor:"2,keyasint"`
}

func (s *State) place(p Place, at int64) Result {
	r := s.ok()
	r.Placed = make([]bool, len(p.Placements))
	for i, pl := range p.Placements {
		if err := s.checkPlacement(pl, at); err != nil {
			r.Text = err.Error()
			continue
		}
		s.startAttempt(pl, at)
		r.Placed[i] = true
	}
	for _, b := range p.Blocked {
		if j := s.jobs[b.Job]; j != nil {
			j.Blocked = b.Reason
		}
	}
	return r
}

// checkPlacement checks a placement against the present state, since it may have
// been decided on an older one. No task starts without passing it.
func (s *State) checkPlacement(p Placement, at int64) error {
	t, v := s.tasks[p.Task], s.vms[p.VM]
	switch {
	case t == nil || t.Phase != rudderfork.TaskPending || t.Token != p.Token:
		return fmt.Errorf("task %s is not pending at token %d", p.Task, p.Token)
	case v == nil || !v.Live || v.Epoch != p.Epoch:
		return fmt.Errorf("VM %s is not live at epoch %d", p.VM, p.Epoch)
	case v.Draining:
		return fmt.Errorf("VM %s is leaving", p.VM)
	case v.Excluded(at):
		return fmt.Errorf("VM %s is set aside", p.VM)
	case v.OnProbation() && len(s.onVM[p.VM]) > 0:
		return fmt.Errorf("VM %s is on probation with a task", p.VM)
	}
	if part := p.Size.Lacking(v.FreeCapacity()); part != "" {
		return fmt.Errorf("VM %s lacks %s for task %s", p.VM, part, p.Task)
	}
	return s.checkLimits(t, p.Size)
}

// checkLimits checks the team's quota and the job's limit of running tasks.
func (s *State) checkLimits(t *Task, size rudderfork.Resources) error {
	j := s.jobs[t.Job]
	if part := s.usage[j.Spec.Team].Add(size).Lacking(s.Quota(j.Spec.Team)); part != "" {
		return fmt.Errorf("team %s is at its quota of %s", j.Spec.Team, part)
	}
	if int64(j.Running) >= s.JobCell(t.Job, rudderfork.ColMaxRunning) {
		return fmt.Errorf("job %s is at its limit of running tasks", t.Job)
	}
	return nil
}

// CheckLimits returns an error if a limit of its team or job keeps a pending task
// of the given size from starting now.
func (s *State) CheckLimits(t *Task, size rudderfork.Resources) error { return s.checkLimits(t, size) }

func (s *State) startAttempt(p Placement, at int64) {
	t := s.tasks[p.Task]
	t.VM, t.Size = p.VM, p.Size
	t.Token++
	s.setPhase(t, rudderfork.TaskRunning, at)
	s.recordDecision(t, Decision{At: at, What: "placed", VM: p.VM, Reason: p.Reason, Rejections: p.Rejections})
}

func (s *State) recordDecision(t *Task, d Decision) {
	d.Revision, d.TableRev, d.Token = s.revision, s.tableRev, t.Token
	t.Decisions = append(t.Decisions, d)
	if len(t.Decisions) > maxDecisions {
		t.Decisions = slices.Delete(t.Decisions, 0, 1)
	}
}

func (s *State) evict(e Evict, at int64) Result {
	for _, ev := range e.Evictions {
		t := s.tasks[ev.Task]
		if t == nil || t.Phase != rudderfork.TaskRunning || t.Token != ev.Token {
			continue
		}
		s.setPhase(t, rudderfork.TaskEvicting, at)
		s.recordDecision(t, Decision{At: at, What: "evicting", VM: t.VM, Reason: ev.Reason})
	}
	return s.ok()
}

// applyReports accepts each report once: when it is sent again, the token no longer
// matches or the task no longer holds a lease.
func (s *State) applyReports(rs Reports, at int64) Result {
	res := s.ok()
	res.Accepted = make([]bool, len(rs.Reports))
	for i, r := range rs.Reports {
		t := s.tasks[r.Task]
		if t == nil || !t.Phase.Holds() || t.Token != r.Token || t.VM != rs.VM {
			continue
		}
		s.applyReport(t, r, at)
		res.Accepted[i] = true
	}
	return res
}

func (s *State) applyReport(t *Task, r rudderfork.Report, at int64) {
	v, j := s.vms[t.VM], s.jobs[t.Job]
	t.Checkpoint = max(t.Checkpoint, min(r.Checkpoint, j.Spec.Units))
	switch r.Outcome {
	case rudderfork.OutcomeDone:
		v.recordSuccess()
		s.recordDecision(t, Decision{At: at, What: "done", VM: t.VM})
		t.Checkpoint = j.Spec.Units
		s.setPhase(t, rudderfork.TaskDone, at)
	case rudderfork.OutcomeFailed:
		s.failAttempt(t, v, j, r.Reason, at)
	case rudderfork.OutcomeStopped:
		t.Evictions++
		s.endAttempt(t, r.Reason, at)
	default:
		s.endAttempt(t, r.Reason, at)
	}
}

func (s *State) failAttempt(t *Task, v *VM, j *Job, reason string, at int64) {
	if len(t.Avoid) < blameTaskAfterVMs {
		v.recordFailure(t.Job, at)
	}
	t.Failures++
	if !slices.Contains(t.Avoid, t.VM) {
		t.Avoid = append(t.Avoid, t.VM)
	}
	if len(t.Avoid) > maxAvoidedVMs {
		t.Avoid = t.Avoid[1:]
	}
	if t.Failures >= j.Spec.Attempts && !t.Cancel {
		s.recordDecision(t, Decision{At: at, What: "failed", VM: t.VM, Reason: reason})
		s.setPhase(t, rudderfork.TaskFailed, at)
		return
	}
	s.endAttempt(t, reason, at)
}

// endAttempt releases a task's capacity and makes the task pending again, or
// cancelled if its job was.
func (s *State) endAttempt(t *Task, reason string, at int64) {
	next, what := rudderfork.TaskPending, "freed"
	if t.Cancel {
		next, what = rudderfork.TaskCancelled, "cancelled"
	}
	s.recordDecision(t, Decision{At: at, What: what, VM: t.VM, Reason: reason})
	s.setPhase(t, next, at)
}
