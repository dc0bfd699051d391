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
	probeSpan      = 3 * time.Second
	liveVMs        = 3
	liveTasks      = 4 // of the lasting job
	failingTasks   = 2 // of another, whose runs fail

	// feedsAGivenUp is how many schedules there may be for each in which the lasting job
	// is given up for the executors that crash under it. (4 of 1,500 are.)
	feedsAGivenUp = 200
)

var livenessSeeds = flag.Uint64("liveness.seeds", 50, "schedules of TestEveryRunBeginsOrEnds")

// liveSite is a site that must carry out all that its state says.
type liveSite struct {
	*site
	odd      oddities
	lastWork map[queue.RunKey]time.Time
	worst    time.Duration
}

// oddities are the faults of liveSite beside those of site; each is the number of
// looks, or steps, among which there is one.
type oddities struct{ misleads, partials, rooms int }

func newLiveSite(t *testing.T, seed uint64, odd oddities) *liveSite {
	l := &liveSite{site: newSite(t, seed, liveVMs), odd: odd, lastWork: map[queue.RunKey]time.Time{}}
	l.faulty, l.sameIDs = true, seed%2 == 0
	if seed%3 > 0 {
		l.lease, l.patience, l.lookSteps = longLease, callTimeout, lookSteps
	}
	if seed%5 == 0 {
		l.replaceExecutors()
	}
	l.onLook = l.misread
	l.submit("feed", "", queue.Step{Count: liveTasks, Size: rudderfork.Resources{CPUMilli: 250}, Lasting: true})
	l.submit("broken", "work=700ms fail", queue.Step{Count: failingTasks, Size: rudderfork.Resources{CPUMilli: 250}, Lasting: true})
	return l
}

// replaceExecutors has executors take their time to stop runs, and hold back calls for
// seconds.
func (l *liveSite) replaceExecutors() {
	for _, v := range l.vms {
		v.exec = executor.New(v.nextLife(), executor.Config{
			Now: func() time.Time { return l.now }, Rate: 1 - 0.02*l.rng.Float64(), StopTime: stopLimit, Fate: v.fate,
			Delay: func(string) time.Duration {
				return leastDelay + time.Duration(l.rng.Int64N(int64(mostDelay-leastDelay)))
			},
			OnStart:  func(r rudderfork.RunRef) { l.began(v, r) },
			OnFinish: func(r rudderfork.RunRef, how string) { l.finished(v, r, how) },
		})
		v.restartAgent()
	}
}

func (l *liveSite) submit(id, payload string, st queue.Step) {
	spec := queue.Spec{Payload: payload, Steps: []queue.Step{st}}
	res := l.apply(queue.Command{Submit: &queue.Submit{Host: host, Path: "/q/" + id, Spec: spec, KeepMS: 1 << 40}})
	assert.Equal(l.t, res.Code, queue.OK)
}

// misread makes accounts another life's, or partial.
func (l *liveSite) misread(look *rudderfork.ExecutorStatus) error {
	if !l.faulty {
		return nil
	}
	if l.one(l.odd.misleads) {
		return rudderfork.ErrStaleIncarnation
	}
	if l.one(l.odd.partials) {
		look.Partial = true
		look.Running = look.Running[:len(look.Running)/2]
	}
	return nil
}

// one reports whether this is one of so many; 0 means that none is.
func (l *liveSite) one(of int) bool { return of > 0 && l.rng.IntN(of) == 0 }

// changeRooms changes the room of a VM now and then; its executor tells at once.
func (l *liveSite) changeRooms() {
	if l.faulty && l.one(l.odd.rooms) {
		v := l.vms[l.rng.IntN(len(l.vms))]
		v.told = int64(l.rng.IntN(5)) * 500
		v.keeper.SetCapacity(rudderfork.Resources{CPUMilli: v.told})
	}
}

// watch notes which active runs are at work, and holds that all are that have been
// active for long.
func (l *liveSite) watch(calmAt time.Time) {
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
			if at, known := l.lastWork[run]; working[k.Ref(n)] || !known || at.Before(calmAt) {
				l.lastWork[run] = l.now
			}
			idle := l.now.Sub(l.lastWork[run])
			l.worst = max(l.worst, idle)
			assert.Assert(l.t, idle <= settleTime, "%v: %v run %d is active on %s, and not at work for %v", l.now, k, n, v.id, idle)
		}
	}
}

// play has faults happen, and then none.
func (l *liveSite) play() {
	n := 0
	for ; n < liveFaultSteps; n++ {
		l.changeRooms()
		l.step(n)
	}
	l.faulty = false
	calmAt := l.now
	for _, v := range l.vms {
		v.exec.Flush()
		v.frozen, v.cut = 0, 0
		v.told = v.room
		v.keeper.SetCapacity(rudderfork.Resources{CPUMilli: v.told})
	}
	for i := range liveCalmSteps {
		if i == probeStep {
			l.submit("probe", "work=20ms", queue.Step{Count: liveVMs, MaxPerVM: 1, Size: rudderfork.Resources{CPUMilli: 250}})
		}
		l.step(n + i)
		l.watch(calmAt)
	}
}

// checkWhole holds that each lasting task is at work, and that each VM took a start. Tasks
// may be given up in keeping with the users' pages.
func (l *liveSite) checkWhole() (givenUp bool) {
	l.t.Helper()
	j := l.state.Job("probe")
	assert.Equal(l.t, j.Status, queue.Completed)
	took := rudderfork.FromMillis(j.EndedAt).Sub(rudderfork.FromMillis(j.SubmittedAt))
	assert.Assert(l.t, took <= probeSpan, "the probe took %v", took)
	if l.givenUp(l.state.Job("feed")) {
		return true
	}
	for i := range liveTasks {
		_, there := l.active[rudderfork.TaskID(fmt.Sprintf("feed.0.0.%d", i))]
		assert.Assert(l.t, there, "feed task %d is not at work", i)
	}
	return false
}

// TestEveryRunBeginsOrEnds guards against runs that the leader holds for active and no executor begins.
func TestEveryRunBeginsOrEnds(t *testing.T) {
	t.Run("as in TestModel", func(t *testing.T) { drawLiveSites(t, oddities{}) })
	t.Run("rooms change, accounts are partial", func(t *testing.T) { drawLiveSites(t, oddities{partials: 10, rooms: 40}) })
}

// TestRunsOfLifeTakenUpAgainNeverBegin guards against an agent that has forgotten its orders, and a leader that has not.
func TestRunsOfLifeTakenUpAgainNeverBegin(t *testing.T) { drawLiveSites(t, oddities{misleads: 300}) }

func drawLiveSites(t *testing.T, odd oddities) {
	t.Helper()
	worst, givenUp := time.Duration(0), uint64(0)
	for seed := range *livenessSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l := newLiveSite(t, seed, odd)
			l.play()
			if l.checkWhole() {
				givenUp++
			}
			worst = max(worst, l.worst)
		})
	}
	t.Logf("an active run was without work for %v at most", worst)
	assert.Assert(t, givenUp <= 1+*livenessSeeds/feedsAGivenUp, "%d jobs were given up", givenUp)
}
