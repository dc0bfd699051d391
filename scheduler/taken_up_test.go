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
func (s *site) addMisled() (e *executor.Executor, mislead func()) {
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
		s.until("the agent takes the life for over", func() bool { return a.Life() == "" })
		s.until("it takes it up again", func() bool { return a.Life() == e.Life() })
	}
}

// TestLifeTakenUpAgainGetsNoOrders guards against a VM that is granted leases and placed upon, and starts nothing.
func TestLifeTakenUpAgainGetsNoOrders(t *testing.T) {
	s := newSiteWith(t, nil, time.Hour)
	e, mislead := s.addMisled()
	s.put(nil)
	s.submit("before", "work=1ms", small)
	s.untilStatus("before", queue.Completed)
	mislead()
	s.submit("after", "work=1ms", small)
	s.untilStatus("after", queue.Completed)
	assert.Equal(t, len(e.Running()), 0)
}
