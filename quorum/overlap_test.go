package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// site is a group whose machines keep their names over all lives of their disks.
type site struct {
	*group
	names   []string
	life    map[string]MemberID // the present one, by name
	emptied map[string]bool     // since the group was last whole
}

// newSite founds a group of the wanted voters with standbys, and waits until all
// follow.
func newSite(t *testing.T, machines int, seed uint64) *site {
	g := newGroup(t, wantedVoters, seed)
	for i := range machines - wantedVoters {
		g.add(MemberID(fmt.Sprintf("n%d#1", i)), Snapshot{})
	}
	s := &site{group: g, life: map[string]MemberID{}, emptied: map[string]bool{}}
	for _, id := range g.order {
		name := string(id[:2])
		s.names = append(s.names, name)
		s.life[name] = id
	}
	g.commit("acked")
	g.tendAll(200)
	return s
}

// empty loses a machine's disk.
func (s *site) empty(name string) {
	s.wipe(s.life[name])
	s.life[name] = s.order[len(s.order)-1]
	s.emptied[name] = true
}

// back brings all machines back.
func (s *site) back() {
	for _, id := range s.life {
		s.replicas[id].frozen = false
		if s.replicas[id].node == nil {
			s.start(id)
		}
	}
}

// tendSite lets steps pass, with every machine that runs asking to join.
func (s *site) tendSite(rng *rand.Rand, steps int) {
	for range steps {
		if l := s.leader(); l != nil {
			joining := Member{ID: l.id, Name: string(l.id[:2])}
			name := s.names[rng.IntN(len(s.names))]
			if r := s.replicas[s.life[name]]; r.node != nil && !r.frozen {
				joining = Member{ID: r.id, Name: name}
			}
			s.tend(l, joining, wantedVoters)
		}
		s.step(nil)
	}
}

// whole reports whether the wanted voters run with all that is committed, so that
// disks that were lost before count no longer.
func (s *site) whole() bool {
	l := s.leader()
	if l == nil || l.node.Voters() < wantedVoters || l.node.changePending() {
		return false
	}
	return !slices.ContainsFunc(l.node.voters(), func(id MemberID) bool {
		r := s.replicas[id]
		return s.life[string(id[:2])] != id || r.node == nil || r.frozen || r.node.CommitIndex() < l.node.CommitIndex()
	})
}

// strike does one thing of a bad day.
func (s *site) strike(rng *rand.Rand) {
	name := s.names[rng.IntN(len(s.names))]
	switch rng.IntN(8) {
	case 0, 1, 2:
		for range 1 + rng.IntN(4) {
			s.replicas[s.life[s.names[rng.IntN(len(s.names))]]].frozen = true
		}
	case 3, 4:
		s.back()
	case 5:
		if s.emptied[name] || len(s.emptied) < wantedVoters/2 {
			s.empty(name)
		}
	case 6:
		s.crash(s.life[name])
	}
}

// TestOverlappingLosses strikes at random: machines are cut off, killed and come back,
// and as many lose their disks as are to be borne until the group is whole again. At
// the end all lose power and come back, and the group must lead. (A voter that was
// merely silent went before its successor had come; while the standbys were silent
// too, two f voters stood for as long as that lasted, and f lost disks ended the group
// for good although the silent one had kept its own.)
func TestOverlappingLosses(t *testing.T) {
	const days, strikes, recovery = 100, 12, 1500
	for _, machines := range []int{5, 6, 7, 9} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			for seed := range uint64(days) {
				rng := rand.New(rand.NewPCG(seed, uint64(machines)))
				s := newSite(t, machines, 9000+seed)
				for range strikes {
					if s.whole() {
						clear(s.emptied)
					}
					s.strike(rng)
					s.tendSite(rng, rng.IntN(150))
				}
				s.goDark()
				s.back()
				s.tendSite(rng, recovery)
				assert.Assert(t, s.leader() != nil, "day %d: nobody leads", seed)
			}
		})
	}
}

// TestSilentWithStandbys cuts two voters and all standbys off. No voter may go while
// nobody can take its place: those that are left bear two lost disks only with it.
func TestSilentWithStandbys(t *testing.T) {
	const days, machines, steps = 200, 9, 400
	for seed := range uint64(days) {
		s := newSite(t, machines, 5300+seed)
		voters := s.waitLeader().node.voters()
		lead := s.waitLeader().id
		voters = slices.DeleteFunc(voters, func(id MemberID) bool { return id == lead })
		for _, id := range s.order {
			if id != lead && !slices.Contains(voters[:wantedVoters/2], id) {
				s.replicas[id].frozen = true
			}
		}
		for range steps {
			s.tendAll(1)
			if l := s.leader(); l != nil {
				assert.Assert(t, l.node.Voters() >= wantedVoters, "day %d: %d voters", seed, l.node.Voters())
			}
		}
	}
}
