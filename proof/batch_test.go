//go:build proof

package proof

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/crash"
	"rudderfork.example/rudderfork/internal/harness"
)

// Sizes in the batch tests: each of the four VMs has capacity for three tasks.
const (
	vmCPU     = 4000 // thousandths of a core
	vmMemory  = 4000 // MB
	taskUnits = 400  // units of work, of 10 ms each
)

func batchOptions() harness.Options {
	return harness.Options{Agents: 4, Entries: 1, CPU: vmCPU, Memory: vmMemory, WorkerFlags: []string{"-checkpoint", "20"}}
}

// batchJob returns a job whose tasks fit three to a VM.
func batchJob(id string, tasks int) rudderfork.JobSpec {
	return rudderfork.JobSpec{
		ID: rudderfork.JobID(id), Team: "heritage", Kind: "roster", Tasks: tasks, Units: taskUnits, Attempts: 50,
		Cells: map[string]int64{rudderfork.ColCPU: 1300, rudderfork.ColMemory: 1000},
	}
}

// fault is a fault that a test injects. run injects it, waits until the system has reacted
// or for a fixed time, and heals it.
type fault struct {
	name string
	run  func(ctx context.Context, t *testing.T, c *harness.Cluster)
}

// batchFaults are the faults of TestProveBatch.
var batchFaults = []fault{
	{"the leader is killed", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		l := waitLeader(ctx, t, c, "")
		c.Proc(l).Kill()
		waitLeader(ctx, t, c, l)
		assert.NilError(t, c.StartProc(l))
	}},
	{"the leader is frozen and thaws after another was elected", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		l := waitLeader(ctx, t, c, "")
		c.Proc(l).Freeze()
		waitLeader(ctx, t, c, l)
		c.Proc(l).Thaw()
	}},
	{"all links of the leader are cut", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		l := waitLeader(ctx, t, c, "")
		c.Isolate(l)
		waitLeader(ctx, t, c, l)
		c.Rejoin(l)
	}},
	{"the leader can send but not receive", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		l := waitLeader(ctx, t, c, "")
		for _, n := range controlNames {
			if n != l {
				c.Link(n, l).CutOneWay(true)
			}
		}
		waitLeader(ctx, t, c, l)
		c.Rejoin(l)
	}},
	{"an agent is killed and restarted within its lease", func(_ context.Context, t *testing.T, c *harness.Cluster) {
		c.Proc("a1").Kill()
		assert.NilError(t, c.StartProc("a1"))
	}},
	{"an agent is frozen for longer than its lease", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		c.Proc("a2").Freeze()
		waitVM(ctx, t, c, "vm2", false)
		c.Proc("a2").Thaw()
		waitVM(ctx, t, c, "vm2", true)
	}},
	{"a worker is killed", func(_ context.Context, t *testing.T, c *harness.Cluster) {
		c.Proc("w3").Kill()
		assert.NilError(t, c.StartProc("w3"))
	}},
	{"a whole VM is frozen and thaws after its tasks were moved", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		c.Proc("w4").Freeze()
		c.Proc("a4").Freeze()
		waitVM(ctx, t, c, "vm4", false)
		c.Proc("w4").Thaw()
		c.Proc("a4").Thaw()
		waitVM(ctx, t, c, "vm4", true)
	}},
	{"an agent is cut off from control", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		c.Isolate("a1")
		waitVM(ctx, t, c, "vm1", false)
		c.Rejoin("a1")
		waitVM(ctx, t, c, "vm1", true)
	}},
	{"an agent is cut off from its worker", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		c.Link("a2", "w2").Cut()
		waitVM(ctx, t, c, "vm2", false)
		c.Link("a2", "w2").Heal()
		waitVM(ctx, t, c, "vm2", true)
	}},
	{"the worker's answers are lost", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		c.Link("a3", "w3").LoseAnswers(300)
		waitVM(ctx, t, c, "vm3", false)
		c.Link("a3", "w3").Heal()
		waitVM(ctx, t, c, "vm3", true)
	}},
	{"a whole VM and the leader are killed", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		l := waitLeader(ctx, t, c, "")
		c.Proc("a4").Kill()
		c.Proc("w4").Kill()
		c.Proc(l).Kill()
		waitLeader(ctx, t, c, l)
		waitVM(ctx, t, c, "vm4", false)
		for _, n := range []string{l, "w4", "a4"} {
			assert.NilError(t, c.StartProc(n))
		}
		waitVM(ctx, t, c, "vm4", true)
	}},
	{"a VM is drained", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		drain(ctx, t, c, "vm1")
	}},
}

// waitStarted waits until workers have started every task of a job, so that a fault hits
// VMs that run tasks.
func waitStarted(ctx context.Context, t *testing.T, c *harness.Cluster, job rudderfork.JobSpec) {
	t.Helper()
	assert.NilError(t, harness.Until(ctx, string(job.ID)+" to start", func() error {
		us, err := c.TaskRecords()
		if err != nil {
			return err
		}
		started := map[string]bool{}
		for _, u := range us {
			if u.Event == "start" && strings.HasPrefix(u.Task, string(job.ID)+"/") {
				started[u.Task] = true
			}
		}
		if len(started) < job.Tasks {
			return fmt.Errorf("%d of %d tasks have started", len(started), job.Tasks)
		}
		return nil
	}))
}

// checkDoneOnce checks that control has recorded each task as done exactly once.
func checkDoneOnce(ctx context.Context, t *testing.T, c *harness.Cluster, jobs []rudderfork.JobSpec) {
	t.Helper()
	for _, j := range jobs {
		d, err := c.Operator().Job(ctx, j.ID)
		assert.NilError(t, err)
		for _, task := range d.TaskList {
			done := 0
			for _, dec := range task.Decisions {
				if dec.What == "done" {
					done++
				}
			}
			assert.Equal(t, done, 1, "task %s was recorded as done %d times", task.ID, done)
		}
	}
}

// drain drains a VM, waits until it has no tasks, and ends the drain.
func drain(ctx context.Context, t *testing.T, c *harness.Cluster, vm string) {
	t.Helper()
	op := c.Operator()
	assert.NilError(t, op.Drain(ctx, rudderfork.VMID(vm), false))
	waitEmpty(ctx, t, c, vm)
	assert.NilError(t, op.Drain(ctx, rudderfork.VMID(vm), true))
}

// waitEmpty waits until a VM has no tasks.
func waitEmpty(ctx context.Context, t *testing.T, c *harness.Cluster, vm string) {
	t.Helper()
	assert.NilError(t, harness.Until(ctx, vm+" to be empty", func() error {
		vms, err := c.Operator().VMs(ctx)
		if err != nil {
			return err
		}
		for _, v := range vms {
			if string(v.VM) == vm && v.Tasks == 0 {
				return nil
			}
		}
		return errors.New("it still has tasks")
	}))
}

// TestProveBatch tests the three guarantees about batch work: no VM is overcommitted, no
// task runs in two places, and evicted work resumes exactly once. While tasks run, it
// injects faults into every role and link, one after the other.
func TestProveBatch(t *testing.T) {
	var as []*attempt
	var fullest float64
	var resumed, redone int
	prove(t, "no VM is given more than it holds", func() string {
		return fmt.Sprintf("%d attempts on 4 VMs under %d faults, the fullest at %.0f%%", len(as), len(batchFaults), 100*fullest)
	})
	prove(t, "a task never runs in two places", func() string {
		return fmt.Sprintf("%d attempts at %d tasks, none overlap", len(as), len(byTask(as)))
	})
	prove(t, "evicted work resumes exactly once", func() string {
		return fmt.Sprintf("%d attempts stopped and resumed at their checkpoint, the end of every task taken once, %d ended on a VM that was lost before it could tell, and ran again from the last checkpoint known", resumed, redone)
	})
	ctx, c := startCluster(t, batchOptions())
	op := c.Operator()
	var jobs []rudderfork.JobSpec
	for i, f := range batchFaults {
		// Four tasks leave free capacity, so a task that loses its VM can start elsewhere at once.
		job := batchJob(fmt.Sprintf("night-%d", i), 4)
		jobs = append(jobs, job)
		_, err := op.Submit(ctx, job)
		assert.NilError(t, err)
		waitStarted(ctx, t, c, job)
		at := time.Now()
		f.run(ctx, t, c)
		t.Logf("%s: detected and healed after %v", f.name, time.Since(at).Round(time.Millisecond))
	}
	drain(ctx, t, c, "vm2")
	drain(ctx, t, c, "vm3")
	for _, j := range jobs {
		assert.NilError(t, c.WaitJob(ctx, j.ID))
	}
	us, err := c.TaskRecords()
	assert.NilError(t, err)
	as = collectAttempts(t, us)
	checkDoneOnce(ctx, t, c, jobs)
	fullest = checkCapacity(t, as, vmCPU, vmMemory)
	checkNoOverlap(t, as)
	resumed, redone = checkResumes(t, as, taskUnits)
	assert.Assert(t, resumed > 0)
}

// handOverPoints lists the crash points at which TestProveHandOver kills a process, and
// the role that reaches each.
var handOverPoints = []struct{ role, point string }{
	{"control", crash.ControlSave},
	{"control", crash.ControlSaved},
	{"control", crash.ControlApplied},
	{"control", crash.ControlSnapshot},
	{"agent", crash.AgentStart},
	{"agent", crash.AgentStarted},
	{"agent", crash.AgentStop},
	{"agent", crash.AgentStopped},
	{"agent", crash.AgentReport},
	{"agent", crash.AgentReported},
	{"agent", crash.AgentForget},
}

// TestProveHandOver kills the acting process at each step of moving a task to another VM:
// place, start, evict, checkpoint, stop, report, place elsewhere. After a kill, no task
// may run in two places or lose its checkpoint.
func TestProveHandOver(t *testing.T) {
	var as []*attempt
	var resumed, redone int
	prove(t, "a hand-over survives a kill at each step", func() string {
		return fmt.Sprintf("%d named points, %d attempts at %d tasks, %d resumed, %d ended untold, none overlap", len(handOverPoints), len(as), len(byTask(as)), resumed, redone)
	})
	opt := batchOptions()
	opt.SnapshotEvery = 40
	ctx, c := startCluster(t, opt)
	op := c.Operator()
	for i, h := range handOverPoints {
		victims := []string{"a1"}
		if h.role == "control" {
			victims = controlNames // the leader reaches the crash point
		}
		for _, v := range victims {
			c.Proc(v).Kill()
			assert.NilError(t, c.StartWithCrash(v, h.point))
		}
		if h.role == "agent" {
			waitVM(ctx, t, c, "vm1", true)
		}
		at := time.Now()
		jobs := drainUntilExit(ctx, t, c, victims, fmt.Sprintf("step-%d", i))
		for _, v := range victims {
			c.Proc(v).Kill() // those that did not reach the crash point
			assert.NilError(t, c.StartProc(v))
		}
		assert.NilError(t, op.Drain(ctx, "vm1", false))
		waitEmpty(ctx, t, c, "vm1")
		assert.NilError(t, op.Drain(ctx, "vm1", true))
		for _, j := range jobs {
			_, err := op.Submit(ctx, j)
			assert.NilError(t, err)
		}
		for _, j := range jobs {
			assert.NilError(t, c.WaitJob(ctx, j.ID), "after a kill at %s", h.point)
		}
		t.Logf("%s: %d jobs done after %v", h.point, len(jobs), time.Since(at).Round(time.Millisecond))
	}
	us, err := c.TaskRecords()
	assert.NilError(t, err)
	as = collectAttempts(t, us)
	checkCapacity(t, as, vmCPU, vmMemory)
	checkNoOverlap(t, as)
	resumed, redone = checkResumes(t, as, handOverUnits)
	assert.Assert(t, resumed > 0)
}

// drainUntilExit submits jobs, and ends and starts a drain of vm1 in turn, until one of
// the processes has crashed at its crash point. It returns the jobs.
func drainUntilExit(ctx context.Context, t *testing.T, c *harness.Cluster, victims []string, prefix string) (jobs []rudderfork.JobSpec) {
	t.Helper()
	op := c.Operator()
	undo := true
	rounds := 0
	assert.NilError(t, harness.Until(ctx, fmt.Sprint(victims, " to reach a crash point"), func() error {
		for _, v := range victims {
			if !c.Proc(v).Running() {
				return nil
			}
		}
		dctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if rounds%12 == 0 {
			j := batchJob(fmt.Sprintf("%s-%d", prefix, rounds), 6)
			j.Units = handOverUnits
			jobs = append(jobs, j)
		}
		rounds++
		// Both calls may fail while the leader crashes. The caller submits all jobs
		// again.
		_ = op.Drain(dctx, "vm1", undo)
		_, _ = op.Submit(dctx, jobs[len(jobs)-1])
		undo = !undo
		time.Sleep(300 * time.Millisecond)
		return errors.New("all are still running")
	}))
	return jobs
}

// handOverUnits is the number of units of the tasks of TestProveHandOver.
const handOverUnits = 150
