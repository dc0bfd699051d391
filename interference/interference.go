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
	"rudderfork.example/rudderfork/internal/regression"
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
}

// ServicePrior is the prior for services beside batch jobs that hold processors of
// their own: one that holds all of them slows a service by a fifth, give or
// take.
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
	reg   regression.Fit
	at    time.Time
}

// baseVar is the variance of the base and of the load's part at first: 10 ms
// within a factor of e² or so.
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
	f.forget(s.At)
	f.reg.Update(x, math.Log(s.Latency.Seconds()), f.prior.NoiseVar, 0)
}

// forget widens the errors by the time since the newest sample. No effect is
// known worse than the prior.
func (f *fit) forget(at time.Time) {
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
