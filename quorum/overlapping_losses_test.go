package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// hostGroup is a group whose hosts keep their names over all incarnations of their
// replicas.
type hostGroup struct {
	*group
	names   []string
	current map[string]MemberID // ID of the current incarnation, by name
	wiped   map[string]bool     // hosts that lost their disk since the group was last healthy
}

// newHostGroup founds a group of wantedVoters with the other hosts as standbys, and
// waits until all are members.
func newHostGroup(t *testing.T, hosts int, seed uint64) *hostGroup {
	g := newGroup(t, wantedVoters, seed)
	for i := range hosts - wantedVoters {
		g.add(MemberID(fmt.Sprintf("n%d#1", i)), Snapshot{})
	}
	s := &hostGroup{group: g, current: map[string]MemberID{}, wiped: map[string]bool{}}
	for _, id := range g.order {
		name := string(id[:2])
		s.names = append(s.names, name)
		s.current[name] = id
	}
	g.commit("acked")
	g.maintainAll(200)
	return s
}

// wipeHost replaces a host's replica by a new incarnation with an empty disk.
func (s *hostGroup) wipeHost(name string) {
	s.wipe(s.current[name])
	s.current[name] = s.order[len(s.order)-1]
	s.wiped[name] = true
}

// restartAll reconnects all hosts and restarts those that are down.
func (s *hostGroup) restartAll() {
	for _, id := range s.current {
		s.replicas[id].frozen = false
		if s.replicas[id].node == nil {
			s.start(id)
		}
	}
}

// maintainHosts runs the group for some steps. In each, a random running host requests
// to join, and the leader repairs the group.
func (s *hostGroup) maintainHosts(rng *rand.Rand, steps int) {
	for range steps {
		if l := s.leader(); l != nil {
			joining := Member{ID: l.id, Name: string(l.id[:2])}
			name := s.names[rng.IntN(len(s.names))]
			if r := s.replicas[s.current[name]]; r.node != nil && !r.frozen {
				joining = Member{ID: r.id, Name: name}
			}
			s.maintain(l, joining, wantedVoters)
		}
		s.step(nil)
	}
}

// healthy reports whether there are wantedVoters, all of which run and have everything
// committed. Disk losses before that no longer count towards the losses that the group
// tolerates.
func (s *hostGroup) healthy() bool {
	l := s.leader()
	if l == nil || l.node.Voters() < wantedVoters || l.node.changePending() {
		return false
	}
	return !slices.ContainsFunc(l.node.voters(), func(id MemberID) bool {
		r := s.replicas[id]
		return s.current[string(id[:2])] != id || r.node == nil || r.frozen || r.node.CommitIndex() < l.node.CommitIndex()
	})
}

// injectFault partitions hosts, reconnects and restarts all, makes a host lose its disk,
// kills a replica, or does nothing.
func (s *hostGroup) injectFault(rng *rand.Rand) {
	name := s.names[rng.IntN(len(s.names))]
	switch rng.IntN(8) {
	case 0, 1, 2:
		for range 1 + rng.IntN(4) {
			s.replicas[s.current[s.names[rng.IntN(len(s.names))]]].frozen = true
		}
	case 3, 4:
		s.restartAll()
	case 5:
		if s.wiped[name] || len(s.wiped) < wantedVoters/2 {
			s.wipeHost(name)
		}
	case 6:
		s.crash(s.current[name])
	}
}

// TestOverlappingLosses injects random faults: hosts are partitioned, killed and
// restarted, and up to f of them lose their disks until the group is healthy again. At
// the end all lose power and restart, and a leader must be elected. It guards against
// removing a silent voter before its replacement is promoted: while the standbys are
// silent too, 2f voters are left, and f lost disks then end the group permanently,
// although the silent voter kept its disk.
func TestOverlappingLosses(t *testing.T) {
	const schedules, injections, recovery = 100, 12, 1500
	for _, hosts := range []int{5, 6, 7, 9} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			for seed := range uint64(schedules) {
				rng := rand.New(rand.NewPCG(seed, uint64(hosts)))
				s := newHostGroup(t, hosts, 9000+seed)
				for range injections {
					if s.healthy() {
						clear(s.wiped)
					}
					s.injectFault(rng)
					s.maintainHosts(rng, rng.IntN(150))
				}
				s.powerOff()
				s.restartAll()
				s.maintainHosts(rng, recovery)
				assert.Assert(t, s.leader() != nil, "schedule %d: no leader", seed)
			}
		})
	}
}

// TestVotersStayWhileStandbysAreSilent partitions two voters and all standbys. No voter
// may be removed while no standby can replace it: without it, the remaining voters do
// not tolerate two lost disks.
func TestVotersStayWhileStandbysAreSilent(t *testing.T) {
	const schedules, hosts, steps = 200, 9, 400
	for seed := range uint64(schedules) {
		s := newHostGroup(t, hosts, 5300+seed)
		voters := s.waitLeader().node.voters()
		lead := s.waitLeader().id
		voters = slices.DeleteFunc(voters, func(id MemberID) bool { return id == lead })
		for _, id := range s.order {
			if id != lead && !slices.Contains(voters[:wantedVoters/2], id) {
				s.replicas[id].frozen = true
			}
		}
		for range steps {
			s.maintainAll(1)
			if l := s.leader(); l != nil {
				assert.Assert(t, l.node.Voters() >= wantedVoters, "schedule %d: %d voters", seed, l.node.Voters())
			}
		}
	}
}
