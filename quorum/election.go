package quorum

import "time"

// campaign requests votes. As PreCandidate it requests pre-votes, which ask only
// whether the others would grant a vote.
func (n *Node) campaign(role Role, now time.Time) {
	if role == PreCandidate || n.transferCampaign {
		n.view.beginCampaign()
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
				Type: typ, To: id, Term: term, LogIndex: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: n.transferCampaign,
			})
		}
	}
	n.countVotes(now)
}

// disconnectWaitDivisor sets the maximum wait before a campaign after the leader's
// connection ended: the election timeout divided by it. The wait is random, so that
// two followers rarely campaign at once.
const disconnectWaitDivisor = 8

// HandleDisconnect records that the connection of a replica has ended, which most
// often means that its process has ended. If it was the leader, this replica
// campaigns soon. If the leader still runs, its next append delays the campaign,
// and a pre-vote that is sent before that does not disrupt the group.
func (n *Node) HandleDisconnect(id MemberID, now time.Time) {
	if id == "" || n.role != Follower || n.leader != id {
		return // id is empty if the connection ended before the replica sent its ID
	}
	n.leaderContactAt = time.Time{}
	soon := now.Add(time.Duration(n.rng.Int64N(int64(n.cfg.ElectionTimeout) / disconnectWaitDivisor)))
	if soon.Before(n.electionAt) {
		n.electionAt = soon
	}
}

// TransferLeadership starts a leadership transfer to the voter that lags least,
// which campaigns as soon as it has caught up. Until then, or until an election
// timeout has passed, proposals are refused; this replica steps down when it
// receives the new term. The guarantees of QuorumContact still hold, since they
// follow from the order of votes and acknowledgements at each replica, not from
// the wait before a campaign.
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
	n.transferee, n.transferDeadline = best, now.Add(n.cfg.ElectionTimeout)
	n.sendTimeoutNow()
}

// sendTimeoutNow sends the transferee MsgTimeoutNow once its log is as long as this
// one; with a shorter log it would not be elected.
func (n *Node) sendTimeoutNow() {
	if p := n.peers[n.transferee]; p != nil && p.match == n.log.last() {
		n.send(Message{Type: MsgTimeoutNow, To: n.transferee})
	}
}

// transferring reports whether this leader refuses proposals, so that the
// transferee can catch up.
func (n *Node) transferring(now time.Time) bool {
	return n.transferee != "" && now.Before(n.transferDeadline)
}

// onTimeoutNow campaigns at once, without a pre-vote, at the request of the leader.
func (n *Node) onTimeoutNow(m Message, now time.Time) {
	if n.role == Follower && n.leader == m.From && n.isVoter() {
		n.transferCampaign = true
		n.campaign(Candidate, now)
		n.transferCampaign = false
	}
}

func (n *Node) onVoteRequest(m Message, now time.Time) {
	pre := m.Type == MsgPreVote
	reply := Message{Type: MsgVoteReply, To: m.From, Term: m.Term}
	if pre {
		reply.Type = MsgPreVoteReply
	}
	reply.Reject = !n.canGrantVote(m, pre, now)
	if reply.Reject {
		reply.Term = n.hard.Term
	} else if !pre {
		n.hard.Vote = m.From
		n.hardDirty = true
		n.resetElection(now)
	}
	n.send(reply)
}

// canGrantVote reports whether the vote, or with pre the pre-vote, is granted to the
// sender of m.
func (n *Node) canGrantVote(m Message, pre bool, now time.Time) bool {
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
	// A granted pre-vote carries the term of the request.
	if !m.Reject && role == PreCandidate && m.Term != n.hard.Term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes(now)
}

// countVotes starts the election after a majority of pre-votes, and leads after a
// majority of votes.
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
