package scheduler

import (
	"encoding/json"
	"net/http"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/internal/admin"
	"rudderfork.example/rudderfork/internal/problem"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/timeline"
	"rudderfork.example/rudderfork/wire"
)

const (
	// maxBody bounds an operator's body, in bytes.
	maxBody = 4 << 20
	// storyLimit bounds the events of a job's story.
	storyLimit = 200
	// retryPause is when an operator may come back while there is no leader.
	retryPause = time.Second
)

// Routes adds the operators' interface to the queues: the product's own, whatever
// else the process speaks. story holds the process's events.
func (s *Scheduler) Routes(mux *http.ServeMux, story *timeline.Ring) {
	a := &api{s, story}
	for pattern, h := range map[string]func(w http.ResponseWriter, r *http.Request){
		"PUT /v1/queues":             a.put,
		"GET /v1/queues":             a.queues,
		"GET /v1/queue-vms":          a.vms,
		"GET /v1/queue-jobs":         a.jobs,
		"POST /v1/queue-jobs":        a.submit,
		"GET /v1/queue-jobs/{job}":   a.job,
		"POST /v1/queue-jobs/cancel": a.cancel,
		"GET /v1/queue-suspects":     a.suspects,
		"POST /v1/queue-clear":       a.clear,

		"GET /v1/queue-evacuations":             a.evacuations,
		"PUT /v1/queue-evacuations/{domain}":    a.evacuate,
		"DELETE /v1/queue-evacuations/{domain}": a.evacuate,
	} {
		mux.HandleFunc(pattern, a.onLeader(h))
	}
}

// api answers operators.
type api struct {
	s     *Scheduler
	story *timeline.Ring
}

// onLeader sends calls that reach a follower on to the leader.
func (a *api) onLeader(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		st := a.s.rep.Status()
		if !st.Leads() && st.Leader.Addr != "" && st.Leader.ID != st.ID {
			w.Header().Set("Location", "http://"+st.Leader.Addr+r.URL.RequestURI())
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		h(w, r)
	}
}

// SubmitBody hands in a job at a host and path.
type SubmitBody struct {
	Host string     `json:"host"`
	Path string     `json:"path"`
	Spec queue.Spec `json:"spec"`
}

// JobPathBody names a job by host and path.
type JobPathBody struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// put takes a document; its text is what is read back.
func (a *api) put(w http.ResponseWriter, r *http.Request) {
	var d queue.Document
	if !read(w, r, &d) {
		return
	}
	text, err := json.Marshal(d)
	if err != nil {
		fail(w, http.StatusUnprocessableEntity, "invalid", err.Error(), rudderfork.RanNo)
		return
	}
	d.Text = text
	if err := d.Check(); err != nil {
		fail(w, http.StatusUnprocessableEntity, "invalid", err.Error(), rudderfork.RanNo)
		return
	}
	a.answer(w, r, wire.QueueRequest{Put: &d})
}

func (a *api) submit(w http.ResponseWriter, r *http.Request) {
	var b SubmitBody
	if read(w, r, &b) {
		a.answer(w, r, wire.QueueRequest{Submit: &queue.Submit{Host: b.Host, Path: b.Path, Spec: b.Spec}})
	}
}

func (a *api) cancel(w http.ResponseWriter, r *http.Request) {
	var b JobPathBody
	if read(w, r, &b) {
		a.answer(w, r, wire.QueueRequest{Cancel: &queue.Cancel{Host: b.Host, Path: b.Path}})
	}
}

// answer carries an order out and writes how it ended.
func (a *api) answer(w http.ResponseWriter, r *http.Request, ask wire.QueueRequest) {
	ans := a.s.Handle(r.Context(), ask)
	switch {
	case ans.Unsure:
		fail(w, http.StatusGatewayTimeout, "unknown", ans.Text, rudderfork.RanUnknown)
	case ans.NotTaken, ans.Code == queue.NoDocument:
		fail(w, http.StatusServiceUnavailable, "no-leader", ans.Text, rudderfork.RanNo)
	case ans.Code == queue.OK, ans.Code == queue.Stale:
		admin.WriteJSON(w, map[string]string{"result": string(ans.Code), "detail": ans.Text})
	case ans.Code == queue.NoQueue, ans.Code == queue.NoJob, ans.Code == queue.NoDomain:
		fail(w, http.StatusNotFound, "not-found", string(ans.Code), rudderfork.RanNo)
	default:
		fail(w, http.StatusUnprocessableEntity, "invalid", ans.Text, rudderfork.RanNo)
	}
}

func (a *api) queues(w http.ResponseWriter, r *http.Request) {
	a.view(w, r, func(s *queue.State, _ dispatch.View) any { return queueViews(s, a.s.fleet) })
}

func (a *api) vms(w http.ResponseWriter, r *http.Request) {
	a.view(w, r, func(s *queue.State, v dispatch.View) any { return vmViews(s, v) })
}

func (a *api) suspects(w http.ResponseWriter, r *http.Request) {
	a.view(w, r, func(s *queue.State, _ dispatch.View) any { return suspectViews(s) })
}

// TaskBody names a task of a job, as job.time.step.index.
type TaskBody struct {
	Task string `json:"task"`
}

func (a *api) clear(w http.ResponseWriter, r *http.Request) {
	var b TaskBody
	if !read(w, r, &b) {
		return
	}
	k, err := queue.ParseTaskKey(b.Task)
	if err != nil {
		fail(w, http.StatusUnprocessableEntity, "invalid", err.Error(), rudderfork.RanNo)
		return
	}
	a.answer(w, r, wire.QueueRequest{Clear: &k})
}

func (a *api) evacuations(w http.ResponseWriter, r *http.Request) {
	a.view(w, r, func(s *queue.State, _ dispatch.View) any { return evacuationViews(s) })
}

// evacuate orders an evacuation, or takes it back.
func (a *api) evacuate(w http.ResponseWriter, r *http.Request) {
	domain := rudderfork.Domain(r.PathValue("domain"))
	a.answer(w, r, wire.QueueRequest{Evacuate: &queue.Evacuate{Domain: domain, End: r.Method == http.MethodDelete}})
}

func (a *api) jobs(w http.ResponseWriter, r *http.Request) {
	a.view(w, r, func(s *queue.State, v dispatch.View) any {
		list := []JobView{}
		for _, j := range s.Live() {
			list = append(list, jobView(s, j, v.WorkTime))
		}
		return list
	})
}

func (a *api) job(w http.ResponseWriter, r *http.Request) {
	id := rudderfork.JobID(r.PathValue("job"))
	a.view(w, r, func(s *queue.State, v dispatch.View) any {
		j := s.Job(id)
		if j == nil {
			return nil
		}
		jv := jobView(s, j, v.WorkTime)
		jv.Tasks = taskViews(j, v.Now, a.s.fleet.planner.Explain(s, v, j))
		for _, e := range a.story.Select(timeline.Query{Subject: string(id), Limit: storyLimit}) {
			jv.Events = append(jv.Events, time.UnixMicro(e.At).UTC().Format("15:04:05.000")+" "+e.Subject+" "+e.Kind+": "+e.Text)
		}
		return jv
	})
}

// view answers with what f makes of the state, as a quorum confirmed it.
func (a *api) view(w http.ResponseWriter, r *http.Request, f func(s *queue.State, v dispatch.View) any) {
	if err := a.s.rep.Barrier(r.Context()); err != nil {
		fail(w, http.StatusServiceUnavailable, "no-leader", err.Error(), rudderfork.RanNo)
		return
	}
	var out any
	a.s.rep.View(func(st *state.State) {
		a.s.mu.Lock()
		defer a.s.mu.Unlock()
		out = f(st.Queues(), a.s.fleet.view(st.Queues(), steady.Now()))
	})
	if out == nil {
		fail(w, http.StatusNotFound, "not-found", "there is no such job", rudderfork.RanNo)
		return
	}
	admin.WriteJSON(w, out)
}

// read decodes a body; false means that the answer is written already.
func read(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		fail(w, http.StatusUnprocessableEntity, "invalid", err.Error(), rudderfork.RanNo)
		return false
	}
	return true
}

func fail(w http.ResponseWriter, status int, kind, text string, ran rudderfork.Ran) {
	p := problem.New(status, kind, text, ran)
	if status == http.StatusServiceUnavailable {
		p.RetryAt = steady.Now().Add(retryPause)
	}
	problem.Write(w, p)
}
