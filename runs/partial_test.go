package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// TestPartialStatus guards against treating a run as ended because a status with malformed entries
// does not list it: one of these entries may be the run.
func TestPartialStatus(t *testing.T) {
	polledAt := t0.Add(time.Second)
	t.Run("a run that is not listed is not reported as lost", func(t *testing.T) {
		r := newSynced(1)
		r.HandleStartResult(onlyCall(t, r, t0).Ref, rudderfork.Started, nil, t0)
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{Partial: true}, polledAt))
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{}, polledAt), queue.OutcomeLost)
	})
	t.Run("a stopped run that is not listed is not forgotten", func(t *testing.T) {
		r := newSynced()
		status := rudderfork.ExecutorStatus{Running: []rudderfork.RunStatus{{RunRef: ref(7)}}}
		r.HandleStatus(status, t0)
		r.HandleStopResult(onlyCall(t, r, t0).Ref, nil, t0)
		r.HandleStatus(rudderfork.ExecutorStatus{Partial: true}, polledAt)
		assert.Equal(t, len(r.orphans), 1)
		r.HandleStatus(rudderfork.ExecutorStatus{}, polledAt)
		assert.Equal(t, len(r.orphans), 0)
	})
	t.Run("an end that is listed is reported", func(t *testing.T) {
		r := newSynced(1)
		r.HandleStartResult(onlyCall(t, r, t0).Ref, rudderfork.Started, nil, t0)
		end := rudderfork.EndedRun{RunRef: ref(1), Outcome: "done"}
		checkEnds(t, r.HandleStatus(rudderfork.ExecutorStatus{Partial: true, Ended: []rudderfork.EndedRun{end}}, polledAt), queue.OutcomeDone)
	})
}
