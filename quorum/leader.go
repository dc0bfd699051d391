package quorum

import (
	"slices"
	"time"
)

// becomeLeader starts to lead in the current term. It appends an empty entry, with
// which the entries of earlier terms are committed.
func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.cfg.ID
	n.view.clearReplies()
	n.transferee = ""
	n.leaderContactAt = now
	n.peers = map[MemberID]*progress{}
	n.termStart = n.log.last() + 1
	n.resetElection(now)
	n.quorumCheckAt = now
	n.syncPeers(now)
	n.log.push(Entry{Index: n.termStart, Term: n.hard.Term, Kind: EntryNoop})
	n.broadcast(now)
}

// syncPeers adds and removes entries of peers to match the members.
func (n *Node) syncPeers(now time.Time) {
	keep := map[MemberID]bool{}
	for _, m := range n.log.members() {
		keep[m.ID] = true
		if n.peers[m.ID] == nil && m.ID != n.cfg.ID {
			n.peers[m.ID] = &progress{next: n.log.last() + 1, trackedSinceNS: now.UnixNano()}
		}
	}
	for id := range n.peers {
		if !keep[id] {
			delete(n.peers, id)
		}
	}
}

func (n *Node) tickLeader(now time.Time) {
	if !now.Before(n.quorumCheckAt) {
		n.quorumCheckAt = now.Add(n.cfg.HeartbeatInterval)
	}
	if now.Sub(n.QuorumContact(now)) > 2*n.cfg.ElectionTimeout && now.After(n.electionAt) {
		// No quorum answers; a replica that can reach one must be able to lead.
		n.becomeFollower(n.hard.Term, "", now)
		return
	}
	if !now.Before(n.heartbeatAt) {
		n.broadcast(now)
	}
}

// broadcast sends an append to every other replica. The append is empty if there are
// no entries to send.
func (n *Node) broadcast(now time.Time) {
	n.heartbeatAt = now.Add(n.cfg.HeartbeatInterval)
	for _, m := range n.log.members() {
		if p := n.peers[m.ID]; p != nil {
			n.sendAppend(m.ID, p, now, true)
		}
	}
}

// ConfirmLeadership sends appends to all replicas at once. Their acknowledgements
// move QuorumContact to now or later.
func (n *Node) ConfirmLeadership(now time.Time) {
	if n.role == Leader {
		n.broadcast(now)
	}
}

// Propose appends a command. ok is false if this replica does not lead or is
// transferring its leadership.
func (n *Node) Propose(data []byte, now time.Time) (index, term uint64, ok bool) {
	if n.role != Leader || n.transferring(now) {
		return 0, 0, false
	}
	index = n.appendEntry(Entry{Kind: EntryCommand, Data: data})
	n.flush(now)
	return index, n.hard.Term, true
}

func (n *Node) appendEntry(e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.hard.Term
	n.log.push(e)
	return e.Index
}

// flush sends each replica the entries that it has not been sent yet.
func (n *Node) flush(now time.Time) {
	for _, m := range n.log.members() {
		if p := n.peers[m.ID]; p != nil {
			n.sendAppend(m.ID, p, now, false)
		}
	}
}

// sendAppend sends the entries from p.next on, or the snapshot if the entry before
// them is compacted. If there are none, or more than maxUnacked are unacknowledged,
// it sends an empty append if force is set and nothing otherwise.
func (n *Node) sendAppend(id MemberID, p *progress, now time.Time, force bool) {
	prevTerm, ok := n.log.term(p.next - 1)
	if !ok {
		n.sendSnapshot(id, p, now)
		return
	}
	var es []Entry
	if p.next-p.match <= maxUnacked {
		es = n.log.slice(p.next, n.cfg.MaxBatchBytes)
	}
	if len(es) == 0 && !force {
		return
	}
	n.pending.EarlyMessages = append(n.pending.EarlyMessages, Message{
		Type: MsgAppend, From: n.cfg.ID, To: id, Term: n.hard.Term,
		LogIndex: p.next - 1, LogTerm: prevTerm, Commit: n.commit, Entries: es, SentNS: now.UnixNano(),
	})
	p.next += uint64(len(es))
}

// sendSnapshot sends the snapshot, at most once per election timeout.
func (n *Node) sendSnapshot(id MemberID, p *progress, now time.Time) {
	if now.Before(p.nextSnapshotAt) {
		return
	}
	p.nextSnapshotAt = now.Add(n.cfg.ElectionTimeout)
	s := n.log.snap
	n.pending.EarlyMessages = append(n.pending.EarlyMessages, Message{
		Type: MsgSnapshot, From: n.cfg.ID, To: id, Term: n.hard.Term, Snapshot: &s, Commit: n.commit, SentNS: now.UnixNano(),
	})
}

func (n *Node) onAppend(m Message, now time.Time) {
	n.followLeader(m.From, now)
	reply := Message{Type: MsgAppendReply, To: m.From, SentNS: m.SentNS}
	if m.LogIndex < n.commit {
		// The logs match up to the commit index; skip entries up to there.
		skip := n.commit - m.LogIndex
		if skip >= uint64(len(m.Entries)) {
			reply.Match = n.commit
			n.send(reply)
			return
		}
		m.LogIndex, m.LogTerm = n.commit, m.Entries[skip-1].Term
		m.Entries = m.Entries[skip:]
	}
	if t, ok := n.log.term(m.LogIndex); !ok || t != m.LogTerm {
		reply.Reject = true
		reply.Match = n.conflictHint(m)
		reply.LogTerm, _ = n.log.term(reply.Match)
		n.send(reply)
		return
	}
	n.storeEntries(m.Entries)
	reply.Match = m.LogIndex + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, reply.Match))
	n.send(reply)
}

// conflictHint returns the highest index at which this log may match that of the
// leader whose append m it rejects: entries of later terms than the entry before
// the append cannot be the leader's.
func (n *Node) conflictHint(m Message) uint64 {
	i := min(n.log.last(), m.LogIndex-1)
	for i > n.commit {
		if t, ok := n.log.term(i); !ok || t <= m.LogTerm {
			break
		}
		i--
	}
	return i
}

// followLeader records a message of the current term's leader, and follows it.
func (n *Node) followLeader(leader MemberID, now time.Time) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.hard.Term, leader, now)
	}
	n.leaderContactAt = now
	n.resetElection(now)
}

// storeEntries appends new entries and replaces conflicting ones. It never
// replaces a committed entry, since the caller skips those.
func (n *Node) storeEntries(es []Entry) {
	for _, e := range es {
		if t, ok := n.log.term(e.Index); ok {
			if t == e.Term {
				continue
			}
			n.log.truncate(e.Index)
			n.stable = min(n.stable, e.Index-1)
		}
		n.log.push(e)
	}
}

func (n *Node) onSnapshot(m Message, now time.Time) {
	n.followLeader(m.From, now)
	reply := Message{Type: MsgAppendReply, To: m.From, SentNS: m.SentNS}
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index > n.commit {
		n.log.reset(*s)
		n.commit, n.applied, n.stable = s.Index, s.Index, s.Index
		n.pending.Snapshot = s
	}
	reply.Match = n.commit
	n.send(reply)
}

func (n *Node) onAppendReply(m Message, now time.Time) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.ackedNS = max(p.ackedNS, m.SentNS)
	if m.Reject {
		n.onReject(m, p, now)
		return
	}
	if m.Match > p.match {
		p.match = m.Match
		p.nextSnapshotAt = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	n.advanceCommit(now)
	if m.From == n.transferee && n.transferring(now) {
		n.sendTimeoutNow()
	}
	if p.next <= n.log.last() {
		n.sendAppend(m.From, p, now, false)
	}
}

// onReject moves p.next back to where the logs may match. It ignores replies to
// appends sent before the last probe: a replica that was partitioned rejects, on
// its return, all appends that were in flight, and the missing entries must not be
// sent again for each of them.
func (n *Node) onReject(m Message, p *progress, now time.Time) {
	if m.SentNS < p.probedNS {
		return
	}
	if m.Match+1 < p.next {
		p.next = max(n.agreementIndex(m), p.match) + 1
	}
	p.probedNS = now.UnixNano()
	n.sendAppend(m.From, p, now, true)
}

// agreementIndex returns the highest index at which a log that has m.LogTerm at
// m.Match may match this one. Together with the replica's conflictHint, one
// rejection skips a whole term, so that few round trips are needed.
func (n *Node) agreementIndex(m Message) uint64 {
	i := min(m.Match, n.log.last())
	for i > n.log.base {
		if t, ok := n.log.term(i); !ok || t <= m.LogTerm {
			break
		}
		i--
	}
	return i
}

// advanceCommit commits the entries that are durable on a quorum. An entry of an
// earlier term commits only together with one of the leader's own term (Raft
// paper, section 5.4.2).
func (n *Node) advanceCommit(now time.Time) {
	voters := n.voters()
	if len(voters) == 0 {
		return
	}
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		if id == n.cfg.ID {
			matches = append(matches, n.stable)
		} else {
			matches = append(matches, n.peers[id].match)
		}
	}
	slices.Sort(matches)
	idx := matches[(len(matches)-1)/2]
	if idx <= n.commit || idx < n.termStart {
		return
	}
	n.commit = idx
	n.stepDownIfRemoved(now)
}

// stepDownIfRemoved makes a leader step down once its removal from the members is
// committed.
func (n *Node) stepDownIfRemoved(now time.Time) {
	if _, ok := n.Member(n.cfg.ID); !ok && n.commit >= n.log.configs[len(n.log.configs)-1].index {
		n.becomeFollower(n.hard.Term, "", now)
	}
}

// QuorumContact returns the newest time T such that a quorum acknowledged appends
// sent at T or later, or the zero time if this replica does not lead.
func (n *Node) QuorumContact(now time.Time) time.Time {
	if n.role != Leader {
		return time.Time{}
	}
	voters := n.voters()
	times := make([]int64, 0, len(voters))
	for _, id := range voters {
		if id == n.cfg.ID {
			times = append(times, now.UnixNano())
		} else {
			times = append(times, n.peers[id].ackedNS)
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.Sort(times)
	return time.Unix(0, times[(len(times)-1)/2])
}

// MatchIndex returns the highest index up to which another replica's log is known
// to match, or 0 if this replica does not lead or does not track that one.
func (n *Node) MatchIndex(id MemberID) uint64 {
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}
