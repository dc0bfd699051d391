package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wantedVoters bear the loss of two.
const wantedVoters = 5

// tendAll runs the group for a while; its leader, if there is one, brings in
// every replica that lives and is no member, and repairs the group.
func (g *group) tendAll(steps int) {
	for range steps {
		if l := g.leader(); l != nil {
			g.tend(l, g.outsider(l), wantedVoters)
		}
		g.step(nil)
	}
}

// outsider returns a replica that lives and is no member, or a member.
func (g *group) outsider(l *replica) Member {
	for _, id := range g.order {
		if _, ok := l.node.Member(id); !ok && g.replicas[id].node != nil {
			return Member{ID: id, Name: string(id[:2])}
		}
	}
	return Member{ID: l.id, Name: string(l.id[:2])}
}

// wipe ends a replica and starts an empty one of the same name in its place.
func (g *group) wipe(id MemberID) {
	g.crash(id)
	g.replicas[id].frozen = true // that disk never comes back
	life := len(g.order)
	g.add(MemberID(fmt.Sprintf("%s#%d", id[:2], life)), Snapshot{})
}

// assertWhole holds that the group has its wanted voters, that all of them live,
// and that it has what was acknowledged and takes more.
func (g *group) assertWhole(acked ...string) {
	g.t.Helper()
	l := g.waitLeader()
	voters := l.node.voters()
	assert.Equal(g.t, len(voters), wantedVoters, "voters %v", voters)
	for _, id := range voters {
		assert.Assert(g.t, g.replicas[id].node != nil && !g.replicas[id].frozen, "voter %s is gone", id)
	}
	_, ok := g.propose("more")
	assert.Assert(g.t, ok)
	g.run(100)
	for _, data := range append(acked, "more") {
		assert.Assert(g.t, g.hasCommitted(data), "%q is lost", data)
	}
}

// commit has the group acknowledge data.
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
	g.t.Fatalf("%q is not acknowledged", data)
}

// TestTwoLosses loses two disks of five, in each way that the users' faults do.
func TestTwoLosses(t *testing.T) {
	for a := range wantedVoters {
		for b := range a {
			t.Run(fmt.Sprintf("at once/%d-%d", a, b), func(t *testing.T) {
				g := newGroup(t, wantedVoters, uint64(10*a+b))
				g.commit("acked")
				g.wipe(g.order[a])
				g.wipe(g.order[b])
				g.tendAll(800)
				g.assertWhole("acked")
			})
		}
	}
	t.Run("the leader and then its successor", func(t *testing.T) {
		g := newGroup(t, wantedVoters, 61)
		g.commit("first")
		g.wipe(g.waitLeader().id)
		g.commit("second")
		g.wipe(g.waitLeader().id)
		g.tendAll(800)
		g.assertWhole("first", "second")
	})
	t.Run("in a row for long", func(t *testing.T) {
		g := newGroup(t, wantedVoters, 62)
		var acked []string
		for i := range 5 {
			data := fmt.Sprintf("round-%d", i)
			g.commit(data)
			acked = append(acked, data)
			voters := g.waitLeader().node.voters()
			g.wipe(voters[i%wantedVoters])
			g.wipe(voters[(i+2)%wantedVoters])
			g.tendAll(800)
			g.assertWhole(acked...)
		}
	})
	t.Run("while a replica joins", func(t *testing.T) {
		g := newGroup(t, wantedVoters, 63)
		g.commit("acked")
		g.add("n1#1", Snapshot{})
		g.tendAll(2)
		g.wipe(g.order[0])
		g.wipe(g.order[1])
		g.tendAll(800)
		g.assertWhole("acked")
	})
	for steps := range 40 {
		t.Run(fmt.Sprintf("the second during the repair of the first/%d", steps), func(t *testing.T) {
			g := newGroup(t, wantedVoters, uint64(100+steps))
			g.commit("acked")
			g.wipe(g.order[0])
			g.tendAll(5 * steps)
			g.wipe(g.order[1])
			g.tendAll(800)
			g.assertWhole("acked")
		})
		t.Run(fmt.Sprintf("two, and the others lose power/%d", steps), func(t *testing.T) {
			g := newGroup(t, wantedVoters, uint64(200+steps))
			g.commit("acked")
			g.wipe(g.order[2])
			g.wipe(g.order[3])
			g.tendAll(5 * steps)
			g.goDark()
			g.powerOn()
			g.tendAll(800)
			g.assertWhole("acked")
		})
	}
}

// goDark ends all replicas at once; what is on its way is lost.
func (g *group) goDark() {
	for _, id := range g.order {
		g.crash(id)
	}
	g.net = nil
}

// powerOn starts the replicas whose disks are not lost.
func (g *group) powerOn() {
	for _, id := range g.order {
		if !g.replicas[id].frozen {
			g.start(id)
		}
	}
}

// darkAfter returns a hook that ends all replicas when one has come that often to a
// point between two steps of its work, and done, which tells whether it has.
func (g *group) darkAfter(points int) (crash, done func() bool) {
	dark := false
	crash = func() bool {
		if points--; points == 0 {
			dark = true
			g.goDark()
		}
		return dark
	}
	return crash, func() bool { return dark }
}

// runIntoDark runs the group until the hook has ended it, with the leader tending it
// as wanted, and returns the commands that were acknowledged meanwhile.
func (g *group) runIntoDark(points int, tend bool) (acked []string) {
	crash, done := g.darkAfter(points)
	for i := 0; !done(); i++ {
		if l := g.leader(); l != nil && i%2 == 0 {
			l.node.Propose(fmt.Appendf(nil, "flight-%d", i), g.clock(l.id))
			g.ready(l, crash)
		}
		if l := g.leader(); l != nil && tend {
			g.tend(l, g.outsider(l), wantedVoters)
		}
		g.step(crash)
	}
	g.net = nil // what a step still put on its way
	for _, e := range g.committed {
		if e.Kind == EntryCommand {
			acked = append(acked, string(e.Data))
		}
	}
	return acked
}

// TestDarkInFlight ends all replicas at each point between two steps of their work:
// votes and acknowledgements are on disk and not told, or told and on their way. Two
// disks are lost with it.
func TestDarkInFlight(t *testing.T) {
	const points = 120
	t.Run("commands", func(t *testing.T) {
		for n := 1; n <= points; n++ {
			g := newGroup(t, wantedVoters, uint64(300+n))
			g.commit("acked")
			g.loseInDark(n, false)
		}
	})
	t.Run("an election", func(t *testing.T) {
		for n := 1; n <= points; n++ {
			g := newGroup(t, wantedVoters, uint64(500+n))
			g.commit("acked")
			g.goDark()
			g.powerOn()
			g.loseInDark(n, false)
		}
	})
	t.Run("a replica joining", func(t *testing.T) {
		for n := 1; n <= points; n++ {
			g := newGroup(t, wantedVoters, uint64(700+n))
			g.commit("acked")
			g.wipe(g.order[n%wantedVoters])
			g.loseInDark(n, true)
		}
	})
	t.Run("a standby taking a vote", func(t *testing.T) {
		for n := 1; n <= points; n++ {
			g := newGroup(t, wantedVoters, uint64(900+n))
			for i := range 2 {
				g.add(MemberID(fmt.Sprintf("n%d#1", i)), Snapshot{})
			}
			g.commit("acked")
			g.tendAll(200)
			gone := g.order[n%wantedVoters]
			g.crash(gone)
			g.replicas[gone].frozen = true
			g.tendAll(20 + 2*n)
			g.replicas[gone].frozen = false // its disk is kept
			g.loseInDark(n, true)
		}
	})
}

// loseInDark ends all replicas at a point of their work, loses disks up to two in
// all, and holds that everything acknowledged is there after the restart.
func (g *group) loseInDark(point int, tend bool) {
	g.t.Helper()
	acked := g.runIntoDark(point, tend)
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
	g.tendAll(800)
	g.assertWhole(acked...)
}

// TestDarkWhileReplacing loses any two disks while all others lose power, at each step of
// putting a standby in the place of a voter that is silent and keeps its disk: there are
// two lost disks as ever, so that the group must come back when the silent one does.
func TestDarkWhileReplacing(t *testing.T) {
	const steps, standbys = 12, 2
	const machines = wantedVoters + standbys
	for step := range steps {
		for a := range machines {
			for b := range a {
				t.Run(fmt.Sprintf("%d/%d-%d", step, a, b), func(t *testing.T) {
					g, silent := replacing(t, standbys)
					g.tendAll(step)
					g.goDark()
					g.replicas[silent].frozen = false
					g.wipe(g.order[a])
					g.wipe(g.order[b])
					g.powerOn()
					g.tendAll(800)
					g.assertWhole("acked")
				})
			}
		}
	}
}

// TestSilentTogether cuts two voters and all standbys off at once. A standby that went
// together with the voters must not be counted on: three of five go on all the while.
func TestSilentTogether(t *testing.T) {
	const standbys = 2
	for seed := range uint64(60) {
		g := newGroup(t, wantedVoters, 1300+seed)
		for i := range standbys {
			g.add(MemberID(fmt.Sprintf("n%d#1", i)), Snapshot{})
		}
		g.commit("acked")
		g.tendAll(200 + int(seed))
		left := g.waitLeader().node.voters()
		left = slices.DeleteFunc(left, func(id MemberID) bool { return id == g.waitLeader().id })[:wantedVoters/2]
		left = append(left, g.waitLeader().id)
		for _, id := range g.order {
			g.replicas[id].frozen = !slices.Contains(left, id)
		}
		for i := range 20 {
			g.tendAll(10)
			g.commit(fmt.Sprintf("meanwhile-%d", i))
		}
		for _, id := range g.order {
			g.replicas[id].frozen = false
		}
		g.tendAll(400)
		l := g.waitLeader()
		assert.Assert(t, l.node.Voters() >= wantedVoters, "seed %d: members %v", seed, l.node.Members())
	}
}

// replacing returns a group with standbys that has just begun to replace a follower,
// which is cut off.
func replacing(t *testing.T, standbys int) (g *group, silent MemberID) {
	t.Helper()
	g = newGroup(t, wantedVoters, 13)
	for i := range standbys {
		g.add(MemberID(fmt.Sprintf("n%d#1", i)), Snapshot{})
	}
	g.commit("acked")
	g.tendAll(200)
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
		g.tendAll(1)
	}
	t.Fatal("a silent voter is not replaced")
	return nil, ""
}

// TestClocksAfterDark has replicas come back from the dark with clocks that are minutes
// early or late, by themselves and against each other, and two disks lost.
func TestClocksAfterDark(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(t, wantedVoters, 1100+seed)
		g.commit("acked")
		g.goDark()
		for i, id := range g.order {
			g.skew[id] = time.Duration(g.rng.Int64N(int64(20*time.Minute))) - 10*time.Minute
			if i < 2 {
				g.wipe(id)
			}
		}
		g.powerOn()
		g.tendAll(800)
		g.assertWhole("acked")
		l := g.waitLeader()
		for _, m := range l.node.Members() {
			assert.Assert(t, !l.node.silent(m.ID, silentTimeouts, g.clock(l.id)), "seed %d: %s counts as silent", seed, m.ID)
		}
	}
}

// TestVotersThatBearLosses loses each pair of voters' disks and ends the others, which
// keep theirs. With three or four voters those that are left are no majority: though
// each of them and both empty replicas grant their votes, nobody is elected, whoever
// asks, so that nothing is served or repaired for good. Five bear it.
func TestVotersThatBearLosses(t *testing.T) {
	for _, x := range []struct {
		voters int
		bear   bool
	}{{3, false}, {4, false}, {wantedVoters, true}, {wantedVoters + 1, true}} {
		t.Run(fmt.Sprint(x.voters), func(t *testing.T) {
			for a := range x.voters {
				for b := range a {
					g := newGroup(t, x.voters, uint64(10*a+b))
					g.commit("acked")
					g.wipe(g.order[a])
					g.wipe(g.order[b])
					assert.Equal(t, g.elects(), x.bear, "voters %d and %d have lost their disks", a, b)
				}
			}
		})
	}
}

// elects reports whether some replica would lead that is ended, started again and
// granted the vote of each replica that lives.
func (g *group) elects() (some bool) {
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

// TestQuorumDuringRepair holds that a group never needs more answers while it is
// repaired than it needs whole: with two of five lost, the three that are left
// must be enough at each step.
func TestQuorumDuringRepair(t *testing.T) {
	g := newGroup(t, wantedVoters, 7)
	g.commit("acked")
	g.wipe(g.order[0])
	g.wipe(g.order[1])
	for range 800 {
		g.tendAll(1)
		if l := g.leader(); l != nil {
			voters := len(l.node.voters())
			assert.Assert(t, voters == wantedVoters || voters == wantedVoters-1, "%d voters", voters)
		}
	}
	g.assertWhole("acked")
}

// TestStandby keeps replicas beyond the wanted voters without a vote, and has them
// take the place of voters that are gone.
func TestStandby(t *testing.T) {
	g := newGroup(t, 3, 8)
	for i := range 5 {
		g.add(MemberID(fmt.Sprintf("n%d#1", i)), Snapshot{})
	}
	g.tendAll(600)
	g.assertWhole()
	assert.Equal(t, len(g.waitLeader().node.Members()), 8)
	t.Run("after a while a lost voter's place is taken", func(*testing.T) {
		for _, lost := range g.waitLeader().node.voters()[:2] {
			g.crash(lost)
			g.replicas[lost].frozen = true
		}
		g.tendAll(400)
		g.assertWhole()
	})
	t.Run("what is gone for long is forgotten", func(t *testing.T) {
		var gone MemberID
		for _, m := range g.waitLeader().node.Members() {
			if !m.Voter {
				gone = m.ID
			}
		}
		g.crash(gone)
		g.replicas[gone].frozen = true
		g.tendAll(1_500)
		_, ok := g.waitLeader().node.Member(gone)
		assert.Assert(t, !ok)
	})
}

// TestRepairReasons loses a disk, then a replica for good beside a standby, and holds
// what the leader says of each step.
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
		g.tendAll(100)
		g.crash(g.follower(l))
		assert.DeepEqual(t, g.repairs(), []Reason{ReasonPromoted, ReasonVoterSilent})
	})
}

// repairs has the leader bring in whoever lives and repair the group, and returns the
// reasons in their order.
func (g *group) repairs() (whys []Reason) {
	for range 800 {
		l := g.leader()
		if l == nil {
			g.step(nil)
			continue
		}
		next, ok := l.node.Join(g.outsider(l), g.clock(l.id))
		why := ReasonJoined
		if !ok {
			next, why, ok = l.node.Repair(wantedVoters, g.now)
		}
		if ok {
			if _, taken := l.node.ProposeMembers(next, g.now); taken && why != ReasonJoined {
				whys = append(whys, why)
			}
		}
		g.ready(l, nil)
		g.step(nil)
	}
	return whys
}
