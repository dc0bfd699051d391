package quorum

import (
	"slices"
	"time"
)

// ProposeMembers appends a membership change. It is refused unless this replica
// leads, has committed an entry of its own term, no earlier change is uncommitted,
// and at most one voter differs.
func (n *Node) ProposeMembers(next []Member, now time.Time) (index uint64, ok bool) {
	if !n.CommittedInTerm() || n.changePending() || voterChanges(n.log.members(), next) > 1 {
		return 0, false
	}
	index = n.appendEntry(Entry{Kind: EntryMembers, Members: next})
	n.syncPeers(now)
	n.broadcast(now)
	return index, true
}

// changePending reports whether a membership change is not committed yet.
func (n *Node) changePending() bool {
	return n.log.configs[len(n.log.configs)-1].index > n.commit
}

func voterChanges(a, b []Member) int {
	in := map[MemberID]int{}
	for _, m := range a {
		if m.Voter {
			in[m.ID]++
		}
	}
	for _, m := range b {
		if m.Voter {
			in[m.ID]--
		}
	}
	changes := 0
	for _, d := range in {
		if d != 0 {
			changes++
		}
	}
	return changes
}

// maxPromotionLag is the maximum number of entries by which a non-voting replica
// may lag behind the commit index when it becomes a voter.
const maxPromotionLag = 10

// Join returns the members with m added as a non-voting replica; ok is false if it
// is a member already. Earlier non-voting incarnations of the same name are removed.
//
// A join request may arrive late, when its incarnation has ended and a later one is
// a member, and IDs are not ordered. So ok is also false while another incarnation of
// the name answers: a replica has one incarnation at a time and repeats its request
// until it is a member.
func (n *Node) Join(m Member, now time.Time) (next []Member, ok bool) {
	m.Voter = false
	for _, o := range n.log.members() {
		if o.ID == m.ID || o.Name == m.Name && !n.silent(o.ID, replacedTimeouts, now) {
			return nil, false
		}
		if o.Name != m.Name || o.Voter {
			next = append(next, o)
		}
	}
	return append(next, m), true
}

const (
	// silentTimeouts is the number of election timeouts without an answer after which
	// a standby replaces a voter. A killed process is back within a second or two.
	silentTimeouts = 3
	// recentTimeouts is the number of election timeouts within which a replica must
	// have answered to count as available for a membership change. It excludes
	// replicas that failed together with a silent voter.
	recentTimeouts = 1
	// replacedTimeouts is the number of election timeouts without an answer after
	// which another incarnation of the same name may join. A running replica answers
	// several times per timeout.
	replacedTimeouts = 1
	// removeTimeouts is the number of election timeouts without an answer after which
	// a non-voting replica is removed. One that still runs requests to join again.
	removeTimeouts = 60
)

// Reason is the reason for a membership change, as logged.
type Reason string

// The reasons for a membership change.
const (
	ReasonJoined         Reason = "a replica asked to join"
	ReasonSuperseded     Reason = "a later life of the voter's name follows: its disk is lost"
	ReasonPromoted       Reason = "a standby that has caught up takes a vote"
	ReasonVoterSilent    Reason = "the voter is silent, and a standby can take its place or voters are too many"
	ReasonSpread         Reason = "a failure domain has more votes than another would have"
	ReasonNonVoterSilent Reason = "a replica without a vote is silent for long"
)

// Repair returns the next membership change towards size voters that answer (0
// means any number); ok is false when there is nothing to do. Replicas beyond that
// number stay standbys, that is, non-voting replicas.
//
// A voter whose disk is lost never returns under its ID. It is removed as soon as
// its next incarnation has joined, and a standby is promoted afterwards. In this
// order a group with an odd number of voters needs no larger majority than before
// at any step. With 2f+1 voters, f of them lost, promoting first would need an
// answer of every replica that is left.
//
// A silent voter may have kept its disk and can return. If it were removed before
// its replacement is a voter, 2f voters would be left, of which the loss of f disks
// leaves no majority permanently; while the standbys are silent too, the group stays
// in that state. So the replacement is promoted first, as soon as enough voters
// answer for a group of one more; until then the silent voter stays. If it returns
// between the two steps, the group keeps the extra voter, which tolerates as many
// losses, unless a failure domain has more than one voter (see spread).
func (n *Node) Repair(size int, now time.Time) (next []Member, why Reason, ok bool) {
	voters := n.Voters()
	standby := n.standby(now)
	superseded := n.supersededVoter()
	odd, surplus := voters%2 == 1, size > 0 && voters > size
	switch {
	case superseded >= 0 && (odd || surplus):
		next, ok = n.withoutMember(superseded, now)
		return next, ReasonSuperseded, ok
	case standby >= 0 && (size == 0 || voters < size || superseded >= 0):
		return n.withVoter(standby), ReasonPromoted, true
	}
	if silent := n.silentMember(true, silentTimeouts, now); silent >= 0 {
		switch {
		case surplus:
			next, ok = n.withoutMember(silent, now)
			return next, ReasonVoterSilent, ok
		case size > 0 && odd && standby >= 0:
			next, ok = n.withReplacement(standby, now)
			return next, ReasonPromoted, ok
		}
	}
	if nonVoter := n.silentMember(false, removeTimeouts, now); nonVoter >= 0 {
		next, ok = n.withoutMember(nonVoter, now)
		return next, ReasonNonVoterSilent, ok
	}
	if size > 0 {
		next, ok = n.spread(size, now)
		return next, ReasonSpread, ok
	}
	return nil, "", false
}

// standby returns the position among the members of a non-voting replica that has
// caught up and answers, or -1. It prefers one that has answered recently.
func (n *Node) standby(now time.Time) int {
	if i := n.standbyAnsweredWithin(recentTimeouts, now); i >= 0 {
		return i
	}
	return n.standbyAnsweredWithin(silentTimeouts, now)
}

// standbyAnsweredWithin returns the position of a standby that has caught up and has
// answered within that many election timeouts, or -1. Of several it returns the
// first in the failure domain with the fewest voters.
func (n *Node) standbyAnsweredWithin(timeouts int, now time.Time) (pos int) {
	voters, _ := n.votersByDomain()
	pos = -1
	for i, m := range n.log.members() {
		match := n.MatchIndex(m.ID)
		if m.Voter || match == 0 || match+maxPromotionLag < n.commit || n.silent(m.ID, timeouts, now) {
			continue
		}
		if pos < 0 || voters[n.domainAt(i)] < voters[n.domainAt(pos)] {
			pos = i
		}
	}
	return pos
}

// supersededVoter returns the position of a voter that has lost its disk, since a
// later incarnation of the same name is a member, or -1.
func (n *Node) supersededVoter() int {
	ms := n.log.members()
	newest := map[string]MemberID{}
	for _, m := range ms {
		newest[m.Name] = m.ID // later incarnations come later in the list
	}
	return slices.IndexFunc(ms, func(m Member) bool { return m.Voter && newest[m.Name] != m.ID })
}

// silentMember returns the position of a voter, or of a non-voting replica if voter
// is false, that has not answered for that many election timeouts, or -1.
func (n *Node) silentMember(voter bool, timeouts int, now time.Time) int {
	return slices.IndexFunc(n.log.members(), func(m Member) bool {
		return m.Voter == voter && n.silent(m.ID, timeouts, now)
	})
}

// withReplacement returns the members with the standby promoted, so that another
// voter can then be removed or demoted; ok is false unless a majority of the voters,
// including the promoted one, have answered recently.
func (n *Node) withReplacement(standby int, now time.Time) (next []Member, ok bool) {
	next = n.withVoter(standby)
	return next, n.hasQuorum(next, recentTimeouts, now)
}

// withVoter returns the members with the one at position i as a voter.
func (n *Node) withVoter(i int) []Member {
	next := slices.Clone(n.log.members())
	next[i].Voter = true
	return next
}

// withoutMember returns the members without the one at position i; ok is false if
// fewer than a majority of the remaining voters answer.
func (n *Node) withoutMember(i int, now time.Time) (next []Member, ok bool) {
	next = slices.Delete(slices.Clone(n.log.members()), i, i+1)
	return next, n.hasQuorum(next, silentTimeouts, now)
}

// hasQuorum reports whether a majority of the voters among members have answered within
// that many election timeouts.
func (n *Node) hasQuorum(members []Member, timeouts int, now time.Time) bool {
	voters, answering := 0, 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		voters++
		if !n.silent(m.ID, timeouts, now) {
			answering++
		}
	}
	return answering > voters/2
}

// silent reports whether another replica has not answered for that many election
// timeouts.
func (n *Node) silent(id MemberID, timeouts int, now time.Time) bool {
	p := n.peers[id]
	if p == nil {
		return false
	}
	since := time.Unix(0, max(p.ackedNS, p.trackedSinceNS))
	return now.Sub(since) > time.Duration(timeouts)*n.cfg.ElectionTimeout
}
