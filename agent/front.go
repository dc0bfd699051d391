package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/claim"
	"rudderfork.example/rudderfork/internal/crash"
	"rudderfork.example/rudderfork/internal/problem"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/node"
	"rudderfork.example/rudderfork/relay"
	"rudderfork.example/rudderfork/wire"
)

// front takes requests from entries.
type front struct {
	cfg      Settings
	boot     string
	table    *node.Table
	log      zerolog.Logger
	rec      rudderfork.Recorder
	services map[rudderfork.Service]*service
	entries  *entries
	conns    *conns

	mu       sync.Mutex
	stopping string // why; "" if not
	draining bool
	claims   *claim.Store
	progress int
}

func newFront(cfg Settings, boot string, t *node.Table, log zerolog.Logger, rec rudderfork.Recorder) *front {
	f := &front{
		cfg: cfg, boot: boot, table: t, log: log, rec: rec,
		services: map[rudderfork.Service]*service{}, claims: claim.New(),
		entries: newEntries(), conns: newConns(),
	}
	for _, u := range cfg.Upstreams {
		f.services[u.Service] = newService(u, t)
	}
	return f
}

func (f *front) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rudderfork/session", f.session)
	mux.HandleFunc("/", f.request)
	return mux
}

// String names the service in the supervisor's log.
func (f *front) String() string { return "front" }

// Serve implements suture.Service: it refuses waiting requests that have become
// too late. While none waits it sleeps.
func (f *front) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, s := range f.services {
		wg.Go(func() { s.watch(ctx) })
	}
	wg.Wait()
	<-ctx.Done()
	return ctx.Err()
}

func (f *front) tableChanged() {
	for _, s := range f.services {
		s.setLimits()
	}
}

// leave makes the agent refuse new requests for good, and tells the entries. It
// must be called once.
func (f *front) leave(why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = why
	close(f.entries.stopping)
}

func (f *front) setDraining(v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = v
}

func (f *front) isLeaving() bool { return f.leavingWhy() != "" }

func (f *front) leavingWhy() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping == "" && f.draining {
		return "the VM is leaving"
	}
	return f.stopping
}

func (f *front) inProgress() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.progress
}

// idle reports whether nothing is in progress: no request is served, and all
// answers were written to the last byte.
func (f *front) idle() bool { return f.inProgress() == 0 && f.conns.idle() }

// quiet reports, of a front that is left, whether no request can be on its way:
// every entry with a session has said so, and one without has sent nothing for
// long enough.
func (f *front) quiet() bool { return f.entries.allQuiet() && f.conns.settled(steady.Now()) }

// setLast lets the answer be the last one on its connection if the agent is
// stopping, so that no request can follow it there.
func (f *front) setLast(w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping != "" {
		w.Header().Set("Connection", "close")
	}
}

// enter counts a request in, unless the agent is leaving. Both happen under one
// lock, so that a stop that has seen no request in progress misses none.
func (f *front) enter() (why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.stopping != "":
		return f.stopping
	case f.draining:
		return "the VM is leaving"
	}
	f.progress++
	return ""
}

func (f *front) exit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progress--
}

// refuse answers that the request did not run.
func (f *front) refuse(w http.ResponseWriter, r *http.Request, status int, kind, detail string, retryAt time.Time) {
	p := problem.New(status, kind, detail, rudderfork.RanNo)
	p.RetryAt = retryAt
	p.Request = r.Header.Get(relay.HeaderRequest)
	p.Version = f.table.Revision()
	f.setLast(w)
	problem.Write(w, p)
	f.event("refused", r, detail)
}

func (f *front) event(kind string, r *http.Request, text string) {
	f.rec.Record(rudderfork.Event{
		Kind: kind, Subject: r.Header.Get(relay.HeaderRequest), Revision: f.table.Revision(), Text: text,
	})
}

// retryPause is when to come back after a refusal that no queue explains.
const retryPause = 500 * time.Millisecond

func (f *front) request(w http.ResponseWriter, r *http.Request) {
	w, stop := relay.GiveSigns(w, r)
	defer stop()
	defer relay.BoundBody(w, r)()
	s := f.services[rudderfork.Service(r.Header.Get(relay.HeaderService))]
	if s == nil {
		f.refuse(w, r, http.StatusNotFound, "no-service", "no such service here", time.Time{})
		return
	}
	if why := f.enter(); why != "" {
		w.Header().Set(relay.HeaderLoad, relay.EncodeLoad(rudderfork.Load{Leaving: true}))
		f.refuse(w, r, http.StatusServiceUnavailable, "leaving", why, steady.Now().Add(retryPause))
		return
	}
	defer f.exit()
	if !f.table.Known() {
		f.refuse(w, r, http.StatusServiceUnavailable, "no-table", "the table is not known here yet", steady.Now().Add(retryPause))
		return
	}
	c, err := parseClaim(r)
	if err != nil {
		f.refuse(w, r, http.StatusBadRequest, "malformed", err.Error(), time.Time{})
		return
	}
	if c == nil {
		f.serve(w, r, s, nil)
		return
	}
	f.serveClaimed(w, r, s, c)
}

// serveClaimed runs a claimed request if its token was not seen.
func (f *front) serveClaimed(w http.ResponseWriter, r *http.Request, s *service, c *claimRef) {
	if c.boot != f.boot {
		f.refuse(w, r, http.StatusConflict, "other-boot", "the claim names an earlier start of this agent", time.Time{})
		return
	}
	f.mu.Lock()
	err := f.claims.Begin(c.key, c.token, c.expires, steady.Now())
	f.mu.Unlock()
	if err != nil {
		f.refuse(w, r, http.StatusConflict, "claim-used", err.Error(), time.Time{})
		return
	}
	crash.Point(crash.AgentBegun)
	c.front = f
	defer c.settle() // also when the copy of the answer is cut
	f.serve(w, r, s, c)
}

// serve admits a request and passes it to the upstream.
func (f *front) serve(w http.ResponseWriter, r *http.Request, s *service, c *claimRef) {
	deadline, err := relay.Deadline(r.Header)
	if err != nil {
		c.notRun()
		f.refuse(w, r, http.StatusBadRequest, "malformed", err.Error(), time.Time{})
		return
	}
	ctx := r.Context()
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	adm, ref := s.admit(ctx, r, deadline)
	if ref != nil {
		c.notRun()
		w.Header().Set(relay.HeaderLoad, relay.EncodeLoad(f.load(s)))
		f.refuse(w, r, http.StatusServiceUnavailable, ref.kind, ref.reason, ref.retryAt)
		return
	}
	defer adm.release()
	f.event("admitted", r, "")
	f.forward(ctx, w, r, s, adm, c)
}

// load is what entries are told of a service.
func (f *front) load(s *service) rudderfork.Load {
	l := s.load()
	l.Leaving = f.isLeaving()
	return l
}

// session answers probes and fences of one entry.
func (f *front) session(w http.ResponseWriter, r *http.Request) {
	conn, err := wire.Accept[wire.ToEntry, wire.ToAgent](w, r, wire.ProbeSession)
	if err != nil {
		f.log.Warn().Err(err).Msg("entry_refused")
		return
	}
	defer conn.Close()
	f.entries.add(conn)
	defer f.entries.remove(conn)
	if conn.Send(r.Context(), wire.ToEntry{InterimAnswers: true}) != nil {
		return // the entry opens another
	}
	go func() {
		if err := f.entries.tell(r.Context(), conn); err != nil {
			f.log.Warn().Err(err).Msg("entry_not_told")
			conn.Close() // it opens another, and is told there
		}
	}()
	for {
		m, err := conn.Receive(r.Context())
		if err != nil {
			return
		}
		var out wire.ToEntry
		switch {
		case m.Probe != nil:
			out.Load = &wire.LoadReport{Service: m.Probe.Service, Load: rudderfork.Load{Down: true}}
			if s := f.services[m.Probe.Service]; s != nil {
				out.Load.Load = f.load(s)
			}
		case m.Fence != nil:
			out.Fenced = f.fence(*m.Fence)
		case m.Drained:
			f.entries.setQuiet(conn)
			continue
		default:
			continue
		}
		if conn.Send(r.Context(), out) != nil {
			return
		}
	}
}

func (f *front) fence(q wire.Fence) *wire.Fenced {
	out := &wire.Fenced{ID: q.ID, State: wire.RequestUnknown}
	if q.Boot != f.boot {
		return out
	}
	window := f.table.Service(q.Key.Service, rudderfork.ColClaimWindow)
	expires := steady.Now().Add(time.Duration(window) * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	out.State, out.Answer = f.claims.Fence(q.Key, q.Token, expires, steady.Now())
	return out
}

// usage sums up the services since the last call.
func (f *front) usage() []wire.ServiceUsage {
	var us []wire.ServiceUsage
	for _, s := range f.services {
		us = append(us, s.usage())
	}
	return us
}

// pressure is the worst tail latency over its target, over the newest window.
func (f *front) pressure() float64 {
	worst := 0.0
	for _, s := range f.services {
		worst = max(worst, s.pressure())
	}
	return worst
}
