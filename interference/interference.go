// Package interference learns how much each kind of batch work slows each service
// (Model), and how much fillers reduce the headroom of serving tasks
// (PressureModel).
//
// For every service Model fits the logarithm of the latency of an upstream in a time
// window as
//
//	ln(latency) = base + load·busy + Σ effect(kind)·share(kind) + noise
//
// where share(kind) is the part of the VM's processors that tasks of the kind
// held in that window, and busy the part of the service's slots in use. The fit
// is recursive least squares with exponential forgetting, which also gives the
// standard error of each effect. A pair of service and kind that was never observed
// keeps the prior. Usage reports arrive late, so the caller matches windows with the
// tasks that ran in them by the time of the measurement, not by its arrival.
package interference

import (
	"math"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/regression"
)

// slowdownShare is the part of a VM's processors that Slowdown assumes a task to
// hold.
const slowdownShare = 0.25

// Prior is what a Model assumes before the first observation, and how fast old
// observations lose weight.
type Prior struct {
	HalfLife    time.Duration // age at which a sample has half of its weight
	Effect      float64       // what a kind that holds all processors adds to ln(latency) of a service, for an unobserved pair
	EffectError float64       // standard error of Effect
	NoiseVar    float64       // variance of ln(latency) between windows
}

// ServicePrior returns the prior for services and batch jobs that use separate
// processors of a VM: a kind with a share of 1 is assumed to slow a service by a
// fifth.
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
	index map[string]int // coefficient of each kind
	reg   regression.Fit
	at    time.Time // of the newest sample
}

// baseVar is the initial variance of the base, whose initial value is ln(10 ms). The
// standard error is a factor of e² in the latency. baseVar also bounds the variance
// of the load.
const baseVar = 4

func newFit(p Prior) *fit {
	f := &fit{prior: p, index: map[string]int{}}
	f.reg.Grow(math.Log(0.01), baseVar)
	f.reg.Grow(0.5, 1)
	return f
}

// coefficient returns the index of a kind's coefficient. It adds the coefficient if
// the kind is new.
func (f *fit) coefficient(k string) int {
	i, ok := f.index[k]
	if !ok {
		i = f.reg.Grow(f.prior.Effect, f.prior.EffectError*f.prior.EffectError)
		f.index[k] = i
	}
	return i
}

func (f *fit) observe(s Sample) {
	for k := range s.Shares {
		f.coefficient(k)
	}
	x := make([]float64, f.reg.Size())
	x[0], x[1] = 1, s.Busy
	for k, share := range s.Shares {
		x[f.index[k]] = share
	}
	f.widen(s.At)
	f.reg.Update(x, math.Log(s.Latency.Seconds()), f.prior.NoiseVar, 0)
}

// widen raises the variances with the time since the newest sample: those of base and
// load at most to baseVar, the others at most to that of the prior.
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
