package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// simulation simulates serving tasks whose headrooms without fillers vary with a period
// of ten seconds, with fillers beside them that change their speeds every 1.5 s.
type simulation struct {
	p      *PressureModel
	rng    *rand.Rand
	actual map[string]float64 // pressures by image of the fillers
	now    time.Time
}

func newSimulation(pressures map[string]float64) *simulation {
	return &simulation{p: NewPressureModel(), rng: rand.New(rand.NewPCG(3, 9)), actual: pressures, now: t0}
}

// observe adds n samples of each of five tasks to the model, half a second apart.
func (s *simulation) observe(n int) {
	var speeds [5]map[string]float64
	for i := range n {
		s.now = s.now.Add(500 * time.Millisecond)
		for task := range speeds {
			if i%3 == 0 {
				speeds[task] = map[string]float64{}
				for image := range s.actual {
					speeds[task][image] = 0.2 * s.rng.Float64()
				}
			}
			phase := 2*math.Pi*float64(i)/20 + float64(task)
			headroom := 2.6 + 0.9*math.Sin(phase) + 0.05*s.rng.NormFloat64()
			for image, share := range speeds[task] {
				headroom -= s.actual[image] * share
			}
			s.p.Observe(HeadroomSample{
				Image: "audio", Run: rudderfork.RunRef{Task: rudderfork.TaskID(rune('a' + task)), Run: 1},
				At: s.now, Headroom: headroom, Shares: speeds[task],
			})
		}
	}
}

// checkEstimate checks that an estimate is within three standard errors of the
// actual pressure.
func (s *simulation) checkEstimate(t *testing.T, image string) {
	t.Helper()
	got, stderr := s.p.Estimate("audio", image, s.now)
	assert.Assert(t, math.Abs(got-s.actual[image]) < 3*stderr, "%s: %.2f ± %.2f; want %.2f", image, got, stderr, s.actual[image])
}

func TestPressures(t *testing.T) {
	s := newSimulation(map[string]float64{"calm": 0, "mild": 2, "loud": 9})
	s.observe(60)
	t.Run("pairs are distinguished though the tasks' own load varies more", func(t *testing.T) {
		for image := range s.actual {
			s.checkEstimate(t, image)
		}
		loud, stderr := s.p.Estimate("audio", "loud", s.now)
		assert.Assert(t, loud > 7 && stderr < 1, "the estimate is %.2f ± %.2f", loud, stderr)
	})
	t.Run("an unobserved pair keeps the prior", func(t *testing.T) {
		for _, serving := range []string{"audio", "video"} {
			got, stderr := s.p.Estimate(serving, "new", s.now)
			assert.Equal(t, got, DefaultPressure())
			assert.Equal(t, stderr, priorError)
		}
	})
	t.Run("no pressure is negative", func(t *testing.T) {
		calm, _ := s.p.Estimate("audio", "calm", s.now)
		assert.Assert(t, calm >= 0)
	})
	t.Run("the standard error grows with time", func(t *testing.T) {
		_, fresh := s.p.Estimate("audio", "loud", s.now)
		_, old := s.p.Estimate("audio", "loud", s.now.Add(2*pressureHalfLife))
		assert.Assert(t, old > 1.9*fresh)
	})
	t.Run("the estimate follows a change", func(t *testing.T) {
		s.actual["loud"] = 1
		s.observe(240)
		loud, _ := s.p.Estimate("audio", "loud", s.now)
		assert.Assert(t, loud < 2.5, "the estimate is %.2f", loud)
	})
	t.Run("a prior is set only for an unobserved pair", func(t *testing.T) {
		s.p.SetPrior("audio", "loud", 5)
		s.p.SetPrior("audio", "new", 5)
		loud, _ := s.p.Estimate("audio", "loud", s.now)
		assert.Assert(t, loud < 2.5, "the estimate is %.2f", loud)
		got, stderr := s.p.Estimate("audio", "new", s.now)
		assert.Equal(t, got, 5.0)
		assert.Assert(t, stderr < priorError)
	})
	t.Run("samples with constant shares change nothing", func(t *testing.T) {
		steady := newSimulation(nil)
		for i := range 20 {
			steady.p.Observe(HeadroomSample{
				Image: "audio", Run: rudderfork.RunRef{Task: "a", Run: 1}, At: t0.Add(time.Duration(i) * time.Second / 2),
				Headroom: 1 + float64(i%4), Shares: map[string]float64{"loud": 0.2},
			})
		}
		assert.Assert(t, !steady.p.SetPrior("audio", "loud", 5))
		got, stderr := steady.p.Estimate("audio", "loud", t0)
		assert.Equal(t, got, DefaultPressure())
		assert.Equal(t, stderr, priorError)
	})
}
