// Package interference learns how much each kind of batch work slows each service
// (Model), and how much fillers reduce the headroom of serving tasks
// (PressureModel).
//
// For every service Model fits ln(latency) of an upstream over a window as
//
//	base + load·busy + Σ effect(kind)·share(kind) + noise
//
// where share(kind) is the part of the VM's processors that tasks of the kind
// held in that window, and busy the part of the service's slots in use. The fit
// is recursive least squares with exponential forgetting, which also gives the
// standard error of each effect. A pair that was never observed keeps the prior.
// Usage reports arrive late, so the caller matches windows with the tasks that
// ran in them by the time of the measurement, not by its arrival.
package interference

import (
	"math"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/regression"
)

// slowdownShare is the part of a VM's processors for which Slowdown gives the
// factor.
const slowdownShare = 0.25

// Prior is the assumption before the first observation, and the rate at which old
// observations lose weight.
type Prior struct {
	HalfLife    time.Duration // after which a sample has half of its weight
	Effect      float64       // of an unobserved pair: added to ln(latency) by a kind on all processors
	EffectError float64       // standard error of Effect
	NoiseVar    float64       // variance of ln(latency) between windows
}

// ServicePrior returns the prior for services beside batch jobs that have
// processors of their own: a job that holds all of them is assumed to slow a
// service by a fifth.
func ServicePrior() Prior {
	return Prior{HalfLife: 30 * time.Minute, Effect: 0.18, EffectError: 0.35, NoiseVar: 0.02}
}

// Sample is one window of one service at one upstream.
type Sample struct {
	Service rudderfork.Service
	At      time.Time // end of the window
	Latency time.Duration
	Busy    float64            // share of slots in use
	Shares  map[string]float64 // share of processors by kind of batch work
}

// Model holds a fit for each service. It is not safe for concurrent use.
type Model struct {
	prior Prior
	fits  map[rudderfork.Service]*fit
}

// New returns a model without observations.
func New(p Prior) *Model { return &Model{prior: p, fits: map[rudderfork.Service]*fit{}} }

// Observe adds a window. Windows may arrive late and out of order.
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

// Slowdown implements rudderfork.Interference. It returns the factor on the
// latency by a task that holds a quarter of the VM's processors.
func (m *Model) Slowdown(s rudderfork.Service, kind string, now time.Time) (factor, stderr float64) {
	effect, e := m.Effect(s, kind, now)
	factor = math.Exp(effect * slowdownShare)
	return factor, factor * e * slowdownShare
}

// Effect returns what a kind that holds all processors adds to ln(latency), with
// its standard error.
func (m *Model) Effect(s rudderfork.Service, kind string, now time.Time) (effect, stderr float64) {
	if f := m.fits[s]; f != nil {
		return f.effect(kind, now)
	}
	return m.prior.Effect, m.prior.EffectError
}

// fit is the regression of one service. Coefficient 0 is the base, 1 the load, and
// the others are the effects of kinds.
type fit struct {
	prior Prior
	index map[string]int
	reg   regression.Fit
	at    time.Time // of the newest sample
}

// baseVar is the initial variance of the base, whose initial value is ln(10 ms):
// a standard error of a factor of e². It also bounds the variance of the load.
const baseVar = 4

func newFit(p Prior) *fit {
	f := &fit{prior: p, index: map[string]int{}}
	f.reg.Grow(math.Log(0.01), baseVar)
	f.reg.Grow(0.5, 1)
	return f
}

func (f *fit) kind(k string) int {
	i, ok := f.index[k]
	if !ok {
		i = f.reg.Grow(f.prior.Effect, f.prior.EffectError*f.prior.EffectError)
		f.index[k] = i
	}
	return i
}

func (f *fit) observe(s Sample) {
	for k := range s.Shares {
		f.kind(k)
	}
	x := make([]float64, f.reg.Size())
	x[0], x[1] = 1, s.Busy
	for k, share := range s.Shares {
		x[f.index[k]] = share
	}
	f.widen(s.At)
	f.reg.Update(x, math.Log(s.Latency.Seconds()), f.prior.NoiseVar, 0)
}

// widen raises the variances with the time since the newest sample, at most to
// those of the prior.
func (f *fit) widen(at time.Time) {
	if f.at.IsZero() {
		f.at = at
	}
	if !at.After(f.at) {
		return
	}
	f.reg.Widen(regression.Growth(at.Sub(f.at), f.prior.HalfLife), func(i int) float64 {
		if i < 2 {
			return baseVar
		}
		return f.prior.EffectError * f.prior.EffectError
	})
	f.at = at
}

// effect returns a kind's coefficient and its standard error at now.
func (f *fit) effect(kind string, now time.Time) (effect, stderr float64) {
	i, ok := f.index[kind]
	if !ok {
		return f.prior.Effect, f.prior.EffectError
	}
	v := f.reg.Variance(i)
	if now.After(f.at) {
		v *= regression.Growth(now.Sub(f.at), f.prior.HalfLife)
	}
	return f.reg.Beta(i), math.Sqrt(min(v, f.prior.EffectError*f.prior.EffectError))
}
