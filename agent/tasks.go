package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/crash"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/internal/wakeup"
	"rudderfork.example/rudderfork/lease"
	"rudderfork.example/rudderfork/node"
	"rudderfork.example/rudderfork/throttle"
	"rudderfork.example/rudderfork/wire"
	"rudderfork.example/rudderfork/worker"
)

const (
	// busyPollInterval is the time between two polls of the worker.
	busyPollInterval = 250 * time.Millisecond
	// idlePollInterval is the time between two polls while the VM has no tasks.
	idlePollInterval = time.Second
	// reportRetryDelay is the delay before a report is repeated. Reports are repeated
	// until the assignments of control no longer list the attempt.
	reportRetryDelay = 500 * time.Millisecond
	// workerTimeout is how long the worker counts as reachable after an answer. After
	// that the agent requests no lease, so that control frees the tasks of the VM.
	workerTimeout = 2 * time.Second
)

// tasks reconciles the attempts at the worker with the leases that control grants.
type tasks struct {
	cfg      Settings
	client   *node.Client
	requests *requestServer
	worker   *worker.Client // nil without a worker
	log      zerolog.Logger
	rec      rudderfork.Recorder
	woken    wakeup.Signal

	mu               sync.Mutex
	holder           *lease.Holder
	throttler        throttle.Controller
	levels           map[rudderfork.TaskID]int      // throttle levels that were set last
	renewedDeadline  time.Time                      // the newest deadline that the worker has confirmed
	workerAnsweredAt time.Time                      // time of the worker's last answer
	reportID         uint64                         // ID of the newest batch of reports
	decisions        []wire.DecisionRecord          // not yet sent to control
	nextReportAt     map[lease.AttemptRef]time.Time // when to send a report again
}

func newTasks(cfg Settings, c *node.Client, rs *requestServer, log zerolog.Logger, rec rudderfork.Recorder) *tasks {
	t := &tasks{
		cfg: cfg, client: c, requests: rs, log: log, rec: rec, woken: wakeup.New(),
		holder: lease.NewHolder(cfg.Capacity.Sub(cfg.Reserved)), levels: map[rudderfork.TaskID]int{},
		nextReportAt: map[lease.AttemptRef]time.Time{},
	}
	if cfg.Worker != "" {
		t.worker = worker.New(cfg.Worker)
	}
	return t
}

// String names the service in the supervisor's log.
func (t *tasks) String() string { return "tasks" }

// workerReachable reports whether the worker has answered within workerTimeout. It
// is true without a worker.
func (t *tasks) workerReachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.worker == nil || steady.Now().Sub(t.workerAnsweredAt) < workerTimeout
}

// handle handles messages of control about leases.
func (t *tasks) handle(m wire.ToNode) {
	if m.ReportsAck != nil {
		crash.Point(crash.AgentReported)
	}
	t.mu.Lock()
	switch {
	case m.Welcome != nil:
		t.holder.StartSession(m.Welcome.Epoch)
	case m.Grant != nil:
		t.holder.Grant(m.Grant.Epoch, rudderfork.FromMillis(m.Grant.Deadline))
	case m.Assign != nil:
		t.holder.Assign(m.Assign.Epoch, m.Assign.Revision, m.Assign.Leases)
	}
	t.mu.Unlock()
	t.woken.Set()
}

// Serve implements suture.Service.
func (t *tasks) Serve(ctx context.Context) error {
	if t.worker == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	for ctx.Err() == nil {
		busy := t.round(ctx)
		wait := idlePollInterval
		if busy {
			wait = busyPollInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.woken:
		case <-timer.C:
		}
		timer.Stop()
	}
	return ctx.Err()
}

// round renews the deadline at the worker, reads its attempts and carries out the
// next actions. It reports whether the VM is busy or the worker did not answer.
func (t *tasks) round(ctx context.Context) (busy bool) {
	wasReachable := t.workerReachable()
	t.renew(ctx)
	boot, list, err := t.worker.List(ctx)
	if err != nil {
		if wasReachable && !t.workerReachable() {
			t.log.Warn().Err(err).Msg("worker_gone")
			t.client.Reconnect() // the new hello has no registration, so no more leases are granted
		}
		return true
	}
	t.mu.Lock()
	t.workerAnsweredAt = steady.Now()
	t.holder.Observe(boot, list)
	t.throttle()
	actions := t.holder.NextActions(steady.Now())
	deadline := t.holder.Deadline()
	t.mu.Unlock()
	if !wasReachable {
		t.log.Info().Msg("worker_seen")
		t.client.Reconnect() // the new hello has the registration
	}
	t.act(ctx, actions, deadline)
	return len(list) > 0 || len(actions) > 0
}

// renew sends a new deadline to the worker.
func (t *tasks) renew(ctx context.Context) {
	t.mu.Lock()
	d, old := t.holder.Deadline(), t.renewedDeadline
	t.mu.Unlock()
	if !d.After(old) {
		return
	}
	if t.worker.Renew(ctx, d) == nil {
		t.mu.Lock()
		t.renewedDeadline = d
		t.mu.Unlock()
	}
}

// act carries out the actions. It sends the reports that are due in one batch.
func (t *tasks) act(ctx context.Context, actions []lease.Action, deadline time.Time) {
	var reports []rudderfork.Report
	for _, a := range actions {
		var err error
		switch {
		case a.Report != nil:
			if t.reportDue(*a.Report) {
				reports = append(reports, *a.Report)
			}
		case a.Forget != nil:
			crash.Point(crash.AgentForget)
			delete(t.nextReportAt, *a.Forget)
			err = t.worker.Forget(ctx, *a.Forget)
		case a.Stop != nil:
			t.event("stopping", a.Stop.Task, fmt.Sprintf("token %d", a.Stop.Token))
			crash.Point(crash.AgentStop)
			err = t.worker.Stop(ctx, *a.Stop)
			crash.Point(crash.AgentStopped)
		case a.Throttle != nil:
			err = t.worker.Throttle(ctx, *a.Throttle)
		case a.Start != nil:
			t.event("starting", a.Start.Task, fmt.Sprintf("token %d from unit %d", a.Start.Token, a.Start.Checkpoint))
			crash.Point(crash.AgentStart)
			err = t.worker.Start(ctx, *a.Start, deadline)
			crash.Point(crash.AgentStarted)
		}
		if err != nil {
			// The next round reads the attempts at the worker again and repeats what is
			// still needed.
			t.log.Warn().Err(err).Msg("worker_call_failed")
		}
	}
	if len(reports) > 0 {
		crash.Point(crash.AgentReport)
		t.reportID++
		t.client.Send(wire.ToControl{Reports: &wire.ReportBatch{ID: t.reportID, Reports: reports}})
	}
}

// reportDue reports whether a report has to be sent now: it was not sent yet, or was
// last sent at least reportRetryDelay ago. It then counts as sent.
func (t *tasks) reportDue(r rudderfork.Report) bool {
	ref, now := lease.AttemptRef{Task: r.Task, Token: r.Token}, steady.Now()
	if now.Before(t.nextReportAt[ref]) {
		return false
	}
	t.nextReportAt[ref] = now.Add(reportRetryDelay)
	return true
}

func (t *tasks) event(kind string, task rudderfork.TaskID, text string) {
	t.rec.Record(rudderfork.Event{Kind: kind, Subject: string(task), Text: text})
}

// throttle sets the throttle levels of the tasks according to the pressure of the
// services.
// The caller must hold t.mu.
func (t *tasks) throttle() {
	running := t.holder.Running()
	p := t.requests.pressure()
	t.throttler.Observe(p, len(running), steady.Now())
	var ts []throttle.Task
	for _, r := range running {
		l, _ := t.holder.Lease(r.Task)
		ts = append(ts, throttle.Task{ID: r.Task, Weight: l.Weight, Slowdown: l.Slowdown})
	}
	for id, level := range t.throttler.Levels(ts) {
		t.holder.SetThrottle(id, level)
		if level == t.levels[id] {
			continue
		}
		text := fmt.Sprintf("level %d to %d of %d: the services here are at %.0f%% of their targets", t.levels[id], level, throttle.MaxLevel, 100*p)
		t.event("throttled", id, text)
		t.decisions = append(t.decisions, wire.DecisionRecord{At: rudderfork.Millis(steady.Now()), Task: id, What: "throttled", Reason: text})
		t.levels[id] = level
	}
	if len(ts) == 0 {
		clear(t.levels)
	}
}

// heartbeat returns a heartbeat with the usage of tasks, and sends the decisions
// recorded since the last one.
func (t *tasks) heartbeat() wire.Heartbeat {
	reachable := t.workerReachable()
	t.mu.Lock()
	defer t.mu.Unlock()
	var hb wire.Heartbeat
	if reachable {
		hb.Epoch = t.holder.Epoch()
	}
	for _, r := range t.holder.Running() {
		hb.Tasks = append(hb.Tasks, wire.TaskUsage{
			Task: r.Task, Token: r.Token, Used: r.Used, Checkpoint: r.Checkpoint, Progress: r.Progress,
			Throttle: r.Throttle, At: r.At,
		})
	}
	hb.Exhausted = t.throttler.Exhausted(steady.Now())
	if len(t.decisions) > 0 && t.client.Send(wire.ToControl{Decisions: t.decisions}) {
		t.decisions = nil
	}
	return hb
}
