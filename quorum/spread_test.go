package quorum

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// domains is a number of failure domains, to which the hosts of a group are assigned in
// turn.
type domains int

func (d domains) of(host int) rudderfork.Domain {
	return rudderfork.Domain(fmt.Sprint("domain", host%int(d)))
}

// setDomains sets the failure domains of all hosts at every running replica.
func (s *hostGroup) setDomains(d domains) {
	for _, r := range s.replicas {
		if r.node == nil {
			continue
		}
		for i, name := range s.names {
			r.node.SetDomain(name, d.of(i))
		}
	}
}

// maintainInDomains is maintainHosts with replicas that know all failure domains.
func (s *hostGroup) maintainInDomains(rng *rand.Rand, d domains, steps int) {
	for range steps {
		s.setDomains(d)
		s.maintainHosts(rng, 1)
	}
}

// uneven describes two domains whose numbers of voters differ by more than one although
// the smaller has a host for another, or returns "".
func (s *hostGroup) uneven(d domains) string {
	l := s.leader()
	if l == nil {
		return "no leader"
	}
	votes, hosts := map[rudderfork.Domain]int{}, map[rudderfork.Domain]int{}
	for i, name := range s.names {
		hosts[d.of(i)]++
		if m, ok := l.node.Member(s.current[name]); ok && m.Voter {
			votes[d.of(i)]++
		}
	}
	for crowded := range hosts {
		for other := range hosts {
			if votes[crowded]-votes[other] > 1 && hosts[other] > votes[other] {
				return fmt.Sprintf("%d in %s, %d in %s", votes[crowded], crowded, votes[other], other)
			}
		}
	}
	return ""
}

// TestSpread founds groups whose voters are placed without regard to failure domains, and
// makes hosts lose their disks one after the other. The voters must be spread evenly each
// time, and never be more than one fewer than wantedVoters meanwhile.
func TestSpread(t *testing.T) {
	const seeds, settleSteps = 4, 600
	for _, hosts := range []int{6, 7, 9} {
		for _, d := range []domains{2, 3, 5} {
			t.Run(fmt.Sprintf("%d hosts in %d domains", hosts, d), func(t *testing.T) {
				for seed := range uint64(seeds) {
					rng := rand.New(rand.NewPCG(seed, 1))
					s := newHostGroup(t, hosts, 700+seed)
					for range 3 {
						for range settleSteps {
							s.maintainInDomains(rng, d, 1)
							if l := s.leader(); l != nil {
								assert.Assert(t, l.node.Voters() >= wantedVoters-1, "seed %d: %d voters", seed, l.node.Voters())
							}
						}
						assert.Equal(t, s.uneven(d), "", "seed %d", seed)
						assert.Equal(t, s.waitLeader().node.Voters(), wantedVoters, "seed %d", seed)
						s.wipeHost(s.names[rng.IntN(hosts)])
					}
				}
			})
		}
	}
}

// TestOverlappingLossesSpread is TestOverlappingLosses with known failure domains:
// spreading the voters must not reduce the losses that the group tolerates.
func TestOverlappingLossesSpread(t *testing.T) {
	const schedules, injections, recovery = 12, 12, 1500
	for _, hosts := range []int{6, 7, 9} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			for seed := range uint64(schedules) {
				rng := rand.New(rand.NewPCG(seed, uint64(hosts)))
				s, d := newHostGroup(t, hosts, 9000+seed), domains(2+rng.IntN(4))
				for range injections {
					if s.healthy() {
						clear(s.wiped)
					}
					s.injectFault(rng)
					s.maintainInDomains(rng, d, rng.IntN(150))
				}
				s.powerOff()
				s.restartAll()
				s.maintainInDomains(rng, d, recovery)
				assert.Assert(t, s.leader() != nil, "schedule %d: no leader", seed)
			}
		})
	}
}
