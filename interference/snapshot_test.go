package interference

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longAge is the age of a snapshot of which no age is known.
const longAge = 365 * 24 * time.Hour

// restorePressures observes a simulation and restores its snapshot, of the given age, into the
// model of another process. edit may change the snapshot.
func restorePressures(age time.Duration, edit func([]PairSnapshot)) (s *simulation, restored, invalid int) {
	s = newSimulation(map[string]float64{"calm": 0, "mild": 2, "loud": 9})
	s.observe(60)
	list := s.p.Snapshot(s.now)
	edit(list)
	s.now = s.now.Add(5 * time.Hour) // the clock of another machine
	s.p = NewPressureModel()
	restored, invalid = s.p.Restore(list, age, s.now)
	return s, restored, invalid
}

// TestRestorePressures guards against a new leader that has to measure pressures anew, and against
// one that lets what it restores outweigh better estimates.
func TestRestorePressures(t *testing.T) {
	noEdit := func([]PairSnapshot) {}
	checkLoud := func(t *testing.T, s *simulation, want, tolerance, maxError float64) {
		t.Helper()
		got, stderr := s.p.Estimate("audio", "loud", s.now)
		assert.Assert(t, math.Abs(got-want) <= tolerance && stderr <= maxError, "the estimate is %.2f ± %.2f; want %.2f", got, stderr, want)
	}
	t.Run("the pairs have their pressures at once", func(t *testing.T) {
		s, restored, invalid := restorePressures(3*time.Second, noEdit)
		assert.Equal(t, restored, len(s.actual))
		assert.Equal(t, invalid, 0)
		for image := range s.actual {
			s.checkEstimate(t, image)
		}
		checkLoud(t, s, 9, 1, 1)
	})
	t.Run("what agents know does not replace a certain pressure", func(t *testing.T) {
		s, _, _ := restorePressures(3*time.Second, noEdit)
		assert.Assert(t, !s.p.SetPrior("audio", "loud", 4))
		checkLoud(t, s, 9, 1, 1)
	})
	t.Run("what agents know replaces a pressure of unknown age, once", func(t *testing.T) {
		s, _, _ := restorePressures(longAge, noEdit)
		_, stderr := s.p.Estimate("audio", "loud", s.now)
		assert.Equal(t, stderr, priorError)
		assert.Assert(t, s.p.SetPrior("audio", "loud", 4))
		checkLoud(t, s, 4, 0, transferredError)
		delete(s.actual, "loud")
		s.observe(60) // the other pairs; the uncertainty grows
		assert.Assert(t, !s.p.SetPrior("audio", "loud", 5))
	})
	t.Run("what agents know does not replace a pressure that was observed since", func(t *testing.T) {
		s, _, _ := restorePressures(longAge, noEdit)
		s.observe(60)
		assert.Assert(t, !s.p.SetPrior("audio", "loud", 4))
		checkLoud(t, s, 9, 1, 1)
	})
	t.Run("the estimate follows a change", func(t *testing.T) {
		s, _, _ := restorePressures(3*time.Second, noEdit)
		s.actual["loud"] = 1
		s.observe(240)
		checkLoud(t, s, 1, 1.5, 1)
	})
}

// TestRestorePressuresInvalid guards against a damaged pair that makes pressures infinite.
func TestRestorePressuresInvalid(t *testing.T) {
	for name, edit := range map[string]func(*PairSnapshot){
		"a pressure that is not a number":  func(s *PairSnapshot) { s.Pressure = float32(math.NaN()) },
		"a negative pressure":              func(s *PairSnapshot) { s.Pressure = -1 },
		"an infinite error":                func(s *PairSnapshot) { s.StdErr = float32(math.Inf(1)) },
		"an error of zero":                 func(s *PairSnapshot) { s.StdErr = 0 },
		"an error above that of the prior": func(s *PairSnapshot) { s.StdErr = 1.1 * priorError },
	} {
		t.Run(name, func(t *testing.T) {
			s, restored, invalid := restorePressures(0, func(list []PairSnapshot) { edit(&list[0]) })
			assert.Equal(t, restored, len(s.actual)-1)
			assert.Equal(t, invalid, 1)
		})
	}
}

// TestPressureSnapshotBounds guards against a record that grows with the number and names of images.
func TestPressureSnapshotBounds(t *testing.T) {
	p := NewPressureModel()
	for i := range 2 * maxPairs {
		p.SetPrior("audio", fmt.Sprint("batch", i), 2)
	}
	p.SetPrior("audio", strings.Repeat("x", maxImageName+1), 2)
	list := p.Snapshot(t0)
	assert.Equal(t, len(list), maxPairs)
	for i := range list {
		assert.Assert(t, len(list[i].Filler) <= maxImageName)
	}
	t.Run("pairs that are no longer observed do not displace others", func(t *testing.T) {
		s := newSimulation(map[string]float64{"mild": 2})
		s.observe(60)
		now := s.now.Add(10 * pressureHalfLife)
		s.p.SetPrior("video", "batch", 2)
		list := s.p.Snapshot(now)
		assert.Equal(t, len(list), 1)
		assert.Equal(t, list[0].Serving, "video")
	})
}
