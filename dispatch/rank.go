package dispatch

import (
	"cmp"

	"rudderfork.example/rudderfork/fairshare"
	"rudderfork.example/rudderfork/queue"
)

// worthlessFactor is the multiple of its objective after which a job is worth nothing to
// its owner. A job that ends after its objective but within this time is worth less than
// one in time.
const worthlessFactor = 3

// rank orders jobs. Within a priority, jobs that can still be in time go before late ones:
// if not all jobs fit, starting the oldest first would make all of them late. Within both
// groups the least remaining work goes first, which gets the most jobs done in time
// (shortest remaining processing time, Schrage 1968). Worthless jobs are ordered by
// deadline instead, so that none of them starves. With View.Shares, the standing of a job's
// group comes between lateness and remaining work (turn).
type rank struct {
	worthless bool // too late to be worth anything to its owner
	late      bool // can no longer be in time
	turn      turn // by lateness and by the standing of its group
	priority  int
	workLeft  float64 // remaining work, thousandths of a core times ms; 0 for lasting and worthless jobs
	deadline  int64   // end of the objective, leader's clock, Unix ms
}

// rank returns the job's rank at a time, Unix ms.
func (js *jobState) rank(now int64) rank {
	r := rank{
		worthless: js.worthless(now),
		priority:  js.queue.Priority,
		late:      now+js.pathLeft > js.objectiveFrom+js.objective && !js.lasting,
		deadline:  js.objectiveFrom + js.objective,
	}
	if !r.worthless {
		r.workLeft = js.workLeft
	}
	r.turn = turnOf(r, js.standing())
	return r
}

// turn orders jobs of a priority before their remaining work does.
type turn uint8

// The turns. Jobs that are in time and have no work that is counted, as lasting jobs, go first
// with and without shares: they would be first by remaining work as well.
const (
	turnWorkless turn = iota
	turnStarved
	turnStarvedLate
	turnInTime
	turnInTimeAhead
	turnLate
	turnLateAhead
)

// turnOf returns the turn of a job from the other parts of its rank. Worthless jobs do not
// compete.
func turnOf(r rank, st fairshare.Standing) turn {
	switch {
	case !r.late && r.workLeft == 0:
		return turnWorkless
	case st == fairshare.Starved && !r.worthless && !r.late:
		return turnStarved
	case st == fairshare.Starved && !r.worthless:
		return turnStarvedLate
	case st == fairshare.Ahead && !r.late:
		return turnInTimeAhead
	case st == fairshare.Ahead && !r.worthless:
		return turnLateAhead
	case r.late:
		return turnLate
	}
	return turnInTime
}

// worthless reports whether the job is too late to be worth anything to its owner.
func (js *jobState) worthless(now int64) bool {
	return now > js.objectiveFrom+worthlessFactor*js.objective && !js.lasting
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		compareBool(r.worthless, o.worthless), cmp.Compare(r.priority, o.priority),
		cmp.Compare(r.turn, o.turn), cmp.Compare(r.workLeft, o.workLeft), cmp.Compare(r.deadline, o.deadline),
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

// objectiveFromMS returns when a job's objective begins to run, Unix ms: at submission,
// or when the oldest unfinished occurrence became due.
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

// WorkTimeFunc estimates how long a task of a queue's step works at full speed, in ms.
type WorkTimeFunc func(queueName string, k queue.StepKey, st *queue.Step) float64

// estimates returns the estimates for an occurrence of a job, in ms by step.
func (w WorkTimeFunc) estimates(q queue.Queue, j *queue.Job, occurrence int) []float64 {
	list := make([]float64, len(j.Spec.Steps))
	for i := range list {
		st := &j.Spec.Steps[i]
		list[i] = float64(st.ExpectedMS)
		if w != nil {
			list[i] = w(q.Name, queue.StepKey{Job: j.ID, Occurrence: occurrence, Step: i}, st)
		}
	}
	return list
}

// ObjectiveMS returns how long a job of the queue may take, in ms: a multiple of the
// estimated length of its critical path, plus the queue's latency.
func ObjectiveMS(q queue.Queue, j *queue.Job, w WorkTimeFunc) int64 {
	return objectiveMS(q, j, w.estimates(q, j, openOccurrence(j)))
}

func objectiveMS(q queue.Queue, j *queue.Job, workMS []float64) int64 {
	return int64(stretchedPathMS(q, j, workMS)) + q.LatencyMS
}

// stretchedPathMS returns the part of the objective that depends on the job, in ms. It may be beyond
// the range of int64.
func stretchedPathMS(q queue.Queue, j *queue.Job, workMS []float64) float64 {
	return max(1, q.Stretch) * criticalPathMS(j.Spec, workMS, func(int) bool { return true })
}

// openOccurrence returns the oldest unfinished occurrence of a job, or the last one.
func openOccurrence(j *queue.Job) int {
	for i, o := range j.Occurrences {
		if !o.Done() {
			return i
		}
	}
	return max(0, len(j.Occurrences)-1)
}

// pathLeftMS returns the estimated length of the critical path through the unfinished
// steps of the open occurrence, in ms.
func pathLeftMS(j *queue.Job, workMS []float64) int64 {
	if len(j.Occurrences) == 0 {
		return 0
	}
	o := j.Occurrences[openOccurrence(j)]
	return int64(criticalPathMS(j.Spec, workMS, func(step int) bool { return o.Remaining[step] > 0 }))
}

// workLeft returns the estimated work of the unfinished tasks of the open occurrence, in
// thousandths of a core times ms. It is 0 for a lasting job, whose work has no end.
func workLeft(j *queue.Job, workMS []float64) (work float64) {
	if hasLastingStep(j) || len(j.Occurrences) == 0 {
		return 0
	}
	o := j.Occurrences[openOccurrence(j)]
	for i := range j.Spec.Steps {
		work += expectedWork(&j.Spec.Steps[i], workMS[i], o.Remaining[i])
	}
	return work
}

// expectedWork returns the work of a number of a step's tasks, in thousandths of a core
// times ms.
func expectedWork(st *queue.Step, workMS float64, tasks int) float64 {
	return float64(tasks) * float64(st.Size.CPUMilli) * max(1, workMS)
}

// criticalPathMS returns the length of the longest chain of dependent steps, in ms. Only
// steps for which counts is true add to it.
func criticalPathMS(spec queue.Spec, workMS []float64, counts func(step int) bool) (longest float64) {
	ends := make([]float64, len(spec.Steps))
	for i, st := range spec.Steps {
		for _, d := range st.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		if counts(i) {
			ends[i] += workMS[i]
		}
		longest = max(longest, ends[i])
	}
	return longest
}
