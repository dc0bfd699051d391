package scheduler

import (
	"time"

	"rudderfork.example/rudderfork/internal/steady"
)

// slowRound is the length of a round from which it is logged: a tenth of the time after
// which users count a short task's start as late.
const slowRound = 25 * time.Millisecond

// roundTimes is how long the parts of a round took.
type roundTimes struct {
	expire, plan, commit, wake time.Duration
	starts                     int
}

// timed calls f and returns how long it took.
func timed(f func()) time.Duration {
	began := steady.Now()
	f()
	return steady.Now().Sub(began)
}

func (t roundTimes) sum() time.Duration { return t.work() + t.commit }

// work is the round without the wait for the commit of its starts.
func (t roundTimes) work() time.Duration { return t.expire + t.plan + t.wake }

// pause is how long the next round waits, whatever changes: rounds take half of the
// processor at most. A large fleet in a burst has hundreds of changes a second, and each
// round costs something for every VM; what comes during a pause shares one round.
func (t roundTimes) pause() time.Duration { return min(t.work(), roundPause) }

// noteRound logs a round that has held others up.
func (s *Scheduler) noteRound(t roundTimes) {
	s.met.round.Observe(t.sum().Seconds())
	if t.sum() < slowRound {
		return
	}
	s.log.Info().Dur("expire", t.expire).Dur("plan", t.plan).Dur("commit", t.commit).Dur("wake", t.wake).
		Int("starts", t.starts).Msg("round_slow")
}
