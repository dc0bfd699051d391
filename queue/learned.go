package queue

import "fmt"

// MaxLearned bounds what a leader keeps for its successor, in bytes. It is written to all disks
// every few seconds and to each snapshot.
const MaxLearned = 256 << 10

// Learned returns what the last leader has kept for its successor, or nil. The state does not
// interpret it: no rule may depend on it, since replicas of earlier releases do not hold it. It
// must not be changed.
func (s *State) Learned() []byte { return s.learned }

func (s *State) keepLearned(data []byte) Result {
	if len(data) > MaxLearned {
		return Result{Code: Invalid, Text: fmt.Sprintf("%d bytes; want at most %d", len(data), MaxLearned)}
	}
	s.learned = data
	return Result{Code: OK}
}
