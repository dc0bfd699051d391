package runs

import "time"

// Lease is what control grants to a VM.
type Lease struct {
	Until time.Time // what runs there may run
	// StartBy is until when starts may be called: earlier than Until, so that an order
	// to start nothing more holds soon also for a VM that does not hear of it.
	StartBy time.Time
	Closed  bool // such an order holds
}

// Grant takes a lease. It counts only for the life of the executor that it was given
// to, and for the epoch whose orders are here.
func (k *Reconciler) Grant(life string, epoch uint64, l Lease) {
	if k.outranked() || life != k.life || !k.synced || epoch != k.epoch {
		return
	}
	k.closed = l.Closed
	if l.Until.After(k.grant) {
		k.grant = l.Until
	}
	if l.StartBy.After(k.startBy) {
		k.startBy = l.StartBy
	}
}
