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

// front serves requests and sessions of entries. It has nothing to do with package
// front.
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
	stopping string // the reason; "" if the agent isn't stopping
	draining bool   // control drains the VM
	claims   *claim.Store
	requests int // in progress
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

// Serve implements suture.Service: it refuses queued requests that can no longer
// meet their deadline.
func (f *front) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, s := range f.services {
		wg.Go(func() { s.expireLoop(ctx) })
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

// stopAccepting makes the agent refuse all new requests, and tells the entries. It
// must be called only once.
func (f *front) stopAccepting(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = reason
	close(f.entries.stopping)
}

func (f *front) setDraining(v bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = v
}

func (f *front) isLeaving() bool { return f.leavingReason() != "" }

func (f *front) leavingReason() string {
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
	return f.requests
}

// idle reports whether no request is in progress and all answers have been written
// completely.
func (f *front) idle() bool { return f.inProgress() == 0 && f.conns.idle() }

// noneInTransit reports, after stopAccepting, whether no request can be in transit:
// every entry with a session is drained, and no connection was used for
// connUnusedAfter.
func (f *front) noneInTransit() bool { return f.entries.allDrained() && f.conns.unused(steady.Now()) }

// closeConnIfStopping closes the connection after this answer if the agent is
// stopping, so that no request can follow on it.
func (f *front) closeConnIfStopping(w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping != "" {
		w.Header().Set("Connection", "close")
	}
}

// beginRequest counts a request, or returns the reason to refuse it if the agent is
// leaving. Check and count happen under one lock, so that a stopping agent doesn't
// overlook a request.
func (f *front) beginRequest() (reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.stopping != "":
		return f.stopping
	case f.draining:
		return "the VM is leaving"
	}
	f.requests++
	return ""
}

func (f *front) endRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests--
}

// refuse answers with a problem that says that the request did not run.
func (f *front) refuse(w http.ResponseWriter, r *http.Request, status int, kind, detail string, retryAt time.Time) {
	p := problem.New(status, kind, detail, rudderfork.RanNo)
	p.RetryAt = retryAt
	p.Request = r.Header.Get(relay.HeaderRequest)
	p.Version = f.table.Revision()
	f.closeConnIfStopping(w)
	problem.Write(w, p)
	f.event("refused", r, detail)
}

func (f *front) event(kind string, r *http.Request, text string) {
	f.rec.Record(rudderfork.Event{
		Kind: kind, Subject: r.Header.Get(relay.HeaderRequest), Revision: f.table.Revision(), Text: text,
	})
}

// retryDelay is the delay after which an entry or a client may retry, for refusals
// for which the admission queue gives no estimate.
const retryDelay = 500 * time.Millisecond

func (f *front) request(w http.ResponseWriter, r *http.Request) {
	w, stop := relay.SendInterim(w, r)
	defer stop()
	defer relay.LimitBodyReads(w, r)()
	s := f.services[rudderfork.Service(r.Header.Get(relay.HeaderService))]
	if s == nil {
		f.refuse(w, r, http.StatusNotFound, "no-service", "no such service here", time.Time{})
		return
	}
	if reason := f.beginRequest(); reason != "" {
		w.Header().Set(relay.HeaderLoad, relay.EncodeLoad(rudderfork.Load{Leaving: true}))
		f.refuse(w, r, http.StatusServiceUnavailable, "leaving", reason, steady.Now().Add(retryDelay))
		return
	}
	defer f.endRequest()
	if !f.table.Known() {
		f.refuse(w, r, http.StatusServiceUnavailable, "no-table", "the table is not known here yet", steady.Now().Add(retryDelay))
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

// serveClaimed runs a request with a claim if its token was not used before.
func (f *front) serveClaimed(w http.ResponseWriter, r *http.Request, s *service, c *activeClaim) {
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
	defer c.recordResult() // also when copying the answer is aborted
	f.serve(w, r, s, c)
}

// serve admits a request and forwards it to the upstream.
func (f *front) serve(w http.ResponseWriter, r *http.Request, s *service, c *activeClaim) {
	deadline, err := relay.Deadline(r.Header)
	if err != nil {
		c.setNotRun()
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
		c.setNotRun()
		w.Header().Set(relay.HeaderLoad, relay.EncodeLoad(f.load(s)))
		f.refuse(w, r, http.StatusServiceUnavailable, ref.kind, ref.reason, ref.retryAt)
		return
	}
	defer adm.release()
	f.event("admitted", r, "")
	f.forward(ctx, w, r, s, adm, c)
}

// load returns the load of a service as reported to entries.
func (f *front) load(s *service) rudderfork.Load {
	l := s.load()
	l.Leaving = f.isLeaving()
	return l
}

// session serves the session of one entry: it answers probes of the load, and fences
// off claimed requests.
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
		return // the entry opens another session
	}
	go func() {
		if err := f.entries.announceStop(r.Context(), conn); err != nil {
			f.log.Warn().Err(err).Msg("entry_not_told")
			conn.Close() // the entry opens another session and is told there
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
			f.entries.setDrained(conn)
			continue
		default:
			continue
		}
		if conn.Send(r.Context(), out) != nil {
			return
		}
	}
}

// fence returns the state of a claimed request. A request that has not come here yet
// will be refused. The state is unknown if the claim was for an earlier start of the
// agent, since the store of claims is lost when the agent ends.
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

// usage returns the usage of each service since the last call.
func (f *front) usage() []wire.ServiceUsage {
	var us []wire.ServiceUsage
	for _, s := range f.services {
		us = append(us, s.usage())
	}
	return us
}

// pressure returns the highest ratio of tail latency to target among the services,
// each in its last complete window.
func (f *front) pressure() float64 {
	worst := 0.0
	for _, s := range f.services {
		worst = max(worst, s.pressure())
	}
	return worst
}
