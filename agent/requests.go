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

// requestServer serves the requests and the sessions of entries.
type requestServer struct {
	cfg      Settings
	boot     string
	table    *node.Table
	log      zerolog.Logger
	rec      rudderfork.Recorder
	services map[rudderfork.Service]*service
	entries  *entries
	conns    *conns

	mu             sync.Mutex
	stopping       string // the reason; "" if the agent isn't stopping
	draining       bool   // control drains the VM
	claims         *claim.Store
	activeRequests int // in progress
}

func newRequestServer(cfg Settings, boot string, t *node.Table, log zerolog.Logger, rec rudderfork.Recorder) *requestServer {
	rs := &requestServer{
		cfg: cfg, boot: boot, table: t, log: log, rec: rec,
		services: map[rudderfork.Service]*service{}, claims: claim.New(),
		entries: newEntries(), conns: newConns(),
	}
	for _, u := range cfg.Upstreams {
		rs.services[u.Service] = newService(u, t)
	}
	return rs
}

func (rs *requestServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rudderfork/session", rs.session)
	mux.HandleFunc("/", rs.request)
	return mux
}

// String names the service in the supervisor's log. The name is kept for operators who
// search logs.
func (rs *requestServer) String() string { return "front" }

// Serve implements suture.Service: it refuses queued requests that can no longer
// meet their deadline.
func (rs *requestServer) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, s := range rs.services {
		wg.Go(func() { s.expireLoop(ctx) })
	}
	wg.Wait()
	<-ctx.Done()
	return ctx.Err()
}

func (rs *requestServer) tableChanged() {
	for _, s := range rs.services {
		s.setLimits()
	}
}

// stopAccepting makes the agent refuse all new requests, and announces the stop to the entries. It
// must be called only once.
func (rs *requestServer) stopAccepting(reason string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.stopping = reason
	close(rs.entries.stopping)
}

func (rs *requestServer) setDraining(v bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.draining = v
}

func (rs *requestServer) isLeaving() bool { return rs.leavingReason() != "" }

func (rs *requestServer) leavingReason() string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.stopping == "" && rs.draining {
		return "the VM is leaving"
	}
	return rs.stopping
}

func (rs *requestServer) inProgress() int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.activeRequests
}

// idle reports whether no request is in progress and all answers have been written
// completely.
func (rs *requestServer) idle() bool { return rs.inProgress() == 0 && rs.conns.idle() }

// noneInTransit reports, after stopAccepting, whether no request can be in transit:
// every entry with a session is drained, and no connection was used for
// connUnusedAfter.
func (rs *requestServer) noneInTransit() bool {
	return rs.entries.allDrained() && rs.conns.unused(steady.Now())
}

// closeConnIfStopping closes the connection after this answer if the agent is
// stopping, so that no request can follow on it.
func (rs *requestServer) closeConnIfStopping(w http.ResponseWriter) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.stopping != "" {
		w.Header().Set("Connection", "close")
	}
}

// beginRequest counts a request, or returns the reason to refuse it if the agent is
// leaving. Check and count happen under one lock, so that a stopping agent doesn't
// overlook a request.
func (rs *requestServer) beginRequest() (reason string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	switch {
	case rs.stopping != "":
		return rs.stopping
	case rs.draining:
		return "the VM is leaving"
	}
	rs.activeRequests++
	return ""
}

func (rs *requestServer) endRequest() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.activeRequests--
}

// refuse answers with a problem that says that the request did not run.
func (rs *requestServer) refuse(w http.ResponseWriter, r *http.Request, status int, kind, detail string, retryAt time.Time) {
	p := problem.New(status, kind, detail, rudderfork.RanNo)
	p.RetryAt = retryAt
	p.Request = r.Header.Get(relay.HeaderRequest)
	p.Version = rs.table.Revision()
	rs.closeConnIfStopping(w)
	problem.Write(w, p)
	rs.event("refused", r, detail)
}

func (rs *requestServer) event(kind string, r *http.Request, text string) {
	rs.rec.Record(rudderfork.Event{
		Kind: kind, Subject: r.Header.Get(relay.HeaderRequest), Revision: rs.table.Revision(), Text: text,
	})
}

// retryDelay is the delay after which an entry or a client may retry, for refusals
// for which the admission queue gives no estimate.
const retryDelay = 500 * time.Millisecond

func (rs *requestServer) request(w http.ResponseWriter, r *http.Request) {
	w, stop := relay.SendInterim(w, r)
	defer stop()
	defer relay.LimitBodyReads(w, r)()
	s := rs.services[rudderfork.Service(r.Header.Get(relay.HeaderService))]
	if s == nil {
		rs.refuse(w, r, http.StatusNotFound, "no-service", "no such service here", time.Time{})
		return
	}
	if reason := rs.beginRequest(); reason != "" {
		w.Header().Set(relay.HeaderLoad, relay.EncodeLoad(rudderfork.Load{Leaving: true}))
		rs.refuse(w, r, http.StatusServiceUnavailable, "leaving", reason, steady.Now().Add(retryDelay))
		return
	}
	defer rs.endRequest()
	if !rs.table.Known() {
		rs.refuse(w, r, http.StatusServiceUnavailable, "no-table", "the table is not known here yet", steady.Now().Add(retryDelay))
		return
	}
	c, err := parseClaim(r)
	if err != nil {
		rs.refuse(w, r, http.StatusBadRequest, "malformed", err.Error(), time.Time{})
		return
	}
	if c == nil {
		rs.serve(w, r, s, nil)
		return
	}
	rs.serveClaimed(w, r, s, c)
}

// serveClaimed runs a request with a claim if its token was not used before.
func (rs *requestServer) serveClaimed(w http.ResponseWriter, r *http.Request, s *service, c *activeClaim) {
	if c.boot != rs.boot {
		rs.refuse(w, r, http.StatusConflict, "other-boot", "the claim names an earlier start of this agent", time.Time{})
		return
	}
	rs.mu.Lock()
	err := rs.claims.Begin(c.key, c.token, c.expires, steady.Now())
	rs.mu.Unlock()
	if err != nil {
		rs.refuse(w, r, http.StatusConflict, "claim-used", err.Error(), time.Time{})
		return
	}
	crash.Point(crash.AgentBegun)
	c.server = rs
	defer c.recordResult() // also when copying the answer is aborted
	rs.serve(w, r, s, c)
}

// serve admits a request and forwards it to the upstream.
func (rs *requestServer) serve(w http.ResponseWriter, r *http.Request, s *service, c *activeClaim) {
	deadline, err := relay.Deadline(r.Header)
	if err != nil {
		c.setNotRun()
		rs.refuse(w, r, http.StatusBadRequest, "malformed", err.Error(), time.Time{})
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
		w.Header().Set(relay.HeaderLoad, relay.EncodeLoad(rs.load(s)))
		rs.refuse(w, r, http.StatusServiceUnavailable, ref.kind, ref.reason, ref.retryAt)
		return
	}
	defer adm.release()
	rs.event("admitted", r, "")
	rs.forward(ctx, w, r, s, adm, c)
}

// load returns the load of a service as reported to entries.
func (rs *requestServer) load(s *service) rudderfork.Load {
	l := s.load()
	l.Leaving = rs.isLeaving()
	return l
}

// session serves the session of one entry: it answers probes of the load, and fences
// off claimed requests.
func (rs *requestServer) session(w http.ResponseWriter, r *http.Request) {
	conn, err := wire.Accept[wire.ToEntry, wire.ToAgent](w, r, wire.ProbeSession)
	if err != nil {
		rs.log.Warn().Err(err).Msg("entry_refused")
		return
	}
	defer conn.Close()
	rs.entries.add(conn)
	defer rs.entries.remove(conn)
	if conn.Send(r.Context(), wire.ToEntry{InterimAnswers: true}) != nil {
		return // the entry opens another session
	}
	go func() {
		if err := rs.entries.announceStop(r.Context(), conn); err != nil {
			rs.log.Warn().Err(err).Msg("entry_not_told")
			conn.Close() // the entry opens another session and gets the message there
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
			if s := rs.services[m.Probe.Service]; s != nil {
				out.Load.Load = rs.load(s)
			}
		case m.Fence != nil:
			out.Fenced = rs.fence(*m.Fence)
		case m.Drained:
			rs.entries.setDrained(conn)
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
func (rs *requestServer) fence(q wire.Fence) *wire.Fenced {
	out := &wire.Fenced{ID: q.ID, State: wire.RequestUnknown}
	if q.Boot != rs.boot {
		return out
	}
	window := rs.table.Service(q.Key.Service, rudderfork.ColClaimWindow)
	expires := steady.Now().Add(time.Duration(window) * time.Second)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	out.State, out.Answer = rs.claims.Fence(q.Key, q.Token, expires, steady.Now())
	return out
}

// usage returns the usage of each service since the last call.
func (rs *requestServer) usage() []wire.ServiceUsage {
	var us []wire.ServiceUsage
	for _, s := range rs.services {
		us = append(us, s.usage())
	}
	return us
}

// pressure returns the highest ratio of tail latency to target among the services,
// each in its last complete window.
func (rs *requestServer) pressure() float64 {
	worst := 0.0
	for _, s := range rs.services {
		worst = max(worst, s.pressure())
	}
	return worst
}
