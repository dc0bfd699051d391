package queue

import (
	"cmp"
	"slices"
)

// CrashedTask is a task that was running on executors that have crashed or may have crashed.
type CrashedTask struct {
	Key  TaskKey
	Task *Task
}

// CrashedTasks returns the tasks that may still run and have crashes, unresolved losses or
// suspicion, the most suspected first. It scans all live jobs.
func (s *State) CrashedTasks() (list []CrashedTask) {
	for _, j := range s.live {
		for occ, o := range j.Occurrences {
			for step, tasks := range o.Steps {
				for index := range tasks {
					k := TaskKey{j.ID, occ, step, index}
					if t := s.openTask(k); t != nil && t.Crashes+t.UnresolvedLosses+t.Suspicion > 0 {
						list = append(list, CrashedTask{k, t})
					}
				}
			}
		}
	}
	slices.SortFunc(list, func(a, b CrashedTask) int {
		return cmp.Or(cmp.Compare(b.Task.Suspicion, a.Task.Suspicion), a.Key.Compare(b.Key))
	})
	return list
}

// clearTask resets the crash counts of a task and the suspicion against it, on an operator's order.
func (s *State) clearTask(k TaskKey) Result {
	t := s.openTask(k)
	if t == nil {
		return Result{Code: NoJob, Text: "there is no such task that may still run"}
	}
	t.clear()
	s.jobs[k.Job].changes++
	s.markVMsChanged(t)
	return Result{Code: OK, Job: k.Job}
}
