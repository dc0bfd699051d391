package runs_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/standin/executor"
)

const (
	// settleTime is how long after the last fault a run may be active without being at
	// work, and a task without a run.
	settleTime = 6 * time.Second
	// liveFaultSteps and liveCalmSteps are 20 s and 16 s.
	liveFaultSteps = 1000
	liveCalmSteps  = 800
	probeStep      = 350 // of the calm ones, at which each VM is given a task
	probeTimeout      = 3 * time.Second
	liveVMs        = 3
	liveTasks      = 4 // of the lasting job
	failingTasks   = 2 // of another, whose runs fail

	// seedsPerGivenUp is how many schedules there may be for each in which the lasting job
	// is given up for the executors that crash under it. (4 of 1,500 are.)
	seedsPerGivenUp = 200
)

var livenessSeeds = flag.Uint64("liveness.seeds", 50, "schedules of TestEveryRunBeginsOrEnds")

// livenessSimulation is a site that must carry out all that its state says.
type livenessSimulation struct {
	*simulation
	faults      faultRates
	lastRunning map[queue.RunKey]time.Time
	longestIdle    time.Duration
}

// faultRates are the faults of liveSite beside those of site; each is the number of
// looks, or steps, among which there is one.
type faultRates struct{ staleIncarnations, partialStatuses, capacityChanges int }

func newLivenessSimulation(t *testing.T, seed uint64, odd faultRates) *livenessSimulation {
	l := &livenessSimulation{simulation: newSimulation(t, seed, liveVMs), faults: odd, lastRunning: map[queue.RunKey]time.Time{}}
	l.faulty, l.sameIDs = true, seed%2 == 0
	if seed%3 > 0 {
		l.leaseLength, l.callTimeout, l.pollSteps = maxLease, callTimeout, pollSteps
	}
	if seed%5 == 0 {
		l.useSlowExecutors()
	}
	l.onPoll = l.corruptStatus
	l.submit("feed", "", queue.Step{Count: liveTasks, Size: rudderfork.Resources{CPUMilli: 250}, Lasting: true})
	l.submit("broken", "work=700ms fail", queue.Step{Count: failingTasks, Size: rudderfork.Resources{CPUMilli: 250}, Lasting: true})
	return l
}

// useSlowExecutors has executors take their time to stop runs, and hold back calls for
// seconds.
func (l *livenessSimulation) useSlowExecutors() {
	for _, v := range l.vms {
		v.exec = executor.New(v.nextIncarnation(), executor.Config{
			Now: func() time.Time { return l.now }, Rate: 1 - 0.02*l.rng.Float64(), StopTime: stopLimit, Fate: v.fate,
			Delay: func(string) time.Duration {
				return minDelay + time.Duration(l.rng.Int64N(int64(maxDelay-minDelay)))
			},
			OnStart:  func(r rudderfork.RunRef) { l.recordStart(v, r) },
			OnFinish: func(r rudderfork.RunRef, how string) { l.recordEnd(v, r, how) },
		})
		v.restartAgent()
	}
}

func (l *livenessSimulation) submit(id, payload string, st queue.Step) {
	spec := queue.Spec{Payload: payload, Steps: []queue.Step{st}}
	res := l.apply(queue.Command{Submit: &queue.Submit{Host: host, Path: "/q/" + id, Spec: spec, KeepMS: 1 << 40}})
	assert.Equal(l.t, res.Code, queue.OK)
}

// corruptStatus makes accounts another life's, or partial.
func (l *livenessSimulation) corruptStatus(look *rudderfork.ExecutorStatus) error {
	if !l.faulty {
		return nil
	}
	if l.oneIn(l.faults.staleIncarnations) {
		return rudderfork.ErrStaleIncarnation
	}
	if l.oneIn(l.faults.partialStatuses) {
		look.Partial = true
		look.Running = look.Running[:len(look.Running)/2]
	}
	return nil
}

// oneIn reports whether this is oneIn of so many; 0 means that none is.
func (l *livenessSimulation) oneIn(of int) bool { return of > 0 && l.rng.IntN(of) == 0 }

// changeCapacity changes the room of a VM now and then; its executor tells at once.
func (l *livenessSimulation) changeCapacity() {
	if l.faulty && l.oneIn(l.faults.capacityChanges) {
		v := l.vms[l.rng.IntN(len(l.vms))]
		v.reportedCapacity = int64(l.rng.IntN(5)) * 500
		v.reconciler.SetCapacity(rudderfork.Resources{CPUMilli: v.reportedCapacity})
	}
}

// checkActiveRuns notes which active runs are at work, and holds that all are that have been
// active for long.
func (l *livenessSimulation) checkActiveRuns(calmAt time.Time) {
	for _, v := range l.vms {
		vm := l.state.VM(v.id)
		if vm == nil {
			continue
		}
		working := map[rudderfork.RunRef]bool{}
		for _, ref := range v.exec.Running() {
			working[ref] = true
		}
		for k, n := range vm.Runs() {
			run := k.Run(n)
			if at, known := l.lastRunning[run]; working[k.Ref(n)] || !known || at.Before(calmAt) {
				l.lastRunning[run] = l.now
			}
			idle := l.now.Sub(l.lastRunning[run])
			l.longestIdle = max(l.longestIdle, idle)
			assert.Assert(l.t, idle <= settleTime, "%v: %v run %d is active on %s, and not at work for %v", l.now, k, n, v.id, idle)
		}
	}
}

// run has faults happen, and then none.
func (l *livenessSimulation) run() {
	n := 0
	for ; n < liveFaultSteps; n++ {
		l.changeCapacity()
		l.step(n)
	}
	l.faulty = false
	calmAt := l.now
	for _, v := range l.vms {
		v.exec.Flush()
		v.frozenSteps, v.cutSteps = 0, 0
		v.reportedCapacity = v.capacity
		v.reconciler.SetCapacity(rudderfork.Resources{CPUMilli: v.reportedCapacity})
	}
	for i := range liveCalmSteps {
		if i == probeStep {
			l.submit("probe", "work=20ms", queue.Step{Count: liveVMs, MaxPerVM: 1, Size: rudderfork.Resources{CPUMilli: 250}})
		}
		l.step(n + i)
		l.checkActiveRuns(calmAt)
	}
}

// checkRecovered holds that each lasting task is at work, and that each VM took a start. Tasks
// may be given up in keeping with the users' pages.
func (l *livenessSimulation) checkRecovered() (givenUp bool) {
	l.t.Helper()
	j := l.state.Job("probe")
	assert.Equal(l.t, j.Status, queue.Completed)
	took := rudderfork.FromMillis(j.EndedAt).Sub(rudderfork.FromMillis(j.SubmittedAt))
	assert.Assert(l.t, took <= probeTimeout, "the probe took %v", took)
	if l.givenUp(l.state.Job("feed")) {
		return true
	}
	for i := range liveTasks {
		_, there := l.running[rudderfork.TaskID(fmt.Sprintf("feed.0.0.%d", i))]
		assert.Assert(l.t, there, "feed task %d is not at work", i)
	}
	return false
}

// TestEveryRunBeginsOrEnds guards against runs that the leader holds for active and no executor begins.
func TestEveryRunBeginsOrEnds(t *testing.T) {
	t.Run("as in TestModel", func(t *testing.T) { checkLiveness(t, faultRates{}) })
	t.Run("rooms change, accounts are partial", func(t *testing.T) { checkLiveness(t, faultRates{partialStatuses: 10, capacityChanges: 40}) })
}

// TestRunsOfLifeTakenUpAgainNeverBegin guards against an agent that has forgotten its orders, and a leader that has not.
func TestRunsOfLifeTakenUpAgainNeverBegin(t *testing.T) { checkLiveness(t, faultRates{staleIncarnations: 300}) }

func checkLiveness(t *testing.T, odd faultRates) {
	t.Helper()
	worst, givenUp := time.Duration(0), uint64(0)
	for seed := range *livenessSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l := newLivenessSimulation(t, seed, odd)
			l.run()
			if l.checkRecovered() {
				givenUp++
			}
			worst = max(worst, l.longestIdle)
		})
	}
	t.Logf("an active run was without work for %v at most", worst)
	assert.Assert(t, givenUp <= 1+*livenessSeeds/seedsPerGivenUp, "%d jobs were given up", givenUp)
}
