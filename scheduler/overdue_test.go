package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/standin/executor"
)

// TestOverdueRuns finds a run that its VM, which is in session, does not report.
func TestOverdueRuns(t *testing.T) {
	s := newTestCluster(t, nil)
	s.putDocument(nil)
	e := s.addVM(executor.Config{})
	e.SetFate(loseStarts)
	s.submit("j", "work=20ms", smallStep)
	s.waitUntil("its run is overdue", func() bool { return len(s.sched.overdueRuns(steady.Now())) == 1 })
	r := s.sched.overdueRuns(steady.Now())[0]
	assert.Equal(t, r.String(), "j.0.0.0#1")
	assert.Equal(t, string(r.vm), "vm1")
	e.SetFate(answerAll)
	s.waitUntil("none is", func() bool { return len(s.sched.overdueRuns(steady.Now())) == 0 })
}
