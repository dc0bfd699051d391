// Package lease holds both ends of the leases under which tasks run.
//
// Control grants each VM one lease with an absolute deadline (Grants). The VM's
// agent passes the deadline to the platform's worker, which stops every task of
// its own accord when it passes. So a task can be given to another VM when
// either its stop was reported, or the deadline and the clock bound have both
// passed, whatever became of the agent, the worker or the network.
//
// Grants are not replicated: they would cost a commit for each heartbeat. A
// deadline is counted from the time at which a quorum was last known to follow
// this leader, not from the time of the request. Any later leader was elected
// after that, and treats every VM as holding a lease from its own election on.
//
// The agent's end (Holder) compares what control wants with what the worker
// says it has, and returns the actions that bring the two together. It keeps no
// record of what it asked for before, so lost, doubled and late answers and its
// own restart need no case of their own.
package lease

import (
	"time"

	"rudderfork.example/rudderfork"
)

// Lessor keeps the deadlines that a leader has granted.
type Lessor struct {
	term      time.Duration
	bound     time.Duration
	deadlines map[rudderfork.VMID]time.Time
}

// NewLessor returns an empty set. term is the length of a lease, bound the
// largest difference between the clocks of two VMs.
func NewLessor(term, bound time.Duration) *Lessor {
	return &Lessor{term: term, bound: bound, deadlines: map[rudderfork.VMID]time.Time{}}
}

// Reset starts a term of leadership at now: each of vms may hold a lease that
// an earlier leader granted just before.
func (g *Lessor) Reset(vms []rudderfork.VMID, now time.Time) {
	clear(g.deadlines)
	for _, vm := range vms {
		g.deadlines[vm] = now.Add(g.term)
	}
}

// Grant extends a VM's lease and returns its deadline. contact is the time at
// which a quorum was last known to follow this leader.
func (g *Lessor) Grant(vm rudderfork.VMID, contact time.Time) time.Time {
	d := contact.Add(g.term)
	if d.After(g.deadlines[vm]) {
		g.deadlines[vm] = d
	}
	return g.deadlines[vm]
}

// Expired reports whether no lease of the VM can be in force anywhere.
func (g *Lessor) Expired(vm rudderfork.VMID, now time.Time) bool {
	d, ok := g.deadlines[vm]
	return ok && now.After(d.Add(g.bound))
}
