package quorum

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The incarnations of replica c3: the founding one, a later one that never became a member,
// and the current one.
const (
	foundingID = MemberID("c3#1")
	missedID   = MemberID("c3#9")
	currentID  = MemberID("c3#2")
)

// rejoined returns a group whose c3 has rejoined with an empty disk.
func rejoined(t *testing.T) *group {
	g := newGroup(t, 3, 6)
	g.waitLeader()
	g.run(20)
	g.crash(foundingID)
	rejoin(g, currentID, "c3")
	checkOnlyCurrentID(t, g)
	return g
}

// checkOnlyCurrentID checks that only the current incarnation of c3 is a member, as
// a voter.
func checkOnlyCurrentID(t *testing.T, g *group) {
	t.Helper()
	incarnations := []Member{}
	for _, m := range g.waitLeader().node.Members() {
		if m.Name == "c3" {
			incarnations = append(incarnations, m)
		}
	}
	assert.DeepEqual(t, incarnations, []Member{{ID: currentID, Name: "c3", Voter: true}})
}

// TestStaleJoinRequest delivers a join request of an earlier incarnation after a later
// one has joined. The request must not remove the current incarnation.
func TestStaleJoinRequest(t *testing.T) {
	for name, id := range map[string]MemberID{"of the incarnation that lost its disk": foundingID, "of one that never joined": missedID} {
		t.Run(name, func(t *testing.T) {
			g := rejoined(t)
			for range 400 {
				g.maintain(g.waitLeader(), Member{ID: id, Name: "c3"}, 3)
				g.step(nil)
			}
			checkOnlyCurrentID(t, g)
		})
	}
	t.Run("of the leader's own name", func(t *testing.T) {
		g := rejoined(t)
		l := g.waitLeader()
		self, ok := l.node.Member(l.id)
		assert.Assert(t, ok)
		_, ok = l.node.Join(Member{ID: missedID, Name: self.Name}, g.clock(l.id))
		assert.Assert(t, !ok)
	})
	t.Run("before the current incarnation is a voter", func(t *testing.T) {
		g := newGroup(t, 3, 7)
		g.waitLeader()
		g.run(20)
		g.crash(foundingID)
		g.add(currentID, Snapshot{})
		// It joins and catches up before its earlier incarnation loses its vote.
		for range 400 {
			l := g.waitLeader()
			if next, ok := l.node.Join(Member{ID: currentID, Name: "c3"}, g.clock(l.id)); ok {
				l.node.ProposeMembers(next, g.now)
			}
			g.ready(l, nil)
			g.step(nil)
		}
		l := g.waitLeader()
		next, ok := l.node.Join(Member{ID: missedID, Name: "c3"}, g.clock(l.id))
		assert.Assert(t, !ok, "%v", next)
		_, isMember := l.node.Member(currentID)
		assert.Assert(t, isMember)
	})
}

// TestStaleMessages delivers messages from and to an earlier incarnation of a replica
// after a later one has become a member. They must have no effect on the group.
func TestStaleMessages(t *testing.T) {
	g := rejoined(t)
	l := g.waitLeader()
	index, ok := g.propose("new")
	assert.Assert(t, ok)
	match, acked := l.node.MatchIndex(currentID), l.node.peers[currentID].ackedNS
	t.Run("an append reply counts for no other incarnation", func(t *testing.T) {
		l.node.Step(Message{Type: MsgAppendReply, From: foundingID, To: l.id, Term: l.node.Term(), Match: index, SentNS: g.now.UnixNano()}, g.now)
		assert.Equal(t, l.node.MatchIndex(currentID), match)
		assert.Equal(t, l.node.peers[currentID].ackedNS, acked)
		assert.Assert(t, l.node.CommitIndex() < index)
	})
	t.Run("a vote request is ignored by replicas in contact with the leader", func(t *testing.T) {
		g.run(20)
		term := l.node.Term()
		for _, typ := range []MessageType{MsgPreVote, MsgVote} {
			for _, id := range []MemberID{l.id, currentID} {
				n := g.replicas[id].node
				n.Step(Message{Type: typ, From: foundingID, To: id, Term: term + 1, LogIndex: index + 9, LogTerm: term}, g.now)
				assert.Equal(t, n.Term(), term)
			}
		}
		assert.Equal(t, l.node.Role(), Leader)
	})
	t.Run("a disconnect starts no campaign", func(t *testing.T) {
		n := g.replicas[currentID].node
		campaign := n.NextDeadline()
		n.HandleDisconnect(foundingID, g.now)
		assert.Equal(t, n.NextDeadline(), campaign)
		assert.Assert(t, n.leaderAlive(g.now))
	})
	t.Run("a vote counts for no other incarnation", func(t *testing.T) {
		n := g.replicas[currentID].node
		n.resetElection(g.now)
		g.now = g.now.Add(time.Second)
		n.campaign(Candidate, g.now)
		n.Step(Message{Type: MsgVoteReply, From: foundingID, To: currentID, Term: n.Term()}, g.now)
		n.Step(Message{Type: MsgVoteReply, From: missedID, To: currentID, Term: n.Term()}, g.now)
		assert.Equal(t, n.Role(), Candidate)
	})
	t.Run("a message to an earlier incarnation is ignored by the current one", func(t *testing.T) {
		n := g.replicas[currentID].node
		term := n.Term()
		n.Step(Message{Type: MsgVote, From: l.id, To: foundingID, Term: term + 5, Transfer: true}, g.now)
		assert.Equal(t, n.Term(), term)
	})
}

// TestDisconnectOfUnidentifiedPeer ends a connection whose peer has not sent its ID, at
// a replica that has just voted and knows no leader. The empty ID must not be taken for
// the unknown leader's: the replica would campaign against the one it voted for.
func TestDisconnectOfUnidentifiedPeer(t *testing.T) {
	g := newGroup(t, 3, 31)
	l := g.waitLeader()
	f := g.replicas[g.follower(l)]
	f.node.Step(Message{
		Type: MsgVote, From: l.id, To: f.id, Term: f.node.Term() + 1, Transfer: true,
		LogIndex: l.node.LastIndex(), LogTerm: l.node.LastTerm(),
	}, g.clock(f.id))
	assert.Equal(t, f.node.Leader(), MemberID(""))
	before := f.node.NextDeadline()
	f.node.HandleDisconnect("", g.clock(f.id))
	assert.Equal(t, f.node.NextDeadline(), before)
}

// TestNewMemberIsNotRemoved adds a replica under a leader that has led for longer than
// removeTimeouts. Its silence must count from when it was added, not from the election.
func TestNewMemberIsNotRemoved(t *testing.T) {
	g := newGroup(t, 3, 77)
	g.commit("acked")
	began := g.now
	for g.now.Sub(began) < (removeTimeouts+1)*g.waitLeader().node.cfg.ElectionTimeout {
		g.step(nil)
	}
	l := g.waitLeader()
	next, ok := l.node.Join(Member{ID: "new#1", Name: "new"}, g.clock(l.id))
	assert.Assert(t, ok)
	_, ok = l.node.ProposeMembers(next, g.clock(l.id))
	assert.Assert(t, ok)
	g.ready(l, nil)
	for l.node.changePending() {
		g.step(nil)
	}
	next, why, ok := l.node.Repair(3, g.clock(l.id))
	assert.Assert(t, !ok, "%s: %v", why, next)
}
