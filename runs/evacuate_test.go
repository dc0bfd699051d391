package runs_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

const (
	evacuationSeeds = 250
	evacuationSteps = 600
	// cordonDelay is how long starts may still be sent after an evacuation was acknowledged:
	// as long as a grant allows them, and one step for rounding. It is no longer if agents are
	// cut off, frozen or replaced, or if there is no leader.
	cordonDelay = startWindow + stepTime
)

// evacuator orders and ends evacuations at random times.
type evacuator struct {
	s           *simulation
	evacuatedAt map[rudderfork.Domain]time.Time
	startCalls  int // starts that were sent
}

func newEvacuator(s *simulation) *evacuator {
	e := &evacuator{s: s, evacuatedAt: map[rudderfork.Domain]time.Time{}}
	s.onStartCall = e.check
	return e
}

// check checks that no start is sent to a failure domain later than cordonDelay after its
// evacuation was acknowledged.
func (e *evacuator) check(v *vm, ref rudderfork.RunRef) {
	e.startCalls++
	since, ordered := e.evacuatedAt[v.domain]
	if !ordered || e.s.now.Sub(since) <= cordonDelay {
		return
	}
	e.s.t.Fatalf("%v: %s starts %v, %v after the evacuation of %s", e.s.now, v.id, ref, e.s.now.Sub(since), v.domain)
}

// step may order or end an evacuation. Some orders are repeated.
func (e *evacuator) step() {
	if e.s.rng.IntN(40) > 0 {
		return
	}
	d := e.s.vms[e.s.rng.IntN(len(e.s.vms))].domain
	if e.s.rng.IntN(2) == 0 {
		e.end(d)
		return
	}
	e.s.apply(queue.Command{Evacuate: &queue.Evacuate{Domain: d}})
	if _, ordered := e.evacuatedAt[d]; !ordered {
		e.evacuatedAt[d] = e.s.now
	}
}

func (e *evacuator) end(d rudderfork.Domain) {
	e.s.apply(queue.Command{Evacuate: &queue.Evacuate{Domain: d, End: true}})
	delete(e.evacuatedAt, d)
}

// TestEvacuations guards against starts in an evacuated failure domain. Evacuations begin and end
// while orders are late, lost or repeated, leaders change, VMs are cut off or frozen, executors
// crash and agents are replaced. Once all evacuations have ended, all jobs must end.
func TestEvacuations(t *testing.T) {
	calls := 0
	for seed := range uint64(evacuationSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed, 3)
			e := newEvacuator(s)
			s.faulty = true
			s.submitJobs()
			for n := range evacuationSteps {
				e.step()
				s.step(n)
			}
			s.faulty = false
			for _, v := range s.vms {
				v.exec.Flush()
				e.end(v.domain)
			}
			for n := range calmSteps {
				s.step(n)
			}
			s.assertJobsEnded(t)
			calls += e.startCalls
		})
	}
	assert.Assert(t, calls > evacuationSeeds, "%d starts in all schedules", calls)
}
