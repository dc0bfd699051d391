package queue

import (
	"cmp"
	"slices"
)

// CrashedTask is a task under which executors have crashed.
type CrashedTask struct {
	Key  TaskKey
	Task *Task
}

// CrashedTasks returns the tasks that may still run and under which executors have crashed,
// or may have, the most suspected first. It reads all live jobs.
func (s *State) CrashedTasks() (list []CrashedTask) {
	for _, j := range s.live {
		for time, o := range j.Occurrences {
			for step, tasks := range o.Steps {
				for index := range tasks {
					k := TaskKey{j.ID, time, step, index}
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

// clearTask takes back what a task is suspected of, by an operator's word.
func (s *State) clearTask(k TaskKey) Result {
	t := s.openTask(k)
	if t == nil {
		return Result{Code: NoJob, Text: "there is no such task that may still run"}
	}
	t.clearSuspicion()
	s.jobs[k.Job].changes++
	s.markVMsChanged(t)
	return Result{Code: OK, Job: k.Job}
}
