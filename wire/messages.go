package wire

import (
	"fmt"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// Version is the version of the messages. A process refuses another.
const Version = 1

// CheckVersion refuses a process that speaks another version.
func CheckVersion(process string, version int) error {
	if version != Version {
		return fmt.Errorf("%s speaks version %d; want %d", process, version, Version)
	}
	return nil
}

// Peer passes between control processes, from the one that dialled.
type Peer struct {
	Quorum    *quorum.Message `cbor:"1,keyasint,omitempty"`
	Join      *quorum.Member  `cbor:"2,keyasint,omitempty"` // asks to be added
	Self      *quorum.Member  `cbor:"3,keyasint,omitempty"` // the sender, once at the start
	Forwarded bool            `cbor:"4,keyasint,omitempty"` // Join was passed on by a follower
}

// NodeKind tells the two kinds of process that hold a session with control.
type NodeKind string

// The kinds of node.
const (
	KindEntry NodeKind = "entry"
	KindAgent NodeKind = "agent"
)

// ToControl is sent by entries and agents.
type ToControl struct {
	Hello     *Hello         `cbor:"1,keyasint,omitempty"`
	Heartbeat *Heartbeat     `cbor:"2,keyasint,omitempty"`
	Reports   *ReportBatch   `cbor:"3,keyasint,omitempty"`
	Claim     *ClaimRequest  `cbor:"4,keyasint,omitempty"`
	Settle    *SettleRequest `cbor:"5,keyasint,omitempty"`
	Notes     []DecisionNote `cbor:"6,keyasint,omitempty"`
}

// ToNode is sent by control.
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

// Hello opens a session. Region, failure domain and group of the sender stand
// in its place, so that a regional relay can later stand between.
type Hello struct {
	Version       int                 `cbor:"1,keyasint"`
	Kind          NodeKind            `cbor:"2,keyasint"`
	Process       string              `cbor:"3,keyasint"`
	Place         rudderfork.Place    `cbor:"4,keyasint"`
	Boot          string              `cbor:"5,keyasint"` // new with each start of the process
	Admin         string              `cbor:"6,keyasint"` // host:port of its admin server
	TableRevision rudderfork.Revision `cbor:"7,keyasint"` // of the table in force there
	Register      *state.Register     `cbor:"8,keyasint,omitempty"`
}

// Redirect says that another control process leads; Addr may be empty.
type Redirect struct {
	Addr string `cbor:"1,keyasint,omitempty"`
}

// Welcome says that the session stands.
type Welcome struct {
	Epoch rudderfork.Token `cbor:"1,keyasint"` // of the VM; agents only
}

// Update brings the table from one revision to a later one.
type Update struct {
	From  rudderfork.Revision `cbor:"1,keyasint"`
	To    rudderfork.Revision `cbor:"2,keyasint"`
	Cells []rudderfork.Cell   `cbor:"3,keyasint,omitempty"`
}

// UpstreamInfo is one VM that serves.
type UpstreamInfo struct {
	Place    rudderfork.Place     `cbor:"1,keyasint"`
	Addr     string               `cbor:"2,keyasint"`
	Boot     string               `cbor:"3,keyasint"`
	Services []rudderfork.Service `cbor:"4,keyasint"`
	Leaving  bool                 `cbor:"5,keyasint,omitempty"`
}

// Upstreams is the whole list of live agents with services.
type Upstreams struct {
	Revision rudderfork.Revision `cbor:"1,keyasint"`
	List     []UpstreamInfo      `cbor:"2,keyasint"`
}

// Assign is all that a VM is to run.
type Assign struct {
	Epoch    rudderfork.Token    `cbor:"1,keyasint"`
	Revision rudderfork.Revision `cbor:"2,keyasint"`
	Leases   []rudderfork.Lease  `cbor:"3,keyasint"`
	Draining bool                `cbor:"4,keyasint,omitempty"`
}

// Grant answers a Beat. It extends the VM's lease; with epoch 0 it is a sign of
// life alone.
type Grant struct {
	Epoch    rudderfork.Token `cbor:"1,keyasint"`
	Deadline int64            `cbor:"2,keyasint"` // Unix ms
}

// Heartbeat is the heartbeat of a node. Control answers an agent's with a Grant.
type Heartbeat struct {
	TableRevision rudderfork.Revision `cbor:"1,keyasint"` // of the table in force there
	Epoch         rudderfork.Token    `cbor:"2,keyasint,omitempty"`
	Services      []ServiceUsage      `cbor:"3,keyasint,omitempty"`
	Tasks         []TaskUsage         `cbor:"4,keyasint,omitempty"`
	Leaving       bool                `cbor:"5,keyasint,omitempty"`

	// Exhausted says that throttling all tasks was not enough for the services.
	Exhausted bool `cbor:"6,keyasint,omitempty"`
}

// ServiceUsage sums up a service's requests at one upstream since the last beat.
type ServiceUsage struct {
	Service  rudderfork.Service `cbor:"1,keyasint"`
	Requests int                `cbor:"2,keyasint"`
	MeanUS   int64              `cbor:"3,keyasint"` // time in the upstream, µs
	TailUS   int64              `cbor:"4,keyasint"` // 95th percentile, µs
	Refused  int                `cbor:"5,keyasint,omitempty"`
	Busy     float64            `cbor:"6,keyasint,omitempty"` // share of slots in use
}

// TaskUsage is what a task was seen to use.
type TaskUsage struct {
	Task       rudderfork.TaskID    `cbor:"1,keyasint"`
	Token      rudderfork.Token     `cbor:"2,keyasint"`
	Used       rudderfork.Resources `cbor:"3,keyasint"`
	Checkpoint int64                `cbor:"4,keyasint,omitempty"`
	Progress   int64                `cbor:"5,keyasint,omitempty"` // units done
	Throttle   int                  `cbor:"6,keyasint,omitempty"`
	At         int64                `cbor:"7,keyasint"` // of the measurement, Unix ms
}

// ReportBatch says how attempts ended. It is resent until taken.
type ReportBatch struct {
	ID      uint64              `cbor:"1,keyasint"`
	Reports []rudderfork.Report `cbor:"2,keyasint"`
}

// ReportsAck answers a ReportBatch once it is committed.
type ReportsAck struct {
	ID uint64 `cbor:"1,keyasint"`
}

// ClaimRequest asks for a claim.
type ClaimRequest struct {
	ID  uint64         `cbor:"1,keyasint"`
	Ask state.ClaimAsk `cbor:"2,keyasint"`
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
	Failed string       `cbor:"3,keyasint,omitempty"` // not committed, or not known to be
}

// DecisionNote is a decision that an agent took by itself, for explanations.
type DecisionNote struct {
	At     int64             `cbor:"1,keyasint"` // Unix ms
	Task   rudderfork.TaskID `cbor:"2,keyasint"`
	What   string            `cbor:"3,keyasint"`
	Reason string            `cbor:"4,keyasint"`
}

// ToAgent is sent by an entry to an agent, beside the requests.
type ToAgent struct {
	Probe *Probe `cbor:"1,keyasint,omitempty"`
	Fence *Fence `cbor:"2,keyasint,omitempty"`

	// Drained answers ToEntry.Stopping: no request of this entry is on its way to
	// the agent, and none will be sent.
	Drained bool `cbor:"3,keyasint,omitempty"`
}

// ToEntry answers it.
type ToEntry struct {
	Load   *LoadReport `cbor:"1,keyasint,omitempty"`
	Fenced *Fenced     `cbor:"2,keyasint,omitempty"`

	// Stopping comes unasked: the agent is to end and takes no more requests.
	// Loads that come after it in the same session may be older.
	Stopping bool `cbor:"3,keyasint,omitempty"`

	// InterimAnswers comes unasked, first in a session: the agent gives signs of life while
	// it has a request that asks for them (relay.GiveSigns). Of an agent that does
	// not say so, silence says nothing.
	InterimAnswers bool `cbor:"4,keyasint,omitempty"`
}

// Probe asks for the present load.
type Probe struct {
	Service rudderfork.Service `cbor:"1,keyasint"`
}

// LoadReport answers a Probe.
type LoadReport struct {
	Service rudderfork.Service `cbor:"1,keyasint"`
	Load    rudderfork.Load    `cbor:"2,keyasint"`
}

// Fence asks what became of a claimed request. If the agent has not seen it, it
// will refuse it from now on.
type Fence struct {
	ID    uint64           `cbor:"1,keyasint"`
	Key   state.ClaimKey   `cbor:"2,keyasint"`
	Token rudderfork.Token `cbor:"3,keyasint"`
	Boot  string           `cbor:"4,keyasint"` // that the claim names
}

// RequestState is what an agent knows of a claimed request.
type RequestState string

// The fates.
const (
	RequestNever   RequestState = "never"   // not run, and never will under this token
	RequestRunning RequestState = "running" // at the upstream now
	RequestDone    RequestState = "done"    // the answer is known
	RequestUnknown RequestState = "unknown"
)

// Fenced answers a Fence.
type Fenced struct {
	ID     uint64        `cbor:"1,keyasint"`
	State  RequestState  `cbor:"2,keyasint"`
	Answer *state.Answer `cbor:"3,keyasint,omitempty"`
}
