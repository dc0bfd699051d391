package replica

import "time"

// openPatience is how long the first leader of a group waits for the group's voters
// before it takes commands with fewer. Five of nine machines that start together vote
// after 0.2 to 3.3 s (60 starts on loopback); a group with fewer machines than it is to
// have must not wait for good.
const openPatience = 5 * time.Second

// opening holds the first command of a group's life back until as many vote as are to:
// what three acknowledge is gone with two disks, also where five are to bear that loss.
// (In a trial, two disks lost in the first seconds ended 11 of 60 groups.) Later on a
// group with too few voters takes commands: they stand with the ones before.
// The zero value is ready to use.
type opening struct {
	open bool
	due  time.Time // when a group of few is opened; zero until a leader waits
}

// Opened reports whether the group takes commands, and whether it is opened with
// fewer voters than it is to have. used says that it has taken some before.
func (o *opening) Opened(used, leads bool, voters, size int, now time.Time) (open, short bool) {
	switch {
	case o.open:
		return true, false
	case used || voters >= size:
		o.open = true
		return true, false
	case !leads:
		o.due = time.Time{}
	case o.due.IsZero():
		o.due = now.Add(openPatience)
	case !now.Before(o.due):
		o.open = true
		return true, true
	}
	return false, false
}
