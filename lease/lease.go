// Package lease implements both sides of the leases under which tasks run.
//
// The leader of the control processes grants each VM one lease with an absolute
// deadline (Lessor). The VM's agent passes the deadline to the platform's worker,
// which stops every task by itself at that time. So a task can be placed on another
// VM as soon as its stop was reported, or the deadline and the bound on clock
// differences have passed, whatever happened to the agent, the worker or the
// network.
//
// Grants are not replicated, since that would cost a commit for each heartbeat.
// Instead, a lease runs from the time at which a quorum was last known to follow
// this leader, not from the time of the request. Any later leader is elected after
// that time, and assumes that at its election every VM was granted a lease of full
// duration.
//
// The agent's side (Holder) compares the leases that the leader assigned with the
// attempts that the worker reports, and returns the actions that reconcile them.
// Of earlier requests it keeps only the boot ID of the worker at each start. So
// lost, repeated and late responses and a restart of the agent need no special case.
package lease

import (
	"time"

	"rudderfork.example/rudderfork"
)

// Lessor keeps the deadlines of the leases that a leader has granted to VMs.
type Lessor struct {
	duration   time.Duration
	clockBound time.Duration
	deadlines  map[rudderfork.VMID]time.Time
}

// NewLessor returns a lessor without leases. duration is the length of a lease,
// clockBound the maximum difference between the clocks of two VMs.
func NewLessor(duration, clockBound time.Duration) *Lessor {
	return &Lessor{duration: duration, clockBound: clockBound, deadlines: map[rudderfork.VMID]time.Time{}}
}

// Reset is called when this process becomes the leader. It assumes that an earlier
// leader granted each of vms a lease at now.
func (l *Lessor) Reset(vms []rudderfork.VMID, now time.Time) {
	clear(l.deadlines)
	for _, vm := range vms {
		l.deadlines[vm] = now.Add(l.duration)
	}
}

// Grant extends a VM's lease and returns its deadline. contact is the time at
// which a quorum was last known to follow this leader. A deadline is
// never replaced by an earlier one.
func (l *Lessor) Grant(vm rudderfork.VMID, contact time.Time) time.Time {
	d := contact.Add(l.duration)
	if d.After(l.deadlines[vm]) {
		l.deadlines[vm] = d
	}
	return l.deadlines[vm]
}

// Expired reports whether the VM's lease has ended by the clocks of all VMs. It is
// false for a VM without a lease.
func (l *Lessor) Expired(vm rudderfork.VMID, now time.Time) bool {
	d, ok := l.deadlines[vm]
	return ok && now.After(d.Add(l.clockBound))
}
