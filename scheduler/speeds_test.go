package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// newShortTasks returns a state in which five short tasks of 4 s of job "s" run on vm1.
func newShortTasks(t *testing.T) *queue.State {
	t.Helper()
	qs := stateWithRun(t)
	submit := queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/s", Spec: queue.Spec{}}}
	for range 5 {
		submit.Submit.Spec.Steps = append(submit.Submit.Spec.Steps, queue.Step{Count: 1, ExpectedMS: 4_000})
	}
	assert.Equal(t, qs.Apply(submit, 1).Code, queue.OK)
	for step := range 5 {
		qs.Apply(queue.Command{Starts: []queue.Start{{Task: queue.TaskKey{Job: "s", Step: step}, VM: "vm1", Incarnation: "life-1"}}}, 1)
	}
	return qs
}

// reportSpeed delivers heartbeats for some seconds in which the tasks work at a speed, from a percent on.
// It returns the changes to log.
func reportSpeed(qs *queue.State, f *fleet, percent, speed float64, from time.Time, seconds int) (changes []*speedChange) {
	const perSecond = 2
	v := f.vm("vm1")
	for i := range perSecond * seconds {
		hb, now := wire.VMHeartbeat{VM: *qs.VM("vm1")}, from.Add(time.Duration(i)*time.Second/perSecond)
		for step := range 5 {
			k := queue.TaskKey{Job: "s", Step: step}
			hb.Runs = append(hb.Runs, rudderfork.RunStatus{RunRef: k.Ref(1), Percent: int(percent + speed*25*float64(i)/perSecond)})
		}
		f.recordHeartbeat(v, hb, now)
		if c := f.observeSpeed(qs, qs.VM("vm1"), v, now); c != nil {
			changes = append(changes, c)
		}
	}
	return changes
}

// TestVMSpeeds checks that the planner and operators see the speed of a slow VM, and that its changes
// are logged once.
func TestVMSpeeds(t *testing.T) {
	at := steady.Now()
	qs, f := newShortTasks(t), newFleet()
	f.speeds = newSpeeds(Policies{LearnSpeeds: true})
	changes := reportSpeed(qs, f, 0, 0.25, at, 4)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].slow)
	at = at.Add(4 * time.Second)
	view := f.view(qs, at)
	assert.Assert(t, view.VMs["vm1"].Speed < slowSpeed)
	assert.Assert(t, vmViews(qs, view)[0].Speed < slowSpeed)
	assert.Assert(t, f.speeds.usualWork("vm1", 1_000, at) < 1_000*slowSpeed)

	changes = reportSpeed(qs, f, 25, 1, at, 3)
	at = at.Add(3 * time.Second)
	done := queue.End{Task: queue.TaskKey{Job: "s"}, Run: 1, Outcome: queue.OutcomeDone}
	f.observeSpeedEnd(qs, qs.VM("vm1"), done, at)
	done.Task.Index = 9
	f.observeSpeedEnd(qs, qs.VM("vm1"), done, at) // no such task
	changes = append(changes, reportSpeed(qs, f, 100, 0, at, 8)...)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, !changes[0].slow)
}

// TestSpeedsOff checks that nothing is learned unless the policy is on.
func TestSpeedsOff(t *testing.T) {
	qs, f := newShortTasks(t), newFleet()
	f.speeds = newSpeeds(Policies{})
	assert.Equal(t, len(reportSpeed(qs, f, 0, 0.25, steady.Now(), 4)), 0)
	f.observeSpeedEnd(qs, qs.VM("vm1"), queue.End{Task: queue.TaskKey{Job: "s"}, Run: 1, Outcome: queue.OutcomeDone}, steady.Now())
	f.speeds.prune(qs)
	assert.Equal(t, f.view(qs, steady.Now()).VMs["vm1"].Speed, 0.0)
	assert.Equal(t, f.speeds.usualWork("vm1", 1_000, steady.Now()), 1_000.0)
}

// TestSpeedsOfTerm guards against a leader that learns no speeds although the policy is on.
func TestSpeedsOfTerm(t *testing.T) {
	for _, learn := range []bool{false, true} {
		c := newGatedCluster(t, Settings{Lease: testLease, Policies: Policies{LearnSpeeds: learn}})
		c.sched.startTerm(1)
		assert.Equal(t, c.sched.fleet.speeds != nil, learn)
	}
}
