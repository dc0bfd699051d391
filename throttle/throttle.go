// Package throttle decides how much an agent slows the batch tasks beside its
// services.
//
// It is a feedback controller with hysteresis, after Heracles (ISCA 2015). The
// pressure is the services' tail latency over their target. Above the target the
// controller adds throttle steps at once, more of them the higher the pressure
// is. Just below the target it changes nothing. Lower still it takes one step
// back at a time, after a delay that grows if the pressure rises again soon
// after a step back. (A threshold well below the target, as in Heracles, would
// never end the throttling of tasks beside a service that is near its target by
// itself.) Steps go first to the tasks that are expected to slow the services
// most for their weight. When all tasks are throttled fully and the pressure
// stays above the target, Exhausted reports that a task must be evicted.
package throttle

import (
	"cmp"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// MaxLevel is the throttle level at which a task stands still; at level 0 it
	// runs at full speed.
	MaxLevel = 3
	// raiseAbove is the pressure above which steps are added, lowerBelow the one
	// at or below which they may be taken back.
	raiseAbove = 1.0
	lowerBelow = 0.95
	// moderateAbove is the pressure above which a step for every other task is added.
	moderateAbove = 1.1
	// minSlowdown is the least slowdown (factor - 1) assumed of a kind, so that
	// weight counts also among kinds that slow nothing.
	minSlowdown = 0.01
	// severeAbove is the pressure above which a step for each task is added.
	severeAbove = 1.5
	// raiseInterval is the least time between two rises, in which the first shows
	// its effect.
	raiseInterval = time.Second
	// lowerDelay is how long the pressure must stay low before a step is taken
	// back. It doubles, up to maxDoublings times, if the pressure exceeds the
	// target within trialPeriod of that, and else halves.
	lowerDelay   = 3 * time.Second
	trialPeriod  = 8 * time.Second
	maxDoublings = 4
	// exhaustAfter is how long all tasks must be throttled fully under pressure
	// before Exhausted reports it.
	exhaustAfter = 5 * time.Second
)

// Task is a running task.
type Task struct {
	ID       rudderfork.TaskID
	Weight   int64
	Slowdown float64 // expected factor on the services' latency; 0 counts as 1
}

// harm is the expected slowdown of the services for the task's weight. Tasks with
// the greatest harm are throttled first.
func (t Task) harm() float64 {
	return max(t.Slowdown-1, minSlowdown) / float64(max(1, t.Weight))
}

// Controller decides on the throttle levels of one VM's tasks. The zero value is
// ready to use. It is not safe for concurrent use.
type Controller struct {
	steps     int // sum of the levels of all tasks
	raiseFrom time.Time
	lowerFrom time.Time // when a step may be taken back
	topSince  time.Time
	pressure  float64
	tasks     int

	doublings  int       // of lowerDelay
	trialUntil time.Time // end of the trial of the last step back; zero without one
}

// Observe takes the pressure over the newest window and the number of running
// tasks.
func (c *Controller) Observe(pressure float64, tasks int, now time.Time) {
	top := MaxLevel * tasks
	if tasks < c.tasks {
		c.topSince = time.Time{} // the end of a task must show its effect first
	}
	c.pressure, c.tasks = pressure, tasks
	c.steps = min(c.steps, top)
	c.endTrial(pressure, now)
	delay := lowerDelay << c.doublings
	switch {
	case pressure > raiseAbove:
		c.lowerFrom = now.Add(delay)
		if now.Before(c.raiseFrom) {
			return
		}
		c.raiseFrom = now.Add(raiseInterval)
		switch {
		case pressure > severeAbove:
			c.steps += tasks
		case pressure > moderateAbove:
			c.steps += (tasks + 1) / 2
		default:
			c.steps++
		}
		c.steps = min(c.steps, top)
	case pressure > lowerBelow:
		c.lowerFrom = now.Add(delay)
	case c.steps > 0 && !now.Before(c.lowerFrom):
		c.steps--
		c.lowerFrom = now.Add(delay / 2)
		c.trialUntil = now.Add(trialPeriod)
	}
	c.updateTopSince(top, now)
}

// endTrial ends the trial of the last step back if the pressure has risen or the
// trial period is over, and adapts the delay.
func (c *Controller) endTrial(pressure float64, now time.Time) {
	switch {
	case c.trialUntil.IsZero():
	case pressure > raiseAbove:
		c.doublings = min(c.doublings+1, maxDoublings)
		c.trialUntil = time.Time{}
	case !now.Before(c.trialUntil):
		c.doublings = max(c.doublings-1, 0)
		c.trialUntil = time.Time{}
	}
}

func (c *Controller) updateTopSince(top int, now time.Time) {
	if top == 0 || c.steps < top || c.pressure <= raiseAbove {
		c.topSince = time.Time{}
	} else if c.topSince.IsZero() {
		c.topSince = now
	}
}

// Exhausted reports whether the pressure has been above the target for
// exhaustAfter though all tasks are throttled fully.
func (c *Controller) Exhausted(now time.Time) bool {
	return !c.topSince.IsZero() && now.Sub(c.topSince) >= exhaustAfter
}

// Levels returns the throttle level of each task, 0 to MaxLevel: the steps are
// given to the tasks of greatest harm first.
func (c *Controller) Levels(tasks []Task) map[rudderfork.TaskID]int {
	ts := slices.Clone(tasks)
	slices.SortFunc(ts, func(a, b Task) int {
		return cmp.Or(cmp.Compare(b.harm(), a.harm()), cmp.Compare(a.ID, b.ID))
	})
	levels := map[rudderfork.TaskID]int{}
	left := c.steps
	for _, t := range ts {
		levels[t.ID] = min(MaxLevel, left)
		left -= levels[t.ID]
	}
	return levels
}
