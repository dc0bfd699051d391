package worktime

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// longAge is the age of a snapshot of which no age is known.
const longAge = 365 * 24 * time.Hour

// observeQueues returns a model that has observed tasks of n queues, which take three times their
// submitted estimates.
func observeQueues(n int) *Model {
	m := New()
	for i := range 50 {
		st := &queue.Step{Count: 1, ExpectedMS: int64(200 * (i + 1))}
		for q := range n {
			m.Observe(fmt.Sprint("q", q), queue.StepKey{Job: rudderfork.JobID(fmt.Sprint(i))}, st, 3*float64(st.ExpectedMS), t0)
		}
	}
	return m
}

// TestRestore guards against a new leader that trusts submitted estimates which its predecessor knew
// to be wrong, and against one that does not follow a change since.
func TestRestore(t *testing.T) {
	st, k := &queue.Step{Count: 1, ExpectedMS: 2000}, queue.StepKey{Job: "new"}
	before := observeQueues(2)
	want := before.Estimate("q0", k, st)
	now := t0.Add(5 * time.Hour) // the clock of another machine
	for _, age := range []time.Duration{0, 3 * time.Second, longAge} {
		t.Run(age.String(), func(t *testing.T) {
			m := New()
			restored, invalid := m.Restore(before.Snapshot(t0), age, now)
			assert.Equal(t, restored, 2)
			assert.Equal(t, invalid, 0)
			got := m.Estimate("q0", k, st)
			assert.Assert(t, math.Abs(got-want) < 0.01*want, "the estimate is %.0f ms, before %.0f ms", got, want)
			for i := range 50 {
				m.Observe("q0", queue.StepKey{Job: rudderfork.JobID(fmt.Sprint(i))}, st, 1000, now.Add(time.Duration(i)*time.Second))
			}
			got = m.Estimate("q0", k, st)
			assert.Assert(t, got < 1500, "the estimate is %.0f ms after tasks of 1000 ms", got)
		})
	}
	t.Run("an old line gives way sooner", func(t *testing.T) {
		estimate := func(age time.Duration) float64 {
			m := New()
			m.Restore(before.Snapshot(t0), age, now)
			m.Observe("q0", queue.StepKey{Job: "a"}, st, 1000, now)
			return m.Estimate("q0", k, st)
		}
		assert.Assert(t, estimate(longAge) < estimate(0))
	})
}

// TestRestoreInvalid guards against a damaged line that makes estimates infinite.
func TestRestoreInvalid(t *testing.T) {
	for name, edit := range map[string]func(*LineSnapshot){
		"an offset that is not a number": func(s *LineSnapshot) { s.Coefficients[0] = float32(math.NaN()) },
		"a slope that is too steep":      func(s *LineSnapshot) { s.Coefficients[1] = 1e9 },
		"an infinite variance":           func(s *LineSnapshot) { s.Variances[0] = float32(math.Inf(1)) },
		"a variance of zero":             func(s *LineSnapshot) { s.Variances[1] = 0 },
		"a negative age":                 func(s *LineSnapshot) { s.AgeMS = -1 },
		"an age that overflows":          func(s *LineSnapshot) { s.AgeMS = math.MaxInt64 },
		"no name":                        func(s *LineSnapshot) { s.Queue = "" },
	} {
		t.Run(name, func(t *testing.T) {
			list := observeQueues(2).Snapshot(t0)
			edit(&list[0])
			restored, invalid := New().Restore(list, 0, t0)
			assert.Equal(t, restored, 1)
			assert.Equal(t, invalid, 1)
		})
	}
	t.Run("the steepest line", func(t *testing.T) {
		list := []LineSnapshot{{Queue: "q", Coefficients: [...]float32{maxCoefficient, maxCoefficient}, Variances: [...]float32{1, 1}}}
		m := New()
		restored, _ := m.Restore(list, 0, t0)
		assert.Equal(t, restored, 1)
		got := m.Estimate("q", queue.StepKey{Job: "new"}, &queue.Step{Count: 1, ExpectedMS: math.MaxInt64})
		assert.Assert(t, !math.IsInf(got, 0))
	})
	t.Run("too many queues", func(t *testing.T) {
		assert.Equal(t, len(observeQueues(maxQueues+1).Snapshot(t0)), maxQueues)
	})
}
