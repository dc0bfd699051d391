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

// newAdvised is a leader with idle VMs, and a queue with an adviser.
func newAdvised(t *testing.T, adv *adviser, vms int) *teller {
	adv.calls = 1 // the first one fails
	rep := newReplica(t, self)
	s := &teller{site: &site{t: t, ctx: t.Context()}}
	s.serve(rep)
	s.until("it leads", rep.Leads)
	s.sched = New(Settings{Lease: time.Hour}, rep, adv, zerolog.Nop(), alone{})
	s.sched.startTerm(rep.Status().Term)
	s.do(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: host, Prefix: "/q/", Service: "desk", MaxAttempts: 2, LatencyMS: 3_600_000, Advice: &queue.Advice{ValidMS: 3_600_000}}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	for i := range vms {
		s.admit(rudderfork.VMID(fmt.Sprintf("vm%02d", i)))
	}
	return s
}

// handIn hands in a job of one task.
func (s *teller) handIn(id rudderfork.JobID) {
	s.do(queue.Command{Submit: &queue.Submit{Host: host, Path: "/q/" + string(id), Spec: queue.Spec{Steps: []queue.Step{small}}}})
}

// advise makes plans, each of which finds the adviser free after a call that took longer
// than a step rests. It returns after so many calls.
func (s *teller) advise(calls int) {
	s.t.Helper()
	for range calls {
		s.planAdvised()
		s.rest()
	}
	s.planAdvised()
}

// planAdvised makes a plan, and waits for the adviser's answer to what it asks.
func (s *teller) planAdvised() {
	s.t.Helper()
	s.plan()
	s.until("the adviser has answered", func() bool { return !s.asking() })
}

// asking reports whether a call to the adviser is under way.
func (s *teller) asking() bool {
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	return s.sched.fleet.advice.busy
}

// rest lets the time of a rest pass for all steps but the one asked for last.
func (s *teller) rest() {
	s.sched.mu.Lock()
	defer s.sched.mu.Unlock()
	newest := time.Time{}
	steps := s.sched.fleet.advice.steps
	for _, l := range steps {
		if l.askAt.After(newest) {
			newest = l.askAt
		}
	}
	for _, l := range steps {
		if l.askAt.Before(newest) || len(steps) == 1 {
			l.askAt = l.askAt.Add(-adviceAgain)
		}
	}
}

// started reports whether the task of a job has a run.
func (s *teller) started(id rudderfork.JobID) (started bool) {
	s.sched.rep.View(func(st *state.State) {
		started = st.Queues().Job(id).ActiveRuns > 0
	})
	return started
}

const adviserCalls = 10

// TestAdviserIsAskedAboutAllVMs has a step that only the last VM may run, of more than an
// adviser is asked about at once.
func TestAdviserIsAskedAboutAllVMs(t *testing.T) {
	adv := &adviser{allow: func(life string) bool { return life == "vm39-life" }}
	s := newAdvised(t, adv, 40)
	s.handIn("job")
	s.advise(adviserCalls)
	assert.Assert(t, s.started("job"), "after %d calls about %d VMs at most", adv.calls-1, adv.lives)
}

// TestAdviserIsAskedForAllSteps has two steps that no VM may run go before one that any
// may.
func TestAdviserIsAskedForAllSteps(t *testing.T) {
	adv := &adviser{}
	s := newAdvised(t, adv, 2)
	adv.allowStep = func(step string) bool { return step == "job-3.0.0" }
	adv.allow = func(string) bool { return true }
	for _, id := range []rudderfork.JobID{"job-1", "job-2", "job-3"} {
		s.handIn(id)
	}
	s.advise(adviserCalls)
	assert.Assert(t, s.started("job-3"), "after %d calls", adv.calls-1)
}

// TestWrongAdviceBarsVMs guards against a step that never starts after one answer of its
// adviser that was not its own or not whole.
func TestWrongAdviceBarsVMs(t *testing.T) {
	adv := &adviser{}
	s := newAdvised(t, adv, 2)
	wrong := adv.calls + 1
	adv.allow = func(string) bool { return adv.calls > wrong }
	s.handIn("job")
	s.advise(adviserCalls)
	assert.Assert(t, s.started("job"), "after %d calls", adv.calls-1)
}
