// Package quorum is the replication core: Raft (Ongaro and Ousterhout 2014;
// Ongaro's thesis 2014) as a state machine without I/O.
//
// A Node is one replica. The caller feeds it messages, proposals and the time,
// then takes a Ready: what to make durable, what to send, what to apply.
//
//	n.Step(m, now)            // or Tick, Propose, ProposeMembers
//	rd := n.Ready()
//	send(rd.Early)            // appends need not wait for the leader's disk
//	save(rd)                  // hard state, snapshot, entries; synced
//	send(rd.Messages)         // votes and acknowledgements
//	n.Persisted(rd, now)      // lets the leader count its own copy
//	apply(n.Committed())
//
// The node may be fed on while a save is under way; n.Early() then returns what need not
// wait for it. The next Ready is taken once the one before is Persisted.
//
// Beyond the basic algorithm it has: pre-vote with leader stickiness, so a
// replica that was cut off does not disturb the rest; step-down of a leader
// that a quorum no longer answers; snapshots; non-voting replicas; and changes
// of one voter at a time, allowed only after an entry of the leader's own term
// has committed. A leader that is to stop hands its part to another (Transfer).
//
// Time enters in one way. Every append carries the leader's clock and its
// acknowledgement echoes it. QuorumContact is the newest time T such that a
// quorum acknowledged appends sent at T or later. No other leader can have been
// elected before T, so a read that arrived before T is current, and a lease
// granted until T plus a term ends at most a term after the next election. Only
// the leader's own clock is compared with itself.
package quorum

import (
	"time"

	"rudderfork.example/rudderfork"
)

// MemberID names one life of a replica's data folder. A replica that lost its
// disk comes back under a new ID, so that it cannot vote with an empty memory.
type MemberID string

// Member is one replica of the group.
type Member struct {
	ID    MemberID `cbor:"1,keyasint" json:"id"`
	Name  string   `cbor:"2,keyasint" json:"name"` // the same over all lives
	Addr  string   `cbor:"3,keyasint" json:"addr"` // host:port
	Voter bool     `cbor:"4,keyasint,omitempty" json:"voter"`

	// Domain is where its machine stands, "" if it has not said so.
	Domain rudderfork.Domain `cbor:"5,keyasint,omitempty" json:"domain,omitempty"`
}

// EntryKind tells entries apart.
type EntryKind uint8

// The kinds of entry.
const (
	EntryNoop    EntryKind = iota // opens a leader's term
	EntryCommand                  // Data is for the state machine
	EntryMembers                  // Members replaces the group's members
)

// Entry is one place of the replicated log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members []Member  `cbor:"5,keyasint,omitempty"`
}

// HardState is what a replica must not forget: its term and its vote in it.
type HardState struct {
	Term uint64   `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint,omitempty"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint"`
}

// MessageType tells messages apart.
type MessageType uint8

// The types of message.
const (
	MsgAppend MessageType = iota + 1
	MsgAppendReply
	MsgPreVote
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgSnapshot
	MsgTimeoutNow // asks a voter to campaign at once, since its leader stops
)

// Message passes between two replicas. Lost, doubled and reordered messages
// cost time, never safety.
type Message struct {
	Type     MessageType `cbor:"1,keyasint"`
	From     MemberID    `cbor:"2,keyasint"`
	To       MemberID    `cbor:"3,keyasint"`
	Term     uint64      `cbor:"4,keyasint"`
	LogIndex uint64      `cbor:"5,keyasint,omitempty"` // previous or last index
	LogTerm  uint64      `cbor:"6,keyasint,omitempty"`
	Commit   uint64      `cbor:"7,keyasint,omitempty"`
	Entries  []Entry     `cbor:"8,keyasint,omitempty"`
	Snapshot *Snapshot   `cbor:"9,keyasint,omitempty"`
	Reject   bool        `cbor:"10,keyasint,omitempty"`
	Match    uint64      `cbor:"11,keyasint,omitempty"` // replies: highest index known equal, or hint
	SentNS   int64       `cbor:"12,keyasint,omitempty"` // leader's clock, Unix ns, echoed
	Transfer bool        `cbor:"13,keyasint,omitempty"` // votes: the leader itself gave up its part
}

// Ready is the work a Node asks of its caller, in the order of the fields.
type Ready struct {
	EarlyMessages []Message // send at once
	HardState     *HardState
	Snapshot      *Snapshot // replaces the log up to its index
	Entries       []Entry   // append; entries at or past the first's index are replaced
	Messages      []Message // send once the above is synced
}

// Empty reports whether there is nothing to do.
func (rd Ready) Empty() bool {
	return len(rd.EarlyMessages) == 0 && rd.HardState == nil && rd.Snapshot == nil && len(rd.Entries) == 0 && len(rd.Messages) == 0
}

// MustSync reports whether something must be synced.
func (rd Ready) MustSync() bool {
	return rd.HardState != nil || rd.Snapshot != nil || len(rd.Entries) > 0
}

// Role is a replica's part in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config sets up a Node.
type Config struct {
	ID MemberID
	// ElectionTimeout is the least silence after which a replica campaigns;
	// each wait is drawn between it and its double.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the pause between appends to an idle replica.
	HeartbeatInterval time.Duration
	// Seed makes the draws repeatable.
	Seed uint64
	// MaxBatchBytes bounds the payload bytes of one append; 0 means 1 MiB.
	MaxBatchBytes int
}
