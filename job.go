package rudderfork

import "fmt"

// JobSpec is a batch job as an operator submits it. The spec never changes afterwards, except that
// the operator can change the job's cells in the table, for example the size of its tasks.
type JobSpec struct {
	ID       JobID            `cbor:"1,keyasint" json:"id"`
	Team     Team             `cbor:"2,keyasint" json:"team"`
	Kind     string           `cbor:"3,keyasint" json:"kind"`                         // jobs of one kind interfere with services in the same way
	Tasks    int              `cbor:"4,keyasint" json:"tasks"`                        // number of tasks
	Units    int64            `cbor:"5,keyasint" json:"units"`                        // units of work in each task
	Cells    map[string]int64 `cbor:"6,keyasint,omitempty" json:"cells,omitempty"`    // initial cells of the job's row, by column
	Attempts int              `cbor:"7,keyasint,omitempty" json:"attempts,omitempty"` // number of failures after which a task fails for good; 0 means DefaultAttempts
}

// Limits of a job's spec.
const (
	MaxTasks        = 10_000
	MaxUnits        = 1_000_000_000
	DefaultAttempts = 5
	maxAttempts     = 100
)

// Check returns an error for the first invalid part of the spec.
func (s JobSpec) Check() error {
	if err := CheckName(string(s.ID)); err != nil {
		return fmt.Errorf("job id: %w", err)
	}
	if err := CheckName(string(s.Team)); err != nil {
		return fmt.Errorf("job %s: team: %w", s.ID, err)
	}
	if err := CheckName(s.Kind); err != nil {
		return fmt.Errorf("job %s: kind: %w", s.ID, err)
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return fmt.Errorf("job %s: tasks: %d is out of range; want 1 to %d", s.ID, s.Tasks, MaxTasks)
	}
	if s.Units < 1 || s.Units > MaxUnits {
		return fmt.Errorf("job %s: units: %d is out of range; want 1 to %d", s.ID, s.Units, MaxUnits)
	}
	if s.Attempts < 0 || s.Attempts > maxAttempts {
		return fmt.Errorf("job %s: attempts: %d is out of range; want 0 to %d", s.ID, s.Attempts, maxAttempts)
	}
	for col, v := range s.Cells {
		if err := CheckCell(CellKey{RowJob, string(s.ID), col}, v); err != nil {
			return err
		}
	}
	return nil
}

// TaskPhase is the phase of a task.
type TaskPhase string

// The phases of a task. Only running and evicting tasks hold capacity.
const (
	TaskPending   TaskPhase = "pending"
	TaskRunning   TaskPhase = "running"
	TaskEvicting  TaskPhase = "evicting" // running, and ordered to stop
	TaskDone      TaskPhase = "done"
	TaskFailed    TaskPhase = "failed"
	TaskCancelled TaskPhase = "cancelled"
)

// Final reports whether a task in this phase will never run again.
func (p TaskPhase) Final() bool { return p == TaskDone || p == TaskFailed || p == TaskCancelled }

// Holds reports whether a task in this phase holds capacity on a VM.
func (p TaskPhase) Holds() bool { return p == TaskRunning || p == TaskEvicting }

// Lease permits one VM to run one attempt of a task. It is valid as long as the VM's own lease, whose
// deadline the leader of the control processes extends.
type Lease struct {
	Task       TaskID    `cbor:"1,keyasint" json:"task"`
	Token      Token     `cbor:"2,keyasint" json:"token"`
	Size       Resources `cbor:"3,keyasint" json:"size"`
	Kind       string    `cbor:"4,keyasint,omitempty" json:"kind,omitempty"`
	Checkpoint int64     `cbor:"5,keyasint,omitempty" json:"checkpoint,omitempty"` // units of work already done
	Units      int64     `cbor:"6,keyasint,omitempty" json:"units,omitempty"`      // units of work in the task
	Stop       bool      `cbor:"7,keyasint,omitempty" json:"stop,omitempty"`       // stop the attempt, after a checkpoint unless Discard is set
	Discard    bool      `cbor:"8,keyasint,omitempty" json:"discard,omitempty"`    // with Stop: take no checkpoint
	Weight     int64     `cbor:"9,keyasint,omitempty" json:"weight,omitempty"`     // of the job, from its row of the table
	Slowdown   float64   `cbor:"10,keyasint,omitempty" json:"slowdown,omitempty"`  // expected factor by which tasks of this kind raise the latency of the VM's services
}

// Outcome is how an attempt ended.
type Outcome string

// The outcomes an agent reports for an attempt.
const (
	OutcomeDone    Outcome = "done"
	OutcomeFailed  Outcome = "failed"
	OutcomeStopped Outcome = "stopped" // stopped on request, with a checkpoint
	OutcomeLost    Outcome = "lost"    // the worker restarted, or stopped the attempt because its lease expired
)

// Report tells the leader of the control processes how an attempt ended. It may arrive late or more
// than once. The leader accepts it only if the token is that of the task's current lease.
type Report struct {
	Task       TaskID  `cbor:"1,keyasint" json:"task"`
	Token      Token   `cbor:"2,keyasint" json:"token"`
	Outcome    Outcome `cbor:"3,keyasint" json:"outcome"`
	Checkpoint int64   `cbor:"4,keyasint,omitempty" json:"checkpoint,omitempty"`
	Reason     string  `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
}
