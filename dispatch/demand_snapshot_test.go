package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// TestRestoreShortDemand guards against a new leader that gives away the capacity that short tasks need
// before it has seen any, and against a reserve for the demand of long ago.
func TestRestoreShortDemand(t *testing.T) {
	t0 := time.Unix(1000, 0)
	var before ShortDemand
	_, ok := before.Snapshot(t0)
	assert.Assert(t, !ok)
	before.Observe(ShortTasks{Running: 8, Waiting: 2, CPUMilli: 15_000}, rudderfork.Millis(t0))
	snapshot, ok := before.Snapshot(t0.Add(time.Second))
	assert.Assert(t, ok)
	now := t0.Add(5 * time.Hour) // the clock of another machine
	t.Run("a recent demand is restored and goes on", func(t *testing.T) {
		var d ShortDemand
		restored, invalid := d.Restore(snapshot, 3*time.Second, now)
		assert.Equal(t, fmt.Sprint(restored, invalid), "1 0")
		assert.Equal(t, d, ShortDemand{at: rudderfork.Millis(now) - 4000, tasks: 10, cpu: 1500})
		d.Observe(ShortTasks{}, rudderfork.Millis(now)+1000)
		assert.Equal(t, d.tasks, 5.0)
	})
	t.Run("an old or invalid one is unknown", func(t *testing.T) {
		var d ShortDemand
		for _, age := range []time.Duration{5 * time.Second, 365 * 24 * time.Hour} {
			restored, invalid := d.Restore(snapshot, age, now)
			assert.Equal(t, restored+invalid, 0)
		}
		for _, s := range []DemandSnapshot{{Tasks: math.NaN()}, {Spread: -1}, {CPU: math.Inf(1)}, {AgeMS: -1}, {Tasks: 1e9}} {
			_, invalid := d.Restore(s, 0, now)
			assert.Equal(t, invalid, 1, "%+v", s)
		}
		assert.Equal(t, d, ShortDemand{})
	})
	t.Run("a demand that stays the same has the same snapshot", func(t *testing.T) {
		d := before
		for now := rudderfork.Millis(t0); now < rudderfork.Millis(t0)+300_000; now += 100 {
			d.Observe(ShortTasks{}, now)
		}
		s, _ := d.Snapshot(t0.Add(5 * time.Minute))
		assert.Equal(t, s.Tasks+s.Spread, 0.0)
	})
}
