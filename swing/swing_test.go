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
	steps          = 6
	tasks          = 8
	observedFor    = 30 * time.Second
	sampleInterval = 500 * time.Millisecond // between two samples of a task
)

var t0 = time.Unix(1000, 0)

func stepKey(i int) queue.StepKey { return queue.StepKey{Job: rudderfork.JobID(fmt.Sprint(i))} }

// observeLoads returns a model that has observed the tasks of all steps for observedFor.
// headroom returns their headroom, to which noise is added.
func observeLoads(headroom func(step int, at time.Duration) float64) *Model {
	rng := rand.New(rand.NewPCG(5, 7))
	m := New()
	for at := time.Duration(0); at < observedFor; at += sampleInterval {
		for i := range steps {
			for range tasks {
				jitter := time.Duration(rng.Int64N(int64(sampleInterval)))
				m.Observe("q", stepKey(i), headroom(i, at+jitter)+0.3*rng.NormFloat64(), t0.Add(at+jitter))
			}
		}
	}
	return m
}

// sineHeadroom returns a headroom that follows a sine wave, with another phase for each
// step.
func sineHeadroom(period time.Duration) func(step int, at time.Duration) float64 {
	return func(step int, at time.Duration) float64 {
		return 2.6 + 1.1*math.Sin(2*math.Pi*(at.Seconds()/period.Seconds()+float64(step)/steps))
	}
}

// TestForecastFollowsWave checks that waves of any period are found, and that they forecast
// the headroom better than its present value does.
func TestForecastFollowsWave(t *testing.T) {
	for _, period := range []time.Duration{6 * time.Second, 10 * time.Second, 11 * time.Second, 14 * time.Second, 20 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			headroom := sineHeadroom(period)
			m := observeLoads(headroom)
			forecastError, change := 0.0, 0.0
			const ahead = 2 * time.Second
			for i := range steps {
				w, ok := m.Forecast("q", stepKey(i), t0.Add(observedFor))
				assert.Assert(t, ok)
				delta := headroom(i, observedFor+ahead) - headroom(i, observedFor)
				forecastError += math.Abs(w.After(ahead) - w.After(0) - delta)
				change += math.Abs(delta)
				assert.Assert(t, w.Min(ahead) <= min(w.After(0), w.After(ahead)))
			}
			assert.Assert(t, forecastError < 0.4*change, "the errors of the forecasts add up to %.2f, the changes of headroom to %.2f", forecastError, change)
		})
	}
}

// TestNoForecastWithoutWave checks that there is no forecast for loads without a wave or
// with too few samples.
func TestNoForecastWithoutWave(t *testing.T) {
	checkNone := func(t *testing.T, m *Model, k queue.StepKey) {
		t.Helper()
		w, ok := m.Forecast("q", k, t0.Add(observedFor))
		assert.Assert(t, !ok, "%+v", w)
		assert.Equal(t, w.After(time.Second), 0.0)
	}
	t.Run("a steady load", func(t *testing.T) {
		checkNone(t, observeLoads(func(int, time.Duration) float64 { return 2.6 }), stepKey(0))
	})
	t.Run("a random load", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		checkNone(t, observeLoads(func(int, time.Duration) float64 { return 1 + 3*rng.Float64() }), stepKey(0))
	})
	t.Run("a step that was not observed or was pruned", func(t *testing.T) {
		m := observeLoads(sineHeadroom(10 * time.Second))
		checkNone(t, m, stepKey(steps))
		m.Prune(func(rudderfork.JobID) bool { return false })
		checkNone(t, m, stepKey(0))
	})
	t.Run("another queue", func(t *testing.T) {
		_, ok := observeLoads(sineHeadroom(10*time.Second)).Forecast("other", stepKey(0), t0)
		assert.Assert(t, !ok)
	})
}

// BenchmarkObserve measures the cost of one sample; 62 VMs send 600 a second.
func BenchmarkObserve(b *testing.B) {
	m := New()
	headroom := sineHeadroom(10 * time.Second)
	for i := 0; b.Loop(); i++ {
		at := time.Duration(i) * 2 * time.Millisecond
		m.Observe("q", stepKey(i%steps), headroom(i%steps, at), t0.Add(at))
	}
}
