package worktime

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

var t0 = time.Unix(1000, 0)

// meanErrors draws steps. draw returns the submitted estimate and the mean work time of a
// step's tasks, in ms. The model estimates the second half of the steps, each before it
// observes the step's tasks. The results are the mean absolute errors of the logarithms of
// the model's and the submitted estimates.
func meanErrors(draw func(rng *rand.Rand) (estimateMS int64, workMS float64)) (modelError, submittedError float64) {
	const steps, tasks = 400, 10
	rng := rand.New(rand.NewPCG(3, 9))
	m := New()
	n := 0
	for i := range steps {
		estimateMS, workMS := draw(rng)
		st := &queue.Step{Count: tasks, ExpectedMS: estimateMS}
		k := queue.StepKey{Job: rudderfork.JobID(fmt.Sprint(i))}
		if i >= steps/2 {
			modelError += math.Abs(math.Log(m.Estimate("q", k, st) / workMS))
			submittedError += math.Abs(math.Log(float64(estimateMS) / workMS))
			n++
		}
		for range tasks {
			m.Observe("q", k, st, workMS*math.Exp(0.2*rng.NormFloat64()), t0.Add(time.Duration(i)*100*time.Millisecond))
		}
	}
	return modelError / float64(n), submittedError / float64(n)
}

func TestEstimate(t *testing.T) {
	t.Run("good submitted estimates are kept", func(t *testing.T) {
		modelError, _ := meanErrors(func(rng *rand.Rand) (int64, float64) {
			w := 1500 * math.Exp(rng.NormFloat64())
			return int64(w * math.Exp(0.1*rng.NormFloat64())), w
		})
		assert.Assert(t, modelError < 0.12, "mean error %.2f", modelError)
	})
	t.Run("submitted estimates that are all too low are corrected", func(t *testing.T) {
		modelError, submittedError := meanErrors(func(rng *rand.Rand) (int64, float64) {
			w := 1500 * math.Exp(0.5*rng.NormFloat64())
			return int64(w / 3), w
		})
		assert.Assert(t, modelError < 0.1 && submittedError > 1, "mean error %.2f, that of the submitted estimates %.2f", modelError, submittedError)
	})
	t.Run("submitted estimates that say little give way to the queue's mean", func(t *testing.T) {
		modelError, submittedError := meanErrors(func(rng *rand.Rand) (int64, float64) {
			w := 1500 * math.Exp(0.5*rng.NormFloat64())
			return int64(w * math.Exp(rng.NormFloat64())), w
		})
		assert.Assert(t, modelError < 0.6*submittedError, "mean error %.2f, that of the submitted estimates %.2f", modelError, submittedError)
	})
	t.Run("queues are independent", func(t *testing.T) {
		m := New()
		st := &queue.Step{Count: 1, ExpectedMS: 100}
		m.Observe("a", queue.StepKey{Job: "a"}, st, 5000, t0)
		assert.Equal(t, math.Round(m.Estimate("b", queue.StepKey{Job: "b"}, st)), 100.0)
	})
	t.Run("done tasks of a step determine the estimate of the others", func(t *testing.T) {
		m := New()
		st := &queue.Step{Count: 20, ExpectedMS: 100}
		k := queue.StepKey{Job: "a"}
		before := m.Changes()
		for range 3 {
			m.Observe("q", k, st, 4000, t0)
		}
		assert.Assert(t, m.Changes() > before)
		got := m.Estimate("q", k, st)
		assert.Assert(t, got > 2000 && got <= 4000, "the estimate is %.0f ms", got)
		m.Prune(func(id rudderfork.JobID) bool { return id != "a" })
		assert.Assert(t, m.Estimate("q", k, st) < got)
	})
	t.Run("invalid work times are ignored", func(t *testing.T) {
		m := New()
		m.Observe("q", queue.StepKey{}, &queue.Step{Count: 1, ExpectedMS: 100}, 0, t0)
		assert.Equal(t, m.Changes(), uint64(0))
	})
}

// TestEstimateAfterLongPause guards against an infinite or zero estimate after a day
// without tasks, over which the variances of a fit grow.
func TestEstimateAfterLongPause(t *testing.T) {
	m, st := New(), &queue.Step{Count: 1, ExpectedMS: 100}
	for i := range 2 {
		m.Observe("q", queue.StepKey{Job: "a"}, st, 200, t0.Add(time.Duration(i)*24*time.Hour))
	}
	got := m.Estimate("q", queue.StepKey{Job: "b"}, st)
	assert.Assert(t, got > 0 && !math.IsInf(got, 1), "the estimate is %v ms", got)
}
