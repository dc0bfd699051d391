package runs

import (
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// capacityTimeout is how long a start waits for free capacity: for the stops and reports of
// runs that the leader already counts as ended.
const capacityTimeout = 500 * time.Millisecond

// awaitCapacity delays the start of a run that would exceed the executor's capacity together
// with all runs that may be at work, and refuses the run if no capacity is freed in time. The
// leader checks the capacity before it orders a start. But the capacity may shrink while the
// order is under way, and not every executor enforces its own limit. Without this check,
// delayed starts exceed a capacity that shrank more than 2 s earlier.
func (r *Reconciler) awaitCapacity(o *order, now time.Time) *queue.End {
	switch {
	case r.capacity == (rudderfork.Resources{}) || !o.needsStart():
		return nil
	case r.capacityInUse(o).Add(o.Need).Fits(r.capacity):
		o.capacityDeadline = time.Time{}
		return nil
	case o.maybeStarted:
		o.stop = true // it may have started while there was capacity; it is not sent again
		return nil
	case o.capacityDeadline.IsZero():
		o.capacityDeadline = now.Add(capacityTimeout)
	case !now.Before(o.capacityDeadline):
		return r.refuse(o, rudderfork.StartNoCapacity.String())
	}
	o.retryAt = now.Add(retryDelay)
	return nil
}

// capacityInUse returns the capacity that all runs but one may be using.
func (r *Reconciler) capacityInUse(except *order) (sum rudderfork.Resources) {
	for _, o := range r.orders {
		if o != except && !o.endReported && (!o.needsStart() || o.maybeStarted) {
			sum = sum.Add(o.Need)
		}
	}
	for _, o := range r.orphans {
		sum = sum.Add(o.Need)
	}
	return sum
}
