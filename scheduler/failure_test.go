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

// manualLeader is a leader that plans only when the test calls plan. session is that of "vm1", the
// VM that the planner prefers to "vm2".
type manualLeader struct {
	*testCluster
	store   *gatedStore
	session *session
}

var reportedTask = queue.TaskKey{Job: "job"}

// newManualLeader returns a leader with a submitted job of one task, whose run is started on vm1.
func newManualLeader(t *testing.T, st queue.Step) *manualLeader {
	store := &gatedStore{}
	rep := newReplicaWithStore(t, func(s replica.Store) replica.Store { store.Store = s; return store }, selfMember)
	s := &manualLeader{testCluster: &testCluster{t: t, ctx: t.Context()}, store: store}
	s.serve(rep)
	s.waitUntil("it leads", rep.Leads)
	s.sched = New(Settings{Lease: time.Hour}, rep, nil, zerolog.Nop(), noPeers{})
	s.sched.startTerm(rep.Status().Term)
	s.commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	s.session = s.connect("vm1")
	s.connect("vm2")
	s.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/job", Spec: queue.Spec{Steps: []queue.Step{st}}}})
	s.plan()
	assert.Equal(t, s.activeRun().VM, rudderfork.VMID("vm1"))
	return s
}

func (s *manualLeader) commit(c queue.Command) {
	s.t.Helper()
	_, err := s.sched.do(s.ctx, c)
	assert.NilError(s.t, err)
}

// connect registers a VM and gives it a session and a lease.
func (s *manualLeader) connect(id rudderfork.VMID) *session {
	vm := queue.VM{ID: id, Incarnation: string(id) + "-life", Service: "desk", Capacity: rudderfork.Resources{CPUMilli: 4_000, MemoryMB: 1_000}}
	s.commit(queue.Command{Register: &vm})
	ses := &session{s: s.sched, vm: id, incarnation: vm.Incarnation, epoch: 1, out: make(chan wire.ToQueueNode, outQueue), ordersDue: wakeup.New(), cancel: func() {}}
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	v := s.sched.fleet.vm(id)
	v.session = ses
	v.lease.AssumeLease(steady.Now().Add(time.Hour))
	s.sched.fleet.recordHeartbeat(v, wire.VMHeartbeat{VM: vm}, steady.Now())
	return ses
}

// plan has the leader make one plan and commit its starts.
func (s *manualLeader) plan() {
	s.sched.mu.Lock()
	s.sched.fleet.refreshHeartbeats(steady.Now())
	s.sched.mu.Unlock()
	s.sched.dispatch(s.ctx, &roundTimes{})
}

// refreshHeartbeats sets the time of all VMs' newest heartbeats, so that they stay usable however
// slow the test runs.
func (f *fleet) refreshHeartbeats(now time.Time) {
	for _, v := range f.vms {
		v.heartbeatAt = now
	}
}

// activeRun returns the active run of reportedTask, or the zero run if there is none.
func (s *manualLeader) activeRun() (r queue.Run) {
	s.sched.rep.View(func(st *state.State) {
		if list := st.Queues().Job(reportedTask.Job).Task(reportedTask).Runs; len(list) > 0 {
			r = list[0]
		}
	})
	return r
}

// reportEnd has vm1 report the end of the run and returns once that is proposed. The commit is
// blocked until commit is called; done receives the result of the report.
func (s *manualLeader) reportEnd(ctx context.Context, outcome queue.Outcome) (commit func(), done chan error) {
	s.t.Helper()
	gate := make(chan struct{})
	s.store.gate.Store(&gate)
	last := s.sched.rep.Status().LastIndex
	done = make(chan error, 1)
	go func() {
		done <- s.session.ends(ctx, wire.EndsReport{Seq: 1, Ends: queue.Ends{
			VM: "vm1", Incarnation: "vm1-life", List: []queue.End{{Task: reportedTask, Run: 1, Outcome: outcome}},
		}})
	}()
	s.waitUntil("the end is proposed", func() bool { return s.sched.rep.Status().LastIndex == last+1 })
	return func() {
		s.store.gate.Store(nil)
		close(gate)
		s.waitUntil("the end is committed", func() bool { return s.activeRun().Number == 0 })
	}, done
}

// failureCases are ends of a first run that count against its VM.
var failureCases = []struct {
	name    string
	lasting bool
	outcome queue.Outcome
	stop    string // the reason for which the leader stopped the run; "" if it didn't
}{
	{"a short task that has one attempt left", false, queue.OutcomeFailed, ""},
	{"a lasting task", true, queue.OutcomeFailed, ""},
	{"a lasting task that was refused", true, queue.OutcomeRefused, ""},
	{"a lasting task that made no progress", true, queue.OutcomeStopped, dispatch.ReasonStalled},
}

// forEachFailure calls test for each of failureCases, before the end is reported.
func forEachFailure(t *testing.T, test func(s *manualLeader, outcome queue.Outcome)) {
	for _, l := range failureCases {
		t.Run(l.name, func(t *testing.T) {
			step := smallStep
			step.Lasting = l.lasting
			s := newManualLeader(t, step)
			if l.stop != "" {
				s.sched.mu.Lock()
				s.sched.fleet.setStops([]dispatch.Stop{{Task: reportedTask, Run: 1, VM: "vm1", Reason: l.stop}}, steady.Now())
				s.sched.mu.Unlock()
			}
			test(s, l.outcome)
		})
	}
}

// TestFailureForgottenWhenSessionEnds guards against a task that is started again on the VM where it
// has just failed, because the session that reported the failure ended before the commit.
func TestFailureForgottenWhenSessionEnds(t *testing.T) {
	forEachFailure(t, func(s *manualLeader, outcome queue.Outcome) {
		ctx, cancel := context.WithCancel(s.ctx)
		commit, done := s.reportEnd(ctx, outcome)
		cancel()
		assert.Assert(s.t, <-done != nil)
		commit()
		s.plan()
		assert.Assert(s.t, s.activeRun().VM != "vm1", "the task was started again on the VM where it has just failed")
	})
}

// TestFirstPlanAfterFailureIgnoresIt guards against the same when a plan is made right after the
// commit of the failure, before the session that reported it continues.
func TestFirstPlanAfterFailureIgnoresIt(t *testing.T) {
	forEachFailure(t, func(s *manualLeader, outcome queue.Outcome) {
		commit, done := s.reportEnd(s.ctx, outcome)
		s.sched.mu.Lock()
		commit()
		var plan dispatch.Plan
		s.sched.rep.View(func(st *state.State) {
			f, now := s.sched.fleet, steady.Now()
			f.refreshHeartbeats(now)
			plan = f.planner.Plan(st.Queues(), f.view(st.Queues(), now))
		})
		s.sched.mu.Unlock()
		assert.NilError(s.t, <-done)
		for _, st := range plan.Starts {
			assert.Assert(s.t, st.VM != "vm1", "the task is started again on the VM where it has just failed: %s", st.Reason)
		}
	})
}
