package throttle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

var t0 = time.Unix(1000, 0)

// run observes one pressure each 250 ms for a while and returns the end.
func run(l *Ladder, pressure float64, from time.Time, d time.Duration) time.Time {
	for now := from; ; now = now.Add(250 * time.Millisecond) {
		if now.After(from.Add(d)) {
			return now
		}
		l.Observe(pressure, 2, now)
	}
}

func levels(l *Ladder) [2]int {
	m := l.Levels([]Task{{"heavy/0", 300}, {"light/0", 100}})
	return [2]int{m[rudderfork.TaskID("light/0")], m[rudderfork.TaskID("heavy/0")]}
}

func TestLadder(t *testing.T) {
	var l Ladder
	now := run(&l, 0.5, t0, time.Minute)
	assert.Equal(t, levels(&l), [2]int{0, 0})
	t.Run("one step at a time just above the target, on the lightest first", func(t *testing.T) {
		l.Observe(1.1, 2, now)
		l.Observe(1.1, 2, now.Add(100*time.Millisecond))
		assert.Equal(t, levels(&l), [2]int{1, 0})
	})
	t.Run("it goes up while the pressure stays", func(t *testing.T) {
		now = run(&l, 1.1, now, 10*time.Second)
		assert.Equal(t, levels(&l), [2]int{3, 3})
		assert.Assert(t, l.Exhausted(now))
	})
	t.Run("it holds between the marks", func(t *testing.T) {
		now = run(&l, 0.9, now, time.Minute)
		assert.Equal(t, levels(&l), [2]int{3, 3})
		assert.Assert(t, !l.Exhausted(now))
	})
	t.Run("it comes down step by step, the heaviest first", func(t *testing.T) {
		now = run(&l, 0.2, now, calmSpell+raisePause)
		got := levels(&l)
		assert.Assert(t, got[0] == 3 && got[1] < 3 && got[1] > 0, "%v", got)
		run(&l, 0.2, now, time.Minute)
		assert.Equal(t, levels(&l), [2]int{0, 0})
	})
}

// TestNoFlapping has the pressure jump to and fro faster than the calm spell.
func TestNoFlapping(t *testing.T) {
	var l Ladder
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
