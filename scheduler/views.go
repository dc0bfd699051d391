package scheduler

import (
	"fmt"
	"slices"
	"strings"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/queue"
)

// QueueView is one queue as operators see it.
type QueueView struct {
	queue.Queue
	Waiting int `json:"waiting"` // jobs of which no task has begun
	Live    int `json:"live"`    // jobs that have not ended
}

// VMView is one VM as operators see it.
type VMView struct {
	ID           rudderfork.VMID      `json:"vm"`
	Service      rudderfork.Service   `json:"service"`
	Domain       rudderfork.Domain    `json:"domain"`
	Rack         string               `json:"rack,omitempty"`
	Incarnation  string               `json:"life"`
	Live         bool                 `json:"live"`
	Usable       bool                 `json:"usable"`
	Draining     bool                 `json:"draining"`
	FailureScore float64              `json:"doubt"`
	Speed        float64              `json:"speed,omitempty"` // relative to the usual speed, at most 1; 0 if speeds are not learned
	Capacity     rudderfork.Resources `json:"capacity"`
	Used         rudderfork.Resources `json:"used"`
	Runs         int                  `json:"runs"`
}

// JobView is one job as operators see it. Tasks and Events are set only in the view of a single job.
// Tasks includes the reasons why tasks wait, and Events is what the leader has recorded of the job.
type JobView struct {
	ID          rudderfork.JobID `json:"job"`
	Queue       string           `json:"queue"`
	Status      queue.Status     `json:"status"`
	SubmittedAt int64            `json:"submitted_at"` // Unix ms
	ObjectiveMS int64            `json:"objective_ms"`
	EndedAt     int64            `json:"ended_at,omitempty"`
	Tasks       []TaskView       `json:"tasks"`
	Events      []string         `json:"story"`
}

// TaskView is one task of a job.
type TaskView struct {
	Task     string `json:"task"`
	State    string `json:"state"` // done, running on which VMs, or why it waits
	Failures int    `json:"failures"`
	Runs     uint32 `json:"runs"` // number of starts so far
}

// SuspectView is a task that ran on executors when they crashed, as operators see it. An unresolved
// loss is a run of the task on a VM whose lease expired and whose executor may have crashed.
type SuspectView struct {
	Task             string   `json:"task"`
	Queue            string   `json:"queue"`
	Crashes          int      `json:"crashes"`
	UnresolvedLosses int      `json:"doubts"`
	Suspicion        int      `json:"suspicion"` // thousandths
	Suspect          bool     `json:"suspect"`   // its next run starts in quarantine
	VMs              []string `json:"on"`
}

func suspectViews(s *queue.State) []SuspectView {
	views := []SuspectView{}
	for _, a := range s.CrashedTasks() {
		v := SuspectView{
			Task: a.Key.String(), Queue: s.Job(a.Key.Job).Queue.Name, Crashes: a.Task.Crashes, UnresolvedLosses: a.Task.UnresolvedLosses,
			Suspicion: a.Task.Suspicion, Suspect: a.Task.Suspect(), VMs: []string{},
		}
		for _, r := range a.Task.Runs {
			v.VMs = append(v.VMs, string(r.VM))
		}
		views = append(views, v)
	}
	return views
}

// queueViews returns the document's queues.
func queueViews(s *queue.State, f *fleet) (views []QueueView) {
	if s.Document() == nil {
		return nil
	}
	for _, q := range s.Document().Queues {
		v := QueueView{Queue: q}
		v.Waiting, _ = s.Waiting(q.Name, f.hasBegun)
		for _, j := range s.Live() {
			if j.Queue.Name == q.Name && !j.Status.Final() {
				v.Live++
			}
		}
		views = append(views, v)
	}
	return views
}

func vmViews(s *queue.State, view dispatch.View) (views []VMView) {
	for _, vm := range s.VMs() {
		current := view.VMs[vm.ID]
		views = append(views, VMView{
			ID: vm.ID, Service: vm.Service, Domain: vm.Domain, Rack: vm.Rack, Incarnation: vm.Incarnation, Live: vm.Live,
			Usable: current.Usable, Draining: current.Draining, FailureScore: current.FailureScore, Speed: current.Speed,
			Capacity: vm.Capacity, Used: vm.Used(), Runs: len(vm.Runs()),
		})
	}
	return views
}

// jobView returns a job without its tasks and events.
func jobView(s *queue.State, j *queue.Job, w dispatch.WorkTimeFunc) JobView {
	return JobView{
		ID: j.ID, Queue: j.Queue.Name, Status: j.Status, SubmittedAt: j.SubmittedAt,
		ObjectiveMS: dispatch.ObjectiveMS(s.CurrentQueue(j), j, w), EndedAt: j.EndedAt,
	}
}

// taskViews returns the tasks of a job, with the reasons why tasks wait.
func taskViews(j *queue.Job, now int64, e dispatch.Explanation) (views []TaskView) {
	for occurrence, o := range j.Occurrences {
		for step, tasks := range o.Steps {
			for index := range tasks {
				k := queue.TaskKey{Job: j.ID, Occurrence: occurrence, Step: step, Index: index}
				t := &tasks[index]
				views = append(views, TaskView{k.String(), taskState(j, k, now, e), t.Failures, t.LastRun})
			}
		}
	}
	return views
}

// taskState returns the text of TaskView.State.
func taskState(j *queue.Job, k queue.TaskKey, now int64, e dispatch.Explanation) string {
	t := j.Task(k)
	var vms []string
	for _, r := range t.Runs {
		vms = append(vms, string(r.VM))
	}
	switch {
	case t.Done:
		return "done"
	case len(vms) > 0:
		return "running on " + strings.Join(vms, " and ")
	case j.Status.Final():
		return "the job is " + string(j.Status)
	}
	return "waiting: " + whyWaiting(j, k, now, e)
}

// whyWaiting returns why a task waits. If it is due and its step is ready, these are the reasons why
// VMs cannot run it, each with the number of VMs.
func whyWaiting(j *queue.Job, k queue.TaskKey, now int64, e dispatch.Explanation) string {
	o := j.Occurrences[k.Occurrence]
	switch {
	case o.DueMS > now:
		return fmt.Sprintf("it is due in %d ms", o.DueMS-now)
	case !o.StepReady(j.Spec.Steps[k.Step]):
		return "an earlier step is not done"
	}
	counts := map[string]int{}
	for _, reason := range e.RejectReasons(k) {
		counts[reason]++
	}
	if len(counts) == 0 {
		return "no VM is known"
	}
	var reasons []string
	for reason, n := range counts {
		if reason == "" {
			reason = "it could take the task"
		}
		reasons = append(reasons, fmt.Sprintf("%d VMs: %s", n, reason))
	}
	slices.Sort(reasons)
	return strings.Join(reasons, "; ")
}
