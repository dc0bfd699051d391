// Package quorum implements the Raft consensus algorithm (Ongaro and Ousterhout
// 2014; Ongaro's thesis 2014) as a state machine without I/O.
//
// A Node is one replica. The caller passes it messages, proposals and the time,
// then takes a Ready that lists what to make durable, what to send and what to
// apply.
//
//	n.Step(m, now)            // or Tick, Propose, ProposeMembers and others
//	rd := n.Ready()
//	send(rd.EarlyMessages)    // appends need not wait for the leader's disk
//	save(rd)                  // hard state, snapshot, entries; synced
//	send(rd.Messages)         // votes and acknowledgements
//	n.Persisted(rd, now)      // lets the leader count its own copy
//	apply(n.Committed())
//
// The node accepts input while a save is in progress; n.TakeEarlyMessages() then
// returns the messages that need not wait for the save. Call Ready again only
// after Persisted for the previous Ready.
//
// Beyond the basic algorithm the package implements: pre-vote with leader
// stickiness, so that a replica that was partitioned does not disrupt the group
// on its return; check-quorum, by which a leader steps down when a quorum no
// longer answers; snapshots; non-voting replicas; membership changes of one voter
// at a time, allowed only after an entry of the leader's own term has committed;
// and leadership transfer.
//
// Every append carries the leader's clock, and its acknowledgement repeats it.
// QuorumContact is the newest time T such that a quorum acknowledged appends
// sent at T or later. No other leader can have been elected before T, so a read
// that arrived before T is current, and a lease granted until T plus its duration
// ends at most that duration after the next election. The leader's clock is
// compared only with itself, so clocks need not agree between replicas.
package quorum

import (
	"time"

	"rudderfork.example/rudderfork"
)

// MemberID identifies one incarnation of a replica's data folder. A replica that
// lost its disk gets a new ID, since it no longer knows its earlier votes.
type MemberID string

// Member is one replica of the group, with or without a vote.
type Member struct {
	ID    MemberID `cbor:"1,keyasint" json:"id"`
	Name  string   `cbor:"2,keyasint" json:"name"` // the same for all incarnations
	Addr  string   `cbor:"3,keyasint" json:"addr"` // host:port
	Voter bool     `cbor:"4,keyasint,omitempty" json:"voter"`

	// Domain is the failure domain of the replica's host, "" if not reported.
	Domain rudderfork.Domain `cbor:"5,keyasint,omitempty" json:"domain,omitempty"`
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of entry.
const (
	EntryNoop    EntryKind = iota // first entry of a leader's term
	EntryCommand                  // Data is a command to the state machine
	EntryMembers                  // Members replaces the group's members
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint,omitempty"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members []Member  `cbor:"5,keyasint,omitempty"`
}

// HardState is the replica's term and its vote in that term. It must be durable
// before the replica sends a message of that term.
type HardState struct {
	Term uint64   `cbor:"1,keyasint"`
	Vote MemberID `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the state after all entries up to Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint"`
}

// MessageType is the type of a message.
type MessageType uint8

// The message types.
const (
	MsgAppend MessageType = iota + 1
	MsgAppendReply
	MsgPreVote
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgSnapshot
	MsgTimeoutNow // leadership transfer: the receiver campaigns at once
)

// Message is sent from one replica to another. Lost, duplicated and reordered
// messages cost time, never safety.
type Message struct {
	Type     MessageType `cbor:"1,keyasint"`
	From     MemberID    `cbor:"2,keyasint"`
	To       MemberID    `cbor:"3,keyasint"`
	Term     uint64      `cbor:"4,keyasint"`
	LogIndex uint64      `cbor:"5,keyasint,omitempty"` // appends: index of the entry before Entries; vote requests: index of the sender's last entry
	LogTerm  uint64      `cbor:"6,keyasint,omitempty"` // term of the entry at LogIndex; rejections: term of the entry at Match
	Commit   uint64      `cbor:"7,keyasint,omitempty"` // the leader's commit index
	Entries  []Entry     `cbor:"8,keyasint,omitempty"`
	Snapshot *Snapshot   `cbor:"9,keyasint,omitempty"`
	Reject   bool        `cbor:"10,keyasint,omitempty"`
	Match    uint64      `cbor:"11,keyasint,omitempty"` // append replies: highest index up to which the logs match; rejections: highest index at which they may match
	SentNS   int64       `cbor:"12,keyasint,omitempty"` // leader's clock when an append was sent, Unix ns; the reply repeats it
	Transfer bool        `cbor:"13,keyasint,omitempty"` // vote requests: the leader requested this campaign
}

// Ready is the work that the caller does for a Node, in the order of the fields.
type Ready struct {
	EarlyMessages []Message // send at once
	HardState     *HardState
	Snapshot      *Snapshot // replaces the log up to its index
	Entries       []Entry   // append; entries at or past the first's index are replaced
	Messages      []Message // send once the above is synced
}

// Empty reports whether there is no work.
func (rd Ready) Empty() bool {
	return len(rd.EarlyMessages) == 0 && rd.HardState == nil && rd.Snapshot == nil && len(rd.Entries) == 0 && len(rd.Messages) == 0
}

// MustSync reports whether something must be synced.
func (rd Ready) MustSync() bool {
	return rd.HardState != nil || rd.Snapshot != nil || len(rd.Entries) > 0
}

// Role is a replica's role in its term.
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

// Config holds the settings of a Node.
type Config struct {
	ID MemberID
	// ElectionTimeout is the minimum time without contact from a leader before a
	// replica campaigns. Each wait is random, between one and two timeouts.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between appends to an idle replica.
	HeartbeatInterval time.Duration
	// Seed seeds the random election waits.
	Seed uint64
	// MaxBatchBytes bounds the payload bytes of one append; 0 means 1 MiB.
	MaxBatchBytes int
}
