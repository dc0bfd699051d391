//go:build review

package rig

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatMS = 1100 * time.Millisecond
	maxHoldMS   = 6000
	stopTime    = 100 * time.Millisecond // at most stop_ms
	// maxEnds is how many ends one answer lists: "500 at once".
	maxEnds = 500
)

// Run is a run of a task at a runner, as the stand-in has seen it.
type Run struct {
	Task    string
	Number  int
	Life    string
	Started time.Time
	Ended   time.Time // zero while it is at work
	How     string    // how it ended
	N       int       // number of its end
	Acked   time.Time // when acked_upto reached N; zero if it never did
	Lapsed  bool      // the runner's lease lapsed between the end and the acknowledgement

	workMS, stopAt int64 // on the runner's clock; stopAt is 0 unless it is being stopped
	startedMS      int64
	cpu, mem       int
}

// Runner is a stand-in for the runners of one side machine, one life after the other. It guards its
// capacity. A task works for the time that its task_spec names: "work=BASE+STEP" stands for BASE ms
// and STEP ms more for each index of the task. A task without a time lasts.
type Runner struct {
	site    *Site
	index   int
	machine string
	cpu     int
	mem     int
	sizes   func(task string) (cpu, mem int)
	client  *http.Client
	cancel  context.CancelFunc

	mu       sync.Mutex
	life     string
	lives    int
	up       bool
	born     time.Time
	fence    int
	until    int64
	lapsedAt time.Time // when the lease last lapsed
	running  map[string]*Run
	barred   map[string]int
	ended    []*Run
	acked    int
	n        int
	runs     []*Run // of all lives
	srv      *http.Server
}

// NewRunner returns the runner of a side machine. sizes gives the room that a task takes.
func NewRunner(s *Site, index, cpu, mem int, sizes func(task string) (cpu, mem int)) *Runner {
	return &Runner{
		site: s, index: index, machine: fmt.Sprintf("m-%d", index+1), cpu: cpu, mem: mem, sizes: sizes,
		client: &http.Client{Timeout: time.Second},
	}
}

// Start starts the next life of the runner and its heartbeats.
func (r *Runner) Start() error {
	ln, err := net.Listen("tcp", r.site.AppAddr(r.index))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Names.StartPath, r.start)
	mux.HandleFunc("POST "+Names.StopPath, r.stop)
	mux.HandleFunc("POST /hold", r.hold)
	mux.HandleFunc("POST /pace", r.pace)
	ctx, cancel := context.WithCancel(context.Background())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives++
	r.life = fmt.Sprintf("i-%d-%d", r.index+1, r.lives)
	r.up, r.born, r.fence, r.until, r.acked, r.n = true, time.Now(), 0, 0, 0, 0
	r.running, r.barred, r.ended = map[string]*Run{}, map[string]int{}, nil
	r.srv, r.cancel = &http.Server{Handler: mux}, cancel
	srv := r.srv
	go func() { _ = srv.Serve(ln) }() // returns after Close
	go r.beat(ctx, r.life)
	go r.work(ctx)
	r.site.Record.Add("runner %s: begins on %s", r.life, r.machine)
	return nil
}

// End ends the life at once. All that runs there dies.
func (r *Runner) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel()
	_ = r.srv.Close()
	r.up = false
	r.site.Record.Add("runner %s: ends", r.life)
	for _, run := range r.running {
		run.Ended, run.How = time.Now(), "died"
	}
}

// Life returns the id of the present life, or "" between two lives.
func (r *Runner) Life() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return ""
	}
	return r.life
}

// Runs returns copies of all runs so far.
func (r *Runner) Runs() (list []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		list = append(list, *run)
	}
	return list
}

// Fail ends all runs with "failed", as tasks that last may end at any time.
func (r *Runner) Fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.sorted() {
		r.end(run, "failed")
	}
}

// AtWork returns how many tasks are at work.
func (r *Runner) AtWork() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// beat sends heartbeats until ctx ends.
func (r *Runner) beat(ctx context.Context, life string) {
	for seq := 1; ctx.Err() == nil; seq++ {
		r.mu.Lock()
		body, _ := json.Marshal(map[string]any{
			"service": Service, "address": r.site.AppAddr(r.index), "zone": zones[r.index%3], "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": map[string]int{"cpu": r.cpu, Names.Memory: r.mem, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"machine": r.machine, "clock_ms": r.clock(), Names.Sequence: seq,
		})
		r.mu.Unlock()
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.site.SideControl(r.index)+"/instances/"+life, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		wait := heartbeatMS
		if resp, err := r.client.Do(req); err == nil {
			resp.Body.Close()
		} else {
			wait = heartbeatMS / 2
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// clock returns the runner's clock. The caller holds mu.
func (r *Runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

// work ends runs when they are due.
func (r *Runner) work(ctx context.Context) {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.mu.Lock()
			r.advance()
			r.mu.Unlock()
		}
	}
}

// advance ends the runs that are due. The caller holds mu.
func (r *Runner) advance() {
	now := r.clock()
	if r.until > 0 && now >= r.until {
		r.lapsedAt = time.Now()
		for _, run := range r.ended {
			run.Lapsed = true
		}
		for _, run := range r.sorted() {
			r.end(run, "lapsed")
		}
		r.until = 0
		return
	}
	for _, run := range r.sorted() {
		switch {
		case run.stopAt > 0 && now >= run.stopAt:
			r.end(run, "stopped")
		case run.stopAt == 0 && run.workMS > 0 && now-run.startedMS >= run.workMS:
			r.end(run, "done")
		}
	}
}

// sorted returns the running runs in the order in which their work is done.
func (r *Runner) sorted() (list []*Run) {
	for _, run := range r.running {
		list = append(list, run)
	}
	slices.SortFunc(list, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(a.startedMS+a.workMS, b.startedMS+b.workMS), cmp.Compare(a.Task, b.Task))
	})
	return list
}

// end lists the end of a run. The caller holds mu.
func (r *Runner) end(run *Run, how string) {
	delete(r.running, run.Task)
	r.barred[run.Task] = max(r.barred[run.Task], run.Number)
	r.n++
	run.N, run.Ended, run.How = r.n, time.Now(), how
	r.ended = append(r.ended, run)
	r.site.Record.Add("runner %s: end %d of %s run %d: %s", r.life, run.N, run.Task, run.Number, how)
}

// request is a call to a runner.
type request struct {
	Task   string
	Run    int
	Spec   string
	Until  int64
	Fence  int
	Acked  int
	WaitMS int64
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *request) UnmarshalJSON(text []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	for name, to := range map[string]any{
		"task": &b.Task, "run": &b.Run, Names.Payload: &b.Spec, Names.Until: &b.Until, Names.Fence: &b.Fence,
		Names.Acked: &b.Acked, "wait_ms": &b.WaitMS,
	} {
		if raw, ok := fields[name]; ok {
			if err := json.Unmarshal(raw, to); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

// accept reads a call and checks whom it is for and its fence. If ok, the caller holds mu and has to
// release it.
func (r *Runner) accept(w http.ResponseWriter, req *http.Request) (b request, ok bool) {
	if err := json.NewDecoder(req.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	r.mu.Lock()
	r.advance()
	switch {
	case !r.up || req.Header.Get(Names.LifeHeader) != r.life:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case b.Fence < r.fence:
		r.refuse(w, "fence")
	default:
		r.fence = b.Fence
		return b, true
	}
	r.mu.Unlock()
	return b, false
}

func (r *Runner) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = r.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}

func (r *Runner) refuse(w http.ResponseWriter, reason string) {
	r.answer(w, http.StatusConflict, map[string]any{"reason": reason})
}

// extend moves the end of the lease, which never comes sooner than before.
func (r *Runner) extend(until int64) {
	r.until = max(r.until, min(until, r.clock()+maxHoldMS))
}

func (r *Runner) start(w http.ResponseWriter, req *http.Request) {
	b, ok := r.accept(w, req)
	if !ok {
		return
	}
	defer r.mu.Unlock()
	cpu, mem := r.sizes(b.Task)
	if run := r.running[b.Task]; run != nil && run.Number == b.Run && run.stopAt == 0 {
		r.extend(b.Until)
		r.answer(w, http.StatusOK, map[string]any{})
		return
	}
	reason := ""
	switch {
	case b.Until <= r.clock():
		reason = "late"
	case r.running[b.Task] != nil || b.Run <= r.barred[b.Task]:
		reason = "old"
	case !r.fits(cpu, mem):
		reason = "room"
	}
	if reason != "late" {
		r.extend(b.Until)
	}
	if reason != "" {
		r.site.Record.Add("runner %s: start of %s run %d refused: %s", r.life, b.Task, b.Run, reason)
		r.refuse(w, reason)
		return
	}
	run := &Run{Task: b.Task, Number: b.Run, Life: r.life, Started: time.Now(), startedMS: r.clock(), workMS: workOf(b), cpu: cpu, mem: mem}
	r.running[b.Task] = run
	r.runs = append(r.runs, run)
	r.site.Record.Add("runner %s: starts %s run %d", r.life, b.Task, b.Run)
	r.answer(w, http.StatusOK, map[string]any{})
}

func (r *Runner) fits(cpu, mem int) bool {
	for _, run := range r.running {
		cpu, mem = cpu+run.cpu, mem+run.mem
	}
	return cpu <= r.cpu && mem <= r.mem
}

// workOf returns how long a task works, in ms, from its task_spec and its index.
func workOf(b request) int64 {
	spec, _ := strings.CutPrefix(b.Spec, "work=")
	base, step, _ := strings.Cut(spec, "+")
	baseMS, _ := strconv.ParseInt(base, 10, 64)
	stepMS, _ := strconv.ParseInt(step, 10, 64)
	index, _ := strconv.ParseInt(b.Task[strings.LastIndex(b.Task, ".")+1:], 10, 64)
	return baseMS + index*stepMS
}

func (r *Runner) stop(w http.ResponseWriter, req *http.Request) {
	b, ok := r.accept(w, req)
	if !ok {
		return
	}
	defer r.mu.Unlock()
	r.barred[b.Task] = max(r.barred[b.Task], b.Run)
	if run := r.running[b.Task]; run != nil && run.Number <= b.Run && run.stopAt == 0 {
		run.stopAt = r.clock() + stopTime.Milliseconds()
	}
	r.answer(w, http.StatusOK, map[string]any{})
}

func (r *Runner) pace(w http.ResponseWriter, req *http.Request) {
	if _, ok := r.accept(w, req); ok {
		defer r.mu.Unlock()
		r.answer(w, http.StatusOK, map[string]any{})
	}
}

func (r *Runner) hold(w http.ResponseWriter, req *http.Request) {
	b, ok := r.accept(w, req)
	if !ok {
		return
	}
	life := r.life
	if b.Until > 0 {
		r.extend(b.Until)
	}
	r.acknowledge(b.Acked)
	deadline := time.Now().Add(time.Duration(min(b.WaitMS, 2000)) * time.Millisecond)
	for len(r.ended) == 0 && time.Now().Before(deadline) && req.Context().Err() == nil && r.life == life {
		r.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
	}
	defer r.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, run := range r.sorted() {
		percent := int64(100)
		if run.workMS > 0 {
			percent = min(100, 100*(r.clock()-run.startedMS)/run.workMS)
		}
		running = append(running, []any{run.Task, run.Number, "", percent, run.cpu})
	}
	for _, run := range r.ended[:min(len(r.ended), maxEnds)] {
		ended = append(ended, []any{run.N, run.Task, run.Number, run.How, ""})
	}
	if len(r.ended) > maxEnds {
		r.site.Record.Add("runner %s: %d ends are not acknowledged, the first %d are listed", r.life, len(r.ended), maxEnds)
	}
	r.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// acknowledge drops the ends up to a number. The caller holds mu.
func (r *Runner) acknowledge(upTo int) {
	if upTo <= r.acked {
		return
	}
	r.acked = upTo
	for len(r.ended) > 0 && r.ended[0].N <= upTo {
		r.ended[0].Acked = time.Now()
		r.ended = r.ended[1:]
	}
	r.site.Record.Add("runner %s: ends up to %d are acknowledged", r.life, upTo)
}
