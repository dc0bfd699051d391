package scheduler

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/backlog"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// backlogPause is the pause between two summaries of the backlog. Submissions in between are decided
// on an older one, which is far younger than the shortest objective.
const backlogPause = 200 * time.Millisecond

// admission decides which submissions the leader refuses. It is guarded by the scheduler's mu. The
// methods of a nil admission do nothing.
type admission struct {
	term       uint64 // term of ctrl
	ctrl       *backlog.Controller
	summaryAt  time.Time // when the backlog is summarized next
	submitting *commits

	refused *prometheus.CounterVec
	errors  prometheus.Histogram
}

// newAdmission returns nil if the policies refuse no jobs.
func newAdmission(p Policies) *admission {
	if !p.RefuseJobs {
		return nil
	}
	return &admission{
		ctrl: backlog.New(), submitting: newCommits(),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "rudderfork", Subsystem: "queue", Name: "refused_total", Help: "Refused submissions, by reason.",
		}, []string{"reason"}),
		errors: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "rudderfork", Subsystem: "queue", Name: "prediction_error",
			Help:    "Logarithm of the time that a job took over the time predicted at its submission.",
			Buckets: []float64{-3, -2, -1, -.5, -.25, 0, .25, .5, 1, 2, 3},
		}),
	}
}

func (a *admission) collectors() []prometheus.Collector {
	if a == nil {
		return nil
	}
	return []prometheus.Collector{a.refused, a.errors}
}

// summaryDue reports whether the next plan is to summarize the backlog.
func (a *admission) summaryDue(now time.Time) bool {
	return a != nil && due(&a.summaryAt, backlogPause, now)
}

// observe passes the summary of a plan to the controller, with the ends of jobs. sum may be nil.
func (a *admission) observe(term uint64, sum *backlog.Summary, st *queue.State, now time.Time) {
	if a == nil || sum == nil {
		return
	}
	a.enter(term)
	a.ctrl.SetSummary(sum)
	ended := a.ctrl.ObserveEnds(func(id rudderfork.JobID) backlog.Progress { return progressOf(st.Job(id)) }, rudderfork.Millis(now))
	for _, e := range ended {
		a.errors.Observe(e.Log)
	}
}

// enter drops what the controller knows of an earlier term.
func (a *admission) enter(term uint64) {
	if a.term != term {
		a.term, a.ctrl = term, backlog.New()
	}
}

// progressOf returns what has become of an accepted job. j is nil if its status is no longer kept.
func progressOf(j *queue.Job) backlog.Progress {
	switch {
	case j == nil:
		return backlog.Progress{Ended: true}
	case j.Status == queue.Completed:
		return backlog.Progress{Ended: true, TookMS: float64(j.EndedAt - j.SubmittedAt)}
	}
	return backlog.Progress{Ended: j.Status.Final()}
}

// submission is a submission and the decision on it.
type submission struct {
	*queue.Submit

	id       rudderfork.JobID // "" if the path has none
	term     uint64           // in which it was decided; 0 if it adds no job, or this process does not lead
	job      backlog.Job
	decision backlog.Decision
	commit   uint64 // number of its commit; 0 before it has begun
}

// submit commits a submission, or refuses it if the policy is in force. Only jobs that the state does
// not hold, and of which no other submission may be committed, are refused.
func (s *Scheduler) submit(ctx context.Context, c *queue.Submit) wire.QueueResponse {
	if s.admission == nil {
		return s.commit(ctx, queue.Command{Submit: c})
	}
	sub := s.decide(c)
	if sub.decision.Refused() && s.confirmRefusal(ctx, &sub) {
		return s.refuse(sub)
	}
	resp := s.commit(ctx, queue.Command{Submit: c})
	s.endSubmission(sub, resp)
	return resp
}

// decide decides on a submission. The commit of one that is not refused begins. That includes
// submissions that add no job now: they may add one by the time they are applied, for example because
// the term has not started here, or the document changes.
func (s *Scheduler) decide(c *queue.Submit) (sub submission) {
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		a := s.admission
		q, id, _, isNew := st.Queues().CheckSubmit(*c)
		sub = submission{Submit: c, id: id}
		if isNew && s.term != 0 {
			a.enter(s.term)
			sub.term, sub.job = s.term, dispatch.NewcomerOf(q, id, c.Spec, s.fleet.workTimes.Estimate)
			sub.decision = a.ctrl.Decide(sub.job, rudderfork.Millis(steady.Now()))
		}
		if !sub.decision.Refused() {
			sub.commit = a.submitting.begin(id)
		}
	})
	return sub
}

// confirmRefusal reports whether a submission can be refused: a quorum has confirmed that this process
// leads, and no submission of the job has been committed or may be. It records the refusal. If it
// returns false, the commit of the submission has begun.
func (s *Scheduler) confirmRefusal(ctx context.Context, sub *submission) (refused bool) {
	confirmed := s.rep.Barrier(ctx) == nil
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		a := s.admission
		_, _, _, isNew := st.Queues().CheckSubmit(*sub.Submit)
		refused = confirmed && isNew && s.term == sub.term && a.term == sub.term && !a.submitting.mayCommit(sub.id)
		if !refused {
			sub.commit = a.submitting.begin(sub.id)
			return
		}
		a.ctrl.Refuse(sub.job, sub.decision, rudderfork.Millis(steady.Now()))
	})
	return refused
}

// refuse logs a refusal and returns the response to it.
func (s *Scheduler) refuse(sub submission) wire.QueueResponse {
	d := sub.decision
	s.mu.Lock()
	total := s.admission.ctrl.TotalRefused()
	s.mu.Unlock()
	s.admission.refused.WithLabelValues(string(d.Reason)).Inc()
	const perCoreSecond = 1e6 // thousandths of a core times ms
	s.log.Info().Str("path", sub.Path).Str("queue", sub.job.Queue).Str("reason", string(d.Reason)).
		Int64("predicted_ms", int64(d.EndMS)).Int64("early_ms", int64(d.EarlyMS)).Int64("objective_ms", int64(sub.job.ObjectiveMS)).
		Float64("ahead_core_s", d.WorkAhead/perCoreSecond).Float64("cores", d.Rate/1_000).
		Float64("error_mean", d.Mean).Float64("error_early", d.Early).Int64("retry_ms", d.RetryMS).Uint64("refused", total).Msg("job_refused")
	text := "the job could not end in time"
	if d.Reason == backlog.Unplaceable {
		text = "no VM can hold a task of the job"
	}
	return wire.QueueResponse{Code: queue.Overloaded, Text: text, RetryAfterMS: d.RetryMS}
}

// endSubmission records the outcome of the commit of a submission.
func (s *Scheduler) endSubmission(sub submission, resp wire.QueueResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.admission
	a.submitting.end(sub.id, sub.commit, !resp.Unsure && !resp.NotTaken, resp.Unsure)
	if resp.Code == queue.OK && sub.term != 0 && a.term == sub.term {
		a.ctrl.Accept(sub.job, sub.decision, rudderfork.Millis(steady.Now()))
	}
}
