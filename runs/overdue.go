package runs

import (
	"maps"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

// overdueAfter is how long a start may be due before it counts as overdue: the time of a
// call, one retry and their timeouts.
const overdueAfter = 1500 * time.Millisecond

// unanswered is the value of order.lastAnswer after a call without an answer.
const unanswered = "unanswered"

// OverdueStart is a start that has been due for overdueAfter and is not confirmed.
type OverdueStart struct {
	rudderfork.RunRef
	Since  time.Time // when it became due
	Reason string    // what it waits for
}

// OverdueStarts returns the starts that have become overdue. It returns each once.
func (r *Reconciler) OverdueStarts(now time.Time) (list []OverdueStart) {
	for _, id := range slices.Sorted(maps.Keys(r.orders)) {
		o := r.orders[id]
		if o.overdueReported || o.stop || o.endReported || !o.confirmedAt.IsZero() || o.dueAt.IsZero() || now.Sub(o.dueAt) < overdueAfter {
			continue
		}
		o.overdueReported = true
		list = append(list, OverdueStart{o.RunRef, o.dueAt, r.waitReason(o, now)})
	}
	return list
}

// waitReason returns why a start is not confirmed yet.
func (r *Reconciler) waitReason(o *order, now time.Time) string {
	switch _, blocker := r.startLease(now); {
	case blocker != "":
		return blocker
	case !o.capacityDeadline.IsZero():
		return "no room"
	case o.lastAnswer == "":
		return "not called"
	}
	return o.lastAnswer
}
