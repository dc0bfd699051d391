// Package worker is a test double of the platform's worker on one VM. It simulates tasks
// under a lease, with checkpoints, throttling, stops, and usage reports that lag behind.
package worker

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/lease"
	"rudderfork.example/rudderfork/standin"
	api "rudderfork.example/rudderfork/worker"
)

// Config configures a Worker.
type Config struct {
	VM         string
	Unit       time.Duration        // duration of one unit of work at full speed
	Checkpoint int64                // units of work between two checkpoints; 0 means none
	Lag        time.Duration        // age of the usage that is reported
	FailAll    bool                 // every task fails at its start
	Usage      rudderfork.Resources // reported usage of every task, whatever size it was given
}

// Worker simulates tasks. It is safe for concurrent use.
type Worker struct {
	cfg   Config
	audit *standin.Audit
	boot  string

	mu       sync.Mutex
	deadline time.Time // end of the lease
	tasks    map[rudderfork.TaskID]*task
	fenced   map[rudderfork.TaskID]rudderfork.Token // highest fencing token received, by task
}

// task is one attempt at a task.
type task struct {
	api.Task
	units int64  // units of work in the whole task
	kind  string // kind of the job; a kind that begins with "broken" fails at its start
}

// New returns a worker without tasks, with a random boot ID.
func New(cfg Config, audit *standin.Audit) *Worker {
	return &Worker{
		cfg: cfg, audit: audit, boot: rand.Text()[:8],
		tasks: map[rudderfork.TaskID]*task{}, fenced: map[rudderfork.TaskID]rudderfork.Token{},
	}
}

// Handler returns the worker's HTTP interface.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tasks", w.list)
	mux.HandleFunc("POST /start", w.start)
	mux.HandleFunc("POST /renew", w.change(func(c api.Change) { w.deadline = time.UnixMilli(c.Deadline) }))
	mux.HandleFunc("POST /stop", w.change(w.stop))
	mux.HandleFunc("POST /throttle", w.change(w.throttle))
	mux.HandleFunc("POST /forget", w.change(w.forget))
	return mux
}

func (w *Worker) list(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := api.List{Boot: w.boot}
	for _, t := range w.tasks {
		v := t.Task
		v.At = time.Now().Add(-w.cfg.Lag).UnixMilli()
		l.Tasks = append(l.Tasks, v)
	}
	_ = json.NewEncoder(rw).Encode(l)
}

func (w *Worker) change(f func(c api.Change)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c api.Change
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		f(c)
	}
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	var s api.Start
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if d := time.UnixMilli(s.Deadline); d.After(w.deadline) {
		w.deadline = d
	}
	switch {
	case s.Token == w.fenced[s.Task]:
		return // a repeated request: the attempt runs or has ended
	case s.Token < w.fenced[s.Task]:
		http.Error(rw, "a later attempt was seen", http.StatusConflict)
		return
	case !time.Now().Before(w.deadline):
		http.Error(rw, "the lease has ended", http.StatusConflict)
		return
	}
	w.supersede(s.Task, s.Token)
	t := &task{units: s.Units, kind: s.Kind, Task: api.Task{
		Task: s.Task, Token: s.Token, Phase: lease.WorkerRunning, Size: s.Size,
		Checkpoint: s.Checkpoint, Progress: s.Checkpoint,
	}}
	t.Used = w.cfg.Usage
	w.tasks[s.Task] = t
	w.record(t, "start", time.Now())
	go w.run(t)
}

// run executes one attempt, unit by unit. It checks the lease before each unit, so that a
// process that was frozen past the end of its lease does no more work when it resumes.
// Throttle levels 1 and 2 halve and quarter the speed; from level 3 on the task pauses.
func (w *Worker) run(t *task) {
	if w.cfg.FailAll || strings.HasPrefix(t.kind, "broken") {
		w.end(t, lease.WorkerFailed, "the task exits at once")
		return
	}
	for {
		from := time.Now()
		unit, level, ok := w.nextUnit(t, from)
		if !ok {
			return
		}
		if level >= 3 {
			time.Sleep(w.cfg.Unit)
			continue
		}
		time.Sleep(w.cfg.Unit << level)
		if !w.finishUnit(t, unit, from) {
			return
		}
	}
}

// nextUnit returns the next unit of t and the throttle level. ok is false if the attempt has
// ended, or ends now because its lease has expired or its work is done.
func (w *Worker) nextUnit(t *task, now time.Time) (unit int64, level int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case t.Phase != lease.WorkerRunning:
		return 0, 0, false
	case !now.Before(w.deadline):
		w.endLocked(t, lease.WorkerExpired, "the lease ended")
		return 0, 0, false
	case t.Progress >= t.units:
		t.Checkpoint = t.Progress
		w.endLocked(t, lease.WorkerDone, "")
		return 0, 0, false
	}
	return t.Progress, t.Throttle, true
}

// finishUnit counts a completed unit of work and reports whether the attempt continues. A
// unit in which the lease expired does not count.
func (w *Worker) finishUnit(t *task, unit int64, from time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if t.Phase != lease.WorkerRunning {
		return false
	}
	if !now.Before(w.deadline) {
		w.endLocked(t, lease.WorkerExpired, "the lease ended")
		return false
	}
	t.Progress = unit + 1
	if w.cfg.Checkpoint > 0 && t.Progress%w.cfg.Checkpoint == 0 {
		t.Checkpoint = t.Progress
	}
	w.record(t, "unit", from)
	return true
}

func (w *Worker) end(t *task, p lease.WorkerPhase, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked(t, p, reason)
}

// endLocked ends an attempt. One that ended by its lease is recorded with the end of the
// lease, however late that is detected: a worker that was frozen detects it after it
// resumes, when the task may already run elsewhere. The caller holds mu.
func (w *Worker) endLocked(t *task, p lease.WorkerPhase, reason string) {
	t.Phase, t.Reason = p, reason
	at := time.Now()
	if p == lease.WorkerExpired && w.deadline.Before(at) {
		at = w.deadline
	}
	w.recordSpan(t, string(p), at, at)
}

func (w *Worker) record(t *task, event string, from time.Time) {
	w.recordSpan(t, event, from, time.Now())
}

func (w *Worker) recordSpan(t *task, event string, from, to time.Time) {
	w.audit.Write(standin.TaskRecord{
		VM: w.cfg.VM, Boot: w.boot, Task: string(t.Task.Task), Token: uint64(t.Token), Event: event, UnitsDone: t.Progress,
		From: from.UnixMicro(), To: to.UnixMicro(), CPU: t.Size.CPUMilli, Mem: t.Size.MemoryMB,
	})
}

// stop ends an attempt. An attempt that has not started yet is recorded as stopped, so
// that a late start is refused. The caller holds mu.
func (w *Worker) stop(c api.Change) {
	t := w.tasks[c.Task]
	if t != nil && t.Token == c.Token {
		if t.Phase == lease.WorkerRunning {
			t.Phase, t.Reason = lease.WorkerStopped, "stopped by request"
			event := "dropped"
			if c.Checkpoint {
				t.Checkpoint, event = t.Progress, "stopped"
			}
			w.record(t, event, time.Now())
		}
		return
	}
	if c.Token <= w.fenced[c.Task] {
		return
	}
	w.supersede(c.Task, c.Token)
	w.tasks[c.Task] = &task{Task: api.Task{Task: c.Task, Token: c.Token, Phase: lease.WorkerStopped, Reason: "stopped before it started"}}
}

// supersede raises the fencing token of a task, so that older attempts are refused, and
// stops one that still runs. The caller holds mu.
func (w *Worker) supersede(id rudderfork.TaskID, token rudderfork.Token) {
	w.fenced[id] = token
	if old := w.tasks[id]; old != nil && old.Phase == lease.WorkerRunning {
		w.endLocked(old, lease.WorkerStopped, "a later attempt came")
	}
}

func (w *Worker) throttle(c api.Change) {
	if t := w.tasks[c.Task]; t != nil && t.Token == c.Token {
		t.Throttle = c.Level
	}
}

func (w *Worker) forget(c api.Change) {
	if t := w.tasks[c.Task]; t != nil && t.Token == c.Token && t.Phase != lease.WorkerRunning {
		delete(w.tasks, c.Task)
	}
}
