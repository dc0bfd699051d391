package scheduler

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/wire"
)

// disownedExecutor answers one look as another life would.
type disownedExecutor struct {
	*executor.Executor
	disown atomic.Bool
}

// Look implements rudderfork.Executor.
func (e *disownedExecutor) Look(ctx context.Context, life string, req rudderfork.LookRequest) (rudderfork.Look, error) {
	if e.disown.CompareAndSwap(true, false) {
		return rudderfork.Look{}, rudderfork.ErrOtherLife
	}
	return e.Executor.Look(ctx, life, req)
}

// TestNoOrdersAfterLifeTakenUpAgain guards against a usable VM whose agent drops all orders.
func TestNoOrdersAfterLifeTakenUpAgain(t *testing.T) {
	s := newSiteWith(t, nil, 5*time.Second)
	room := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	e := &disownedExecutor{Executor: executor.New("vm1-life-1", executor.Config{Now: steady.Now, Room: room})}
	a := s.addAgent("vm1", e, e.Life, room)
	s.put(nil)
	s.submit("feed", "", queue.Step{Count: 1, Size: small.Size, Lasting: true})
	s.until("the feed is at work", func() bool { return len(e.Running()) == 1 })
	e.disown.Store(true)
	s.until("the agent takes the life for over", func() bool { return a.Life() == "" })
	s.until("the agent takes it up again", func() bool { return a.Life() != "" })
	s.submit("roster", "work=20ms", small)
	overdue := func() bool {
		return slices.ContainsFunc(s.sched.overdueRuns(steady.Now()), func(r overdueRun) bool { return r.Job == "roster" })
	}
	s.until("the roster is done, or its run is overdue", func() bool {
		return overdue() || s.ask(wire.Ask{Status: &wire.Place{Host: host, Path: "/q/roster"}}).Status == queue.Completed
	})
	assert.Assert(t, !overdue(), "its VM is usable, and does not begin it")
	s.until("the feed is at work", func() bool { return len(e.Running()) == 1 })
}
