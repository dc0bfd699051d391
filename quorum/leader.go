package quorum

import (
	"slices"
	"time"
)

func (n *Node) becomeLeader(now time.Time) {
	n.role = Leader
	n.leader = n.cfg.ID
	n.view.end()
	n.heir = ""
	n.heardAt = now
	n.peers = map[MemberID]*progress{}
	n.termStart = n.log.last() + 1
	n.resetElection(now)
	n.checkAt = now
	n.syncPeers(now)
	n.log.push(Entry{Index: n.termStart, Term: n.hard.Term, Kind: EntryNoop})
	n.broadcast(now)
}

// syncPeers makes peers match the members.
func (n *Node) syncPeers(now time.Time) {
	keep := map[MemberID]bool{}
	for _, m := range n.log.members() {
		keep[m.ID] = true
		if n.peers[m.ID] == nil && m.ID != n.cfg.ID {
			n.peers[m.ID] = &progress{next: n.log.last() + 1, since: now.UnixNano()}
		}
	}
	for id := range n.peers {
		if !keep[id] {
			delete(n.peers, id)
		}
	}
}

func (n *Node) tickLeader(now time.Time) {
	if !now.Before(n.checkAt) {
		n.checkAt = now.Add(n.cfg.HeartbeatInterval)
	}
	if now.Sub(n.QuorumContact(now)) > 2*n.cfg.ElectionTimeout && now.After(n.electionAt) {
		// No quorum answers; whoever can reach one must be free to lead.
		n.becomeFollower(n.hard.Term, "", now)
		return
	}
	if !now.Before(n.heartbeatAt) {
		n.broadcast(now)
	}
}

// broadcast sends every other replica an append, empty where it has all.
func (n *Node) broadcast(now time.Time) {
	n.heartbeatAt = now.Add(n.cfg.HeartbeatInterval)
	for _, m := range n.log.members() {
		if p := n.peers[m.ID]; p != nil {
			n.sendAppend(m.ID, p, now, true)
		}
	}
}

// ConfirmLeadership sends appends at once, so that QuorumContact soon passes now.
func (n *Node) ConfirmLeadership(now time.Time) {
	if n.role == Leader {
		n.broadcast(now)
	}
}

// Propose appends a command. ok is false unless this replica leads.
func (n *Node) Propose(data []byte, now time.Time) (index, term uint64, ok bool) {
	if n.role != Leader || n.handing(now) {
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

func (n *Node) flush(now time.Time) {
	for _, m := range n.log.members() {
		if p := n.peers[m.ID]; p != nil {
			n.sendAppend(m.ID, p, now, false)
		}
	}
}

// sendAppend sends entries from p.next on. Without force it stays quiet if
// there are none or too many are unacknowledged.
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
	n.out.EarlyMessages = append(n.out.EarlyMessages, Message{
		Type: MsgAppend, From: n.cfg.ID, To: id, Term: n.hard.Term,
		LogIndex: p.next - 1, LogTerm: prevTerm, Commit: n.commit, Entries: es, SentNS: now.UnixNano(),
	})
	p.next += uint64(len(es))
}

// sendSnapshot sends the snapshot, at most once an election timeout.
func (n *Node) sendSnapshot(id MemberID, p *progress, now time.Time) {
	if now.Before(p.snapAfter) {
		return
	}
	p.snapAfter = now.Add(n.cfg.ElectionTimeout)
	s := n.log.snap
	n.out.EarlyMessages = append(n.out.EarlyMessages, Message{
		Type: MsgSnapshot, From: n.cfg.ID, To: id, Term: n.hard.Term, Snapshot: &s, Commit: n.commit, SentNS: now.UnixNano(),
	})
}

func (n *Node) onAppend(m Message, now time.Time) {
	n.follow(m.From, now)
	reply := Message{Type: MsgAppendReply, To: m.From, SentNS: m.SentNS}
	if m.LogIndex < n.commit {
		// All up to commit is equal already; skip what the message repeats.
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
		reply.Match = n.hint(m)
		reply.LogTerm, _ = n.log.term(reply.Match)
		n.send(reply)
		return
	}
	n.takeEntries(m.Entries)
	reply.Match = m.LogIndex + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, reply.Match))
	n.send(reply)
}

// hint is the highest index at which this log may agree with that of the leader
// whose append it refuses: entries of later terms than the one before the append
// cannot be the leader's.
func (n *Node) hint(m Message) uint64 {
	i := min(n.log.last(), m.LogIndex-1)
	for i > n.commit {
		if t, ok := n.log.term(i); !ok || t <= m.LogTerm {
			break
		}
		i--
	}
	return i
}

func (n *Node) follow(leader MemberID, now time.Time) {
	if n.role != Follower || n.leader != leader {
		n.becomeFollower(n.hard.Term, leader, now)
	}
	n.heardAt = now
	n.resetElection(now)
}

// takeEntries appends what is new and replaces what differs. It never replaces
// a committed entry, since those were skipped.
func (n *Node) takeEntries(es []Entry) {
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
	n.follow(m.From, now)
	reply := Message{Type: MsgAppendReply, To: m.From, SentNS: m.SentNS}
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index > n.commit {
		n.log.reset(*s)
		n.commit, n.applied, n.stable = s.Index, s.Index, s.Index
		n.out.Snapshot = s
	}
	reply.Match = n.commit
	n.send(reply)
}

func (n *Node) onAppendReply(m Message, now time.Time) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.acked = max(p.acked, m.SentNS)
	if m.Reject {
		n.onReject(m, p, now)
		return
	}
	if m.Match > p.match {
		p.match = m.Match
		p.snapAfter = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	n.advanceCommit(now)
	if m.From == n.heir && n.handing(now) {
		n.handOver()
	}
	if p.next <= n.log.last() {
		n.sendAppend(m.From, p, now, false)
	}
}

// onReject goes back to where the logs agree. Only the answer to the newest try
// counts: a replica that was cut off refuses, when it is back, everything that
// was on its way, and each refusal must not be answered by all that it lacks.
func (n *Node) onReject(m Message, p *progress, now time.Time) {
	if m.SentNS < p.triedAt {
		return
	}
	if m.Match+1 < p.next {
		p.next = max(n.agreeing(m), p.match) + 1
	}
	p.triedAt = now.UnixNano()
	n.sendAppend(m.From, p, now, true)
}

// agreeing is the highest index at which a log that holds m.LogTerm at m.Match may
// agree with this one. With the replica's own hint, one refusal skips a whole
// term, so that finding the place takes few round trips.
func (n *Node) agreeing(m Message) uint64 {
	i := min(m.Match, n.log.last())
	for i > n.log.base {
		if t, ok := n.log.term(i); !ok || t <= m.LogTerm {
			break
		}
		i--
	}
	return i
}

// advanceCommit commits what a quorum holds durably. An entry of an earlier
// term commits only together with one of the leader's own term (Raft 5.4.2).
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
	n.afterCommit(now)
}

// afterCommit lets a leader that is no longer a member step down.
func (n *Node) afterCommit(now time.Time) {
	if _, ok := n.Member(n.cfg.ID); !ok && n.commit >= n.log.configs[len(n.log.configs)-1].index {
		n.becomeFollower(n.hard.Term, "", now)
	}
}

// QuorumContact is the newest time T such that a quorum acknowledged appends
// sent at T or later. It is zero unless this replica leads.
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
			times = append(times, n.peers[id].acked)
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.Sort(times)
	return time.Unix(0, times[(len(times)-1)/2])
}

// MatchIndex returns the highest index known equal on another replica.
func (n *Node) MatchIndex(id MemberID) uint64 {
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}
