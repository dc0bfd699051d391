package scheduler

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// TestNoOrdersAfterLifeTakenUpAgain guards against a usable VM whose agent drops all orders.
func TestNoOrdersAfterLifeTakenUpAgain(t *testing.T) {
	s := newSiteWith(t, nil, 5*time.Second)
	e, mislead := s.addMisled()
	s.put(nil)
	s.submit("feed", "", queue.Step{Count: 1, Size: small.Size, Lasting: true})
	s.until("the feed is at work", func() bool { return len(e.Running()) == 1 })
	mislead()
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
