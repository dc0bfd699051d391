package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/standin/executor"
)

// TestOverdueRuns checks that a run is listed as overdue while its VM, which has a session, does not
// report it.
func TestOverdueRuns(t *testing.T) {
	c := newTestCluster(t, nil)
	c.putDocument(nil)
	e := c.addVM(executor.Config{})
	e.SetDelivery(loseStarts)
	c.submit("j", "work=20ms", smallStep)
	c.waitUntil("the run is overdue", func() bool { return len(c.sched.overdueRuns(steady.Now())) == 1 })
	r := c.sched.overdueRuns(steady.Now())[0]
	assert.Equal(t, r.String(), "j.0.0.0#1")
	assert.Equal(t, string(r.vm), "vm1")
	e.SetDelivery(answerAll)
	c.waitUntil("no run is overdue", func() bool { return len(c.sched.overdueRuns(steady.Now())) == 0 })
}
