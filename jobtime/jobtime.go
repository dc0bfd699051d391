// Package jobtime tells from the processes' logs where the time of jobs goes.
//
// A job ends with its last task. That task could begin when the task before it in
// the chain had ended, and so on back to the job's submission: this chain of tasks
// is what made the job take as long as it did, and the rest ran beside it. A Log
// gathers events; Jobs splits the time of each job that has ended by what its
// chain spent it on.
package jobtime

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// Part is what a job's time was spent on.
type Part string

// The parts of a job's time.
const (
	// Waiting is from when a task could begin to its first start.
	Waiting Part = "waiting for a place"
	// PacedDown is what a filler was held back by while it ran, by its share.
	PacedDown Part = "paced down"
	// Working is the rest of the run that did the task.
	Working Part = "at work"
	// WaitingAgain is from the end of a run that did not do its task to the next start.
	WaitingAgain Part = "waiting for another start"
	// lost is followed by why a run ended that did not do its task.
	lost = "in a run that "
)

// fullPercent is the share of a filler that is not held back.
const fullPercent = 100

// Kind tells events apart.
type Kind string

// The kinds of events that a Log reads.
const (
	Submitted   Kind = "submitted"
	Placed      Kind = "placed"
	Ended       Kind = "ended"
	Stopping    Kind = "stopping"
	PaceChanged Kind = "paced"
)

// Event is what a log line tells of a job or a run.
type Event struct {
	Kind    Kind
	At      time.Time
	Job     rudderfork.JobID // of a submission
	Task    queue.TaskKey
	Run     uint32
	Outcome queue.Outcome // of an end
	Reason  string        // of a stop
	Percent int           // of a pace
}

// Job is where a job's time went.
type Job struct {
	ID    rudderfork.JobID
	Took  time.Duration
	Parts map[Part]time.Duration // their sum is Took
}

// Log gathers events, in any order.
type Log struct {
	submitted map[rudderfork.JobID]time.Time
	tasks     map[queue.TaskKey]*task
}

type task struct {
	key  queue.TaskKey
	runs map[uint32]*run
}

type run struct {
	placed, ended time.Time
	how           queue.Outcome
	reason        string
	paces         []pace
}

type pace struct {
	at      time.Time
	percent int
}

// New returns an empty log.
func New() *Log {
	return &Log{submitted: map[rudderfork.JobID]time.Time{}, tasks: map[queue.TaskKey]*task{}}
}

// Add takes an event.
func (l *Log) Add(e Event) {
	if e.Kind == Submitted {
		if at, known := l.submitted[e.Job]; !known || e.At.Before(at) {
			l.submitted[e.Job] = e.At // a repeated submission changes nothing
		}
		return
	}
	r := l.run(e.Task, e.Run)
	switch e.Kind {
	case Placed:
		r.placed = e.At
	case Ended:
		r.ended, r.how = e.At, e.Outcome
	case Stopping:
		r.reason = e.Reason
	case PaceChanged:
		r.paces = append(r.paces, pace{e.At, e.Percent})
	}
}

func (l *Log) run(k queue.TaskKey, number uint32) *run {
	t := l.tasks[k]
	if t == nil {
		t = &task{key: k, runs: map[uint32]*run{}}
		l.tasks[k] = t
	}
	r := t.runs[number]
	if r == nil {
		r = &run{}
		t.runs[number] = r
	}
	return r
}

// Jobs returns the jobs of which the submission is known and each task that was
// placed has ended, by their IDs.
func (l *Log) Jobs() (jobs []Job) {
	byJob := map[rudderfork.JobID][]*task{}
	for k, t := range l.tasks {
		byJob[k.Job] = append(byJob[k.Job], t)
	}
	for _, id := range slices.Sorted(maps.Keys(byJob)) {
		at, known := l.submitted[id]
		tasks := byJob[id]
		if !known || slices.ContainsFunc(tasks, func(t *task) bool { return t.done() == nil }) {
			continue
		}
		jobs = append(jobs, split(id, at, tasks))
	}
	return jobs
}

// split walks a job's chain from its last task back to its submission.
func split(id rudderfork.JobID, submitted time.Time, tasks []*task) Job {
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(a.done().ended.Compare(b.done().ended), cmp.Compare(a.key.String(), b.key.String()))
	})
	at := len(tasks) - 1
	j := Job{ID: id, Took: tasks[at].done().ended.Sub(submitted), Parts: map[Part]time.Duration{}}
	for at >= 0 {
		before := endedBefore(tasks, at)
		ready := submitted
		if before >= 0 {
			ready = tasks[before].done().ended
		}
		tasks[at].spend(ready, j.Parts)
		at = before
	}
	return j
}

// endedBefore returns the place of the task of another step that ended last before
// the first start of the one at place i, or -1. Tasks are in the order of their ends.
func endedBefore(tasks []*task, i int) int {
	first := tasks[i].sorted()[0].placed
	for k := i - 1; k >= 0; k-- {
		if tasks[k].key.StepKey() != tasks[i].key.StepKey() && !tasks[k].done().ended.After(first) {
			return k
		}
	}
	return -1
}

// done returns the run that did the task, or nil: the first, if a copy did it too.
func (t *task) done() (first *run) {
	for _, r := range t.runs {
		if r.how == queue.OutcomeDone && !r.placed.IsZero() && (first == nil || r.ended.Before(first.ended)) {
			first = r
		}
	}
	return first
}

// sorted returns the runs that were placed, in the order of their starts. One of
// which no end was told lasted until the next start: its VM was lost.
func (t *task) sorted() (runs []*run) {
	for _, r := range t.runs {
		if !r.placed.IsZero() {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.placed.Compare(b.placed) })
	for i, r := range runs[:len(runs)-1] {
		if r.ended.IsZero() {
			r.ended, r.how = runs[i+1].placed, "with its VM"
		}
	}
	return runs
}

// spend adds the time from when the task could begin until it was done. Copies that
// ran beside the run that did it count for nothing.
func (t *task) spend(ready time.Time, parts map[Part]time.Duration) {
	done, at, wait := t.done(), ready, Waiting
	for _, r := range t.sorted() {
		if r.ended.IsZero() || r.ended.After(done.ended) || r.placed.Before(at) && r != done {
			continue
		}
		begin := later(r.placed, at)
		parts[wait] += begin.Sub(at)
		if r == done {
			held := r.held(begin)
			parts[PacedDown] += held
			parts[Working] += r.ended.Sub(begin) - held
			return
		}
		parts[r.lost()] += r.ended.Sub(begin)
		at, wait = r.ended, WaitingAgain
	}
}

// lost names the part of a run that did not do its task.
func (r *run) lost() Part {
	if r.reason != "" {
		return Part(lost + "was stopped: " + r.reason)
	}
	return Part(lost + "ended " + string(r.how))
}

// held is the time by which a run was held back from a time on.
func (r *run) held(from time.Time) (held time.Duration) {
	slices.SortStableFunc(r.paces, func(a, b pace) int { return a.at.Compare(b.at) })
	for i, p := range r.paces {
		until := r.ended
		if i+1 < len(r.paces) && r.paces[i+1].at.Before(until) {
			until = r.paces[i+1].at
		}
		if begin := later(p.at, from); until.After(begin) {
			held += until.Sub(begin) * time.Duration(fullPercent-p.percent) / fullPercent
		}
	}
	return held
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
