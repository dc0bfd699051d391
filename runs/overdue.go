package runs

import (
	"maps"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

// overdueAfter is how long a start may be due before it counts as overdue: a call, its
// repetition and their timeouts.
const overdueAfter = 1500 * time.Millisecond

// unanswered stands for the answer to a call that brought none.
const unanswered = "unanswered"

// OverdueStart is a start that has been due for long and is not confirmed.
type OverdueStart struct {
	rudderfork.RunRef
	Since  time.Time
	Reason string // what it waits for
}

// OverdueStarts returns the starts that have become overdue, each once.
func (k *Reconciler) OverdueStarts(now time.Time) (list []OverdueStart) {
	for _, id := range slices.Sorted(maps.Keys(k.orders)) {
		o := k.orders[id]
		if o.overdue || o.stop || o.ended || !o.confirmed.IsZero() || o.dueAt.IsZero() || now.Sub(o.dueAt) < overdueAfter {
			continue
		}
		o.overdue = true
		list = append(list, OverdueStart{o.RunRef, o.dueAt, k.obstacle(o, now)})
	}
	return list
}

// obstacle says what keeps a start from being confirmed.
func (k *Reconciler) obstacle(o *order, now time.Time) string {
	switch _, obstacle := k.startUntil(now); {
	case obstacle != "":
		return obstacle
	case !o.roomBy.IsZero():
		return "no room"
	case o.answer == "":
		return "not called"
	}
	return o.answer
}
