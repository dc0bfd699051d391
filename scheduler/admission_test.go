package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/backlog"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// secondStep is a step of one task that takes a second on 4 cores.
var secondStep = queue.Step{Count: 1, Size: rudderfork.Resources{CPUMilli: 4_000}, ExpectedMS: 1_000}

// newAdmissionCluster returns a cluster without VMs.
func newAdmissionCluster(t *testing.T, p Policies) *gatedCluster {
	c := newGatedCluster(t, Settings{Lease: time.Hour, StatusRetention: time.Hour, Policies: p})
	c.commit(queue.Command{Document: &queue.Document{
		Version: 1, Pools: []queue.Pool{{Service: "desk"}}, Queues: []queue.Queue{
			{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", Priority: 1, MaxAttempts: 2},
			{Name: "first", Host: testHost, Prefix: "/first/", Service: "desk", MaxAttempts: 2},
		},
	}})
	return c
}

func (c *gatedCluster) submitWithin(wait time.Duration, id string, steps ...queue.Step) wire.QueueResponse {
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	return c.sched.Handle(ctx, wire.QueueRequest{Submit: &queue.Submit{Host: testHost, Path: "/q/" + id, Spec: queue.Spec{Steps: steps}}})
}

// overload makes the controller believe that much more work waits than the VM can do in time, now and
// for an hour.
func (c *gatedCluster) overload() {
	at, lane := rudderfork.Millis(steady.Now().Add(time.Hour)), backlog.Lane{Service: "desk"}
	q := &backlog.Queue{Rate: 4_000, Waiting: 1, Entries: []backlog.Entry{{Work: 4_000 * 1e6}}}
	c.sched.mu.Lock()
	defer c.sched.mu.Unlock()
	c.sched.admission.enter(c.sched.term)
	c.sched.admission.ctrl.SetSummary(backlog.NewSummary(at, map[backlog.Lane]*backlog.Queue{lane: q}, backlog.NewShapes()))
}

func (c *gatedCluster) assertRefused(id string) {
	c.t.Helper()
	resp := c.submitWithin(commandTimeout, id, secondStep)
	assert.Equal(c.t, resp.Code, queue.Overloaded, "%+v", resp)
	assert.Assert(c.t, resp.RetryAfterMS >= 1_000 && !resp.Unsure && !resp.NotTaken, "%+v", resp)
	assert.Assert(c.t, !c.holds(id), "it was refused, and the state holds it")
}

// assertAccepted submits a job until the outcome is known, which takes long on a slow disk.
func (c *gatedCluster) assertAccepted(id string, step queue.Step) {
	c.t.Helper()
	c.waitUntil("its outcome is known", func() bool {
		resp := c.submitWithin(commandTimeout, id, step)
		assert.Assert(c.t, resp.Unsure || resp.Code == queue.OK, "%+v", resp)
		return !resp.Unsure
	})
	assert.Assert(c.t, c.holds(id))
}

func (c *gatedCluster) holds(id string) (ok bool) {
	c.rep.View(func(st *state.State) { ok = st.Queues().Job(rudderfork.JobID(id)) != nil })
	return ok
}

// TestRefusal guards against a refusal of a job that is accepted, and against one of a job that is
// invalid, which no return would help.
func TestRefusal(t *testing.T) {
	c := newAdmissionCluster(t, Policies{RefuseJobs: true})
	c.assertAccepted("before", secondStep)
	c.overload()
	c.assertRefused("a")
	c.assertRefused("a")
	c.assertAccepted("before", secondStep)
	assert.Equal(t, c.submitWithin(commandTimeout, "invalid").Code, queue.Invalid)
	lasting := secondStep
	lasting.Lasting = true
	c.assertAccepted("lasting", lasting)

	c.sched.admission.enter(0) // a new term: the list of refused jobs is lost
	c.overload()
	c.assertRefused("a")
	c.sched.admission.enter(0)
	c.assertAccepted("a", secondStep) // no plan has been made yet
}

// TestPolicyOff guards against refusals without the policy.
func TestPolicyOff(t *testing.T) {
	c := newAdmissionCluster(t, Policies{})
	assert.Assert(t, c.sched.admission == nil && !c.sched.admission.summaryDue(steady.Now()))
	for i := range 4 {
		c.assertAccepted(fmt.Sprint(i), secondStep)
	}
	c.sched.round(c.ctx)
	c.assertAccepted("last", secondStep)
}

// TestRefusalByPlan guards against a summary of the planner's that lacks the work that waits.
func TestRefusalByPlan(t *testing.T) {
	c := newAdmissionCluster(t, Policies{RefuseJobs: true})
	vm := onlyVM
	vm.Capacity = secondStep.Size
	c.commit(queue.Command{Register: &vm})
	wide := secondStep
	wide.Count = 40
	c.commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/first/wide", Spec: queue.Spec{Steps: []queue.Step{wide}}}})
	c.commit(queue.Command{Starts: []queue.Start{{Task: queue.TaskKey{Job: "wide"}, VM: vm.ID, Incarnation: vm.Incarnation}}})
	c.sched.startTerm(c.rep.Status().Term) // the VM holds a lease
	c.assertAccepted("early", secondStep)
	n := 0
	c.waitUntil("a job is refused after a plan", func() bool {
		n++
		c.sched.round(c.ctx)
		return c.submitWithin(commandTimeout, fmt.Sprint(n), secondStep).Code == queue.Overloaded
	})
	assert.Assert(t, !c.holds(fmt.Sprint(n)))
}

// TestRefusalDuringCommit guards against the refusal of a job whose submission is being committed, or
// was given up by its caller and may be committed yet.
func TestRefusalDuringCommit(t *testing.T) {
	c := newAdmissionCluster(t, Policies{RefuseJobs: true})
	release := c.blockCommits()
	given := make(chan wire.QueueResponse, 1)
	last := c.rep.Status().LastIndex
	go func() { given <- c.submitWithin(commandTimeout, "active", secondStep) }()
	c.waitUntil("it is proposed", func() bool { return c.rep.Status().LastIndex > last })
	c.waitUntil("another one is proposed, and given up", func() bool { return c.submitWithin(10*time.Millisecond, "unknown", secondStep).Unsure })
	c.overload()
	for _, id := range []string{"active", "unknown"} {
		resp := c.submitWithin(100*time.Millisecond, id, secondStep)
		assert.Assert(t, resp.Unsure || resp.NotTaken, "%s: %+v", id, resp)
	}
	c.assertRefused("other")
	release()
	assert.Assert(t, (<-given).Code != queue.Overloaded)
	c.assertAccepted("active", secondStep)
	c.assertAccepted("unknown", secondStep)
	c.assertRefused("another")
	lasting := secondStep
	lasting.Lasting = true
	c.assertAccepted("lasting", lasting)
	assert.Equal(t, len(c.sched.admission.submitting.active), 0)
	assert.Equal(t, len(c.sched.admission.submitting.unresolved), 0)
}

// TestRefusalDuringUncheckedCommit guards against the refusal of a job whose submission is being
// committed, although it would have added no job when it came.
func TestRefusalDuringUncheckedCommit(t *testing.T) {
	for name, first := range map[string]func(c *gatedCluster){
		"before the term has started": func(c *gatedCluster) {
			c.sched.endTerm()
			c.proposeAndGiveUp("a")
			c.sched.startTerm(c.rep.Status().Term)
		},
		"repeated after the status retention": func(c *gatedCluster) {
			c.assertAccepted("a", secondStep)
			c.commit(queue.Command{Cancel: &queue.Cancel{Host: testHost, Path: "/q/a"}})
			c.sched.cfg.StatusRetention = -time.Hour // the next submission ends the retention
			c.proposeAndGiveUp("a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newAdmissionCluster(t, Policies{RefuseJobs: true})
			first(c)
			c.overload()
			resp := c.submitWithin(100*time.Millisecond, "a", secondStep)
			assert.Assert(t, resp.Unsure || resp.NotTaken, "%+v", resp)
			c.sched.mu.Lock()
			defer c.sched.mu.Unlock()
			assert.Assert(t, c.sched.admission.submitting.mayCommit("a"))
		})
	}
}

// proposeAndGiveUp submits a job, whose commit is blocked until the test ends.
func (c *gatedCluster) proposeAndGiveUp(id string) {
	c.t.Helper()
	c.blockCommits()
	c.waitUntil("it is proposed, and given up", func() bool { return c.submitWithin(10*time.Millisecond, id, secondStep).Unsure })
}

// TestRefusalUnconfirmed guards against a refusal by a process that cannot confirm that it leads.
func TestRefusalUnconfirmed(t *testing.T) {
	c := newAdmissionCluster(t, Policies{RefuseJobs: true})
	c.overload()
	ctx, cancel := context.WithCancel(c.ctx)
	cancel()
	resp := c.sched.Handle(ctx, wire.QueueRequest{Submit: &queue.Submit{Host: testHost, Path: "/q/a", Spec: queue.Spec{Steps: []queue.Step{secondStep}}}})
	assert.Assert(t, resp.NotTaken || resp.Unsure, "%+v", resp)
	c.sched.endTerm()
	c.assertAccepted("b", secondStep)
}

// TestRefusalOvertaken guards against the refusal of a job that is accepted between the decision and
// its confirmation.
func TestRefusalOvertaken(t *testing.T) {
	c := newAdmissionCluster(t, Policies{RefuseJobs: true})
	c.overload()
	submit := queue.Submit{Host: testHost, Path: "/q/a", Spec: queue.Spec{Steps: []queue.Step{secondStep}}}
	sub := c.sched.decide(&submit)
	assert.Assert(t, sub.decision.Refused())
	c.commit(queue.Command{Submit: &submit})
	assert.Assert(t, !c.sched.confirmRefusal(c.ctx, &sub))
}

// TestRefusalByDeposedLeader guards against the refusal of a job by a leader that is replaced between
// the decision and the answer, and does not know that its successor has accepted the job.
func TestRefusalByDeposedLeader(t *testing.T) {
	c := newAdmissionCluster(t, Policies{RefuseJobs: true})
	c.overload()
	submit := queue.Submit{Host: testHost, Path: "/q/a", Spec: queue.Spec{Steps: []queue.Step{secondStep}}}
	sub := c.sched.decide(&submit)
	assert.Assert(t, sub.decision.Refused())

	before := c.rep.Status()
	release := c.blockCommits()
	data, err := cbor.Marshal(state.Command{Queue: &queue.Command{Submit: &submit}})
	assert.NilError(t, err)
	c.rep.Step(c.ctx, quorum.Message{
		Type: quorum.MsgAppend, From: "d#1", To: before.ID, Term: before.Term + 1, LogIndex: before.LastIndex, LogTerm: before.Term,
		Commit: before.LastIndex + 2, Entries: []quorum.Entry{
			{Index: before.LastIndex + 1, Term: before.Term + 1, Kind: quorum.EntryNoop},
			{Index: before.LastIndex + 2, Term: before.Term + 1, Kind: quorum.EntryCommand, Data: data},
		},
	})
	c.waitUntil("it is deposed", func() bool { return c.rep.Status().Term > before.Term })
	assert.Assert(t, !c.holds("a"))
	assert.Assert(t, !c.sched.confirmRefusal(c.ctx, &sub))
	resp := c.sched.commit(c.ctx, queue.Command{Submit: &submit})
	assert.Assert(t, resp.NotTaken, "%+v", resp)
	release()
	c.waitUntil("it holds the job that its successor has accepted", func() bool { return c.holds("a") })
}

// TestCommits guards against an unknown outcome that is forgotten too soon, or never.
func TestCommits(t *testing.T) {
	c := newCommits()
	assert.Assert(t, !c.mayCommit("a"))
	first, concurrent := c.begin("a"), c.begin("b")
	assert.Assert(t, c.mayCommit("a"))
	c.end("a", first, false, true)
	c.end("b", concurrent, true, false)
	assert.Assert(t, c.mayCommit("a"), "b was proposed before the outcome of a was unknown")
	assert.Assert(t, !c.mayCommit("b"))
	c.end("c", c.begin("c"), false, false)
	assert.Assert(t, c.mayCommit("a"), "c was not committed")
	c.end("d", c.begin("d"), true, false)
	assert.Assert(t, !c.mayCommit("a"))
	for i := range maxUnresolved + 1 {
		id := rudderfork.JobID(fmt.Sprint(i))
		c.end(id, c.begin(id), false, true)
	}
	assert.Assert(t, c.mayCommit("x"), "not all of the unknown ones are remembered")
	c.end("d", c.begin("d"), true, false)
	assert.Assert(t, !c.mayCommit("x"))
}
