// Package lease implements both sides of the leases under which tasks run.
//
// Control grants each VM one lease with an absolute deadline (Lessor). The VM's
// agent passes the deadline to the platform's worker, which stops every task by
// itself at that time. So a task can be placed on another VM as soon as its stop
// was reported, or the deadline and the bound on clock differences have passed,
// whatever happened to the agent, the worker or the network.
//
// Grants are not replicated, since that would cost a commit for each heartbeat. A
// deadline counts from the time at which a quorum was last known to follow this
// leader, not from the time of the request. Any later leader is elected after
// that, and assumes that every VM holds a lease of full length from its own
// election on.
//
// The agent's side (Holder) compares the leases that control assigned with the
// attempts that the worker reports, and returns the actions that reconcile them.
// Of earlier requests it keeps only the boot ID of the worker at each start, so
// lost, repeated and late answers and a restart of the agent need no special case.
package lease

import (
	"time"

	"rudderfork.example/rudderfork"
)

// Lessor keeps the deadlines of the leases that a leader has granted to VMs.
type Lessor struct {
	term       time.Duration
	clockBound time.Duration
	deadlines  map[rudderfork.VMID]time.Time
}

// NewLessor returns a lessor without leases. term is the length of a lease,
// clockBound the greatest difference between the clocks of two VMs.
func NewLessor(term, clockBound time.Duration) *Lessor {
	return &Lessor{term: term, clockBound: clockBound, deadlines: map[rudderfork.VMID]time.Time{}}
}

// Reset starts a term of leadership at now: it assumes that an earlier leader
// granted each of vms a lease just before.
func (l *Lessor) Reset(vms []rudderfork.VMID, now time.Time) {
	clear(l.deadlines)
	for _, vm := range vms {
		l.deadlines[vm] = now.Add(l.term)
	}
}

// Grant extends a VM's lease and returns its deadline. contact is the time at
// which a quorum was last known to follow this leader.
func (l *Lessor) Grant(vm rudderfork.VMID, contact time.Time) time.Time {
	d := contact.Add(l.term)
	if d.After(l.deadlines[vm]) {
		l.deadlines[vm] = d
	}
	return l.deadlines[vm]
}

// Expired reports whether the VM's lease has ended by every clock. It is false for
// a VM without a lease.
func (l *Lessor) Expired(vm rudderfork.VMID, now time.Time) bool {
	d, ok := l.deadlines[vm]
	return ok && now.After(d.Add(l.clockBound))
}
