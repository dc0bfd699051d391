package throttle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

var t0 = time.Unix(1000, 0)

// run observes the same pressure every 250 ms for d and returns the time of the
// next observation.
func run(c *Controller, pressure float64, from time.Time, d time.Duration) time.Time {
	for now := from; ; now = now.Add(250 * time.Millisecond) {
		if now.After(from.Add(d)) {
			return now
		}
		c.Observe(pressure, 2, now)
	}
}

// levels returns the levels of a light and a heavy task that are expected to slow
// nothing.
func levels(c *Controller) [2]int {
	m := c.Levels([]Task{{"heavy/0", 300, 1}, {"light/0", 100, 1}})
	return [2]int{m[rudderfork.TaskID("light/0")], m[rudderfork.TaskID("heavy/0")]}
}

func TestController(t *testing.T) {
	var c Controller
	now := run(&c, 0.5, t0, time.Minute)
	assert.Equal(t, levels(&c), [2]int{0, 0})
	t.Run("a single step just above the target, for the task of least weight", func(t *testing.T) {
		c.Observe(1.05, 2, now)
		c.Observe(1.05, 2, now.Add(100*time.Millisecond))
		assert.Equal(t, levels(&c), [2]int{1, 0})
	})
	t.Run("it adds steps while the pressure stays high", func(t *testing.T) {
		now = run(&c, 1.2, now, 12*time.Second)
		assert.Equal(t, levels(&c), [2]int{3, 3})
		assert.Assert(t, c.Exhausted(now))
	})
	t.Run("it changes nothing just below the target", func(t *testing.T) {
		now = run(&c, 0.97, now, time.Minute)
		assert.Equal(t, levels(&c), [2]int{3, 3})
		assert.Assert(t, !c.Exhausted(now))
	})
	t.Run("it takes back single steps, from the task of greatest weight first", func(t *testing.T) {
		now = run(&c, 0.2, now, lowerDelay+lowerDelay/2)
		got := levels(&c)
		assert.Assert(t, got[0] == 3 && got[1] < 3 && got[1] > 0, "%v", got)
		run(&c, 0.2, now, time.Minute)
		assert.Equal(t, levels(&c), [2]int{0, 0})
	})
}

// TestLevelsDontOscillate checks that the levels hardly change when the pressure
// alternates faster than the delay before a step is removed.
func TestLevelsDontOscillate(t *testing.T) {
	var c Controller
	changes, last := 0, [2]int{}
	for i := range 400 {
		p := 0.3
		if i%8 == 0 {
			p = 1.1
		}
		c.Observe(p, 2, t0.Add(time.Duration(i)*250*time.Millisecond))
		if got := levels(&c); got != last {
			changes, last = changes+1, got
		}
	}
	assert.Assert(t, changes <= 6, "the levels changed %d times in 100 s", changes)
}

// TestDelayGrows checks that the delay before a step is removed grows when the
// pressure rises after each removal.
func TestDelayGrows(t *testing.T) {
	var c Controller
	now := run(&c, 1.2, t0, 20*time.Second)
	initial := levels(&c)
	waits := []time.Duration{}
	for range 4 {
		from := now
		for levels(&c) == initial {
			now = now.Add(250 * time.Millisecond)
			c.Observe(0.5, 2, now)
		}
		waits = append(waits, now.Sub(from))
		now = run(&c, 1.05, now, 4*time.Second)
	}
	for i := 1; i < len(waits); i++ {
		assert.Assert(t, waits[i] > waits[i-1], "the delays are %v", waits)
	}
}

// TestThrottlesMostHarmfulFirst checks that of two tasks of equal weight the one
// that slows the services more is throttled first.
func TestThrottlesMostHarmfulFirst(t *testing.T) {
	var c Controller
	c.Observe(1.05, 2, t0)
	got := c.Levels([]Task{{"quiet/0", 100, 1.05}, {"noisy/0", 100, 1.6}})
	assert.Equal(t, got["noisy/0"], 1)
	assert.Equal(t, got["quiet/0"], 0)
}
