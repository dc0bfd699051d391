package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
)

// misledExecutor answers one look as another life would.
type misledExecutor struct {
	*executor.Executor
	mislead atomic.Bool
}

// Look implements rudderfork.Executor.
func (e *misledExecutor) Look(ctx context.Context, life string, req rudderfork.LookRequest) (rudderfork.Look, error) {
	if e.mislead.CompareAndSwap(true, false) {
		return rudderfork.Look{}, rudderfork.ErrOtherLife
	}
	return e.Executor.Look(ctx, life, req)
}

// TestLifeTakenUpAgainGetsNoOrders guards against a VM that is granted leases and placed upon, and starts nothing.
func TestLifeTakenUpAgainGetsNoOrders(t *testing.T) {
	s := newSiteWith(t, nil, time.Hour)
	room := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	e := &misledExecutor{Executor: executor.New("vm1-life-1", executor.Config{Now: steady.Now, Room: room})}
	a := s.addAgent("vm1", e, e.Life, room)
	s.put(nil)
	s.submit("before", "work=1ms", small)
	s.untilStatus("before", queue.Completed)
	e.mislead.Store(true)
	s.until("the agent takes the life for over", func() bool { return a.Life() == "" })
	s.until("it takes it up again", func() bool { return a.Life() == e.Life() })
	s.submit("after", "work=1ms", small)
	s.untilStatus("after", queue.Completed)
	assert.Equal(t, len(e.Running()), 0)
}
