package queue

import "rudderfork.example/rudderfork"

// Command is one change of the queues. Exactly one of the fields is set, but for Crash and
// Begun.
type Command struct {
	Document *Document `cbor:"1,keyasint,omitempty"`
	Submit   *Submit   `cbor:"2,keyasint,omitempty"`
	Cancel   *Cancel   `cbor:"3,keyasint,omitempty"`
	Starts   []Start   `cbor:"4,keyasint,omitempty"`
	Ends     *Ends     `cbor:"5,keyasint,omitempty"`
	Register *VM       `cbor:"6,keyasint,omitempty"`
	Lost     *VMLoss   `cbor:"7,keyasint,omitempty"`

	Wave   *Wave         `cbor:"8,keyasint,omitempty"`
	Upkeep *UpkeepReport `cbor:"9,keyasint,omitempty"`

	// Crash goes with Register: what the VM's agent saw of the life before, if it did.
	Crash *Crash `cbor:"10,keyasint,omitempty"`

	// Clear takes back what a task is suspected of.
	Clear *TaskKey `cbor:"11,keyasint,omitempty"`

	Evacuate *Evacuate `cbor:"12,keyasint,omitempty"`

	// Begun goes with Starts: jobs of which VMs have told since that a task is at work.
	Begun []rudderfork.JobID `cbor:"13,keyasint,omitempty"`
}

// Submit hands in a job at a host and path, whose last part is the job's ID.
type Submit struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	Spec Spec   `cbor:"3,keyasint"`

	// KeepMS is how long the status of a finished job is kept.
	KeepMS int64 `cbor:"4,keyasint"`

	// BodyBytes and HeaderBytes are the sizes of the client's call.
	BodyBytes   int64 `cbor:"5,keyasint,omitempty"`
	HeaderBytes int64 `cbor:"6,keyasint,omitempty"`
}

// Cancel cancels the job whose ID ends the path.
type Cancel struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
}

// Start asks for a run of a task on a VM. Tasks of a gang that share Group
// start together, or not at all. Copy allows a second run beside one that is
// active.
type Start struct {
	Task        TaskKey         `cbor:"1,keyasint"`
	VM          rudderfork.VMID `cbor:"2,keyasint"`
	Incarnation string          `cbor:"3,keyasint"`
	Copy        bool            `cbor:"4,keyasint,omitempty"`
	Group       int             `cbor:"5,keyasint,omitempty"` // 0 means none

	// Ticket is the adviser's leave, where the queue has an adviser.
	Ticket string `cbor:"6,keyasint,omitempty"`
}

// End tells how a run on the VM of the Ends ended.
type End struct {
	Task       TaskKey `cbor:"1,keyasint"`
	Run        uint32  `cbor:"2,keyasint"`
	Outcome    Outcome `cbor:"3,keyasint"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
	Reason     string  `cbor:"5,keyasint,omitempty"`
}

// Ends is what one life of a VM reports as ended.
type Ends struct {
	VM          rudderfork.VMID `cbor:"1,keyasint"`
	Incarnation string          `cbor:"2,keyasint"`
	List        []End           `cbor:"3,keyasint"`
}

// VMLoss says that whatever ran on this life of a VM runs no more, since its
// lease has run out. Checkpoints are the newest known.
type VMLoss struct {
	VM          rudderfork.VMID    `cbor:"1,keyasint"`
	Incarnation string             `cbor:"2,keyasint"`
	Checkpoints map[TaskKey]string `cbor:"3,keyasint,omitempty"`

	// Departed says that the life has said farewell, Crash what the VM's agent has seen of
	// one that does not answer.
	Departed bool   `cbor:"4,keyasint,omitempty"`
	Crash    *Crash `cbor:"5,keyasint,omitempty"`

	// Epoch is the VM's when its lease ran out; it may have registered again since. 0 means
	// any.
	Epoch uint64 `cbor:"6,keyasint,omitempty"`
}

// Code says how a command ended.
type Code string

// The codes of a Result.
const (
	OK         Code = "ok"
	Stale      Code = "stale"       // a version that is not above the one held
	NoDocument Code = "no-document" // nothing can be handed in yet
	NoQueue    Code = "no-queue"
	NoJob      Code = "no-job"
	NoDomain   Code = "no-domain"
	Invalid    Code = "invalid"

	BodyTooLarge   Code = "body-too-large"
	HeaderTooLarge Code = "header-too-large"
)

// Result is what Apply returns. It is the same on every replica.
type Result struct {
	Code     Code
	Text     string
	Job      rudderfork.JobID
	Queue    string
	Numbers  []uint32  // per start asked for: its run number, or 0 if it was refused
	Accepted []bool    // per end: whether its run was active
	LostRuns []LostRun // runs that ended with the life of their executor

	// Assessments are on the tasks of these, the most suspected first; none if the life
	// ended as planned.
	Assessments []Assessment
}

// LostRun is a run that ended with the life of its executor.
type LostRun struct {
	Task TaskKey
	Run  uint32
}
