package interference

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
)

// evening plays serving tasks whose own headrooms swing over ten seconds, with
// fillers beside them that change their speeds now and then.
type evening struct {
	p    *PressureModel
	rng  *rand.Rand
	true map[string]float64
	now  time.Time
}

func newEvening(pressures map[string]float64) *evening {
	return &evening{p: NewPressureModel(), rng: rand.New(rand.NewPCG(3, 9)), true: pressures, now: t0}
}

// play gives the model n figures of each of five tasks, half a second apart.
func (e *evening) play(n int) {
	var speeds [5]map[string]float64
	for i := range n {
		e.now = e.now.Add(500 * time.Millisecond)
		for task := range speeds {
			if i%3 == 0 {
				speeds[task] = map[string]float64{}
				for image := range e.true {
					speeds[task][image] = 0.2 * e.rng.Float64()
				}
			}
			phase := 2*math.Pi*float64(i)/20 + float64(task)
			headroom := 2.6 + 0.9*math.Sin(phase) + 0.05*e.rng.NormFloat64()
			for image, share := range speeds[task] {
				headroom -= e.true[image] * share
			}
			e.p.Observe(HeadroomSample{
				Image: "audio", Run: rudderfork.RunRef{Task: rudderfork.TaskID(rune('a' + task)), Run: 1},
				At: e.now, Headroom: headroom, Shares: speeds[task],
			})
		}
	}
}

// checkPressure holds that a pressure is known about as well as the model says.
func (e *evening) checkPressure(t *testing.T, image string) {
	t.Helper()
	got, stderr := e.p.Estimate("audio", image, e.now)
	assert.Assert(t, math.Abs(got-e.true[image]) < 3*stderr, "%s: %.2f ± %.2f; want %.2f", image, got, stderr, e.true[image])
}

func TestPressures(t *testing.T) {
	e := newEvening(map[string]float64{"calm": 0, "mild": 2, "loud": 9})
	e.play(60)
	t.Run("pairs are told apart though the tasks' own load swings more", func(t *testing.T) {
		for image := range e.true {
			e.checkPressure(t, image)
		}
		loud, stderr := e.p.Estimate("audio", "loud", e.now)
		assert.Assert(t, loud > 7 && stderr < 1, "%.2f ± %.2f", loud, stderr)
	})
	t.Run("a pair that was never seen keeps the prior", func(t *testing.T) {
		for _, serving := range []string{"audio", "video"} {
			got, stderr := e.p.Estimate(serving, "new", e.now)
			assert.Equal(t, got, DefaultPressure())
			assert.Equal(t, stderr, priorError)
		}
	})
	t.Run("fillers speed nobody up", func(t *testing.T) {
		calm, _ := e.p.Estimate("audio", "calm", e.now)
		assert.Assert(t, calm >= 0)
	})
	t.Run("what is old is less sure", func(t *testing.T) {
		_, fresh := e.p.Estimate("audio", "loud", e.now)
		_, old := e.p.Estimate("audio", "loud", e.now.Add(2*pressureHalfLife))
		assert.Assert(t, old > 1.9*fresh)
	})
	t.Run("it follows a change", func(t *testing.T) {
		e.true["loud"] = 1
		e.play(240)
		loud, _ := e.p.Estimate("audio", "loud", e.now)
		assert.Assert(t, loud < 2.5, "%.2f", loud)
	})
	t.Run("what was learned elsewhere is taken for a pair that is new here", func(t *testing.T) {
		e.p.SetPrior("audio", "loud", 5)
		e.p.SetPrior("audio", "new", 5)
		loud, _ := e.p.Estimate("audio", "loud", e.now)
		assert.Assert(t, loud < 2.5, "%.2f", loud)
		got, stderr := e.p.Estimate("audio", "new", e.now)
		assert.Equal(t, got, 5.0)
		assert.Assert(t, stderr < priorError)
	})
	t.Run("fillers that work on as before tell nothing", func(t *testing.T) {
		steady := newEvening(nil)
		for i := range 20 {
			steady.p.Observe(HeadroomSample{
				Image: "audio", Run: rudderfork.RunRef{Task: "a", Run: 1}, At: t0.Add(time.Duration(i) * time.Second / 2),
				Headroom: 1 + float64(i%4), Shares: map[string]float64{"loud": 0.2},
			})
		}
		got, stderr := steady.p.Estimate("audio", "loud", t0)
		assert.Equal(t, got, DefaultPressure())
		assert.Equal(t, stderr, priorError)
	})
}
