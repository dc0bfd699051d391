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
	// maxPendingTime is how long a lasting task may be without a run. It is the users' limit.
	maxPendingTime = 3 * time.Second
	// longRunTime is far longer than a task must run to show that it does not crash its executor.
	longRunTime = time.Minute
	// settledTime is how long a fleet is simulated after its last event.
	settledTime = 10 * time.Second
)

// assertLastingTasksStart advances the time by settledTime without events, and checks that no
// lasting task is without a run for longer than maxPendingTime while at least two VMs have free
// capacity for it.
func (s *simFleet) assertLastingTasksStart() {
	s.t.Helper()
	clear(s.pendingSince)
	rejectedBefore := s.rejectedStarts
	for end := s.now.Add(settledTime); s.now.Before(end); {
		s.tick()
		for k, since := range s.pendingSince {
			step := s.qs.Job(k.Job).Spec.Steps[k.Step]
			assert.Assert(s.t, s.now.Sub(since) <= maxPendingTime || s.vmsWithCapacity(step) < 2,
				"%s has been without a run for %v, and %d planned starts were not accepted; task: %+v", k, s.now.Sub(since), s.rejectedStarts-rejectedBefore, *s.task(k))
		}
	}
}

// TestTaskOfPermanentlyLostVMsIsNotStarted guards against a lasting task that is not started again
// after MaxCrashes of its VMs were lost and never returned.
func TestTaskOfPermanentlyLostVMsIsNotStarted(t *testing.T) {
	k := queue.TaskKey{Job: "feed"}
	for _, c := range []struct {
		name     string
		duration time.Duration // how long the task runs on each VM
	}{{"after long runs", longRunTime}, {"after short runs", 2 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimFleet(t, 2+queue.MaxCrashes)
			s.submit("feed", lastingStep(1))
			for range queue.MaxCrashes {
				s.advance(c.duration)
				assert.Assert(t, s.isRunning(k))
				s.expireLease(s.vmOf(k))
			}
			s.assertLastingTasksStart()
			assert.Assert(t, s.isRunning(k))
		})
	}
	t.Run("after a long run that followed the losses", func(t *testing.T) {
		s := newSimFleet(t, 2+queue.MaxCrashes)
		s.submit("feed", lastingStep(1))
		for range queue.MaxCrashes - 1 {
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

// newSuspectFleet returns a fleet in which task k is suspect after a crash of the executor of VM
// on. That VM runs nothing else; each other VM runs one task.
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

// TestSuspectStaysOnVMThatDoesNotRunIt guards against a suspect that is started again and again on
// the VM with the fewest runs, although that VM refuses it or makes no progress with it.
func TestSuspectStaysOnVMThatDoesNotRunIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		health executorHealth
		span   time.Duration // enough for two unsuccessful starts and one elsewhere
	}{{"the VM refuses all starts", refusing, maxPendingTime}, {"tasks make no progress on the VM", stuck, settledTime}} {
		t.Run(c.name, func(t *testing.T) {
			s, k, bad := newSuspectFleet(t, 6)
			bad.health = c.health
			s.advance(c.span)
			assert.Assert(t, s.isRunning(k) && s.vmOf(k) != bad, "not running elsewhere after %d starts", s.task(k).LastRun)
		})
	}
}

// TestClockSkewOfLeaderDelaysSuspects guards against suspects that wait too long for a quarantine
// place after a change of leader: the clock of the earlier leader was ahead, so for the new one their
// last runs end in the future.
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
		v.omitsRuns = true // no run is reported, so no quarantine ends
	}
	s.assertLastingTasksStart()
}

// TestRepeatedCrashesOfOneVMFailLastingJobs guards against jobs that fail because their tasks were
// placed on a VM whose executor crashes repeatedly, whatever it runs.
func TestRepeatedCrashesOfOneVMFailLastingJobs(t *testing.T) {
	const crashes = 20
	for _, reported := range []bool{true, false} {
		for _, every := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("every %v, reported by its agent: %t", every, reported), func(t *testing.T) {
				s := newSimFleet(t, 8)
				for i := range s.vms {
					s.submit(fmt.Sprintf("feed%d", i), lastingStep(1))
				}
				s.advance(longRunTime)
				bad := s.vmOf(queue.TaskKey{Job: "feed0"})
				for range crashes {
					s.crash(bad, reported)
					s.advance(every)
				}
				failed := 0
				for _, j := range s.qs.Snapshot().Jobs {
					if j.Status == queue.Failed {
						failed++
					}
				}
				assert.Equal(t, failed, 0, "number of failed jobs, of %d, with one crashing VM of %d", len(s.vms), len(s.vms))
			})
		}
	}
}

// TestTaskNeverReachesHealthyVM guards against a task that is started only on unhealthy VMs. All runs
// fail or are refused there, so these VMs are always the least loaded.
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
			step := lastingStep(1)
			step.TailMS = 0
			s.submit("feed", step)
			s.advance(30 * time.Second)
			assert.Assert(t, s.isRunning(k) && s.vmOf(k).health == healthy, "not running on a healthy VM after %d starts", s.task(k).LastRun)
		})
	}
}

// fleetEvent is a kind of event in a random sequence of events.
type fleetEvent string

const (
	executorCrash      fleetEvent = "crash"
	observedCrash      fleetEvent = "crash reported by the agent"
	leaseLoss          fleetEvent = "lease expired"
	vmReturn           fleetEvent = "VM returned"
	vmReturnRestarted  fleetEvent = "VM returned in a new incarnation"
	leaderChange       fleetEvent = "new leader"
	leaderChangeSkewed fleetEvent = "new leader with another clock"
	healthChange       fleetEvent = "executor health changed"
	runFailure         fleetEvent = "run failed"
	jobSubmission      fleetEvent = "job submitted"
)

var fleetEvents = []fleetEvent{executorCrash, observedCrash, leaseLoss, vmReturn, vmReturnRestarted, leaderChange, leaderChangeSkewed, healthChange, runFailure, jobSubmission}

// randomFleet is a simulated fleet with random events.
type randomFleet struct {
	*simFleet
	rng  *rand.Rand
	jobs int
}

func newRandomFleet(t *testing.T, seed uint64) *randomFleet {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := &randomFleet{simFleet: newSimFleet(t, 4+rng.IntN(9)), rng: rng}
	for range 2 + rng.IntN(4) {
		s.submitJob()
	}
	return s
}

func (s *randomFleet) submitJob() {
	s.jobs++
	s.submit(fmt.Sprintf("j%03d", s.jobs), lastingStep(1+s.rng.IntN(4)))
}

// pickVM returns a random VM that is up, or down. It returns nil if there is none, or if fewer
// than three are up.
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
	return list[s.rng.IntN(len(list))]
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
		s.changeLeader(time.Duration(s.rng.IntN(11)-5) * time.Second)
	case healthChange:
		v.health = executorHealth(s.rng.IntN(4))
	case runFailure:
		s.failOne(v)
	case jobSubmission:
		s.submitJob()
	}
}

// failOne reports the first of a VM's runs as failed.
func (s *randomFleet) failOne(v *simVM) {
	var ends []queue.End
	for k, number := range s.qs.VM(v.id).Runs() {
		ends = append(ends, queue.End{Task: k, Run: number, Outcome: queue.OutcomeFailed})
	}
	slices.SortFunc(ends, func(a, b queue.End) int { return a.Task.Compare(b.Task) })
	s.reportEnds(v, ends[:min(1, len(ends))]...)
}

// eventsPerHistory is the number of events in a random sequence of events.
const eventsPerHistory = 60

// TestLastingTaskNotRestartedAfterFaults guards against lasting tasks that stay without a run after a
// random sequence of faults, although all VMs have returned and are healthy.
func TestLastingTaskNotRestartedAfterFaults(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newRandomFleet(t, seed)
			for range eventsPerHistory {
				s.applyEvent(fleetEvents[s.rng.IntN(len(fleetEvents))])
				s.advance(time.Duration(s.rng.IntN(10)) * simPlanInterval)
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

// TestPlannerStateChangesPlans guards against a plan that depends on what the planner keeps from
// earlier plans: in a random sequence of events, a new planner returns the same plans.
func TestPlannerStateChangesPlans(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newRandomFleet(t, seed)
			for range eventsPerHistory {
				s.applyEvent(fleetEvents[s.rng.IntN(len(fleetEvents))])
				for range s.rng.IntN(6) {
					view := s.fleet.view(s.qs, s.leaderTime())
					assert.DeepEqual(t, s.fleet.planner.Plan(s.qs, view), dispatch.PlanOnce(s.qs, view))
					s.tick()
				}
			}
		})
	}
}

// TestServingTaskNotStartedAfterIdleQueue guards against a serving task that is not started when its
// queue, which ran fillers before, was idle for a day.
func TestServingTaskNotStartedAfterIdleQueue(t *testing.T) {
	s := newSimFleet(t, 2)
	filler := queue.Step{Count: 1, Size: rudderfork.Resources{CPUMilli: 500, MemoryMB: 100}, Filler: true, Image: "f", ExpectedMS: 500}
	for i := range 2 {
		s.fleet.workTimes.Observe("q", queue.StepKey{Job: "done"}, &filler, 200, s.now.Add(time.Duration(i-1)*24*time.Hour))
	}
	s.submit("filler", filler)
	s.submit("feed", lastingStep(2))
	s.assertLastingTasksStart()
}

// TestNewTaskPlacedOnCrashingVM guards against a new task that is placed on a VM whose executor has
// crashed repeatedly, because that VM is the only idle one.
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

// TestOutageCountedTwice guards against a VM that gets a failure score after a single outage, because
// the expiry of its lease and the crash of its executor are both counted.
func TestOutageCountedTwice(t *testing.T) {
	lose := func(s *simFleet, v *simVM) { s.expireLease(v) }
	rejoin := func(s *simFleet, v *simVM) { s.register(v, nil) }
	restart := func(s *simFleet, v *simVM) { s.crash(v, true) }
	for name, c := range map[string]struct {
		outages []func(*simFleet, *simVM)
		scored  bool // whether the VM has a failure score afterwards
	}{
		"lost, then returned":                                {[]func(*simFleet, *simVM){lose, rejoin}, false},
		"lost, then restarted":                               {[]func(*simFleet, *simVM){lose, restart}, false},
		"lost, then returned, then restarted":                {[]func(*simFleet, *simVM){lose, rejoin, restart}, true},
		"lost, then restarted, twice":                        {[]func(*simFleet, *simVM){lose, restart, lose, restart}, true},
		"lost, then restarted, then lost again and returned": {[]func(*simFleet, *simVM){lose, restart, lose, rejoin}, true},
		"restarted twice":                                    {[]func(*simFleet, *simVM){restart, restart}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimFleet(t, 1)
			v := s.vms[0]
			for _, outage := range c.outages {
				outage(s, v)
				s.tick()
			}
			assert.Equal(t, s.fleet.vm(v.id).failureScore(s.now) > 0, c.scored)
		})
	}
}

// TestTaskReturnsToSilentVM guards against a task that is placed again on its VM after that VM was
// lost, because the VM is the only idle one when it returns.
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
	assert.Assert(t, s.vmOf(k) != silent, "the task was placed on the same VM again")
}

// TestLateTaskFailureBlamedOnVM guards against a failure after a long run that counts against the VM.
// Only a failure right after the start does: later ones are assumed to be the task's own.
func TestLateTaskFailureBlamedOnVM(t *testing.T) {
	for _, c := range []struct {
		name string
		span time.Duration
		same bool // whether the task is started on the same VM again
	}{{"after a long run", longRunTime, true}, {"during startup", simStartupTime / 2, false}} {
		t.Run(c.name, func(t *testing.T) {
			s, k := newSimFleet(t, 4), queue.TaskKey{Job: "feed"}
			s.submit("feed", lastingStep(1))
			s.advance(c.span)
			on, run := s.vmOf(k), s.task(k).LastRun
			s.fleet.recordEnd(on.id, queue.End{Task: k, Run: run, Outcome: queue.OutcomeFailed}, s.leaderTime())
			s.apply(queue.Command{Ends: &queue.Ends{VM: on.id, Incarnation: on.incarnationName(), List: []queue.End{{Task: k, Run: run, Outcome: queue.OutcomeFailed}}}})
			s.plan()
			assert.Equal(t, s.vmOf(k) == on, c.same)
		})
	}
}
