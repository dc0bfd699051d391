package queue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// mostCrashes is how many executors a task may crash: once three have crashed while it ran on them,
// it is started at most twice more.
const mostCrashes = 5

// startAnywhere starts a task on the first VM that accepts it.
func (w *fixture) startAnywhere(k TaskKey) (on rudderfork.VMID, ok bool) {
	for _, vm := range w.s.VMs() {
		if vm.Live && w.start(k, vm.ID) != 0 {
			return vm.ID, true
		}
	}
	return "", false
}

// TestCrashingTask guards against a poison task that is restarted without bound: its executor
// crashes at once, all runs there end, the VM registers with a new incarnation, and the task is
// started on the next VM. A run that ended with its executor counted as no attempt, so that single
// tasks were started 70 times in two minutes and all VMs crashed again and again.
func TestCrashingTask(t *testing.T) {
	lasting := one
	lasting.Lasting = true
	for name, step := range map[string]Step{"short": one, "lasting": lasting} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 12)
			w.submit("j1", step)
			k := key("j1", 0, 0)
			crashes := 0
			for range 12 {
				vm, ok := w.startAnywhere(k)
				if !ok {
					break
				}
				crashes++
				w.n += 3_000
				w.register(vm, fmt.Sprintf("life-%d", crashes+1))
			}
			assert.Assert(t, crashes <= mostCrashes, "%d executors crashed", crashes)
			assert.Equal(t, w.status("j1"), Failed)
		})
	}
}

// TestLossReportedTwice guards against an unresolved loss that is counted twice and resolved once,
// because the leader proposes the loss of a VM again while the first commit is slow.
func TestLossReportedTwice(t *testing.T) {
	for name, second := range map[string]VMLoss{"lost again": {}, "lost with a shutdown notice": {Departed: true}} {
		t.Run(name, func(t *testing.T) {
			w, bad, good := startTwo(t, one)
			w.lose("vm1", VMLoss{})
			w.lose("vm1", second)
			w.register("vm1", firstIncarnation)
			checkCounts(t, w.task(bad), 0, 0)
			checkCounts(t, w.task(good), 0, 0)
		})
	}
}

// TestCrashingTaskOfSlowExecutors guards against a lasting task that crashes executors without
// bound because the executors that it crashed have not registered again, so that their crashes are
// not counted yet.
func TestCrashingTaskOfSlowExecutors(t *testing.T) {
	lasting := one
	lasting.Lasting = true
	const away = 4 // VMs that are down at the same time
	w := newFixture(t, 12)
	w.submit("j1", lasting)
	k := key("j1", 0, 0)
	var down []rudderfork.VMID
	crashes := 0
	back := func(vm rudderfork.VMID) {
		w.register(vm, fmt.Sprintf("life-%s-%d", vm, crashes))
	}
	for range 12 {
		vm, ok := w.startAnywhere(k)
		if !ok {
			break
		}
		crashes++
		run := w.task(k).LastRun
		w.lose(vm, VMLoss{Crash: &Crash{Incarnation: w.s.VM(vm).Incarnation, Runs: []RunAge{ageOf(k, run, 0)}}})
		if down = append(down, vm); len(down) > away {
			back(down[0])
			down = down[1:]
		}
	}
	for _, vm := range down {
		back(vm)
	}
	assert.Assert(t, crashes <= mostCrashes, "%d executors crashed", crashes)
	assert.Equal(t, w.status("j1"), Failed)
}

// TestLateLossOfEarlierEpoch guards against a loss command that arrives after the VM has registered
// again.
func TestLateLossOfEarlierEpoch(t *testing.T) {
	w, _, _ := startTwo(t, one)
	epoch := w.s.VM("vm1").Epoch
	w.lose("vm1", VMLoss{Epoch: epoch})
	w.register("vm1", firstIncarnation)
	assert.Equal(t, w.lose("vm1", VMLoss{Epoch: epoch}).Code, Stale)
	assert.Assert(t, w.s.VM("vm1").Live)
}

// TestSpontaneousCrashesDoNotFailLastingJob guards against failing a lasting job for spontaneous
// crashes.
func TestSpontaneousCrashesDoNotFailLastingJob(t *testing.T) {
	lasting := one
	lasting.Lasting = true
	w := newFixture(t, 4)
	w.submit("feed", lasting)
	k := key("feed", 0, 0)
	for i := range 2 * MaxCrashes {
		for _, idle := range []rudderfork.VMID{"vm2", "vm3", "vm4"} {
			w.crash(idle, fmt.Sprintf("idle-%d", i))
		}
		run := w.start(k, "vm1")
		assert.Assert(t, run > 0, "not started after %d crashes: %+v", i, *w.task(k))
		w.crash("vm1", fmt.Sprintf("life-%d", i+2), ageOf(k, run, 5_000))
	}
	assert.Equal(t, w.status("feed"), Running)
}

// TestFirstCrashInDays guards against a division by 0 when a crash follows a long time without any,
// in which the base rate could be rounded to 0.
func TestFirstCrashInDays(t *testing.T) {
	w, bad, good := startTwo(t, one)
	w.s.base.addObserved((30 * 24 * time.Hour).Milliseconds(), 3_900)
	w.crash("vm2", "life-2")
	w.crash("vm1", "life-2", ageOf(bad, 1, 0), ageOf(good, 1, 300))
	assert.Assert(t, w.task(bad).Suspicion > w.task(good).Suspicion)
}

// TestCrashCountsOnceInBaseRate guards against counting one spontaneous crash twice.
func TestCrashCountsOnceInBaseRate(t *testing.T) {
	for name, outage := range map[string]func(w *fixture){
		"a crash": func(w *fixture) { w.crash("vm1", "life-2") },
		"a crash that was a loss first": func(w *fixture) {
			w.lose("vm1", VMLoss{Crash: &Crash{Incarnation: firstIncarnation}})
			w.crash("vm1", "life-2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 1)
			outage(w)
			assert.Equal(t, w.s.base.CrashesMilli, int64(1000))
		})
	}
}

// TestUnstableExecutorsDoNotFailJob guards against failing an innocent job because its executors
// crash by themselves.
func TestUnstableExecutorsDoNotFailJob(t *testing.T) {
	type crash struct {
		vm     rudderfork.VMID
		ageMS  int64
		status Status
	}
	for name, crashes := range map[string][]crash{
		"the same one twice, and another":   {{"vm1", 171, Running}, {"vm1", 298, Running}, {"vm2", 17, Running}},
		"one soon after the start, one not": {{"vm1", 10, Running}, {"vm2", 461, Running}},
		"never soon after the start":        {{"vm1", 150, Running}, {"vm2", 150, Running}, {"vm3", 150, Running}, {"vm4", 150, Running}},
		"always soon after the start":       {{"vm1", 10, Running}, {"vm2", 10, Failed}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, 4)
			w.submit("job", one)
			k := key("job", 0, 0)
			for i, c := range crashes {
				run := w.start(k, c.vm)
				w.crash(c.vm, fmt.Sprintf("life-%d", i+2), ageOf(k, run, c.ageMS))
				assert.Equal(t, w.status("job") == Failed, c.status == Failed, "after crash %d", i+1)
			}
		})
	}
}

// TestCrashHistory checks how much the crashes of a VM count, and for how long.
func TestCrashHistory(t *testing.T) {
	base := (&BaseRate{}).weight()
	h := CrashHistory{}
	assert.Equal(t, h.weight(base, 5_000), base)
	h.addCrash(1000, 5_000)
	soon, later := h.weight(base, 6_000), h.weight(base, 15_000)
	assert.Assert(t, soon > later && later > base, "%d, %d, %d", soon, later, base)
	assert.Equal(t, h.crashesMilli(15_000), int64(500))
	assert.Equal(t, h.crashesMilli(10_000), int64(750))
	assert.Equal(t, h.weight(base, 200_000), base)
	h.addCrash(1000, 6_500)
	assert.Assert(t, h.weight(base, 7_500) > soon, "repeated crashes count more")
	assert.Assert(t, h.weight(weightScale, 5_000) >= weightScale, "not below the base rate")
	h.addCrash(1000, 200_000)
	assert.Equal(t, h.SinceMS, int64(200_000), "old crashes no longer count")
}
