package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replica is a node with a disk that survives crashes.
type replica struct {
	id      MemberID
	node    *Node // nil while crashed
	frozen  bool  // neither receives messages nor ticks; powerOn does not start it
	hard    HardState
	snap    Snapshot
	entries []Entry // after snap
	applied []Entry // commands, in order
}

// group runs replicas over a simulated network that loses, duplicates, delays and reorders
// messages.
type group struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	replicas map[MemberID]*replica
	order    []MemberID
	net      []Message                  // in flight
	cut      map[[2]MemberID]bool       // by sender and receiver: all messages are lost
	skew     map[MemberID]time.Duration // by how much a replica's clock is ahead of now
	loss     float64                    // probability that a message is lost, and that it is duplicated

	committed map[uint64]Entry    // by index, as first applied anywhere
	leaders   map[uint64]MemberID // by term
	members   []Member            // the founding members
}

func newGroup(t *testing.T, n int, seed uint64) *group {
	g := &group{
		t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1000, 0), replicas: map[MemberID]*replica{},
		cut: map[[2]MemberID]bool{}, skew: map[MemberID]time.Duration{}, committed: map[uint64]Entry{}, leaders: map[uint64]MemberID{},
	}
	for i := range n {
		id := MemberID(fmt.Sprintf("c%d#1", i+1))
		g.members = append(g.members, Member{ID: id, Name: string(id[:2]), Voter: true})
	}
	for _, m := range g.members {
		g.add(m.ID, Snapshot{Members: g.members})
	}
	return g
}

func (g *group) add(id MemberID, s Snapshot) {
	g.replicas[id] = &replica{id: id, snap: s}
	g.order = append(g.order, id)
	g.start(id)
}

func (g *group) start(id MemberID) {
	r := g.replicas[id]
	r.applied = nil
	r.node = New(Config{ID: id, ElectionTimeout: 100 * time.Millisecond, HeartbeatInterval: 20 * time.Millisecond, Seed: g.rng.Uint64()},
		r.hard, r.snap, append([]Entry(nil), r.entries...), g.clock(id))
}

// clock returns the time on a replica's clock.
func (g *group) clock(id MemberID) time.Time { return g.now.Add(g.skew[id]) }

func (g *group) crash(id MemberID) { g.replicas[id].node = nil }

// ready does a replica's pending work. crash, if not nil, is called between two steps and
// reports whether the replica crashes there.
func (g *group) ready(r *replica, crash func() bool) {
	for r.node != nil {
		rd := r.node.Ready()
		es := r.node.Committed()
		if rd.Empty() && len(es) == 0 {
			break
		}
		g.net = append(g.net, rd.EarlyMessages...)
		if crash != nil && crash() {
			g.crash(r.id)
			return
		}
		r.save(rd)
		if crash != nil && crash() {
			g.crash(r.id)
			return
		}
		g.net = append(g.net, rd.Messages...)
		g.checkDurable(r, rd)
		r.node.Persisted(rd, g.clock(r.id))
		g.apply(r, es)
	}
	g.checkLeader(r)
}

func (r *replica) save(rd Ready) {
	if rd.HardState != nil {
		r.hard = *rd.HardState
	}
	if rd.Snapshot != nil {
		r.snap, r.entries = *rd.Snapshot, nil
	}
	for _, e := range rd.Entries {
		r.entries = append(r.entries[:e.Index-r.snap.Index-1:e.Index-r.snap.Index-1], e)
	}
}

func (g *group) apply(r *replica, es []Entry) {
	for _, e := range es {
		if old, ok := g.committed[e.Index]; ok {
			assert.Equal(g.t, old.Term, e.Term, "index %d on %s", e.Index, r.id)
			assert.Equal(g.t, string(old.Data), string(e.Data), "index %d on %s", e.Index, r.id)
		}
		g.committed[e.Index] = e
		r.applied = append(r.applied, e)
	}
}

// checkDurable checks that votes and acknowledged entries are on the replica's disk before
// the replies are sent, and that early messages are appends and snapshots only.
func (g *group) checkDurable(r *replica, rd Ready) {
	for _, m := range rd.EarlyMessages {
		assert.Assert(g.t, m.Type == MsgAppend || m.Type == MsgSnapshot, "%s sends type %d as an early message", r.id, m.Type)
	}
	for _, m := range rd.Messages {
		switch {
		case m.Reject:
		case m.Type == MsgVoteReply:
			assert.Equal(g.t, r.hard, HardState{Term: m.Term, Vote: m.To}, "the vote of %s", r.id)
		case m.Type == MsgAppendReply:
			assert.Equal(g.t, r.hard.Term, m.Term, "the term of %s", r.id)
			last := r.snap.Index + uint64(len(r.entries))
			assert.Assert(g.t, m.Match <= last, "%s acknowledges %d and has %d", r.id, m.Match, last)
		}
	}
}

func (g *group) checkLeader(r *replica) {
	if r.node == nil || r.node.Role() != Leader {
		return
	}
	other, ok := g.leaders[r.node.Term()]
	assert.Assert(g.t, !ok || other == r.id, "term %d has leaders %s and %s", r.node.Term(), other, r.id)
	g.leaders[r.node.Term()] = r.id
}

// step advances the time by 5 ms and delivers some of the messages in flight.
func (g *group) step(crash func() bool) {
	g.now = g.now.Add(5 * time.Millisecond)
	g.rng.Shuffle(len(g.net), func(i, j int) { g.net[i], g.net[j] = g.net[j], g.net[i] })
	batch := g.net
	g.net = nil
	for _, m := range batch {
		switch {
		case g.cut[[2]MemberID{m.From, m.To}] || g.rng.Float64() < g.loss:
			continue
		case g.rng.Float64() < 0.1:
			g.net = append(g.net, m) // delayed
			continue
		case g.rng.Float64() < g.loss:
			g.net = append(g.net, m) // duplicated
		}
		if r := g.replicas[m.To]; r != nil && r.node != nil && !r.frozen {
			r.node.Step(m, g.clock(m.To))
			g.ready(r, crash)
		}
	}
	for _, id := range g.order {
		if r := g.replicas[id]; r.node != nil && !r.frozen && !g.clock(id).Before(r.node.NextDeadline()) {
			r.node.Tick(g.clock(id))
			g.ready(r, crash)
		}
	}
}

func (g *group) run(steps int) {
	for range steps {
		g.step(nil)
	}
}

// leader returns the running leader of the highest term that has committed in its term, or nil.
func (g *group) leader() *replica {
	var best *replica
	for _, id := range g.order {
		r := g.replicas[id]
		if r.node != nil && !r.frozen && r.node.CommittedInTerm() && (best == nil || r.node.Term() > best.node.Term()) {
			best = r
		}
	}
	return best
}

func (g *group) waitLeader() *replica {
	for range 1000 {
		if r := g.leader(); r != nil {
			return r
		}
		g.step(nil)
	}
	g.t.Fatal("no leader")
	return nil
}

func (g *group) propose(data string) (index uint64, ok bool) {
	l := g.leader()
	if l == nil {
		return 0, false
	}
	index, _, ok = l.node.Propose([]byte(data), g.clock(l.id))
	g.ready(l, nil)
	return index, ok
}

// heal ends all faults: it reconnects all replicas and restarts those that are down.
func (g *group) heal() {
	clear(g.cut)
	g.loss = 0
	for _, id := range g.order {
		g.replicas[id].frozen = false
		if g.replicas[id].node == nil {
			g.start(id)
		}
	}
}

func (g *group) hasCommitted(data string) bool {
	for _, e := range g.committed {
		if string(e.Data) == data {
			return true
		}
	}
	return false
}

// TestFaults runs groups with lost, duplicated, delayed and reordered messages, partitions,
// frozen replicas and crashes between any two steps of the work, with fixed seeds. apply
// and checkLeader check the invariants at every step.
func TestFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := newGroup(t, 3+2*int(seed%2), seed)
			acked := faults(g, 2000)
			g.heal()
			g.run(200)
			l := g.waitLeader()
			g.run(50)
			assert.Assert(t, len(acked) > 0, "nothing was committed under faults")
			for _, id := range g.order {
				assert.Equal(t, g.replicas[id].node.CommitIndex(), l.node.CommitIndex(), "replica %s", id)
			}
			for _, data := range acked {
				assert.Assert(t, g.hasCommitted(data), "acknowledged entry %s is lost", data)
			}
		})
	}
}

// faults injects random faults and returns the proposals that were committed.
func faults(g *group, steps int) (acked []string) {
	crash := func() bool { return g.rng.Float64() < 0.003 }
	proposed := map[uint64]string{}
	g.loss = 0.05
	for i := range steps {
		id := g.order[g.rng.IntN(len(g.order))]
		other := g.order[g.rng.IntN(len(g.order))]
		switch g.rng.IntN(60) {
		case 0:
			g.cut[[2]MemberID{id, other}] = true // in one direction
		case 1:
			clear(g.cut)
		case 2:
			g.replicas[id].frozen = !g.replicas[id].frozen
		case 3:
			g.crash(id)
		case 4, 5, 6, 7:
			g.replicas[id].frozen = false
			if g.replicas[id].node == nil {
				g.start(id)
			}
		case 8:
			g.snapshot(id)
		}
		data := fmt.Sprintf("entry-%d", i)
		if index, ok := g.propose(data); ok {
			proposed[index] = data
		}
		g.step(crash)
		for index, data := range proposed {
			if e, ok := g.committed[index]; ok {
				if string(e.Data) == data {
					acked = append(acked, data)
				}
				delete(proposed, index)
			}
		}
	}
	return acked
}

// snapshot compacts a replica's log up to the last applied entry.
func (g *group) snapshot(id MemberID) {
	r := g.replicas[id]
	if r.node == nil || r.node.applied <= r.snap.Index {
		return
	}
	s := r.node.Compact(Snapshot{Index: r.node.applied, Data: []byte("state")})
	keep := r.entries[s.Index-r.snap.Index:]
	r.snap, r.entries = s, append([]Entry(nil), keep...)
}

// TestLostDisk checks that a voter that lost its disk rejoins under a new ID and gets a vote, and
// that another voter may be lost right after that.
func TestLostDisk(t *testing.T) {
	g := newGroup(t, 3, 1)
	g.waitLeader()
	_, ok := g.propose("before")
	assert.Assert(t, ok)
	g.run(50)

	// c3 loses its disk and rejoins under a new ID.
	g.crash("c3#1")
	rejoin(g, "c3#2", "c3")
	assert.Equal(t, voterCount(g), 3)
	assert.Equal(t, g.replicas["c3#2"].node.CommitIndex(), g.waitLeader().node.CommitIndex())

	// c1 is lost right after the repair: the other two continue, and nothing committed is lost.
	g.crash("c1#1")
	g.run(300)
	_, ok = g.propose("after")
	assert.Assert(t, ok)
	g.run(100)
	assert.Assert(t, g.hasCommitted("before") && g.hasCommitted("after"))
	rejoin(g, "c1#2", "c1")
	assert.Equal(t, voterCount(g), 3)
}

// rejoin starts an empty replica and lets the leader add and promote it.
func rejoin(g *group, id MemberID, name string) {
	g.add(id, Snapshot{})
	for range 400 {
		g.maintain(g.waitLeader(), Member{ID: id, Name: name}, 0)
		g.step(nil)
	}
}

// maintain has a leader add the replica that requests to join, or else repair the group.
func (g *group) maintain(l *replica, joining Member, wanted int) {
	next, ok := l.node.Join(joining, g.clock(l.id))
	if !ok {
		next, _, ok = l.node.Repair(wanted, g.clock(l.id))
	}
	if ok {
		l.node.ProposeMembers(next, g.clock(l.id))
	}
	g.ready(l, nil)
}

// TestJoinUnderLoad adds a replica while commands are proposed all the time. It must
// catch up and become a voter.
func TestJoinUnderLoad(t *testing.T) {
	g := newGroup(t, 3, 4)
	g.waitLeader()
	g.crash("c3#1")
	g.add("c3#2", Snapshot{})
	for i := range 200 {
		l := g.waitLeader()
		for k := range 50 {
			l.node.Propose(fmt.Appendf(nil, "load-%d-%d", i, k), g.now)
		}
		if next, ok := l.node.Join(Member{ID: "c3#2", Name: "c3"}, g.clock(l.id)); ok {
			l.node.ProposeMembers(next, g.now)
		} else if next, _, ok := l.node.Repair(0, g.now); ok && i%10 == 0 {
			l.node.ProposeMembers(next, g.now)
		}
		g.ready(l, nil)
		g.step(nil)
	}
	m, ok := g.waitLeader().node.Member("c3#2")
	assert.Assert(t, ok && m.Voter, "after 200 steps under load the members are %v", g.waitLeader().node.Members())
}

func voterCount(g *group) int { return g.waitLeader().node.Voters() }

// TestEmptyReplicaDoesNotVote guards against electing a leader with the vote of a replica that has
// lost its disk and has not joined again.
func TestEmptyReplicaDoesNotVote(t *testing.T) {
	g := newGroup(t, 3, 2)
	g.waitLeader()
	g.crash("c1#1")
	g.crash("c2#1")
	g.add("c2#2", Snapshot{})
	g.run(1000)
	assert.Assert(t, g.leader() == nil, "a leader was elected with the vote of an empty replica")
}

// TestPartitionedLeader checks that a leader that reaches no other replica commits nothing, confirms
// no reads, steps down, and does not disrupt the others on its return.
func TestPartitionedLeader(t *testing.T) {
	g := newGroup(t, 3, 3)
	old := g.waitLeader()
	for _, id := range g.order {
		if id != old.id {
			g.cut[[2]MemberID{old.id, id}] = true
			g.cut[[2]MemberID{id, old.id}] = true
		}
	}
	at := g.now
	old.node.Propose([]byte("cut off"), g.now)
	g.ready(old, nil)
	g.run(400)

	t.Run("it does not commit", func(t *testing.T) {
		assert.Assert(t, !g.hasCommitted("cut off"))
	})
	t.Run("it does not confirm reads", func(t *testing.T) {
		assert.Assert(t, !old.node.QuorumContact(g.now).After(at))
		assert.Assert(t, old.node.Role() != Leader, "the partitioned leader still leads after %v", g.now.Sub(at))
	})
	t.Run("it does not disrupt the others on its return", func(t *testing.T) {
		l := g.waitLeader()
		term := l.node.Term()
		clear(g.cut)
		g.run(300)
		assert.Equal(t, g.waitLeader().id, l.id)
		assert.Equal(t, l.node.Term(), term)
		assert.Equal(t, old.node.CommitIndex(), l.node.CommitIndex())
	})
}

// TestContactBoundsElections checks the property that leases depend on: when a leader is
// elected, no earlier leader's QuorumContact is later than the election.
func TestContactBoundsElections(t *testing.T) {
	for seed := range uint64(40) {
		g := newGroup(t, 3, 100+seed)
		g.loss = 0.05
		elected := map[uint64]time.Time{}
		for range 800 {
			if g.rng.IntN(30) == 0 {
				id := g.order[g.rng.IntN(len(g.order))]
				g.replicas[id].frozen = !g.replicas[id].frozen
			}
			g.step(nil)
			for _, id := range g.order {
				n := g.replicas[id].node
				if n.Role() != Leader {
					continue
				}
				if _, ok := elected[n.Term()]; !ok {
					elected[n.Term()] = g.now
				}
				for term, at := range elected {
					if term > n.Term() {
						contact := n.QuorumContact(g.now)
						assert.Assert(t, !contact.After(at), "seed %d: leader of term %d has contact after term %d began", seed, n.Term(), term)
					}
				}
			}
		}
	}
}

// TestPartitionedLeaderUnderReads calls ConfirmLeadership all the time on a partitioned
// leader. It guards against reads that postpone the check for a quorum, so that the leader
// never steps down and repairs wait until the reads end.
func TestPartitionedLeaderUnderReads(t *testing.T) {
	g := newGroup(t, 3, 6)
	old := g.waitLeader()
	for _, id := range g.order {
		g.cut[[2]MemberID{old.id, id}] = true
		g.cut[[2]MemberID{id, old.id}] = true
	}
	for range 200 {
		old.node.ConfirmLeadership(g.now)
		g.step(nil)
	}
	assert.Assert(t, old.node.Role() != Leader, "the partitioned leader still leads after a second without an answer")
}

// TestMembersOneAtATime checks that a change of two voters is refused, and a change while another
// one is not committed.
func TestMembersOneAtATime(t *testing.T) {
	g := newGroup(t, 3, 5)
	l := g.waitLeader()
	_, ok := l.node.ProposeMembers(g.members[:1], g.now)
	assert.Assert(t, !ok, "two voters were removed at once")
	_, ok = l.node.ProposeMembers(g.members[:2], g.now)
	assert.Assert(t, ok)
	_, ok = l.node.ProposeMembers(g.members, g.now)
	assert.Assert(t, !ok, "a change was accepted while another was pending")
}

// TestPermanentReplacement loses replicas permanently, one after the other, each replaced by
// an empty one with another name. The group must return to three running voters each time,
// also under load.
func TestPermanentReplacement(t *testing.T) {
	g := newGroup(t, 3, 7)
	g.waitLeader()
	const wanted = 3
	for round := range 4 {
		lost := g.waitLeader().id
		g.crash(lost)
		g.replicas[lost].frozen = true // it never starts again
		id := MemberID(fmt.Sprintf("n%d#1", round))
		g.add(id, Snapshot{})
		for step := range 600 {
			l := g.waitLeader()
			if step%3 == 0 {
				_, ok := g.propose(fmt.Sprintf("busy-%d-%d", round, step))
				assert.Assert(t, ok)
			}
			g.maintain(l, Member{ID: id, Name: string(id[:2])}, wanted)
			g.step(nil)
		}
		assert.Equal(t, voterCount(g), wanted, "round %d", round)
		for _, m := range g.waitLeader().node.Members() {
			assert.Assert(t, m.ID != lost, "round %d: %s is lost permanently and still a member", round, lost)
		}
	}
}

// TestLeadershipTransfer checks that another replica leads before any election timeout has
// passed, and that nothing committed is lost.
func TestLeadershipTransfer(t *testing.T) {
	for seed := range uint64(20) {
		g := newGroup(t, 3, 100+seed)
		old := g.waitLeader()
		_, ok := g.propose("before")
		assert.Assert(t, ok)
		g.run(30)
		for i := range 5 { // not replicated yet: the transferee has to catch up first
			_, ok := g.propose(fmt.Sprintf("last-%d", i))
			assert.Assert(t, ok)
		}
		old.node.TransferLeadership(g.now)
		g.ready(old, nil)
		g.run(15) // 75 ms; the minimum election timeout is 100 ms
		l := g.leader()
		assert.Assert(t, l != nil && l.id != old.id, "seed %d: no new leader", seed)
		_, ok = g.propose("after")
		assert.Assert(t, ok)
		g.run(30)
		assert.Assert(t, g.hasCommitted("before") && g.hasCommitted("last-4") && g.hasCommitted("after"))
	}
}

// TestTransferWithoutLiveFollower checks that a leader keeps its role if it is to transfer it
// while all followers are down.
func TestTransferWithoutLiveFollower(t *testing.T) {
	g := newGroup(t, 3, 5)
	l := g.waitLeader()
	for _, id := range g.order {
		if id != l.id {
			g.crash(id)
		}
	}
	l.node.TransferLeadership(g.now)
	g.ready(l, nil)
	g.run(5)
	assert.Equal(t, l.node.Role(), Leader)
}

// TestLeaderDisconnect reports the end of a crashed leader's connections to its followers. In
// most groups another replica must lead before any election timeout has passed; in the others
// both followers campaign at once and split the votes. A leader that still runs keeps its role.
func TestLeaderDisconnect(t *testing.T) {
	const seeds, most = 40, 20
	soon := 0
	for seed := range uint64(seeds) {
		g := newGroup(t, 3, 200+seed)
		old := g.waitLeader()
		g.run(30)
		g.crash(old.id)
		for _, id := range g.order {
			if id != old.id {
				g.cut[[2]MemberID{old.id, id}] = true // a connection ends after its messages
				g.replicas[id].node.HandleDisconnect(old.id, g.now)
			}
		}
		g.run(15) // 75 ms; the minimum election timeout is 100 ms
		if l := g.leader(); l != nil && l.id != old.id {
			soon++
		}
		assert.Assert(t, g.waitLeader().id != old.id)
	}
	assert.Assert(t, soon >= most, "only %d of %d groups had a leader before a timeout", soon, seeds)
	t.Run("a running leader stays", func(t *testing.T) {
		g := newGroup(t, 3, 9)
		old := g.waitLeader()
		g.run(30)
		term := old.node.Term()
		for _, id := range g.order {
			if id != old.id {
				g.replicas[id].node.HandleDisconnect(old.id, g.now)
				break
			}
		}
		g.run(100)
		assert.Equal(t, g.waitLeader().id, old.id)
		assert.Equal(t, old.node.Term(), term)
	})
}

// TestCompactByBytes checks that the entries kept before a snapshot's index are bounded by their
// size, too.
func TestCompactByBytes(t *testing.T) {
	l := newLog(Snapshot{}, nil)
	const size, count = 1 << 20, 40
	for i := range uint64(count) {
		l.push(Entry{Index: i + 1, Term: 1, Data: make([]byte, size)})
	}
	l.compact(Snapshot{Index: count}, trailingEntries)
	assert.Equal(t, len(l.entries), trailingBytes/size)
	assert.Equal(t, l.last(), uint64(count))
	term, ok := l.term(count - 3)
	assert.Assert(t, ok && term == 1)
}

// TestRejectionsOfStaleAppends reconnects a partitioned replica, which rejects all appends
// that were in flight. It guards against a leader that sends all missing entries again for
// each rejection, 176 MB in a second; it must send them about once.
func TestRejectionsOfStaleAppends(t *testing.T) {
	g := newGroup(t, 3, 3)
	l := g.waitLeader()
	g.run(50)
	var partitioned MemberID
	for _, id := range g.order {
		if id != l.id {
			partitioned = id
		}
	}
	const lag, maxInFlight = 500, 200
	g.replicas[partitioned].frozen = true
	var inFlight []Message
	for range lag {
		_, ok := g.propose("while cut off")
		assert.Assert(t, ok)
		for _, m := range g.net {
			if m.To == partitioned && len(inFlight) < maxInFlight {
				inFlight = append(inFlight, m)
			}
		}
		g.step(nil)
	}
	base := g.replicas[partitioned].node.LastIndex()
	sent := 0
	for _, m := range inFlight {
		g.now = g.now.Add(time.Millisecond)
		l.node.Step(Message{
			Type: MsgAppendReply, From: partitioned, To: l.id, Term: l.node.Term(), Reject: true, Match: min(base, m.LogIndex-1), LogTerm: l.node.Term(), SentNS: m.SentNS,
		}, g.now)
		rd := l.node.Ready()
		for _, out := range rd.EarlyMessages {
			sent += len(out.Entries)
		}
		l.save(rd)
		l.node.Persisted(rd, g.now)
	}
	assert.Assert(t, len(inFlight) == maxInFlight, "%d appends were in flight", len(inFlight))
	assert.Assert(t, sent <= 2*lag, "%d entries were sent for a lag of %d", sent, lag)
	g.replicas[partitioned].frozen = false
	g.run(200)
	assert.Equal(t, g.replicas[partitioned].node.CommitIndex(), l.node.CommitIndex())
}
