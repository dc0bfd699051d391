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

// Peer is a message between control processes. It is sent by the process that dialled the link.
type Peer struct {
	Quorum    *quorum.Message `cbor:"1,keyasint,omitempty"`
	Join      *quorum.Member  `cbor:"2,keyasint,omitempty"` // the replica that requests to become a member
	Self      *quorum.Member  `cbor:"3,keyasint,omitempty"` // the sender; sent once, first
	Forwarded bool            `cbor:"4,keyasint,omitempty"` // Join was forwarded by a follower
}

// NodeKind is the kind of a process that has a session with the control processes.
type NodeKind string

// The kinds of node.
const (
	KindEntry NodeKind = "entry"
	KindAgent NodeKind = "agent"
)

// ToControl is a message from an entry or agent to a control process, in a node session.
type ToControl struct {
	Hello     *Hello           `cbor:"1,keyasint,omitempty"`
	Heartbeat *Heartbeat       `cbor:"2,keyasint,omitempty"`
	Reports   *ReportBatch     `cbor:"3,keyasint,omitempty"`
	Claim     *ClaimRequest    `cbor:"4,keyasint,omitempty"`
	Settle    *SettleRequest   `cbor:"5,keyasint,omitempty"`
	Decisions []DecisionRecord `cbor:"6,keyasint,omitempty"`
}

// ToNode is a message from a control process to an entry or agent, in a node session.
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
//
// A boot ID identifies one start of an entry or agent. An incarnation, in the messages of the queue
// session, identifies one start of a VM's executor.
type Hello struct {
	Version       int                 `cbor:"1,keyasint"` // of the messages
	Kind          NodeKind            `cbor:"2,keyasint"`
	Process       string              `cbor:"3,keyasint"` // name of the sender
	Place         rudderfork.Place    `cbor:"4,keyasint"`
	Boot          string              `cbor:"5,keyasint"`           // boot ID: a random string, new with each start of the sending process
	Admin         string              `cbor:"6,keyasint"`           // host:port of its admin server
	TableRevision rudderfork.Revision `cbor:"7,keyasint"`           // of the sender's table
	Register      *state.Register     `cbor:"8,keyasint,omitempty"` // registers the VM of an agent; nil for an entry, or while the agent does not reach its worker
}

// Redirect says that another control process leads. Addr is empty if the leader is unknown.
type Redirect struct {
	Addr string `cbor:"1,keyasint,omitempty"`
}

// Welcome accepts a session.
type Welcome struct {
	Epoch rudderfork.Token `cbor:"1,keyasint"` // of the VM, see state.VM.Epoch; 0 without a registered VM
}

// Update is the difference between two revisions of the table. From is 0 if it is the whole table.
type Update struct {
	From  rudderfork.Revision `cbor:"1,keyasint"`
	To    rudderfork.Revision `cbor:"2,keyasint"`
	Cells []rudderfork.Cell   `cbor:"3,keyasint,omitempty"`
}

// UpstreamInfo is a VM that serves requests.
type UpstreamInfo struct {
	Place    rudderfork.Place     `cbor:"1,keyasint"`
	Addr     string               `cbor:"2,keyasint"` // of its agent, for requests, host:port
	Boot     string               `cbor:"3,keyasint"` // boot ID of its agent
	Services []rudderfork.Service `cbor:"4,keyasint"`
	Leaving  bool                 `cbor:"5,keyasint,omitempty"` // the VM is being drained: it gets no new requests
}

// Upstreams is the complete list of the VMs with services, including those lost a short time ago.
type Upstreams struct {
	Revision rudderfork.Revision `cbor:"1,keyasint"`
	List     []UpstreamInfo      `cbor:"2,keyasint"`
}

// Assign is the complete list of leases of a VM.
type Assign struct {
	Epoch    rudderfork.Token    `cbor:"1,keyasint"` // of the VM
	Revision rudderfork.Revision `cbor:"2,keyasint"` // of the last change of the VM, see state.VM.Revision
	Leases   []rudderfork.Lease  `cbor:"3,keyasint"`
	Draining bool                `cbor:"4,keyasint,omitempty"` // the VM is being drained: its agent refuses new requests
}

// Grant answers a Heartbeat and extends the lease of the VM until Deadline. With epoch 0 it extends
// no lease and only shows that the leader is alive.
type Grant struct {
	Epoch    rudderfork.Token `cbor:"1,keyasint"`
	Deadline int64            `cbor:"2,keyasint"` // Unix ms
}

// Heartbeat is the heartbeat of an entry or agent. The leader answers with a Grant, unless the VM has
// another epoch or may not be granted a lease now.
type Heartbeat struct {
	TableRevision rudderfork.Revision `cbor:"1,keyasint"`           // of the sender's table
	Epoch         rudderfork.Token    `cbor:"2,keyasint,omitempty"` // of the VM whose lease is to be extended; 0 for no lease
	Services      []ServiceUsage      `cbor:"3,keyasint,omitempty"`
	Tasks         []TaskUsage         `cbor:"4,keyasint,omitempty"`
	Leaving       bool                `cbor:"5,keyasint,omitempty"` // the sender shuts down, or is the agent of a VM that is being drained

	// Exhausted means that throttling all tasks was not enough for the services to meet their
	// targets.
	Exhausted bool `cbor:"6,keyasint,omitempty"`
}

// ServiceUsage summarizes a service's requests at one upstream since the last heartbeat.
type ServiceUsage struct {
	Service  rudderfork.Service `cbor:"1,keyasint"`
	Requests int                `cbor:"2,keyasint"`           // requests whose time was measured
	MeanUS   int64              `cbor:"3,keyasint"`           // mean time of a request at the upstream, µs
	TailUS   int64              `cbor:"4,keyasint"`           // 95th percentile of the same, µs
	Refused  int                `cbor:"5,keyasint,omitempty"` // requests that the agent refused
	Busy     float64            `cbor:"6,keyasint,omitempty"` // share of slots in use
}

// TaskUsage is the measured usage of a task.
type TaskUsage struct {
	Task       rudderfork.TaskID    `cbor:"1,keyasint"`
	Token      rudderfork.Token     `cbor:"2,keyasint"` // of its lease
	Used       rudderfork.Resources `cbor:"3,keyasint"`
	Checkpoint int64                `cbor:"4,keyasint,omitempty"` // units of work saved
	Progress   int64                `cbor:"5,keyasint,omitempty"` // units of work done
	Throttle   int                  `cbor:"6,keyasint,omitempty"` // throttle level; 0 for full speed
	At         int64                `cbor:"7,keyasint"`           // time of the measurement, Unix ms
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

// ClaimRequest requests a claim: the right to run one request at most once.
type ClaimRequest struct {
	ID    uint64        `cbor:"1,keyasint"`
	Claim state.Acquire `cbor:"2,keyasint"`
}

// SettleRequest settles a claim: it records the answer to the claimed request, or releases the claim.
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
	What   string            `cbor:"3,keyasint"` // the decision, as "throttled"
	Reason string            `cbor:"4,keyasint"`
}

// ToAgent is a message from an entry to an agent, in a probe session. The requests themselves are
// sent over HTTP.
type ToAgent struct {
	Probe *Probe `cbor:"1,keyasint,omitempty"`
	Fence *Fence `cbor:"2,keyasint,omitempty"`

	// Drained answers ToEntry.Stopping: the entry has no request in flight to the agent and sends
	// no more.
	Drained bool `cbor:"3,keyasint,omitempty"`
}

// ToEntry is a message from an agent to an entry, in a probe session.
type ToEntry struct {
	Load   *LoadReport `cbor:"1,keyasint,omitempty"`
	Fenced *Fenced     `cbor:"2,keyasint,omitempty"`

	// Stopping is sent without a request when the agent is about to end and accepts no more requests.
	// A load that is received after it in the same session may have been sent before it.
	Stopping bool `cbor:"3,keyasint,omitempty"`

	// InterimAnswers is sent as the first message of a session. It says that the agent sends interim
	// responses while a request that asks for them is in progress (relay.SendInterim). An entry that
	// has not received it must not conclude from missing interim responses that a request has failed.
	InterimAnswers bool `cbor:"4,keyasint,omitempty"`
}

// Probe requests the present load of a service.
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
	Boot  string           `cbor:"4,keyasint"` // boot ID of the agent that the claim names
}

// RequestState is what an agent knows of a claimed request.
type RequestState string

// The states.
const (
	RequestNever   RequestState = "never"   // did not run, and never will under this token
	RequestRunning RequestState = "running" // in progress at the upstream
	RequestDone    RequestState = "done"    // the response is known
	RequestUnknown RequestState = "unknown" // the agent cannot tell, for example because it was started later
)

// Fenced answers a Fence.
type Fenced struct {
	ID     uint64        `cbor:"1,keyasint"`
	State  RequestState  `cbor:"2,keyasint"`
	Answer *state.Answer `cbor:"3,keyasint,omitempty"`
}
