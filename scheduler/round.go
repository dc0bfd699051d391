package scheduler

import (
	"time"

	"rudderfork.example/rudderfork/internal/steady"
)

// slowRound is the shortest duration of a round that is logged. It is a tenth of the delay from
// which users consider the start of a short task late.
const slowRound = 25 * time.Millisecond

// roundTimes holds the durations of the parts of a round, and the number of starts in its plan.
type roundTimes struct {
	expire, plan, commit, wake time.Duration
	starts                     int
}

// timed calls f and returns how long that took.
func timed(f func()) time.Duration {
	began := steady.Now()
	f()
	return steady.Now().Sub(began)
}

func (t roundTimes) sum() time.Duration { return t.work() + t.commit }

// work returns the duration of the round without the wait for the commit of its starts.
func (t roundTimes) work() time.Duration { return t.expire + t.plan + t.wake }

// pause returns the minimum delay before the next round. It applies even if something changes, so
// that rounds take at most half of a processor. In a burst, a large fleet has hundreds of changes a
// second, and the cost of a round grows with the number of VMs; changes during the pause share one
// round.
func (t roundTimes) pause() time.Duration { return min(t.work(), roundPause) }

// observeRound records the round's duration, and logs a slow one.
func (s *Scheduler) observeRound(t roundTimes) {
	s.met.round.Observe(t.sum().Seconds())
	if t.sum() < slowRound {
		return
	}
	s.log.Info().Dur("expire", t.expire).Dur("plan", t.plan).Dur("commit", t.commit).Dur("wake", t.wake).
		Int("starts", t.starts).Msg("round_slow")
}
