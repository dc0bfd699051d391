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
	// cordonDelay is how long after the acknowledgement of an evacuation starts may be
	// called: as long as a grant lets them, a step more for the rounding, and nothing for
	// agents that are cut off, frozen or replaced, nor for leaders that are away.
	cordonDelay = startWindow + stepTime
)

// evacuator orders evacuations and takes them back, at any moment.
type evacuator struct {
	s       *simulation
	evacuatedAt map[rudderfork.Domain]time.Time
	startCalls   int // of starts
}

func newEvacuator(s *simulation) *evacuator {
	e := &evacuator{s: s, evacuatedAt: map[rudderfork.Domain]time.Time{}}
	s.onStartCall = e.check
	return e
}

// check holds that no start is called in a failure domain whose evacuation was
// acknowledged long enough before.
func (e *evacuator) check(v *vm, ref rudderfork.RunRef) {
	e.startCalls++
	since, ordered := e.evacuatedAt[v.domain]
	if !ordered || e.s.now.Sub(since) <= cordonDelay {
		return
	}
	e.s.t.Fatalf("%v: %s starts %v, %v after the evacuation of %s", e.s.now, v.id, ref, e.s.now.Sub(since), v.domain)
}

// step orders an evacuation or takes one back, now and then; some are repeated.
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

// TestEvacuations evacuates failure domains and takes them back while orders are late,
// lost or doubled, leaders change, VMs are cut off or frozen, executors crash and agents
// are replaced: nobody starts anything there any more, and once all are taken back
// everything is done.
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
