// Package throttle decides how much an agent slows the batch tasks beside its
// services.
//
// It is a ladder with hysteresis, after Heracles (ISCA 2015). Pressure is the
// services' tail latency over their target. Above the target the ladder goes up
// at once, further the worse it is; between the marks it holds; below it comes
// down one step at a time, and only after a calm spell, which grows with each
// step that proved too much. (A fixed mark well below the target, as in the
// paper, never let go where the service alone is near its target; see
// docs/DECISIONS.md.) Steps fall
// on those tasks first that are expected to slow the services most for their
// weight. When the ladder is at its top and the pressure
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
	lowerAt = 0.95
	// mildUnder is the pressure below which the ladder goes up by one step.
	mildUnder = 1.1
	// leastSlowdown is what every kind is taken to slow at least.
	leastSlowdown = 0.01
	// severeAt is the pressure at which all tasks go up at once.
	severeAt = 1.5
	// raisePause lets a step show its effect before the next.
	raisePause = time.Second
	// calmSpell is how long the pressure must stay low before a step down. It
	// doubles, up to maxCaution times, with each step down that proved too much
	// within trial, and halves with each that did not.
	calmSpell  = 3 * time.Second
	trial      = 8 * time.Second
	maxCaution = 4
	// exhaustAfter is how long the ladder must be at its top under pressure.
	exhaustAfter = 5 * time.Second
)

// Task is a running task as the ladder sees it.
type Task struct {
	ID       rudderfork.TaskID
	Weight   int64
	Slowdown float64 // expected of its kind, as a factor; 0 counts as 1
}

// nuisance orders tasks: what a task is expected to slow the services, for its
// weight.
func (t Task) nuisance() float64 {
	return max(t.Slowdown-1, leastSlowdown) / float64(max(1, t.Weight))
}

// Controller holds the state. It is not safe for concurrent use. The zero value is
// ready to use.
type Controller struct {
	steps     int // over all tasks, MaxLevel for each
	raiseFrom time.Time
	calmUntil time.Time // a step down is allowed from here on
	topSince  time.Time
	pressure  float64
	tasks     int

	caution    int       // doublings of the calm spell
	trialUntil time.Time // the last step down is on trial; zero if none is
}

// Observe takes the pressure over the newest window and the tasks that run.
func (l *Controller) Observe(pressure float64, tasks int, now time.Time) {
	top := MaxLevel * tasks
	if tasks < l.tasks {
		l.topSince = time.Time{} // what was moved away must show its effect first
	}
	l.pressure, l.tasks = pressure, tasks
	l.steps = min(l.steps, top)
	l.judge(pressure, now)
	spell := calmSpell << l.caution
	switch {
	case pressure > raiseAt:
		l.calmUntil = now.Add(spell)
		if now.Before(l.raiseFrom) {
			return
		}
		l.raiseFrom = now.Add(raisePause)
		switch {
		case pressure > severeAt:
			l.steps += tasks
		case pressure > mildUnder:
			l.steps += (tasks + 1) / 2
		default:
			l.steps++
		}
		l.steps = min(l.steps, top)
	case pressure > lowerAt:
		l.calmUntil = now.Add(spell)
	case l.steps > 0 && !now.Before(l.calmUntil):
		l.steps--
		l.calmUntil = now.Add(spell / 2)
		l.trialUntil = now.Add(trial)
	}
	l.noteTop(top, now)
}

// judge ends the trial of the last step down.
func (l *Controller) judge(pressure float64, now time.Time) {
	switch {
	case l.trialUntil.IsZero():
	case pressure > raiseAt:
		l.caution = min(l.caution+1, maxCaution)
		l.trialUntil = time.Time{}
	case !now.Before(l.trialUntil):
		l.caution = max(l.caution-1, 0)
		l.trialUntil = time.Time{}
	}
}

func (l *Controller) noteTop(top int, now time.Time) {
	if top == 0 || l.steps < top || l.pressure <= raiseAt {
		l.topSince = time.Time{}
	} else if l.topSince.IsZero() {
		l.topSince = now
	}
}

// Exhausted reports whether throttling has not been enough for a while.
func (l *Controller) Exhausted(now time.Time) bool {
	return !l.topSince.IsZero() && now.Sub(l.topSince) >= exhaustAfter
}

// Levels spreads the steps over tasks, those of greatest nuisance first.
func (l *Controller) Levels(tasks []Task) map[rudderfork.TaskID]int {
	ts := slices.Clone(tasks)
	slices.SortFunc(ts, func(a, b Task) int {
		return cmp.Or(cmp.Compare(b.nuisance(), a.nuisance()), cmp.Compare(a.ID, b.ID))
	})
	levels := map[rudderfork.TaskID]int{}
	left := l.steps
	for _, t := range ts {
		levels[t.ID] = min(MaxLevel, left)
		left -= levels[t.ID]
	}
	return levels
}
