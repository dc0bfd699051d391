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

// The sizes of the batch proofs: four VMs that hold three tasks each.
const (
	vmCPU     = 4000
	vmMemory  = 4000
	taskUnits = 400 // of 10 ms
)

func batchOptions() harness.Options {
	return harness.Options{Agents: 4, Entries: 1, CPU: vmCPU, Memory: vmMemory, WorkerFlags: []string{"-checkpoint", "20"}}
}

func batchJob(id string, tasks int) rudderfork.JobSpec {
	return rudderfork.JobSpec{
		ID: rudderfork.JobID(id), Team: "heritage", Kind: "roster", Tasks: tasks, Units: taskUnits, Attempts: 50,
		Cells: map[string]int64{rudderfork.ColCPU: 1300, rudderfork.ColMemory: 1000},
	}
}

// fault breaks something and puts it right again, having waited until the
// system has taken notice.
type fault struct {
	name string
	run  func(ctx context.Context, t *testing.T, c *harness.Cluster)
}

var batchFaults = []fault{
	{"the leader is killed", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		l := waitLeader(ctx, t, c, "")
		c.Proc(l).Kill()
		waitLeader(ctx, t, c, l)
		assert.NilError(t, c.StartProc(l))
	}},
	{"the leader is frozen and thaws under another", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		l := waitLeader(ctx, t, c, "")
		c.Proc(l).Freeze()
		waitLeader(ctx, t, c, l)
		c.Proc(l).Thaw()
	}},
	{"the leader is cut off in silence", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		l := waitLeader(ctx, t, c, "")
		c.Isolate(l)
		waitLeader(ctx, t, c, l)
		c.Rejoin(l)
	}},
	{"the leader can send and not hear", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
		l := waitLeader(ctx, t, c, "")
		for _, n := range controlNames {
			if n != l {
				c.Link(n, l).CutOneWay(true)
			}
		}
		waitLeader(ctx, t, c, l)
		c.Rejoin(l)
	}},
	{"an agent is killed and back within its lease", func(_ context.Context, t *testing.T, c *harness.Cluster) {
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
	{"a VM is killed whole, with the leader", func(ctx context.Context, t *testing.T, c *harness.Cluster) {
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

// waitStarted waits until every task of a job has started at a worker, so that a
// fault hits VMs at work.
func waitStarted(ctx context.Context, t *testing.T, c *harness.Cluster, job rudderfork.JobSpec) {
	t.Helper()
	assert.NilError(t, harness.Until(ctx, string(job.ID)+" to start", func() error {
		us, err := c.Units()
		if err != nil {
			return err
		}
		started := map[string]bool{}
		for _, u := range us {
			if u.What == "start" && strings.HasPrefix(u.Task, string(job.ID)+"/") {
				started[u.Task] = true
			}
		}
		if len(started) < job.Tasks {
			return fmt.Errorf("%d of %d tasks have", len(started), job.Tasks)
		}
		return nil
	}))
}

// checkDoneOnce checks that control took exactly one end of each task.
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
			assert.Equal(t, done, 1, "task %s was taken as done %d times", task.ID, done)
		}
	}
}

// drain moves everything away from a VM and lets it back.
func drain(ctx context.Context, t *testing.T, c *harness.Cluster, vm string) {
	t.Helper()
	op := c.Operator()
	assert.NilError(t, op.Drain(ctx, rudderfork.VMID(vm), false))
	waitEmpty(ctx, t, c, vm)
	assert.NilError(t, op.Drain(ctx, rudderfork.VMID(vm), true))
}

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
		return errors.New("it holds tasks")
	}))
}

// TestProveBatch proves the three promises about batch work under faults of
// every role and link, one after the other, while tasks run all the time.
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
		// Four tasks leave room, so that what is freed starts elsewhere at once.
		job := batchJob(fmt.Sprintf("night-%d", i), 4)
		jobs = append(jobs, job)
		_, err := op.Submit(ctx, job)
		assert.NilError(t, err)
		waitStarted(ctx, t, c, job)
		at := time.Now()
		f.run(ctx, t, c)
		t.Logf("%s: noticed and put right after %v", f.name, time.Since(at).Round(time.Millisecond))
	}
	drain(ctx, t, c, "vm2")
	drain(ctx, t, c, "vm3")
	for _, j := range jobs {
		assert.NilError(t, c.WaitJob(ctx, j.ID))
	}
	us, err := c.Units()
	assert.NilError(t, err)
	as = collectAttempts(t, us)
	checkDoneOnce(ctx, t, c, jobs)
	fullest = checkCapacity(t, as, vmCPU, vmMemory)
	checkNoOverlap(t, as)
	resumed, redone = checkResumes(t, as, taskUnits)
	assert.Assert(t, resumed > 0)
}

// handOverPoints are the points at which TestProveHandOver kills a process, with the
// role that has them.
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

// TestProveHandOver kills the acting process at each step of a hand-over: place,
// start, evict, checkpoint, stop, report, place elsewhere.
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
			victims = controlNames // whichever leads then
		}
		for _, v := range victims {
			c.Proc(v).Kill()
			assert.NilError(t, c.StartWith(v, h.point))
		}
		if h.role == "agent" {
			waitVM(ctx, t, c, "vm1", true)
		}
		at := time.Now()
		jobs := drainUntilExit(ctx, t, c, victims, fmt.Sprintf("step-%d", i))
		for _, v := range victims {
			c.Proc(v).Kill() // those that did not come to the point
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
	us, err := c.Units()
	assert.NilError(t, err)
	as = collectAttempts(t, us)
	checkCapacity(t, as, vmCPU, vmMemory)
	checkNoOverlap(t, as)
	resumed, redone = checkResumes(t, as, handOverUnits)
	assert.Assert(t, resumed > 0)
}

// drainUntilExit submits jobs, drains vm1 and lets it back, in turn, until one
// of the processes has come to its point. It returns the jobs.
func drainUntilExit(ctx context.Context, t *testing.T, c *harness.Cluster, victims []string, prefix string) (jobs []rudderfork.JobSpec) {
	t.Helper()
	op := c.Operator()
	undo := true
	rounds := 0
	assert.NilError(t, harness.Until(ctx, fmt.Sprint(victims, " to come to a point"), func() error {
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
		// Both may fail while the leader is ending. A job that was not taken is
		// submitted again below.
		_ = op.Drain(dctx, "vm1", undo)
		_, _ = op.Submit(dctx, jobs[len(jobs)-1])
		undo = !undo
		time.Sleep(300 * time.Millisecond)
		return errors.New("they run")
	}))
	return jobs
}

// handOverUnits is the length of the tasks of TestProveHandOver.
const handOverUnits = 150
