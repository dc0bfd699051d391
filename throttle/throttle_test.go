package throttle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

var t0 = time.Unix(1000, 0)

// run observes one pressure each 250 ms for a while and returns the end.
func run(l *Controller, pressure float64, from time.Time, d time.Duration) time.Time {
	for now := from; ; now = now.Add(250 * time.Millisecond) {
		if now.After(from.Add(d)) {
			return now
		}
		l.Observe(pressure, 2, now)
	}
}

func levels(l *Controller) [2]int {
	m := l.Levels([]Task{{"heavy/0", 300, 1}, {"light/0", 100, 1}})
	return [2]int{m[rudderfork.TaskID("light/0")], m[rudderfork.TaskID("heavy/0")]}
}

func TestLadder(t *testing.T) {
	var l Controller
	now := run(&l, 0.5, t0, time.Minute)
	assert.Equal(t, levels(&l), [2]int{0, 0})
	t.Run("one step at a time just above the target, on the lightest first", func(t *testing.T) {
		l.Observe(1.05, 2, now)
		l.Observe(1.05, 2, now.Add(100*time.Millisecond))
		assert.Equal(t, levels(&l), [2]int{1, 0})
	})
	t.Run("it goes up while the pressure stays", func(t *testing.T) {
		now = run(&l, 1.2, now, 12*time.Second)
		assert.Equal(t, levels(&l), [2]int{3, 3})
		assert.Assert(t, l.Exhausted(now))
	})
	t.Run("it holds between the marks", func(t *testing.T) {
		now = run(&l, 0.97, now, time.Minute)
		assert.Equal(t, levels(&l), [2]int{3, 3})
		assert.Assert(t, !l.Exhausted(now))
	})
	t.Run("it comes down step by step, the heaviest first", func(t *testing.T) {
		now = run(&l, 0.2, now, calmSpell+calmSpell/2)
		got := levels(&l)
		assert.Assert(t, got[0] == 3 && got[1] < 3 && got[1] > 0, "%v", got)
		run(&l, 0.2, now, time.Minute)
		assert.Equal(t, levels(&l), [2]int{0, 0})
	})
}

// TestNoFlapping has the pressure jump to and fro faster than the calm spell.
func TestNoFlapping(t *testing.T) {
	var l Controller
	changes, last := 0, [2]int{}
	for i := range 400 {
		p := 0.3
		if i%8 == 0 {
			p = 1.1
		}
		l.Observe(p, 2, t0.Add(time.Duration(i)*250*time.Millisecond))
		if got := levels(&l); got != last {
			changes, last = changes+1, got
		}
	}
	assert.Assert(t, changes <= 6, "the levels changed %d times in 100 s", changes)
}

// TestGrowsCautious has each step down prove too much: the next waits longer.
func TestGrowsCautious(t *testing.T) {
	var l Controller
	now := run(&l, 1.2, t0, 20*time.Second)
	top := levels(&l)
	waits := []time.Duration{}
	for range 4 {
		from := now
		for levels(&l) == top {
			now = now.Add(250 * time.Millisecond)
			l.Observe(0.5, 2, now)
		}
		waits = append(waits, now.Sub(from))
		now = run(&l, 1.05, now, 4*time.Second)
	}
	for i := 1; i < len(waits); i++ {
		assert.Assert(t, waits[i] > waits[i-1], "%v", waits)
	}
}

// TestWorstFirst has the kind that slows the services most throttled first.
func TestWorstFirst(t *testing.T) {
	var l Controller
	l.Observe(1.05, 2, t0)
	got := l.Levels([]Task{{"quiet/0", 100, 1.05}, {"noisy/0", 100, 1.6}})
	assert.Equal(t, got["noisy/0"], 1)
	assert.Equal(t, got["quiet/0"], 0)
}
