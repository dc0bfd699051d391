package scheduler

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// crashingVMs are VMs whose executors crash when they start a task of a job whose name begins with
// "bad".
type crashingVMs struct {
	mu           sync.Mutex
	starts       map[rudderfork.TaskID]int // of tasks that crash their executor
	incarnations int
}

func newCrashingVMs(c *testCluster, vms int) *crashingVMs {
	crashing := &crashingVMs{starts: map[rudderfork.TaskID]int{}}
	for range vms {
		var e *executor.Executor
		crash := make(chan struct{}, 1)
		e = c.addVM(executor.Config{OnStart: func(r rudderfork.RunRef) {
			if crashing.recordStart(r) {
				select {
				case crash <- struct{}{}:
				default:
				}
			}
		}})
		go func() {
			for {
				select {
				case <-c.ctx.Done():
					return
				case <-crash:
					e.Restart(crashing.nextIncarnation())
				}
			}
		}()
	}
	return crashing
}

// recordStart reports whether a task crashes its executor, and counts its start if so.
func (c *crashingVMs) recordStart(r rudderfork.RunRef) (crash bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !strings.HasPrefix(string(r.Task), "bad") {
		return false
	}
	c.starts[r.Task]++
	return true
}

func (c *crashingVMs) nextIncarnation() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations++
	return fmt.Sprintf("life-after-crash-%d", c.incarnations)
}

// assertStartsAtMost checks that no crashing task was started more than most times.
func (c *crashingVMs) assertStartsAtMost(t *testing.T, most int) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, n := range c.starts {
		assert.Assert(t, n <= most, "%s was started %d times", task, n)
	}
}

// TestCrashingTasksFailOtherJobs guards against jobs that fail because other jobs crash every
// executor that starts them. The crashing jobs fail after at most MaxCrashes starts.
func TestCrashingTasksFailOtherJobs(t *testing.T) {
	c := newTestCluster(t, nil)
	c.putDocument(nil)
	crashing := newCrashingVMs(c, 5)
	c.waitUntil("all VMs are registered", func() bool { return c.vmCount() == 5 })
	lasting := smallStep
	lasting.Lasting = true
	c.submit("bad-feed", "", lasting)
	for i := range 4 {
		c.submit(fmt.Sprintf("bad-%d", i), "work=300ms", smallStep)
		c.submit(fmt.Sprintf("good-%d", i), "work=300ms", smallStep)
	}
	for i := range 4 {
		c.waitForStatus(fmt.Sprintf("bad-%d", i), queue.Failed)
		c.waitForStatus(fmt.Sprintf("good-%d", i), queue.Completed)
	}
	c.waitForStatus("bad-feed", queue.Failed)
	crashing.assertStartsAtMost(t, queue.MaxCrashes)
}

func (c *testCluster) vmCount() (n int) {
	c.sched.rep.View(func(st *state.State) { n = len(st.Queues().VMs()) })
	return n
}

// TestOperatorsSeeAndClearSuspects checks that operators see a task whose executor crashed, until an
// operator clears it.
func TestOperatorsSeeAndClearSuspects(t *testing.T) {
	c := newTestCluster(t, nil)
	c.putDocument(nil)
	e := c.addVM(executor.Config{})
	lasting := smallStep
	lasting.Lasting = true
	c.submit("feed", "", lasting)
	c.waitUntil("the lasting task runs", func() bool { return len(e.Running()) == 1 })
	e.Restart("life-2")
	suspects := func() (n int) {
		c.sched.rep.View(func(st *state.State) { n = len(suspectViews(st.Queues())) })
		return n
	}
	c.waitUntil("the crash is counted", func() bool { return suspects() == 1 })
	assert.Equal(t, c.send(wire.QueueRequest{Clear: &queue.TaskKey{Job: "feed"}}).Code, queue.OK)
	assert.Equal(t, suspects(), 0)
	assert.Equal(t, c.send(wire.QueueRequest{Clear: &queue.TaskKey{Job: "none"}}).Code, queue.NoJob)
}
