package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rudderfork.example/rudderfork"
)

var t0 = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return t0.Add(d) }

func TestLessor(t *testing.T) {
	const duration, bound = 5 * time.Second, time.Second
	g := NewLessor(duration, bound)
	check := func(t *testing.T, d time.Duration, want bool) {
		t.Helper()
		assert.Equal(t, g.Expired("vm1", at(d)), want, "after %v", d)
	}
	t.Run("a VM without a lease does not expire", func(t *testing.T) { check(t, time.Hour, false) })
	g.Reset([]rudderfork.VMID{"vm1"}, t0)
	t.Run("a lease of an earlier leader is assumed", func(t *testing.T) {
		check(t, duration+bound, false)
		check(t, duration+bound+time.Millisecond, true)
	})
	assert.Equal(t, g.Grant("vm1", at(2*time.Second)), at(7*time.Second))
	t.Run("a deadline counts from the contact with the quorum", func(t *testing.T) {
		check(t, 8*time.Second, false)
		check(t, 8*time.Second+time.Millisecond, true)
	})
	t.Run("an older contact does not shorten a lease", func(t *testing.T) {
		assert.Equal(t, g.Grant("vm1", t0), at(7*time.Second))
	})
}

func newHolder(tasks ...rudderfork.Lease) *Holder {
	h := NewHolder(rudderfork.Resources{CPUMilli: 2000, MemoryMB: 2000})
	h.StartSession(1)
	h.Grant(1, at(5*time.Second))
	h.Assign(1, 10, tasks)
	return h
}

func task(id string, token rudderfork.Token) rudderfork.Lease {
	return rudderfork.Lease{Task: rudderfork.TaskID(id), Token: token, Size: rudderfork.Resources{CPUMilli: 1000, MemoryMB: 100}}
}

func running(l rudderfork.Lease) WorkerTask {
	return WorkerTask{Task: l.Task, Token: l.Token, Phase: WorkerRunning, Size: l.Size}
}

// checkNext compares the next actions, in short form and without changes of throttle
// levels.
func checkNext(t *testing.T, h *Holder, now time.Time, want ...string) {
	t.Helper()
	got := []string{}
	for _, a := range h.NextActions(now) {
		switch {
		case a.Start != nil:
			got = append(got, fmt.Sprintf("start %s %d", a.Start.Task, a.Start.Token))
		case a.Stop != nil:
			got = append(got, fmt.Sprintf("stop %s %d", a.Stop.Task, a.Stop.Token))
		case a.Report != nil:
			got = append(got, fmt.Sprintf("report %s %d %s", a.Report.Task, a.Report.Token, a.Report.Outcome))
		case a.Forget != nil:
			got = append(got, fmt.Sprintf("forget %s %d", a.Forget.Task, a.Forget.Token))
		}
	}
	assert.DeepEqual(t, got, append([]string{}, want...))
}

func TestHolder(t *testing.T) {
	a := task("a/0", 3)
	t.Run("nothing is done before the worker was observed", func(t *testing.T) {
		checkNext(t, newHolder(a), t0)
	})
	t.Run("nothing is stopped before an assignment has arrived", func(t *testing.T) {
		h := NewHolder(rudderfork.Resources{CPUMilli: 2000, MemoryMB: 2000})
		h.StartSession(1)
		h.Observe("b1", []WorkerTask{running(a)})
		checkNext(t, h, t0)
	})
	t.Run("an assigned task starts", func(t *testing.T) {
		h := newHolder(a)
		h.Observe("b1", nil)
		checkNext(t, h, t0, "start a/0 3")
	})
	t.Run("a task starts once", func(t *testing.T) {
		h := newHolder(a)
		h.Observe("b1", []WorkerTask{running(a)})
		checkNext(t, h, t0)
	})
	t.Run("an older attempt is stopped first", func(t *testing.T) {
		h := newHolder(a)
		h.Observe("b1", []WorkerTask{running(task("a/0", 2))})
		checkNext(t, h, t0, "stop a/0 2")
	})
	t.Run("an attempt without a lease stops", func(t *testing.T) {
		h := newHolder()
		h.Observe("b1", []WorkerTask{running(a)})
		checkNext(t, h, t0, "stop a/0 3")
	})
	t.Run("everything stops when the lease ends", func(t *testing.T) {
		h := newHolder(a)
		h.Observe("b1", []WorkerTask{running(a)})
		checkNext(t, h, at(5*time.Second), "stop a/0 3")
	})
	t.Run("nothing starts when the lease has ended", func(t *testing.T) {
		h := newHolder(a)
		h.Observe("b1", nil)
		checkNext(t, h, at(5*time.Second))
	})
	t.Run("a stale assignment changes nothing", func(t *testing.T) {
		h := newHolder(a)
		h.Assign(1, 9, nil)
		h.Assign(0, 11, nil)
		h.Observe("b1", []WorkerTask{running(a)})
		checkNext(t, h, t0)
	})
	t.Run("a stale grant changes nothing", func(t *testing.T) {
		h := newHolder(a)
		h.Grant(0, at(time.Hour))
		h.Grant(1, t0)
		assert.Equal(t, h.Deadline(), at(5*time.Second))
	})
	t.Run("an attempt that ended with a restart of the worker is fenced off, not started again", func(t *testing.T) {
		h := newHolder(a)
		h.Observe("b1", nil)
		checkNext(t, h, t0, "start a/0 3")
		h.Observe("b2", nil)
		checkNext(t, h, t0, "stop a/0 3")
	})
	t.Run("an end is reported until the lease is removed, then forgotten", func(t *testing.T) {
		h := newHolder(a)
		end := running(a)
		end.Phase = WorkerDone
		h.Observe("b1", []WorkerTask{end})
		checkNext(t, h, t0, "report a/0 3 done")
		checkNext(t, h, t0, "report a/0 3 done")
		h.Assign(1, 11, nil)
		h.Observe("b1", []WorkerTask{end})
		checkNext(t, h, t0, "forget a/0 3")
	})
	t.Run("a new epoch invalidates the assignment", func(t *testing.T) {
		h := newHolder(a)
		h.StartSession(2)
		h.Observe("b1", nil)
		checkNext(t, h, t0)
		h.Grant(2, at(5*time.Second))
		h.Assign(2, 12, nil)
		h.Observe("b1", []WorkerTask{running(a)})
		checkNext(t, h, t0, "stop a/0 3")
	})
}

// TestDropsThrottlesOfEndedTasks guards against throttle levels that are kept for
// tasks that have ended.
func TestDropsThrottlesOfEndedTasks(t *testing.T) {
	h := newHolder()
	for i := range 100 {
		a := task(fmt.Sprintf("a/%d", i), 1)
		h.Observe("b1", []WorkerTask{running(a)})
		h.SetThrottle(a.Task, 2)
	}
	h.Observe("b1", nil)
	assert.Equal(t, len(h.throttle), 0)
}

// TestCapacity checks that the tasks that run never exceed the capacity, with random
// leases and with some stops lost.
func TestCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 4000}
		h := NewHolder(capacity)
		h.StartSession(1)
		h.Grant(1, at(time.Hour))
		worker := map[rudderfork.TaskID]WorkerTask{}
		rev := rudderfork.Revision(1)
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			var ls []rudderfork.Lease
			for i := range rapid.IntRange(0, 8).Draw(t, "leases") {
				l := task(fmt.Sprintf("t/%d", i), rudderfork.Token(rapid.IntRange(1, 4).Draw(t, "token")))
				l.Size.CPUMilli = int64(rapid.IntRange(100, 3000).Draw(t, "cpu"))
				ls = append(ls, l)
			}
			rev++
			h.Assign(1, rev, ls)
			var list []WorkerTask
			for _, w := range worker {
				list = append(list, w)
			}
			h.Observe("b", list)
			for _, a := range h.NextActions(t0) {
				switch {
				case a.Start != nil:
					worker[a.Start.Task] = running(*a.Start)
				case a.Stop != nil && rapid.Bool().Draw(t, "stop is lost") == false:
					delete(worker, a.Stop.Task)
				}
			}
			var used rudderfork.Resources
			for _, w := range worker {
				used = used.Add(w.Size)
			}
			if !used.Fits(capacity) {
				t.Fatalf("the running tasks use %v of a capacity of %v", used, capacity)
			}
		}
	})
}
