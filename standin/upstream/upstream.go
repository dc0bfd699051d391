// Package upstream is a test double of an operator's own service. It handles seat holds,
// streams feeds and takes a configured time for each request.
package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rudderfork.example/rudderfork/standin"
)

// Config configures an Upstream.
type Config struct {
	VM       string
	Work     time.Duration  // duration of a request that specifies none with "ms"
	Slowdown func() float64 // factor for the duration of every request; nil means 1
}

// Upstream handles requests. It is safe for concurrent use.
type Upstream struct {
	cfg        Config
	audit      *standin.Audit
	runs       atomic.Int64 // requests started, without feeds
	inProgress atomic.Int64 // without feeds
	peak       atomic.Int64 // maximum of inProgress

	mu    sync.Mutex
	seats map[string]string // idempotency key of the last hold, by seat
}

// New returns an upstream that records its requests in audit.
func New(cfg Config, audit *standin.Audit) *Upstream {
	return &Upstream{cfg: cfg, audit: audit, seats: map[string]string{}}
}

// Handler returns the service's HTTP interface.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hold", u.counted(u.hold))
	mux.HandleFunc("GET /echo", u.counted(u.echo))
	mux.HandleFunc("POST /echo", u.counted(u.echo))
	mux.HandleFunc("GET /big", u.counted(u.big))
	mux.HandleFunc("GET /feed", u.feed)
	mux.HandleFunc("GET /stats", u.stats)
	return mux
}

// counted counts requests and records each in the audit, at its start and when h has
// returned.
func (u *Upstream) counted(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u.runs.Add(1)
		n := u.inProgress.Add(1)
		defer u.inProgress.Add(-1)
		for p := u.peak.Load(); n > p && !u.peak.CompareAndSwap(p, n); p = u.peak.Load() {
		}
		record := standin.RequestRecord{
			VM: u.cfg.VM, Request: r.Header.Get("Rudderfork-Request"), Key: r.Header.Get("Idempotency-Key"),
			Path: r.URL.RequestURI(), At: time.Now().UnixMicro(),
		}
		u.audit.Write(record)
		h(w, r)
		record.Ended = true
		u.audit.Write(record)
	}
}

// work waits for the duration of the request. It returns false if the client disconnects
// before that.
func (u *Upstream) work(r *http.Request) bool {
	d := u.cfg.Work
	if ms, err := strconv.Atoi(r.FormValue("ms")); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if u.cfg.Slowdown != nil {
		d = time.Duration(float64(d) * u.cfg.Slowdown())
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Hold is the response to POST /hold.
type Hold struct {
	Seat string `json:"seat"`
	VM   string `json:"vm"`
	Run  int64  `json:"run"` // number of requests started when the handler began
	Tag  string `json:"tag"`
}

func (u *Upstream) hold(w http.ResponseWriter, r *http.Request) {
	run := u.runs.Load()
	if !u.work(r) {
		return
	}
	u.mu.Lock()
	u.seats[r.FormValue("seat")] = r.Header.Get("Idempotency-Key")
	u.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Hold{r.FormValue("seat"), u.cfg.VM, run, r.FormValue("tag")})
}

// echo responds with the query's tag, the VM and the request's body.
func (u *Upstream) echo(w http.ResponseWriter, r *http.Request) {
	if !u.work(r) {
		return
	}
	fmt.Fprintf(w, "tag=%s vm=%s body=", r.URL.Query().Get("tag"), u.cfg.VM)
	_, _ = io.Copy(w, r.Body)
}

// big responds with the tag repeated line by line, at most n bytes in all.
func (u *Upstream) big(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.FormValue("n"))
	tag := r.FormValue("tag") + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(n/len(tag)*len(tag)))
	_, _ = io.WriteString(w, strings.Repeat(tag, n/len(tag)))
}

// feed streams count events, one every ms milliseconds, and then an end event.
func (u *Upstream) feed(w http.ResponseWriter, r *http.Request) {
	count, _ := strconv.Atoi(r.FormValue("count"))
	ms, _ := strconv.Atoi(r.FormValue("ms"))
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	tick := time.NewTicker(time.Duration(max(1, ms)) * time.Millisecond)
	defer tick.Stop()
	for i := range count {
		fmt.Fprintf(w, "data: %s %d\n\n", r.FormValue("tag"), i)
		_ = rc.Flush()
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
	fmt.Fprint(w, "data: end\n\n")
}

// Stats is the response to GET /stats: the number of requests started and the most that
// were in progress at once, both without feeds.
type Stats struct {
	VM   string `json:"vm"`
	Runs int64  `json:"runs"`
	Peak int64  `json:"peak"`
}

func (u *Upstream) stats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(Stats{u.cfg.VM, u.runs.Load(), u.peak.Load()})
}
