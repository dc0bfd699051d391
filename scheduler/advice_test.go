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

// newAdvisedLeader returns a leader with an adviser, a queue whose steps need its tickets, and idle
// VMs.
func newAdvisedLeader(t *testing.T, adv *fakeAdviser, vms int) *manualLeader {
	adv.calls = 1 // skips the first call, which fails
	rep := newReplica(t, selfMember)
	l := &manualLeader{testCluster: &testCluster{t: t, ctx: t.Context()}}
	l.serve(rep)
	l.waitUntil("it leads", rep.Leads)
	l.sched = New(Settings{Lease: time.Hour}, rep, adv, zerolog.Nop(), noPeers{})
	l.sched.startTerm(rep.Status().Term)
	l.commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2, LatencyMS: 3_600_000, Advice: &queue.Advice{ValidMS: 3_600_000}}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	for i := range vms {
		l.connect(rudderfork.VMID(fmt.Sprintf("vm%02d", i)))
	}
	return l
}

// submitJob submits a job of one task.
func (l *manualLeader) submitJob(id rudderfork.JobID) {
	l.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/" + string(id), Spec: queue.Spec{Steps: []queue.Step{smallStep}}}})
}

// planWithAdvice makes one plan more than the given number of calls to the adviser. Before each plan
// after the first, the call has ended and adviceBackOff has passed.
func (l *manualLeader) planWithAdvice(calls int) {
	l.t.Helper()
	for range calls {
		l.planAndAwaitAdvice()
		l.expireAdvicePause()
	}
	l.planAndAwaitAdvice()
}

// planAndAwaitAdvice makes a plan and waits for the adviser's answer to its request.
func (l *manualLeader) planAndAwaitAdvice() {
	l.t.Helper()
	l.plan()
	l.waitUntil("the adviser has answered", func() bool { return !l.adviserBusy() })
}

// adviserBusy reports whether a call to the adviser is in progress.
func (l *manualLeader) adviserBusy() bool {
	l.sched.mu.Lock()
	defer l.sched.mu.Unlock()
	return l.sched.fleet.advice.callRunning
}

// expireAdvicePause makes adviceBackOff run out for all steps but the one requested last, or for the
// only step.
func (l *manualLeader) expireAdvicePause() {
	l.sched.mu.Lock()
	defer l.sched.mu.Unlock()
	newest := time.Time{}
	steps := l.sched.fleet.advice.steps
	for _, st := range steps {
		if st.nextCallAt.After(newest) {
			newest = st.nextCallAt
		}
	}
	for _, st := range steps {
		if st.nextCallAt.Before(newest) || len(steps) == 1 {
			st.nextCallAt = st.nextCallAt.Add(-adviceBackOff)
		}
	}
}

// hasRun reports whether the task of a job has a run.
func (l *manualLeader) hasRun(id rudderfork.JobID) (started bool) {
	l.sched.rep.View(func(st *state.State) {
		started = st.Queues().Job(id).ActiveRuns > 0
	})
	return started
}

// adviserCalls is the number of calls to the adviser within which a step must have started.
const adviserCalls = 10

// TestAdviserNotAskedAboutAllVMs guards against a step that never starts because the only VM that
// may run it is beyond the number of VMs in one request to the adviser.
func TestAdviserNotAskedAboutAllVMs(t *testing.T) {
	adv := &fakeAdviser{allow: func(inc string) bool { return inc == "vm39-life" }}
	l := newAdvisedLeader(t, adv, 40)
	l.submitJob("job")
	l.planWithAdvice(adviserCalls)
	assert.Assert(t, l.hasRun("job"), "not started after %d calls about %d VMs at most", adv.calls-1, adv.maxAsked)
}

// TestAdviserNotAskedForAllSteps guards against a step that never starts because requests for two
// earlier steps, which no VM may run, take all calls to the adviser.
func TestAdviserNotAskedForAllSteps(t *testing.T) {
	adv := &fakeAdviser{}
	l := newAdvisedLeader(t, adv, 2)
	adv.allowStep = func(step string) bool { return step == "job-3.0.0" }
	adv.allow = func(string) bool { return true }
	for _, id := range []rudderfork.JobID{"job-1", "job-2", "job-3"} {
		l.submitJob(id)
	}
	l.planWithAdvice(adviserCalls)
	assert.Assert(t, l.hasRun("job-3"), "not started after %d calls", adv.calls-1)
}

// TestWrongAdviceBlocksStep guards against a step that never starts after a single wrong or
// incomplete answer of its adviser.
func TestWrongAdviceBlocksStep(t *testing.T) {
	adv := &fakeAdviser{}
	l := newAdvisedLeader(t, adv, 2)
	wrongCall := adv.calls + 1
	adv.allow = func(string) bool { return adv.calls > wrongCall }
	l.submitJob("job")
	l.planWithAdvice(adviserCalls)
	assert.Assert(t, l.hasRun("job"), "not started after %d calls", adv.calls-1)
}
