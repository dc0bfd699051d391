package runs

import "time"

// Lease is what the leader grants to a VM.
type Lease struct {
	Until time.Time // runs may be at work until then
	// StartBy is the deadline for sending starts. It is earlier than Until, so that a VM which
	// an order to start nothing more cannot reach soon stops sending starts as well.
	StartBy  time.Time
	Cordoned bool // the leader allows no new starts on the VM
}

// Grant takes a lease. It is ignored unless it is for the present incarnation of the
// executor and for the epoch whose full list of orders was received.
func (r *Reconciler) Grant(incarnation string, epoch uint64, l Lease) {
	if r.leaderStale() || incarnation != r.incarnation || !r.synced || epoch != r.epoch {
		return
	}
	r.cordoned = l.Cordoned
	if l.Until.After(r.leaseEnd) {
		r.leaseEnd = l.Until
	}
	if l.StartBy.After(r.startBy) {
		r.startBy = l.StartBy
	}
}
