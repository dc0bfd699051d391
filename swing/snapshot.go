package swing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/regression"
	"rudderfork.example/rudderfork/queue"
)

const (
	// maxSteps bounds the steps in a snapshot. Those with the newest samples are kept.
	maxSteps = 512
	// maxQueues bounds the queues in a snapshot.
	maxQueues = 256
	// maxPhaseAge is the age up to which the phase of a wave is restored. The waves of a record
	// that is older than the half-life of a sample no longer predict the load.
	maxPhaseAge = halfLife
	// coefficients is the number of coefficients of a fit. A snapshot holds their variances
	// without the covariances. A covariance matrix of n rows is at most n times its diagonal, so
	// the variances are multiplied by n when they are restored.
	coefficients = 3
)

// Snapshot is what a Model keeps for a later process: of each step the wave of the best period
// of its queue, not the fits of all periods. Times are relative to that of the snapshot.
type Snapshot struct {
	Queues []QueueErrors `cbor:"1,keyasint,omitempty"`
	Steps  []StepWave    `cbor:"2,keyasint,omitempty"`
}

// QueueErrors holds the sums of squared errors of a queue's forecasts.
type QueueErrors struct {
	Queue     string    `cbor:"1,keyasint"`
	PeriodsMS []int64   `cbor:"2,keyasint"`
	Waves     []float64 `cbor:"3,keyasint"` // by index of PeriodsMS
	Mean      float64   `cbor:"4,keyasint"`
}

// StepWave holds the wave of a step. Its coefficients are those at the time of the snapshot.
type StepWave struct {
	Job          rudderfork.JobID `cbor:"1,keyasint"`
	Occurrence   int              `cbor:"2,keyasint,omitempty"`
	Step         int              `cbor:"3,keyasint,omitempty"`
	Queue        string           `cbor:"4,keyasint"`
	PeriodMS     int64            `cbor:"5,keyasint"`
	Coefficients [3]float32       `cbor:"6,keyasint"` // mean, cosine, sine
	Variances    [3]float32       `cbor:"7,keyasint"` // of the coefficients
	Average      float32          `cbor:"8,keyasint"` // moving average of the samples
	Samples      int              `cbor:"9,keyasint"` // in the average
	AgeMS        int64            `cbor:"10,keyasint"`
	// Forecasts means that the step has the samples that a forecast needs.
	Forecasts bool `cbor:"11,keyasint,omitempty"`
}

// key returns the key of the step.
func (w *StepWave) key() queue.StepKey {
	return queue.StepKey{Job: w.Job, Occurrence: w.Occurrence, Step: w.Step}
}

// Changes returns the number of observations. While it stays the same, so does the model.
func (m *Model) Changes() uint64 { return m.changes }

// Snapshot returns what the model has learned up to now.
func (m *Model) Snapshot(now time.Time) (s Snapshot) {
	for name, q := range m.queues {
		if len(s.Queues) < maxQueues {
			s.Queues = append(s.Queues, q.snapshot(name))
		}
	}
	for k, st := range m.steps {
		if q := m.queues[st.queue]; q != nil {
			s.Steps = append(s.Steps, st.snapshot(k, q.best(), now, now.Sub(m.phaseZero).Seconds()))
		}
	}
	slices.SortFunc(s.Steps, func(a, b StepWave) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	s.Steps = s.Steps[:min(len(s.Steps), maxSteps)]
	return s
}

func (q *errorSums) snapshot(name string) QueueErrors {
	s := QueueErrors{Queue: name, Waves: slices.Clone(q.waves), Mean: q.mean}
	for _, p := range periods {
		s.PeriodsMS = append(s.PeriodsMS, p.Milliseconds())
	}
	return s
}

// snapshot returns the wave of the period with index best. phase is that of now.
func (s *step) snapshot(k queue.StepKey, best int, now time.Time, phase float64) StepWave {
	f := &s.fits[best]
	w := waveAt(f, periods[best], phase)
	return StepWave{
		Job: k.Job, Occurrence: k.Occurrence, Step: k.Step, Queue: s.queue, PeriodMS: periods[best].Milliseconds(),
		Coefficients: [...]float32{float32(f.Beta(0)), float32(w.Cos), float32(w.Sin)},
		Variances:    [...]float32{float32(f.Variance(0)), float32(f.Variance(1)), float32(f.Variance(2))},
		Average:      float32(s.mean), Samples: s.samples, AgeMS: max(0, now.Sub(s.at).Milliseconds()),
		Forecasts: s.hasEnoughSamples() || s.restored,
	}
}

// Restore adds what a snapshot of the given age holds to a model without observations. The phases
// are left out if the snapshot is too old for them. The results are the numbers of steps that have
// a forecast's samples, and of entries that were invalid.
func (m *Model) Restore(s Snapshot, age time.Duration, now time.Time) (forecasts, invalid int) {
	taken := now.Add(-age)
	m.phaseZero = taken
	for i := range s.Queues {
		if q := &s.Queues[i]; q.valid() {
			m.queues[q.Queue] = &errorSums{waves: q.Waves, mean: q.Mean}
		} else {
			invalid++
		}
	}
	for i := range s.Steps[:min(len(s.Steps), maxSteps)] {
		w := &s.Steps[i]
		if !w.valid() || m.queues[w.Queue] == nil {
			invalid++
			continue
		}
		st := restoreStep(w, age, taken)
		m.steps[w.key()] = st
		if st.restored {
			forecasts++
		}
	}
	return forecasts, invalid
}

// valid reports whether the sums are of the periods of this release.
func (q *QueueErrors) valid() bool {
	if len(q.PeriodsMS) != len(periods) || len(q.Waves) != len(periods) || !isSum(q.Mean) {
		return false
	}
	for i, p := range periods {
		if q.PeriodsMS[i] != p.Milliseconds() || !isSum(q.Waves[i]) {
			return false
		}
	}
	return true
}

func isSum(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }

const (
	// maxCoefficient bounds the coefficients and averages that are restored. Headrooms are far
	// below.
	maxCoefficient = 1000
	// maxAgeMS bounds the ages that are restored, so that times do not overflow.
	maxAgeMS = 1e11
)

func (w *StepWave) valid() bool {
	for i := range w.Coefficients {
		if !isCoefficient(w.Coefficients[i]) || !isSum(float64(w.Variances[i])) || w.Variances[i] == 0 {
			return false
		}
	}
	return isCoefficient(w.Average) && w.AgeMS >= 0 && w.AgeMS <= maxAgeMS && w.Samples >= 0 && w.periodIndex() >= 0
}

func isCoefficient(f float32) bool { return math.Abs(float64(f)) <= maxCoefficient }

// periodIndex returns the index of the wave's period, or -1.
func (w *StepWave) periodIndex() int {
	return slices.Index(periods, time.Duration(w.PeriodMS)*time.Millisecond)
}

// restoreStep returns the step of a wave that was taken at a time, from which phases count.
func restoreStep(w *StepWave, age time.Duration, taken time.Time) *step {
	s := &step{fits: make([]regression.Fit, len(periods)), queue: w.Queue, mean: float64(w.Average), samples: w.Samples}
	s.at = taken.Add(-time.Duration(w.AgeMS) * time.Millisecond)
	s.restored = w.Forecasts && taken.Sub(s.at)+age <= maxPhaseAge
	prior := [...]float64{meanVar, waveVar, waveVar}
	for i := range s.fits {
		s.fits[i].Grow(float64(w.Coefficients[0]), min(meanVar, coefficients*float64(w.Variances[0])))
		for j := 1; j < coefficients; j++ {
			mean, variance := 0.0, prior[j]
			if s.restored && i == w.periodIndex() {
				mean, variance = float64(w.Coefficients[j]), min(variance, coefficients*float64(w.Variances[j]))
			}
			s.fits[i].Grow(mean, variance)
		}
	}
	return s
}
