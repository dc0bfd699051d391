package runs

import (
	"time"

	"rudderfork.example/rudderfork/queue"
)

// startPatience is how long a start is called that the executor neither confirms nor
// refuses for good: four tries without an answer. Users take a task for lost that has
// nothing running for 3 s.
const startPatience = 2 * time.Second

// notStarted is the reason for refusing a run that the executor did not start in time.
const notStarted = "not started in time"

// giveUp ends a start that is called in vain, so that the task runs elsewhere. One that may
// have been carried out is stopped first.
func (k *Reconciler) giveUp(o *order, now time.Time) *queue.End {
	if !o.pending() || o.calledAt.IsZero() || now.Sub(o.calledAt) < startPatience {
		return nil
	}
	if o.unsure {
		o.stop, o.gaveUp = true, true
		o.retryAt = time.Time{}
		return nil
	}
	return k.refuse(o, notStarted)
}
