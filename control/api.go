package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/admin"
	"rudderfork.example/rudderfork/internal/problem"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/timeline"
)

const (
	// maxBodyBytes bounds the body of an operator's request.
	maxBodyBytes = 1 << 20
	// retryDelay is the delay after which a client may repeat a request that was
	// refused or whose outcome is unknown.
	retryDelay = time.Second
)

// api serves the operators' API, which docs/API.md describes.
type api struct {
	cfg    Settings
	rep    *replica.Replica
	hub    *hub
	models *usageModels
	ring   *timeline.Ring
}

func newAPI(cfg Settings, rep *replica.Replica, h *hub, m *usageModels, ring *timeline.Ring) *api {
	return &api{cfg, rep, h, m, ring}
}

// handler answers an operator's request, or returns the error to answer with.
type handler func(w http.ResponseWriter, r *http.Request) error

func (a *api) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		admin.WriteJSON(w, a.rep.Status())
	})
	mux.HandleFunc("GET "+admin.TimelinePath, admin.Timeline(a.ring))
	for pattern, h := range map[string]handler{
		"GET /v1/cells":                          a.listCells,
		"GET /v1/cells/{kind}/{row}/{column}":    a.getCell,
		"PUT /v1/cells/{kind}/{row}/{column}":    a.putCell,
		"DELETE /v1/cells/{kind}/{row}/{column}": a.putCell,
		"POST /v1/edits":                         a.postEdit,
		"GET /v1/jobs":                           a.listJobs,
		"POST /v1/jobs":                          a.submitJob,
		"GET /v1/jobs/{job}":                     a.getJob,
		"POST /v1/jobs/{job}/cancel":             a.cancelJob,
		"GET /v1/tasks/{job}/{index}":            a.getTask,
		"GET /v1/vms":                            a.listVMs,
		"POST /v1/vms/{vm}/drain":                a.drainVM,
		"GET /v1/nodes":                          a.listNodes,
		"GET /v1/explain":                        a.explain,
	} {
		mux.HandleFunc(pattern, a.onLeader(h))
	}
}

// onLeader redirects requests from a follower to the leader. On the leader it
// confirms the leadership after the request has arrived, so that every answer is
// linearizable.
func (a *api) onLeader(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		st := a.rep.Status()
		if st.Role != "leader" && st.Leader.Addr != "" && r.Header.Get(noRedirectHeader) == "" {
			// Status 307 makes the client keep method and body.
			w.Header().Set("Location", "http://"+st.Leader.Addr+r.URL.RequestURI())
			w.WriteHeader(http.StatusTemporaryRedirect)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
		defer cancel()
		if err := a.rep.Barrier(ctx); err != nil {
			a.fail(w, replica.ErrNotLeader)
			return
		}
		if err := h(w, r.WithContext(ctx)); err != nil {
			a.fail(w, err)
		}
	}
}

// noRedirectHeader, when set, makes a follower answer instead of redirecting.
const noRedirectHeader = "Rudderfork-No-Redirect"

func (a *api) fail(w http.ResponseWriter, err error) {
	var p *rudderfork.Problem
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &p):
	case errors.As(err, &tooLarge):
		p = problem.New(http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit), rudderfork.RanNo)
	case errors.Is(err, replica.ErrOutcomeUnknown):
		p = problem.New(http.StatusGatewayTimeout, "unknown", "the change may or may not be accepted; send it again with the same id", rudderfork.RanUnknown)
		p.RetryAt = steady.Now().Add(retryDelay)
	case errors.Is(err, replica.ErrNotLeader), errors.Is(err, replica.ErrSuperseded):
		p = problem.New(http.StatusServiceUnavailable, "no-leader", "no leader answers here now; nothing was changed", rudderfork.RanNo)
		p.RetryAt = steady.Now().Add(retryDelay)
	default:
		p = problem.New(http.StatusInternalServerError, "internal", err.Error(), rudderfork.RanUnknown)
	}
	problem.Write(w, p)
}

// resultError returns the problem for a rejected command, or nil.
func resultError(res state.Result) error {
	switch res.Code {
	case state.CodeOK:
		return nil
	case state.CodeConflict:
		return problem.New(http.StatusPreconditionFailed, "conflict", res.Text, rudderfork.RanNo)
	case state.CodeNotFound:
		return problem.New(http.StatusNotFound, "not-found", res.Text, rudderfork.RanNo)
	}
	return problem.New(http.StatusUnprocessableEntity, "invalid", res.Text, rudderfork.RanNo)
}

func invalid(format string, args ...any) error {
	return problem.New(http.StatusUnprocessableEntity, "invalid", fmt.Sprintf(format, args...), rudderfork.RanNo)
}

// decode reads a JSON body and rejects unknown fields.
func decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return err
	}
	if err != nil {
		return problem.New(http.StatusBadRequest, "malformed", "body: "+err.Error(), rudderfork.RanNo)
	}
	return nil
}

func cellKey(r *http.Request) rudderfork.CellKey {
	return rudderfork.CellKey{Kind: rudderfork.RowKind(r.PathValue("kind")), Row: r.PathValue("row"), Column: r.PathValue("column")}
}

func etag(rev rudderfork.Revision) string { return strconv.Quote(strconv.FormatUint(uint64(rev), 10)) }

func (a *api) listCells(w http.ResponseWriter, r *http.Request) error {
	var cells []rudderfork.Cell
	a.rep.View(func(s *state.State) {
		for _, c := range s.CellsAfter(0) {
			k := rudderfork.RowKind(r.FormValue("kind"))
			if !c.Removed && (k == "" || c.Key.Kind == k) && strings.HasPrefix(c.Key.Row, r.FormValue("row")) {
				cells = append(cells, c)
			}
		}
		w.Header().Set("ETag", etag(s.Revision()))
	})
	admin.WriteJSON(w, cells)
	return nil
}

func (a *api) getCell(w http.ResponseWriter, r *http.Request) error {
	k := cellKey(r)
	if err := rudderfork.CheckCell(k, k.Default()); err != nil {
		return invalid("%v", err)
	}
	var c rudderfork.Cell
	a.rep.View(func(s *state.State) {
		c = s.Cell(k)
		c.Value = s.Value(k)
	})
	w.Header().Set("ETag", etag(c.Revision))
	admin.WriteJSON(w, c)
	return nil
}

// putCell sets or removes one cell. If-Match must hold the revision that the
// operator read, so that of two concurrent changes only one is accepted.
func (a *api) putCell(w http.ResponseWriter, r *http.Request) error {
	wr := state.CellWrite{Key: cellKey(r), Remove: r.Method == http.MethodDelete}
	if !wr.Remove {
		var body struct {
			Value *int64 `json:"value"`
		}
		if err := decode(r, &body); err != nil {
			return err
		}
		if body.Value == nil {
			return invalid("body: value is missing; want {\"value\": NUMBER}")
		}
		wr.Value = *body.Value
	}
	match := strings.Trim(r.Header.Get("If-Match"), `"`)
	rev, err := strconv.ParseUint(match, 10, 64)
	if err != nil {
		return problem.New(http.StatusPreconditionRequired, "no-revision", `If-Match is missing or no revision; want the ETag that you read, "0" for a cell never set`, rudderfork.RanNo)
	}
	wr.IfRevision = rudderfork.Revision(rev)
	id := strings.Trim(r.Header.Get("Idempotency-Key"), `"`)
	if id == "" {
		return problem.New(http.StatusBadRequest, "no-id", "Idempotency-Key is missing; want an id of your choice, the same when you resend", rudderfork.RanNo)
	}
	return a.edit(w, r, state.Edit{ID: id, By: r.Header.Get("From"), Writes: []state.CellWrite{wr}})
}

func (a *api) postEdit(w http.ResponseWriter, r *http.Request) error {
	var e state.Edit
	if err := decode(r, &e); err != nil {
		return err
	}
	return a.edit(w, r, e)
}

func (a *api) edit(w http.ResponseWriter, r *http.Request, e state.Edit) error {
	if err := e.Check(); err != nil {
		return invalid("%v", err)
	}
	res, err := a.rep.Do(r.Context(), state.Command{Edit: &e})
	if err != nil {
		return err
	}
	if err := resultError(res); err != nil {
		return err
	}
	if !res.Repeated {
		a.ring.Record(rudderfork.Event{Kind: "edit", Subject: e.Writes[0].Key.String(), Revision: res.Revision, Text: fmt.Sprintf("%d cells by %q, id %s", len(e.Writes), e.By, e.ID)})
	}
	w.Header().Set("ETag", etag(res.Revision))
	admin.WriteJSON(w, res)
	return nil
}

func (a *api) submitJob(w http.ResponseWriter, r *http.Request) error {
	var spec rudderfork.JobSpec
	if err := decode(r, &spec); err != nil {
		return err
	}
	if err := spec.Check(); err != nil {
		return invalid("%v", err)
	}
	res, err := a.rep.Do(r.Context(), state.Command{Submit: &state.Submit{Spec: spec}})
	if err != nil {
		return err
	}
	if err := resultError(res); err != nil {
		return err
	}
	a.ring.Record(rudderfork.Event{Kind: "submitted", Subject: string(spec.ID), Revision: res.Revision, Text: fmt.Sprintf("%d tasks of kind %s for team %s", spec.Tasks, spec.Kind, spec.Team)})
	w.WriteHeader(http.StatusCreated)
	admin.WriteJSON(w, res)
	return nil
}

func (a *api) cancelJob(w http.ResponseWriter, r *http.Request) error {
	id := rudderfork.JobID(r.PathValue("job"))
	return a.doCommand(w, r, state.Command{Cancel: &state.Cancel{Job: id}}, "cancelled", string(id))
}

func (a *api) drainVM(w http.ResponseWriter, r *http.Request) error {
	var body struct {
		Off bool `json:"off"`
	}
	if err := decode(r, &body); err != nil {
		return err
	}
	vm := rudderfork.VMID(r.PathValue("vm"))
	kind := "draining"
	if body.Off {
		kind = "drain_ended"
	}
	return a.doCommand(w, r, state.Command{Drain: &state.Drain{VM: vm, Off: body.Off}}, kind, string(vm))
}

func (a *api) doCommand(w http.ResponseWriter, r *http.Request, c state.Command, kind, subject string) error {
	res, err := a.rep.Do(r.Context(), c)
	if err != nil {
		return err
	}
	if err := resultError(res); err != nil {
		return err
	}
	a.ring.Record(rudderfork.Event{Kind: kind, Subject: subject, Revision: res.Revision, Text: "asked for by an operator"})
	admin.WriteJSON(w, res)
	return nil
}

func (a *api) listNodes(w http.ResponseWriter, _ *http.Request) error {
	admin.WriteJSON(w, a.hub.Nodes())
	return nil
}
