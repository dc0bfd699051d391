package quorum

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// assertVoteReplies checks the vote replies that a replica has recorded.
func assertVoteReplies(t *testing.T, n *Node, want map[MemberID]bool) {
	t.Helper()
	got, campaigned := n.VoteReplies()
	assert.DeepEqual(t, got, want)
	assert.Equal(t, campaigned, len(want) > 0)
}

// assertMessagesSince checks that n had messages after at from just the given members.
func assertMessagesSince(t *testing.T, n *Node, at time.Time, want ...MemberID) {
	t.Helper()
	wanted := map[MemberID]bool{}
	for _, id := range want {
		wanted[id] = true
	}
	for _, m := range n.Members() {
		if m.ID != n.ID() {
			assert.Equal(t, n.LastMessageAt(m.ID).After(at), wanted[m.ID], "last message of %s at %v", m.ID, n.LastMessageAt(m.ID))
		}
	}
}

// TestVoteReplies checks the recorded vote replies after campaigns that fail in each way.
func TestVoteReplies(t *testing.T) {
	t.Run("none without a campaign", func(t *testing.T) {
		g := newGroup(t, 3, 70)
		l := g.waitLeader()
		g.run(100)
		assertVoteReplies(t, l.node, map[MemberID]bool{})
		assert.Assert(t, l.node.Campaigns() > 0)
		assertMessagesSince(t, l.node, g.now.Add(-100*time.Millisecond), g.order...)
	})
	t.Run("too few are left", func(t *testing.T) {
		g := newGroup(t, 5, 71)
		l := g.waitLeader()
		var left []*replica
		for _, id := range g.order {
			if id != l.id && len(left) < 2 {
				left = append(left, g.replicas[id])
				continue
			}
			g.crash(id)
		}
		at, before := g.now, left[0].node.Campaigns()
		g.run(1000)
		assert.Assert(t, g.leader() == nil)
		assert.Assert(t, left[0].node.Campaigns() > before+1, "a failed campaign is repeated")
		assertVoteReplies(t, left[0].node, map[MemberID]bool{left[1].id: true})
		assertVoteReplies(t, left[1].node, map[MemberID]bool{left[0].id: true})
		assertMessagesSince(t, left[0].node, at.Add(100*time.Millisecond), left[1].id)
	})
	t.Run("a log that lags is refused", func(t *testing.T) {
		g := newGroup(t, 3, 72)
		l := g.waitLeader()
		behind := g.follower(l)
		g.crash(behind)
		g.commit("more")
		for _, id := range g.order {
			if id != l.id && id != behind {
				g.crash(id)
			}
		}
		g.crash(l.id)
		g.start(behind)
		g.run(200)
		g.start(l.id)
		lagging := g.replicas[behind].node
		for range 400 {
			if all, _ := lagging.VoteReplies(); len(all) > 0 {
				break
			}
			g.step(nil)
		}
		assertVoteReplies(t, lagging, map[MemberID]bool{l.id: false})
	})
	t.Run("a new leader clears them", func(t *testing.T) {
		g := newGroup(t, 3, 73)
		l := g.waitLeader()
		other := g.follower(l)
		g.crash(l.id)
		g.crash(other)
		g.run(300)
		g.start(other)
		g.waitLeader()
		g.run(100)
		for _, id := range g.order {
			if g.replicas[id].node != nil {
				assertVoteReplies(t, g.replicas[id].node, map[MemberID]bool{})
			}
		}
	})
}

// follower returns the ID of a replica that is not l.
func (g *group) follower(l *replica) MemberID {
	for _, id := range g.order {
		if id != l.id {
			return id
		}
	}
	g.t.Fatal("the group has one replica")
	return ""
}

// TestTrackedSendersBounded checks that messages from many replicas that are not members take
// bounded memory, and that the times of members are kept.
func TestTrackedSendersBounded(t *testing.T) {
	members := []Member{{ID: "c1#1", Voter: true}, {ID: "c2#1", Voter: true}}
	now := time.Unix(1000, 0)
	n := New(Config{ID: "c1#1", ElectionTimeout: time.Second}, HardState{}, Snapshot{Members: members}, nil, now)
	n.Step(Message{Type: MsgPreVote, From: "c2#1", To: "c1#1"}, now)
	for i := range 10 * maxTrackedSenders {
		n.Step(Message{Type: MsgPreVote, From: MemberID(rune('a' + i)), To: "c1#1"}, now.Add(time.Second))
	}
	assert.Assert(t, len(n.view.lastMessageAt) <= maxTrackedSenders+len(members), "%d senders are tracked", len(n.view.lastMessageAt))
	assert.Assert(t, n.LastMessageAt("c2#1").Equal(now))
	assert.Assert(t, n.LastMessageAt("c3#1").IsZero())
}
