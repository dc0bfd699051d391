// Package worktime estimates how long a task works at full speed from its submitter's
// estimate and from observed work times.
//
// The error of submitters' estimates depends on who submits. For each queue a line is
// fitted, which gives the logarithm of the work time as a function of the logarithm of the
// submitted estimate. Where the submitted estimates are good the line reproduces them; where
// they say little it is close to the mean of the queue's tasks. The tasks of one step have
// similar work times, so once some of them are done their mean outweighs the line.
package worktime

import (
	"math"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/regression"
	"rudderfork.example/rudderfork/queue"
)

const (
	// offsetVar and slopeVar are the prior variances of the offset and slope of a queue's
	// line (see queueLine), which are 0 where the submitted estimates are right. They allow
	// for estimates that are wrong by a factor of e or unrelated to the work time.
	offsetVar, slopeVar = 1.0, 0.5
	// stepVar is the variance of the logarithm of a step's mean work time around the line,
	// and taskVar that of a task's work time around the mean of its step. In two queues with
	// 10,350 tasks the first is 0.24 and 0.14, the second 0.04 and 0.11. Around the submitted
	// estimates instead of the line, the first would be 1.1 and 1.0.
	stepVar, taskVar = 0.2, 0.1
	// maxDeviation bounds the influence of one task on a line, in standard deviations.
	maxDeviation = 3.0
	// halfLife is the half-life of an observation in its queue's line. Work times of a queue
	// change over hours, and in a minute some hundred tasks are observed.
	halfLife = time.Minute
	// referenceMS is the submitted estimate for which the line's value is its offset, ms. It
	// is a typical estimate.
	referenceMS = 1_000
)

// Model holds the observations of all queues. It is not safe for concurrent use.
type Model struct {
	queues  map[string]*queueLine // by queue name
	steps   map[queue.StepKey]*stepMean
	changes uint64 // number of observations
}

// New returns a model without observations. Until there are some, Estimate returns the
// submitted estimate.
func New() *Model {
	return &Model{queues: map[string]*queueLine{}, steps: map[queue.StepKey]*stepMean{}}
}

// Changes returns the number of observations. While it stays the same, so do the
// estimates, except for those of pruned steps.
func (m *Model) Changes() uint64 { return m.changes }

// Observe adds the work time of a task at full speed, in ms. In the queue's line all tasks
// of a step together weigh as much as one observation.
func (m *Model) Observe(queueName string, k queue.StepKey, st *queue.Step, workedMS float64, at time.Time) {
	if workedMS <= 0 || st.Count < 1 {
		return
	}
	m.changes++
	l := m.queues[queueName]
	if l == nil {
		l = newQueueLine()
		m.queues[queueName] = l
	}
	l.observe(st.ExpectedMS, workedMS, float64(st.Count), at)
	s := m.steps[k]
	if s == nil {
		s = &stepMean{}
		m.steps[k] = s
	}
	s.sum += math.Log(workedMS)
	s.n++
}

// Estimate returns the estimated work time of a task of a step, in ms.
func (m *Model) Estimate(queueName string, k queue.StepKey, st *queue.Step) float64 {
	expected := math.Log(submittedMS(st.ExpectedMS))
	if l := m.queues[queueName]; l != nil {
		expected += l.correction(st.ExpectedMS)
	}
	if s := m.steps[k]; s != nil {
		weight := s.n / (s.n + taskVar/stepVar)
		expected += weight * (s.sum/s.n - expected)
	}
	return math.Exp(expected)
}

// Prune drops the steps of jobs that are not live.
func (m *Model) Prune(live func(rudderfork.JobID) bool) {
	for k := range m.steps {
		if !live(k.Job) {
			delete(m.steps, k)
		}
	}
}

// submittedMS returns a submitter's estimate, at least 1 ms.
func submittedMS(expectedMS int64) float64 { return float64(max(1, expectedMS)) }

// stepMean holds the sum of the logarithms of the work times of a step's tasks, and their
// number.
type stepMean struct{ sum, n float64 }

// queueLine is the line of one queue. It fits the logarithm of the ratio of work time to
// submitted estimate, as a linear function of the logarithm of the submitted estimate.
type queueLine struct {
	fit regression.Fit // coefficient 0 is the offset, 1 the slope
	at  time.Time      // time of the newest observation
}

func newQueueLine() *queueLine {
	l := &queueLine{}
	l.fit.Grow(0, offsetVar)
	l.fit.Grow(0, slopeVar)
	return l
}

// position returns the argument of the line for a submitted estimate: 0 for referenceMS.
func position(expectedMS int64) float64 { return math.Log(submittedMS(expectedMS) / referenceMS) }

// observe adds the work time of one task. tasks is the number of tasks of its step.
func (l *queueLine) observe(expectedMS int64, workedMS, tasks float64, at time.Time) {
	if !l.at.IsZero() && at.After(l.at) {
		prior := [...]float64{offsetVar, slopeVar}
		l.fit.Widen(regression.Growth(at.Sub(l.at), halfLife), func(i int) float64 { return prior[i] })
	}
	l.at = at
	x := []float64{1, position(expectedMS)}
	l.fit.Update(x, math.Log(workedMS/submittedMS(expectedMS)), (stepVar+taskVar)*tasks, maxDeviation)
}

// correction returns the line's correction to the logarithm of a submitted estimate.
func (l *queueLine) correction(expectedMS int64) float64 {
	return l.fit.Beta(0) + l.fit.Beta(1)*position(expectedMS)
}
