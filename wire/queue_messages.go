package wire

import (
	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// FromNode is a message to the leader in a queue session. It is sent by fronts, which accept jobs
// from clients, and by the agents of VMs that run tasks.
type FromNode struct {
	Hello     *QueueHello   `cbor:"1,keyasint,omitempty"`
	Request   *QueueRequest `cbor:"2,keyasint,omitempty"`
	Heartbeat *VMHeartbeat  `cbor:"3,keyasint,omitempty"`
	Ends      *EndsReport   `cbor:"4,keyasint,omitempty"`
	Ping      int64         `cbor:"5,keyasint,omitempty"` // the leader returns the same number as Pong

	// KnownPressures are the pressures that the agent has received from earlier leaders, sent to a
	// new one.
	KnownPressures []PairPressure `cbor:"6,keyasint,omitempty"`
}

// ToQueueNode is a message from a control process in a queue session.
type ToQueueNode struct {
	Redirect *QueueRedirect `cbor:"1,keyasint,omitempty"`
	Welcome  *QueueWelcome  `cbor:"2,keyasint,omitempty"`
	Response *QueueResponse `cbor:"3,keyasint,omitempty"`
	Grant    *VMGrant       `cbor:"4,keyasint,omitempty"`
	Orders   *Orders        `cbor:"5,keyasint,omitempty"`
	EndsAck  *EndsAck       `cbor:"6,keyasint,omitempty"`
	Pong     int64          `cbor:"7,keyasint,omitempty"`
}

// QueueHello opens a queue session.
type QueueHello struct {
	Version int    `cbor:"1,keyasint"` // of the messages
	Process string `cbor:"2,keyasint"` // name of the sender
}

// QueueRedirect says that another control process leads. Leader is empty if the leader is unknown;
// Members are the addresses of all control processes.
type QueueRedirect struct {
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Members []string `cbor:"2,keyasint,omitempty"`
}

// QueueWelcome accepts a session with the leader of a term.
type QueueWelcome struct {
	Term    uint64   `cbor:"1,keyasint"`
	Members []string `cbor:"2,keyasint,omitempty"` // addresses of all control processes
}

// HostPath is the host and path of a client request.
type HostPath struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
}

// QueueRequest is a request that a front sends to the leader on behalf of a client or operator.
// Exactly one field besides ID is set.
type QueueRequest struct {
	ID     uint64          `cbor:"1,keyasint"`
	Submit *queue.Submit   `cbor:"2,keyasint,omitempty"`
	Cancel *queue.Cancel   `cbor:"3,keyasint,omitempty"`
	Status *HostPath       `cbor:"4,keyasint,omitempty"` // status of a job, or number of waiting jobs of a queue
	Put    *queue.Document `cbor:"5,keyasint,omitempty"` // the new document
	Get    bool            `cbor:"6,keyasint,omitempty"` // the document is returned
	Wave   *queue.Wave     `cbor:"7,keyasint,omitempty"` // orders the upkeep of machines
	Upkeep uint64          `cbor:"8,keyasint,omitempty"` // ID of a wave whose number of remaining machines is returned in Left
	Clear  *queue.TaskKey  `cbor:"9,keyasint,omitempty"` // task whose suspicion is reset

	Evacuate *queue.Evacuate `cbor:"10,keyasint,omitempty"` // starts or ends the evacuation of a failure domain
}

// QueueResponse answers a QueueRequest.
type QueueResponse struct {
	ID uint64 `cbor:"1,keyasint"`

	// Unsure means that it is unknown whether the request was committed, NotTaken that it was not.
	// Otherwise Code is the result.
	Unsure   bool         `cbor:"2,keyasint,omitempty"`
	NotTaken bool         `cbor:"3,keyasint,omitempty"`
	Code     queue.Code   `cbor:"4,keyasint,omitempty"`
	Text     string       `cbor:"5,keyasint,omitempty"`
	Status   queue.Status `cbor:"6,keyasint,omitempty"`
	Waiting  int          `cbor:"7,keyasint,omitempty"` // waiting jobs of a queue
	IsQueue  bool         `cbor:"8,keyasint,omitempty"` // the request was for the Waiting count of a queue
	Document []byte       `cbor:"9,keyasint,omitempty"`
	Left     int          `cbor:"10,keyasint,omitempty"` // machines of a wave whose upkeep has not begun

	// RetryAfterMS is the time after which the caller should submit again, ms, if Code is
	// queue.Overloaded.
	RetryAfterMS int64 `cbor:"11,keyasint,omitempty"`
}

// VMHeartbeat is the heartbeat of a VM's agent, with the VM's properties and the status of its
// runs.
type VMHeartbeat struct {
	Sent int64    `cbor:"1,keyasint"` // the sender's monotonic clock, ns; VMGrant repeats it
	VM   queue.VM `cbor:"2,keyasint"`

	// Draining means that the executor has announced its shutdown, so that no more runs are started
	// on it. LeaveMS is the minimum time until it ends, ms. EndsReport.Departed reports the end.
	Draining bool  `cbor:"3,keyasint,omitempty"`
	LeaveMS  int64 `cbor:"4,keyasint,omitempty"`

	// Unresponsive means that the VM's executor does not answer. No lease is requested.
	Unresponsive bool `cbor:"5,keyasint,omitempty"`
	// Runs are the statuses that have changed since the previous heartbeat.
	Runs []rudderfork.RunStatus `cbor:"6,keyasint,omitempty"`

	// Measured means that the figures in Runs are newer than those in the previous heartbeat.
	Measured bool `cbor:"8,keyasint,omitempty"`
	// FillerUsage is the share of the VM's processors that fillers used while the figures in Runs
	// were measured, by image.
	FillerUsage map[string]float64 `cbor:"7,keyasint,omitempty"`

	// Crash is what the agent knows of an incarnation that does not answer, or of the previous
	// incarnation until the present one is registered.
	Crash *queue.Crash `cbor:"9,keyasint,omitempty"`

	// Epoch is the epoch of the last full list of orders that the agent has received, 0 for none.
	// Agents of earlier releases send nil.
	Epoch *uint64 `cbor:"10,keyasint,omitempty"`
}

// VMGrant answers a VMHeartbeat. The VM may run its orders for LeaseMS from the time when the
// heartbeat was sent.
type VMGrant struct {
	Sent        int64  `cbor:"1,keyasint"` // as in the heartbeat
	LeaseMS     int64  `cbor:"2,keyasint"` // 0 for no lease
	Epoch       uint64 `cbor:"3,keyasint"` // of the VM, see queue.VM.Epoch
	Incarnation string `cbor:"5,keyasint"` // of the executor that the grant is for

	Pressures []PairPressure `cbor:"6,keyasint,omitempty"` // that are new or have changed

	// LastOfStep lists the runs of fillers on the VM that are among the last tasks of their steps, so
	// that the steps wait for them.
	LastOfStep []rudderfork.RunRef `cbor:"7,keyasint,omitempty"`

	// StartMS is how long after the heartbeat was sent runs may be started, ms. It is shorter than
	// the lease, so that Cordoned takes effect soon even on a VM that no grant reaches.
	// Leaders of earlier releases send nil, which means as long as the lease.
	StartMS *int64 `cbor:"8,keyasint,omitempty"`

	// Cordoned means that no more runs may be started on the VM, because its failure domain is being
	// evacuated.
	Cordoned bool `cbor:"9,keyasint,omitempty"`
}

// PairPressure is how much of the headroom of serving tasks of one image the fillers of another
// image take, as estimated by package interference.
type PairPressure struct {
	Serving  string  `cbor:"1,keyasint"`
	Filler   string  `cbor:"2,keyasint"`
	Pressure float32 `cbor:"3,keyasint"`
}

// RunOrder orders a VM to run a task.
type RunOrder struct {
	rudderfork.RunRef `cbor:"1,keyasint"`
	Payload           string `cbor:"2,keyasint,omitempty"`
	Checkpoint        string `cbor:"3,keyasint,omitempty"` // to resume from; "" starts from the beginning
	Ticket            string `cbor:"4,keyasint,omitempty"` // the adviser's permission, if the queue has an adviser
	TailMS            int64  `cbor:"5,keyasint,omitempty"` // tail latency objective of a serving task, ms; 0 for other tasks
	Filler            bool   `cbor:"6,keyasint,omitempty"` // the task is a filler
	Image             string `cbor:"7,keyasint,omitempty"` // name of the task's image
	CPUMilli          int64  `cbor:"8,keyasint,omitempty"` // processors of the task's size, in thousandths of a core

	// Need is the part of the VM's capacity that the run takes.
	Need rudderfork.Resources `cbor:"9,keyasint,omitempty"`
}

// Orders lists the runs that a VM is to start and stop. With Full, Start is complete: all other
// runs must be stopped.
type Orders struct {
	Epoch       uint64              `cbor:"1,keyasint"` // of the VM, see queue.VM.Epoch
	Incarnation string              `cbor:"6,keyasint"` // of the executor that the orders are for
	Full        bool                `cbor:"2,keyasint,omitempty"`
	Start       []RunOrder          `cbor:"3,keyasint,omitempty"`
	Stop        []rudderfork.RunRef `cbor:"4,keyasint,omitempty"`

	Pressures []PairPressure `cbor:"7,keyasint,omitempty"` // that are new or have changed

	Cordoned bool `cbor:"8,keyasint,omitempty"` // as in VMGrant
}

// EndsReport reports runs that have ended in one incarnation of the VM's executor. Seq is chosen by
// the sender, and EndsAck repeats it once the ends are committed.
type EndsReport struct {
	Seq  uint64     `cbor:"1,keyasint"`
	Ends queue.Ends `cbor:"2,keyasint"`

	// Departed means that the executor has sent its shutdown notice: its other runs have ended too.
	Departed bool `cbor:"3,keyasint,omitempty"`
}

// EndsAck acknowledges an EndsReport.
type EndsAck struct {
	Seq uint64 `cbor:"1,keyasint"`
}
