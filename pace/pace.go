// Package pace decides how fast each filler of one VM works beside the VM's
// serving tasks.
//
// Fillers press on serving tasks by amounts that differ widely by the pair of
// images: most pairs hardly at all, some so much that one filler takes all that
// a task has left. The model is that of package interference: a serving task's
// headroom, its objective over its tail, falls in a straight line with the share
// of the VM's processors at which fillers work. A step reads the headrooms, adds
// to each what the fillers took from it, and deals what lies above the wanted
// headroom to the fillers: first to those that the rest of their step waits for, then
// the least harmful. A task without any headroom
// cuts what may harm it, whatever the model says, and one that stays so stops all
// of them (Guard). And fillers get only the processors that the others leave
// idle, so they are not given more than that together.
package pace

import (
	"cmp"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// MaxUtilization is the part of a VM's processors that may be in use beside serving
	// tasks. In trials of 0.88, 0.97 and 1.1 over five seeds a day the middle one
	// earned most: beyond it fillers only slow each other.
	MaxUtilization = 0.97
	// ServingUtilization is the part of its processors that a serving task uses, in the
	// mean (the mean load of the users' sheets).
	ServingUtilization = 0.42
	// TargetHeadroom is the headroom that fillers leave a serving task. What is above 1 is
	// for load that swings within half a second, the age of the figures: without
	// fillers the headroom was seen to move by 0.3 in that time.
	TargetHeadroom = 1.1
	// MaxHeadroom is the most that is believed of a task without fillers: the
	// tails are in whole milliseconds, and 0 before the first answers.
	MaxHeadroom = 3.3
	// NegligibleImpact is what a filler at full speed takes from a headroom if the pair is
	// not paced at all: a fiftieth of what tasks have in the mean.
	NegligibleImpact = 0.05
	// cut is what is left of the speed of a filler that may harm a task without
	// headroom, and seenSlack how far the speed that the figures show may lie above
	// the present one for that: else the last cut is not seen yet.
	cut       = 0.3
	seenSlack = 0.1
	// rise bounds the gain of one step: the model may be wrong, and the figures
	// show it half a second later.
	rise = 0.25
	// patience is how long a task may be without headroom until all fillers
	// of the VM stop: longer than a figure that jumped takes to fall back, and
	// well within the 4 s that users accept.
	patience = 2_200 * time.Millisecond
	// relief is the headroom above which they go on.
	relief = 1.1
)

// ServingTask is a serving task as it was last seen.
type ServingTask struct {
	Image    string
	Headroom float64 // the objective over the tail
}

// Headroom returns the objective over a tail, and MostHeadroom while there is no
// figure.
func Headroom(objectiveMS, tailMS int64) float64 {
	if tailMS <= 0 {
		return MaxHeadroom
	}
	return float64(objectiveMS) / float64(tailMS)
}

// Filler is a filler and its present speed.
type Filler struct {
	Run           rudderfork.RunRef
	Image         string
	CPUShare      float64 // of the VM's processors, at full speed
	Speed         float64 // 0 to 1, as last asked for
	MeasuredSpeed float64 // 0 to 1, in the mean while the headrooms were measured
	// LastOfStep says that the other tasks of its step are about done, and wait for it.
	LastOfStep bool
}

// PressureFunc tells what a filler on all processors takes from the headroom of a
// serving task.
type PressureFunc func(serving, filler string) float64

// Speeds returns the speeds of the fillers, 0 to 1, in their order. idle is the
// part of the VM's processors that the fillers may use together.
func Speeds(serving []ServingTask, fillers []Filler, idle float64, pressure PressureFunc) []float64 {
	room := make([]float64, len(serving))
	for i, s := range serving {
		room[i] = roomOf(s, fillers, pressure)
	}
	speeds := make([]float64, len(fillers))
	for _, f := range inTurn(serving, fillers, pressure) {
		speeds[f] = speedOf(fillers[f], serving, room, pressure)
		if len(serving) > 0 {
			speeds[f] = min(speeds[f], max(0, idle)/fillers[f].CPUShare)
		}
		idle -= fillers[f].CPUShare * speeds[f]
		for i, s := range serving {
			room[i] -= pressure(s.Image, fillers[f].Image) * fillers[f].CPUShare * speeds[f]
		}
	}
	return speeds
}

// roomOf is how much fillers may take from a task's headroom, if none did.
func roomOf(s ServingTask, fillers []Filler, pressure PressureFunc) float64 {
	own := s.Headroom
	for _, f := range fillers {
		own += pressure(s.Image, f.Image) * f.CPUShare * f.MeasuredSpeed
	}
	return min(own, MaxHeadroom) - TargetHeadroom
}

// inTurn returns the indexes of the fillers: those that others wait for first, then
// the least harmful, and those that are alike in an order that stays.
func inTurn(serving []ServingTask, fillers []Filler, pressure PressureFunc) []int {
	harm := make([]float64, len(fillers))
	order := make([]int, len(fillers))
	for i, f := range fillers {
		order[i] = i
		for _, s := range serving {
			harm[i] = max(harm[i], pressure(s.Image, f.Image)*f.CPUShare)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(lastFirst(fillers[a], fillers[b]), cmp.Compare(harm[a], harm[b]), cmp.Compare(fillers[a].Run.Task, fillers[b].Run.Task))
	})
	return order
}

// lastFirst orders a filler that others wait for before one that none waits for.
func lastFirst(a, b Filler) int {
	switch {
	case a.LastOfStep == b.LastOfStep:
		return 0
	case a.LastOfStep:
		return -1
	}
	return 1
}

func speedOf(f Filler, serving []ServingTask, room []float64, pressure PressureFunc) float64 {
	speed := min(1, f.Speed+rise)
	for i, s := range serving {
		harm := pressure(s.Image, f.Image) * f.CPUShare
		if harm < NegligibleImpact {
			continue
		}
		speed = min(speed, max(0, room[i])/harm)
		if s.Headroom < 1 && f.MeasuredSpeed <= f.Speed+seenSlack {
			speed = min(speed, cut*f.Speed)
		}
	}
	return speed
}

// Guard stops all fillers of a VM while a task stays without headroom, for where
// the model is wrong: pressures change within seconds. The zero value is ready to
// use.
type Guard struct {
	overSince time.Time
}

// ShouldStop takes the serving tasks as they are now and reports whether all fillers
// are to stand still.
func (g *Guard) ShouldStop(serving []ServingTask, now time.Time) bool {
	least := MaxHeadroom
	for _, s := range serving {
		least = min(least, s.Headroom)
	}
	switch {
	case least > relief:
		g.overSince = time.Time{}
	case least <= 1 && g.overSince.IsZero():
		g.overSince = now
	}
	return !g.overSince.IsZero() && now.Sub(g.overSince) >= patience
}
