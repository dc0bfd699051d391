package runs

import (
	"time"

	"rudderfork.example/rudderfork/queue"
)

// startTimeout is how long a start is retried while the executor neither confirms nor finally
// refuses it: the time of four unanswered tries. It is shorter than the 3 s without a run after
// which users consider a task lost.
const startTimeout = 2 * time.Second

// reasonNotStarted is the reason for refusing a run that the executor did not start in time.
const reasonNotStarted = "not started in time"

// timeOutStart ends a start that is not confirmed within startTimeout, so that the task can
// run elsewhere. A run that may have started is stopped first.
func (r *Reconciler) timeOutStart(o *order, now time.Time) *queue.End {
	if !o.needsStart() || o.firstCalledAt.IsZero() || now.Sub(o.firstCalledAt) < startTimeout {
		return nil
	}
	if o.maybeStarted {
		o.stop, o.startTimedOut = true, true
		o.retryAt = time.Time{}
		return nil
	}
	return r.refuse(o, reasonNotStarted)
}
