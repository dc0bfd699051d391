package wire

import (
	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// FromNode is sent to control in a queue session: by fronts, which take jobs
// from clients, and by the agents of VMs that run tasks.
type FromNode struct {
	Hello     *QueueHello   `cbor:"1,keyasint,omitempty"`
	Request   *QueueRequest `cbor:"2,keyasint,omitempty"`
	Heartbeat *VMHeartbeat  `cbor:"3,keyasint,omitempty"`
	Ends      *EndsReport   `cbor:"4,keyasint,omitempty"`
	Ping      int64         `cbor:"5,keyasint,omitempty"` // answered by the same number

	// KnownPressures is what a VM's agent was told of pressures, for a leader that is new.
	KnownPressures []PairPressure `cbor:"6,keyasint,omitempty"`
}

// ToQueueNode is sent by control in a queue session.
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

// QueueRedirect says that another control process leads, if it is known, and
// where all of them are.
type QueueRedirect struct {
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Members []string `cbor:"2,keyasint,omitempty"`
}

// QueueWelcome says that the session stands with the leader of a term.
type QueueWelcome struct {
	Term    uint64   `cbor:"1,keyasint"`
	Members []string `cbor:"2,keyasint,omitempty"` // addresses of all control processes
}

// HostPath names a host and path, as a client asked for them.
type HostPath struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
}

// QueueRequest is a question or order of a front. One of the pointers is set.
type QueueRequest struct {
	ID     uint64          `cbor:"1,keyasint"`
	Submit *queue.Submit   `cbor:"2,keyasint,omitempty"`
	Cancel *queue.Cancel   `cbor:"3,keyasint,omitempty"`
	Status *HostPath       `cbor:"4,keyasint,omitempty"` // of a job, or a queue's count
	Put    *queue.Document `cbor:"5,keyasint,omitempty"`
	Get    bool            `cbor:"6,keyasint,omitempty"` // the document
	Wave   *queue.Wave     `cbor:"7,keyasint,omitempty"`
	Upkeep uint64          `cbor:"8,keyasint,omitempty"` // a wave's ID: is it completed?
	Clear  *queue.TaskKey  `cbor:"9,keyasint,omitempty"` // a task that is suspected

	Evacuate *queue.Evacuate `cbor:"10,keyasint,omitempty"`
}

// QueueResponse answers an Ask.
type QueueResponse struct {
	ID uint64 `cbor:"1,keyasint"`

	// Unsure says that the order may or may not have been taken; with NotTaken
	// it surely was not. Otherwise Code tells.
	Unsure   bool         `cbor:"2,keyasint,omitempty"`
	NotTaken bool         `cbor:"3,keyasint,omitempty"`
	Code     queue.Code   `cbor:"4,keyasint,omitempty"`
	Text     string       `cbor:"5,keyasint,omitempty"`
	Status   queue.Status `cbor:"6,keyasint,omitempty"`
	Waiting  int          `cbor:"7,keyasint,omitempty"`
	IsQueue  bool         `cbor:"8,keyasint,omitempty"` // Waiting was asked for
	Document []byte       `cbor:"9,keyasint,omitempty"`
	Left     int          `cbor:"10,keyasint,omitempty"` // machines of a wave that have not begun their upkeep
}

// VMHeartbeat is the heartbeat of a VM's agent, and its account.
type VMHeartbeat struct {
	Sent int64    `cbor:"1,keyasint"` // the sender's steady clock, ns; echoed
	VM   queue.VM `cbor:"2,keyasint"`

	Draining bool  `cbor:"3,keyasint,omitempty"`
	LeaveMS  int64 `cbor:"4,keyasint,omitempty"` // time left at least, while draining
	// Unresponsive says that the VM's executor does not answer: no lease is asked for.
	Unresponsive bool                   `cbor:"5,keyasint,omitempty"`
	Rows         []rudderfork.RunStatus `cbor:"6,keyasint,omitempty"` // that have changed

	// Measured says that the rows' figures are newer than in the heartbeat before.
	Measured bool `cbor:"8,keyasint,omitempty"`
	// FillerUsage is the shares of the VM's processors at which fillers worked while
	// those figures were taken, by image.
	FillerUsage map[string]float64 `cbor:"7,keyasint,omitempty"`

	// Crash is what is known of the executor's life while it does not answer, and of
	// the life before until the present one is registered.
	Crash *queue.Crash `cbor:"9,keyasint,omitempty"`

	// Epoch is the one whose full list of orders the agent has, 0 for none; nil from agents
	// of earlier releases, which do not tell.
	Epoch *uint64 `cbor:"10,keyasint,omitempty"`
}

// VMGrant answers a VMHeartbeat: the VM may run what it is ordered to for so long
// from when the heartbeat was sent.
type VMGrant struct {
	Sent        int64  `cbor:"1,keyasint"`
	LeaseMS     int64  `cbor:"2,keyasint"`
	Epoch       uint64 `cbor:"3,keyasint"`
	Incarnation string `cbor:"5,keyasint"` // of the executor that it is for

	Pressures []PairPressure `cbor:"6,keyasint,omitempty"` // that are new or have changed

	// LastOfStep is all the VM's runs that the other tasks of their steps wait for.
	LastOfStep []rudderfork.RunRef `cbor:"7,keyasint,omitempty"`

	// StartMS is for how long from when the heartbeat was sent starts may be made: less than
	// the lease, so that an order to start nothing more holds soon also for a VM that
	// it does not reach; nil, by leaders of earlier releases, means as long as the lease.
	// Closed is such an order.
	StartMS  *int64 `cbor:"8,keyasint,omitempty"`
	Cordoned bool   `cbor:"9,keyasint,omitempty"`
}

// PairPressure is what fillers of one image take from the headroom of serving
// tasks of another, as package interference gives it.
type PairPressure struct {
	Serving  string  `cbor:"1,keyasint"`
	Filler   string  `cbor:"2,keyasint"`
	Pressure float32 `cbor:"3,keyasint"`
}

// RunOrder asks a VM to run a task.
type RunOrder struct {
	rudderfork.RunRef `cbor:"1,keyasint"`
	Payload           string `cbor:"2,keyasint,omitempty"`
	Checkpoint        string `cbor:"3,keyasint,omitempty"`
	Ticket            string `cbor:"4,keyasint,omitempty"`
	TailMS            int64  `cbor:"5,keyasint,omitempty"`
	Filler            bool   `cbor:"6,keyasint,omitempty"`
	Image             string `cbor:"7,keyasint,omitempty"`
	CPUMilli          int64  `cbor:"8,keyasint,omitempty"`

	// Need is what the run takes of the VM's room.
	Need rudderfork.Resources `cbor:"9,keyasint,omitempty"`
}

// Orders is what a VM is to run. With Full it is all of it, and what is not
// listed is to be stopped.
type Orders struct {
	Epoch       uint64              `cbor:"1,keyasint"`
	Incarnation string              `cbor:"6,keyasint"` // of the executor that they are for
	Full        bool                `cbor:"2,keyasint,omitempty"`
	Start       []RunOrder          `cbor:"3,keyasint,omitempty"`
	Stop        []rudderfork.RunRef `cbor:"4,keyasint,omitempty"`

	Pressures []PairPressure `cbor:"7,keyasint,omitempty"` // that are new or have changed

	Cordoned bool `cbor:"8,keyasint,omitempty"` // nothing more is to be started, as in VMGrant
}

// EndsReport tells of runs that have ended on a life of the VM. Seq is the
// sender's, echoed by Noted once the ends are committed.
type EndsReport struct {
	Seq  uint64     `cbor:"1,keyasint"`
	Ends queue.Ends `cbor:"2,keyasint"`

	// Departed says that the life has left: whatever else ran there is over.
	Departed bool `cbor:"3,keyasint,omitempty"`
}

// EndsAck answers an EndsReport.
type EndsAck struct {
	Seq uint64 `cbor:"1,keyasint"`
}
