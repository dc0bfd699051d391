package scheduler

import (
	"time"

	"rudderfork.example/rudderfork/queue"
)

const (
	// workTimesBatch is how many tasks are seen between two times that expectations are
	// worked out again for all jobs.
	workTimesBatch = 32
	// maxUnseenPercent is the part of a task's work, in percent, that may have been done before
	// its run was first heard of for that to tell how long the whole takes.
	maxUnseenPercent = 60
)

// worked is how long the run has worked at full speed since it was first heard of, ms.
func (r *runInfo) worked(now time.Time) float64 {
	speed := 1 - float64(r.status.PacedDownPercent)/fullPercent
	return r.workedMS + speed*float64(max(0, now.Sub(r.reportedAt)))/float64(time.Millisecond)
}

// totalWork is what a run that has ended worked in all, ms; 0 if heartbeats do not tell.
func (v *vmInfo) totalWork(e queue.End, now time.Time) float64 {
	r := v.runs[e.Task]
	if r == nil || r.status.Run != e.Run || r.firstPercent >= maxUnseenPercent {
		return 0
	}
	return r.worked(now) * fullPercent / float64(fullPercent-r.firstPercent)
}

// observeWorkTime takes what a task that is done worked, if its only run has done it all.
// Without figures of heartbeats, runs that are too short for these, it is the time from
// the start on.
func (f *fleet) observeWorkTime(s *queue.State, e queue.End, worked float64, now time.Time) {
	j := s.Job(e.Task.Job)
	if e.Outcome != queue.OutcomeDone || e.Run != 1 || j == nil || j.Task(e.Task) == nil {
		return
	}
	if worked == 0 {
		worked = float64(j.Task(e.Task).TookMS)
	}
	f.worktimes.Observe(s.CurrentQueue(j).Name, e.Task.StepKey(), &j.Spec.Steps[e.Task.Step], worked, now)
}
