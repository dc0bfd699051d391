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
// A serving task behaves like a queueing system: its tail latency is about s/(1-ρ),
// where s is its tail latency without load and ρ its utilization, to which its own
// load and the fillers beside it contribute. So its headroom, the latency objective
// divided by the tail latency, is linear in the speeds of the fillers:
//
//	headroom = own - Σ pressure(pair)·share
//
// where pair is the image of the task and an image of fillers, share is the part of
// the VM's processors that the fillers of that image use, and own depends on the
// task's own load. The tail latency itself diverges near ρ = 1, and its logarithm is
// not linear: with random speeds of the fillers a linear fit of the headroom left 13%
// of the variance unexplained, one of the logarithm of the tail latency 21%, and one
// of the tail latency 50%.
//
// The task's own load varies within seconds. So the fit uses the differences between
// successive samples of a task, in which own nearly cancels out.
type PressureModel struct {
	fits    map[string]*pressureFit // by serving image
	changes uint64                  // number of samples
}

const (
	// priorPressure is the pressure assumed of a pair that was never observed,
	// priorError its standard error. On calm days of the users' platform two pairs
	// in three have a pressure below 1, the others of 4 to 12.
	priorPressure, priorError = 2.0, 3.0
	// transferredError is the standard error assumed of a pressure that another
	// process learned: half of that of the prior.
	transferredError = priorError / 2
	// pressureHalfLife is the age at which a difference has half of its weight.
	pressureHalfLife = time.Minute
	// roundingVar is the variance of a difference that is due to the rounding of its
	// samples. loadVar is the variance that the task's own load adds for each second
	// between them: without fillers the headroom changes by 0.3 in half a second.
	roundingVar, loadVar = 0.03, 0.25
	// outlierBound is the maximum deviation of a difference from its prediction, in
	// standard deviations. A greater deviation counts as this one.
	outlierBound = 3.0
	// maxGap is the longest time between two samples whose difference is used.
	maxGap = 1500 * time.Millisecond
	// minChange is the minimum change of a share for which a difference is used.
	minChange = 0.005
	// saturatedBelow bounds the differences that are used: not those of two samples
	// whose headrooms are both below it, where the timeout of the clients bounds the
	// tail latency.
	saturatedBelow = 0.15
	// maxLastSamples is the number of runs of which a fit keeps the last sample. When
	// one more is added, it first drops all of them.
	maxLastSamples = 4_096
)

// HeadroomSample is a serving task's headroom and the fillers' share of the
// processors during the measurement.
type HeadroomSample struct {
	Image    string // of the serving task
	Run      rudderfork.RunRef
	At       time.Time
	Headroom float64
	Shares   map[string]float64 // of the VM's processors that fillers use, by image of the fillers
}

// Pair consists of the image of a serving task and that of a filler.
type Pair struct{ Serving, Filler string }

// NewPressureModel returns a model without observations.
func NewPressureModel() *PressureModel { return &PressureModel{fits: map[string]*pressureFit{}} }

// DefaultPressure returns the pressure assumed of a pair that was never observed.
func DefaultPressure() float64 { return priorPressure }

// Observe adds a sample. Those of one run must come in the order of their times.
func (p *PressureModel) Observe(s HeadroomSample) {
	p.changes++
	p.fit(s.Image).observe(s)
}

// SetPrior sets the prior of a pair to a pressure that another process learned. It
// changes nothing and returns false if the pair was observed or has a prior already, unless that was
// restored and is less certain.
func (p *PressureModel) SetPrior(serving, filler string, pressure float64) bool {
	fit := p.fit(serving)
	if i, known := fit.index[filler]; known {
		if !fit.restored[filler] || fit.reg.Variance(i) <= transferredError*transferredError {
			return false
		}
		delete(fit.restored, filler)
		fit.reg.Reset(i, max(0, pressure), transferredError*transferredError)
		return true
	}
	fit.index[filler] = fit.reg.Grow(max(0, pressure), transferredError*transferredError)
	return true
}

// fit returns the regression of a serving image. It adds one if there is none.
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
	index map[string]int // coefficient of each image of fillers
	reg   regression.Fit
	at    time.Time                            // of the newest difference
	last  map[rudderfork.RunRef]HeadroomSample // last sample of each run of a serving task

	restored map[string]bool // images whose pressures were restored and not set since; may be nil
}

func (p *pressureFit) observe(s HeadroomSample) {
	before, ok := p.last[s.Run]
	if len(p.last) >= maxLastSamples && !ok {
		clear(p.last)
	}
	p.last[s.Run] = s
	gap := s.At.Sub(before.At)
	if !ok || gap <= 0 || gap > maxGap || s.Headroom < saturatedBelow && before.Headroom < saturatedBelow {
		return
	}
	if x := p.change(before.Shares, s.Shares); x != nil {
		p.widen(s.At)
		p.update(x, s.Headroom-before.Headroom, roundingVar+loadVar*gap.Seconds())
	}
}

// change returns the decrease of the fillers' share for each coefficient, or nil if
// no share has changed by minChange. It adds coefficients for new images.
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

// update adds a difference y of headrooms to the fit, with noise as its variance. It
// raises negative pressures to zero, since fillers don't speed up a serving task.
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
