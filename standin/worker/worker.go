// Package worker stands in for the platform's worker on one VM: it runs tasks
// under a lease, reports usage with a lag, and checkpoints, throttles and stops.
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

// Config sets up a worker.
type Config struct {
	VM         string
	Unit       time.Duration        // length of one unit of work at full speed
	Checkpoint int64                // units between checkpoints
	Lag        time.Duration        // of usage reports
	FailAll    bool                 // fail every task at its start
	Use        rudderfork.Resources // of every task, whatever it was given
}

// Worker runs tasks.
type Worker struct {
	cfg   Config
	audit *standin.Audit
	boot  string

	mu       sync.Mutex
	deadline time.Time
	tasks    map[rudderfork.TaskID]*task
	fenced   map[rudderfork.TaskID]rudderfork.Token // highest token seen
}

// task is one attempt.
type task struct {
	api.Task
	units int64
	kind  string
}

// New returns a worker that runs nothing yet.
func New(cfg Config, audit *standin.Audit) *Worker {
	return &Worker{
		cfg: cfg, audit: audit, boot: rand.Text()[:8],
		tasks: map[rudderfork.TaskID]*task{}, fenced: map[rudderfork.TaskID]rudderfork.Token{},
	}
}

// Handler returns the worker's interface.
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
		return // it is there, or has been
	case s.Token < w.fenced[s.Task]:
		http.Error(rw, "a later attempt was seen", http.StatusConflict)
		return
	case !time.Now().Before(w.deadline):
		http.Error(rw, "the lease has ended", http.StatusConflict)
		return
	}
	w.replace(s.Task, s.Token)
	t := &task{units: s.Units, kind: s.Kind, Task: api.Task{
		Task: s.Task, Token: s.Token, Phase: lease.WorkerRunning, Size: s.Size,
		Checkpoint: s.Checkpoint, Progress: s.Checkpoint,
	}}
	t.Used = w.cfg.Use
	w.tasks[s.Task] = t
	w.note(t, "start", time.Now())
	go w.run(t)
}

// run works off one attempt, unit by unit. Before each unit it looks at the
// lease, so that a process that was frozen does nothing once it goes on.
func (w *Worker) run(t *task) {
	if w.cfg.FailAll || strings.HasPrefix(t.kind, "broken") {
		w.end(t, lease.WorkerFailed, "the task exits at once")
		return
	}
	for {
		from := time.Now()
		unit, level, ok := w.begin(t, from)
		if !ok {
			return
		}
		if level >= 3 {
			time.Sleep(w.cfg.Unit)
			continue
		}
		time.Sleep(w.cfg.Unit << level)
		if !w.finish(t, unit, from) {
			return
		}
	}
}

// begin reports the next unit of t; ok is false when the attempt has ended.
func (w *Worker) begin(t *task, now time.Time) (unit int64, level int, ok bool) {
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

// finish counts a unit, unless the lease ended in the middle of it.
func (w *Worker) finish(t *task, unit int64, from time.Time) bool {
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
	w.note(t, "unit", from)
	return true
}

func (w *Worker) end(t *task, p lease.WorkerPhase, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked(t, p, reason)
}

// endLocked ends an attempt. One whose lease has run out did nothing after the
// lease's end, however late that is noticed: a worker that was frozen notices it
// when it thaws, and the task may be at work elsewhere by then.
func (w *Worker) endLocked(t *task, p lease.WorkerPhase, reason string) {
	t.Phase, t.Reason = p, reason
	at := time.Now()
	if p == lease.WorkerExpired && w.deadline.Before(at) {
		at = w.deadline
	}
	w.noteUntil(t, string(p), at, at)
}

func (w *Worker) note(t *task, what string, from time.Time) { w.noteUntil(t, what, from, time.Now()) }

func (w *Worker) noteUntil(t *task, what string, from, to time.Time) {
	w.audit.Write(standin.Unit{
		VM: w.cfg.VM, Boot: w.boot, Task: string(t.Task.Task), Token: uint64(t.Token), What: what, Unit: t.Progress,
		From: from.UnixMicro(), To: to.UnixMicro(), CPU: t.Size.CPUMilli, Mem: t.Size.MemoryMB,
	})
}

// stop ends an attempt and refuses it from now on, also one not seen yet.
func (w *Worker) stop(c api.Change) {
	t := w.tasks[c.Task]
	if t != nil && t.Token == c.Token {
		if t.Phase == lease.WorkerRunning {
			t.Phase, t.Reason = lease.WorkerStopped, "stopped by request"
			what := "dropped"
			if c.Checkpoint {
				t.Checkpoint, what = t.Progress, "stopped"
			}
			w.note(t, what, time.Now())
		}
		return
	}
	if c.Token <= w.fenced[c.Task] {
		return
	}
	w.replace(c.Task, c.Token)
	w.tasks[c.Task] = &task{Task: api.Task{Task: c.Task, Token: c.Token, Phase: lease.WorkerStopped, Reason: "stopped before it started"}}
}

// replace fences off older attempts and ends one that still runs.
func (w *Worker) replace(id rudderfork.TaskID, token rudderfork.Token) {
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
