package scheduler

import (
	"context"
	"errors"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// handleRequest handles a front's request and replies in its session.
func (ses *session) handleRequest(ctx context.Context, req wire.QueueRequest) {
	resp := ses.s.Handle(ctx, req)
	resp.ID = req.ID
	ses.reply(wire.ToQueueNode{Response: &resp})
}

// Handle carries out a request of a front, an operator or the platform, within commandTimeout:
// it commits changes, and reads state that is at least as new as the call.
func (s *Scheduler) Handle(ctx context.Context, req wire.QueueRequest) (resp wire.QueueResponse) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	began := steady.Now()
	kind := kindOf(req)
	defer func() { s.observeResponse(kind, resp, began) }()
	switch {
	case req.Submit != nil:
		req.Submit.KeepMS = s.cfg.StatusRetention.Milliseconds()
		resp = s.submit(ctx, req.Submit)
		s.logRequest(kind, req.Submit.Path, resp)
	case req.Cancel != nil:
		resp = s.commit(ctx, queue.Command{Cancel: req.Cancel})
		s.logRequest(kind, req.Cancel.Path, resp)
	case req.Put != nil:
		resp = s.commit(ctx, queue.Command{Document: req.Put})
		s.log.Info().Uint64("version", req.Put.Version).Int("queues", len(req.Put.Queues)).Str("result", string(resp.Code)).
			Bool("unsure", resp.Unsure).Msg("document_put")
	case req.Status != nil:
		resp = s.read(ctx, func(st *queue.State) wire.QueueResponse { return s.statusOf(st, *req.Status) })
	case req.Wave != nil:
		resp = s.commit(ctx, queue.Command{Wave: req.Wave})
		s.log.Info().Uint64("wave", req.Wave.ID).Int("machines", len(req.Wave.Machines)).Int("max_down", req.Wave.MaxDown).
			Str("result", string(resp.Code)).Msg("wave_taken")
	case req.Upkeep != 0:
		resp = s.read(ctx, func(st *queue.State) wire.QueueResponse { return waveOf(st, req.Upkeep) })
	case req.Clear != nil:
		resp = s.commit(ctx, queue.Command{Clear: req.Clear})
		s.log.Info().Str("task", req.Clear.String()).Str("result", string(resp.Code)).Bool("unsure", resp.Unsure).Msg("task_cleared")
		s.record("task_cleared", req.Clear.String(), "by an operator: "+string(resp.Code))
	case req.Evacuate != nil:
		resp = s.evacuate(ctx, *req.Evacuate)
	case req.Get:
		resp = s.read(ctx, documentOf)
	default:
		resp = wire.QueueResponse{Code: queue.Invalid, Text: "the call is empty"}
	}
	return resp
}

func kindOf(req wire.QueueRequest) string {
	switch {
	case req.Submit != nil:
		return "submit"
	case req.Cancel != nil:
		return "cancel"
	case req.Put != nil:
		return "put_document"
	case req.Status != nil:
		return "status"
	case req.Wave != nil:
		return "wave"
	case req.Upkeep != 0:
		return "wave_status"
	case req.Clear != nil:
		return "clear"
	case req.Evacuate != nil:
		return "evacuate"
	}
	return "get_document"
}

func (s *Scheduler) observeResponse(kind string, resp wire.QueueResponse, began time.Time) {
	outcome := string(resp.Code)
	if resp.Unsure {
		outcome = "unsure"
	} else if resp.NotTaken {
		outcome = "not-taken"
	}
	s.met.requests.WithLabelValues(kind, outcome).Inc()
	s.met.response.WithLabelValues(kind).Observe(steady.Now().Sub(began).Seconds())
}

func (s *Scheduler) logRequest(kind, path string, resp wire.QueueResponse) {
	s.log.Info().Str("ask", kind).Str("path", path).Str("result", string(resp.Code)).Str("detail", resp.Text).
		Bool("unsure", resp.Unsure).Bool("not_taken", resp.NotTaken).Msg("ask_answered")
	s.record("job_"+kind, path, string(resp.Code)+" "+resp.Text)
}

// commit commits a command. The response says NotTaken if it was certainly not committed, and
// Unsure if it may have been or may yet be.
func (s *Scheduler) commit(ctx context.Context, cmd queue.Command) wire.QueueResponse {
	res, err := s.do(ctx, cmd)
	switch {
	case errors.Is(err, replica.ErrNotLeader), errors.Is(err, replica.ErrSuperseded):
		return wire.QueueResponse{NotTaken: true, Text: err.Error()}
	case err != nil:
		return wire.QueueResponse{Unsure: true, Text: err.Error()}
	}
	return wire.QueueResponse{Code: res.Code, Text: res.Text}
}

// read answers from a state that holds all that was committed before the call.
func (s *Scheduler) read(ctx context.Context, f func(st *queue.State) wire.QueueResponse) (resp wire.QueueResponse) {
	if err := s.rep.Barrier(ctx); err != nil {
		return wire.QueueResponse{NotTaken: true, Text: err.Error()}
	}
	s.rep.View(func(st *state.State) { resp = f(st.Queues()) })
	return resp
}

// statusOf returns the status of the job at a path, or, at a queue's own path, the number of its
// waiting jobs.
func (s *Scheduler) statusOf(st *queue.State, p wire.HostPath) wire.QueueResponse {
	doc := st.Document()
	if doc == nil {
		return wire.QueueResponse{Code: queue.NoDocument}
	}
	q, id, ok := doc.Find(p.Host, p.Path)
	if !ok {
		return wire.QueueResponse{Code: queue.NoQueue}
	}
	if id == "" {
		return s.countWaiting(st, q.Name)
	}
	j := st.Job(rudderfork.JobID(id))
	if j == nil {
		return wire.QueueResponse{Code: queue.NoJob}
	}
	return wire.QueueResponse{Code: queue.OK, Status: j.Status}
}

// countWaiting returns the number of a queue's jobs of which no task has begun to run.
func (s *Scheduler) countWaiting(st *queue.State, name string) wire.QueueResponse {
	s.mu.Lock()
	waiting, ordered := st.Waiting(name, s.fleet.hasBegun)
	s.mu.Unlock()
	s.log.Info().Str("queue", name).Int("waiting", waiting).Int("ordered", ordered).Msg("queue_counted")
	return wire.QueueResponse{Code: queue.OK, IsQueue: true, Waiting: waiting}
}

// waveOf returns the number of machines of a wave whose upkeep has not begun.
func waveOf(st *queue.State, id uint64) wire.QueueResponse {
	w := st.Wave(id)
	if w == nil {
		return wire.QueueResponse{Code: queue.NoJob, Text: "there is no such wave"}
	}
	return wire.QueueResponse{Code: queue.OK, Left: len(w.Remaining())}
}

// documentOf returns the text of the document of queues.
func documentOf(st *queue.State) wire.QueueResponse {
	doc := st.Document()
	if doc == nil {
		return wire.QueueResponse{Code: queue.NoDocument}
	}
	return wire.QueueResponse{Code: queue.OK, Document: doc.Text}
}
