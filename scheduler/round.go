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

// run calls f and notes in part how long it took.
func (t *roundTimes) run(part *time.Duration, f func()) {
	began := steady.Now()
	f()
	*part = steady.Now().Sub(began)
}

func (t *roundTimes) sum() time.Duration { return t.expire + t.plan + t.commit + t.wake }

// noteRound logs a round that has held others up.
func (s *Scheduler) noteRound(t *roundTimes) {
	s.met.round.Observe(t.sum().Seconds())
	if t.sum() < slowRound {
		return
	}
	s.log.Info().Dur("expire", t.expire).Dur("plan", t.plan).Dur("commit", t.commit).Dur("wake", t.wake).
		Int("starts", t.starts).Msg("round_slow")
}
