package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wantedVoters is the size of a group that tolerates the loss of two replicas.
const wantedVoters = 5

// maintainAll runs the group for some steps. In each, the leader, if there is one, adds a
// running replica that is not a member, or repairs the group.
func (g *group) maintainAll(steps int) {
	for range steps {
		if l := g.leader(); l != nil {
			g.maintain(l, g.nonMember(l), wantedVoters)
		}
		g.step(nil)
	}
}

// nonMember returns a running replica that is not a member, or else the leader.
func (g *group) nonMember(l *replica) Member {
	for _, id := range g.order {
		if _, ok := l.node.Member(id); !ok && g.replicas[id].node != nil {
			return Member{ID: id, Name: string(id[:2])}
		}
	}
	return Member{ID: l.id, Name: string(l.id[:2])}
}

// wipe kills a replica and starts an empty incarnation of the same name.
func (g *group) wipe(id MemberID) {
	g.crash(id)
	g.replicas[id].frozen = true // its disk is lost, so it never starts again
	inc := len(g.order)
	g.add(MemberID(fmt.Sprintf("%s#%d", id[:2], inc)), Snapshot{})
}

// assertHealthy checks that the group has wantedVoters, that all of them run, that
// everything acknowledged is committed, and that it commits a new command.
func (g *group) assertHealthy(acked ...string) {
	g.t.Helper()
	l := g.waitLeader()
	voters := l.node.voters()
	assert.Equal(g.t, len(voters), wantedVoters, "voters %v", voters)
	for _, id := range voters {
		assert.Assert(g.t, g.replicas[id].node != nil && !g.replicas[id].frozen, "voter %s is down", id)
	}
	_, ok := g.propose("more")
	assert.Assert(g.t, ok)
	g.run(100)
	for _, data := range append(acked, "more") {
		assert.Assert(g.t, g.hasCommitted(data), "%q is lost", data)
	}
}

// commit proposes data and waits until it is committed.
func (g *group) commit(data string) {
	g.t.Helper()
	g.waitLeader()
	_, ok := g.propose(data)
	assert.Assert(g.t, ok)
	for range 400 {
		if g.hasCommitted(data) {
			return
		}
		g.step(nil)
	}
	g.t.Fatalf("%q was not committed", data)
}

// TestTwoLosses loses two disks of five at once, one after the other, during a repair and before a
// power loss. The group must recover and lose nothing that was acknowledged.
func TestTwoLosses(t *testing.T) {
	for a := range wantedVoters {
		for b := range a {
			t.Run(fmt.Sprintf("at once/%d-%d", a, b), func(t *testing.T) {
				g := newGroup(t, wantedVoters, uint64(10*a+b))
				g.commit("acked")
				g.wipe(g.order[a])
				g.wipe(g.order[b])
				g.maintainAll(800)
				g.assertHealthy("acked")
			})
		}
	}
	t.Run("the leader and then the next leader", func(t *testing.T) {
		g := newGroup(t, wantedVoters, 61)
		g.commit("first")
		g.wipe(g.waitLeader().id)
		g.commit("second")
		g.wipe(g.waitLeader().id)
		g.maintainAll(800)
		g.assertHealthy("first", "second")
	})
	t.Run("repeatedly", func(t *testing.T) {
		g := newGroup(t, wantedVoters, 62)
		var acked []string
		for i := range 5 {
			data := fmt.Sprintf("round-%d", i)
			g.commit(data)
			acked = append(acked, data)
			voters := g.waitLeader().node.voters()
			g.wipe(voters[i%wantedVoters])
			g.wipe(voters[(i+2)%wantedVoters])
			g.maintainAll(800)
			g.assertHealthy(acked...)
		}
	})
	t.Run("while a replica joins", func(t *testing.T) {
		g := newGroup(t, wantedVoters, 63)
		g.commit("acked")
		g.add("n1#1", Snapshot{})
		g.maintainAll(2)
		g.wipe(g.order[0])
		g.wipe(g.order[1])
		g.maintainAll(800)
		g.assertHealthy("acked")
	})
	for steps := range 40 {
		t.Run(fmt.Sprintf("the second during the repair of the first/%d", steps), func(t *testing.T) {
			g := newGroup(t, wantedVoters, uint64(100+steps))
			g.commit("acked")
			g.wipe(g.order[0])
			g.maintainAll(5 * steps)
			g.wipe(g.order[1])
			g.maintainAll(800)
			g.assertHealthy("acked")
		})
		t.Run(fmt.Sprintf("both, then the others lose power/%d", steps), func(t *testing.T) {
			g := newGroup(t, wantedVoters, uint64(200+steps))
			g.commit("acked")
			g.wipe(g.order[2])
			g.wipe(g.order[3])
			g.maintainAll(5 * steps)
			g.powerOff()
			g.powerOn()
			g.maintainAll(800)
			g.assertHealthy("acked")
		})
	}
}

// powerOff kills all replicas at once; messages in flight are lost.
func (g *group) powerOff() {
	for _, id := range g.order {
		g.crash(id)
	}
	g.net = nil
}

// powerOn starts all replicas that are not frozen.
func (g *group) powerOn() {
	for _, id := range g.order {
		if !g.replicas[id].frozen {
			g.start(id)
		}
	}
}

// powerOffAfter returns a hook for points between two steps of a replica's work, which
// kills all replicas when it is called that many times, and done, which reports whether
// it has.
func (g *group) powerOffAfter(points int) (crash, done func() bool) {
	off := false
	crash = func() bool {
		if points--; points == 0 {
			off = true
			g.powerOff()
		}
		return off
	}
	return crash, func() bool { return off }
}

// runUntilPowerOff runs the group until the hook has killed it, with or without the
// leader changing members, and returns the committed commands.
func (g *group) runUntilPowerOff(points int, maintain bool) (acked []string) {
	crash, done := g.powerOffAfter(points)
	for i := 0; !done(); i++ {
		if l := g.leader(); l != nil && i%2 == 0 {
			l.node.Propose(fmt.Appendf(nil, "flight-%d", i), g.clock(l.id))
			g.ready(l, crash)
		}
		if l := g.leader(); l != nil && maintain {
			g.maintain(l, g.nonMember(l), wantedVoters)
		}
		g.step(crash)
	}
	g.net = nil // drops messages that were sent in the last step after the power loss
	for _, e := range g.committed {
		if e.Kind == EntryCommand {
			acked = append(acked, string(e.Data))
		}
	}
	return acked
}

// TestPowerLossInFlight kills all replicas at each point between two steps of their work:
// votes and acknowledgements are durable and not sent, or sent and in flight. Two disks
// are lost as well.
func TestPowerLossInFlight(t *testing.T) {
	const points = 120
	t.Run("commands", func(t *testing.T) {
		for n := 1; n <= points; n++ {
			g := newGroup(t, wantedVoters, uint64(300+n))
			g.commit("acked")
			g.assertPowerLossSurvived(n, false)
		}
	})
	t.Run("an election", func(t *testing.T) {
		for n := 1; n <= points; n++ {
			g := newGroup(t, wantedVoters, uint64(500+n))
			g.commit("acked")
			g.powerOff()
			g.powerOn()
			g.assertPowerLossSurvived(n, false)
		}
	})
	t.Run("a replica joining", func(t *testing.T) {
		for n := 1; n <= points; n++ {
			g := newGroup(t, wantedVoters, uint64(700+n))
			g.commit("acked")
			g.wipe(g.order[n%wantedVoters])
			g.assertPowerLossSurvived(n, true)
		}
	})
	t.Run("a standby being promoted", func(t *testing.T) {
		for n := 1; n <= points; n++ {
			g := newGroup(t, wantedVoters, uint64(900+n))
			for i := range 2 {
				g.add(MemberID(fmt.Sprintf("n%d#1", i)), Snapshot{})
			}
			g.commit("acked")
			g.maintainAll(200)
			silent := g.order[n%wantedVoters]
			g.crash(silent)
			g.replicas[silent].frozen = true
			g.maintainAll(20 + 2*n)
			g.replicas[silent].frozen = false // its disk is kept
			g.assertPowerLossSurvived(n, true)
		}
	})
}

// assertPowerLossSurvived kills all replicas at a point of their work, loses disks up to
// two in all, and checks that the group is healthy after the restart and has everything
// acknowledged.
func (g *group) assertPowerLossSurvived(point int, maintain bool) {
	g.t.Helper()
	acked := g.runUntilPowerOff(point, maintain)
	lost := 0
	for _, r := range g.replicas {
		if r.frozen {
			lost++
		}
	}
	for i := 0; lost < 2; i++ {
		id := g.order[(point+2*i)%wantedVoters]
		if g.replicas[id].frozen {
			continue
		}
		g.wipe(id)
		lost++
	}
	g.powerOn()
	g.maintainAll(800)
	g.assertHealthy(acked...)
}

// TestPowerLossDuringReplacement loses any two disks while all others lose power, at each
// step of replacing a silent voter that keeps its disk by a standby. Since only two disks
// are lost, the group must recover when the silent voter returns.
func TestPowerLossDuringReplacement(t *testing.T) {
	const steps, standbys = 12, 2
	const hosts = wantedVoters + standbys
	for step := range steps {
		for a := range hosts {
			for b := range a {
				t.Run(fmt.Sprintf("%d/%d-%d", step, a, b), func(t *testing.T) {
					g, silent := replacing(t, standbys)
					g.maintainAll(step)
					g.powerOff()
					g.replicas[silent].frozen = false
					g.wipe(g.order[a])
					g.wipe(g.order[b])
					g.powerOn()
					g.maintainAll(800)
					g.assertHealthy("acked")
				})
			}
		}
	}
}

// TestStandbysSilentWithVoters partitions two voters and all standbys at once. The three
// voters that are left must keep committing. If a partitioned standby were promoted, they
// would be no majority.
func TestStandbysSilentWithVoters(t *testing.T) {
	const standbys = 2
	for seed := range uint64(60) {
		g := newGroup(t, wantedVoters, 1300+seed)
		for i := range standbys {
			g.add(MemberID(fmt.Sprintf("n%d#1", i)), Snapshot{})
		}
		g.commit("acked")
		g.maintainAll(200 + int(seed))
		left := g.waitLeader().node.voters()
		left = slices.DeleteFunc(left, func(id MemberID) bool { return id == g.waitLeader().id })[:wantedVoters/2]
		left = append(left, g.waitLeader().id)
		for _, id := range g.order {
			g.replicas[id].frozen = !slices.Contains(left, id)
		}
		for i := range 20 {
			g.maintainAll(10)
			g.commit(fmt.Sprintf("meanwhile-%d", i))
		}
		for _, id := range g.order {
			g.replicas[id].frozen = false
		}
		g.maintainAll(400)
		l := g.waitLeader()
		assert.Assert(t, l.node.Voters() >= wantedVoters, "seed %d: members %v", seed, l.node.Members())
	}
}

// replacing returns a group with standbys that has just started to replace a partitioned
// follower.
func replacing(t *testing.T, standbys int) (g *group, silent MemberID) {
	t.Helper()
	g = newGroup(t, wantedVoters, 13)
	for i := range standbys {
		g.add(MemberID(fmt.Sprintf("n%d#1", i)), Snapshot{})
	}
	g.commit("acked")
	g.maintainAll(200)
	l := g.waitLeader()
	members := l.node.Members()
	assert.Equal(t, len(members), wantedVoters+standbys)
	for _, id := range l.node.voters() {
		if id != l.id {
			silent = id
		}
	}
	g.replicas[silent].frozen = true
	for range 400 {
		if !slices.Equal(g.waitLeader().node.Members(), members) {
			return g, silent
		}
		g.maintainAll(1)
	}
	t.Fatal("the silent voter is not replaced")
	return nil, ""
}

// TestClockSkewAfterPowerLoss restarts replicas after a power loss with two disks lost and
// with clocks that jumped by up to ten minutes and differ from each other.
func TestClockSkewAfterPowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(t, wantedVoters, 1100+seed)
		g.commit("acked")
		g.powerOff()
		for i, id := range g.order {
			g.skew[id] = time.Duration(g.rng.Int64N(int64(20*time.Minute))) - 10*time.Minute
			if i < 2 {
				g.wipe(id)
			}
		}
		g.powerOn()
		g.maintainAll(800)
		g.assertHealthy("acked")
		l := g.waitLeader()
		for _, m := range l.node.Members() {
			assert.Assert(t, !l.node.silent(m.ID, silentTimeouts, g.clock(l.id)), "seed %d: %s is taken for silent", seed, m.ID)
		}
	}
}

// TestVotersNeededForTwoLosses loses the disks of each pair of voters and restarts the
// others. With three or four voters, the rest is no majority: no candidate is elected even
// if all of them and both empty replicas grant their votes, so the group never recovers.
// Five voters tolerate it.
func TestVotersNeededForTwoLosses(t *testing.T) {
	for _, x := range []struct {
		voters int
		elects bool
	}{{3, false}, {4, false}, {wantedVoters, true}, {wantedVoters + 1, true}} {
		t.Run(fmt.Sprint(x.voters), func(t *testing.T) {
			for a := range x.voters {
				for b := range a {
					g := newGroup(t, x.voters, uint64(10*a+b))
					g.commit("acked")
					g.wipe(g.order[a])
					g.wipe(g.order[b])
					assert.Equal(t, g.canElectLeader(), x.elects, "voters %d and %d have lost their disks", a, b)
				}
			}
		})
	}
}

// canElectLeader reports whether some replica with its disk would be elected if it were restarted
// and granted the vote of every running replica.
func (g *group) canElectLeader() (some bool) {
	for _, id := range g.order {
		r := g.replicas[id]
		if r.frozen {
			continue
		}
		g.crash(id)
		g.start(id)
		r.node.campaign(Candidate, g.now)
		for _, from := range g.order {
			if from != id && !g.replicas[from].frozen {
				r.node.Step(Message{Type: MsgVoteReply, From: from, To: id, Term: r.node.Term()}, g.now)
			}
		}
		some = some || r.node.Role() == Leader
	}
	return some
}

// TestQuorumDuringRepair checks that a group never needs a larger majority during its
// repair than when healthy: with two of five lost, the three that are left must be enough
// at each step.
func TestQuorumDuringRepair(t *testing.T) {
	g := newGroup(t, wantedVoters, 7)
	g.commit("acked")
	g.wipe(g.order[0])
	g.wipe(g.order[1])
	for range 800 {
		g.maintainAll(1)
		if l := g.leader(); l != nil {
			voters := len(l.node.voters())
			assert.Assert(t, voters == wantedVoters || voters == wantedVoters-1, "%d voters", voters)
		}
	}
	g.assertHealthy("acked")
}

// TestStandby checks that replicas beyond wantedVoters stay standbys and replace lost
// voters, and that a standby that is down for long is removed.
func TestStandby(t *testing.T) {
	g := newGroup(t, 3, 8)
	for i := range 5 {
		g.add(MemberID(fmt.Sprintf("n%d#1", i)), Snapshot{})
	}
	g.maintainAll(600)
	g.assertHealthy()
	assert.Equal(t, len(g.waitLeader().node.Members()), 8)
	t.Run("a lost voter is replaced after a while", func(*testing.T) {
		for _, lost := range g.waitLeader().node.voters()[:2] {
			g.crash(lost)
			g.replicas[lost].frozen = true
		}
		g.maintainAll(400)
		g.assertHealthy()
	})
	t.Run("a standby that is down for long is removed", func(t *testing.T) {
		var standby MemberID
		for _, m := range g.waitLeader().node.Members() {
			if !m.Voter {
				standby = m.ID
			}
		}
		g.crash(standby)
		g.replicas[standby].frozen = true
		g.maintainAll(1_500)
		_, ok := g.waitLeader().node.Member(standby)
		assert.Assert(t, !ok)
	})
}

// TestRepairReasons checks the reason of each membership change after a disk loss, and
// after a permanent loss of a voter with a standby present.
func TestRepairReasons(t *testing.T) {
	t.Run("a lost disk", func(t *testing.T) {
		g := newGroup(t, wantedVoters, 74)
		g.wipe(g.follower(g.waitLeader()))
		assert.DeepEqual(t, g.repairs(), []Reason{ReasonSuperseded, ReasonPromoted})
	})
	t.Run("a silent voter", func(t *testing.T) {
		g := newGroup(t, wantedVoters, 75)
		l := g.waitLeader()
		g.add("c9#1", Snapshot{})
		g.maintainAll(100)
		g.crash(g.follower(l))
		assert.DeepEqual(t, g.repairs(), []Reason{ReasonPromoted, ReasonVoterSilent})
	})
}

// repairs makes the leader add running replicas and repair the group, and returns the reasons
// of the repairs in order.
func (g *group) repairs() (whys []Reason) {
	for range 800 {
		l := g.leader()
		if l == nil {
			g.step(nil)
			continue
		}
		next, ok := l.node.Join(g.nonMember(l), g.clock(l.id))
		why := ReasonJoined
		if !ok {
			next, why, ok = l.node.Repair(wantedVoters, g.now)
		}
		if ok {
			if _, accepted := l.node.ProposeMembers(next, g.now); accepted && why != ReasonJoined {
				whys = append(whys, why)
			}
		}
		g.ready(l, nil)
		g.step(nil)
	}
	return whys
}
