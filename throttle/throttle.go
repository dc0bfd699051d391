// Package throttle decides how much an agent slows the batch tasks that run on the
// VM of its services.
//
// It is a feedback controller with hysteresis, after Heracles (ISCA 2015). The
// pressure is the services' tail latency divided by their target. A throttle step
// raises the throttle level of one task by one. When the pressure is above 1 the
// controller adds steps at once, more of them the higher the pressure is. Just
// below 1 it changes nothing. At lower pressures it removes one step at a time,
// after a delay that grows if the pressure rises again soon after a removal. (A
// threshold well below 1, as in Heracles, would never end the throttling of tasks
// beside a service that is near its target even without them.) Steps go first to
// the tasks that are expected to slow the services most for their weight. When all
// tasks are throttled fully and the pressure stays above 1, Exhausted reports that
// a task must be evicted.
package throttle

import (
	"cmp"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// MaxLevel is the throttle level at which a task is paused. At level 0 it runs
	// at full speed.
	MaxLevel = 3
	// raiseAbove is the pressure above which steps are added, lowerBelow the one
	// at or below which they may be removed.
	raiseAbove = 1.0
	lowerBelow = 0.95
	// moderateAbove is the pressure above which half as many steps as tasks are added.
	moderateAbove = 1.1
	// minSlowdown is the least slowdown (factor - 1) assumed of a task, so that the
	// order depends on weight also among tasks that slow nothing.
	minSlowdown = 0.01
	// severeAbove is the pressure above which as many steps as tasks are added.
	severeAbove = 1.5
	// raiseInterval is the least time between two additions of steps, so that the
	// effect of the first is measured before the second.
	raiseInterval = time.Second
	// lowerDelay is how long the pressure must stay low before a step is removed. It
	// doubles, up to maxDoublings times, if the pressure rises above raiseAbove
	// within trialPeriod after a removal. Otherwise a doubling is undone. After a
	// removal the next one takes half of the delay.
	lowerDelay   = 3 * time.Second
	trialPeriod  = 8 * time.Second
	maxDoublings = 4
	// exhaustAfter is how long all tasks must be throttled fully with the pressure
	// above raiseAbove before Exhausted reports it.
	exhaustAfter = 5 * time.Second
)

// Task is a running task.
type Task struct {
	ID       rudderfork.TaskID
	Weight   int64
	Slowdown float64 // expected factor on the services' latency; 0 counts as 1
}

// harm is the expected slowdown of the services divided by the task's weight. Tasks
// with the greatest harm are throttled first.
func (t Task) harm() float64 {
	return max(t.Slowdown-1, minSlowdown) / float64(max(1, t.Weight))
}

// Controller decides on the throttle levels of one VM's tasks. The zero value is
// ready to use. It is not safe for concurrent use.
type Controller struct {
	steps     int       // sum of the levels of all tasks
	nextRaise time.Time // from when on steps may be added
	nextLower time.Time // from when on a step may be removed
	// exhaustedSince is since when all tasks are throttled fully while the pressure is
	// above raiseAbove; zero if that is not so.
	exhaustedSince time.Time
	pressure       float64 // as last observed
	tasks          int     // number of running tasks, as last observed

	doublings  int       // how often lowerDelay is doubled now
	trialUntil time.Time // end of the trial period of the last removal; zero if it is over
}

// Observe updates the steps by the pressure in the newest measurement window and the
// number of running tasks.
func (c *Controller) Observe(pressure float64, tasks int, now time.Time) {
	maxSteps := MaxLevel * tasks
	if tasks < c.tasks {
		c.exhaustedSince = time.Time{} // wait for the effect of the task's end
	}
	c.pressure, c.tasks = pressure, tasks
	c.steps = min(c.steps, maxSteps)
	c.endTrial(pressure, now)
	delay := lowerDelay << c.doublings
	switch {
	case pressure > raiseAbove:
		c.nextLower = now.Add(delay)
		if now.Before(c.nextRaise) {
			return
		}
		c.nextRaise = now.Add(raiseInterval)
		switch {
		case pressure > severeAbove:
			c.steps += tasks
		case pressure > moderateAbove:
			c.steps += (tasks + 1) / 2
		default:
			c.steps++
		}
		c.steps = min(c.steps, maxSteps)
	case pressure > lowerBelow:
		c.nextLower = now.Add(delay)
	case c.steps > 0 && !now.Before(c.nextLower):
		c.steps--
		c.nextLower = now.Add(delay / 2)
		c.trialUntil = now.Add(trialPeriod)
	}
	c.updateExhaustedSince(maxSteps, now)
}

// endTrial ends the trial period of the last removal if the pressure has risen or
// the period is over, and adapts the delay.
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

// updateExhaustedSince sets or clears exhaustedSince by the present steps and pressure.
func (c *Controller) updateExhaustedSince(maxSteps int, now time.Time) {
	if maxSteps == 0 || c.steps < maxSteps || c.pressure <= raiseAbove {
		c.exhaustedSince = time.Time{}
	} else if c.exhaustedSince.IsZero() {
		c.exhaustedSince = now
	}
}

// Exhausted reports whether the pressure has been above raiseAbove for exhaustAfter
// although all tasks were throttled fully.
func (c *Controller) Exhausted(now time.Time) bool {
	return !c.exhaustedSince.IsZero() && now.Sub(c.exhaustedSince) >= exhaustAfter
}

// Levels returns the throttle level of each task, 0 to MaxLevel. Each task in the
// order of decreasing harm gets as many of the steps as MaxLevel allows.
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
