package quorum

import (
	"slices"
	"time"
)

// ProposeMembers appends a change of the group's members. It is refused unless
// this replica leads, has committed an entry of its own term, no earlier change
// is under way, and at most one voter differs.
func (n *Node) ProposeMembers(next []Member, now time.Time) (index uint64, ok bool) {
	if !n.CommittedInTerm() || n.changing() || voterChanges(n.log.members(), next) > 1 {
		return 0, false
	}
	index = n.appendEntry(Entry{Kind: EntryMembers, Members: next})
	n.syncPeers(now)
	n.broadcast(now)
	return index, true
}

// changing reports whether a change of members is not committed yet.
func (n *Node) changing() bool {
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

// maxLag is how many entries a non-voting replica may be behind the commit
// index when it becomes a voter.
const maxLag = 10

// Join returns the members with m added as a non-voting replica; ok is false
// if it is there already. Earlier non-voting lives of the same name go.
//
// A request to join may arrive late, when its life is over and a later one is a
// member, and IDs have no order. So ok is false also while another life of the name
// answers: a replica has one life at a time, and asks until it is a member.
func (n *Node) Join(m Member, now time.Time) (next []Member, ok bool) {
	m.Voter = false
	for _, o := range n.log.members() {
		if o.ID == m.ID || o.Name == m.Name && !n.silent(o.ID, overTimeouts, now) {
			return nil, false
		}
		if o.Name != m.Name || o.Voter {
			next = append(next, o)
		}
	}
	return append(next, m), true
}

const (
	// silentTimeouts is how many election timeouts a voter may be silent before a
	// standby takes its place. A killed process is back within a second or two.
	silentTimeouts = 3
	// freshTimeouts is how many of them a replica may be silent that is counted on for
	// the next step. What is lost together with a silent voter is not.
	freshTimeouts = 1
	// overTimeouts is how many of them a life must have been silent before another
	// of its name may join. A leader hears of a life that lives several times in
	// one.
	overTimeouts = 1
	// forgetTimeouts is how many of them a replica without a vote may be silent
	// before it is forgotten. One that lives asks to join again.
	forgetTimeouts = 60
)

// Reason says why the members change.
type Reason string

// The reasons for a change of members.
const (
	ReasonJoined         Reason = "a replica asked to join"
	ReasonSuperseded     Reason = "a later life of the voter's name follows: its disk is lost"
	ReasonPromoted       Reason = "a standby that has caught up takes a vote"
	ReasonVoterSilent    Reason = "the voter is silent, and a standby can take its place or voters are too many"
	ReasonSpread         Reason = "a failure domain has more votes than another would have"
	ReasonNonVoterSilent Reason = "a replica without a vote is silent for long"
)

// Repair returns the next step that brings the group to size voters that answer
// (0 means any number); ok is false when there is nothing to do. Replicas beyond
// that number follow as standbys, without a vote.
//
// A voter whose disk is lost never comes back under its ID: it goes as soon as a
// replica of the same name follows, and its successor is promoted afterwards, so that
// an odd group needs as many answers as before at each step: with 2f+1 voters, f of
// them lost, promoting first would need an answer of each replica that is left.
//
// A silent one may have kept its disk, and counts once it is back. Were it to go
// first, 2f voters would be left until its successor is in, of which the loss of f
// disks leaves no majority, for good: with the standbys silent too, 11 of 200 drawn
// days had that, and none of them a leader after two lost disks. So its successor
// comes first, as soon as enough answer for one voter more; until then it stays.
// Should it be back between the two steps, the group keeps one voter more, which bears
// as much, unless a failure domain has more than one (spread).
func (n *Node) Repair(size int, now time.Time) (next []Member, why Reason, ok bool) {
	voters := n.Voters()
	standby := n.standby(now)
	lost := n.supersededVoter()
	odd, spare := voters%2 == 1, size > 0 && voters > size
	switch {
	case lost >= 0 && (odd || spare):
		next, ok = n.without(lost, now)
		return next, ReasonSuperseded, ok
	case standby >= 0 && (size == 0 || voters < size || lost >= 0):
		return n.promoted(standby), ReasonPromoted, true
	}
	if silent := n.silentMember(true, silentTimeouts, now); silent >= 0 {
		switch {
		case spare:
			next, ok = n.without(silent, now)
			return next, ReasonVoterSilent, ok
		case size > 0 && odd && standby >= 0:
			next, ok = n.succeeded(standby, now)
			return next, ReasonPromoted, ok
		}
	}
	if gone := n.silentMember(false, forgetTimeouts, now); gone >= 0 {
		next, ok = n.without(gone, now)
		return next, ReasonNonVoterSilent, ok
	}
	if size > 0 {
		next, ok = n.spread(size, now)
		return next, ReasonSpread, ok
	}
	return nil, "", false
}

// standby returns the place among the members of a replica without a vote that
// answers and has caught up, or -1: of those, one that has answered just now.
func (n *Node) standby(now time.Time) int {
	if i := n.standbyHeard(freshTimeouts, now); i >= 0 {
		return i
	}
	return n.standbyHeard(silentTimeouts, now)
}

// standbyHeard returns a standby that has caught up and answered within that many
// election timeouts, or -1: of several, the first in the failure domain with the fewest
// voters.
func (n *Node) standbyHeard(timeouts int, now time.Time) (place int) {
	voters, _ := n.crowds()
	place = -1
	for i, m := range n.log.members() {
		match := n.MatchIndex(m.ID)
		if m.Voter || match == 0 || match+maxLag < n.commit || n.silent(m.ID, timeouts, now) {
			continue
		}
		if place < 0 || voters[n.domainAt(i)] < voters[n.domainAt(place)] {
			place = i
		}
	}
	return place
}

// supersededVoter returns the place of a voter that has lost its disk, as a later
// life of the same name shows, or -1.
func (n *Node) supersededVoter() int {
	ms := n.log.members()
	newest := map[string]MemberID{}
	for _, m := range ms {
		newest[m.Name] = m.ID // later lives stand later
	}
	return slices.IndexFunc(ms, func(m Member) bool { return m.Voter && newest[m.Name] != m.ID })
}

// silentMember returns the place of a member, with a vote or without, that has not
// answered for that many election timeouts, or -1.
func (n *Node) silentMember(voter bool, timeouts int, now time.Time) int {
	return slices.IndexFunc(n.log.members(), func(m Member) bool {
		return m.Voter == voter && n.silent(m.ID, timeouts, now)
	})
}

// succeeded returns the members with a vote for the standby that is to take a silent
// voter's place; ok is false while too few answer for one voter more.
func (n *Node) succeeded(standby int, now time.Time) (next []Member, ok bool) {
	next = n.promoted(standby)
	return next, n.quorate(next, freshTimeouts, now)
}

// promoted returns the members with a vote for the one at place i.
func (n *Node) promoted(i int) []Member {
	next := slices.Clone(n.log.members())
	next[i].Voter = true
	return next
}

// without returns the members but the one at place i; ok is false if too few
// voters would answer to go on.
func (n *Node) without(i int, now time.Time) (next []Member, ok bool) {
	next = slices.Delete(slices.Clone(n.log.members()), i, i+1)
	return next, n.quorate(next, silentTimeouts, now)
}

// quorate reports whether a majority of the voters among members have answered within
// that many election timeouts.
func (n *Node) quorate(members []Member, timeouts int, now time.Time) bool {
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
	since := time.Unix(0, max(p.acked, p.since))
	return now.Sub(since) > time.Duration(timeouts)*n.cfg.ElectionTimeout
}
