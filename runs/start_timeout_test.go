package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// TestStartTimesOut guards against starts that are retried without a bound.
func TestStartTimesOut(t *testing.T) {
	late := t0.Add(startTimeout)
	t.Run("a run that may have started is stopped first", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), 0, errNoAnswer, t0)
		assert.Assert(t, onlyCall(t, r, late.Add(-time.Millisecond)).Start != nil)
		r.HandleStartResult(ref(1), 0, errNoAnswer, late)
		assert.Assert(t, onlyCall(t, r, late).Start == nil)
		r.HandleStopResult(ref(1), nil, late)
		ends := r.HandleStatus(rudderfork.ExecutorStatus{}, late.Add(time.Millisecond))
		checkEnds(t, ends, queue.OutcomeRefused)
		assert.Equal(t, ends[0].Reason, reasonNotStarted)
	})
	t.Run("a run that started all the same is stopped, and ends as the executor reports", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), 0, errNoAnswer, t0)
		assert.Assert(t, onlyCall(t, r, late).Start == nil)
		r.HandleStopResult(ref(1), nil, late)
		ended := rudderfork.ExecutorStatus{Ended: []rudderfork.EndedRun{{RunRef: ref(1), Seq: 1, Outcome: string(queue.OutcomeStopped)}}}
		checkEnds(t, r.HandleStatus(ended, late.Add(time.Millisecond)), queue.OutcomeStopped)
	})
	t.Run("a run whose starts are refused for now is refused for good", func(t *testing.T) {
		r := newSynced(1)
		onlyCall(t, r, t0)
		r.HandleStartResult(ref(1), rudderfork.StartExpired, nil, t0)
		calls, ends := r.NextCalls(late)
		assert.Equal(t, len(calls), 0)
		checkEnds(t, ends, queue.OutcomeRefused)
	})
	t.Run("a start that was not sent yet has no timeout", func(t *testing.T) {
		r := newSynced(1)
		r.startBy = t0
		checkNoCalls(t, r, t0)
		checkNoCalls(t, r, late)
		r.startBy = late.Add(time.Second)
		assert.Assert(t, onlyCall(t, r, late).Start != nil)
	})
}
