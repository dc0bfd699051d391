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

// addInterruptibleVM adds a VM. interrupt has the executor answer one poll as another incarnation
// does. It returns after the VM's agent took the incarnation to have ended, and then resumed it.
func (c *testCluster) addInterruptibleVM() (e *executor.Executor, interrupt func()) {
	capacity := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	e = executor.New("vm1-life-1", executor.Config{Now: steady.Now, Capacity: capacity})
	a := c.addAgent("vm1", e, e.Incarnation, capacity)
	return e, func() {
		c.t.Helper()
		var answered atomic.Bool
		e.SetDelivery(func(call string) executor.Delivery {
			if call == "look" && answered.CompareAndSwap(false, true) {
				return executor.RejectedAsStale
			}
			return executor.Answered
		})
		c.waitUntil("the agent takes the incarnation to have ended", func() bool { return a.Incarnation() == "" })
		c.waitUntil("the agent resumes the incarnation", func() bool { return a.Incarnation() == e.Incarnation() })
	}
}

// TestResumedIncarnationGetsNoOrders guards against a VM that gets leases and runs but starts none
// of them, because its agent took the executor's incarnation to have ended, and then resumed it.
func TestResumedIncarnationGetsNoOrders(t *testing.T) {
	c := newTestClusterWithLease(t, nil, time.Hour)
	e, interrupt := c.addInterruptibleVM()
	c.putDocument(nil)
	c.submit("before", "work=1ms", smallStep)
	c.waitForStatus("before", queue.Completed)
	interrupt()
	c.submit("after", "work=1ms", smallStep)
	c.waitForStatus("after", queue.Completed)
	assert.Equal(t, len(e.Running()), 0)
}
