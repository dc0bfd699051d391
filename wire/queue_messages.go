package wire

import (
	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// FromNode is a message to control in a queue session. It is sent by fronts, which accept jobs from
// clients, and by the agents of VMs that run tasks.
type FromNode struct {
	Hello     *QueueHello   `cbor:"1,keyasint,omitempty"`
	Request   *QueueRequest `cbor:"2,keyasint,omitempty"`
	Heartbeat *VMHeartbeat  `cbor:"3,keyasint,omitempty"`
	Ends      *EndsReport   `cbor:"4,keyasint,omitempty"`
	Ping      int64         `cbor:"5,keyasint,omitempty"` // control returns the same number as Pong

	// KnownPressures are the pressures that the agent has received so far, for a new leader.
	KnownPressures []PairPressure `cbor:"6,keyasint,omitempty"`
}

// ToQueueNode is a message from control in a queue session.
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
	Version int    `cbor:"1,keyasint"`
	Process string `cbor:"2,keyasint"`
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
// Exactly one of the fields besides ID is set.
type QueueRequest struct {
	ID     uint64          `cbor:"1,keyasint"`
	Submit *queue.Submit   `cbor:"2,keyasint,omitempty"`
	Cancel *queue.Cancel   `cbor:"3,keyasint,omitempty"`
	Status *HostPath       `cbor:"4,keyasint,omitempty"` // status of a job, or number of waiting jobs of a queue
	Put    *queue.Document `cbor:"5,keyasint,omitempty"`
	Get    bool            `cbor:"6,keyasint,omitempty"` // returns the document
	Wave   *queue.Wave     `cbor:"7,keyasint,omitempty"`
	Upkeep uint64          `cbor:"8,keyasint,omitempty"` // ID of a wave: asks how many machines remain
	Clear  *queue.TaskKey  `cbor:"9,keyasint,omitempty"` // task whose suspicion is reset

	Evacuate *queue.Evacuate `cbor:"10,keyasint,omitempty"`
}

// QueueResponse answers a QueueRequest.
type QueueResponse struct {
	ID uint64 `cbor:"1,keyasint"`

	// Unsure means that it is unknown whether the order was committed, NotTaken that it was not.
	// Otherwise Code is the result.
	Unsure   bool         `cbor:"2,keyasint,omitempty"`
	NotTaken bool         `cbor:"3,keyasint,omitempty"`
	Code     queue.Code   `cbor:"4,keyasint,omitempty"`
	Text     string       `cbor:"5,keyasint,omitempty"`
	Status   queue.Status `cbor:"6,keyasint,omitempty"`
	Waiting  int          `cbor:"7,keyasint,omitempty"`
	IsQueue  bool         `cbor:"8,keyasint,omitempty"` // the request was for the Waiting count of a queue
	Document []byte       `cbor:"9,keyasint,omitempty"`
	Left     int          `cbor:"10,keyasint,omitempty"` // machines of a wave whose upkeep has not begun
}

// VMHeartbeat is the heartbeat of a VM's agent, with the VM's properties and the status of its
// runs.
type VMHeartbeat struct {
	Sent int64    `cbor:"1,keyasint"` // the sender's monotonic clock, ns; echoed
	VM   queue.VM `cbor:"2,keyasint"`

	Draining bool  `cbor:"3,keyasint,omitempty"`
	LeaveMS  int64 `cbor:"4,keyasint,omitempty"` // minimum time until the executor ends, while draining
	// Unresponsive means that the VM's executor does not answer. No lease is requested.
	Unresponsive bool                   `cbor:"5,keyasint,omitempty"`
	Runs         []rudderfork.RunStatus `cbor:"6,keyasint,omitempty"` // that have changed

	// Measured means that the figures in Runs are newer than those in the previous heartbeat.
	Measured bool `cbor:"8,keyasint,omitempty"`
	// FillerUsage is the share of the VM's processors that fillers used while the figures in Runs
	// were measured, by image.
	FillerUsage map[string]float64 `cbor:"7,keyasint,omitempty"`

	// Crash is what the agent knows of an incarnation that does not answer, or of the previous
	// incarnation until the present one is registered.
	Crash *queue.Crash `cbor:"9,keyasint,omitempty"`

	// Epoch is the epoch of the last full list of orders that the agent has, 0 for none. Agents of
	// earlier releases send nil.
	Epoch *uint64 `cbor:"10,keyasint,omitempty"`
}

// VMGrant answers a VMHeartbeat. The VM may run its orders for LeaseMS from the time when the
// heartbeat was sent.
type VMGrant struct {
	Sent        int64  `cbor:"1,keyasint"`
	LeaseMS     int64  `cbor:"2,keyasint"`
	Epoch       uint64 `cbor:"3,keyasint"`
	Incarnation string `cbor:"5,keyasint"` // of the executor that the grant is for

	Pressures []PairPressure `cbor:"6,keyasint,omitempty"` // that are new or have changed

	// LastOfStep lists the VM's runs that the other tasks of their steps wait for.
	LastOfStep []rudderfork.RunRef `cbor:"7,keyasint,omitempty"`

	// StartMS is how long after the heartbeat was sent starts may be made, ms. It is shorter than
	// the lease, so that an order to start nothing more takes effect soon even on a VM that it does
	// not reach. Leaders of earlier releases send nil, which means as long as the lease. Cordoned
	// is such an order.
	StartMS  *int64 `cbor:"8,keyasint,omitempty"`
	Cordoned bool   `cbor:"9,keyasint,omitempty"`
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
	Checkpoint        string `cbor:"3,keyasint,omitempty"`
	Ticket            string `cbor:"4,keyasint,omitempty"`
	TailMS            int64  `cbor:"5,keyasint,omitempty"`
	Filler            bool   `cbor:"6,keyasint,omitempty"`
	Image             string `cbor:"7,keyasint,omitempty"`
	CPUMilli          int64  `cbor:"8,keyasint,omitempty"`

	// Need is what the run takes of the VM's capacity.
	Need rudderfork.Resources `cbor:"9,keyasint,omitempty"`
}

// Orders lists the runs that a VM is to start and stop. With Full, Start is complete: all other
// runs must be stopped.
type Orders struct {
	Epoch       uint64              `cbor:"1,keyasint"`
	Incarnation string              `cbor:"6,keyasint"` // of the executor that the orders are for
	Full        bool                `cbor:"2,keyasint,omitempty"`
	Start       []RunOrder          `cbor:"3,keyasint,omitempty"`
	Stop        []rudderfork.RunRef `cbor:"4,keyasint,omitempty"`

	Pressures []PairPressure `cbor:"7,keyasint,omitempty"` // that are new or have changed

	Cordoned bool `cbor:"8,keyasint,omitempty"` // nothing more may be started, as in VMGrant
}

// EndsReport reports runs that have ended in one incarnation of the VM's executor. Seq is chosen by
// the sender and echoed by EndsAck once the ends are committed.
type EndsReport struct {
	Seq  uint64     `cbor:"1,keyasint"`
	Ends queue.Ends `cbor:"2,keyasint"`

	// Departed means that the executor has shut down: its other runs have ended too.
	Departed bool `cbor:"3,keyasint,omitempty"`
}

// EndsAck acknowledges an EndsReport.
type EndsAck struct {
	Seq uint64 `cbor:"1,keyasint"`
}
