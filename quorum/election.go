package quorum

import "time"

// campaign asks for votes; as PreCandidate only whether others would give one.
func (n *Node) campaign(role Role, now time.Time) {
	if role == PreCandidate || n.transferred {
		n.view.begin()
	}
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
			n.send(Message{
				Type: typ, To: id, Term: term, LogIndex: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: n.transferred,
			})
		}
	}
	n.countVotes(now)
}

// suspectWait bounds the wait before a campaign when the leader's connection has
// ended, as a part of the election timeout. It is drawn, so that two followers
// rarely campaign at once.
const suspectWait = 8

// HandleDisconnect tells that the connection of a replica has ended, which most often
// means that its process has. If it leads, this replica campaigns soon; should the
// leader live, its next append puts that off, and a pre-vote disturbs nobody.
func (n *Node) HandleDisconnect(id MemberID, now time.Time) {
	if id == "" || n.role != Follower || n.leader != id {
		return // also where a connection ended before its replica had said its name
	}
	n.heardAt = time.Time{}
	soon := now.Add(time.Duration(n.rng.Int64N(int64(n.cfg.ElectionTimeout) / suspectWait)))
	if soon.Before(n.electionAt) {
		n.electionAt = soon
	}
}

// TransferLeadership has the voter that lags least campaign as soon as it has caught up.
// Until then, or until an election timeout has passed, nothing is proposed here;
// this replica steps down when it hears of the new term. The claims that
// rest on QuorumContact hold, since they follow from the order of votes and
// acknowledgements at one replica, not from the wait before a campaign.
func (n *Node) TransferLeadership(now time.Time) {
	if n.role != Leader {
		return
	}
	var best MemberID
	for _, id := range n.voters() {
		p := n.peers[id]
		if p != nil && !n.silent(id, silentTimeouts, now) && (best == "" || p.match > n.peers[best].match) {
			best = id
		}
	}
	if best == "" {
		return
	}
	n.heir, n.heirUntil = best, now.Add(n.cfg.ElectionTimeout)
	n.handOver()
}

// handOver asks the heir to campaign once its log is as long as this one; with a
// shorter one it would not be elected.
func (n *Node) handOver() {
	if p := n.peers[n.heir]; p != nil && p.match == n.log.last() {
		n.send(Message{Type: MsgTimeoutNow, To: n.heir})
	}
}

// handing reports whether this leader takes no more commands, so that its heir
// can catch up.
func (n *Node) handing(now time.Time) bool { return n.heir != "" && now.Before(n.heirUntil) }

func (n *Node) onTransfer(m Message, now time.Time) {
	if n.role == Follower && n.leader == m.From && n.voter() {
		n.transferred = true
		n.campaign(Candidate, now)
		n.transferred = false
	}
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
	if n.leaderAlive(now) && !m.Transfer {
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
