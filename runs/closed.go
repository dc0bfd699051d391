package runs

import (
	"time"

	"rudderfork.example/rudderfork/queue"
)

// ReasonClosed is the reason for refusing a run where control has nothing more started.
const ReasonClosed = "closed"

// turnAway refuses a run that would have to begin on a draining executor, or where
// control has nothing more started.
func (k *Reconciler) turnAway(o *order) *queue.End {
	switch {
	case !o.pending():
		return nil
	case k.leave && o.unsure:
		o.stop = true
		return nil
	case k.leave:
		return k.refuse(o, "draining")
	case k.closed && !o.unsure:
		return k.refuse(o, ReasonClosed)
	}
	return nil
}

// settleClosed decides on a run that may have begun before control had nothing more
// started: one that an account lists has, and runs on; any other is stopped, so that it
// never does.
func (k *Reconciler) settleClosed(o *order, listed bool, asked time.Time) {
	switch {
	case !k.closed || !o.unsure || !o.pending():
	case listed:
		o.confirmed = asked
	default:
		o.stop = true
	}
}
