package wire

import (
	"fmt"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// Version is the version of the messages. A process refuses peers with another version.
const Version = 1

// CheckVersion returns an error if a process uses another version.
func CheckVersion(process string, version int) error {
	if version != Version {
		return fmt.Errorf("%s uses message version %d; want %d", process, version, Version)
	}
	return nil
}

// Peer is a message between control processes. It is sent by the process that dialled.
type Peer struct {
	Quorum    *quorum.Message `cbor:"1,keyasint,omitempty"`
	Join      *quorum.Member  `cbor:"2,keyasint,omitempty"` // asks to add a member
	Self      *quorum.Member  `cbor:"3,keyasint,omitempty"` // the sender; sent once, first
	Forwarded bool            `cbor:"4,keyasint,omitempty"` // Join was forwarded by a follower
}

// NodeKind is the kind of a process that holds a session with control.
type NodeKind string

// The kinds of node.
const (
	KindEntry NodeKind = "entry"
	KindAgent NodeKind = "agent"
)

// ToControl is a message from an entry or agent to control.
type ToControl struct {
	Hello     *Hello           `cbor:"1,keyasint,omitempty"`
	Heartbeat *Heartbeat       `cbor:"2,keyasint,omitempty"`
	Reports   *ReportBatch     `cbor:"3,keyasint,omitempty"`
	Claim     *ClaimRequest    `cbor:"4,keyasint,omitempty"`
	Settle    *SettleRequest   `cbor:"5,keyasint,omitempty"`
	Decisions []DecisionRecord `cbor:"6,keyasint,omitempty"`
}

// ToNode is a message from control to an entry or agent.
type ToNode struct {
	Redirect   *Redirect      `cbor:"1,keyasint,omitempty"`
	Welcome    *Welcome       `cbor:"2,keyasint,omitempty"`
	Update     *Update        `cbor:"3,keyasint,omitempty"`
	Upstreams  *Upstreams     `cbor:"4,keyasint,omitempty"`
	Assign     *Assign        `cbor:"5,keyasint,omitempty"`
	Grant      *Grant         `cbor:"6,keyasint,omitempty"`
	ReportsAck *ReportsAck    `cbor:"7,keyasint,omitempty"`
	Result     *CommandResult `cbor:"8,keyasint,omitempty"`
}

// Hello opens a session. The failure domain and region of the sender are in Place.
type Hello struct {
	Version       int                 `cbor:"1,keyasint"`
	Kind          NodeKind            `cbor:"2,keyasint"`
	Process       string              `cbor:"3,keyasint"`
	Place         rudderfork.Place    `cbor:"4,keyasint"`
	Boot          string              `cbor:"5,keyasint"` // new with each start of the process
	Admin         string              `cbor:"6,keyasint"` // host:port of its admin server
	TableRevision rudderfork.Revision `cbor:"7,keyasint"` // of the sender's table
	Register      *state.Register     `cbor:"8,keyasint,omitempty"`
}

// Redirect says that another control process leads. Addr is empty if the leader is unknown.
type Redirect struct {
	Addr string `cbor:"1,keyasint,omitempty"`
}

// Welcome accepts a session.
type Welcome struct {
	Epoch rudderfork.Token `cbor:"1,keyasint"` // of the VM; agents only
}

// Update is the difference between two revisions of the table.
type Update struct {
	From  rudderfork.Revision `cbor:"1,keyasint"`
	To    rudderfork.Revision `cbor:"2,keyasint"`
	Cells []rudderfork.Cell   `cbor:"3,keyasint,omitempty"`
}

// UpstreamInfo is a VM that serves requests.
type UpstreamInfo struct {
	Place    rudderfork.Place     `cbor:"1,keyasint"`
	Addr     string               `cbor:"2,keyasint"`
	Boot     string               `cbor:"3,keyasint"`
	Services []rudderfork.Service `cbor:"4,keyasint"`
	Leaving  bool                 `cbor:"5,keyasint,omitempty"`
}

// Upstreams is the complete list of live agents with services.
type Upstreams struct {
	Revision rudderfork.Revision `cbor:"1,keyasint"`
	List     []UpstreamInfo      `cbor:"2,keyasint"`
}

// Assign is the complete list of leases of a VM.
type Assign struct {
	Epoch    rudderfork.Token    `cbor:"1,keyasint"`
	Revision rudderfork.Revision `cbor:"2,keyasint"`
	Leases   []rudderfork.Lease  `cbor:"3,keyasint"`
	Draining bool                `cbor:"4,keyasint,omitempty"`
}

// Grant answers a Heartbeat and extends the lease of the VM. With epoch 0 it only confirms that the
// leader is alive.
type Grant struct {
	Epoch    rudderfork.Token `cbor:"1,keyasint"`
	Deadline int64            `cbor:"2,keyasint"` // Unix ms
}

// Heartbeat is the heartbeat of a node. Control answers an agent's with a Grant.
type Heartbeat struct {
	TableRevision rudderfork.Revision `cbor:"1,keyasint"` // of the sender's table
	Epoch         rudderfork.Token    `cbor:"2,keyasint,omitempty"`
	Services      []ServiceUsage      `cbor:"3,keyasint,omitempty"`
	Tasks         []TaskUsage         `cbor:"4,keyasint,omitempty"`
	Leaving       bool                `cbor:"5,keyasint,omitempty"`

	// Exhausted means that throttling all tasks was not enough for the services to meet their
	// targets.
	Exhausted bool `cbor:"6,keyasint,omitempty"`
}

// ServiceUsage summarizes a service's requests at one upstream since the last heartbeat.
type ServiceUsage struct {
	Service  rudderfork.Service `cbor:"1,keyasint"`
	Requests int                `cbor:"2,keyasint"`
	MeanUS   int64              `cbor:"3,keyasint"` // time in the upstream, µs
	TailUS   int64              `cbor:"4,keyasint"` // 95th percentile, µs
	Refused  int                `cbor:"5,keyasint,omitempty"`
	Busy     float64            `cbor:"6,keyasint,omitempty"` // share of slots in use
}

// TaskUsage is the measured usage of a task.
type TaskUsage struct {
	Task       rudderfork.TaskID    `cbor:"1,keyasint"`
	Token      rudderfork.Token     `cbor:"2,keyasint"`
	Used       rudderfork.Resources `cbor:"3,keyasint"`
	Checkpoint int64                `cbor:"4,keyasint,omitempty"`
	Progress   int64                `cbor:"5,keyasint,omitempty"` // units done
	Throttle   int                  `cbor:"6,keyasint,omitempty"`
	At         int64                `cbor:"7,keyasint"` // of the measurement, Unix ms
}

// ReportBatch reports how attempts ended. It is resent until it is acknowledged.
type ReportBatch struct {
	ID      uint64              `cbor:"1,keyasint"`
	Reports []rudderfork.Report `cbor:"2,keyasint"`
}

// ReportsAck acknowledges a ReportBatch once it is committed.
type ReportsAck struct {
	ID uint64 `cbor:"1,keyasint"`
}

// ClaimRequest requests a claim.
type ClaimRequest struct {
	ID    uint64        `cbor:"1,keyasint"`
	Claim state.Acquire `cbor:"2,keyasint"`
}

// SettleRequest settles a claim.
type SettleRequest struct {
	ID     uint64       `cbor:"1,keyasint"`
	Settle state.Settle `cbor:"2,keyasint"`
}

// CommandResult answers a ClaimRequest or a SettleRequest.
type CommandResult struct {
	ID     uint64       `cbor:"1,keyasint"`
	Result state.Result `cbor:"2,keyasint"`
	Failed string       `cbor:"3,keyasint,omitempty"` // error text if the command was not, or possibly not, committed
}

// DecisionRecord is a decision that an agent made by itself. It is kept to explain what happened to
// a task.
type DecisionRecord struct {
	At     int64             `cbor:"1,keyasint"` // Unix ms
	Task   rudderfork.TaskID `cbor:"2,keyasint"`
	What   string            `cbor:"3,keyasint"`
	Reason string            `cbor:"4,keyasint"`
}

// ToAgent is a message from an entry to an agent, in the session beside the requests.
type ToAgent struct {
	Probe *Probe `cbor:"1,keyasint,omitempty"`
	Fence *Fence `cbor:"2,keyasint,omitempty"`

	// Drained answers ToEntry.Stopping: the entry has no request in flight to the agent and sends
	// no more.
	Drained bool `cbor:"3,keyasint,omitempty"`
}

// ToEntry is a message from an agent to an entry.
type ToEntry struct {
	Load   *LoadReport `cbor:"1,keyasint,omitempty"`
	Fenced *Fenced     `cbor:"2,keyasint,omitempty"`

	// Stopping is sent unasked when the agent is about to end and accepts no more requests. Loads
	// received after it in the same session may be older.
	Stopping bool `cbor:"3,keyasint,omitempty"`

	// InterimAnswers is sent unasked as the first message of a session: the agent sends interim
	// responses while a request that asks for them is in progress (relay.SendInterim). Without it,
	// silence of the agent means nothing.
	InterimAnswers bool `cbor:"4,keyasint,omitempty"`
}

// Probe requests the present load.
type Probe struct {
	Service rudderfork.Service `cbor:"1,keyasint"`
}

// LoadReport answers a Probe.
type LoadReport struct {
	Service rudderfork.Service `cbor:"1,keyasint"`
	Load    rudderfork.Load    `cbor:"2,keyasint"`
}

// Fence asks for the state of a claimed request. If the agent has not received the request, it
// refuses it from then on.
type Fence struct {
	ID    uint64           `cbor:"1,keyasint"`
	Key   state.ClaimKey   `cbor:"2,keyasint"`
	Token rudderfork.Token `cbor:"3,keyasint"`
	Boot  string           `cbor:"4,keyasint"` // of the agent that the claim names
}

// RequestState is what an agent knows of a claimed request.
type RequestState string

// The states.
const (
	RequestNever   RequestState = "never"   // did not run, and never will under this token
	RequestRunning RequestState = "running" // in progress at the upstream
	RequestDone    RequestState = "done"    // the response is known
	RequestUnknown RequestState = "unknown"
)

// Fenced answers a Fence.
type Fenced struct {
	ID     uint64        `cbor:"1,keyasint"`
	State  RequestState  `cbor:"2,keyasint"`
	Answer *state.Answer `cbor:"3,keyasint,omitempty"`
}
