package runs_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// suspendSeeds is how many schedules with suspended machines are tried.
const suspendSeeds = 100

// countDoubleRuns plays a schedule in which machines are countDoubleRuns again and again, and
// returns how often a task began while it was at work elsewhere.
func countDoubleRuns(t *testing.T, seed uint64, standStill bool) int {
	s := newSimulation(t, seed, 3)
	s.faulty, s.clockStops = true, standStill
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

// TestSuspended suspends machines for up to 4 s at any step of leases, grants and
// starts. By a clock that goes on meanwhile no task runs twice at once, which began
// holds; by one that stands still a lease looks alive that the leader took for over,
// and the schedules show it.
func TestSuspended(t *testing.T) {
	broken := 0
	for seed := range uint64(suspendSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			countDoubleRuns(t, seed, false)
			broken += countDoubleRuns(t, seed, true)
		})
	}
	assert.Assert(t, broken > 0, "a clock that stands still was not noticed")
	t.Logf("by a clock that stands still, %d tasks ran twice at once", broken)
}
