package scheduler

import (
	"time"

	"rudderfork.example/rudderfork/queue"
)

const (
	// workTimesBatch is the number of observed work times after which the estimates of all
	// jobs are computed again.
	workTimesBatch = 32
	// maxUnseenPercent bounds the percent of a task that was done before its run was first
	// reported. Above it, the rest shows too little of how long the whole task takes.
	maxUnseenPercent = 60
)

// worked returns the run's work time since it was first reported, as if at full speed, in ms.
func (r *runInfo) worked(now time.Time) float64 {
	speed := 1 - float64(r.status.PacedDownPercent)/fullPercent
	return r.workedMS + speed*float64(max(0, now.Sub(r.reportedAt)))/float64(time.Millisecond)
}

// totalWork returns the work time of a run that has ended, in ms. It is extrapolated to the whole
// task if a part was done before the run was first reported. It is 0 if heartbeats do not show it.
func (v *vmInfo) totalWork(e queue.End, now time.Time) float64 {
	r := v.runs[e.Task]
	if r == nil || r.status.Run != e.Run || r.firstPercent >= maxUnseenPercent {
		return 0
	}
	return r.worked(now) * fullPercent / float64(fullPercent-r.firstPercent)
}

// observeWorkTime adds the work time of a task that is done to the model, if the task's first run
// completed it. If heartbeats do not show the work time (worked is 0), as with very short runs, the
// time since the start counts instead.
func (f *fleet) observeWorkTime(s *queue.State, e queue.End, worked float64, now time.Time) {
	j := s.Job(e.Task.Job)
	if e.Outcome != queue.OutcomeDone || e.Run != 1 || j == nil || j.Task(e.Task) == nil {
		return
	}
	if worked == 0 {
		worked = float64(j.Task(e.Task).TookMS)
	}
	f.workTimes.Observe(s.CurrentQueue(j).Name, e.Task.StepKey(), &j.Spec.Steps[e.Task.Step], worked, now)
}
