package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1000, 0)

// observeWindows adds n windows of a service to a model, with the given effects of
// kinds and with noise, and returns the time of the last window.
func observeWindows(m *Model, n int, effects map[string]float64, seed uint64) time.Time {
	rng := rand.New(rand.NewPCG(seed, 6))
	now := t0
	for range n {
		now = now.Add(2 * time.Second)
		s := Sample{Service: "tour", At: now, Busy: rng.Float64(), Shares: map[string]float64{}}
		ln := math.Log(0.005) + 0.4*s.Busy + 0.1*rng.NormFloat64()
		for k, e := range effects {
			if rng.IntN(2) == 0 {
				s.Shares[k] = rng.Float64() * 0.5
				ln += e * s.Shares[k]
			}
		}
		s.Latency = time.Duration(math.Exp(ln) * float64(time.Second))
		m.Observe(s)
	}
	return now
}

func TestSlowdown(t *testing.T) {
	effects := map[string]float64{"noisy": 2, "quiet": 0}
	m := New(ServicePrior())
	now := observeWindows(m, 400, effects, 1)
	for k, e := range effects {
		factor, stderr := m.Slowdown("tour", k, now)
		want := math.Exp(e * slowdownShare)
		assert.Assert(t, math.Abs(factor-want) < 3*stderr+0.02, "%s: %.3f ± %.3f, want %.3f", k, factor, stderr, want)
	}
	t.Run("an unobserved pair keeps the prior", func(t *testing.T) {
		factor, stderr := m.Slowdown("tour", "new", now)
		assert.Equal(t, factor, math.Exp(ServicePrior().Effect*slowdownShare))
		assert.Assert(t, stderr > 0.05)
	})
	t.Run("the standard error grows with time", func(t *testing.T) {
		_, fresh := m.Slowdown("tour", "noisy", now)
		_, old := m.Slowdown("tour", "noisy", now.Add(2*ServicePrior().HalfLife))
		assert.Assert(t, old > fresh)
	})
	t.Run("the estimate follows a change", func(t *testing.T) {
		changed := observeWindows(m, 1200, map[string]float64{"noisy": 0, "quiet": 0}, 2)
		factor, _ := m.Slowdown("tour", "noisy", changed)
		assert.Assert(t, factor < 1.25, "the factor is %.3f", factor)
	})
}
