package quorum

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The lives of the replica c3: founding, one with a fresh disk that never got in,
// and the present one.
const (
	foundingLife = MemberID("c3#1")
	missedLife   = MemberID("c3#9")
	presentLife  = MemberID("c3#2")
)

// rejoined returns a group whose c3 has come back with a fresh disk.
func rejoined(t *testing.T) *group {
	g := newGroup(t, 3, 6)
	g.waitLeader()
	g.run(20)
	g.crash(foundingLife)
	rejoin(g, presentLife, "c3")
	checkPresentLife(t, g)
	return g
}

// checkPresentLife holds that c3 is a voter in its present life and no other.
func checkPresentLife(t *testing.T, g *group) {
	t.Helper()
	lives := []Member{}
	for _, m := range g.waitLeader().node.Members() {
		if m.Name == "c3" {
			lives = append(lives, m)
		}
	}
	assert.DeepEqual(t, lives, []Member{{ID: presentLife, Name: "c3", Voter: true}})
}

// TestLateJoin has replicas' requests to join arrive when a later life of theirs
// has joined.
func TestLateJoin(t *testing.T) {
	for name, id := range map[string]MemberID{"of the life that lost its disk": foundingLife, "of one that never got in": missedLife} {
		t.Run(name, func(t *testing.T) {
			g := rejoined(t)
			for range 400 {
				g.tend(g.waitLeader(), Member{ID: id, Name: "c3"}, 3)
				g.step(nil)
			}
			checkPresentLife(t, g)
		})
	}
	t.Run("of the leader's own name", func(t *testing.T) {
		g := rejoined(t)
		l := g.waitLeader()
		self, ok := l.node.Member(l.id)
		assert.Assert(t, ok)
		_, ok = l.node.Join(Member{ID: missedLife, Name: self.Name}, g.clock(l.id))
		assert.Assert(t, !ok)
	})
	t.Run("before the present life has a vote", func(t *testing.T) {
		g := newGroup(t, 3, 7)
		g.waitLeader()
		g.run(20)
		g.crash(foundingLife)
		g.add(presentLife, Snapshot{})
		// It joins, and has caught up, before its old life has lost its vote.
		for range 400 {
			l := g.waitLeader()
			if next, ok := l.node.Join(Member{ID: presentLife, Name: "c3"}, g.clock(l.id)); ok {
				l.node.ProposeMembers(next, g.now)
			}
			g.ready(l, nil)
			g.step(nil)
		}
		l := g.waitLeader()
		next, ok := l.node.Join(Member{ID: missedLife, Name: "c3"}, g.clock(l.id))
		assert.Assert(t, !ok, "%v", next)
		_, follows := l.node.Member(presentLife)
		assert.Assert(t, follows)
	})
}

// TestLateReplies has answers of a replica's old life arrive when a later one is a
// member.
func TestLateReplies(t *testing.T) {
	g := rejoined(t)
	l := g.waitLeader()
	index, ok := g.propose("new")
	assert.Assert(t, ok)
	match, acked := l.node.MatchIndex(presentLife), l.node.peers[presentLife].ackedNS
	t.Run("an append's answer counts for no other life", func(t *testing.T) {
		l.node.Step(Message{Type: MsgAppendReply, From: foundingLife, To: l.id, Term: l.node.Term(), Match: index, SentNS: g.now.UnixNano()}, g.now)
		assert.Equal(t, l.node.MatchIndex(presentLife), match)
		assert.Equal(t, l.node.peers[presentLife].ackedNS, acked)
		assert.Assert(t, l.node.CommitIndex() < index)
	})
	t.Run("a call for votes moves nobody that hears the leader", func(t *testing.T) {
		g.run(20)
		term := l.node.Term()
		for _, typ := range []MessageType{MsgPreVote, MsgVote} {
			for _, id := range []MemberID{l.id, presentLife} {
				n := g.replicas[id].node
				n.Step(Message{Type: typ, From: foundingLife, To: id, Term: term + 1, LogIndex: index + 9, LogTerm: term}, g.now)
				assert.Equal(t, n.Term(), term)
			}
		}
		assert.Equal(t, l.node.Role(), Leader)
	})
	t.Run("the end of its connection makes nobody campaign", func(t *testing.T) {
		n := g.replicas[presentLife].node
		campaign := n.NextDeadline()
		n.HandleDisconnect(foundingLife, g.now)
		assert.Equal(t, n.NextDeadline(), campaign)
		assert.Assert(t, n.leaderAlive(g.now))
	})
	t.Run("a vote counts for no other life", func(t *testing.T) {
		n := g.replicas[presentLife].node
		n.resetElection(g.now)
		g.now = g.now.Add(time.Second)
		n.campaign(Candidate, g.now)
		n.Step(Message{Type: MsgVoteReply, From: foundingLife, To: presentLife, Term: n.Term()}, g.now)
		n.Step(Message{Type: MsgVoteReply, From: missedLife, To: presentLife, Term: n.Term()}, g.now)
		assert.Equal(t, n.Role(), Candidate)
	})
	t.Run("what is meant for an old life is not taken by the present one", func(t *testing.T) {
		n := g.replicas[presentLife].node
		term := n.Term()
		n.Step(Message{Type: MsgVote, From: l.id, To: foundingLife, Term: term + 5, Transfer: true}, g.now)
		assert.Equal(t, n.Term(), term)
	})
}

// TestSuspectNobody ends a connection whose replica has not said its name, at one
// that has just voted and knows no leader yet: it must not campaign against the one
// that it voted for.
func TestSuspectNobody(t *testing.T) {
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

// TestNewcomerIsNotForgotten takes a replica in under a leader that has led for longer
// than a silent one is remembered: its silence counts from when it came, not from the
// election.
func TestNewcomerIsNotForgotten(t *testing.T) {
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
