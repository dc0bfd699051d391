package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// TestStartInVainIsGivenUp guards against a run that is waited for without a bound.
func TestStartInVainIsGivenUp(t *testing.T) {
	late := t0.Add(startPatience)
	t.Run("one that may have been carried out is stopped first", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), 0, errLost, t0)
		assert.Assert(t, onlyCall(t, k, late.Add(-time.Millisecond)).Start != nil)
		k.HandleStartResult(ref(1), 0, errLost, late)
		assert.Assert(t, onlyCall(t, k, late).Start == nil)
		k.HandleStopResult(ref(1), nil, late)
		ends := k.HandleStatus(rudderfork.ExecutorStatus{}, late.Add(time.Millisecond))
		checkEnds(t, ends, queue.OutcomeRefused)
		assert.Equal(t, ends[0].Reason, notStarted)
	})
	t.Run("one that began all the same is stopped, and ends as the executor says", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), 0, errLost, t0)
		assert.Assert(t, onlyCall(t, k, late).Start == nil)
		k.HandleStopResult(ref(1), nil, late)
		ended := rudderfork.ExecutorStatus{Ended: []rudderfork.EndedRun{{RunRef: ref(1), Seq: 1, Outcome: string(queue.OutcomeStopped)}}}
		checkEnds(t, k.HandleStatus(ended, late.Add(time.Millisecond)), queue.OutcomeStopped)
	})
	t.Run("one that is refused for a while is refused for good", func(t *testing.T) {
		k := ready(1)
		onlyCall(t, k, t0)
		k.HandleStartResult(ref(1), rudderfork.StartLate, nil, t0)
		calls, ends := k.NextCalls(late)
		assert.Equal(t, len(calls), 0)
		checkEnds(t, ends, queue.OutcomeRefused)
	})
	t.Run("one that was not called yet waits on", func(t *testing.T) {
		k := ready(1)
		k.startBy = t0
		checkNothingDue(t, k, t0)
		checkNothingDue(t, k, late)
		k.startBy = late.Add(time.Second)
		assert.Assert(t, onlyCall(t, k, late).Start != nil)
	})
}
