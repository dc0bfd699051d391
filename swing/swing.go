// Package swing forecasts how the load on serving tasks moves.
//
// The tasks of one serving step take their load from the same users: it rises and falls
// for all of them together, over seconds, and about as often for all steps of a queue.
// (Seen on 62 VMs on a quiet day: the headrooms of two tasks of a job, without fillers
// beside them, go together with a correlation of 0.93; of two jobs of one image with 0.50,
// of others with 0.05.) A headroom of 3 at the calmest may be 1.5 within half a wave. So
// for each step a wave is fitted to the headrooms of all its tasks, which tells each VM
// what its serving tasks will have left while something works beside them.
//
// How long a wave lasts is found by trying: for each queue the period whose waves would
// have foretold the figures best. Where none foretells them better than their mean does,
// there is no forecast.
package swing

import (
	"math"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/regression"
	"rudderfork.example/rudderfork/queue"
)

// periods are those that are tried: loads that go round sooner cannot be followed by
// figures of half a second, later ones hardly move meanwhile.
var periods = []time.Duration{
	5 * time.Second, 6 * time.Second, 7 * time.Second, 8500 * time.Millisecond, 10 * time.Second,
	12 * time.Second, 14 * time.Second, 17 * time.Second, 21 * time.Second, 26 * time.Second,
}

const (
	// meanVar and waveVar are the variances of the priors of a step's mean headroom and of
	// its wave, noiseVar that of a figure about them: figures are in whole milliseconds.
	meanVar, waveVar, noiseVar = 4.0, 1.0, 0.3
	usualMean                  = 2.5
	// outlier bounds how far one figure may pull a wave, in standard deviations.
	outlier = 3.0
	// halfLife is when a figure counts half for its step's wave: as long as a wave.
	halfLife = 10 * time.Second
	// leastFigures are seen of a step before its wave is believed, and leastGain is how
	// much less the waves' errors must be than those of the means.
	leastFigures = 40
	leastGain    = 0.3
	// errorKeep is the part of a queue's sums of errors that a further figure leaves, and
	// meanWeight the weight of a figure in its step's mean, which forgets as slowly.
	errorKeep  = 0.999
	meanWeight = 0.01
)

// Model is what was seen of serving steps. It is not safe for concurrent use.
type Model struct {
	start  time.Time // from which phases are counted
	queues map[string]*errorSums
	steps  map[queue.StepKey]*step
}

// New returns a model that has seen nothing.
func New() *Model {
	return &Model{queues: map[string]*errorSums{}, steps: map[queue.StepKey]*step{}}
}

// errorSums are the squared errors of a queue's forecasts, by period, and of the means.
type errorSums struct {
	waves []float64
	mean  float64
}

// step is the waves of one serving step, by period.
type step struct {
	fits    []regression.Fit
	mean    float64
	figures int
	at      time.Time
}

func newStep() *step {
	s := &step{fits: make([]regression.Fit, len(periods)), mean: usualMean}
	for i := range s.fits {
		s.fits[i].Grow(usualMean, meanVar)
		s.fits[i].Grow(0, waveVar)
		s.fits[i].Grow(0, waveVar)
	}
	return s
}

// Observe takes the headroom that a task of a step had, or would have had without
// fillers.
func (m *Model) Observe(queueName string, k queue.StepKey, headroom float64, at time.Time) {
	if m.start.IsZero() {
		m.start = at
	}
	q := m.queues[queueName]
	if q == nil {
		q = &errorSums{waves: make([]float64, len(periods))}
		m.queues[queueName] = q
	}
	s := m.steps[k]
	if s == nil {
		s = newStep()
		m.steps[k] = s
	}
	s.observe(q, headroom, at, at.Sub(m.start).Seconds())
}

// observe takes a figure at a phase, s, after it was held against the forecasts.
func (s *step) observe(q *errorSums, headroom float64, at time.Time, phase float64) {
	prior := [...]float64{meanVar, waveVar, waveVar}
	for i := range s.fits {
		f, x := &s.fits[i], basis(periods[i], phase)
		if s.known() {
			q.waves[i] = keepError(q.waves[i], headroom-f.Beta(0)-x[1]*f.Beta(1)-x[2]*f.Beta(2))
		}
		if !s.at.IsZero() && at.After(s.at) {
			f.Widen(regression.Growth(at.Sub(s.at), halfLife), func(j int) float64 { return prior[j] })
		}
		f.Update(x, headroom, noiseVar, outlier)
	}
	if s.known() {
		q.mean = keepError(q.mean, headroom-s.mean)
	}
	s.figures++
	s.mean += max(meanWeight, 1/float64(s.figures)) * (headroom - s.mean)
	s.at = at
}

// keepError adds by how much a figure was missed to a sum of squared errors.
func keepError(sum, off float64) float64 { return errorKeep*sum + off*off }

// known reports whether enough was seen of the step for a forecast.
func (s *step) known() bool { return s.figures >= leastFigures }

// basis is what the mean and the parts of a wave are weighted by at a phase, s.
func basis(period time.Duration, phase float64) []float64 {
	sin, cos := math.Sincos(2 * math.Pi * phase / period.Seconds())
	return []float64{1, cos, sin}
}

// Wave is how the headroom of a step's tasks moves about its mean.
type Wave struct {
	Period   time.Duration
	Cos, Sin float64 // at the time that it is counted from
}

// After is what the wave adds to the mean a span after the time that it is counted from.
func (w Wave) After(span time.Duration) float64 {
	if w.Period == 0 {
		return 0
	}
	sin, cos := math.Sincos(2 * math.Pi * span.Seconds() / w.Period.Seconds())
	return w.Cos*cos + w.Sin*sin
}

// Min is the least that the wave adds within a span.
func (w Wave) Min(within time.Duration) float64 {
	const steps = 8 // fine enough for spans shorter than the shortest period
	least := w.After(0)
	for i := 1; i <= steps; i++ {
		least = min(least, w.After(within*time.Duration(i)/steps))
	}
	return least
}

// Forecast returns the wave of a step, counted from a time; ok is false if none is known.
func (m *Model) Forecast(queueName string, k queue.StepKey, at time.Time) (w Wave, ok bool) {
	q, s := m.queues[queueName], m.steps[k]
	if q == nil || s == nil || !s.known() {
		return w, false
	}
	best := slices.Index(q.waves, slices.Min(q.waves))
	if q.waves[best] > (1-leastGain)*q.mean {
		return w, false
	}
	x := basis(periods[best], at.Sub(m.start).Seconds())
	b, c := s.fits[best].Beta(1), s.fits[best].Beta(2)
	// b cos(p+t) + c sin(p+t), as a sum of cos t and sin t.
	return Wave{Period: periods[best], Cos: b*x[1] + c*x[2], Sin: c*x[1] - b*x[2]}, true
}

// Prune drops the steps of jobs that are over.
func (m *Model) Prune(live func(rudderfork.JobID) bool) {
	for k := range m.steps {
		if !live(k.Job) {
			delete(m.steps, k)
		}
	}
}
