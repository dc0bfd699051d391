package queue

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// firstIncarnation is the incarnation in which newFixture registers its VMs.
const firstIncarnation = "life-1"

// ageOf returns the report of an agent on a confirmed run.
func ageOf(k TaskKey, run uint32, ageMS int64) RunAge {
	return RunAge{Task: k, Run: run, AgeMS: ageMS, Confirmed: true}
}

// crash registers another incarnation of a VM's executor, with a crash report that lists runs.
func (w *fixture) crash(vm rudderfork.VMID, inc string, runs ...RunAge) Result {
	w.n += 3_000
	old := w.s.VM(vm)
	v := VM{ID: vm, Incarnation: inc, Domain: old.Domain, Rack: old.Rack, Service: old.Service, Capacity: old.Capacity, Labels: old.Labels}
	return w.apply(Command{Register: &v, Crash: &Crash{Incarnation: old.Incarnation, Runs: runs}})
}

func (w *fixture) lose(vm rudderfork.VMID, c VMLoss) Result {
	w.n += 5_000
	c.VM, c.Incarnation = vm, w.s.VM(vm).Incarnation
	return w.apply(Command{Lost: &c})
}

func (w *fixture) task(k TaskKey) *Task { return w.s.Job(k.Job).Task(k) }

func checkCounts(t *testing.T, task *Task, crashes, losses int) {
	t.Helper()
	assert.Equal(t, task.Crashes, crashes, "crashes")
	assert.Equal(t, task.UnresolvedLosses, losses, "unresolved losses")
}

// startTwo starts two tasks of two jobs on the first VM.
func startTwo(t *testing.T, step Step) (w *fixture, bad, good TaskKey) {
	w = newFixture(t, 4)
	w.submit("bad", step)
	w.submit("good", step)
	bad, good = key("bad", 0, 0), key("good", 0, 0)
	w.start(bad, "vm1")
	w.start(good, "vm1")
	return w, bad, good
}

// TestBlame checks which tasks are suspected after crashes, given up or cleared.
func TestBlame(t *testing.T) {
	t.Run("a task is given up after two crashes right after its starts", func(t *testing.T) {
		w, bad, good := startTwo(t, one)
		w.crash("vm1", "life-2", ageOf(bad, 1, 0), ageOf(good, 1, 300))
		assert.Assert(t, w.task(bad).Suspect() && !w.task(good).Suspect())
		run := w.start(bad, "vm2")
		res := w.crash("vm2", "life-2", ageOf(bad, run, 0))
		assert.Equal(t, w.status("bad"), Failed)
		assert.Equal(t, w.status("good"), Running)
		assert.Equal(t, len(res.Assessments), 1)
		assert.Assert(t, res.Assessments[0].GivenUp)
	})
	t.Run("tasks that began together are distinguished by their next VMs", func(t *testing.T) {
		w, bad, good := startTwo(t, one)
		w.crash("vm1", "life-2", ageOf(bad, 1, 0), ageOf(good, 1, 0))
		assert.Assert(t, w.task(bad).Suspect() && w.task(good).Suspect())
		w.start(bad, "vm2")
		w.start(good, "vm3")
		w.crash("vm2", "life-2", ageOf(bad, 2, 0))
		assert.Assert(t, w.end(good, "vm3", 2, OutcomeDone))
		assert.Equal(t, w.status("bad"), Failed)
		assert.Equal(t, w.status("good"), Completed)
	})
	t.Run("a task that has run for long is cleared", func(t *testing.T) {
		lasting := one
		lasting.Lasting = true
		w, bad, good := startTwo(t, lasting)
		w.crash("vm1", "life-2", ageOf(bad, 1, 0), ageOf(good, 1, 0))
		for i := range 8 {
			run := w.start(good, "vm2")
			w.crash("vm2", string(rune('a'+i)), ageOf(good, run, 60_000))
			checkCounts(t, w.task(good), 0, 0)
		}
		assert.Equal(t, w.status("good"), Running)
	})
	t.Run("a run that never began is not counted", func(t *testing.T) {
		w, bad, good := startTwo(t, one)
		w.crash("vm1", "life-2", ageOf(bad, 1, 0))
		checkCounts(t, w.task(bad), 1, 0)
		checkCounts(t, w.task(good), 0, 0)
	})
	t.Run("an unconfirmed start does not make a poison task", func(t *testing.T) {
		w, bad, _ := startTwo(t, one)
		w.crash("vm1", "life-2", RunAge{Task: bad, Run: 1})
		run := w.start(bad, "vm2")
		w.crash("vm2", "life-2", RunAge{Task: bad, Run: run})
		assert.Equal(t, w.status("bad"), Running)
		checkCounts(t, w.task(bad), 2, 0)
	})
	t.Run("a suspect gets no copy", func(t *testing.T) {
		copied := one
		copied.Speculative = true
		w, bad, _ := startTwo(t, copied)
		w.crash("vm1", "life-2", ageOf(bad, 1, 0))
		w.start(bad, "vm2")
		assert.Equal(t, w.apply(Command{Starts: []Start{{Task: bad, VM: "vm3", Incarnation: firstIncarnation, Copy: true}}}).Numbers[0], uint32(0))
	})
	t.Run("an operator clears a suspect", func(t *testing.T) {
		w, bad, good := startTwo(t, one)
		w.crash("vm1", "life-2", ageOf(bad, 1, 0), ageOf(good, 1, 0))
		assert.Equal(t, len(w.s.CrashedTasks()), 2)
		assert.Equal(t, w.apply(Command{Clear: &bad}).Code, OK)
		assert.Equal(t, len(w.s.CrashedTasks()), 1)
		checkCounts(t, w.task(bad), 0, 0)
		assert.Equal(t, w.apply(Command{Clear: &TaskKey{Job: "none"}}).Code, NoJob)
	})
	t.Run("crashes of idle executors raise the rate of spontaneous crashes", func(t *testing.T) {
		w := newFixture(t, 4)
		inc := 1
		for range 20 { // without runs that began recently
			inc++
			w.crash("vm4", string(rune('a'+inc)))
		}
		quiet, unstable := newFixture(t, 4).s.base, w.s.base
		assert.Assert(t, unstable.weight() > quiet.weight())
	})
}

// TestNoCrashCounted checks that no crash is counted where an executor ended as planned or the VM only
// lost contact.
func TestNoCrashCounted(t *testing.T) {
	t.Run("a shutdown notice", func(t *testing.T) {
		w, bad, _ := startTwo(t, one)
		w.lose("vm1", VMLoss{Departed: true})
		checkCounts(t, w.task(bad), 0, 0)
	})
	t.Run("an announced end", func(t *testing.T) {
		w, bad, _ := startTwo(t, one)
		old := *w.s.VM("vm1")
		old.Incarnation = "life-2"
		w.apply(Command{Register: &old, Crash: &Crash{Incarnation: firstIncarnation, Draining: true, Runs: []RunAge{ageOf(bad, 1, 0)}}})
		checkCounts(t, w.task(bad), 0, 0)
	})
	t.Run("upkeep", func(t *testing.T) {
		w, bad, _ := startTwo(t, one)
		w.apply(Command{Wave: &Wave{ID: 1, Machines: []string{"m1"}, MaxDown: 1}})
		w.apply(Command{Upkeep: &UpkeepReport{Wave: 1, Machine: "m1", Incarnation: firstIncarnation}})
		w.crash("vm1", "life-2", ageOf(bad, 1, 0))
		checkCounts(t, w.task(bad), 0, 0)
		assert.Assert(t, !w.s.VM("vm1").Leaving)
	})
	t.Run("a VM that was cut off", func(t *testing.T) {
		w, bad, _ := startTwo(t, one)
		w.lose("vm1", VMLoss{})
		checkCounts(t, w.task(bad), 0, 1)
		w.register("vm1", firstIncarnation)
		checkCounts(t, w.task(bad), 0, 0)
	})
}

// TestCrashFoundLate checks that a crash is still counted against the tasks if the VM's lease runs
// out before its executor has started again.
func TestCrashFoundLate(t *testing.T) {
	w, bad, good := startTwo(t, one)
	w.lose("vm1", VMLoss{Crash: &Crash{Incarnation: firstIncarnation, Runs: []RunAge{ageOf(bad, 1, 0), ageOf(good, 1, 900)}}})
	checkCounts(t, w.task(bad), 0, 1)
	run := w.start(bad, "vm2")
	t.Run("unresolved losses survive a snapshot", func(t *testing.T) {
		w.restore()
		checkCounts(t, w.task(bad), 0, 1)
	})
	w.crash("vm1", "life-2", ageOf(bad, 1, 0), ageOf(good, 1, 900))
	checkCounts(t, w.task(bad), 1, 0)
	w.crash("vm2", "life-2", ageOf(bad, run, 0))
	assert.Equal(t, w.status("bad"), Failed)
	assert.Equal(t, w.status("good"), Running)
}

// TestUnresolvedLossesBoundStarts checks that losses that may have been crashes keep a task from
// being started until the VMs register again.
func TestUnresolvedLossesBoundStarts(t *testing.T) {
	w := newFixture(t, 8)
	w.submit("j1", one)
	k := key("j1", 0, 0)
	starts := 0
	for vm, ok := w.startAnywhere(k); ok; vm, ok = w.startAnywhere(k) {
		starts++
		w.lose(vm, VMLoss{})
	}
	assert.Equal(t, starts, MaxCrashes)
	assert.Equal(t, w.status("j1"), Running)
	w.register("vm1", firstIncarnation)
	_, ok := w.startAnywhere(k)
	assert.Assert(t, ok, "vm1 is back and had not crashed")
}

// TestTaskOfVMsLostForGoodRunsAgain guards against unresolved losses that are only resolved if the
// VM returns.
func TestTaskOfVMsLostForGoodRunsAgain(t *testing.T) {
	w := newFixture(t, 8)
	w.submit("j1", one)
	k := key("j1", 0, 0)
	for vm, ok := w.startAnywhere(k); ok; vm, ok = w.startAnywhere(k) {
		w.lose(vm, VMLoss{})
	}
	checkCounts(t, w.task(k), 0, MaxCrashes)
	w.pass(unresolvedLossMS)
	checkCounts(t, w.task(k), 0, 0)
	vm, ok := w.startAnywhere(k)
	assert.Assert(t, ok)
	t.Run("a return with another incarnation still counts as a crash", func(t *testing.T) {
		w.register("vm1", "life-2")
		checkCounts(t, w.task(k), 1, 0)
	})
	t.Run("a restored state resolves losses too", func(t *testing.T) {
		w.lose(vm, VMLoss{})
		checkCounts(t, w.task(k), 1, 1)
		w.restore()
		checkCounts(t, w.task(k), 1, 1)
		w.pass(unresolvedLossMS)
		checkCounts(t, w.task(k), 1, 0)
	})
}

// TestLongRunLeavesNoUnresolvedLoss checks that a loss is not counted against the task of a run that
// is so old that a crash would not be counted against it either.
func TestLongRunLeavesNoUnresolvedLoss(t *testing.T) {
	w := newFixture(t, 1)
	w.submit("j1", one)
	k := key("j1", 0, 0)
	w.start(k, "vm1")
	w.n += provenRunMS + unknownAgeMarginMS
	w.lose("vm1", VMLoss{})
	checkCounts(t, w.task(k), 0, 0)
	w.register("vm1", firstIncarnation)
	checkCounts(t, w.task(k), 0, 0)
}
