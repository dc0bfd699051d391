package queue

import "rudderfork.example/rudderfork"

// Command is one change of the state. Exactly one field is set, except that Crash accompanies
// Register and Begun accompanies Starts.
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

	// Crash accompanies Register. It is the report of the VM's agent on the end of the previous
	// incarnation, or nil if the agent did not observe that.
	Crash *Crash `cbor:"10,keyasint,omitempty"`

	// Clear resets the crash counts of a task and the suspicion against it.
	Clear *TaskKey `cbor:"11,keyasint,omitempty"`

	Evacuate *Evacuate `cbor:"12,keyasint,omitempty"`

	// Begun accompanies Starts. It lists jobs with a task that a VM has reported as begun and that
	// the state does not mark as begun yet.
	Begun []rudderfork.JobID `cbor:"13,keyasint,omitempty"`

	// Learned replaces what the leader keeps for its successor, see State.Learned.
	Learned []byte `cbor:"14,keyasint,omitempty"`
}

// Submit submits a job to the queue at a host and path. The last element of the path is the job ID.
type Submit struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	Spec Spec   `cbor:"3,keyasint"`

	// KeepMS is how long the status of a finished job is kept, ms.
	KeepMS int64 `cbor:"4,keyasint"`

	// BodyBytes and HeaderBytes are the sizes of the body and the header of the client's request.
	BodyBytes   int64 `cbor:"5,keyasint,omitempty"`
	HeaderBytes int64 `cbor:"6,keyasint,omitempty"`

	// Origin is the failure domain of the entry that took the client's request, or "" if it is not
	// known: earlier releases do not set it.
	Origin string `cbor:"7,keyasint,omitempty"`
}

// Cancel cancels a job. The last element of the path is the job ID.
type Cancel struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
}

// Start starts a run of a task on a VM. Successive starts with the same Group, those of a gang, take
// effect together or not at all. Copy allows a second run of a task that has an active one.
type Start struct {
	Task        TaskKey         `cbor:"1,keyasint"`
	VM          rudderfork.VMID `cbor:"2,keyasint"`
	Incarnation string          `cbor:"3,keyasint"`
	Copy        bool            `cbor:"4,keyasint,omitempty"`
	Group       int             `cbor:"5,keyasint,omitempty"` // 0 means none

	// Ticket is the adviser's permission to run the step on the VM. It is empty if the queue has no
	// adviser.
	Ticket string `cbor:"6,keyasint,omitempty"`
}

// End reports how a run on the VM of the enclosing Ends ended.
type End struct {
	Task       TaskKey `cbor:"1,keyasint"`
	Run        uint32  `cbor:"2,keyasint"`
	Outcome    Outcome `cbor:"3,keyasint"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
	Reason     string  `cbor:"5,keyasint,omitempty"`
}

// Ends lists the runs that one incarnation reports as ended.
type Ends struct {
	VM          rudderfork.VMID `cbor:"1,keyasint"`
	Incarnation string          `cbor:"2,keyasint"`
	List        []End           `cbor:"3,keyasint"`
}

// VMLoss reports that an incarnation of a VM's executor runs nothing any more, because the VM's
// lease has run out or the executor has shut down. Checkpoints are the newest known ones of its
// runs.
type VMLoss struct {
	VM          rudderfork.VMID    `cbor:"1,keyasint"`
	Incarnation string             `cbor:"2,keyasint"`
	Checkpoints map[TaskKey]string `cbor:"3,keyasint,omitempty"`

	// Departed means that the executor has sent its shutdown notice. Crash is the report of the VM's
	// agent on an executor that does not answer, or nil.
	Departed bool   `cbor:"4,keyasint,omitempty"`
	Crash    *Crash `cbor:"5,keyasint,omitempty"`

	// Epoch is the VM's epoch when its lease ran out. The VM may have registered again since, in
	// which case the command is stale. 0 matches any epoch.
	Epoch uint64 `cbor:"6,keyasint,omitempty"`
}

// Code is the result code of a command.
type Code string

// The codes of a Result.
const (
	OK         Code = "ok"
	Stale      Code = "stale"       // not newer than the state, or about an earlier incarnation or epoch
	NoDocument Code = "no-document" // no document has been accepted yet
	NoQueue    Code = "no-queue"
	NoJob      Code = "no-job"
	NoDomain   Code = "no-domain"
	Invalid    Code = "invalid"

	BodyTooLarge   Code = "body-too-large"
	HeaderTooLarge Code = "header-too-large"

	// Overloaded is a response of the leader to a submission that it has not committed, because the
	// job could not end in time. Apply never returns it.
	Overloaded Code = "overloaded"
)

// Result is the result of Apply. It is the same on every replica.
type Result struct {
	Code     Code
	Text     string
	Job      rudderfork.JobID
	Queue    string
	Numbers  []uint32  // per start: its run number, or 0 if it was refused
	Accepted []bool    // per end: whether its run was active
	LostRuns []LostRun // runs that ended with the incarnation of their executor

	// Assessments holds one entry for each task that may have caused a crash of an executor, the
	// most suspected first. It is empty unless a registration shows that there was a crash.
	Assessments []Assessment
}

// LostRun is a run that ended with the incarnation of its executor.
type LostRun struct {
	Task TaskKey
	Run  uint32
}
