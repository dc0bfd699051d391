package swing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

const (
	// recordAge is the age of a snapshot when it is restored, and clockSkew how far the clock of the
	// restoring process is ahead.
	recordAge = 3 * time.Second
	clockSkew = 5 * time.Hour
)

// restoreWaves returns a model that was restored from the snapshot of observeLoads, recordAge later
// by another clock. edit may change the snapshot.
func restoreWaves(headroom func(step int, at time.Duration) float64, age time.Duration, edit func(*Snapshot)) (m *Model, forecasts, invalid int) {
	s := observeLoads(headroom).Snapshot(t0.Add(observedFor))
	edit(&s)
	m = New()
	forecasts, invalid = m.Restore(s, age, t0.Add(observedFor+recordAge+clockSkew))
	return m, forecasts, invalid
}

// observeFurther adds samples of all tasks from the restore on, and checks each step's forecasts.
func observeFurther(t *testing.T, m *Model, headroom func(step int, at time.Duration) float64, span time.Duration, maxError float64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(6, 8))
	const ahead = 2 * time.Second
	forecastError, change := 0.0, 0.0
	for since := time.Duration(0); since < span; since += sampleInterval {
		at := observedFor + recordAge + since
		for i := range steps {
			w, ok := m.Forecast("q", stepKey(i), t0.Add(at+clockSkew))
			assert.Assert(t, ok, "no forecast of step %d after %s", i, since)
			delta := headroom(i, at+ahead) - headroom(i, at)
			forecastError += math.Abs(w.After(ahead) - w.After(0) - delta)
			change += math.Abs(delta)
			for range tasks {
				m.Observe("q", stepKey(i), headroom(i, at)+0.3*rng.NormFloat64(), t0.Add(at+clockSkew))
			}
		}
	}
	assert.Assert(t, forecastError < maxError*change, "the errors of the forecasts add up to %.2f, the changes of headroom to %.2f", forecastError, change)
}

// TestRestore guards against a leader that cannot forecast the load when it takes over, or whose
// forecasts become worse than the restored ones as samples arrive.
func TestRestore(t *testing.T) {
	for _, period := range []time.Duration{6 * time.Second, 10 * time.Second, 11 * time.Second, 20 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			headroom := sineHeadroom(period)
			m, forecasts, invalid := restoreWaves(headroom, recordAge, func(*Snapshot) {})
			assert.Equal(t, forecasts, steps)
			assert.Equal(t, invalid, 0)
			observeFurther(t, m, headroom, 20*time.Second, 0.4)
		})
	}
	t.Run("a restored wave follows a change of its phase", func(t *testing.T) {
		headroom := sineHeadroom(10 * time.Second)
		m, _, _ := restoreWaves(headroom, recordAge, func(*Snapshot) {})
		shifted := func(step int, at time.Duration) float64 { return headroom(step+steps/2, at) }
		observeFurther(t, m, shifted, 10*time.Second, 2)
		observeFurther(t, m, shifted, 20*time.Second, 0.4)
	})
	t.Run("the headroom of a fast task with a long objective is kept", func(t *testing.T) {
		swinging := sineHeadroom(10 * time.Second)
		headroom := func(step int, at time.Duration) float64 { return 1500 + swinging(step, at) }
		_, _, invalid := restoreWaves(headroom, recordAge, func(*Snapshot) {})
		assert.Equal(t, invalid, 0)
	})
	t.Run("a snapshot too old for its phases gives the means and periods", func(t *testing.T) {
		for _, age := range []time.Duration{maxPhaseAge + time.Second, 365 * 24 * time.Hour} {
			m, forecasts, invalid := restoreWaves(sineHeadroom(10*time.Second), age, func(*Snapshot) {})
			assert.Equal(t, forecasts+invalid, 0)
			_, ok := m.Forecast("q", stepKey(0), t0)
			assert.Assert(t, !ok)
			now := t0.Add(observedFor + recordAge + clockSkew)
			for i := range minSamples {
				m.Observe("q", stepKey(0), sineHeadroom(10*time.Second)(0, time.Duration(i)*sampleInterval), now.Add(time.Duration(i)*sampleInterval))
			}
			w, ok := m.Forecast("q", stepKey(0), now)
			assert.Assert(t, ok)
			assert.Equal(t, w.Period, 10*time.Second)
		}
	})
	t.Run("a restored wave is used until all periods have their samples", func(t *testing.T) {
		headroom := sineHeadroom(10 * time.Second)
		m, _, _ := restoreWaves(headroom, recordAge, func(*Snapshot) {})
		m.queues["q"].waves[0] = 0 // as the newly fitted waves of other steps may look
		now := t0.Add(observedFor + recordAge + clockSkew)
		w, ok := m.Forecast("q", stepKey(0), now)
		assert.Assert(t, ok)
		assert.Equal(t, w.Period, 10*time.Second)
		s := m.Snapshot(now)
		assert.Assert(t, !s.Queues[0].Steps[0].Forecasts, "the wave of a period without samples is kept for a forecast")
		for i := range minSamples {
			at := time.Duration(i) * sampleInterval
			m.Observe("q", stepKey(0), headroom(0, observedFor+recordAge+at), now.Add(at))
		}
		m.queues["q"].waves[0] = 0
		w, ok = m.Forecast("q", stepKey(0), now)
		assert.Assert(t, ok)
		assert.Equal(t, w.Period, periods[0])
	})
	t.Run("a steady load has no forecast after a restore either", func(t *testing.T) {
		m, _, _ := restoreWaves(func(int, time.Duration) float64 { return 2.6 }, recordAge, func(*Snapshot) {})
		_, ok := m.Forecast("q", stepKey(0), t0.Add(observedFor))
		assert.Assert(t, !ok)
	})
}

// TestRestoreInvalid guards against a damaged snapshot that makes forecasts infinite, or that takes
// the valid steps with it.
func TestRestoreInvalid(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for name, edit := range map[string]func(*Snapshot){
		"a mean that is not a number": func(s *Snapshot) { s.Queues[0].Steps[0].Coefficients[0] = float32(nan) },
		"an infinite wave":            func(s *Snapshot) { s.Queues[0].Steps[0].Coefficients[2] = float32(inf) },
		"a variance of zero":          func(s *Snapshot) { s.Queues[0].Steps[0].Variances[1] = 0 },
		"a negative variance":         func(s *Snapshot) { s.Queues[0].Steps[0].Variances[1] = -1 },
		"a negative age":              func(s *Snapshot) { s.Queues[0].Steps[0].AgeMS = -1 },
		"an age that overflows":       func(s *Snapshot) { s.Queues[0].Steps[0].AgeMS = math.MaxInt64 },
		"a negative count":            func(s *Snapshot) { s.Queues[0].Steps[0].Samples = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			_, forecasts, invalid := restoreWaves(sineHeadroom(10*time.Second), recordAge, edit)
			assert.Equal(t, forecasts, steps-1)
			assert.Equal(t, invalid, 1)
		})
	}
	for name, edit := range map[string]func(*Snapshot){
		"errors that are not numbers": func(s *Snapshot) { s.Queues[0].Errors[0] = nan },
		"errors that are missing":     func(s *Snapshot) { s.Queues[0].Errors = nil },
		"other periods":               func(s *Snapshot) { s.PeriodsMS[0]++ },
	} {
		t.Run(name, func(t *testing.T) {
			_, forecasts, invalid := restoreWaves(sineHeadroom(10*time.Second), recordAge, edit)
			assert.Equal(t, forecasts, 0)
			assert.Equal(t, invalid, 1)
		})
	}
}

// TestSnapshotBounds guards against a record that grows with the number of steps and queues, and
// that then leaves out the steps that are observed.
func TestSnapshotBounds(t *testing.T) {
	m := New()
	for i := range 2 * maxSteps {
		k := queue.StepKey{Job: rudderfork.JobID(fmt.Sprint(i))}
		m.Observe(fmt.Sprint("q", i%2), k, 2, t0.Add(time.Duration(i)*time.Millisecond))
	}
	s := m.Snapshot(t0.Add(time.Minute))
	assert.Equal(t, s.Len(), maxSteps)
	assert.Equal(t, s.Queues[0].Steps[0].Job, rudderfork.JobID(fmt.Sprint(2*maxSteps-1)))
	for i := range 2 * maxQueues {
		m.Observe(fmt.Sprint("other", i), queue.StepKey{Job: "other", Step: i}, 2, t0.Add(time.Hour))
	}
	s = m.Snapshot(t0.Add(time.Hour))
	assert.Equal(t, len(s.Queues), maxQueues)
}
