// Package throttle decides how much an agent slows the batch tasks beside its
// services.
//
// It is a ladder with hysteresis, after Heracles (ISCA 2015). Pressure is the
// services' tail latency over their target. Above the target the ladder goes up
// at once, further the worse it is; between the marks it holds; well below it
// comes down one step at a time, and only after a calm spell. Steps fall on the
// tasks of least weight first. When the ladder is at its top and the pressure
// stays, throttling has failed, and Exhausted says that something must move.
package throttle

import (
	"cmp"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// MaxLevel is a standstill.
	MaxLevel = 3
	// raiseAt and lowerAt are the pressures at which the ladder goes up, and
	// may come down.
	raiseAt = 1.0
	lowerAt = 0.75
	// severeAt is the pressure at which all tasks go up at once.
	severeAt = 1.5
	// raisePause lets a step show its effect before the next.
	raisePause = time.Second
	// calmSpell is how long the pressure must stay low before a step down.
	calmSpell = 3 * time.Second
	// exhaustAfter is how long the ladder must be at its top under pressure.
	exhaustAfter = 5 * time.Second
)

// Task is a running task as the ladder sees it.
type Task struct {
	ID     rudderfork.TaskID
	Weight int64
}

// Ladder holds the state. It is not safe for concurrent use. The zero value is
// ready to use.
type Ladder struct {
	steps     int // over all tasks, MaxLevel for each
	raiseFrom time.Time
	calmUntil time.Time // a step down is allowed from here on
	topSince  time.Time
	pressure  float64
	tasks     int
}

// Observe takes the pressure over the newest window and the tasks that run.
func (l *Ladder) Observe(pressure float64, tasks int, now time.Time) {
	top := MaxLevel * tasks
	if tasks < l.tasks {
		l.topSince = time.Time{} // what was moved away must show its effect first
	}
	l.pressure, l.tasks = pressure, tasks
	l.steps = min(l.steps, top)
	switch {
	case pressure > raiseAt:
		l.calmUntil = now.Add(calmSpell)
		if now.Before(l.raiseFrom) {
			return
		}
		l.raiseFrom = now.Add(raisePause)
		if pressure > severeAt {
			l.steps += tasks
		} else {
			l.steps += (tasks + 1) / 2
		}
		l.steps = min(l.steps, top)
	case pressure > lowerAt:
		l.calmUntil = now.Add(calmSpell)
	case l.steps > 0 && !now.Before(l.calmUntil):
		l.steps--
		l.calmUntil = now.Add(raisePause)
	}
	l.noteTop(top, now)
}

func (l *Ladder) noteTop(top int, now time.Time) {
	if top == 0 || l.steps < top || l.pressure <= raiseAt {
		l.topSince = time.Time{}
	} else if l.topSince.IsZero() {
		l.topSince = now
	}
}

// Exhausted reports whether throttling has not been enough for a while.
func (l *Ladder) Exhausted(now time.Time) bool {
	return !l.topSince.IsZero() && now.Sub(l.topSince) >= exhaustAfter
}

// Levels spreads the steps over tasks, those of least weight first.
func (l *Ladder) Levels(tasks []Task) map[rudderfork.TaskID]int {
	ts := slices.Clone(tasks)
	slices.SortFunc(ts, func(a, b Task) int {
		return cmp.Or(cmp.Compare(a.Weight, b.Weight), cmp.Compare(a.ID, b.ID))
	})
	levels := map[rudderfork.TaskID]int{}
	left := l.steps
	for _, t := range ts {
		levels[t.ID] = min(MaxLevel, left)
		left -= levels[t.ID]
	}
	return levels
}
