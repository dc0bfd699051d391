package runs

import (
	"time"

	"rudderfork.example/rudderfork/queue"
)

// startTimeout is how long a start is retried that the executor neither confirms nor
// refuses for good: four tries without an answer. Users consider a task lost that has
// nothing running for 3 s.
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
