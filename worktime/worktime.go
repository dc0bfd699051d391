// Package worktime tells how long a task may be expected to work at full speed, from its
// submitter's guess and from what was seen.
//
// How far guesses are off is a matter of who submits. So for each queue a line is fitted
// to what tasks took against what was guessed, both as logarithms: where guesses are
// good it is the guess itself, where they tell little it is nearly the mean of the
// queue's tasks. The tasks of one step take about as long as each other, whatever was
// guessed: once some of a step are done, they tell most.
package worktime

import (
	"math"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/regression"
	"rudderfork.example/rudderfork/queue"
)

const (
	// offsetVar and slopeVar are the variances of the prior of a queue's line, by which a
	// guess is right: guesses are off by a factor of e, and may tell nothing at all.
	offsetVar, slopeVar = 1.0, 0.5
	// stepVar is the variance of the logarithm of a step's work about the line, and
	// taskVar that of a task's about its step's. (On a day of 62 VMs, 10,350 tasks of two
	// queues: 0.24 and 0.14; 0.04 and 0.11. By the guesses alone it was 1.1 and 1.0.)
	stepVar, taskVar = 0.2, 0.1
	// outlier bounds how far one task may pull a line, in standard deviations.
	outlier = 3.0
	// halfLife is when what a task told of its queue counts half: queues change their
	// work over hours, and a minute has some hundred tasks.
	halfLife = time.Minute
	// usualMS is where the line's offset is taken, ms: the middle of usual tasks.
	usualMS = 1_000
)

// Model is what was seen of the queues' tasks. It is not safe for concurrent use.
type Model struct {
	lines   map[string]*line // by queue
	steps   map[queue.StepKey]*mean
	changes uint64
}

// New returns a model that believes guesses.
func New() *Model {
	return &Model{lines: map[string]*line{}, steps: map[queue.StepKey]*mean{}}
}

// Changes rises with each task that was seen.
func (m *Model) Changes() uint64 { return m.changes }

// Observe takes what a task of a step worked at full speed, ms. The tasks of a step count
// together, for its queue, as much as one.
func (m *Model) Observe(queueName string, k queue.StepKey, st *queue.Step, workedMS float64, at time.Time) {
	if workedMS <= 0 || st.Count < 1 {
		return
	}
	m.changes++
	l := m.lines[queueName]
	if l == nil {
		l = newLine()
		m.lines[queueName] = l
	}
	l.observe(st.ExpectedMS, workedMS, float64(st.Count), at)
	s := m.steps[k]
	if s == nil {
		s = &mean{}
		m.steps[k] = s
	}
	s.sum += math.Log(workedMS)
	s.n++
}

// Estimate returns how long a task of a step may be expected to work, ms.
func (m *Model) Estimate(queueName string, k queue.StepKey, st *queue.Step) float64 {
	expected := math.Log(guess(st.ExpectedMS))
	if l := m.lines[queueName]; l != nil {
		expected += l.correction(st.ExpectedMS)
	}
	if s := m.steps[k]; s != nil {
		weight := s.n / (s.n + taskVar/stepVar)
		expected += weight * (s.sum/s.n - expected)
	}
	return math.Exp(expected)
}

// Prune drops the steps of jobs that are over.
func (m *Model) Prune(live func(rudderfork.JobID) bool) {
	for k := range m.steps {
		if !live(k.Job) {
			delete(m.steps, k)
		}
	}
}

// guess is a submitter's guess, of at least a millisecond.
func guess(expectedMS int64) float64 { return float64(max(1, expectedMS)) }

// mean is of the logarithms of what tasks of a step worked.
type mean struct{ sum, n float64 }

// line is the logarithm of what tasks of one queue work beside that of the guess, over
// the latter.
type line struct {
	fit regression.Fit
	at  time.Time
}

func newLine() *line {
	l := &line{}
	l.fit.Grow(0, offsetVar)
	l.fit.Grow(0, slopeVar)
	return l
}

// along is where on the line a guess lies.
func along(expectedMS int64) float64 { return math.Log(guess(expectedMS) / usualMS) }

func (l *line) observe(expectedMS int64, workedMS, tasks float64, at time.Time) {
	if !l.at.IsZero() && at.After(l.at) {
		prior := [...]float64{offsetVar, slopeVar}
		l.fit.Widen(regression.Growth(at.Sub(l.at), halfLife), func(i int) float64 { return prior[i] })
	}
	l.at = at
	x := []float64{1, along(expectedMS)}
	l.fit.Update(x, math.Log(workedMS/guess(expectedMS)), (stepVar+taskVar)*tasks, outlier)
}

// correction is what the line adds to the logarithm of a guess.
func (l *line) correction(expectedMS int64) float64 {
	return l.fit.Beta(0) + l.fit.Beta(1)*along(expectedMS)
}
