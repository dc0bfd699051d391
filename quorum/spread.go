package quorum

import (
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

// maxDomains bounds the replicas whose failure domains are kept: members and those
// that request to join.
const maxDomains = 256

// SetDomain sets the failure domain of the replica with this name. A replica that
// joins reports its domain in its Member; founding members report theirs only to
// the replicas that they connect to.
func (n *Node) SetDomain(name string, domain rudderfork.Domain) {
	if domain == "" {
		return
	}
	if _, known := n.domains[name]; !known && len(n.domains) >= maxDomains {
		clear(n.domains) // running replicas report theirs again
	}
	n.domains[name] = domain
}

// domainOf returns a member's failure domain, if it is known.
func (n *Node) domainOf(m Member) (domain rudderfork.Domain, known bool) {
	if domain, known = n.domains[m.Name]; known {
		return domain, true
	}
	return m.Domain, m.Domain != ""
}

// votersByDomain counts the voters of each failure domain; ok is false if the domain
// of one of them is not known.
func (n *Node) votersByDomain() (voters map[rudderfork.Domain]int, ok bool) {
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

// spread returns the next membership change that spreads the voters evenly over the
// failure domains, as far as the standbys allow, so that the loss of one domain takes
// as few voters as possible. First a standby is promoted, then a voter of the domain
// with the most voters is demoted, so that there are never fewer voters than size. ok
// is false when there is nothing to do, while a voter does not answer, or while the
// domain of a voter is not known.
func (n *Node) spread(size int, now time.Time) (next []Member, ok bool) {
	voters, known := n.votersByDomain()
	if !known || n.silentMember(true, recentTimeouts, now) >= 0 {
		return nil, false
	}
	demote := n.voterToDemote(voters)
	if demote < 0 {
		return nil, false
	}
	switch count := n.Voters(); {
	case count > size:
		next = slices.Clone(n.log.members())
		next[demote].Voter = false
		return next, n.hasQuorum(next, recentTimeouts, now)
	case count < size:
		return nil, false // Repair promotes a standby first, if there is one
	}
	promote := n.standbyAnsweredWithin(recentTimeouts, now)
	if promote < 0 || voters[n.domainAt(demote)]-voters[n.domainAt(promote)] < 2 || n.supersededVoter() >= 0 {
		return nil, false
	}
	return n.withReplacement(promote, now)
}

// domainAt returns the failure domain of the member at a position, or "".
func (n *Node) domainAt(pos int) rudderfork.Domain {
	domain, _ := n.domainOf(n.log.members()[pos])
	return domain
}

// voterToDemote returns the position of a voter other than the leader in the domain
// with the most voters, or -1 if no domain has two.
func (n *Node) voterToDemote(voters map[rudderfork.Domain]int) (pos int) {
	const minVoters = 2
	pos, maxVoters := -1, minVoters-1
	for i, m := range n.log.members() {
		if count := voters[n.domainAt(i)]; m.Voter && m.ID != n.ID() && count > maxVoters {
			pos, maxVoters = i, count
		}
	}
	return pos
}
