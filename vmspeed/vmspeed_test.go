package vmspeed

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

const (
	interval   = 500 * time.Millisecond
	expectedMS = 2_000
)

// fleet reports runs of VMs in virtual time. Each VM runs one task of each of some steps, and starts
// the next when it is done.
type fleet struct {
	t  *testing.T
	m  *Model
	at time.Time
	// speeds holds the true speeds, and factors the work times of the tasks of a VM relative to
	// the expected ones, by step; a missing one is 1.
	speeds  map[rudderfork.VMID]float64
	factors map[rudderfork.VMID][]float64
	steps   int
	done    map[queue.RunKey]float64 // percent
}

// newFleet returns a fleet of VMs vm0 to vm3 of the usual speed.
func newFleet(t *testing.T, steps int) *fleet {
	f := &fleet{t: t, m: New(), at: time.Unix(1_000, 0), speeds: map[rudderfork.VMID]float64{}, factors: map[rudderfork.VMID][]float64{}, steps: steps, done: map[queue.RunKey]float64{}}
	for i := range 4 {
		f.speeds[rudderfork.VMID(fmt.Sprint("vm", i))] = 1
	}
	return f
}

// run reports runs for some time. Runs that are done begin anew.
func (f *fleet) run(span time.Duration) {
	for end := f.at.Add(span); f.at.Before(end); f.at = f.at.Add(interval) {
		for vm, speed := range f.speeds {
			f.m.Observe(vm, "life", f.progress(vm, speed), f.at)
		}
	}
}

func (f *fleet) progress(vm rudderfork.VMID, speed float64) (list []Progress) {
	for step := range f.steps {
		factor := 1.0
		if step < len(f.factors[vm]) {
			factor = f.factors[vm][step]
		}
		k := queue.TaskKey{Job: "j", Step: step, Index: int(vm[2] - '0')}.Run(1)
		f.done[k] += 100 * speed / factor * float64(interval.Milliseconds()) / expectedMS
		worked := f.done[k] * factor / speed * expectedMS / 100
		if f.done[k] >= 100 {
			f.done[k], worked = 0, 0
		}
		list = append(list, Progress{k, int(f.done[k]), worked, expectedMS})
	}
	return list
}

// assertSpeed checks the speed of a VM that is certain.
func (f *fleet) assertSpeed(vm rudderfork.VMID, least, most float64) {
	f.t.Helper()
	e := f.m.Estimate(vm, f.at)
	assert.Assert(f.t, least <= e.Certain() && e.Certain() <= most, "%s: %.2f, error %.2f", vm, e.Speed, e.StdErr)
}

// TestSpeed checks which VMs are called slow.
func TestSpeed(t *testing.T) {
	t.Run("one on which all tasks take four times as long, until it has recovered", func(t *testing.T) {
		f := newFleet(t, 5)
		f.run(3 * time.Second)
		f.assertSpeed("vm0", 0.9, 1)
		f.speeds["vm0"] = 0.25
		f.run(5 * time.Second)
		f.assertSpeed("vm0", 0.2, 0.4)
		f.assertSpeed("vm1", 0.9, 1)
		f.speeds["vm0"] = 1
		f.run(5 * time.Second)
		f.assertSpeed("vm0", 0.8, 1)
	})
	t.Run("not one with a single task that takes seven times as long", func(t *testing.T) {
		f := newFleet(t, 5)
		f.factors["vm0"] = []float64{7}
		f.run(10 * time.Second)
		f.assertSpeed("vm0", 0.9, 1)
	})
	t.Run("none if the estimates of all steps are too low", func(t *testing.T) {
		f := newFleet(t, 5)
		for vm := range f.speeds {
			f.factors[vm] = []float64{3, 3, 3, 3, 3}
		}
		f.run(10 * time.Second)
		f.assertSpeed("vm0", 0.8, 1)
	})
	t.Run("not one with the only tasks of a step whose estimate is too low", func(t *testing.T) {
		f := newFleet(t, 0)
		for i := range 8 {
			f.m.ObserveEnd("vm0", "life", Progress{Run: queue.TaskKey{Job: "j", Index: i}.Run(1), WorkedMS: 3 * expectedMS, ExpectedMS: expectedMS}, f.at)
		}
		f.run(interval)
		f.assertSpeed("vm0", 0.9, 1)
	})
	t.Run("no longer one without tasks, after some half-lives", func(t *testing.T) {
		f := newFleet(t, 5)
		f.speeds["vm0"] = 0.25
		f.run(5 * time.Second)
		f.steps = 0
		f.run(6 * halfLife)
		f.assertSpeed("vm0", 0.9, 1)
	})
	t.Run("not a new incarnation", func(t *testing.T) {
		f := newFleet(t, 5)
		f.speeds["vm0"] = 0.25
		f.run(5 * time.Second)
		f.m.Observe("vm0", "next", nil, f.at)
		f.assertSpeed("vm0", 1, 1)
	})
}

// TestArbitraryReports guards against a VM whose reports change its own estimate without bound, or
// that of another VM.
func TestArbitraryReports(t *testing.T) {
	percents := []int{math.MinInt, -5, 0, 300, math.MaxInt, 7, 100, 3}
	works := []float64{0, -1, 1e18, 3, 400, 1e-9}
	f := newFleet(t, 5)
	before := 0.0
	for i := range 200 {
		f.run(interval)
		var list []Progress
		for step := range 5 {
			k := queue.TaskKey{Job: "j", Step: step, Index: 9}.Run(1)
			list = append(list, Progress{k, percents[(i*3+step)%len(percents)], works[(i+step)%len(works)], float64(i%2) * expectedMS})
		}
		f.m.Observe("liar", "life", list, f.at)
		e := f.m.Estimate("liar", f.at)
		assert.Assert(t, math.Abs(math.Log(e.Speed)) <= maxLog && math.Abs(math.Log(e.Speed)-before) <= maxChange*1.01)
		before = math.Log(e.Speed)
		f.assertSpeed("vm0", 0.8, 1)
	}
}

// TestSnapshot checks that a restored model has the estimates, and that bad ones are ignored.
func TestSnapshot(t *testing.T) {
	f := newFleet(t, 5)
	f.speeds["vm0"] = 0.25
	f.run(5 * time.Second)
	s, m := f.m.Snapshot(f.at), New()
	m.Restore(append(s,
		VMSnapshot{VM: "a", LogSpeed: math.NaN(), Weight: 3}, VMSnapshot{VM: "b", LogSpeed: -9, Weight: 3},
		VMSnapshot{VM: "c", LogSpeed: -1, Weight: math.Inf(1)}, VMSnapshot{VM: "d", LogSpeed: -1, Weight: 3, AgeMS: -1},
		VMSnapshot{VM: "vm0", LogSpeed: 1, Weight: 3},
	), f.at)
	for vm := range f.speeds {
		old, restored := f.m.Estimate(vm, f.at), m.Estimate(vm, f.at)
		assert.Assert(t, math.Abs(old.Speed-restored.Speed) < 0.01 && math.Abs(old.StdErr-restored.StdErr) < 0.01)
	}
	assert.Equal(t, len(m.vms), len(s))
	m.Prune(func(id rudderfork.VMID) bool { return id == "vm0" })
	assert.Equal(t, len(m.vms), 1)
	f.m.Prune(func(rudderfork.VMID) bool { return false })
	assert.Equal(t, len(f.m.steps), 0)
}
