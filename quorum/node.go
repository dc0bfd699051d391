package quorum

import (
	"math/rand/v2"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	defaultMaxBatch = 1 << 20
	// keepEntries is how many entries stay behind a snapshot, so that a replica
	// that lags a little is brought up by entries.
	keepEntries = 2000
	// keepBytes bounds the payload of these, since an entry may hold a document of
	// hundreds of kilobytes.
	keepBytes = 8 << 20
	// maxUnacked bounds entries sent ahead of a replica's acknowledgement.
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
	stable  uint64 // highest index known durable here

	// electionAt is when silence turns into a campaign; heardAt is when the
	// present leader was last heard.
	electionAt time.Time
	heardAt    time.Time

	votes map[MemberID]bool

	// Leader only.
	peers       map[MemberID]*progress
	heartbeatAt time.Time // appends are due; reads put it off
	checkAt     time.Time // the leader looks whether a quorum answers
	termStart   uint64    // index of the first entry of the leader's own term

	out       Ready
	hardDirty bool

	transferred bool // the campaign was asked for by the leader

	// heir is whom this leader hands its part to, until heirUntil.
	heir      MemberID
	heirUntil time.Time

	view view

	domains map[string]rudderfork.Domain // by machine's name; SetDomain
}

// progress is what a leader knows of another replica.
type progress struct {
	match     uint64
	next      uint64
	acked     int64 // newest of the leader's clocks that it echoed, Unix ns
	snapAfter time.Time
	since     int64 // the leader's clock when it began to send, Unix ns: silence counts from then
	triedAt   int64 // leader's clock at the newest try after a refusal, Unix ns
}

// New returns a replica that resumes from what its disk holds. A replica whose
// ID is not among the members never campaigns; it waits to be added.
func New(cfg Config, hs HardState, snap Snapshot, entries []Entry, now time.Time) *Node {
	if cfg.MaxBatchBytes == 0 {
		cfg.MaxBatchBytes = defaultMaxBatch
	}
	n := &Node{
		cfg: cfg, hard: hs,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		log:    newLog(snap, entries),
		commit: snap.Index, applied: snap.Index, view: newView(), domains: map[string]rudderfork.Domain{},
	}
	n.stable = n.log.last()
	n.resetElection(now)
	return n
}

// ID returns the replica's own ID.
func (n *Node) ID() MemberID { return n.cfg.ID }

// Role returns the replica's part in its term.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Leader returns the known leader's ID, or "".
func (n *Node) Leader() MemberID { return n.leader }

// Members returns the group's members as the newest entry sets them.
func (n *Node) Members() []Member { return n.log.members() }

// CommitIndex returns the highest index known committed.
func (n *Node) CommitIndex() uint64 { return n.commit }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// LastTerm returns the term of the last entry. The longer log of a later term wins
// an election.
func (n *Node) LastTerm() uint64 { return n.log.lastTerm() }

// HasEntry reports whether the log has an entry of a term at an index, and has not compacted it.
func (n *Node) HasEntry(index, term uint64) bool {
	t, ok := n.log.term(index)
	return ok && t == term
}

// SnapshotIndex returns the index of the newest snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snap.Index }

// CommittedInTerm reports whether this leader has committed an entry of its own term;
// before that it may not know of all that is committed.
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

func (n *Node) voter() bool {
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

// NextDeadline is when Tick is next due.
func (n *Node) NextDeadline() time.Time {
	if n.role == Leader && n.checkAt.Before(n.heartbeatAt) {
		return n.checkAt
	}
	if n.role == Leader {
		return n.heartbeatAt
	}
	return n.electionAt
}

// Tick acts on deadlines that have passed.
func (n *Node) Tick(now time.Time) {
	if n.role == Leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionAt) {
		return
	}
	n.resetElection(now)
	if n.voter() {
		n.campaign(PreCandidate, now)
	}
}

func (n *Node) resetElection(now time.Time) {
	extra := time.Duration(n.rng.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionAt = now.Add(n.cfg.ElectionTimeout + extra)
}

// Step takes one message from another replica.
func (n *Node) Step(m Message, now time.Time) {
	if m.To != n.cfg.ID {
		return // meant for an earlier life of this replica's name
	}
	n.hear(m, now)
	if m.Term > n.hard.Term && !n.stepHigherTerm(m, now) {
		return
	}
	if m.Term < n.hard.Term {
		n.rejectOld(m)
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
		n.onTransfer(m, now)
	}
}

// stepHigherTerm moves to the message's term where that is right, and reports
// whether the message is to be handled further.
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

// rejectOld tells a sender of a past term about the present one.
func (n *Node) rejectOld(m Message) {
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
		n.view.end()
	}
	n.heir = ""
	n.peers = nil
	n.votes = nil
	n.resetElection(now)
}

// leaderAlive reports whether a leader was heard within the least election
// timeout, or this replica leads with a quorum behind it. Votes for others are
// refused then.
func (n *Node) leaderAlive(now time.Time) bool {
	if n.role == Leader {
		return now.Sub(n.QuorumContact(now)) < n.cfg.ElectionTimeout
	}
	return n.leader != "" && now.Sub(n.heardAt) < n.cfg.ElectionTimeout
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.out.Messages = append(n.out.Messages, m)
}

// Ready returns the work that has gathered, and forgets it.
func (n *Node) Ready() Ready {
	rd := n.out
	n.out = Ready{}
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

// TakeEarlyMessages returns the messages that need not wait for the disk, and forgets them. There are
// none while a new term is not yet handed out by Ready.
func (n *Node) TakeEarlyMessages() (ms []Message) {
	if n.hardDirty {
		return nil
	}
	ms, n.out.EarlyMessages = n.out.EarlyMessages, nil
	return ms
}

// Persisted notes that rd is durable.
func (n *Node) Persisted(rd Ready, now time.Time) {
	if k := len(rd.Entries); k > 0 {
		e := rd.Entries[k-1]
		// The entry may have been replaced since; then its successor is not
		// durable yet.
		if t, ok := n.log.term(e.Index); ok && t == e.Term && e.Index > n.stable {
			n.stable = e.Index
		}
	}
	if n.role == Leader {
		n.advanceCommit(now)
	}
}

// Committed returns entries that are newly committed, and counts them applied. A leader
// applies what others hold durably while its own disk stands still; elsewhere entries are
// durable here too, so that they follow a snapshot that is still being written.
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

// StableIndex returns the highest index known durable here.
func (n *Node) StableIndex() uint64 { return n.stable }

// StableEntriesAfter returns the entries after index that are durable here.
func (n *Node) StableEntriesAfter(index uint64) []Entry {
	if index >= n.stable {
		return nil
	}
	return n.log.slice(index+1, int(^uint(0)>>1))[:n.stable-index]
}

// Compact replaces the log up to s.Index, which must be applied, by s. It
// returns the snapshot with its membership, for the disk.
func (n *Node) Compact(s Snapshot) Snapshot {
	s.Term, _ = n.log.term(s.Index)
	n.log.compact(s, keepEntries)
	return n.log.snap
}
