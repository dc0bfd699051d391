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
	steps  = 6
	tasks  = 8
	played = 30 * time.Second
	every  = 500 * time.Millisecond // between two figures of a task
)

var t0 = time.Unix(1000, 0)

func stepKey(i int) queue.StepKey { return queue.StepKey{Job: rudderfork.JobID(fmt.Sprint(i))} }

// play has a model see the headrooms of some steps, each of which follows the load that
// own tells by step and time, with noise.
func play(own func(step int, at time.Duration) float64) *Model {
	rng := rand.New(rand.NewPCG(5, 7))
	m := New()
	for at := time.Duration(0); at < played; at += every {
		for i := range steps {
			for range tasks {
				jitter := time.Duration(rng.Int64N(int64(every)))
				m.Observe("q", stepKey(i), own(i, at+jitter)+0.3*rng.NormFloat64(), t0.Add(at+jitter))
			}
		}
	}
	return m
}

// loadWave is a headroom that goes round in a period, by step with another phase.
func loadWave(period time.Duration) func(step int, at time.Duration) float64 {
	return func(step int, at time.Duration) float64 {
		return 2.6 + 1.1*math.Sin(2*math.Pi*(at.Seconds()/period.Seconds()+float64(step)/steps))
	}
}

// TestForecasts holds that a wave of any length is found, and tells what comes better than
// the present does.
func TestForecasts(t *testing.T) {
	for _, period := range []time.Duration{6 * time.Second, 10 * time.Second, 11 * time.Second, 14 * time.Second, 20 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			own := loadWave(period)
			m := play(own)
			missed, moved := 0.0, 0.0
			const ahead = 2 * time.Second
			for i := range steps {
				w, ok := m.Forecast("q", stepKey(i), t0.Add(played))
				assert.Assert(t, ok)
				change := own(i, played+ahead) - own(i, played)
				missed += math.Abs(w.After(ahead) - w.After(0) - change)
				moved += math.Abs(change)
				assert.Assert(t, w.Min(ahead) <= min(w.After(0), w.After(ahead)))
			}
			assert.Assert(t, missed < 0.4*moved, "missed %.2f of what moved %.2f", missed, moved)
		})
	}
}

// TestNoForecast holds that nothing is foretold of loads that have no wave, or of which
// little was seen.
func TestNoForecast(t *testing.T) {
	checkNone := func(t *testing.T, m *Model, k queue.StepKey) {
		t.Helper()
		w, ok := m.Forecast("q", k, t0.Add(played))
		assert.Assert(t, !ok, "%+v", w)
		assert.Equal(t, w.After(time.Second), 0.0)
	}
	t.Run("a steady load", func(t *testing.T) {
		checkNone(t, play(func(int, time.Duration) float64 { return 2.6 }), stepKey(0))
	})
	t.Run("a load that jumps", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		checkNone(t, play(func(int, time.Duration) float64 { return 1 + 3*rng.Float64() }), stepKey(0))
	})
	t.Run("a step that was not seen, or is forgotten", func(t *testing.T) {
		m := play(loadWave(10 * time.Second))
		checkNone(t, m, stepKey(steps))
		m.Prune(func(rudderfork.JobID) bool { return false })
		checkNone(t, m, stepKey(0))
	})
	t.Run("another queue", func(t *testing.T) {
		_, ok := play(loadWave(10*time.Second)).Forecast("other", stepKey(0), t0)
		assert.Assert(t, !ok)
	})
}

// BenchmarkObserve is what one figure costs the leader: 62 VMs give 600 a second.
func BenchmarkObserve(b *testing.B) {
	m := New()
	own := loadWave(10 * time.Second)
	for i := 0; b.Loop(); i++ {
		at := time.Duration(i) * 2 * time.Millisecond
		m.Observe("q", stepKey(i%steps), own(i%steps, at), t0.Add(at))
	}
}
