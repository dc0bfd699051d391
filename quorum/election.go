package quorum

import "time"

// campaign asks for votes; as PreCandidate only whether others would give one.
func (n *Node) campaign(role Role, now time.Time) {
	n.role = role
	n.leader = ""
	n.votes = map[MemberID]bool{n.cfg.ID: true}
	typ, term := MsgPreVote, n.hard.Term+1
	if role == Candidate {
		n.hard = HardState{Term: term, Vote: n.cfg.ID}
		n.hardDirty = true
		typ = MsgVote
	}
	for _, id := range n.voters() {
		if id != n.cfg.ID {
			n.send(Message{Type: typ, To: id, Term: term, LogIndex: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
	n.countVotes(now)
}

func (n *Node) onVoteRequest(m Message, now time.Time) {
	pre := m.Type == MsgPreVote
	reply := Message{Type: MsgVoteReply, To: m.From, Term: m.Term}
	if pre {
		reply.Type = MsgPreVoteReply
	}
	reply.Reject = !n.wouldVote(m, pre, now)
	if reply.Reject {
		reply.Term = n.hard.Term
	} else if !pre {
		n.hard.Vote = m.From
		n.hardDirty = true
		n.resetElection(now)
	}
	n.send(reply)
}

func (n *Node) wouldVote(m Message, pre bool, now time.Time) bool {
	if n.leaderAlive(now) {
		return false
	}
	if pre && m.Term <= n.hard.Term {
		return false
	}
	if !pre && n.hard.Vote != "" && n.hard.Vote != m.From {
		return false
	}
	last, lastT := n.log.last(), n.log.lastTerm()
	return m.LogTerm > lastT || m.LogTerm == lastT && m.LogIndex >= last
}

func (n *Node) onVoteReply(m Message, now time.Time) {
	want, role := MsgVoteReply, Candidate
	if n.role == PreCandidate {
		want, role = MsgPreVoteReply, PreCandidate
	}
	if n.role != role || m.Type != want {
		return
	}
	// A granted pre-vote carries the term asked about.
	if !m.Reject && role == PreCandidate && m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes(now)
}

func (n *Node) countVotes(now time.Time) {
	granted := 0
	voters := n.voters()
	for _, id := range voters {
		if n.votes[id] {
			granted++
		}
	}
	if granted <= len(voters)/2 {
		return
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, now)
		return
	}
	n.becomeLeader(now)
}
