package runs

import (
	"time"

	"rudderfork.example/rudderfork/queue"
)

// ReasonCordoned is the reason for refusing a run on a VM on which the leader allows no new
// starts.
const ReasonCordoned = "closed"

// refuseIfDisallowed refuses a run that has yet to start on a draining executor or on a
// cordoned VM. A run that an earlier call may have started is stopped instead if the executor
// is draining; on a cordoned VM, settleCordoned decides about it.
func (r *Reconciler) refuseIfDisallowed(o *order) *queue.End {
	switch {
	case !o.needsStart():
		return nil
	case r.draining && o.maybeStarted:
		o.stop = true
		return nil
	case r.draining:
		return r.refuse(o, "draining")
	case r.cordoned && !o.maybeStarted:
		return r.refuse(o, ReasonCordoned)
	}
	return nil
}

// settleCordoned decides about a run that may have started before the VM was cordoned. A
// run that a poll lists has started, and keeps running. Any other is stopped, so that it
// never starts.
func (r *Reconciler) settleCordoned(o *order, listed bool, polledAt time.Time) {
	switch {
	case !r.cordoned || !o.maybeStarted || !o.needsStart():
	case listed:
		o.confirmedAt = polledAt
	default:
		o.stop = true
	}
}
