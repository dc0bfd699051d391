package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const share = 0.1

// pairs is pressures by serving image and filler image.
type pairs map[string]map[string]float64

func (p pairs) pressure(serving, filler string) float64 { return p[serving][filler] }

var known = pairs{
	"audio": {"calm": 0, "loud": 20, "mild": 3},
	"video": {"calm": 0, "loud": 0, "mild": 0},
}

func fillers(images ...string) (fs []Filler) {
	for _, im := range images {
		fs = append(fs, Filler{Image: im, CPUShare: share, Speed: 1})
	}
	return fs
}

// checkSpeed holds that a speed lies within bounds.
func checkSpeed(t *testing.T, got, lo, hi float64) {
	t.Helper()
	assert.Assert(t, got >= lo && got <= hi, "speed %.2f; want %.2f to %.2f", got, lo, hi)
}

func TestHeadroom(t *testing.T) {
	assert.Equal(t, Headroom(18, 9), 2.0)
	assert.Equal(t, Headroom(18, 36), 0.5)
	assert.Equal(t, Headroom(18, 0), MaxHeadroom, "no figure yet")
}

func TestStep(t *testing.T) {
	calm := []ServingTask{{"audio", TargetHeadroom + 1}}
	t.Run("a harmless filler works at full speed whatever the headroom", func(t *testing.T) {
		for _, headroom := range []float64{5, 2.25, 1.1, 0.3} {
			checkSpeed(t, Speeds([]ServingTask{{"audio", headroom}}, fillers("calm"), 1, known.pressure)[0], 1, 1)
		}
	})
	t.Run("a harmful one gets what the headroom leaves", func(t *testing.T) {
		checkSpeed(t, Speeds(calm, fillers("loud"), 1, known.pressure)[0], 0.49, 0.51)
	})
	t.Run("the least harmful go first", func(t *testing.T) {
		s := Speeds(calm, fillers("loud", "mild"), 1, known.pressure)
		checkSpeed(t, s[1], 1, 1)
		checkSpeed(t, s[0], 0.34, 0.36)
	})
	t.Run("before them one that the rest of its step waits for", func(t *testing.T) {
		f := fillers("loud", "mild")
		f[0].LastOfStep = true
		s := Speeds(calm, f, 1, known.pressure)
		checkSpeed(t, s[0], 0.49, 0.51)
		checkSpeed(t, s[1], 0, 0.01)
	})
	t.Run("only the serving tasks that are there count", func(t *testing.T) {
		checkSpeed(t, Speeds([]ServingTask{{"video", 2.25}}, fillers("loud"), 1, known.pressure)[0], 1, 1)
	})
	t.Run("a task without headroom cuts what harms it", func(t *testing.T) {
		for range 3 {
			s := Speeds([]ServingTask{{"audio", 0.8}}, fillers("mild", "calm"), 1, known.pressure)
			checkSpeed(t, s[0], 0, cut)
			checkSpeed(t, s[1], 1, 1)
		}
	})
	t.Run("a cut that the figures do not show yet is not cut again", func(t *testing.T) {
		f := fillers("mild")
		f[0].Speed, f[0].MeasuredSpeed = 0.3, 1 // it took 0.3 of the task's own 1.28
		want := (0.98 + 0.3 - TargetHeadroom) / 0.3
		checkSpeed(t, Speeds([]ServingTask{{"audio", 0.98}}, f, 1, known.pressure)[0], min(want, 0.55)-0.01, min(want, 0.55)+0.01)
		f[0].MeasuredSpeed = 0.35
		checkSpeed(t, Speeds([]ServingTask{{"audio", 0.98}}, f, 1, known.pressure)[0], 0, cut*0.3)
	})
	t.Run("one of two alike that has no headroom counts as any other", func(t *testing.T) {
		// (The load on a task is its own: where the one swings high, the same
		// fillers leave its neighbour calm.)
		s := Speeds([]ServingTask{{"audio", 0.2}, {"audio", 2.25}}, fillers("mild"), 1, known.pressure)
		checkSpeed(t, s[0], 0, 0)
	})
	t.Run("a speed rises in steps", func(t *testing.T) {
		f := fillers("mild")
		f[0].Speed = 0
		checkSpeed(t, Speeds(calm, f, 1, known.pressure)[0], rise, rise)
	})
	t.Run("what worked while the headroom was measured explains it", func(t *testing.T) {
		f := fillers("loud")
		f[0].Speed, f[0].MeasuredSpeed = 0.3, 0.3 // it takes 0.6
		checkSpeed(t, Speeds([]ServingTask{{"audio", TargetHeadroom + 0.2}}, f, 1, known.pressure)[0], 0.39, 0.41)
	})
	t.Run("fillers share what is idle beside serving tasks", func(t *testing.T) {
		s := Speeds(calm, fillers("calm", "calm", "calm"), 0.15, known.pressure)
		checkSpeed(t, s[0]+s[1]+s[2], 1.49, 1.51)
	})
	t.Run("without serving tasks nothing is held", func(t *testing.T) {
		checkSpeed(t, Speeds(nil, fillers("loud"), -1, known.pressure)[0], 1, 1)
	})
}

// TestGuard holds that no tail stays over its objective for long, whatever the
// model believes of the fillers. (On a hunted day, trouble-3 --seed 444721811285
// of prhta-rudder, fillers that were taken for harmless kept a tail at ten times
// its objective for 4 s.)
func TestGuard(t *testing.T) {
	var g Guard
	t0 := time.Unix(1000, 0)
	at := func(d time.Duration, tail float64) bool {
		return g.ShouldStop([]ServingTask{{"video", 5}, {"audio", 1 / tail}}, t0.Add(d))
	}
	assert.Assert(t, !at(0, 0.9))
	assert.Assert(t, !at(100*time.Millisecond, 1.1))
	assert.Assert(t, !at(time.Second, 5))
	assert.Assert(t, at(2300*time.Millisecond, 5))
	assert.Assert(t, at(2400*time.Millisecond, 0.95), "they go on only below the mark")
	assert.Assert(t, !at(2500*time.Millisecond, 0.85))
	assert.Assert(t, !at(2600*time.Millisecond, 2), "the time begins anew")
}
