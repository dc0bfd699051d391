// Package interference learns how much each kind of batch work slows each
// service, from usage that arrives late.
//
// For every service it fits ln(latency) of an upstream over a window as
//
//	base + load·busy + Σ effect(kind)·share(kind) + noise
//
// where share(kind) is the part of the VM's processors that tasks of the kind
// held in that window, and busy the part of the service's slots in use. The fit
// is recursive least squares with exponential forgetting, which gives each
// effect a standard error for free; a pair that was never seen together keeps
// the prior. Windows are matched with the tasks that ran in them by the time of
// the measurement, not by its arrival.
package interference

import (
	"math"
	"time"

	"rudderfork.example/rudderfork"
)

// assumedShare is the part of a VM's processors at which Slowdown is given.
const assumedShare = 0.25

// Prior is what is assumed before anything was seen, and how fast the past is
// forgotten.
type Prior struct {
	HalfLife    time.Duration // after which a sample counts half
	Effect      float64       // of an unseen pair: on ln(latency), for all processors
	EffectError float64       // its standard error
	NoiseVar    float64       // variance of ln(latency) between windows

	// Outlier bounds how far a window may pull the fit, as a difference of
	// ln(latency); 0 means any.
	Outlier float64
}

// Services is the prior for services beside batch jobs that hold processors of
// their own: one that holds all of them slows a service by a fifth, give or
// take.
func Services() Prior {
	return Prior{HalfLife: 30 * time.Minute, Effect: 0.18, EffectError: 0.35, NoiseVar: 0.02}
}

// Fillers is the prior for serving tasks beside fillers. In trials with random
// paces on calm days of the users' platform, two pairs of images in three had
// effects of about 0, the others of 3 to 25; tails of half a second swing by a
// third of themselves without any filler.
func Fillers() Prior {
	return Prior{HalfLife: 30 * time.Second, Effect: 3, EffectError: 8, NoiseVar: 0.12, Outlier: 1.5}
}

// Sample is one window of one service at one upstream.
type Sample struct {
	Service rudderfork.Service
	At      time.Time // end of the window
	Latency time.Duration
	Busy    float64            // share of slots in use
	Shares  map[string]float64 // share of processors by kind of batch work
}

// Model holds the fits. It is not safe for concurrent use.
type Model struct {
	prior Prior
	fits  map[rudderfork.Service]*fit
}

// New returns a model that knows nothing but a prior.
func New(p Prior) *Model { return &Model{prior: p, fits: map[rudderfork.Service]*fit{}} }

// Observe takes one window. Windows may arrive late and out of order.
func (m *Model) Observe(s Sample) {
	if s.Latency <= 0 {
		return
	}
	f := m.fits[s.Service]
	if f == nil {
		f = newFit(m.prior)
		m.fits[s.Service] = f
	}
	f.observe(s)
}

// Slowdown implements rudderfork.Interference: the factor for a task that holds
// a quarter of the VM's processors.
func (m *Model) Slowdown(s rudderfork.Service, kind string, now time.Time) (factor, stderr float64) {
	effect, e := m.Effect(s, kind, now)
	factor = math.Exp(effect * assumedShare)
	return factor, factor * e * assumedShare
}

// Effect is what a kind that holds all processors adds to ln(latency), with its
// standard error.
func (m *Model) Effect(s rudderfork.Service, kind string, now time.Time) (effect, stderr float64) {
	if f := m.fits[s]; f != nil {
		return f.effect(kind, now)
	}
	return m.prior.Effect, m.prior.EffectError
}

// fit is the regression of one service. Index 0 is the base, 1 the load, the
// rest are kinds.
type fit struct {
	prior Prior
	index map[string]int
	beta  []float64
	cov   [][]float64
	at    time.Time

	samples int
}

// settled is how many windows a fit needs before it calls any an outlier: the
// base is far off at first.
const settled = 5

func newFit(p Prior) *fit {
	f := &fit{prior: p, index: map[string]int{}}
	f.grow(math.Log(0.01), 4) // 10 ms within a factor of e² or so
	f.grow(0.5, 1)
	return f
}

// grow adds a coefficient with its prior mean and variance.
func (f *fit) grow(mean, variance float64) int {
	n := len(f.beta)
	f.beta = append(f.beta, mean)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	f.cov = append(f.cov, make([]float64, n+1))
	f.cov[n][n] = variance
	return n
}

func (f *fit) kind(k string) int {
	i, ok := f.index[k]
	if !ok {
		i = f.grow(f.prior.Effect, f.prior.EffectError*f.prior.EffectError)
		f.index[k] = i
	}
	return i
}

func (f *fit) observe(s Sample) {
	for k := range s.Shares {
		f.kind(k)
	}
	x := make([]float64, len(f.beta))
	x[0], x[1] = 1, s.Busy
	for k, share := range s.Shares {
		x[f.index[k]] = share
	}
	f.forget(s.At)
	f.update(x, math.Log(s.Latency.Seconds()))
}

// forget widens the errors by the time since the newest sample.
func (f *fit) forget(at time.Time) {
	if f.at.IsZero() || !at.After(f.at) {
		if f.at.IsZero() {
			f.at = at
		}
		return
	}
	grow := math.Exp2(float64(at.Sub(f.at)) / float64(f.prior.HalfLife))
	f.at = at
	for i := range f.cov {
		for j := range f.cov[i] {
			f.cov[i][j] *= grow
		}
		// No effect is known worse than the prior.
		limit := f.prior.EffectError * f.prior.EffectError
		if i < 2 {
			limit = 4
		}
		if f.cov[i][i] > limit {
			shrink := math.Sqrt(limit / f.cov[i][i])
			for j := range f.cov {
				f.cov[i][j] *= shrink
				f.cov[j][i] *= shrink
			}
		}
	}
}

// update is one step of recursive least squares.
func (f *fit) update(x []float64, y float64) {
	n := len(x)
	px := make([]float64, n)
	predicted, variance := 0.0, f.prior.NoiseVar
	for i := range n {
		for j := range n {
			px[i] += f.cov[i][j] * x[j]
		}
		predicted += f.beta[i] * x[i]
	}
	for i := range n {
		variance += x[i] * px[i]
	}
	off := y - predicted
	if o := f.prior.Outlier; o > 0 && f.samples > settled {
		off = max(-o, min(o, off))
	}
	f.samples++
	for i := range n {
		f.beta[i] += px[i] / variance * off
	}
	for i := range n {
		for j := range n {
			f.cov[i][j] -= px[i] * px[j] / variance
		}
	}
}

// effect returns a kind's coefficient and its standard error at now.
func (f *fit) effect(kind string, now time.Time) (effect, stderr float64) {
	i, ok := f.index[kind]
	if !ok {
		return f.prior.Effect, f.prior.EffectError
	}
	v := f.cov[i][i]
	if now.After(f.at) {
		v *= math.Exp2(float64(now.Sub(f.at)) / float64(f.prior.HalfLife))
	}
	return f.beta[i], math.Sqrt(min(max(v, 0), f.prior.EffectError*f.prior.EffectError))
}
