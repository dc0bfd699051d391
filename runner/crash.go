package runner

import (
	"errors"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
)

// noteStart notes what is known of a run after a call to start it: whether it may be
// at work. The caller holds mu.
func (a *Agent) noteStart(ref rudderfork.RunRef, out rudderfork.StartOutcome, err error, now time.Time) {
	switch {
	case errors.Is(err, rudderfork.ErrNotReached):
		a.noteSilent(now) // nothing listens: this call has begun nothing
	case err != nil:
		a.noteSilent(now)
		if _, known := a.unsure[ref]; !known {
			a.unsure[ref] = now
		}
	default:
		delete(a.unsure, ref)
		a.silentAt = time.Time{}
		if out == rudderfork.Started {
			a.begun[ref] = now
		}
	}
}

// noteSilent notes a call that was left without an answer. The caller holds mu.
func (a *Agent) noteSilent(now time.Time) {
	if a.silentAt.IsZero() {
		a.silentAt = now
	}
}

// crash returns what is known of the present life of the executor, for the case that
// it has crashed: what was at work when it was first found silent, and for how long. A
// crash breaks off the look that is always under way, so that this is milliseconds after
// it; where nothing tells sooner, ages are too high rather than too low, and a run that
// may have ended well before is laid little to. The caller holds mu.
func (a *Agent) crash() *queue.Crash {
	at := a.silentAt
	if at.IsZero() {
		at = steady.Now()
	}
	c := &queue.Crash{Incarnation: a.keeper.Incarnation(), Draining: a.draining}
	known := map[rudderfork.RunRef]bool{}
	add := func(ref rudderfork.RunRef, ageMS int64, seen bool) {
		if k, err := queue.ParseTaskKey(string(ref.Task)); err == nil && !known[ref] {
			known[ref] = true
			c.Runs = append(c.Runs, queue.RunAge{Task: k, Run: ref.Run, AgeMS: max(0, ageMS), Confirmed: seen})
		}
	}
	for ref, begun := range a.begun {
		add(ref, at.Sub(begun).Milliseconds(), true)
	}
	for ref := range a.rows { // begun by an agent before this one
		add(ref, at.Sub(a.lifeAt).Milliseconds(), true)
	}
	for ref, called := range a.unsure {
		add(ref, at.Sub(called).Milliseconds(), false)
	}
	return c
}

// takeRegistered forgets the life before: the leader has taken note of its end. The
// caller holds mu.
func (a *Agent) takeRegistered(life string) {
	if life == a.keeper.Incarnation() {
		a.crashed = nil
	}
}

// noteCrash keeps what is known of the present life, which is over, for the
// heartbeats that register the next one. The caller holds mu.
func (a *Agent) noteCrash() {
	if a.keeper.Incarnation() != "" {
		a.crashed = a.crash()
	}
}

// noteReached notes whether anything listened at the executor's address, after a look
// that failed. The caller holds mu.
func (a *Agent) noteReached(err error) {
	if !errors.Is(err, rudderfork.ErrNotReached) {
		a.notReached = 0
		return
	}
	a.notReached++
	if a.notReached == absentAfter {
		a.beatUp.Set()
	}
}

// mute reports whether the executor has left looks unanswered for so long that it
// should be given nothing. The caller holds mu.
func (a *Agent) mute(now time.Time) bool {
	return a.notReached >= absentAfter || now.Sub(a.seenAt) > muteAfter
}
