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

// handleRequest answers a front's call on its own session.
func (ses *session) handleRequest(ctx context.Context, a wire.QueueRequest) {
	ans := ses.s.Handle(ctx, a)
	ans.ID = a.ID
	ses.reply(wire.ToQueueNode{Response: &ans})
}

// Handle carries out a call: it commits orders, and reads at a point that the
// quorum confirmed.
func (s *Scheduler) Handle(ctx context.Context, a wire.QueueRequest) (ans wire.QueueResponse) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	began := steady.Now()
	kind := kindOf(a)
	defer func() { s.observeResponse(kind, ans, began) }()
	switch {
	case a.Submit != nil:
		a.Submit.KeepMS = s.cfg.StatusRetention.Milliseconds()
		ans = s.commit(ctx, queue.Command{Submit: a.Submit})
		s.logRequest(kind, a.Submit.Path, ans)
	case a.Cancel != nil:
		ans = s.commit(ctx, queue.Command{Cancel: a.Cancel})
		s.logRequest(kind, a.Cancel.Path, ans)
	case a.Put != nil:
		ans = s.commit(ctx, queue.Command{Document: a.Put})
		s.log.Info().Uint64("version", a.Put.Version).Int("queues", len(a.Put.Queues)).Str("result", string(ans.Code)).
			Bool("unsure", ans.Unsure).Msg("document_put")
	case a.Status != nil:
		ans = s.read(ctx, func(st *queue.State) wire.QueueResponse { return s.statusOf(st, *a.Status) })
	case a.Wave != nil:
		ans = s.commit(ctx, queue.Command{Wave: a.Wave})
		s.log.Info().Uint64("wave", a.Wave.ID).Int("machines", len(a.Wave.Machines)).Int("max_down", a.Wave.MaxDown).
			Str("result", string(ans.Code)).Msg("wave_taken")
	case a.Upkeep != 0:
		ans = s.read(ctx, func(st *queue.State) wire.QueueResponse { return waveOf(st, a.Upkeep) })
	case a.Clear != nil:
		ans = s.commit(ctx, queue.Command{Clear: a.Clear})
		s.log.Info().Str("task", a.Clear.String()).Str("result", string(ans.Code)).Bool("unsure", ans.Unsure).Msg("task_cleared")
		s.record("task_cleared", a.Clear.String(), "by an operator: "+string(ans.Code))
	case a.Evacuate != nil:
		ans = s.evacuate(ctx, *a.Evacuate)
	case a.Get:
		ans = s.read(ctx, documentOf)
	default:
		ans = wire.QueueResponse{Code: queue.Invalid, Text: "the call is empty"}
	}
	return ans
}

func kindOf(a wire.QueueRequest) string {
	switch {
	case a.Submit != nil:
		return "submit"
	case a.Cancel != nil:
		return "cancel"
	case a.Put != nil:
		return "put_document"
	case a.Status != nil:
		return "status"
	case a.Wave != nil:
		return "wave"
	case a.Upkeep != 0:
		return "wave_status"
	case a.Clear != nil:
		return "clear"
	case a.Evacuate != nil:
		return "evacuate"
	}
	return "get_document"
}

func (s *Scheduler) observeResponse(kind string, ans wire.QueueResponse, began time.Time) {
	outcome := string(ans.Code)
	if ans.Unsure {
		outcome = "unsure"
	} else if ans.NotTaken {
		outcome = "not-taken"
	}
	s.met.asks.WithLabelValues(kind, outcome).Inc()
	s.met.answer.WithLabelValues(kind).Observe(steady.Now().Sub(began).Seconds())
}

func (s *Scheduler) logRequest(kind, path string, ans wire.QueueResponse) {
	s.log.Info().Str("ask", kind).Str("path", path).Str("result", string(ans.Code)).Str("detail", ans.Text).
		Bool("unsure", ans.Unsure).Bool("not_taken", ans.NotTaken).Msg("ask_answered")
	s.record("job_"+kind, path, string(ans.Code)+" "+ans.Text)
}

// commit carries out an order.
func (s *Scheduler) commit(ctx context.Context, c queue.Command) wire.QueueResponse {
	res, err := s.do(ctx, c)
	switch {
	case errors.Is(err, replica.ErrNotLeader), errors.Is(err, replica.ErrSuperseded):
		return wire.QueueResponse{NotTaken: true, Text: err.Error()}
	case err != nil:
		return wire.QueueResponse{Unsure: true, Text: err.Error()}
	}
	return wire.QueueResponse{Code: res.Code, Text: res.Text}
}

// read answers from a state that no newer one had replaced when the call came.
func (s *Scheduler) read(ctx context.Context, f func(st *queue.State) wire.QueueResponse) (ans wire.QueueResponse) {
	if err := s.rep.Barrier(ctx); err != nil {
		return wire.QueueResponse{NotTaken: true, Text: err.Error()}
	}
	s.rep.View(func(st *state.State) { ans = f(st.Queues()) })
	return ans
}

func (s *Scheduler) statusOf(st *queue.State, p wire.HostPath) wire.QueueResponse {
	doc := st.Document()
	if doc == nil {
		return wire.QueueResponse{Code: queue.NoDocument}
	}
	q, rest, ok := doc.Find(p.Host, p.Path)
	if !ok {
		return wire.QueueResponse{Code: queue.NoQueue}
	}
	if rest == "" {
		return s.countWaiting(st, q.Name)
	}
	j := st.Job(rudderfork.JobID(rest))
	if j == nil {
		return wire.QueueResponse{Code: queue.NoJob}
	}
	return wire.QueueResponse{Code: queue.OK, Status: j.Status}
}

// countWaiting counts a queue's jobs that wait.
func (s *Scheduler) countWaiting(st *queue.State, name string) wire.QueueResponse {
	s.mu.Lock()
	waiting, ordered := st.Waiting(name, s.fleet.hasBegun)
	s.mu.Unlock()
	s.log.Info().Str("queue", name).Int("waiting", waiting).Int("ordered", ordered).Msg("queue_counted")
	return wire.QueueResponse{Code: queue.OK, IsQueue: true, Waiting: waiting}
}

func waveOf(st *queue.State, id uint64) wire.QueueResponse {
	w := st.Wave(id)
	if w == nil {
		return wire.QueueResponse{Code: queue.NoJob, Text: "there is no such wave"}
	}
	return wire.QueueResponse{Code: queue.OK, Left: len(w.Remaining())}
}

func documentOf(st *queue.State) wire.QueueResponse {
	doc := st.Document()
	if doc == nil {
		return wire.QueueResponse{Code: queue.NoDocument}
	}
	return wire.QueueResponse{Code: queue.OK, Document: doc.Text}
}
