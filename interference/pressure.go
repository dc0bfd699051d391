package interference

import (
	"math"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/regression"
)

// PressureModel learns how much fillers reduce the headroom of serving tasks, for
// each pair of images. It is not safe for concurrent use.
//
// A serving task behaves like a queue: its tail latency is about s/(1-ρ), where ρ
// is its utilization, by its own load and by the fillers beside it. So its
// headroom, the latency objective over the tail latency, is linear in the speeds
// of the fillers:
//
//	headroom = own - Σ pressure(pair)·share
//
// where share is the part of the VM's processors at which fillers of an image
// work, and own depends on the task's own load. The tail latency itself diverges
// near ρ = 1, and its logarithm is not linear: with random speeds of the fillers a
// linear fit of the headroom left 13% of the variance unexplained, one of the
// logarithm 21%, one of the tail latency 50%.
//
// The task's own load varies over seconds. So the fit uses the differences between
// successive samples of a task, in which own nearly cancels out.
type PressureModel struct {
	fits map[string]*pressureFit // by serving image
}

const (
	// priorPressure is the pressure assumed of a pair that was never observed,
	// priorError its standard error. On calm days of the users' platform two pairs
	// in three have a pressure below 1, the others of 4 to 12.
	priorPressure, priorError = 2.0, 3.0
	// transferredError is the standard error of a pressure that another process
	// learned: half of that of the prior.
	transferredError = priorError / 2
	// pressureHalfLife is the age at which a difference has half of its weight.
	pressureHalfLife = time.Minute
	// roundingVar is the variance of a difference by the rounding of its samples.
	// loadVar is the variance that the task's own load adds for each second between
	// them: without fillers the headroom moves by 0.3 in half a second.
	roundingVar, loadVar = 0.03, 0.25
	// outlierBound is the deviation from the prediction to which that of a
	// difference is limited, in standard deviations.
	outlierBound = 3.0
	// maxGap is the longest time between two samples whose difference is used.
	maxGap = 1500 * time.Millisecond
	// minChange is the least change of a share for which a difference is used.
	minChange = 0.005
	// saturatedBelow is the headroom below which two successive samples are not
	// used: the timeout of the users' clients bounds the tail latency there.
	saturatedBelow = 0.15
	// maxLastSamples is the number of runs for which the last sample is kept.
	maxLastSamples = 4_096
)

// HeadroomSample is a serving task's headroom and the fillers' share of the
// processors during the measurement.
type HeadroomSample struct {
	Image    string // of the serving task
	Run      rudderfork.RunRef
	At       time.Time
	Headroom float64
	Shares   map[string]float64 // of the VM's processors, by image of the fillers
}

// Pair is the image of a serving task and that of a filler.
type Pair struct{ Serving, Filler string }

// NewPressureModel returns a model without observations.
func NewPressureModel() *PressureModel { return &PressureModel{fits: map[string]*pressureFit{}} }

// DefaultPressure returns the pressure assumed of a pair that was never observed.
func DefaultPressure() float64 { return priorPressure }

// Observe adds a sample. Those of one run must come in the order of their times.
func (p *PressureModel) Observe(f HeadroomSample) {
	p.fit(f.Image).observe(f)
}

// SetPrior sets the prior of a pair to a pressure that another process learned,
// unless the pair is known already, and reports whether it did.
func (p *PressureModel) SetPrior(serving, filler string, pressure float64) bool {
	fit := p.fit(serving)
	if _, known := fit.index[filler]; known {
		return false
	}
	fit.index[filler] = fit.reg.Grow(max(0, pressure), transferredError*transferredError)
	return true
}

// fit returns the regression of a serving image.
func (p *PressureModel) fit(serving string) *pressureFit {
	f := p.fits[serving]
	if f == nil {
		f = &pressureFit{index: map[string]int{}, last: map[rudderfork.RunRef]HeadroomSample{}}
		p.fits[serving] = f
	}
	return f
}

// Estimate returns the pressure of a pair and its standard error at now.
func (p *PressureModel) Estimate(serving, filler string, now time.Time) (pressure, stderr float64) {
	if f := p.fits[serving]; f != nil {
		return f.estimate(filler, now)
	}
	return priorPressure, priorError
}

// pressureFit is the regression of one serving image. Its coefficients are the
// pressures of the images of fillers.
type pressureFit struct {
	index map[string]int
	reg   regression.Fit
	at    time.Time
	last  map[rudderfork.RunRef]HeadroomSample
}

func (p *pressureFit) observe(f HeadroomSample) {
	before, ok := p.last[f.Run]
	if len(p.last) >= maxLastSamples && !ok {
		clear(p.last)
	}
	p.last[f.Run] = f
	gap := f.At.Sub(before.At)
	if !ok || gap <= 0 || gap > maxGap || f.Headroom < saturatedBelow && before.Headroom < saturatedBelow {
		return
	}
	if x := p.change(before.Shares, f.Shares); x != nil {
		p.widen(f.At)
		p.update(x, f.Headroom-before.Headroom, roundingVar+loadVar*gap.Seconds())
	}
}

// change returns the decrease of the fillers' share for each coefficient, or nil if
// no share has changed by minChange.
func (p *pressureFit) change(before, now map[string]float64) []float64 {
	for _, shares := range []map[string]float64{before, now} {
		for image := range shares {
			if _, known := p.index[image]; !known {
				p.index[image] = p.reg.Grow(priorPressure, priorError*priorError)
			}
		}
	}
	x := make([]float64, p.reg.Size())
	changed := false
	for image, i := range p.index {
		x[i] = before[image] - now[image]
		changed = changed || math.Abs(x[i]) >= minChange
	}
	if !changed {
		return nil
	}
	return x
}

// update adds a difference to the fit and bounds the pressures to zero or more,
// since fillers don't speed up a serving task.
func (p *pressureFit) update(x []float64, y, noise float64) {
	p.reg.Update(x, y, noise, outlierBound)
	p.reg.Bound(0)
}

// widen raises the variances with the time since the newest difference, at most to
// that of the prior.
func (p *pressureFit) widen(at time.Time) {
	if !p.at.IsZero() && at.After(p.at) {
		p.reg.Widen(regression.Growth(at.Sub(p.at), pressureHalfLife), func(int) float64 { return priorError * priorError })
	}
	if at.After(p.at) {
		p.at = at
	}
}

func (p *pressureFit) estimate(filler string, now time.Time) (pressure, stderr float64) {
	i, ok := p.index[filler]
	if !ok {
		return priorPressure, priorError
	}
	v := p.reg.Variance(i)
	if now.After(p.at) {
		v *= regression.Growth(now.Sub(p.at), pressureHalfLife)
	}
	return p.reg.Beta(i), min(math.Sqrt(v), priorError)
}
