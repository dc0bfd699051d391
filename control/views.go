package control

import (
	"fmt"
	"net/http"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/admin"
	"rudderfork.example/rudderfork/internal/problem"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/state"
)

// JobView is a job as operators see it.
type JobView struct {
	ID        rudderfork.JobID     `json:"id"`
	Team      rudderfork.Team      `json:"team"`
	Kind      string               `json:"kind"`
	Tasks     int                  `json:"tasks"`
	Pending   int                  `json:"pending"`
	Running   int                  `json:"running"`
	Done      int                  `json:"done"`
	Failed    int                  `json:"failed"`
	Cancelled bool                 `json:"cancelled"`
	Finished  bool                 `json:"finished"`
	Blocked   string               `json:"blocked,omitempty"`
	Size      rudderfork.Resources `json:"size"`
	Revision  rudderfork.Revision  `json:"revision"`
}

// TaskView is a task as operators see it.
type TaskView struct {
	ID         rudderfork.TaskID    `json:"id"`
	Phase      rudderfork.TaskPhase `json:"phase"`
	VM         rudderfork.VMID      `json:"vm,omitempty"`
	Token      rudderfork.Token     `json:"token"`
	Checkpoint int64                `json:"checkpoint"`
	Evictions  int                  `json:"evictions"`
	Failures   int                  `json:"failures"`
	Decisions  []state.Decision     `json:"decisions,omitempty"`
}

// VMView is a VM as operators see it.
type VMView struct {
	VM       rudderfork.VMID      `json:"vm"`
	Domain   rudderfork.Domain    `json:"domain"`
	Rack     string               `json:"rack,omitempty"`
	Addr     string               `json:"addr"`
	Live     bool                 `json:"live"`
	Draining bool                 `json:"draining"`
	Excluded bool                 `json:"set_aside"`
	Epoch    rudderfork.Token     `json:"epoch"`
	Capacity rudderfork.Resources `json:"capacity"`
	Reserved rudderfork.Resources `json:"reserved"`
	Used     rudderfork.Resources `json:"used"`
	Tasks    int                  `json:"tasks"`
	Services []rudderfork.Service `json:"services"`
	Pressure float64              `json:"pressure"`
}

func jobView(s *state.State, j *state.Job) JobView {
	v := JobView{
		ID: j.Spec.ID, Team: j.Spec.Team, Kind: j.Spec.Kind, Tasks: j.Spec.Tasks, Running: j.Running,
		Done: j.Done, Failed: j.Failed, Cancelled: j.Cancelled, Finished: j.Open == 0, Blocked: j.Blocked,
		Size: s.JobSize(j.Spec.ID), Revision: j.Revision,
	}
	v.Pending = j.Open - j.Running
	return v
}

func taskView(t *state.Task) TaskView {
	return TaskView{
		ID: t.ID, Phase: t.Phase, VM: t.VM, Token: t.Token, Checkpoint: t.Checkpoint,
		Evictions: t.Evictions, Failures: t.Failures, Decisions: append([]state.Decision(nil), t.Decisions...),
	}
}

func (a *api) listJobs(w http.ResponseWriter, _ *http.Request) error {
	var vs []JobView
	a.rep.View(func(s *state.State) {
		for _, j := range s.Jobs() {
			vs = append(vs, jobView(s, j))
		}
	})
	admin.WriteJSON(w, vs)
	return nil
}

func (a *api) getJob(w http.ResponseWriter, r *http.Request) error {
	id := rudderfork.JobID(r.PathValue("job"))
	var v struct {
		JobView
		TaskList []TaskView `json:"task_list"`
	}
	a.rep.View(func(s *state.State) {
		j := s.Job(id)
		if j == nil {
			return
		}
		v.JobView = jobView(s, j)
		for _, t := range s.TasksOf(id) {
			v.TaskList = append(v.TaskList, taskView(t))
		}
	})
	if v.ID == "" {
		return notFound("job", string(id))
	}
	admin.WriteJSON(w, v)
	return nil
}

func (a *api) getTask(w http.ResponseWriter, r *http.Request) error {
	id := rudderfork.TaskID(r.PathValue("job") + "/" + r.PathValue("index"))
	var v TaskView
	a.rep.View(func(s *state.State) {
		if t := s.Task(id); t != nil {
			v = taskView(t)
		}
	})
	if v.ID == "" {
		return notFound("task", string(id))
	}
	admin.WriteJSON(w, v)
	return nil
}

// notFound returns the problem for a subject that does not exist or was deleted.
func notFound(what, id string) error {
	detail := fmt.Sprintf("%s %s is unknown, or it ended and was forgotten", what, id)
	return problem.New(http.StatusNotFound, "not-found", detail, rudderfork.RanNo)
}

func (a *api) vmView(s *state.State, v *state.VM) VMView {
	return VMView{
		VM: v.Place.VM, Domain: v.Place.Domain, Rack: v.Place.Rack, Addr: v.Addr, Live: v.Live, Draining: v.Draining,
		Excluded: v.Excluded(rudderfork.Millis(steady.Now())), Epoch: v.Epoch,
		Capacity: v.Capacity, Reserved: v.Reserved, Used: v.Used, Tasks: len(s.TasksOn(v.Place.VM)),
		Services: v.Services, Pressure: a.models.Pressure(v.Place.VM),
	}
}

func (a *api) listVMs(w http.ResponseWriter, _ *http.Request) error {
	var vs []VMView
	a.rep.View(func(s *state.State) {
		for _, v := range s.VMs() {
			vs = append(vs, a.vmView(s, v))
		}
	})
	admin.WriteJSON(w, vs)
	return nil
}
