package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
)

// The two starts of the tests' executor, under one id.
var (
	firstStart  = rudderfork.LifeName("i-1", 1000)
	secondStart = rudderfork.LifeName("i-1", 2000)
)

// stateOf returns a state in which the executor of one VM is in a life.
func stateOf(life string) *queue.State {
	s := queue.New()
	s.Apply(queue.Command{Register: &queue.VM{ID: "vm1", Life: life, Service: "desk"}}, 1)
	return s
}

// TestUpkeepOfStart finds the VM of an executor that the provider lists by its id,
// whichever start it is in.
func TestUpkeepOfStart(t *testing.T) {
	for _, life := range []string{"i-1", firstStart, secondStart} {
		s := stateOf(life)
		assert.Equal(t, vmOfExecutor(s, "i-1"), s.VM("vm1"))
		assert.Assert(t, vmOfExecutor(s, "i-2") == nil)
		assert.Assert(t, vmOfExecutor(s, "") == nil)
	}
}

// TestTicketOfStart keeps no ticket over a start: an executor would refuse it.
func TestTicketOfStart(t *testing.T) {
	now, step := steady.Now(), queue.StepKey{Job: "j"}
	for life, want := range map[string]map[rudderfork.VMID]string{firstStart: {"vm1": "t-1"}, secondStart: {}} {
		s := stateOf(life)
		s.Apply(queue.Command{Document: &queue.Document{
			Version: 1, Queues: []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "desk", MaxAttempts: 1}},
			Pools: []queue.Pool{{Service: "desk"}},
		}}, 1)
		s.Apply(queue.Command{Submit: &queue.Submit{Host: "h", Path: "/q/j", Spec: queue.Spec{Steps: []queue.Step{{Count: 1}}}}}, 1)
		a := newAdvice()
		a.steps[step] = &leave{tickets: map[rudderfork.VMID]ticket{"vm1": {text: "t-1", life: firstStart, until: now.Add(usualValidity)}}}
		assert.DeepEqual(t, a.view(s, now)[step], want)
	}
}
