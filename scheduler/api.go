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
	// maxBody bounds the body of an operator's request, in bytes.
	maxBody = 4 << 20
	// maxJobEvents bounds the number of events in the view of a job.
	maxJobEvents = 200
	// retryPause is the delay after which a client may retry a request that was refused with
	// status 503.
	retryPause = time.Second
)

// Routes adds the operators' HTTP interface of the queues to mux. It does not depend on the platform
// interface that the process also serves. events holds the events that the process has recorded.
func (s *Scheduler) Routes(mux *http.ServeMux, events *timeline.Ring) {
	a := &api{s, events}
	for pattern, h := range map[string]func(w http.ResponseWriter, r *http.Request){
		"PUT /v1/queues":             a.putDocument,
		"GET /v1/queues":             a.queues,
		"GET /v1/queue-vms":          a.vms,
		"GET /v1/queue-shares":       a.shares,
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

// api handles operators' requests.
type api struct {
	s      *Scheduler
	events *timeline.Ring
}

// onLeader wraps a handler: if another process is known to lead, the request is redirected there;
// otherwise its body is bounded and h handles it.
func (a *api) onLeader(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		status := a.s.rep.Status()
		if !status.Leads() && status.Leader.Addr != "" && status.Leader.ID != status.ID {
			w.Header().Set("Location", "http://"+status.Leader.Addr+r.URL.RequestURI())
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		h(w, r)
	}
}

// SubmitBody is the request to submit a job at a host and path.
type SubmitBody struct {
	Host string     `json:"host"`
	Path string     `json:"path"`
	Spec queue.Spec `json:"spec"`
}

// JobPathBody is the request to cancel the job at a host and path.
type JobPathBody struct {
	Host string `json:"host"`
	Path string `json:"path"`
}

// putDocument replaces the document of queues. The text that is stored, and read back, is the decoded
// document encoded again.
func (a *api) putDocument(w http.ResponseWriter, r *http.Request) {
	var d queue.Document
	if !decodeBody(w, r, &d) {
		return
	}
	text, err := json.Marshal(d)
	if err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, "invalid", err.Error(), rudderfork.RanNo)
		return
	}
	d.Text = text
	if err := d.Check(); err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, "invalid", err.Error(), rudderfork.RanNo)
		return
	}
	a.respond(w, r, wire.QueueRequest{Put: &d})
}

func (a *api) submit(w http.ResponseWriter, r *http.Request) {
	var b SubmitBody
	if decodeBody(w, r, &b) {
		a.respond(w, r, wire.QueueRequest{Submit: &queue.Submit{Host: b.Host, Path: b.Path, Spec: b.Spec}})
	}
}

func (a *api) cancel(w http.ResponseWriter, r *http.Request) {
	var b JobPathBody
	if decodeBody(w, r, &b) {
		a.respond(w, r, wire.QueueRequest{Cancel: &queue.Cancel{Host: b.Host, Path: b.Path}})
	}
}

// respond carries out a request and writes its result.
func (a *api) respond(w http.ResponseWriter, r *http.Request, req wire.QueueRequest) {
	resp := a.s.Handle(r.Context(), req)
	switch {
	case resp.Unsure:
		writeProblem(w, http.StatusGatewayTimeout, "unknown", resp.Text, rudderfork.RanUnknown)
	case resp.NotTaken, resp.Code == queue.NoDocument:
		writeProblem(w, http.StatusServiceUnavailable, "no-leader", resp.Text, rudderfork.RanNo)
	case resp.Code == queue.OK, resp.Code == queue.Stale:
		admin.WriteJSON(w, map[string]string{"result": string(resp.Code), "detail": resp.Text})
	case resp.Code == queue.NoQueue, resp.Code == queue.NoJob, resp.Code == queue.NoDomain:
		writeProblem(w, http.StatusNotFound, "not-found", string(resp.Code), rudderfork.RanNo)
	default:
		writeProblem(w, http.StatusUnprocessableEntity, "invalid", resp.Text, rudderfork.RanNo)
	}
}

func (a *api) queues(w http.ResponseWriter, r *http.Request) {
	a.view(w, r, func(s *queue.State, _ dispatch.View) any { return queueViews(s, a.s.fleet) })
}

func (a *api) vms(w http.ResponseWriter, r *http.Request) {
	a.view(w, r, func(s *queue.State, v dispatch.View) any { return vmViews(s, v) })
}

func (a *api) shares(w http.ResponseWriter, r *http.Request) {
	a.view(w, r, func(*queue.State, dispatch.View) any { return a.s.fleet.shares.Groups() })
}

func (a *api) suspects(w http.ResponseWriter, r *http.Request) {
	a.view(w, r, func(s *queue.State, _ dispatch.View) any { return suspectViews(s) })
}

// TaskBody names a task, as job.occurrence.step.index.
type TaskBody struct {
	Task string `json:"task"`
}

// clear resets the suspicion of a task.
func (a *api) clear(w http.ResponseWriter, r *http.Request) {
	var b TaskBody
	if !decodeBody(w, r, &b) {
		return
	}
	k, err := queue.ParseTaskKey(b.Task)
	if err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, "invalid", err.Error(), rudderfork.RanNo)
		return
	}
	a.respond(w, r, wire.QueueRequest{Clear: &k})
}

func (a *api) evacuations(w http.ResponseWriter, r *http.Request) {
	a.view(w, r, func(s *queue.State, _ dispatch.View) any { return evacuationViews(s) })
}

// evacuate orders an evacuation (PUT) or cancels it (DELETE).
func (a *api) evacuate(w http.ResponseWriter, r *http.Request) {
	domain := rudderfork.Domain(r.PathValue("domain"))
	a.respond(w, r, wire.QueueRequest{Evacuate: &queue.Evacuate{Domain: domain, End: r.Method == http.MethodDelete}})
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
		for _, e := range a.events.Select(timeline.Query{Subject: string(id), Limit: maxJobEvents}) {
			jv.Events = append(jv.Events, time.UnixMicro(e.At).UTC().Format("15:04:05.000")+" "+e.Subject+" "+e.Kind+": "+e.Text)
		}
		return jv
	})
}

// view writes what f returns for a state that holds all that was committed before the call. If f
// returns nil, there is no such job, and view answers with status 404.
func (a *api) view(w http.ResponseWriter, r *http.Request, f func(s *queue.State, v dispatch.View) any) {
	if err := a.s.rep.Barrier(r.Context()); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, "no-leader", err.Error(), rudderfork.RanNo)
		return
	}
	var out any
	a.s.rep.View(func(st *state.State) {
		a.s.mu.Lock()
		defer a.s.mu.Unlock()
		out = f(st.Queues(), a.s.fleet.view(st.Queues(), steady.Now()))
	})
	if out == nil {
		writeProblem(w, http.StatusNotFound, "not-found", "there is no such job", rudderfork.RanNo)
		return
	}
	admin.WriteJSON(w, out)
}

// decodeBody decodes a request's body into v. If it fails, it writes the error and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, "invalid", err.Error(), rudderfork.RanNo)
		return false
	}
	return true
}

// writeProblem writes a problem document. With status 503 it includes the time to retry at.
func writeProblem(w http.ResponseWriter, status int, kind, text string, ran rudderfork.Ran) {
	p := problem.New(status, kind, text, ran)
	if status == http.StatusServiceUnavailable {
		p.RetryAt = steady.Now().Add(retryPause)
	}
	problem.Write(w, p)
}
