package quorum

import "time"

// ProposeMembers appends a change of the group's members. It is refused unless
// this replica leads, has committed an entry of its own term, no earlier change
// is under way, and at most one voter differs.
func (n *Node) ProposeMembers(next []Member, now time.Time) (index uint64, ok bool) {
	if !n.Settled() || n.changing() || voterChanges(n.log.members(), next) > 1 {
		return 0, false
	}
	index = n.appendEntry(Entry{Kind: EntryMembers, Members: next})
	n.syncPeers()
	n.broadcast(now)
	return index, true
}

// changing reports whether a change of members is not committed yet.
func (n *Node) changing() bool {
	return n.log.configs[len(n.log.configs)-1].index > n.commit
}

func voterChanges(a, b []Member) int {
	in := map[MemberID]int{}
	for _, m := range a {
		if m.Voter {
			in[m.ID]++
		}
	}
	for _, m := range b {
		if m.Voter {
			in[m.ID]--
		}
	}
	changes := 0
	for _, d := range in {
		if d != 0 {
			changes++
		}
	}
	return changes
}

// maxLag is how many entries a non-voting replica may be behind the commit
// index when it becomes a voter.
const maxLag = 10

// Join returns the members with m added as a non-voting replica; ok is false
// if it is there already. Earlier non-voting lives of the same name go.
func (n *Node) Join(m Member) (next []Member, ok bool) {
	m.Voter = false
	for _, o := range n.log.members() {
		if o.ID == m.ID {
			return nil, false
		}
		if o.Name != m.Name || o.Voter {
			next = append(next, o)
		}
	}
	return append(next, m), true
}

// silentTimeouts is how many election timeouts a voter may be silent before it
// may be removed from a group that has more voters than it is to have.
const silentTimeouts = 3

// Repair returns the next step that brings a rejoined replica in: promote it
// once it has caught up, then remove the earlier life of the same name, or a
// silent voter if there are more than size of them (0 means any number). ok is
// false when there is nothing to do.
func (n *Node) Repair(size int, now time.Time) (next []Member, ok bool) {
	ms := n.log.members()
	for i, m := range ms {
		if !m.Voter && n.Match(m.ID)+maxLag >= n.commit && n.Match(m.ID) > 0 {
			next = append([]Member(nil), ms...)
			next[i].Voter = true
			return next, true
		}
	}
	newest := map[string]MemberID{}
	for _, m := range ms {
		if m.Voter {
			newest[m.Name] = m.ID // later lives stand later
		}
	}
	for i, m := range ms {
		spare := size > 0 && len(n.voters()) > size && n.silent(m.ID, now)
		if m.Voter && (newest[m.Name] != m.ID || spare) {
			return append(append([]Member(nil), ms[:i]...), ms[i+1:]...), true
		}
	}
	return nil, false
}

// silent reports whether another replica has not answered for a while.
func (n *Node) silent(id MemberID, now time.Time) bool {
	p := n.peers[id]
	if p == nil {
		return false
	}
	since := time.Unix(0, max(p.acked, n.heardAt.UnixNano()))
	return now.Sub(since) > silentTimeouts*n.cfg.ElectionTimeout
}
