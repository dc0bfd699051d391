package replica

import "time"

// shortageDelay is how long a leader waits for replicas to join before it warns that there are too
// few voters. When a whole system starts, its hosts start within a second of each other, so that a
// normal start causes no warning.
const shortageDelay = 10 * time.Second

// voterShortage detects that a group has fewer voters than it needs to tolerate the configured
// losses. It warns once for each shortage and each leader's term. The zero value is ready to use.
type voterShortage struct {
	term   uint64    // of the leader that checks
	warnAt time.Time // when to warn; zero while there are enough voters
	warned bool
}

// ShouldWarn reports whether a leader that has committed in its term has to warn now that there are
// fewer voters than the target size.
func (s *voterShortage) ShouldWarn(term uint64, voters, size int, now time.Time) bool {
	if term != s.term || voters >= size {
		*s = voterShortage{term: term}
	}
	if voters >= size || s.warned {
		return false
	}
	if s.warnAt.IsZero() {
		s.warnAt = now.Add(shortageDelay)
	}
	s.warned = !now.Before(s.warnAt)
	return s.warned
}
