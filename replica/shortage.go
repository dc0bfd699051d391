package replica

import "time"

// shortAfter is how long a leader lets replicas join before it says that there are
// too few: the machines of a whole system start within a second of each other.
const shortAfter = 10 * time.Second

// shortage notices, once a term, that a group has fewer voters than it needs to
// bear the losses it is set up for. The zero value is ready to use.
type shortage struct {
	term uint64    // of the leader that watches
	due  time.Time // zero once it was told in this term
}

// Found reports whether a settled leader is to say that there are fewer voters than
// the group is to have.
func (s *shortage) Found(term uint64, voters, size int, now time.Time) bool {
	if term != s.term {
		s.term, s.due = term, now.Add(shortAfter)
	}
	if s.due.IsZero() || now.Before(s.due) {
		return false
	}
	s.due = time.Time{}
	return voters < size
}
