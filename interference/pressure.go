package interference

import (
	"math"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/regression"
)

// PressureModel learns what fillers take from serving tasks, by pair of images.
//
// A serving task answers like a queue: its tail is about s/(1-ρ), where ρ is the
// load on it, its own and what fillers beside it add. So its headroom, the
// objective over the tail, falls in a straight line with the speeds of the
// fillers:
//
//	headroom = own - Σ pressure(pair)·share
//
// where share is the part of the VM's processors at which fillers of an image
// work. The tail itself explodes near ρ = 1, and its logarithm bends: in trials
// with random paces the headroom left 13% of the variance unexplained, the
// logarithm 21%, the tail 50%.
//
// The task's own part swings with its load over seconds, so the fit is over the
// differences between two figures of one task, in which it nearly cancels.
type PressureModel struct {
	fits map[string]*pressureFit // by serving image
}

const (
	// priorPressure is assumed of a pair that was never seen, with its standard
	// error. On calm days of the users' platform two pairs in three take less
	// than 1, the others 4 to 12.
	priorPressure, priorError = 2.0, 3.0
	// assumedError is the standard error of what was learned elsewhere: half of
	// what is unknown.
	assumedError = priorError / 2
	// pressureHalfLife is when a difference counts half.
	pressureHalfLife = time.Minute
	// figureVar is the variance of a difference by the rounding of its figures,
	// and swingVar what a second of the task's own swings adds: without fillers
	// the headroom was seen to move by 0.3 in half a second.
	figureVar, swingVar = 0.03, 0.25
	// outlier bounds how far one difference may pull the fit, in standard
	// deviations.
	outlier = 3.0
	// longestGap is how far apart two figures may lie.
	longestGap = 1500 * time.Millisecond
	// leastChange is the least change of a share that tells anything.
	leastChange = 0.005
	// saturated is the headroom under which a figure tells little: the tail is
	// bounded by what the users' clients wait for.
	saturated = 0.15
	// maxFigures bounds the tasks whose last figure is kept.
	maxFigures = 4_096
)

// HeadroomSample is a serving task's headroom, and what worked beside it meanwhile.
type HeadroomSample struct {
	Image    string
	Run      rudderfork.RunRef
	At       time.Time
	Headroom float64
	Shares   map[string]float64 // of the VM's processors, by image of the fillers
}

// Pair names the image of a serving task and that of a filler.
type Pair struct{ Serving, Filler string }

// NewPressureModel returns a model that knows nothing but a prior.
func NewPressureModel() *PressureModel { return &PressureModel{fits: map[string]*pressureFit{}} }

// DefaultPressure is the pressure assumed of a pair that was never seen.
func DefaultPressure() float64 { return priorPressure }

// Observe takes a figure. Figures of a run come in the order of their times.
func (p *PressureModel) Observe(f HeadroomSample) {
	p.fit(f.Image).observe(f)
}

// SetPrior takes a pressure that was learned elsewhere, unless the pair was seen
// here already, and reports whether it did.
func (p *PressureModel) SetPrior(serving, filler string, pressure float64) bool {
	fit := p.fit(serving)
	if _, known := fit.index[filler]; known {
		return false
	}
	fit.index[filler] = fit.reg.Grow(max(0, pressure), assumedError*assumedError)
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

// Estimate returns the pressure of a pair and its standard error.
func (p *PressureModel) Estimate(serving, filler string, now time.Time) (pressure, stderr float64) {
	if f := p.fits[serving]; f != nil {
		return f.of(filler, now)
	}
	return priorPressure, priorError
}

// pressureFit is the regression of one serving image; its coefficients are the
// images of fillers.
type pressureFit struct {
	index map[string]int
	reg   regression.Fit
	at    time.Time
	last  map[rudderfork.RunRef]HeadroomSample
}

func (p *pressureFit) observe(f HeadroomSample) {
	before, ok := p.last[f.Run]
	if len(p.last) >= maxFigures && !ok {
		clear(p.last)
	}
	p.last[f.Run] = f
	gap := f.At.Sub(before.At)
	if !ok || gap <= 0 || gap > longestGap || f.Headroom < saturated && before.Headroom < saturated {
		return
	}
	if x := p.change(before.Shares, f.Shares); x != nil {
		p.forget(f.At)
		p.update(x, f.Headroom-before.Headroom, figureVar+swingVar*gap.Seconds())
	}
}

// change returns what the fillers took off, for each coefficient, or nil if they
// worked on as before.
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
		changed = changed || math.Abs(x[i]) >= leastChange
	}
	if !changed {
		return nil
	}
	return x
}

// update takes a difference, and keeps the pressures from falling below zero:
// fillers do not speed anyone up.
func (p *pressureFit) update(x []float64, y, noise float64) {
	p.reg.Update(x, y, noise, outlier)
	p.reg.Bound(0)
}

// forget widens the errors by the time since the newest difference.
func (p *pressureFit) forget(at time.Time) {
	if !p.at.IsZero() && at.After(p.at) {
		p.reg.Widen(regression.Growth(at.Sub(p.at), pressureHalfLife), func(int) float64 { return priorError * priorError })
	}
	if at.After(p.at) {
		p.at = at
	}
}

func (p *pressureFit) of(filler string, now time.Time) (pressure, stderr float64) {
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
