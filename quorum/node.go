package quorum

import (
	"math/rand/v2"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	defaultMaxBatchBytes = 1 << 20
	// trailingEntries is the number of entries kept before a snapshot's index, so
	// that a replica that lags a little needs no snapshot.
	trailingEntries = 2000
	// trailingBytes bounds the payload of these entries, since one entry may hold a
	// document of hundreds of kilobytes.
	trailingBytes = 8 << 20
	// maxUnacked bounds the entries sent to a replica and not yet acknowledged.
	maxUnacked = 4096
)

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	rng    *rand.Rand
	log    *log
	hard   HardState
	role   Role
	leader MemberID

	commit  uint64
	applied uint64
	stable  uint64 // highest index known durable on this replica

	// electionAt is when this replica campaigns unless it receives an append first;
	// leaderContactAt is when it last received a message of the current leader.
	electionAt      time.Time
	leaderContactAt time.Time

	votes map[MemberID]bool // replies to the current campaign: true if granted

	// Leader only.
	peers         map[MemberID]*progress
	heartbeatAt   time.Time // next appends to all; ConfirmLeadership postpones it
	quorumCheckAt time.Time // next check that a quorum answers
	termStart     uint64    // index of the first entry of the leader's own term

	pending   Ready // work that Ready has not returned yet
	hardDirty bool  // hard has changed since the last Ready

	transferCampaign bool // the leader requested the campaign

	// transferee is the target of a leadership transfer that ends at transferDeadline.
	transferee       MemberID
	transferDeadline time.Time

	view peerView

	domains map[string]rudderfork.Domain // by member name; see SetDomain
}

// progress is the replication progress of another replica, tracked by the leader.
type progress struct {
	match          uint64    // highest index up to which its log is known to match
	next           uint64    // index of the next entry to send
	ackedNS        int64     // newest SentNS in its replies (leader's clock)
	nextSnapshotAt time.Time // earliest time of the next snapshot
	trackedSinceNS int64     // leader's clock when tracking began; silence counts from then at the earliest
	probedNS       int64     // leader's clock at the last append sent after a rejection
}

// New returns a replica that resumes from its stored hard state, snapshot and
// entries. A replica whose ID is not among the members never campaigns; it waits
// to be added.
func New(cfg Config, hs HardState, snap Snapshot, entries []Entry, now time.Time) *Node {
	if cfg.MaxBatchBytes == 0 {
		cfg.MaxBatchBytes = defaultMaxBatchBytes
	}
	n := &Node{
		cfg: cfg, hard: hs,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		log:    newLog(snap, entries),
		commit: snap.Index, applied: snap.Index, view: newPeerView(), domains: map[string]rudderfork.Domain{},
	}
	n.stable = n.log.last()
	n.resetElection(now)
	return n
}

// ID returns the replica's own ID.
func (n *Node) ID() MemberID { return n.cfg.ID }

// Role returns the replica's role in its term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Leader returns the ID of the current term's leader, or "" if it is not known.
func (n *Node) Leader() MemberID { return n.leader }

// Members returns the group's members according to the newest EntryMembers in the
// log, committed or not.
func (n *Node) Members() []Member { return n.log.members() }

// CommitIndex returns the highest index known committed.
func (n *Node) CommitIndex() uint64 { return n.commit }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// LastTerm returns the term of the last entry. A replica grants its vote only to a
// log that has a later last term, or the same and at least its own length.
func (n *Node) LastTerm() uint64 { return n.log.lastTerm() }

// HasEntry reports whether the log has an entry with this index and term, and has
// not compacted it.
func (n *Node) HasEntry(index, term uint64) bool {
	t, ok := n.log.term(index)
	return ok && t == term
}

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snap.Index }

// CommittedInTerm reports whether this replica leads and has committed an entry of
// its own term. Before that, its commit index may be lower than that of the group.
func (n *Node) CommittedInTerm() bool { return n.role == Leader && n.commit >= n.termStart }

// Member returns the member with the given ID.
func (n *Node) Member(id MemberID) (Member, bool) {
	for _, m := range n.log.members() {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

func (n *Node) isVoter() bool {
	m, ok := n.Member(n.cfg.ID)
	return ok && m.Voter
}

// Voters returns how many members have a vote.
func (n *Node) Voters() int { return len(n.voters()) }

func (n *Node) voters() []MemberID {
	var ids []MemberID
	for _, m := range n.log.members() {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// NextDeadline returns when Tick is next due.
func (n *Node) NextDeadline() time.Time {
	if n.role == Leader && n.quorumCheckAt.Before(n.heartbeatAt) {
		return n.quorumCheckAt
	}
	if n.role == Leader {
		return n.heartbeatAt
	}
	return n.electionAt
}

// Tick does the work of deadlines that have passed: a campaign, or a leader's
// heartbeats and its check that a quorum answers.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionAt) {
		return
	}
	n.resetElection(now)
	if n.isVoter() {
		n.campaign(PreCandidate, now)
	}
}

func (n *Node) resetElection(now time.Time) {
	extra := time.Duration(n.rng.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionAt = now.Add(n.cfg.ElectionTimeout + extra)
}

// Step handles one message from another replica.
func (n *Node) Step(m Message, now time.Time) {
	if m.To != n.cfg.ID {
		return // sent to an earlier incarnation of this replica
	}
	n.recordMessage(m, now)
	if m.Term > n.hard.Term && !n.stepHigherTerm(m, now) {
		return
	}
	if m.Term < n.hard.Term {
		n.rejectStale(m)
		return
	}
	switch m.Type {
	case MsgAppend:
		n.onAppend(m, now)
	case MsgSnapshot:
		n.onSnapshot(m, now)
	case MsgAppendReply:
		n.onAppendReply(m, now)
	case MsgPreVote, MsgVote:
		n.onVoteRequest(m, now)
	case MsgPreVoteReply, MsgVoteReply:
		n.onVoteReply(m, now)
	case MsgTimeoutNow:
		n.onTimeoutNow(m, now)
	}
}

// stepHigherTerm handles the higher term of a message: it adopts the term unless
// the message is a pre-vote, a granted pre-vote, or a vote request that is refused
// because a leader is alive. It reports whether Step continues with the message.
func (n *Node) stepHigherTerm(m Message, now time.Time) bool {
	switch m.Type {
	case MsgPreVote:
		n.onVoteRequest(m, now) // a pre-vote never changes a term
		return false
	case MsgPreVoteReply:
		if !m.Reject {
			n.onVoteReply(m, now)
			return false
		}
	case MsgVote:
		if n.leaderAlive(now) && !m.Transfer {
			return false
		}
	}
	n.becomeFollower(m.Term, "", now)
	return true
}

// rejectStale answers an append, a snapshot or a pre-vote of a past term with the
// current term. Other messages of a past term are ignored.
func (n *Node) rejectStale(m Message) {
	switch m.Type {
	case MsgAppend, MsgSnapshot:
		n.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Match: n.log.last()})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) becomeFollower(term uint64, leader MemberID, now time.Time) {
	if term != n.hard.Term {
		n.hard = HardState{Term: term}
		n.hardDirty = true
	}
	n.role = Follower
	n.leader = leader
	if leader != "" {
		n.view.clearReplies()
	}
	n.transferee = ""
	n.peers = nil
	n.votes = nil
	n.resetElection(now)
}

// leaderAlive reports whether this replica had contact with a leader within the
// minimum election timeout, or with a quorum if it leads. While it is true, votes
// for others are refused, except in a leadership transfer.
func (n *Node) leaderAlive(now time.Time) bool {
	if n.role == Leader {
		return now.Sub(n.QuorumContact(now)) < n.cfg.ElectionTimeout
	}
	return n.leader != "" && now.Sub(n.leaderContactAt) < n.cfg.ElectionTimeout
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.pending.Messages = append(n.pending.Messages, m)
}

// Ready returns the pending work and clears it.
func (n *Node) Ready() Ready {
	rd := n.pending
	n.pending = Ready{}
	if n.hardDirty {
		hs := n.hard
		rd.HardState = &hs
		n.hardDirty = false
		// A new term must be durable before anything is sent in it.
		rd.Messages = append(rd.EarlyMessages, rd.Messages...)
		rd.EarlyMessages = nil
	}
	if first := n.stable + 1; first <= n.log.last() {
		rd.Entries = n.log.slice(first, int(^uint(0)>>1))
	}
	return rd
}

// TakeEarlyMessages returns and clears the messages that need not wait for the disk.
// There are none while Ready has not returned a changed hard state yet.
func (n *Node) TakeEarlyMessages() (ms []Message) {
	if n.hardDirty {
		return nil
	}
	ms, n.pending.EarlyMessages = n.pending.EarlyMessages, nil
	return ms
}

// Persisted records that rd is durable.
func (n *Node) Persisted(rd Ready, now time.Time) {
	if k := len(rd.Entries); k > 0 {
		e := rd.Entries[k-1]
		// The entry may have been replaced meanwhile; the new one is not durable yet.
		if t, ok := n.log.term(e.Index); ok && t == e.Term && e.Index > n.stable {
			n.stable = e.Index
		}
	}
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Committed returns the newly committed entries and counts them as applied. On a
// leader they may be durable only on other replicas, so that a stalled disk of the
// leader does not delay them. On any other replica they are durable there too, so
// that a snapshot that is still being written is installed before them.
func (n *Node) Committed() []Entry {
	upTo := n.commit
	if n.role != Leader {
		upTo = min(upTo, n.stable)
	}
	if n.applied >= upTo {
		return nil
	}
	es := n.log.slice(n.applied+1, int(^uint(0)>>1))
	if k := upTo - n.applied; uint64(len(es)) > k {
		es = es[:k]
	}
	n.applied = upTo
	return es
}

// StableIndex returns the highest index known durable on this replica.
func (n *Node) StableIndex() uint64 { return n.stable }

// StableEntriesAfter returns the entries after index that are durable on this
// replica.
func (n *Node) StableEntriesAfter(index uint64) []Entry {
	if index >= n.stable {
		return nil
	}
	return n.log.slice(index+1, int(^uint(0)>>1))[:n.stable-index]
}

// Compact replaces the log up to s.Index, which must be applied, by s. It returns
// s with its term and members set, for the disk.
func (n *Node) Compact(s Snapshot) Snapshot {
	s.Term, _ = n.log.term(s.Index)
	n.log.compact(s, trailingEntries)
	return n.log.snap
}
