// Package pace sets the pace of each filler on a VM, its speed from 0 to 1, so that the
// VM's serving tasks keep their tail latency objectives.
//
// The headroom of a serving task is its tail latency objective divided by its tail
// latency. A task with a headroom below 1 is overloaded: it misses its objective. The
// pressure of a pair of images is the headroom that a serving task of the one loses to
// fillers of the other that use all processors of the VM. The loss is linear in the share
// of the processors that the fillers use, as package interference models it. Pressures
// differ widely by pair: most are negligible, and some let a single filler take all the
// headroom. The impact of a filler on a serving task is the headroom that the task loses to
// it at full speed. (In packages throttle, usage and placement, pressure is another
// quantity: the ratio of a tail latency to its target.)
//
// Speeds computes the headroom that each serving task would have without fillers and
// distributes what exceeds TargetHeadroom, the slack, among the fillers: first to those
// that the rest of their step waits for, then to those with the least impact. On a VM with
// serving tasks the fillers together get only the processors that other tasks leave idle.
// If a serving task is overloaded, all fillers with more than negligible impact on it are
// slowed, even if the model predicts slack. If that does not help, Guard stops all fillers
// of the VM.
package pace

import (
	"cmp"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// MaxUtilization is the share of a VM's processors that may be in use beside serving
	// tasks. Fillers get the most work done at this value: at 0.88 some processors stay idle,
	// and at 1.1 fillers only slow each other down.
	MaxUtilization = 0.97
	// ServingUtilization is the share of its processors that a serving task uses on average.
	ServingUtilization = 0.42
	// TargetHeadroom is the headroom that fillers leave a serving task. It exceeds 1 to allow
	// for changes of load within half a second, the age of the measurements: even without
	// fillers the headroom changes by 0.3 in that time.
	TargetHeadroom = 1.1
	// MaxHeadroom bounds the headroom assumed without fillers, since tail latencies are
	// measured in whole milliseconds and are 0 before the first response.
	MaxHeadroom = 3.3
	// NegligibleImpact is the impact on a serving task below which a filler is not slowed for
	// it: a fiftieth of the average headroom.
	NegligibleImpact = 0.05
	// overloadFactor multiplies the speed of fillers that affect an overloaded serving task.
	// It applies only if the measured speed exceeds the speed last set by at most
	// speedTolerance; otherwise the last reduction is not measured yet.
	overloadFactor = 0.3
	speedTolerance = 0.1
	// maxRise bounds the increase of speed in one call of Speeds. If the model is wrong,
	// the measurements show it only half a second later.
	maxRise = 0.25
	// maxOverload is how long a serving task may be overloaded until all fillers of the VM
	// stop. It is longer than a single high measurement lasts and well below the 4 s that
	// users accept.
	maxOverload = 2_200 * time.Millisecond
	// resumeHeadroom is the headroom that all serving tasks must exceed before stopped fillers
	// resume.
	resumeHeadroom = 1.1
)

// ServingTask is the latest measurement of a serving task.
type ServingTask struct {
	Image    string
	Headroom float64 // tail latency objective divided by tail latency
}

// Headroom returns the objective divided by the tail latency, or MaxHeadroom if there is
// no measurement.
func Headroom(objectiveMS, tailMS int64) float64 {
	if tailMS <= 0 {
		return MaxHeadroom
	}
	return float64(objectiveMS) / float64(tailMS)
}

// Filler is a filler with its present speed.
type Filler struct {
	Run           rudderfork.RunRef
	Image         string
	CPUShare      float64 // of the VM's processors, at full speed
	Speed         float64 // 0 to 1, as last set
	MeasuredSpeed float64 // 0 to 1, average while the headrooms were measured
	// LastOfStep reports that most other tasks of its step are done and the job waits for
	// this one.
	LastOfStep bool
}

// PressureFunc returns the pressure of a pair of images: that of a serving task and that of
// a filler.
type PressureFunc func(serving, filler string) float64

// Speeds returns the new speeds of the fillers, 0 to 1, in the order of fillers. idle is the
// share of the VM's processors that the fillers may use together. It is ignored if there are
// no serving tasks.
func Speeds(serving []ServingTask, fillers []Filler, idle float64, pressure PressureFunc) []float64 {
	slack := make([]float64, len(serving))
	for i, s := range serving {
		slack[i] = slackOf(s, fillers, pressure)
	}
	speeds := make([]float64, len(fillers))
	for _, f := range byPriority(serving, fillers, pressure) {
		speeds[f] = speedOf(fillers[f], serving, slack, pressure)
		if len(serving) > 0 {
			speeds[f] = min(speeds[f], max(0, idle)/fillers[f].CPUShare)
		}
		idle -= fillers[f].CPUShare * speeds[f]
		for i, s := range serving {
			slack[i] -= pressure(s.Image, fillers[f].Image) * fillers[f].CPUShare * speeds[f]
		}
	}
	return speeds
}

// slackOf returns the headroom that a serving task would have without fillers, less
// TargetHeadroom.
func slackOf(s ServingTask, fillers []Filler, pressure PressureFunc) float64 {
	undisturbed := s.Headroom
	for _, f := range fillers {
		undisturbed += pressure(s.Image, f.Image) * f.CPUShare * f.MeasuredSpeed
	}
	return min(undisturbed, MaxHeadroom) - TargetHeadroom
}

// byPriority returns the indexes of the fillers: those that their step waits for first,
// then by increasing impact, which is the greatest on any of the serving tasks. Equal
// fillers are ordered by task, so that the order is stable.
func byPriority(serving []ServingTask, fillers []Filler, pressure PressureFunc) []int {
	impact := make([]float64, len(fillers))
	order := make([]int, len(fillers))
	for i, f := range fillers {
		order[i] = i
		for _, s := range serving {
			impact[i] = max(impact[i], pressure(s.Image, f.Image)*f.CPUShare)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(compareLastOfStep(fillers[a], fillers[b]), cmp.Compare(impact[a], impact[b]), cmp.Compare(fillers[a].Run.Task, fillers[b].Run.Task))
	})
	return order
}

// compareLastOfStep orders fillers that their step waits for before others.
func compareLastOfStep(a, b Filler) int {
	switch {
	case a.LastOfStep == b.LastOfStep:
		return 0
	case a.LastOfStep:
		return -1
	}
	return 1
}

// speedOf returns the new speed of a filler that may use the slack that the fillers before
// it have left.
func speedOf(f Filler, serving []ServingTask, slack []float64, pressure PressureFunc) float64 {
	speed := min(1, f.Speed+maxRise)
	for i, s := range serving {
		impact := pressure(s.Image, f.Image) * f.CPUShare
		if impact < NegligibleImpact {
			continue
		}
		speed = min(speed, max(0, slack[i])/impact)
		if s.Headroom < 1 && f.MeasuredSpeed <= f.Speed+speedTolerance {
			speed = min(speed, overloadFactor*f.Speed)
		}
	}
	return speed
}

// Guard stops all fillers of a VM if a serving task stays overloaded. It covers errors of
// the model, since pressures can change within seconds. The zero value is ready to use.
type Guard struct {
	overloadedSince time.Time // when a headroom fell to 1; zero once all exceed resumeHeadroom
}

// ShouldStop updates the guard with the present serving tasks and reports whether all
// fillers must stop.
func (g *Guard) ShouldStop(serving []ServingTask, now time.Time) bool {
	least := MaxHeadroom
	for _, s := range serving {
		least = min(least, s.Headroom)
	}
	switch {
	case least > resumeHeadroom:
		g.overloadedSince = time.Time{}
	case least <= 1 && g.overloadedSince.IsZero():
		g.overloadedSince = now
	}
	return !g.overloadedSince.IsZero() && now.Sub(g.overloadedSince) >= maxOverload
}
