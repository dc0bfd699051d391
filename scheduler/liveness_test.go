package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/queue"
)

const (
	// mostPending is how long a lasting task may lack a start that the state accepts: the
	// users' 3 s.
	maxPendingTime = 3 * time.Second
	// longRun shows by far that a task does not crash what starts it.
	longRunTime = time.Minute
	// watched is for how long a fleet in which nothing happens any more is looked at.
	settledTime = 10 * time.Second
)

// assertStarted lets time pass in which nothing happens, and holds that no lasting task
// for which there is room on two VMs lacks an accepted start for too long.
func (s *simFleet) assertLastingTasksStart() {
	s.t.Helper()
	clear(s.pendingSince)
	refused := s.rejectedStarts
	for end := s.now.Add(settledTime); s.now.Before(end); {
		s.tick()
		for k, since := range s.pendingSince {
			st := s.qs.Job(k.Job).Spec.Steps[k.Step]
			assert.Assert(s.t, s.now.Sub(since) <= maxPendingTime || s.vmsWithRoom(st) < 2,
				"%s lacks a run for %v, and %d planned starts were not accepted; %+v", k, s.now.Sub(since), s.rejectedStarts-refused, *s.task(k))
		}
	}
}

// TestTaskOfPermanentlyLostVMsIsNotStarted has VMs lost under a task that never come back.
func TestTaskOfPermanentlyLostVMsIsNotStarted(t *testing.T) {
	k := queue.TaskKey{Job: "feed"}
	for _, c := range []struct {
		name string
		span time.Duration // that the task runs on each
	}{{"after long runs", longRunTime}, {"after short runs", 2 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimFleet(t, 2+queue.MostCrashes)
			s.submit("feed", lastingStep(1))
			for range queue.MostCrashes {
				s.advance(c.span)
				assert.Assert(t, s.isRunning(k))
				s.expireLease(s.vmOf(k))
			}
			s.assertLastingTasksStart()
			assert.Assert(t, s.isRunning(k))
		})
	}
	t.Run("though it has run for long since", func(t *testing.T) {
		s := newSimFleet(t, 2+queue.MostCrashes)
		s.submit("feed", lastingStep(1))
		for range queue.MostCrashes - 1 {
			s.advance(2 * time.Second)
			s.expireLease(s.vmOf(k))
		}
		s.advance(longRunTime)
		assert.Assert(t, s.isRunning(k))
		s.crash(s.vmOf(k), true)
		s.assertLastingTasksStart()
		s.advance(longRunTime)
		s.expireLease(s.vmOf(k))
		s.assertLastingTasksStart()
		assert.Assert(t, s.isRunning(k))
	})
}

// suspectFleet returns a fleet in which a task has crashed an executor, which has
// nothing to run any more, and all others have.
func newSuspectFleet(t *testing.T, vms int) (s *simFleet, k queue.TaskKey, on *simVM) {
	s, k = newSimFleet(t, vms), queue.TaskKey{Job: "suspect"}
	on = s.vms[0]
	for i, v := range s.vms[1:] {
		id := fmt.Sprintf("beside%d", i)
		s.submit(id, lastingStep(1))
		s.startOn(queue.TaskKey{Job: rudderfork.JobID(id)}, v)
	}
	s.advance(longRunTime)
	s.submit("suspect", lastingStep(1))
	s.startOn(k, on)
	s.executeOrders(on)
	s.crash(on, true)
	assert.Assert(t, s.task(k).Suspect())
	return s, k, on
}

// TestSuspectStaysOnVMThatDoesNotRunIt has the VM with least to run refuse a suspect, or
// keep it from its work.
func TestSuspectStaysOnVMThatDoesNotRunIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		health executorHealth
		span   time.Duration // for two starts in vain, and one elsewhere
	}{{"it refuses all", refusing, maxPendingTime}, {"tasks stand still there", stuck, settledTime}} {
		t.Run(c.name, func(t *testing.T) {
			s, k, bad := newSuspectFleet(t, 6)
			bad.health = c.health
			s.advance(c.span)
			assert.Assert(t, s.isRunning(k) && s.vmOf(k) != bad, "%d starts", s.task(k).LastRun)
		})
	}
}

// TestClockSkewOfLeaderDelaysSuspects has a leader whose clock is ahead be followed
// by one whose clock is right, while suspects wait for quarantine.
func TestClockSkewOfLeaderDelaysSuspects(t *testing.T) {
	const ahead = 5 * time.Second
	s := newSimFleet(t, 4)
	s.advance(longRunTime)
	s.changeLeader(ahead)
	for i := range 3 {
		s.submit(fmt.Sprintf("suspect%d", i), lastingStep(1))
		s.startOn(queue.TaskKey{Job: rudderfork.JobID(fmt.Sprintf("suspect%d", i))}, s.vms[0])
	}
	s.executeOrders(s.vms[0])
	s.crash(s.vms[0], true)
	s.changeLeader(0)
	for _, v := range s.vms {
		v.omitsRuns = true // no run is seen to begin, and quarantine stays full
	}
	s.assertLastingTasksStart()
}

// TestRepeatedCrashesOfOneVMFailLastingJobs has the executor of one VM crash, of many,
// whatever runs there.
func TestRepeatedCrashesOfOneVMFailLastingJobs(t *testing.T) {
	const crashes = 20
	for _, seen := range []bool{true, false} {
		for _, every := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("every %v, seen by its agent: %t", every, seen), func(t *testing.T) {
				s := newSimFleet(t, 8)
				for i := range s.vms {
					s.submit(fmt.Sprintf("feed%d", i), lastingStep(1))
				}
				s.advance(longRunTime)
				bad := s.vmOf(queue.TaskKey{Job: "feed0"})
				for range crashes {
					s.crash(bad, seen)
					s.advance(every)
				}
				failed := 0
				for _, j := range s.qs.Image().Jobs {
					if j.Status == queue.Failed {
						failed++
					}
				}
				assert.Equal(t, failed, 0, "of %d jobs, by one VM of %d", len(s.vms), len(s.vms))
			})
		}
	}
}

// TestTaskNeverReachesHealthyVM has a task tried by VMs that fail all they start, and are
// the emptiest therefore, with some sound ones beside them.
func TestTaskNeverReachesHealthyVM(t *testing.T) {
	const bad, good = 20, 4
	for _, c := range []struct {
		name   string
		health executorHealth
	}{{"failing", failing}, {"refusing", refusing}} {
		t.Run(c.name, func(t *testing.T) {
			s, k := newSimFleet(t, bad+good), queue.TaskKey{Job: "feed"}
			half := queue.Step{Count: 1, Lasting: true, Size: rudderfork.Resources{CPUMilli: 4_000, MemoryMB: 100}}
			for i, v := range s.vms[bad:] {
				id := fmt.Sprintf("beside%d", i)
				s.submit(id, half)
				s.startOn(queue.TaskKey{Job: rudderfork.JobID(id)}, v)
			}
			for _, v := range s.vms[:bad] {
				v.health = c.health
			}
			st := lastingStep(1)
			st.TailMS = 0
			s.submit("feed", st)
			s.advance(30 * time.Second)
			assert.Assert(t, s.isRunning(k) && s.vmOf(k).health == healthy, "%d starts", s.task(k).LastRun)
		})
	}
}

// event is what may happen to a fleet.
type fleetEvent string

const (
	executorCrash      fleetEvent = "crash"
	observedCrash      fleetEvent = "crash seen"
	leaseLoss          fleetEvent = "lost"
	vmReturn           fleetEvent = "back"
	vmReturnRestarted  fleetEvent = "back under another life"
	leaderChange       fleetEvent = "elected"
	leaderChangeSkewed fleetEvent = "elected, with another clock"
	healthChange       fleetEvent = "ailing"
	runFailure         fleetEvent = "failed"
	jobSubmission      fleetEvent = "handed in"
)

var fleetEvents = []fleetEvent{executorCrash, observedCrash, leaseLoss, vmReturn, vmReturnRestarted, leaderChange, leaderChangeSkewed, healthChange, runFailure, jobSubmission}

// drawnFleet is a fleet to which events happen at random.
type randomFleet struct {
	*simFleet
	rnd  *rand.Rand
	jobs int
}

func newRandomFleet(t *testing.T, seed uint64) *randomFleet {
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := &randomFleet{simFleet: newSimFleet(t, 4+rnd.IntN(9)), rnd: rnd}
	for range 2 + rnd.IntN(4) {
		s.submitJob()
	}
	return s
}

func (s *randomFleet) submitJob() {
	s.jobs++
	s.submit(fmt.Sprintf("j%03d", s.jobs), lastingStep(1+s.rnd.IntN(4)))
}

// draw returns a VM that is up, or down; nil if there is none.
func (s *randomFleet) pickVM(down bool) *simVM {
	var list []*simVM
	for _, v := range s.vms {
		if v.down == down {
			list = append(list, v)
		}
	}
	if len(list) == 0 || !down && len(list) < 3 {
		return nil
	}
	return list[s.rnd.IntN(len(list))]
}

func (s *randomFleet) applyEvent(e fleetEvent) {
	v := s.pickVM(e == vmReturn || e == vmReturnRestarted)
	if v == nil {
		return
	}
	switch e {
	case executorCrash, observedCrash:
		s.crash(v, e == observedCrash)
	case leaseLoss:
		s.expireLease(v)
	case vmReturnRestarted:
		v.incarnation++
		s.register(v, nil)
	case vmReturn:
		s.register(v, nil)
	case leaderChange:
		s.changeLeader(s.clockSkew)
	case leaderChangeSkewed:
		s.changeLeader(time.Duration(s.rnd.IntN(11)-5) * time.Second)
	case healthChange:
		v.health = executorHealth(s.rnd.IntN(4))
	case runFailure:
		s.failOne(v)
	case jobSubmission:
		s.submitJob()
	}
}

// failOne has one of a VM's runs end as failed.
func (s *randomFleet) failOne(v *simVM) {
	var ends []queue.End
	for k, number := range s.qs.VM(v.id).Runs() {
		ends = append(ends, queue.End{Task: k, Run: number, How: queue.EndFailed})
	}
	slices.SortFunc(ends, func(a, b queue.End) int { return a.Task.Compare(b.Task) })
	s.reportEnds(v, ends[:min(1, len(ends))]...)
}

// drawnEvents is how many events a drawn history has.
const eventsPerHistory = 60

// TestLastingTaskNotRestartedAfterFaults draws what happens to a fleet in which every VM that was
// lost comes back in the end.
func TestLastingTaskNotRestartedAfterFaults(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newRandomFleet(t, seed)
			for range eventsPerHistory {
				s.applyEvent(fleetEvents[s.rnd.IntN(len(fleetEvents))])
				s.advance(time.Duration(s.rnd.IntN(10)) * simPlanInterval)
			}
			for _, v := range s.vms {
				v.health = healthy
				if v.down {
					v.incarnation++
					s.register(v, nil)
				}
			}
			s.assertLastingTasksStart()
		})
	}
}

// TestPlannerStateChangesPlans holds the plans of a leader's planner, over a drawn
// history, against those of one that has read nothing before.
func TestPlannerStateChangesPlans(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newRandomFleet(t, seed)
			for range eventsPerHistory {
				s.applyEvent(fleetEvents[s.rnd.IntN(len(fleetEvents))])
				for range s.rnd.IntN(6) {
					view := s.fleet.view(s.qs, s.leaderTime())
					assert.DeepEqual(t, s.fleet.planner.Plan(s.qs, view), dispatch.PlanOnce(s.qs, view))
					s.tick()
				}
			}
		})
	}
}

// TestServingTaskNotStartedAfterIdleQueue has a queue of fillers rest for a day, and a
// serving task be handed in.
func TestServingTaskNotStartedAfterIdleQueue(t *testing.T) {
	s := newSimFleet(t, 2)
	filler := queue.Step{Count: 1, Size: rudderfork.Resources{CPUMilli: 500, MemoryMB: 100}, Filler: true, Image: "f", ExpectedMS: 500}
	for i := range 2 {
		s.fleet.worktimes.Observe("q", queue.StepKey{Job: "done"}, &filler, 200, s.now.Add(time.Duration(i-1)*24*time.Hour))
	}
	s.submit("filler", filler)
	s.submit("feed", lastingStep(2))
	s.assertLastingTasksStart()
}

// TestNewTaskPlacedOnCrashingVM has all VMs hold work but the one whose
// executor crashes.
func TestNewTaskPlacedOnCrashingVM(t *testing.T) {
	for _, c := range []struct {
		crashes int
		avoided bool
	}{{0, false}, {1, false}, {2, true}, {4, true}} {
		t.Run(fmt.Sprintf("after %d crashes", c.crashes), func(t *testing.T) {
			s := newSimFleet(t, 4)
			bad := s.vms[0]
			plain := lastingStep(1)
			plain.TailMS = 0
			for i, v := range s.vms[1:] {
				id := fmt.Sprintf("beside%d", i)
				s.submit(id, plain)
				s.startOn(queue.TaskKey{Job: rudderfork.JobID(id)}, v)
			}
			for range c.crashes {
				s.crash(bad, true)
				s.advance(time.Second)
			}
			s.submit("new", plain)
			s.tick()
			assert.Equal(t, s.vmOf(queue.TaskKey{Job: "new"}) != bad, c.avoided)
		})
	}
}

// TestOutageCountedTwice guards against a VM that is in doubt for one crash, found as a loss first.
func TestOutageCountedTwice(t *testing.T) {
	lose := func(s *simFleet, v *simVM) { s.expireLease(v) }
	again := func(s *simFleet, v *simVM) { s.register(v, nil) }
	anew := func(s *simFleet, v *simVM) { s.crash(v, true) }
	for name, c := range map[string]struct {
		outages []func(*simFleet, *simVM)
		doubted bool
	}{
		"silent, and back in its life":                         {[]func(*simFleet, *simVM){lose, again}, false},
		"silent, and back in another one":                      {[]func(*simFleet, *simVM){lose, anew}, false},
		"silent and back in its life, and crashed":             {[]func(*simFleet, *simVM){lose, again, anew}, true},
		"silent and back in another one, twice":                {[]func(*simFleet, *simVM){lose, anew, lose, anew}, true},
		"silent and back in another one, and silent once more": {[]func(*simFleet, *simVM){lose, anew, lose, again}, true},
		"crashed twice": {[]func(*simFleet, *simVM){anew, anew}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimFleet(t, 1)
			v := s.vms[0]
			for _, outage := range c.outages {
				outage(s, v)
				s.tick()
			}
			assert.Equal(t, s.fleet.vm(v.id).failureScore(s.now) > 0, c.doubted)
		})
	}
}

// TestTaskReturnsToSilentVM has the only idle VM fall silent under a task, and come back.
func TestTaskReturnsToSilentVM(t *testing.T) {
	s, k := newSimFleet(t, 4), queue.TaskKey{Job: "feed"}
	plain := lastingStep(1)
	plain.TailMS = 0
	for i, v := range s.vms[1:] {
		id := fmt.Sprintf("beside%d", i)
		s.submit(id, plain)
		s.startOn(queue.TaskKey{Job: rudderfork.JobID(id)}, v)
	}
	s.submit("feed", plain)
	s.tick()
	silent := s.vmOf(k)
	assert.Equal(t, silent, s.vms[0])
	s.expireLease(silent)
	s.register(silent, nil)
	s.tick()
	assert.Assert(t, s.vmOf(k) != silent, "it is placed there again")
}

// TestLateTaskFailureBlamedOnVM tells tasks that fail by themselves from VMs that
// fail what they start.
func TestLateTaskFailureBlamedOnVM(t *testing.T) {
	for _, c := range []struct {
		name  string
		span  time.Duration
		there bool // it is started there again
	}{{"long at work", longRunTime, true}, {"just begun", simStartupTime / 2, false}} {
		t.Run(c.name, func(t *testing.T) {
			s, k := newSimFleet(t, 4), queue.TaskKey{Job: "feed"}
			s.submit("feed", lastingStep(1))
			s.advance(c.span)
			on, run := s.vmOf(k), s.task(k).LastRun
			s.fleet.recordEnd(on.id, queue.End{Task: k, Run: run, How: queue.EndFailed}, s.leaderTime())
			s.apply(queue.Command{Ends: &queue.Ends{VM: on.id, Incarnation: on.incarnationName(), List: []queue.End{{Task: k, Run: run, How: queue.EndFailed}}}})
			s.plan()
			assert.Equal(t, s.vmOf(k) == on, c.there)
		})
	}
}
