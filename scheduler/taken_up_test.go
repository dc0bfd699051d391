package scheduler

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
)

// addMisled adds a VM, and returns what has its agent take its executor's life for over and
// up again: a look that is answered as another life answers.
func (s *testCluster) addMisledVM() (e *executor.Executor, mislead func()) {
	room := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	e = executor.New("vm1-life-1", executor.Config{Now: steady.Now, Room: room})
	a := s.addAgent("vm1", e, e.Life, room)
	return e, func() {
		s.t.Helper()
		var misled atomic.Bool
		e.SetFate(func(call string) executor.Fate {
			if call == "look" && misled.CompareAndSwap(false, true) {
				return executor.Disowned
			}
			return executor.Answered
		})
		s.waitUntil("the agent takes the life for over", func() bool { return a.Incarnation() == "" })
		s.waitUntil("it takes it up again", func() bool { return a.Incarnation() == e.Life() })
	}
}

// TestReadoptedIncarnationGetsNoOrders guards against a VM that is granted leases and placed upon, and starts nothing.
func TestReadoptedIncarnationGetsNoOrders(t *testing.T) {
	s := newTestClusterWithLease(t, nil, time.Hour)
	e, mislead := s.addMisledVM()
	s.putDocument(nil)
	s.submit("before", "work=1ms", smallStep)
	s.waitForStatus("before", queue.Completed)
	mislead()
	s.submit("after", "work=1ms", smallStep)
	s.waitForStatus("after", queue.Completed)
	assert.Equal(t, len(e.Running()), 0)
}
