package queue

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// waiting returns the number of waiting jobs of a queue according to the state alone.
func (w *fixture) waiting(name string) int {
	n, _ := w.s.Waiting(name, func(rudderfork.JobID) bool { return false })
	return n
}

// TestJobWhoseStartsFailedWaits guards against counting a job as begun when no executor has begun
// its run.
func TestJobWhoseStartsFailedWaits(t *testing.T) {
	k := key("j", 0, 0)
	for name, fail := range map[string]func(w *fixture, run uint32){
		"refused":          func(w *fixture, run uint32) { w.end(k, "vm1", run, OutcomeRefused) },
		"unknown there":    func(w *fixture, run uint32) { w.end(k, "vm1", run, OutcomeLost) },
		"its VM is lost":   func(w *fixture, _ uint32) { w.lose("vm1", VMLoss{}) },
		"its VM shut down": func(w *fixture, _ uint32) { w.lose("vm1", VMLoss{Departed: true}) },
		"new incarnation":  func(w *fixture, _ uint32) { w.crash("vm1", "life-2") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 1)
			w.submit("j", one)
			fail(w, w.start(k, "vm1"))
			assert.Equal(t, w.waiting("holds"), 1)
		})
	}
}

// TestBegunJobDoesNotWait checks that a job stays begun once an executor has begun a task.
func TestBegunJobDoesNotWait(t *testing.T) {
	k := key("j", 0, 0)
	for _, outcome := range []Outcome{OutcomeFailed, OutcomeStopped, OutcomeLeaseExpired, OutcomeGangBroken, OutcomeGangIncomplete} {
		t.Run(string(outcome), func(t *testing.T) {
			w := newFixture(t, 1)
			w.submit("j", one)
			w.end(k, "vm1", w.start(k, "vm1"), outcome)
			assert.Equal(t, w.waiting("holds"), 0)
		})
	}
}
