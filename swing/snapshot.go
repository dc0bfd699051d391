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
	maxQueues = 64
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
	PeriodsMS []int64      `cbor:"1,keyasint"` // the candidate periods
	Queues    []QueueWaves `cbor:"2,keyasint,omitempty"`
}

// QueueWaves holds the errors of a queue's forecasts and the waves of its steps.
type QueueWaves struct {
	Queue     string     `cbor:"1,keyasint"`
	Errors    []float64  `cbor:"2,keyasint"` // sums of squared errors, by index of PeriodsMS
	MeanError float64    `cbor:"3,keyasint"` // of the steps' means
	Steps     []StepWave `cbor:"4,keyasint,omitempty"`
}

// StepWave holds the wave of a step, with the period that has the least error in the queue.
type StepWave struct {
	Job        rudderfork.JobID `cbor:"1,keyasint"`
	Occurrence int              `cbor:"2,keyasint,omitempty"`
	Step       int              `cbor:"3,keyasint,omitempty"`
	// Coefficients are the mean and the factors of cosine and sine at the time of the snapshot.
	Coefficients [coefficients]float32 `cbor:"4,keyasint"`
	Variances    [coefficients]float32 `cbor:"5,keyasint"`           // of Coefficients
	Average      float32               `cbor:"6,keyasint"`           // moving average of the samples
	Samples      int                   `cbor:"7,keyasint"`           // in Average
	AgeMS        int64                 `cbor:"8,keyasint"`           // from the last sample to the snapshot
	Forecasts    bool                  `cbor:"9,keyasint,omitempty"` // the wave is good enough for a forecast
}

// Len returns the number of steps.
func (s *Snapshot) Len() (n int) {
	for i := range s.Queues {
		n += len(s.Queues[i].Steps)
	}
	return n
}

// Changes returns the number of observations. While it stays the same, so does the model.
func (m *Model) Changes() uint64 { return m.changes }

// Snapshot returns what the model has learned up to now.
func (m *Model) Snapshot(now time.Time) (s Snapshot) {
	s.PeriodsMS = periodsMS()
	index := map[string]int{}
	for _, k := range m.newestSteps() {
		st := k.step
		i, ok := index[st.queue]
		if !ok && len(s.Queues) == maxQueues {
			continue
		}
		q := m.queues[st.queue]
		if !ok {
			i = len(s.Queues)
			index[st.queue] = i
			s.Queues = append(s.Queues, QueueWaves{Queue: st.queue, Errors: slices.Clone(q.waves), MeanError: q.mean})
		}
		s.Queues[i].Steps = append(s.Queues[i].Steps, st.snapshot(k.key, q.best(), now, now.Sub(m.phaseZero).Seconds()))
	}
	return s
}

// keyedStep is a step with its key.
type keyedStep struct {
	key  queue.StepKey
	step *step
}

// newestSteps returns the maxSteps steps with the newest samples.
func (m *Model) newestSteps() []keyedStep {
	list := make([]keyedStep, 0, len(m.steps))
	for k, s := range m.steps {
		list = append(list, keyedStep{k, s})
	}
	slices.SortFunc(list, func(a, b keyedStep) int {
		if c := b.step.at.Compare(a.step.at); c != 0 {
			return c
		}
		return cmp.Or(cmp.Compare(a.key.Job, b.key.Job), cmp.Compare(a.key.Occurrence, b.key.Occurrence), cmp.Compare(a.key.Step, b.key.Step))
	})
	return list[:min(len(list), maxSteps)]
}

func periodsMS() (list []int64) {
	for _, p := range periods {
		list = append(list, p.Milliseconds())
	}
	return list
}

// snapshot returns the wave of the period with index best. phase is that of now.
func (s *step) snapshot(k queue.StepKey, best int, now time.Time, phase float64) StepWave {
	f := &s.fits[best]
	w := waveAt(f, periods[best], phase)
	i, ok := s.forecastPeriod(best)
	return StepWave{
		Job: k.Job, Occurrence: k.Occurrence, Step: k.Step,
		Coefficients: [...]float32{float32(f.Beta(0)), float32(w.Cos), float32(w.Sin)},
		Variances:    [...]float32{float32(f.Variance(0)), float32(f.Variance(1)), float32(f.Variance(2))},
		Average:      float32(s.mean), Samples: s.samples, AgeMS: max(0, now.Sub(s.at).Milliseconds()),
		Forecasts: ok && i == best,
	}
}

// Restore adds what a snapshot of the given age holds to a model without observations. The phases
// are left out if the snapshot is too old for them. The results are the numbers of steps that can
// be forecast at once, and of queues and steps that were invalid.
func (m *Model) Restore(s Snapshot, age time.Duration, now time.Time) (forecasts, invalid int) {
	if !slices.Equal(s.PeriodsMS, periodsMS()) {
		return 0, len(s.Queues)
	}
	taken := now.Add(-age)
	m.phaseZero = taken
	for i := range s.Queues {
		q := &s.Queues[i]
		if !q.valid() {
			invalid++
			continue
		}
		errors := &errorSums{waves: q.Errors, mean: q.MeanError}
		m.queues[q.Queue] = errors
		for j := range q.Steps {
			w := &q.Steps[j]
			if !w.valid() || len(m.steps) == maxSteps {
				invalid++
				continue
			}
			st := w.restore(errors.best(), age, taken)
			st.queue = q.Queue
			m.steps[queue.StepKey{Job: w.Job, Occurrence: w.Occurrence, Step: w.Step}] = st
			if st.restored {
				forecasts++
			}
		}
	}
	return forecasts, invalid
}

func (q *QueueWaves) valid() bool {
	return len(q.Errors) == len(periods) && isSum(q.MeanError) && !slices.ContainsFunc(q.Errors, func(e float64) bool { return !isSum(e) })
}

// isSum reports whether f can be a sum of squares, which NaN is not.
func isSum(f float64) bool { return f >= 0 && !math.IsInf(f, 1) }

const (
	// maxCoefficient bounds the coefficients and averages that are restored. It is above the
	// headroom of a task with an objective of some minutes and a tail latency of 1 ms.
	maxCoefficient = 1e6
	// maxAgeMS bounds the ages that are restored, so that times do not overflow.
	maxAgeMS = 1e11
)

func (w *StepWave) valid() bool {
	for i := range coefficients {
		if !isCoefficient(w.Coefficients[i]) || !isSum(float64(w.Variances[i])) || w.Variances[i] == 0 {
			return false
		}
	}
	return isCoefficient(w.Average) && w.Samples >= 0 && w.AgeMS >= 0 && w.AgeMS <= maxAgeMS
}

func isCoefficient(f float32) bool { return math.Abs(float64(f)) <= maxCoefficient }

// restore returns the step of a wave whose period has index best. The snapshot was taken at a time,
// from which phases count, and has the given age.
func (w *StepWave) restore(best int, age time.Duration, taken time.Time) *step {
	s := &step{fits: make([]regression.Fit, len(periods)), mean: float64(w.Average), samples: w.Samples, restoredPeriod: best}
	s.at = taken.Add(-time.Duration(w.AgeMS) * time.Millisecond)
	s.restored = w.Forecasts && taken.Sub(s.at)+age <= maxPhaseAge
	prior := [...]float64{meanVar, waveVar, waveVar}
	for i := range s.fits {
		for j := range coefficients {
			if j == 0 || s.restored && i == best {
				s.fits[i].Grow(float64(w.Coefficients[j]), min(prior[j], coefficients*float64(w.Variances[j])))
			} else {
				s.fits[i].Grow(0, prior[j])
			}
		}
	}
	return s
}
