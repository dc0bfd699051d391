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
	shrinkSeeds = 250
	// shrinkGrace is how long after a VM's capacity has shrunk starts may still exceed it: until
	// the leader counts the VM as out of contact (contact_ms in the platform's documentation),
	// plus one heartbeat of the executor.
	shrinkGrace = 3*time.Second + reportSteps*stepTime
	reportSteps = 55  // between two heartbeats of an executor
	taskSize    = 500 // thousandths of a core
	shrinkSteps = 2500
)

// shrinker changes the capacities of VMs whose executors do not enforce them.
type shrinker struct {
	s        *simulation
	shrunkAt map[*vm]time.Time
}

func newShrinker(s *simulation) *shrinker {
	sh := &shrinker{s: s, shrunkAt: map[*vm]time.Time{}}
	s.onStarted = sh.check
	return sh
}

// check checks that the run that has just started fits the VM's capacity, with all other runs
// there, also those that are being stopped.
func (sh *shrinker) check(v *vm) {
	used := int64(0)
	for _, on := range sh.s.running {
		if on == v.id {
			used += taskSize
		}
	}
	if sh.s.now.Sub(sh.shrunkAt[v]) < shrinkGrace {
		return
	}
	assert.Assert(sh.s.t, used <= v.capacity, "%v: a start raises the use of %s to %d of %d", sh.s.now, v.id, used, v.capacity)
}

// step may change a capacity, and has executors report theirs.
func (sh *shrinker) step(n int) {
	if sh.s.faulty && sh.s.rng.IntN(60) == 0 {
		v := sh.s.vms[sh.s.rng.IntN(len(sh.s.vms))]
		capacity := int64(1+sh.s.rng.IntN(4)) * taskSize
		if capacity < v.capacity {
			sh.shrunkAt[v] = sh.s.now
		}
		v.capacity = capacity
	}
	for _, v := range sh.s.vms {
		if n%reportSteps == 0 || !sh.s.faulty {
			v.reportedCapacity = v.capacity
			v.reconciler.SetCapacity(rudderfork.Resources{CPUMilli: v.reportedCapacity})
		}
	}
}

// plainJobs is how many jobs submitJobs submits.
const plainJobs = 10

// submitJobs submits jobs of one step whose tasks use capacity.
func (s *simulation) submitJobs() {
	for i := range plainJobs {
		spec := queue.Spec{Payload: fmt.Sprintf("work=%dms", 100+300*i), Steps: []queue.Step{{Count: 4, Size: rudderfork.Resources{CPUMilli: taskSize}}}}
		s.apply(queue.Command{Submit: &queue.Submit{Host: host, Path: fmt.Sprintf("/q/job%d", i), Spec: spec, KeepMS: 1 << 40}})
	}
}

// assertJobsEnded checks that the jobs of submitJobs have ended.
func (s *simulation) assertJobsEnded(t *testing.T) {
	t.Helper()
	for i := range plainJobs {
		j := s.state.Job(rudderfork.JobID(fmt.Sprintf("job%d", i)))
		assert.Assert(t, j.Status.Final(), "%s is %s", j.ID, j.Status)
	}
}

// TestCapacityShrinks guards against starts that exceed a VM's capacity. Capacities shrink and
// grow while orders are late, lost or repeated, leaders change, and VMs are cut off. Once they are
// restored, all jobs must end.
func TestCapacityShrinks(t *testing.T) {
	for seed := range uint64(shrinkSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSimulation(t, seed, 3)
			sh := newShrinker(s)
			s.faulty = true
			s.submitJobs()
			for n := range shrinkSteps {
				sh.step(n)
				s.step(n)
			}
			s.faulty = false
			for _, v := range s.vms {
				v.exec.Flush()
				v.capacity = fullCapacity
			}
			for n := range calmSteps {
				sh.step(n)
				s.step(n)
			}
			s.assertJobsEnded(t)
		})
	}
}
