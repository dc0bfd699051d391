package scheduler

import (
	"testing"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/state"
)

// TestTaskBoundToVMWithUnansweredStarts guards against a task that stays placed forever on a VM whose
// executor answers all calls except starts.
func TestTaskBoundToVMWithUnansweredStarts(t *testing.T) {
	c := newTestCluster(t, nil)
	c.addVM(executor.Config{Delivery: func(call string) executor.Delivery {
		if call == "start" {
			return executor.RequestLost
		}
		return executor.Answered
	}})
	c.putDocument(nil)
	c.submit("feed", "", queue.Step{Count: 1, Size: smallStep.Size, Lasting: true})
	c.waitUntil("the lasting task is placed", func() bool { return c.activeRuns() == 1 })
	second := c.addVM(executor.Config{})
	c.waitUntil("the task runs elsewhere", func() bool { return len(second.Running()) == 1 })
}

func (c *testCluster) activeRuns() (n int) {
	c.sched.rep.View(func(st *state.State) { n = st.Queues().Job("feed").ActiveRuns })
	return n
}
