package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/admin"
	"rudderfork.example/rudderfork/internal/problem"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/node"
	"rudderfork.example/rudderfork/relay"
	"rudderfork.example/rudderfork/timeline"
)

// pathPrefix starts the path of every request: /svc/SERVICE/path.
const pathPrefix = "/svc/"

// retryDelay is the delay after which a caller may retry, for problems for which the
// agent gives no time.
const retryDelay = 500 * time.Millisecond

// handler serves the requests of callers.
type handler struct {
	cfg     Settings
	table   *node.Table
	client  *node.Client
	fleet   *fleet
	metrics *metrics
	ring    *timeline.Ring
	log     zerolog.Logger
}

func newHandler(cfg Settings, t *node.Table, c *node.Client, f *fleet, m *metrics, ring *timeline.Ring, log zerolog.Logger) *handler {
	return &handler{cfg, t, c, f, m, ring, log}
}

// call is one request of a caller while it is handled.
type call struct {
	h        *handler
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context //nolint:containedctx // it ends with the call
	id       string
	service  rudderfork.Service
	pool     *pool
	url      *url.URL // path and query for the upstream
	deadline time.Time
	feed     bool // the response stays open, see relay.IsFeed
	body     *body

	// A keyed request may have run before, with the same key. knownNotRun is set once
	// an acquired claim proves that it has not.
	keyed       bool
	knownNotRun bool
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer relay.LimitBodyReads(w, r)()
	c, p := h.parse(w, r)
	if p != nil {
		c.fail(p)
		return
	}
	if !c.deadline.IsZero() {
		var cancel context.CancelFunc
		c.ctx, cancel = context.WithDeadline(c.ctx, c.deadline)
		defer cancel()
	}
	start := steady.Now()
	defer func() {
		h.metrics.seconds.WithLabelValues(string(c.service)).Observe(steady.Now().Sub(start).Seconds())
	}()
	c.pool.addRequest()
	c.event("received", r.Method+" "+c.url.Path)
	if c.keyed {
		c.runClaimed(r.Header.Get(relay.HeaderKey))
		return
	}
	c.run()
}

// parse reads the service, key, deadline and body of a request.
func (h *handler) parse(w http.ResponseWriter, r *http.Request) (c *call, p *rudderfork.Problem) {
	c = &call{h: h, w: w, r: r, ctx: r.Context(), id: r.Header.Get(relay.HeaderRequest), feed: relay.IsFeed(r.Header)}
	if c.id == "" || len(c.id) > maxIDBytes {
		c.id = rand.Text()
	}
	c.keyed = r.Header.Get(relay.HeaderKey) != "" && !relay.IsSafe(r.Method)
	rest, ok := strings.CutPrefix(r.URL.Path, pathPrefix)
	name, path, _ := strings.Cut(rest, "/")
	if !ok || name == "" {
		return c, problem.New(http.StatusNotFound, "no-service", "want a path "+pathPrefix+"SERVICE/...", rudderfork.RanNo)
	}
	c.service = rudderfork.Service(name)
	c.url = &url.URL{Path: "/" + path, RawQuery: r.URL.RawQuery}
	if !h.table.Known() {
		return c, c.unavailable("no-table", "the table is not known here yet")
	}
	if c.pool = h.fleet.lookup(c.service); c.pool == nil {
		return c, problem.New(http.StatusNotFound, "no-service", fmt.Sprintf("no service %q is known", name), rudderfork.RanNo)
	}
	var err error
	if c.deadline, err = relay.Deadline(r.Header); err != nil {
		return c, problem.New(http.StatusBadRequest, "malformed", err.Error(), rudderfork.RanNo)
	}
	if c.deadline.IsZero() && !c.feed {
		c.deadline = steady.Now().Add(h.cfg.Timeout)
	}
	c.body = newBody(r)
	return c, nil
}

// maxIDBytes bounds a caller's request id, in bytes.
const maxIDBytes = 128

// unavailable returns the problem for a request that this entry has sent to no
// upstream.
func (c *call) unavailable(kind, detail string) *rudderfork.Problem {
	ran := rudderfork.RanNo
	if c.keyed && !c.knownNotRun {
		ran = rudderfork.RanUnknown
	}
	p := problem.New(http.StatusServiceUnavailable, kind, detail, ran)
	p.RetryAt = steady.Now().Add(retryDelay)
	return p
}

func (c *call) event(kind, text string) {
	c.h.ring.Record(rudderfork.Event{Kind: kind, Subject: c.id, Revision: c.h.table.Revision(), Text: text})
}

// fail answers the caller with a problem.
func (c *call) fail(p *rudderfork.Problem) {
	p.Request = c.id
	p.Version = c.h.table.Revision()
	c.event("refused", fmt.Sprintf("%d %s, ran: %s", p.Status, p.Detail, p.Ran))
	c.h.metrics.requests.WithLabelValues(string(c.service), "ran_"+string(p.Ran)).Inc()
	problem.Write(c.w, p)
}

// run serves a request without a claim.
func (c *call) run() {
	repeatable := relay.IsSafe(c.r.Method) || c.r.Header.Get(relay.HeaderRepeatable) == "yes"
	var tried []rudderfork.VMID
	var last *attempt
	for range maxAttempts {
		vm, link, reason, ok := c.pickAfter(last, tried)
		if !ok {
			break
		}
		c.event("chosen", string(vm)+": "+reason)
		a := c.send(vm, nil)
		link.release()
		tried = append(tried, vm)
		if a.resp != nil {
			c.writeResponse(a, nil)
			return
		}
		last = a
		retryable := a.problem.Ran == rudderfork.RanNo || repeatable
		if !retryable || !c.body.canSend() || c.ctx.Err() != nil || !c.tryRetry(a) {
			break
		}
	}
	c.giveUp(last)
}

// pick chooses an upstream whose agent is not stopping, other than those in tried. The
// request counts as in flight to that agent until link.release is called; link may be
// nil.
func (c *call) pick(tried []rudderfork.VMID) (vm rudderfork.VMID, link *agentLink, reason string, ok bool) {
	tried = slices.Clone(tried)
	for {
		if vm, reason, ok = c.pool.pick(tried); !ok {
			return vm, nil, reason, false
		}
		if link = c.h.fleet.link(vm); link.acquire() {
			return vm, link, reason, true
		}
		c.pool.done(vm, 0, false)
		tried = append(tried, vm)
	}
}

// pickAfter chooses an upstream for the attempt after last, which is nil at first. If
// none is left but the connection of last went silent, VMs that were tried may be
// chosen again: a new connection may work.
func (c *call) pickAfter(last *attempt, tried []rudderfork.VMID) (vm rudderfork.VMID, link *agentLink, reason string, ok bool) {
	vm, link, reason, ok = c.pick(tried)
	if !ok && last != nil && last.silent {
		return c.pick(nil)
	}
	return vm, link, reason, ok
}

// maxAttempts bounds the attempts for one request.
const maxAttempts = 3

// tryRetry reports whether another attempt may follow a: its result may differ, and the
// retry budget has a retry, which is taken.
func (c *call) tryRetry(a *attempt) bool {
	if a.final {
		return false
	}
	ok := c.pool.tryRetry()
	if ok {
		c.h.metrics.retries.WithLabelValues(string(c.service)).Inc()
		c.event("retry", a.problem.Detail)
	}
	return ok
}

// giveUp answers the caller with the problem of the last attempt.
func (c *call) giveUp(last *attempt) {
	if last == nil {
		c.fail(c.unavailable("no-upstream", "no upstream of the service can take a request now"))
		return
	}
	c.fail(last.problem)
}

// writeResponse forwards an upstream's response to the caller. cp, if not nil, gets a
// copy of the body.
func (c *call) writeResponse(a *attempt, cp *relay.Capture) {
	defer a.close()
	c.w.Header().Set(relay.HeaderRequest, c.id)
	c.w.Header().Set(relay.HeaderUpstream, string(a.vm))
	c.h.metrics.requests.WithLabelValues(string(c.service), "answered").Inc()
	kind := "request"
	if c.feed {
		kind = "feed"
	}
	c.event("answering", fmt.Sprintf("%s: %d from %s", kind, a.resp.StatusCode, a.vm))
	if cp == nil {
		relay.WriteResponse(c.w, a.resp, nil)
		return
	}
	relay.WriteResponse(c.w, a.resp, cp)
}

// explain serves the recorded events of one request as sentences.
func (h *handler) explain(w http.ResponseWriter, r *http.Request) {
	id := r.FormValue("subject")
	var lines []string
	for _, e := range h.ring.Select(timeline.Query{Subject: id}) {
		if e.Subject == id {
			lines = append(lines, fmt.Sprintf("%s: request %s by entry %s, with the table at revision %d: %s.",
				time.UnixMicro(e.At).UTC().Format("15:04:05.000000"), e.Kind, e.Process, e.Revision, e.Text))
		}
	}
	if len(lines) == 0 {
		problem.Write(w, problem.New(http.StatusNotFound, "not-found", "request "+id+" is unknown here, or it was forgotten", rudderfork.RanUnknown))
		return
	}
	admin.WriteJSON(w, map[string]any{"subject": id, "sentences": lines})
}

// deadlinePassed reports whether err means that the caller's deadline has passed.
func deadlinePassed(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
