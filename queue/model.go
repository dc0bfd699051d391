// Package queue is the replicated state of the job queues: submitted jobs, their steps and tasks,
// the runs of those tasks on VMs, and the operator's document that defines the queues.
//
// A job is a list of steps. A step is a number of equal tasks and may wait for earlier steps. A
// task runs on a VM under a run number that rises with each start, until one run ends with
// OutcomeDone. State changes only in Apply, which every replica calls with the same commands in the
// same order; it reads no clock and no randomness. Since a command may have been decided on an older
// state, Apply checks it again, so that these rules hold:
//
//   - a task has at most one active run, or two where its step allows copies;
//   - no run starts after its task is done or its job has a final status;
//   - no run starts if the VM's active runs would then take more than the VM's
//     capacity, and a run that is being stopped counts until its end is known;
//   - a run ends only by an end that its own VM reports, by a new incarnation of
//     that VM's executor, or when the VM is lost (VMLoss): its lease has run out
//     or its executor has shut down.
//
// These terms for tasks recur in the code. A lasting task (Step.Lasting) is restarted until its job
// is cancelled. A serving task is one, usually lasting, that answers requests itself and has a tail
// latency objective (Step.TailMS). A filler (Step.Filler) reserves no processors and uses only idle
// ones. All tasks that are neither lasting nor fillers are short.
//
// A run is started when the leader has ordered it, and has begun when an executor has confirmed it.
// It is active from its start until its end is known.
package queue

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"rudderfork.example/rudderfork"
)

// Step is one step of a job: Count equal tasks.
type Step struct {
	Count int                  `cbor:"1,keyasint" json:"count,omitempty"`
	Size  rudderfork.Resources `cbor:"2,keyasint" json:"size,omitempty"`

	// ExpectedMS is the submitter's rough estimate of the run time of one task.
	ExpectedMS  int64  `cbor:"3,keyasint,omitempty" json:"expected_ms,omitempty"`
	DependsOn   []int  `cbor:"4,keyasint,omitempty" json:"after,omitempty"`       // earlier steps, all of whose tasks must be done
	Checkpoints bool   `cbor:"5,keyasint,omitempty" json:"checkpoints,omitempty"` // progress survives a stop
	Gang        bool   `cbor:"6,keyasint,omitempty" json:"gang,omitempty"`        // all tasks run together or not at all
	SameRack    bool   `cbor:"7,keyasint,omitempty" json:"one_rack,omitempty"`    // prefer one rack for a gang, which is slow when spread over several
	Label       string `cbor:"8,keyasint,omitempty" json:"label,omitempty"`       // label that the VM must carry; "" for none
	DataRack    string `cbor:"9,keyasint,omitempty" json:"data_rack,omitempty"`   // rack that holds the input data; "" for none
	MaxPerVM    int    `cbor:"10,keyasint,omitempty" json:"max_per_vm,omitempty"` // tasks of one occurrence that a VM may run at once; 0 means no limit
	Speculative bool   `cbor:"11,keyasint,omitempty" json:"copies,omitempty"`     // two copies of a task may run
	Lasting     bool   `cbor:"12,keyasint,omitempty" json:"lasting,omitempty"`    // runs until the job is cancelled
	Image       string `cbor:"13,keyasint,omitempty" json:"image,omitempty"`      // name of the tasks' image; tasks of one image are assumed to behave alike
	TailMS      int64  `cbor:"14,keyasint,omitempty" json:"tail_ms,omitempty"`    // tail latency objective of a serving task's responses; 0 for other tasks
	Filler      bool   `cbor:"15,keyasint,omitempty" json:"filler,omitempty"`     // reserves no processors, uses only idle ones
	MaxAway     int    `cbor:"16,keyasint,omitempty" json:"max_away,omitempty"`   // disruption budget of a lasting step: tasks that may be down at once; 0 means no limit
}

// Repeat runs all steps of a job Count times, at fixed times. Each time is an Occurrence.
type Repeat struct {
	Count   int   `cbor:"1,keyasint" json:"count,omitempty"`
	FirstMS int64 `cbor:"2,keyasint" json:"first_ms,omitempty"` // Unix ms
	EveryMS int64 `cbor:"3,keyasint" json:"every_ms,omitempty"`
}

// Spec is a job as its client submits it.
type Spec struct {
	Payload string  `cbor:"1,keyasint,omitempty" json:"payload,omitempty"` // passed unchanged to every task
	Steps   []Step  `cbor:"2,keyasint" json:"steps,omitempty"`
	Repeat  *Repeat `cbor:"3,keyasint,omitempty" json:"repeat,omitempty"`
}

// Limits of a spec. They are far above what clients send, and keep the replicated state small.
const (
	MaxPayload = 4_000 // bytes; the users' own limit
	maxSteps   = 64
	maxTasks   = 10_000 // over all steps and occurrences
	maxRepeats = 1_000
)

// Check returns an error for the first invalid part of the spec.
func (s Spec) Check() error {
	if len(s.Payload) > MaxPayload {
		return fmt.Errorf("payload: %d bytes; want at most %d", len(s.Payload), MaxPayload)
	}
	if len(s.Steps) < 1 || len(s.Steps) > maxSteps {
		return fmt.Errorf("steps: %d; want 1 to %d", len(s.Steps), maxSteps)
	}
	total := 0
	for i, st := range s.Steps {
		if err := st.check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += st.Count
	}
	repeats := 1
	if s.Repeat != nil {
		repeats = s.Repeat.Count
		if repeats < 1 || repeats > maxRepeats || s.Repeat.EveryMS < 0 {
			return fmt.Errorf("repeat: %d times every %d ms; want 1 to %d times", repeats, s.Repeat.EveryMS, maxRepeats)
		}
	}
	if total*repeats > maxTasks {
		return fmt.Errorf("%d tasks; want at most %d", total*repeats, maxTasks)
	}
	return nil
}

func (st Step) check(i int) error {
	switch {
	case st.Count < 1 || st.Count > maxTasks:
		return fmt.Errorf("count: %d; want 1 to %d", st.Count, maxTasks)
	case st.Size.CPUMilli < 0 || st.Size.MemoryMB < 0 || st.Size.Accelerators < 0:
		return fmt.Errorf("size: %v; want no negative part", st.Size)
	case st.ExpectedMS < 0 || st.MaxPerVM < 0 || st.MaxAway < 0 || st.TailMS < 0:
		return fmt.Errorf("want no negative number")
	}
	for _, d := range st.DependsOn {
		if d < 0 || d >= i {
			return fmt.Errorf("depends on step %d; want an earlier step", d)
		}
	}
	return nil
}

// TaskKey identifies a task of a job. Occurrence, Step and Index count from 0; a job that is not
// repeated has only occurrence 0.
type TaskKey struct {
	Job        rudderfork.JobID `cbor:"1,keyasint"`
	Occurrence int              `cbor:"2,keyasint,omitempty"`
	Step       int              `cbor:"3,keyasint,omitempty"`
	Index      int              `cbor:"4,keyasint,omitempty"`
}

// String returns the key as job.occurrence.step.index.
func (k TaskKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step) + "." + strconv.Itoa(k.Index)
}

// Compare orders keys by job, occurrence, step and index.
func (k TaskKey) Compare(o TaskKey) int {
	return cmp.Or(cmp.Compare(k.Job, o.Job), cmp.Compare(k.Occurrence, o.Occurrence), cmp.Compare(k.Step, o.Step), cmp.Compare(k.Index, o.Index))
}

// StepKey returns the key of the task's step.
func (k TaskKey) StepKey() StepKey { return StepKey{k.Job, k.Occurrence, k.Step} }

// Ref returns the name of a run of the task, as executors use it.
func (k TaskKey) Ref(run uint32) rudderfork.RunRef {
	return rudderfork.RunRef{Task: rudderfork.TaskID(k.String()), Run: run}
}

// Run returns the key of a run of the task.
func (k TaskKey) Run(number uint32) RunKey { return RunKey{k, number} }

// RunKey identifies a run of a task.
type RunKey struct {
	TaskKey
	Number uint32
}

// String returns the key as job.occurrence.step.index#run.
func (k RunKey) String() string {
	return k.TaskKey.String() + "#" + strconv.FormatUint(uint64(k.Number), 10)
}

// ParseTaskKey is the inverse of TaskKey.String.
func ParseTaskKey(s string) (k TaskKey, err error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return k, fmt.Errorf("task %q: want job.time.step.index", s)
	}
	k.Job = rudderfork.JobID(parts[0])
	for i, p := range []*int{&k.Occurrence, &k.Step, &k.Index} {
		if *p, err = strconv.Atoi(parts[i+1]); err != nil {
			return k, fmt.Errorf("task %q: %w", s, err)
		}
	}
	return k, nil
}

// Status is the state of a job.
type Status string

// The statuses. The last three are final.
const (
	Queued    Status = "queued"
	Running   Status = "running"
	Completed Status = "completed"
	Failed    Status = "failed"
	Cancelled Status = "cancelled"
)

// Final reports whether a job in this status will never run again.
func (s Status) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Outcome is the way a run ended.
type Outcome string

// The outcomes. Only OutcomeFailed counts as an attempt.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"
	OutcomeStopped        Outcome = "stopped"
	OutcomeLeaseExpired   Outcome = "lapsed"  // the VM's lease ran out
	OutcomeGangBroken     Outcome = "broken"  // another member of its gang ended
	OutcomeGangIncomplete Outcome = "alone"   // the other members of its gang did not start
	OutcomeRefused        Outcome = "refused" // the VM refused to start it
	OutcomeLost           Outcome = "gone"    // the VM does not have it and will never start it, or its executor's incarnation ended
)

// hasBegun reports whether the outcome shows that an executor had begun the run. All outcomes do
// that an executor reports; refused and lost runs are reported by the VM's agent or found by Apply.
func (o Outcome) hasBegun() bool { return o != OutcomeRefused && o != OutcomeLost }

// Run is an active run of a task on a VM: it has been started, and its end is not known yet.
type Run struct {
	Number    uint32          `cbor:"1,keyasint"`
	VM        rudderfork.VMID `cbor:"2,keyasint"`
	StartedAt int64           `cbor:"3,keyasint"` // leader's clock, Unix ms
	Ticket    string          `cbor:"4,keyasint,omitempty"`
}

// StepKey identifies a step of one occurrence of a job.
type StepKey struct {
	Job        rudderfork.JobID
	Occurrence int
	Step       int
}

// String returns the key as job.occurrence.step.
func (k StepKey) String() string {
	return string(k.Job) + "." + strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step)
}

// Task is one task with its active runs.
type Task struct {
	Done       bool   `cbor:"1,keyasint,omitempty"`
	Failures   int    `cbor:"2,keyasint,omitempty"`
	LastRun    uint32 `cbor:"3,keyasint,omitempty"`
	Runs       []Run  `cbor:"4,keyasint,omitempty"`
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	EndedAt    int64  `cbor:"6,keyasint,omitempty"` // end of the last run, Unix ms
	TookMS     int64  `cbor:"7,keyasint,omitempty"` // duration of the run that was done, from its start

	// The figures below show whether the task may be crashing its executors; see blame.go.
	Crashes          int `cbor:"8,keyasint,omitempty"`  // executors that crashed while it ran
	PromptCrashes    int `cbor:"11,keyasint,omitempty"` // of these, crashes soon after its run was confirmed to have begun
	UnresolvedLosses int `cbor:"10,keyasint,omitempty"` // recent runs that ended with the lease of a VM that has not registered since
	Suspicion        int `cbor:"9,keyasint,omitempty"`  // probability that it crashes its executors, in thousandths
	// UnresolvedSilent counts those of UnresolvedLosses whose VM's agent has reported that the
	// executor does not answer.
	UnresolvedSilent int `cbor:"12,keyasint,omitempty"`
}

// Run returns the active run with the given number; ok is false if there is none.
func (t *Task) Run(number uint32) (r Run, ok bool) {
	i := slices.IndexFunc(t.Runs, func(r Run) bool { return r.Number == number })
	if i < 0 {
		return r, false
	}
	return t.Runs[i], true
}

// RunsOn reports whether a run of the task is active on a VM.
func (t *Task) RunsOn(vm rudderfork.VMID) bool {
	return slices.ContainsFunc(t.Runs, func(r Run) bool { return r.VM == vm })
}

// Occurrence holds the tasks of one repetition of a job, by step and index.
type Occurrence struct {
	DueMS     int64    `cbor:"1,keyasint,omitempty"` // earliest start, Unix ms; 0 means at once
	Steps     [][]Task `cbor:"2,keyasint"`
	Remaining []int    `cbor:"3,keyasint"` // number of tasks of each step that are not done
}

// StepReady reports whether all steps that st depends on are done.
func (o *Occurrence) StepReady(st Step) bool {
	for _, d := range st.DependsOn {
		if o.Remaining[d] > 0 {
			return false
		}
	}
	return true
}

// Done reports whether all tasks are done.
func (o *Occurrence) Done() bool {
	for _, left := range o.Remaining {
		if left > 0 {
			return false
		}
	}
	return true
}

// Job is a submitted job. Queue is the document's entry for its queue at the time of submission.
type Job struct {
	ID          rudderfork.JobID `cbor:"1,keyasint"`
	Queue       Queue            `cbor:"2,keyasint"`
	Spec        Spec             `cbor:"3,keyasint"`
	Status      Status           `cbor:"4,keyasint"`
	SubmittedAt int64            `cbor:"5,keyasint"`           // leader's clock, Unix ms
	EndedAt     int64            `cbor:"6,keyasint,omitempty"` // leader's clock, Unix ms
	Occurrences []*Occurrence    `cbor:"7,keyasint"`
	Begun       bool             `cbor:"8,keyasint,omitempty"` // an executor has begun one of its tasks
	ActiveRuns  int              `cbor:"9,keyasint,omitempty"`
	EndedClock  int64            `cbor:"10,keyasint,omitempty"` // state clock (Clock.NowMS) when it ended, ms
	Origin      string           `cbor:"11,keyasint,omitempty"` // as in the Submit that was accepted first

	changes uint64
}

// Changes rises with each change of the job in this process, so that readers can cache what they
// derive from the job. It is not replicated.
func (j *Job) Changes() uint64 { return j.changes }

// Task returns the task with the given key, or nil.
func (j *Job) Task(k TaskKey) *Task {
	if k.Occurrence < 0 || k.Occurrence >= len(j.Occurrences) {
		return nil
	}
	steps := j.Occurrences[k.Occurrence].Steps
	if k.Step < 0 || k.Step >= len(steps) || k.Index < 0 || k.Index >= len(steps[k.Step]) {
		return nil
	}
	return &steps[k.Step][k.Index]
}

// VM is a VM that runs tasks, as it last registered.
type VM struct {
	ID          rudderfork.VMID      `cbor:"1,keyasint"`
	Incarnation string               `cbor:"2,keyasint"` // of its executor; see rudderfork.IncarnationName
	Domain      rudderfork.Domain    `cbor:"3,keyasint"`
	Rack        string               `cbor:"4,keyasint,omitempty"`
	Service     rudderfork.Service   `cbor:"5,keyasint"`
	Capacity    rudderfork.Resources `cbor:"6,keyasint"`
	Labels      []string             `cbor:"7,keyasint,omitempty"`
	Live        bool                 `cbor:"8,keyasint"` // registered and not lost: it may hold runs

	// Epoch rises with each registration under which no earlier run continues.
	Epoch uint64 `cbor:"9,keyasint,omitempty"`

	// UnresolvedRuns are the runs that ended when the VM's lease ran out. Whether its executor had
	// crashed is known once the VM registers again.
	UnresolvedRuns []RunAge `cbor:"10,keyasint,omitempty"`
	// LeaseExpiredAt is when the loss of the VM was committed, by the state clock, ms. Resolved means
	// that UnresolvedRuns no longer count against their tasks.
	LeaseExpiredAt int64 `cbor:"12,keyasint,omitempty"`
	Resolved       bool  `cbor:"13,keyasint,omitempty"`
	// ExecutorSilent means that the VM's agent has reported that the executor does not answer.
	ExecutorSilent bool `cbor:"14,keyasint,omitempty"`
	// Leaving means that the VM's upkeep ends the incarnation, so that no task is blamed for its end.
	Leaving bool `cbor:"11,keyasint,omitempty"`
	// Crashes is the crash history of the VM's executor over all its incarnations.
	Crashes CrashHistory `cbor:"15,keyasint"`

	used    rudderfork.Resources
	runs    map[TaskKey]uint32 // run numbers of the active runs
	changes uint64
}

// Changes rises with each change, in this process, of the runs on the VM or of the suspicion against
// their tasks. It is not replicated. A VM that registers again is represented by a new VM value.
func (v *VM) Changes() uint64 { return v.changes }

// Used returns the resources that the VM's active runs take.
func (v *VM) Used() rudderfork.Resources { return v.used }

// Runs returns the run numbers of the active runs of the VM, by task. The caller must not change
// the map.
func (v *VM) Runs() map[TaskKey]uint32 { return v.runs }

// SameRegistration reports whether o is the same incarnation with the same properties.
func (v *VM) SameRegistration(o VM) bool {
	return v.Incarnation == o.Incarnation && v.Domain == o.Domain && v.Rack == o.Rack && v.Service == o.Service &&
		v.Capacity == o.Capacity && slices.Equal(v.Labels, o.Labels)
}

// RegisteredAs reports whether the VM is known, live and registered with the properties of o. v may
// be nil.
func (v *VM) RegisteredAs(o VM) bool { return v != nil && v.Live && v.SameRegistration(o) }

// HasLabel reports whether the VM carries a label. The empty label matches every VM.
func (v *VM) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	return slices.Contains(v.Labels, label)
}
