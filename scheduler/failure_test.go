package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/internal/wakeup"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// manualLeader is a leader that plans only when the test calls plan.
type manualLeader struct {
	*testCluster
	store   *gatedStore
	session *session // session of vm1, which the planner prefers to vm2
}

// reportedTask is the task whose end the tests report.
var reportedTask = queue.TaskKey{Job: "job"}

// newManualLeader returns a leader with a submitted job of one task, whose run is started on vm1.
func newManualLeader(t *testing.T, step queue.Step) *manualLeader {
	store := &gatedStore{}
	rep := newReplicaWithStore(t, func(s replica.Store) replica.Store { store.Store = s; return store }, selfMember)
	l := &manualLeader{testCluster: &testCluster{t: t, ctx: t.Context()}, store: store}
	l.serve(rep)
	l.waitUntil("it leads", rep.Leads)
	l.sched = New(Settings{Lease: time.Hour}, rep, nil, zerolog.Nop(), noPeers{})
	l.sched.startTerm(rep.Status().Term)
	l.commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	l.session = l.connect("vm1")
	l.connect("vm2")
	l.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/job", Spec: queue.Spec{Steps: []queue.Step{step}}}})
	l.plan()
	assert.Equal(t, l.activeRun().VM, rudderfork.VMID("vm1"))
	return l
}

func (l *manualLeader) commit(cmd queue.Command) {
	l.t.Helper()
	_, err := l.sched.do(l.ctx, cmd)
	assert.NilError(l.t, err)
}

// connect registers a VM and gives it a session and a lease.
func (l *manualLeader) connect(id rudderfork.VMID) *session {
	vm := queue.VM{ID: id, Incarnation: string(id) + "-life", Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 4_000, MemoryMB: 1_000}}
	l.commit(queue.Command{Register: &vm})
	ses := &session{s: l.sched, vm: id, incarnation: vm.Incarnation, epoch: 1, out: make(chan wire.ToQueueNode, outQueue), ordersDue: wakeup.New(), cancel: func() {}}
	l.sched.mu.Lock()
	defer l.sched.mu.Unlock()
	v := l.sched.fleet.vm(id)
	v.session = ses
	v.lease.AssumeLease(steady.Now().Add(time.Hour))
	l.sched.fleet.recordHeartbeat(v, wire.VMHeartbeat{VM: vm}, steady.Now())
	return ses
}

// plan has the leader make one plan and commit its starts.
func (l *manualLeader) plan() {
	l.sched.mu.Lock()
	l.sched.fleet.refreshHeartbeats(steady.Now())
	l.sched.mu.Unlock()
	l.sched.planAndStart(l.ctx, &roundTimes{})
}

// refreshHeartbeats sets the time of all VMs' newest heartbeats, so that they stay usable however
// slow the test runs.
func (f *fleet) refreshHeartbeats(now time.Time) {
	for _, v := range f.vms {
		v.heartbeatAt = now
	}
}

// activeRun returns the active run of reportedTask, or the zero run if there is none.
func (l *manualLeader) activeRun() (r queue.Run) {
	l.sched.rep.View(func(st *state.State) {
		if list := st.Queues().Job(reportedTask.Job).Task(reportedTask).Runs; len(list) > 0 {
			r = list[0]
		}
	})
	return r
}

// reportEnd has vm1 report the end of the run and returns once that is proposed. The commit is
// blocked until commit is called; done receives the result of the report.
func (l *manualLeader) reportEnd(ctx context.Context, outcome queue.Outcome) (commit func(), done chan error) {
	l.t.Helper()
	gate := make(chan struct{})
	l.store.gate.Store(&gate)
	last := l.sched.rep.Status().LastIndex
	done = make(chan error, 1)
	go func() {
		done <- l.session.commitEnds(ctx, wire.EndsReport{Seq: 1, Ends: queue.Ends{
			VM: "vm1", Incarnation: "vm1-life", List: []queue.End{{Task: reportedTask, Run: 1, Outcome: outcome}},
		}})
	}()
	l.waitUntil("the end is proposed", func() bool { return l.sched.rep.Status().LastIndex == last+1 })
	return func() {
		l.store.gate.Store(nil)
		close(gate)
		l.waitUntil("the end is committed", func() bool { return l.activeRun().Number == 0 })
	}, done
}

// failureCases are ends of a first run that count against its VM.
var failureCases = []struct {
	name    string
	lasting bool
	outcome queue.Outcome
	stop    string // reason why the leader stopped the run; "" if it did not stop it
}{
	{"a short task that has one attempt left", false, queue.OutcomeFailed, ""},
	{"a lasting task", true, queue.OutcomeFailed, ""},
	{"a lasting task that was refused", true, queue.OutcomeRefused, ""},
	{"a lasting task that made no progress", true, queue.OutcomeStopped, dispatch.ReasonStalled},
}

// forEachFailure calls test for each of failureCases. The end of the run is not reported yet.
func forEachFailure(t *testing.T, test func(l *manualLeader, outcome queue.Outcome)) {
	for _, c := range failureCases {
		t.Run(c.name, func(t *testing.T) {
			step := smallStep
			step.Lasting = c.lasting
			l := newManualLeader(t, step)
			if c.stop != "" {
				l.sched.mu.Lock()
				l.sched.fleet.setStops([]dispatch.Stop{{Task: reportedTask, Run: 1, VM: "vm1", Reason: c.stop}}, steady.Now())
				l.sched.mu.Unlock()
			}
			test(l, c.outcome)
		})
	}
}

// TestFailureForgottenWhenSessionEnds guards against a task that is started again on the VM where it
// has just failed, because the session that reported the failure ended before the commit.
func TestFailureForgottenWhenSessionEnds(t *testing.T) {
	forEachFailure(t, func(l *manualLeader, outcome queue.Outcome) {
		ctx, cancel := context.WithCancel(l.ctx)
		commit, done := l.reportEnd(ctx, outcome)
		cancel()
		assert.Assert(l.t, <-done != nil)
		commit()
		l.plan()
		assert.Assert(l.t, l.activeRun().VM != "vm1", "the task was started again on the VM where it has just failed")
	})
}

// TestFirstPlanAfterFailureIgnoresIt guards against a task that is started again on the VM where it
// has just failed, by a plan that is made after the commit of the failure and before the session that
// reported it continues.
func TestFirstPlanAfterFailureIgnoresIt(t *testing.T) {
	forEachFailure(t, func(l *manualLeader, outcome queue.Outcome) {
		commit, done := l.reportEnd(l.ctx, outcome)
		l.sched.mu.Lock()
		commit()
		var plan dispatch.Plan
		l.sched.rep.View(func(st *state.State) {
			f, now := l.sched.fleet, steady.Now()
			f.refreshHeartbeats(now)
			plan = f.planner.Plan(st.Queues(), f.view(st.Queues(), now))
		})
		l.sched.mu.Unlock()
		assert.NilError(l.t, <-done)
		for _, start := range plan.Starts {
			assert.Assert(l.t, start.VM != "vm1", "the task is started again on the VM where it has just failed: %s", start.Reason)
		}
	})
}
