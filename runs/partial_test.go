package runs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// TestPartialAccount has an executor list rows that cannot be read, of which one may be the
// run that the account lacks: nothing is concluded from that, until an account is whole.
func TestPartialAccount(t *testing.T) {
	asked := t0.Add(time.Second)
	t.Run("a run that is not listed is not gone", func(t *testing.T) {
		k := ready(1)
		k.HandleStartResult(onlyCall(t, k, t0).Ref, rudderfork.Started, nil, t0)
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{Partial: true}, asked))
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{}, asked), queue.OutcomeLost)
	})
	t.Run("one that is stopped is not forgotten", func(t *testing.T) {
		k := ready()
		listed := rudderfork.ExecutorStatus{Running: []rudderfork.RunStatus{{RunRef: ref(7)}}}
		k.HandleStatus(listed, t0)
		k.HandleStopResult(onlyCall(t, k, t0).Ref, nil, t0)
		k.HandleStatus(rudderfork.ExecutorStatus{Partial: true}, asked)
		assert.Equal(t, len(k.strays), 1)
		k.HandleStatus(rudderfork.ExecutorStatus{}, asked)
		assert.Equal(t, len(k.strays), 0)
	})
	t.Run("what is listed holds", func(t *testing.T) {
		k := ready(1)
		k.HandleStartResult(onlyCall(t, k, t0).Ref, rudderfork.Started, nil, t0)
		end := rudderfork.EndedRun{RunRef: ref(1), Outcome: "done"}
		checkEnds(t, k.HandleStatus(rudderfork.ExecutorStatus{Partial: true, Ended: []rudderfork.EndedRun{end}}, asked), queue.OutcomeDone)
	})
}
