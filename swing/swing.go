// Package swing forecasts the load of serving tasks, which rises and falls periodically.
//
// All tasks of a serving step get their load from the same users. It changes for all of
// them together within seconds, with about the same period for all steps of a queue.
// Two tasks of a job have headrooms (see package pace) with a correlation of 0.93, those of
// two jobs with the same image one of 0.50, and those of other jobs one of 0.05. A headroom
// of 3 can fall to 1.5 within half a period. Therefore a sine wave is fitted to the headrooms
// of all tasks of a step, to predict the headroom that remains while a filler works beside
// them.
//
// The model fits a wave of each of several periods and uses, for all steps of a queue, the
// period whose forecasts had the least squared error. If no period forecasts clearly better
// than the mean, there is no forecast.
package swing

import (
	"math"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/regression"
	"rudderfork.example/rudderfork/queue"
)

// periods are the candidate periods. Shorter ones cannot be fitted to measurements every
// half a second. With longer ones the load hardly changes while a filler works.
var periods = []time.Duration{
	5 * time.Second, 6 * time.Second, 7 * time.Second, 8500 * time.Millisecond, 10 * time.Second,
	12 * time.Second, 14 * time.Second, 17 * time.Second, 21 * time.Second, 26 * time.Second,
}

const (
	// meanVar and waveVar are the prior variances of a step's mean headroom and of the
	// coefficients of its wave. noiseVar is the variance of a sample around the wave: tail
	// latencies are measured in whole milliseconds. defaultMean is the prior mean headroom.
	meanVar, waveVar, noiseVar = 4.0, 1.0, 0.3
	defaultMean                = 2.5
	// maxDeviation bounds the influence of one sample on a wave, in standard deviations.
	maxDeviation = 3.0
	// halfLife is the half-life of a sample in its step's wave, about one period.
	halfLife = 10 * time.Second
	// minSamples is the number of samples of a step that a forecast needs. minErrorGain is
	// the share by which the squared error of a queue's waves must be below that of its steps'
	// means for a forecast.
	minSamples   = 40
	minErrorGain = 0.3
	// errorDecay is the factor by which each sample multiplies a queue's sums of squared
	// errors before it is added. minMeanWeight is the minimum weight of a sample in its
	// step's mean, so that the mean follows changes too.
	errorDecay    = 0.999
	minMeanWeight = 0.01
)

// Model holds the waves of all serving steps. It is not safe for concurrent use.
type Model struct {
	phaseZero time.Time             // time of the first sample, from which phases count
	queues    map[string]*errorSums // by queue name
	steps     map[queue.StepKey]*step
	changes   uint64 // number of observations
}

// New returns a model without observations.
func New() *Model {
	return &Model{queues: map[string]*errorSums{}, steps: map[queue.StepKey]*step{}}
}

// errorSums holds the decaying sums of squared errors of a queue's forecasts.
type errorSums struct {
	waves []float64 // of the waves, by index of periods
	mean  float64   // of the steps' means
}

// best returns the index of the period whose forecasts had the least error.
func (q *errorSums) best() int { return slices.Index(q.waves, slices.Min(q.waves)) }

// step holds the fits of one serving step.
type step struct {
	fits    []regression.Fit // by index of periods; coefficients: mean, cosine, sine
	mean    float64          // moving average of the samples
	samples int              // number of samples in mean
	fitted  int              // number of samples in all fits; below samples after a restore
	queue   string           // name of its queue
	// restored means that the fit of restoredPeriod has been restored, so that there is a forecast
	// before the other fits have their samples.
	restored       bool
	restoredPeriod int       // index of periods
	at             time.Time // time of the last sample
}

func newStep() *step {
	s := &step{fits: make([]regression.Fit, len(periods)), mean: defaultMean}
	for i := range s.fits {
		s.fits[i].Grow(defaultMean, meanVar)
		s.fits[i].Grow(0, waveVar)
		s.fits[i].Grow(0, waveVar)
	}
	return s
}

// Observe adds the headroom that a task of a step has without fillers, measured or
// computed.
func (m *Model) Observe(queueName string, k queue.StepKey, headroom float64, at time.Time) {
	if m.phaseZero.IsZero() {
		m.phaseZero = at
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
	s.queue = queueName
	m.changes++
	s.observe(q, headroom, at, at.Sub(m.phaseZero).Seconds())
}

// observe adds the errors of the forecasts of a sample to q, and the sample to the fits.
// phase is the time of the sample since Model.phaseZero, in seconds.
func (s *step) observe(q *errorSums, headroom float64, at time.Time, phase float64) {
	prior := [...]float64{meanVar, waveVar, waveVar}
	for i := range s.fits {
		f, x := &s.fits[i], basis(periods[i], phase)
		if s.hasEnoughSamples() {
			q.waves[i] = addError(q.waves[i], headroom-f.Beta(0)-x[1]*f.Beta(1)-x[2]*f.Beta(2))
		}
		if !s.at.IsZero() && at.After(s.at) {
			f.Widen(regression.Growth(at.Sub(s.at), halfLife), func(j int) float64 { return prior[j] })
		}
		f.Update(x, headroom, noiseVar, maxDeviation)
	}
	if s.hasEnoughSamples() {
		q.mean = addError(q.mean, headroom-s.mean)
	}
	s.samples++
	s.fitted++
	s.mean += max(minMeanWeight, 1/float64(s.samples)) * (headroom - s.mean)
	s.at = at
}

// addError returns a decaying sum of squares with the square of a deviation added.
func addError(sum, deviation float64) float64 { return errorDecay*sum + deviation*deviation }

// hasEnoughSamples reports whether all fits have the samples that a forecast needs.
func (s *step) hasEnoughSamples() bool { return s.fitted >= minSamples }

// basis returns the factors of the mean and of the cosine and sine coefficients at a phase,
// in seconds.
func basis(period time.Duration, phase float64) []float64 {
	sin, cos := math.Sincos(2 * math.Pi * phase / period.Seconds())
	return []float64{1, cos, sin}
}

// Wave is the forecast deviation of a step's headroom from its mean. The zero value is a
// deviation of 0 at all times.
type Wave struct {
	Period   time.Duration
	Cos, Sin float64 // coefficients at the reference time
}

// After returns the deviation at a span after the reference time.
func (w Wave) After(span time.Duration) float64 {
	if w.Period == 0 {
		return 0
	}
	sin, cos := math.Sincos(2 * math.Pi * span.Seconds() / w.Period.Seconds())
	return w.Cos*cos + w.Sin*sin
}

// Min returns the lowest deviation within a span after the reference time.
func (w Wave) Min(within time.Duration) float64 {
	const steps = 8 // fine enough for a span below the shortest period
	least := w.After(0)
	for i := 1; i <= steps; i++ {
		least = min(least, w.After(within*time.Duration(i)/steps))
	}
	return least
}

// Forecast returns the wave of a step with the given reference time; ok is false if there
// is no forecast.
func (m *Model) Forecast(queueName string, k queue.StepKey, at time.Time) (w Wave, ok bool) {
	q, s := m.queues[queueName], m.steps[k]
	if q == nil || s == nil {
		return w, false
	}
	i, ok := s.forecastPeriod(q.best())
	if !ok || q.waves[i] > (1-minErrorGain)*q.mean {
		return w, false
	}
	return waveAt(&s.fits[i], periods[i], at.Sub(m.phaseZero).Seconds()), true
}

// forecastPeriod returns the index of the period with which the step is forecast, where best is that
// of its queue's best period; ok is false if there is no forecast.
func (s *step) forecastPeriod(best int) (i int, ok bool) {
	if s.hasEnoughSamples() {
		return best, true
	}
	return s.restoredPeriod, s.restored
}

// waveAt returns the wave of a fit with its reference time at a phase, in seconds.
func waveAt(f *regression.Fit, period time.Duration, phase float64) Wave {
	x := basis(period, phase)
	b, c := f.Beta(1), f.Beta(2)
	// b cos(p+t) + c sin(p+t), as a sum of cos t and sin t.
	return Wave{Period: period, Cos: b*x[1] + c*x[2], Sin: c*x[1] - b*x[2]}
}

// Prune drops the steps of jobs that are not live.
func (m *Model) Prune(live func(rudderfork.JobID) bool) {
	for k := range m.steps {
		if !live(k.Job) {
			delete(m.steps, k)
		}
	}
}
