package dispatch

import (
	"cmp"

	"rudderfork.example/rudderfork/queue"
)

// hopeFactor is how many times its objective a job may take before finishing it
// is worth nothing to its owner (the users' pages count up to three times as
// late).
const worthlessFactor = 3

// rank orders jobs. Within a priority, those that can be in time go first: when
// there is too little room for all, serving the oldest first would make all late.
// (In trials of 14 seeds on scale days that was worth 0.008 to 0.010 of a day.) Of
// these, and of those that are late, the ones with the least work left go first: where
// not all can be in time, more are (shortest remaining processing time, Schrage 1968).
// Those past all hope go by their age, so that each has its turn.
type rank struct {
	worthless bool
	priority  int
	late      bool    // it cannot be in time any more
	workLeft  float64 // that is left, thousandths of a core times ms; 0 if it lasts
	deadline  int64   // of the objective, leader's clock, Unix ms
}

// rank returns where a job stands now.
func (n *jobState) rank(now int64) rank {
	r := rank{
		worthless: now > n.objectiveFrom+worthlessFactor*n.objective && !n.lasting,
		priority:  n.row.Priority,
		late:      now+n.pathLeft > n.objectiveFrom+n.objective && !n.lasting,
		deadline:  n.objectiveFrom + n.objective,
	}
	if !r.worthless {
		r.workLeft = n.workLeft
	}
	return r
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		compareBool(r.worthless, o.worthless), cmp.Compare(r.priority, o.priority),
		compareBool(r.late, o.late), cmp.Compare(r.workLeft, o.workLeft), cmp.Compare(r.deadline, o.deadline),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func hasLastingStep(j *queue.Job) bool {
	for _, st := range j.Spec.Steps {
		if st.Lasting {
			return true
		}
	}
	return false
}

// askedMS is when a job's objective began to run: when it was handed in, or when
// the oldest of its times fell due that is not done.
func objectiveFromMS(j *queue.Job) int64 {
	if j.Spec.Repeat == nil {
		return j.SubmittedAt
	}
	for _, o := range j.Occurrences {
		if !o.Done() {
			return max(j.SubmittedAt, o.DueMS)
		}
	}
	return j.SubmittedAt
}

// WorkTimeFunc returns how long a task of a queue's step may be expected to work at full
// speed, ms.
type WorkTimeFunc func(queueName string, k queue.StepKey, st *queue.Step) float64

// of returns the expectations for the steps of a job at a time, by step.
func (w WorkTimeFunc) estimates(row queue.Queue, j *queue.Job, time int) []float64 {
	list := make([]float64, len(j.Spec.Steps))
	for i := range list {
		st := &j.Spec.Steps[i]
		list[i] = float64(st.ExpectedMS)
		if w != nil {
			list[i] = w(row.Name, queue.StepKey{Job: j.ID, Occurrence: time, Step: i}, st)
		}
	}
	return list
}

// ObjectiveMS is how long a job of the queue may take: a multiple of its
// longest chain of work, and the queue's latency.
func ObjectiveMS(row queue.Queue, j *queue.Job, w WorkTimeFunc) int64 {
	return objectiveMS(row, j, w.estimates(row, j, openOccurrence(j)))
}

func objectiveMS(row queue.Queue, j *queue.Job, works []float64) int64 {
	chain := criticalPathMS(j.Spec, works, func(int) bool { return true })
	return int64(max(1, row.Stretch)*chain) + row.LatencyMS
}

// openTime is the oldest time of a job that is not done, or the last one.
func openOccurrence(j *queue.Job) int {
	for i, o := range j.Occurrences {
		if !o.Done() {
			return i
		}
	}
	return max(0, len(j.Occurrences)-1)
}

// leftMS is the expected length of the longest chain of steps that are not done,
// of the oldest time of a job that is not done.
func pathLeftMS(j *queue.Job, works []float64) int64 {
	if len(j.Occurrences) == 0 {
		return 0
	}
	o := j.Occurrences[openOccurrence(j)]
	return int64(criticalPathMS(j.Spec, works, func(step int) bool { return o.Left[step] > 0 }))
}

// leftWork is the expected work of the tasks that are not done, of the oldest time of
// a job that is not done, in thousandths of a core times ms. A lasting job has none
// that could be compared.
func workLeft(j *queue.Job, works []float64) (work float64) {
	if hasLastingStep(j) || len(j.Occurrences) == 0 {
		return 0
	}
	o := j.Occurrences[openOccurrence(j)]
	for i := range j.Spec.Steps {
		work += expectedWork(&j.Spec.Steps[i], works[i], o.Left[i])
	}
	return work
}

// expectedWork is that of so many tasks of a step, in thousandths of a core times ms.
func expectedWork(st *queue.Step, workMS float64, tasks int) float64 {
	return float64(tasks) * float64(st.Size.CPUMilli) * max(1, workMS)
}

// chainMS is the expected length of the longest chain of the steps that count.
func criticalPathMS(spec queue.Spec, works []float64, counts func(step int) bool) (longest float64) {
	ends := make([]float64, len(spec.Steps))
	for i, st := range spec.Steps {
		for _, d := range st.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		if counts(i) {
			ends[i] += works[i]
		}
		longest = max(longest, ends[i])
	}
	return longest
}
