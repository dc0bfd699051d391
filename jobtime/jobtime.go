// Package jobtime computes from the logs of the processes what the jobs of queues
// spent their time on.
//
// A job ends with its last task. That task could start when a task of another step
// had ended, and so on back to the job's submission. These tasks are the job's
// critical path, which alone determines how long the job takes. A Log collects
// events; Log.Jobs divides the time of each job that has ended into the parts of its
// critical path.
package jobtime

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
)

// Part names what a part of a job's time was spent on. The names are printed.
type Part string

// The parts of a job's time.
const (
	// Waiting is the time from when a task could start to its first start.
	Waiting Part = "waiting for a place"
	// PacedDown is the time that a filler lost by running at less than full speed. A
	// second at 40 percent of full speed counts as 0.6 s.
	PacedDown Part = "paced down"
	// Working is the rest of the run that completed the task.
	Working Part = "at work"
	// WaitingAgain is the time from the end of a run that didn't complete its task
	// to the next start.
	WaitingAgain Part = "waiting for another start"
	// unfinishedPrefix starts the name of the part for a run that didn't complete its
	// task. The way in which the run ended follows.
	unfinishedPrefix = "in a run that "
)

// fullSpeedPercent is the value of Event.Percent at full speed.
const fullSpeedPercent = 100

// Kind is the kind of an event.
type Kind string

// The kinds of events that a Log reads.
const (
	Submitted   Kind = "submitted"
	Placed      Kind = "placed"
	Ended       Kind = "ended"
	Stopping    Kind = "stopping"
	PaceChanged Kind = "paced"
)

// Event is an event of a job or a run, read from a log line.
type Event struct {
	Kind    Kind
	At      time.Time
	Job     rudderfork.JobID // for Submitted, which has neither Task nor Run
	Task    queue.TaskKey
	Run     uint32
	Outcome queue.Outcome // for Ended
	Reason  string        // for Stopping
	Percent int           // for PaceChanged: the new speed in percent of full speed
}

// Job is the time of a job, divided into parts.
type Job struct {
	ID    rudderfork.JobID
	Took  time.Duration
	Parts map[Part]time.Duration // their sum is Took
}

// Log collects events, which may be added in any order.
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
	outcome       queue.Outcome
	reason        string // why it was stopped; empty if it wasn't
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

// Add adds an event.
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
		r.ended, r.outcome = e.At, e.Outcome
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

// Jobs returns the jobs whose submission is in the log and whose placed tasks are
// all completed, in the order of their IDs.
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

// split follows a job's critical path from its last task back to its submission.
func split(id rudderfork.JobID, submitted time.Time, tasks []*task) Job {
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(a.done().ended.Compare(b.done().ended), cmp.Compare(a.key.String(), b.key.String()))
	})
	at := len(tasks) - 1
	j := Job{ID: id, Took: tasks[at].done().ended.Sub(submitted), Parts: map[Part]time.Duration{}}
	for at >= 0 {
		before := predecessor(tasks, at)
		ready := submitted
		if before >= 0 {
			ready = tasks[before].done().ended
		}
		tasks[at].addParts(ready, j.Parts)
		at = before
	}
	return j
}

// predecessor returns the index of the task of another step that ended last before
// the first start of the task at index i, or -1 if there is none. tasks must be in
// the order of their ends.
func predecessor(tasks []*task, i int) int {
	first := tasks[i].placedRuns()[0].placed
	for k := i - 1; k >= 0; k-- {
		if tasks[k].key.StepKey() != tasks[i].key.StepKey() && !tasks[k].done().ended.After(first) {
			return k
		}
	}
	return -1
}

// done returns the run that completed the task, or nil. If a speculative copy, a
// second run of the task, completed it too, it returns the first to end.
func (t *task) done() (first *run) {
	for _, r := range t.runs {
		if r.outcome == queue.OutcomeDone && !r.placed.IsZero() && (first == nil || r.ended.Before(first.ended)) {
			first = r
		}
	}
	return first
}

// placedRuns returns the runs that were placed, in the order of their starts. A run
// without a logged end was lost with its VM; its end is set to the start of the next
// run, if there is one.
func (t *task) placedRuns() (runs []*run) {
	for _, r := range t.runs {
		if !r.placed.IsZero() {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.placed.Compare(b.placed) })
	for i, r := range runs[:len(runs)-1] {
		if r.ended.IsZero() {
			r.ended, r.outcome = runs[i+1].placed, "with its VM"
		}
	}
	return runs
}

// addParts adds the time from ready, when the task could start, until it was
// completed. Other runs than the one that completed the task don't count if they
// overlapped an earlier run, or ended after the task was completed.
func (t *task) addParts(ready time.Time, parts map[Part]time.Duration) {
	done, at, wait := t.done(), ready, Waiting
	for _, r := range t.placedRuns() {
		if r.ended.IsZero() || r.ended.After(done.ended) || r.placed.Before(at) && r != done {
			continue
		}
		begin := later(r.placed, at)
		parts[wait] += begin.Sub(at)
		if r == done {
			pacedDown := r.pacedDown(begin)
			parts[PacedDown] += pacedDown
			parts[Working] += r.ended.Sub(begin) - pacedDown
			return
		}
		parts[r.unfinishedPart()] += r.ended.Sub(begin)
		at, wait = r.ended, WaitingAgain
	}
}

// unfinishedPart returns the part for a run that didn't complete its task.
func (r *run) unfinishedPart() Part {
	if r.reason != "" {
		return Part(unfinishedPrefix + "was stopped: " + r.reason)
	}
	return Part(unfinishedPrefix + "ended " + string(r.outcome))
}

// pacedDown returns the time that the run lost by running at less than full speed,
// counted from the given time on.
func (r *run) pacedDown(from time.Time) (pacedDown time.Duration) {
	slices.SortStableFunc(r.paces, func(a, b pace) int { return a.at.Compare(b.at) })
	for i, p := range r.paces {
		until := r.ended
		if i+1 < len(r.paces) && r.paces[i+1].at.Before(until) {
			until = r.paces[i+1].at
		}
		if begin := later(p.at, from); until.After(begin) {
			pacedDown += until.Sub(begin) * time.Duration(fullSpeedPercent-p.percent) / fullSpeedPercent
		}
	}
	return pacedDown
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
