package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
)

// newAdvisedLeader returns a leader with idle VMs and a queue with an adviser.
func newAdvisedLeader(t *testing.T, adv *fakeAdviser, vms int) *manualLeader {
	adv.calls = 1 // skips the first call, which fails
	rep := newReplica(t, selfMember)
	s := &manualLeader{testCluster: &testCluster{t: t, ctx: t.Context()}}
	s.serve(rep)
	s.waitUntil("it leads", rep.Leads)
	s.sched = New(Settings{Lease: time.Hour}, rep, adv, zerolog.Nop(), noPeers{})
	s.sched.startTerm(rep.Status().Term)
	s.commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2, LatencyMS: 3_600_000, Advice: &queue.Advice{ValidMS: 3_600_000}}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	for i := range vms {
		s.connect(rudderfork.VMID(fmt.Sprintf("vm%02d", i)))
	}
	return s
}

// submitJob submits a job of one task.
func (s *manualLeader) submitJob(id rudderfork.JobID) {
	s.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/" + string(id), Spec: queue.Spec{Steps: []queue.Step{smallStep}}}})
}

// planWithAdvice makes plans, each of which finds the adviser free after a call that took longer
// than the pause between two requests for a step. It returns after the given number of calls and
// one more plan.
func (s *manualLeader) planWithAdvice(calls int) {
	s.t.Helper()
	for range calls {
		s.planAndAwaitAdvice()
		s.expireAdvicePause()
	}
	s.planAndAwaitAdvice()
}

// planAndAwaitAdvice makes a plan and waits for the adviser's answer to its request.
func (s *manualLeader) planAndAwaitAdvice() {
	s.t.Helper()
	s.plan()
	s.waitUntil("the adviser has answered", func() bool { return !s.adviserBusy() })
}

// adviserBusy reports whether a call to the adviser is in progress.
func (s *manualLeader) adviserBusy() bool {
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	return s.sched.fleet.advice.callRunning
}

// expireAdvicePause lets the pause between two requests run out for all steps but the one requested
// last, or for the only step.
func (s *manualLeader) expireAdvicePause() {
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	newest := time.Time{}
	steps := s.sched.fleet.advice.steps
	for _, l := range steps {
		if l.nextCallAt.After(newest) {
			newest = l.nextCallAt
		}
	}
	for _, l := range steps {
		if l.nextCallAt.Before(newest) || len(steps) == 1 {
			l.nextCallAt = l.nextCallAt.Add(-adviceBackOff)
		}
	}
}

// hasRun reports whether the task of a job has a run.
func (s *manualLeader) hasRun(id rudderfork.JobID) (started bool) {
	s.sched.rep.View(func(st *state.State) {
		started = st.Queues().Job(id).ActiveRuns > 0
	})
	return started
}

const adviserCalls = 10

// TestAdviserNotAskedAboutAllVMs guards against a step that never starts because the only VM that
// may run it is beyond the number of VMs in one request to the adviser.
func TestAdviserNotAskedAboutAllVMs(t *testing.T) {
	adv := &fakeAdviser{allow: func(inc string) bool { return inc == "vm39-life" }}
	s := newAdvisedLeader(t, adv, 40)
	s.submitJob("job")
	s.planWithAdvice(adviserCalls)
	assert.Assert(t, s.hasRun("job"), "not started after %d calls about %d VMs at most", adv.calls-1, adv.maxAsked)
}

// TestAdviserNotAskedForAllSteps guards against a step that never starts because requests for two
// earlier steps, which no VM may run, take all calls to the adviser.
func TestAdviserNotAskedForAllSteps(t *testing.T) {
	adv := &fakeAdviser{}
	s := newAdvisedLeader(t, adv, 2)
	adv.allowStep = func(step string) bool { return step == "job-3.0.0" }
	adv.allow = func(string) bool { return true }
	for _, id := range []rudderfork.JobID{"job-1", "job-2", "job-3"} {
		s.submitJob(id)
	}
	s.planWithAdvice(adviserCalls)
	assert.Assert(t, s.hasRun("job-3"), "not started after %d calls", adv.calls-1)
}

// TestWrongAdviceBlocksStep guards against a step that never starts after a single wrong or
// incomplete answer of its adviser.
func TestWrongAdviceBlocksStep(t *testing.T) {
	adv := &fakeAdviser{}
	s := newAdvisedLeader(t, adv, 2)
	wrong := adv.calls + 1
	adv.allow = func(string) bool { return adv.calls > wrong }
	s.submitJob("job")
	s.planWithAdvice(adviserCalls)
	assert.Assert(t, s.hasRun("job"), "not started after %d calls", adv.calls-1)
}
