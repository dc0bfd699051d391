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

// TestUsableVMDropsOrdersOfResumedIncarnation guards against a VM that stays usable while its
// agent drops all orders, because it took the executor's incarnation to have ended, and then resumed
// it.
func TestUsableVMDropsOrdersOfResumedIncarnation(t *testing.T) {
	c := newTestClusterWithLease(t, nil, 5*time.Second)
	e, interrupt := c.addInterruptibleVM()
	c.putDocument(nil)
	c.submit("feed", "", queue.Step{Count: 1, Size: smallStep.Size, Lasting: true})
	c.waitUntil("the lasting task runs", func() bool { return len(e.Running()) == 1 })
	interrupt()
	c.submit("roster", "work=20ms", smallStep)
	overdue := func() bool {
		return slices.ContainsFunc(c.sched.overdueRuns(steady.Now()), func(r overdueRun) bool { return r.Job == "roster" })
	}
	c.waitUntil("the roster is completed, or its run is overdue", func() bool {
		return overdue() || c.send(wire.QueueRequest{Status: &wire.HostPath{Host: testHost, Path: "/q/roster"}}).Status == queue.Completed
	})
	assert.Assert(t, !overdue(), "the VM is usable but does not start the run")
	c.waitUntil("the lasting task runs", func() bool { return len(e.Running()) == 1 })
}
