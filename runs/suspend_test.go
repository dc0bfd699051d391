package runs_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// suspendSeeds is the number of schedules with suspended VMs.
const suspendSeeds = 100

// countDoubleRuns runs a schedule in which VMs are suspended again and again. It returns how
// often a run started while another run of the task was at work, or after the task was done.
func countDoubleRuns(t *testing.T, seed uint64, clockStops bool) int {
	s := newSimulation(t, seed, 3)
	s.faulty, s.clockStops = true, clockStops
	for i := range 8 {
		spec := queue.Spec{Payload: fmt.Sprintf("work=%dms", 1000+700*i), Steps: []queue.Step{{Count: 3, Size: rudderfork.Resources{CPUMilli: taskSize}}}}
		s.apply(queue.Command{Submit: &queue.Submit{Host: host, Path: fmt.Sprintf("/q/job%d", i), Spec: spec, KeepMS: 1 << 40}})
	}
	for n := range faultSteps {
		if s.rng.IntN(100) == 0 {
			s.vms[s.rng.IntN(len(s.vms))].frozenSteps = s.rng.IntN(200)
		}
		s.step(n)
	}
	return s.doubleRuns
}

// TestSuspended guards against tasks that run twice because an agent, after its VM was suspended,
// treats an expired lease as valid. VMs are suspended for up to 4 s. With a clock that goes on during
// the suspension, no task runs twice, as recordStart checks. With a clock that stops, some do.
func TestSuspended(t *testing.T) {
	doubleRuns := 0
	for seed := range uint64(suspendSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			countDoubleRuns(t, seed, false)
			doubleRuns += countDoubleRuns(t, seed, true)
		})
	}
	assert.Assert(t, doubleRuns > 0, "no task ran twice although the clock stops while a VM is suspended")
	t.Logf("with a clock that stops, %d runs started while the task ran or after it was done", doubleRuns)
}
