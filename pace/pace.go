// Package pace decides how fast each filler of one VM works beside the VM's
// serving tasks.
//
// Fillers disturb serving tasks by amounts that differ widely by the pair of
// images: most pairs hardly at all, some tenfold. The model is that of package
// interference: the logarithm of a serving task's tail is a base plus, for each
// filler, the effect of the pair times the share of the VM's processors at which
// the filler works. A step reads the tails, takes from each what the fillers
// explain, and deals what is left under the objective to the fillers, the least
// harmful first. A tail over its objective cuts what may harm it, whatever the
// model says, and one that stays over it stops all of them (Guard). And all tails
// explode once the VM's processors are used up, so the fillers together get only
// what the others leave idle.
package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

const (
	// MostUsed is the part of a VM's processors that may be in use beside serving
	// tasks. In trials of 0.88, 0.97 and 1.1 over five seeds a day the middle one earned most;
	// the median tail is flat up to 0.9 and doubles at 1.1.
	MostUsed = 0.97
	// ServingUse is the part of its processors that a serving task uses, in the
	// mean (the mean load of the users' sheets).
	ServingUse = 0.42
	// Aim is the tail over its objective that is aimed at. The room above is for
	// load that swings faster than half a second, the age of the figures.
	Aim = 0.80
	// LeastTail is the least tail over its objective that is believed without
	// fillers: the figure is in whole milliseconds and noisy.
	LeastTail = 0.30
	// Harmless is the effect on the logarithm of a tail, at full speed, below
	// which a pair is not paced at all: 3%.
	Harmless = 0.03
	// cut is what is left of the speed of a filler that may harm a tail that is
	// over its objective.
	cut = 0.3
	// rise bounds the gain of one step: the model may be wrong, and the figures
	// show it half a second later.
	rise = 0.25
	// patience is how long a tail may stay over its objective until all fillers
	// of the VM stop: longer than a figure that jumped takes to fall back, and
	// well within the 4 s that users accept.
	patience = 2_200 * time.Millisecond
	// relief is the tail over its objective below which they go on.
	relief = 0.9
)

// Serving is a serving task as it was last seen.
type Serving struct {
	Image string
	Tail  float64 // over its objective
}

// Filler is a filler and its present speed.
type Filler struct {
	Run   rudderfork.RunRef
	Image string
	Share float64 // of the VM's processors, at full speed
	Speed float64 // 0 to 1, as last asked for
	Seen  float64 // 0 to 1, in the mean while the tails were measured
}

// Effects tells the effect of a pair of images: what a filler on all processors
// adds to the logarithm of a tail.
type Effects func(serving, filler string) float64

// Step returns the speeds of the fillers, 0 to 1, in their order. idle is the
// part of the VM's processors that the fillers may use together.
func Step(serving []Serving, fillers []Filler, idle float64, effect Effects) []float64 {
	serving = Typical(serving)
	room := make([]float64, len(serving))
	over := make([]bool, len(serving))
	for i, s := range serving {
		room[i] = roomOf(s, fillers, effect)
		over[i] = s.Tail >= 1
	}
	speeds := make([]float64, len(fillers))
	for _, f := range byHarm(serving, fillers, effect) {
		speeds[f] = speedOf(fillers[f], serving, room, over, effect)
		if len(serving) > 0 {
			speeds[f] = min(speeds[f], max(0, idle)/fillers[f].Share)
		}
		idle -= fillers[f].Share * speeds[f]
		for i, s := range serving {
			room[i] -= max(0, effect(s.Image, fillers[f].Image)) * fillers[f].Share * speeds[f]
		}
	}
	return speeds
}

// Typical returns one serving task for each image, with the lower median of the
// tails. The figures are rough: now and then that of a single task jumps tenfold
// and falls back over a second, beside another of its image that stays calm under
// the same fillers.
func Typical(serving []Serving) (typical []Serving) {
	byImage := map[string][]float64{}
	for _, s := range serving {
		byImage[s.Image] = append(byImage[s.Image], s.Tail)
	}
	for _, image := range slices.Sorted(maps.Keys(byImage)) {
		tails := byImage[image]
		slices.Sort(tails)
		typical = append(typical, Serving{image, tails[(len(tails)-1)/2]})
	}
	return typical
}

// roomOf is how much fillers may add to the logarithm of a task's tail.
func roomOf(s Serving, fillers []Filler, effect Effects) float64 {
	explained := 0.0
	for _, f := range fillers {
		explained += max(0, effect(s.Image, f.Image)) * f.Share * f.Seen
	}
	base := math.Log(max(s.Tail, LeastTail)) - explained
	return math.Log(Aim) - max(base, math.Log(LeastTail))
}

// byHarm returns the indexes of the fillers, the least harmful first.
func byHarm(serving []Serving, fillers []Filler, effect Effects) []int {
	harm := make([]float64, len(fillers))
	order := make([]int, len(fillers))
	for i, f := range fillers {
		order[i] = i
		for _, s := range serving {
			harm[i] = max(harm[i], effect(s.Image, f.Image)*f.Share)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(harm[a], harm[b]) })
	return order
}

func speedOf(f Filler, serving []Serving, room []float64, over []bool, effect Effects) float64 {
	speed := min(1, f.Speed+rise)
	for i, s := range serving {
		harm := effect(s.Image, f.Image) * f.Share
		if harm < Harmless {
			continue
		}
		speed = min(speed, max(0, room[i])/harm)
		if over[i] {
			speed = min(speed, cut*f.Speed)
		}
	}
	return speed
}

// Guard stops all fillers of a VM while a tail stays over its objective, for
// where the model is wrong: effects change within seconds. The zero value is
// ready to use.
type Guard struct {
	overSince time.Time
}

// Stopped takes the tails as they are now and reports whether all fillers are to
// stand still.
func (g *Guard) Stopped(serving []Serving, now time.Time) bool {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, s.Tail)
	}
	switch {
	case worst < relief:
		g.overSince = time.Time{}
	case worst >= 1 && g.overSince.IsZero():
		g.overSince = now
	}
	return !g.overSince.IsZero() && now.Sub(g.overSince) >= patience
}
