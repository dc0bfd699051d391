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
	// settleTime is how long after the last fault an active run may be idle.
	settleTime = 6 * time.Second
	// liveFaultSteps and liveCalmSteps are 20 s and 16 s.
	liveFaultSteps = 1000
	liveCalmSteps  = 800
	probeStep      = 350 // step of the calm phase at which each VM is given a task
	probeTimeout   = 3 * time.Second
	liveVMs        = 3
	liveTasks      = 4 // of the job with lasting tasks
	failingTasks   = 2 // of another job, whose runs fail

	// seedsPerGivenUp bounds how often the lasting job is given up because executors crash under
	// it: in one schedule out of this many. It happens in 4 of 1,500.
	seedsPerGivenUp = 200
)

var livenessSeeds = flag.Uint64("liveness.seeds", 50, "schedules of TestEveryRunStartsOrEnds")

// livenessSimulation is a simulation whose active runs must all start or end.
type livenessSimulation struct {
	*simulation
	faults      faultRates
	lastRunning map[queue.RunKey]time.Time // when an active run was last seen at work
	longestIdle time.Duration
}

// faultRates sets how often faults occur that simulation itself does not inject. Each field is the
// mean number of polls, or of steps for capacityChanges, per fault; 0 means none.
type faultRates struct{ staleIncarnations, partialStatuses, capacityChanges int }

func newLivenessSimulation(t *testing.T, seed uint64, faults faultRates) *livenessSimulation {
	l := &livenessSimulation{simulation: newSimulation(t, seed, liveVMs), faults: faults, lastRunning: map[queue.RunKey]time.Time{}}
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

// useSlowExecutors installs executors that take some time to stop runs, and delay calls for
// seconds.
func (l *livenessSimulation) useSlowExecutors() {
	for _, v := range l.vms {
		v.exec = executor.New(v.nextIncarnation(), executor.Config{
			Now: func() time.Time { return l.now }, ClockRate: 1 - 0.02*l.rng.Float64(), StopTime: stopLimit, Delivery: v.delivery,
			Delay: func(string) time.Duration {
				return minDelay + time.Duration(l.rng.Int64N(int64(maxDelay-minDelay)))
			},
			OnStart:  func(r rudderfork.RunRef) { l.recordStart(v, r) },
			OnFinish: func(r rudderfork.RunRef, outcome string) { l.recordEnd(v, r, outcome) },
		})
		v.restartAgent()
	}
}

func (l *livenessSimulation) submit(id, payload string, st queue.Step) {
	spec := queue.Spec{Payload: payload, Steps: []queue.Step{st}}
	res := l.apply(queue.Command{Submit: &queue.Submit{Host: host, Path: "/q/" + id, Spec: spec, KeepMS: 1 << 40}})
	assert.Equal(l.t, res.Code, queue.OK)
}

// corruptStatus makes some polls fail as if another incarnation had answered, and makes some
// statuses partial.
func (l *livenessSimulation) corruptStatus(status *rudderfork.ExecutorStatus) error {
	if !l.faulty {
		return nil
	}
	if l.oneIn(l.faults.staleIncarnations) {
		return rudderfork.ErrStaleIncarnation
	}
	if l.oneIn(l.faults.partialStatuses) {
		status.Partial = true
		status.Running = status.Running[:len(status.Running)/2]
	}
	return nil
}

// oneIn reports true once in n calls on average, and never for 0.
func (l *livenessSimulation) oneIn(n int) bool { return n > 0 && l.rng.IntN(n) == 0 }

// changeCapacity may change the reported capacity of a VM.
func (l *livenessSimulation) changeCapacity() {
	if l.faulty && l.oneIn(l.faults.capacityChanges) {
		v := l.vms[l.rng.IntN(len(l.vms))]
		v.reportedCapacity = int64(l.rng.IntN(5)) * 500
		v.reconciler.SetCapacity(rudderfork.Resources{CPUMilli: v.reportedCapacity})
	}
}

// checkActiveRuns checks that no active run is idle for longer than settleTime after calmAt, the
// time of the last fault.
func (l *livenessSimulation) checkActiveRuns(calmAt time.Time) {
	for _, v := range l.vms {
		vm := l.state.VM(v.id)
		if vm == nil {
			continue
		}
		running := map[rudderfork.RunRef]bool{}
		for _, ref := range v.exec.Running() {
			running[ref] = true
		}
		for k, n := range vm.Runs() {
			run := k.Run(n)
			if at, known := l.lastRunning[run]; running[k.Ref(n)] || !known || at.Before(calmAt) {
				l.lastRunning[run] = l.now
			}
			idle := l.now.Sub(l.lastRunning[run])
			l.longestIdle = max(l.longestIdle, idle)
			assert.Assert(l.t, idle <= settleTime, "%v: %v run %d is active on %s and idle for %v", l.now, k, n, v.id, idle)
		}
	}
}

// run runs a phase with faults and then a calm one.
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

// checkRecovered checks that each lasting task is at work, and that each VM has run a task of the
// probe. The lasting job may be given up as the platform's documentation allows, see givenUp.
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
		_, atWork := l.running[rudderfork.TaskID(fmt.Sprintf("feed.0.0.%d", i))]
		assert.Assert(l.t, atWork, "feed task %d is not at work", i)
	}
	return false
}

// TestEveryRunStartsOrEnds guards against runs that stay active at the leader and are started by
// no executor.
func TestEveryRunStartsOrEnds(t *testing.T) {
	t.Run("as in TestModel", func(t *testing.T) { checkLiveness(t, faultRates{}) })
	t.Run("capacities change, statuses are partial", func(t *testing.T) { checkLiveness(t, faultRates{partialStatuses: 10, capacityChanges: 40}) })
}

// TestRunsStartAfterIncarnationIsRecognizedAgain guards against runs that never start because an
// agent drops its orders when it gives up an incarnation by mistake, and the leader does not resend
// them.
func TestRunsStartAfterIncarnationIsRecognizedAgain(t *testing.T) {
	checkLiveness(t, faultRates{staleIncarnations: 300})
}

func checkLiveness(t *testing.T, faults faultRates) {
	t.Helper()
	longestIdle, givenUp := time.Duration(0), uint64(0)
	for seed := range *livenessSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l := newLivenessSimulation(t, seed, faults)
			l.run()
			if l.checkRecovered() {
				givenUp++
			}
			longestIdle = max(longestIdle, l.longestIdle)
		})
	}
	t.Logf("an active run was idle for %v at most", longestIdle)
	assert.Assert(t, givenUp <= 1+*livenessSeeds/seedsPerGivenUp, "%d jobs were given up", givenUp)
}
