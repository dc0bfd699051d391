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

// loseStarts loses the calls that start runs, and answers all others.
func loseStarts(call string) executor.Delivery {
	if call == "start" {
		return executor.RequestLost
	}
	return executor.Answered
}

func answerAll(string) executor.Delivery { return executor.Answered }

// TestPlacedJobCountedAsBegun guards against a job that no longer counts as waiting once a start is
// committed, although no executor has begun the run yet.
func TestPlacedJobCountedAsBegun(t *testing.T) {
	c := newTestCluster(t, nil)
	c.putDocument(nil)
	e := c.addVM(executor.Config{})
	e.SetDelivery(loseStarts)
	waiting := func() int {
		return c.send(wire.QueueRequest{Status: &wire.HostPath{Host: testHost, Path: "/q/"}}).Waiting
	}
	c.submit("j", "work=1m", smallStep)
	c.waitForStatus("j", queue.Running)
	assert.Equal(t, waiting(), 1)
	e.SetDelivery(answerAll)
	c.waitUntil("the task runs", func() bool { return len(e.Running()) == 1 })
	c.waitUntil("the job no longer waits", func() bool { return waiting() == 0 })
}

// TestNextLeaderCountsRunningJobAsWaiting guards against a new leader that counts running jobs as
// waiting, because only the old leader knew that they have begun.
func TestNextLeaderCountsRunningJobAsWaiting(t *testing.T) {
	c := newTestCluster(t, nil)
	c.putDocument(nil)
	e := c.addVM(executor.Config{})
	c.submit("first", "work=1m", smallStep)
	c.waitUntil("the task runs", func() bool { return len(e.Running()) == 1 })
	begun := func() (ok bool) {
		c.sched.rep.View(func(st *state.State) { ok = st.Queues().Job("first").Begun })
		return ok
	}
	n := 0
	c.waitUntil("the state records that the job has begun", func() bool {
		n++
		c.submit(fmt.Sprintf("next-%d", n), "work=1ms", queue.Step{Count: 1})
		return begun()
	})
}
