package pace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const cpuShare = 0.1

// pressures holds pressures by the image of the serving task and that of the filler.
type pressures map[string]map[string]float64

func (p pressures) pressure(serving, filler string) float64 { return p[serving][filler] }

var testPressures = pressures{
	"audio": {"calm": 0, "loud": 20, "mild": 3},
	"video": {"calm": 0, "loud": 0, "mild": 0},
}

func newFillers(images ...string) (fs []Filler) {
	for _, im := range images {
		fs = append(fs, Filler{Image: im, CPUShare: cpuShare, Speed: 1})
	}
	return fs
}

// checkSpeed checks that a speed is within bounds.
func checkSpeed(t *testing.T, got, lo, hi float64) {
	t.Helper()
	assert.Assert(t, got >= lo && got <= hi, "speed %.2f; want %.2f to %.2f", got, lo, hi)
}

func TestHeadroom(t *testing.T) {
	assert.Equal(t, Headroom(18, 9), 2.0)
	assert.Equal(t, Headroom(18, 36), 0.5)
	assert.Equal(t, Headroom(18, 0), MaxHeadroom, "no measurement yet")
}

func TestSpeeds(t *testing.T) {
	relaxed := []ServingTask{{"audio", TargetHeadroom + 1}}
	t.Run("a filler without impact works at full speed at any headroom", func(t *testing.T) {
		for _, headroom := range []float64{5, 2.25, 1.1, 0.3} {
			checkSpeed(t, Speeds([]ServingTask{{"audio", headroom}}, newFillers("calm"), 1, testPressures.pressure)[0], 1, 1)
		}
	})
	t.Run("a filler with impact gets the slack", func(t *testing.T) {
		checkSpeed(t, Speeds(relaxed, newFillers("loud"), 1, testPressures.pressure)[0], 0.49, 0.51)
	})
	t.Run("fillers with the least impact go first", func(t *testing.T) {
		s := Speeds(relaxed, newFillers("loud", "mild"), 1, testPressures.pressure)
		checkSpeed(t, s[1], 1, 1)
		checkSpeed(t, s[0], 0.34, 0.36)
	})
	t.Run("a filler that its step waits for goes before them", func(t *testing.T) {
		f := newFillers("loud", "mild")
		f[0].LastOfStep = true
		s := Speeds(relaxed, f, 1, testPressures.pressure)
		checkSpeed(t, s[0], 0.49, 0.51)
		checkSpeed(t, s[1], 0, 0.01)
	})
	t.Run("only serving tasks of the VM count", func(t *testing.T) {
		checkSpeed(t, Speeds([]ServingTask{{"video", 2.25}}, newFillers("loud"), 1, testPressures.pressure)[0], 1, 1)
	})
	t.Run("a task without headroom slows the fillers that affect it", func(t *testing.T) {
		for range 3 {
			s := Speeds([]ServingTask{{"audio", 0.8}}, newFillers("mild", "calm"), 1, testPressures.pressure)
			checkSpeed(t, s[0], 0, overloadFactor)
			checkSpeed(t, s[1], 1, 1)
		}
	})
	t.Run("a reduction that is not measured yet is not repeated", func(t *testing.T) {
		f := newFillers("mild")
		f[0].Speed, f[0].MeasuredSpeed = 0.3, 1 // takes 0.3 of the task's 1.28 without fillers
		want := (0.98 + 0.3 - TargetHeadroom) / 0.3
		checkSpeed(t, Speeds([]ServingTask{{"audio", 0.98}}, f, 1, testPressures.pressure)[0], min(want, 0.55)-0.01, min(want, 0.55)+0.01)
		f[0].MeasuredSpeed = 0.35
		checkSpeed(t, Speeds([]ServingTask{{"audio", 0.98}}, f, 1, testPressures.pressure)[0], 0, overloadFactor*0.3)
	})
	t.Run("one of two tasks of an image without headroom suffices", func(t *testing.T) {
		// Each serving task has its own load: one may be overloaded while another beside the
		// same fillers is not.
		s := Speeds([]ServingTask{{"audio", 0.2}, {"audio", 2.25}}, newFillers("mild"), 1, testPressures.pressure)
		checkSpeed(t, s[0], 0, 0)
	})
	t.Run("a speed rises in steps", func(t *testing.T) {
		f := newFillers("mild")
		f[0].Speed = 0
		checkSpeed(t, Speeds(relaxed, f, 1, testPressures.pressure)[0], maxRise, maxRise)
	})
	t.Run("measured speeds count towards the headroom", func(t *testing.T) {
		f := newFillers("loud")
		f[0].Speed, f[0].MeasuredSpeed = 0.3, 0.3 // takes 0.6
		checkSpeed(t, Speeds([]ServingTask{{"audio", TargetHeadroom + 0.2}}, f, 1, testPressures.pressure)[0], 0.39, 0.41)
	})
	t.Run("fillers share the idle processors beside serving tasks", func(t *testing.T) {
		s := Speeds(relaxed, newFillers("calm", "calm", "calm"), 0.15, testPressures.pressure)
		checkSpeed(t, s[0]+s[1]+s[2], 1.49, 1.51)
	})
	t.Run("nothing is paced without serving tasks", func(t *testing.T) {
		checkSpeed(t, Speeds(nil, newFillers("loud"), -1, testPressures.pressure)[0], 1, 1)
	})
}

// TestGuardStopsFillersUnderOverload guards against a tail latency that stays above its
// objective because the model estimates too low pressures: without the guard it stayed at
// ten times the objective for 4 s.
func TestGuardStopsFillersUnderOverload(t *testing.T) {
	var g Guard
	t0 := time.Unix(1000, 0)
	shouldStopAt := func(d time.Duration, tail float64) bool {
		return g.ShouldStop([]ServingTask{{"video", 5}, {"audio", 1 / tail}}, t0.Add(d))
	}
	assert.Assert(t, !shouldStopAt(0, 0.9))
	assert.Assert(t, !shouldStopAt(100*time.Millisecond, 1.1))
	assert.Assert(t, !shouldStopAt(time.Second, 5))
	assert.Assert(t, shouldStopAt(2300*time.Millisecond, 5))
	assert.Assert(t, shouldStopAt(2400*time.Millisecond, 0.95), "fillers resume at a headroom below resumeHeadroom")
	assert.Assert(t, !shouldStopAt(2500*time.Millisecond, 0.85))
	assert.Assert(t, !shouldStopAt(2600*time.Millisecond, 2), "maxOverload counts from an earlier overload")
}
