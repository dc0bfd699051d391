package scheduler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// unheardStarts loses the calls that start runs.
func loseStarts(call string) executor.Fate {
	if call == "start" {
		return executor.Unheard
	}
	return executor.Answered
}

func answerAll(string) executor.Fate { return executor.Answered }

// TestPlacedJobCountedAsBegun guards against telling a job as begun by the order to start it.
func TestPlacedJobCountedAsBegun(t *testing.T) {
	s := newTestCluster(t, nil)
	s.putDocument(nil)
	e := s.addVM(executor.Config{})
	e.SetFate(loseStarts)
	waiting := func() int { return s.ask(wire.QueueRequest{Status: &wire.Place{Host: testHost, Path: "/q/"}}).Waiting }
	s.submit("j", "work=1m", smallStep)
	s.waitForStatus("j", queue.Running)
	assert.Equal(t, waiting(), 1)
	e.SetFate(answerAll)
	s.waitUntil("it has begun", func() bool { return len(e.Running()) == 1 })
	s.waitUntil("it waits no more", func() bool { return waiting() == 0 })
}

// TestNextLeaderCountsRunningJobAsWaiting guards against a next leader that counts jobs at work as waiting.
func TestNextLeaderCountsRunningJobAsWaiting(t *testing.T) {
	s := newTestCluster(t, nil)
	s.putDocument(nil)
	e := s.addVM(executor.Config{})
	s.submit("first", "work=1m", smallStep)
	s.waitUntil("it has begun", func() bool { return len(e.Running()) == 1 })
	begun := func() (ok bool) {
		s.sched.rep.View(func(st *state.State) { ok = st.Queues().Job("first").Begun })
		return ok
	}
	n := 0
	s.waitUntil("the state has it as begun", func() bool {
		n++
		s.submit(fmt.Sprintf("next-%d", n), "work=1ms", queue.Step{Count: 1})
		return begun()
	})
}
