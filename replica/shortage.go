package replica

import "time"

// shortAfter is how long a leader lets replicas join before it says that there are
// too few: the machines of a whole system start within a second of each other.
const shortAfter = 10 * time.Second

// shortage notices that a group has fewer voters than it needs to bear the losses it
// is set up for, once for each time that it falls short. The zero value is ready to
// use.
type shortage struct {
	term uint64    // of the leader that watches
	due  time.Time // when it is to be told; zero while there are enough
	told bool
}

// Found reports whether a settled leader is to say that there are fewer voters than
// the group is to have.
func (s *shortage) Found(term uint64, voters, size int, now time.Time) bool {
	if term != s.term || voters >= size {
		*s = shortage{term: term}
	}
	if voters >= size || s.told {
		return false
	}
	if s.due.IsZero() {
		s.due = now.Add(shortAfter)
	}
	s.told = !now.Before(s.due)
	return s.told
}
