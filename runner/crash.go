package runner

import (
	"errors"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
)

// recordStart records the result of a start: whether the run is or may be at work, for crash
// reports. The caller holds mu.
func (a *Agent) recordStart(ref rudderfork.RunRef, out rudderfork.StartOutcome, err error, now time.Time) {
	switch {
	case errors.Is(err, rudderfork.ErrNotReached):
		a.recordFailedCall(now) // nothing listens, so this call has started nothing
	case err != nil:
		a.recordFailedCall(now)
		if _, known := a.unansweredStarts[ref]; !known {
			a.unansweredStarts[ref] = now
		}
	default:
		delete(a.unansweredStarts, ref)
		a.failingSince = time.Time{}
		if out == rudderfork.Started {
			a.startedAt[ref] = now
		}
	}
}

// recordFailedCall records that a start was not answered, or that a poll returned no status. The
// caller holds mu.
func (a *Agent) recordFailedCall(now time.Time) {
	if a.failingSince.IsZero() {
		a.failingSince = now
	}
}

// crashReport returns the runs of the present incarnation, in case it has crashed: which runs
// may have been at work when a call first failed, and how old they were. A poll is always
// under way and fails when the executor crashes, so that time is usually milliseconds after
// the crash. If a crash is noticed later, the ages are too high rather than too low. The
// leader hardly suspects an old run, which may have ended well before the crash. The caller
// holds mu.
func (a *Agent) crashReport() *queue.Crash {
	at := a.failingSince
	if at.IsZero() {
		at = steady.Now()
	}
	c := &queue.Crash{Incarnation: a.reconciler.Incarnation(), Draining: a.draining}
	known := map[rudderfork.RunRef]bool{}
	add := func(ref rudderfork.RunRef, ageMS int64, confirmed bool) {
		if k, err := queue.ParseTaskKey(string(ref.Task)); err == nil && !known[ref] {
			known[ref] = true
			c.Runs = append(c.Runs, queue.RunAge{Task: k, Run: ref.Run, AgeMS: max(0, ageMS), Confirmed: confirmed})
		}
	}
	for ref, startedAt := range a.startedAt {
		add(ref, at.Sub(startedAt).Milliseconds(), true)
	}
	for ref := range a.runStatuses { // started by an earlier agent
		add(ref, at.Sub(a.incarnationSince).Milliseconds(), true)
	}
	for ref, called := range a.unansweredStarts {
		add(ref, at.Sub(called).Milliseconds(), false)
	}
	return c
}

// handleRegistered drops the report about the previous incarnation once the leader has registered
// the present one. The caller holds mu.
func (a *Agent) handleRegistered(inc string) {
	if inc == a.reconciler.Incarnation() {
		a.lastCrash = nil
	}
}

// recordCrash keeps the report about the present incarnation, which has ended, for the heartbeats
// that register the next one. The caller holds mu.
func (a *Agent) recordCrash() {
	if a.reconciler.Incarnation() != "" {
		a.lastCrash = a.crashReport()
	}
}

// recordReachability records, after a failed poll, whether anything listened at the executor's
// address. The VM counts as unresponsive after unreachableAfter polls that found nothing. The
// caller holds mu.
func (a *Agent) recordReachability(err error) {
	if !errors.Is(err, rudderfork.ErrNotReached) {
		a.unreachablePolls = 0
		return
	}
	a.unreachablePolls++
	if a.unreachablePolls == unreachableAfter {
		a.heartbeatSignal.Set()
	}
}

// unresponsive reports whether the executor has failed to answer polls for so long that it should
// get no new runs. The caller holds mu.
func (a *Agent) unresponsive(now time.Time) bool {
	return a.unreachablePolls >= unreachableAfter || now.Sub(a.lastStatusAt) > unresponsiveAfter
}
