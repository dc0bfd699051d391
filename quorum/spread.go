package quorum

import (
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

// maxDomains bounds the machines whose failure domains are remembered: members and
// those that ask to join.
const maxDomains = 256

// SetDomain tells in which failure domain the machine of a name stands. Members that
// have joined have said so; founders only tell whoever they connect to.
func (n *Node) SetDomain(name string, domain rudderfork.Domain) {
	if domain == "" {
		return
	}
	if _, known := n.domains[name]; !known && len(n.domains) >= maxDomains {
		clear(n.domains) // those that live tell theirs again
	}
	n.domains[name] = domain
}

// domainOf returns where a member's machine stands, if that is known.
func (n *Node) domainOf(m Member) (domain rudderfork.Domain, known bool) {
	if domain, known = n.domains[m.Name]; known {
		return domain, true
	}
	return m.Domain, m.Domain != ""
}

// crowds counts the voters of each failure domain; ok is false if that of one of them
// is not known.
func (n *Node) crowds() (voters map[rudderfork.Domain]int, ok bool) {
	voters = map[rudderfork.Domain]int{}
	for _, m := range n.log.members() {
		if !m.Voter {
			continue
		}
		domain, known := n.domainOf(m)
		if !known {
			return nil, false
		}
		voters[domain]++
	}
	return voters, true
}

// spread returns the next step that spreads the votes of a sound group over failure
// domains as evenly as its standbys allow, so that the loss of one domain takes as few
// as can be: first a standby gets a vote, then a voter of the most crowded domain gives
// its up, so that there are never fewer than size. ok is false when there is nothing to
// do, or while a voter does not answer.
func (n *Node) spread(size int, now time.Time) (next []Member, ok bool) {
	voters, known := n.crowds()
	if !known || n.silentMember(true, freshTimeouts, now) >= 0 {
		return nil, false
	}
	giver := n.giver(voters)
	if giver < 0 {
		return nil, false
	}
	switch count := n.Voters(); {
	case count > size:
		next = slices.Clone(n.log.members())
		next[giver].Voter = false
		return next, n.quorate(next, freshTimeouts, now)
	case count < size:
		return nil, false // a standby is to take a vote first, or there is none
	}
	taker := n.standbyHeard(freshTimeouts, now)
	if taker < 0 || voters[n.domainAt(giver)]-voters[n.domainAt(taker)] < 2 || n.supersededVoter() >= 0 {
		return nil, false
	}
	return n.succeeded(taker, now)
}

func (n *Node) domainAt(place int) rudderfork.Domain {
	domain, _ := n.domainOf(n.log.members()[place])
	return domain
}

// giver returns the place of the voter that gives its vote up first: one of the domain
// with the most, and not the leader, or -1 where no domain has two.
func (n *Node) giver(voters map[rudderfork.Domain]int) (place int) {
	const crowd = 2
	place, most := -1, crowd-1
	for i, m := range n.log.members() {
		if count := voters[n.domainAt(i)]; m.Voter && m.ID != n.ID() && count > most {
			place, most = i, count
		}
	}
	return place
}
