package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/problem"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/relay"
)

// maxProblemBytes bounds the body of an agent's refusal, in bytes.
const maxProblemBytes = 64 << 10

// attempt is one attempt to send a request to one upstream. It ends with a response,
// or with a problem that says whether the request ran.
type attempt struct {
	c       *call
	vm      rudderfork.VMID
	start   time.Time
	resp    *http.Response
	problem *rudderfork.Problem
	final   bool // another upstream would give the same result
	watcher *interimWatcher
	silent  bool // given up because the agent's interim responses were missing
}

// send forwards the request to a VM's agent. cl is nil for a request without a claim.
func (c *call) send(vm rudderfork.VMID, cl *claimed) *attempt {
	a := &attempt{c: c, vm: vm, start: steady.Now()}
	info, ok := c.h.fleet.info(vm)
	if !ok {
		c.pool.done(vm, 0, true)
		a.problem = c.unavailable("no-upstream", "the upstream has left")
		return a
	}
	req, err := http.NewRequestWithContext(c.ctx, c.r.Method, "http://"+info.Addr+c.url.RequestURI(), nil)
	if err != nil {
		c.pool.done(vm, 0, false)
		a.problem = problem.New(http.StatusBadRequest, "malformed", err.Error(), rudderfork.RanNo)
		a.final = true
		return a
	}
	c.prepare(req, cl)
	req, a.watcher = watchInterim(req, func() bool { return c.h.fleet.link(vm).sendsInterim() })
	resp, err := c.h.fleet.transport.RoundTrip(req)
	if a.silent = a.watcher.stop(); a.silent && err == nil {
		err = errors.Join(errNoInterim, resp.Body.Close()) // the response came while the attempt was being given up
	}
	if err != nil {
		a.watcher.cancel(nil)
		a.setFailure(err)
		return a
	}
	if l, ok := relay.DecodeLoad(resp.Header.Get(relay.HeaderLoad)); ok {
		c.pool.observe(vm, l)
	}
	if resp.Header.Get(problem.Header) != "" {
		a.setRefusal(resp)
		return a
	}
	a.resp = resp
	return a
}

// prepare sets the headers and the body of the request to an agent.
func (c *call) prepare(req *http.Request, cl *claimed) {
	relay.CopyHeader(req.Header, c.r.Header)
	req.Header.Set(relay.HeaderService, string(c.service))
	req.Header.Set(relay.HeaderRequest, c.id)
	req.Header.Del(relay.HeaderDeadline)
	if !c.deadline.IsZero() {
		req.Header.Set(relay.HeaderDeadline, strconv.FormatInt(rudderfork.Millis(c.deadline), 10))
	}
	if cl != nil {
		req.Header.Set(relay.HeaderClaim, strconv.FormatUint(uint64(cl.claim.Token), 10))
		req.Header.Set(relay.HeaderBoot, cl.claim.Boot)
		req.Header.Set(relay.HeaderExpires, strconv.FormatInt(cl.claim.Expires, 10))
	}
	relay.HideKey(req.Header)
	req.Host = c.r.Host
	c.body.attach(req)
}

// setFailure records the problem of an attempt that got no response, and reports the
// attempt to the picker.
func (a *attempt) setFailure(err error) {
	c := a.c
	switch {
	case a.silent:
		c.pool.done(a.vm, 0, true)
		relay.CloseIdleAfter(c.h.fleet.transport, errNoInterim)
		c.h.metrics.silent.Inc()
		c.h.log.Warn().Str("request", c.id).Str("node_vm", string(a.vm)).Msg("request_silent")
		a.problem = problem.New(http.StatusBadGateway, "upstream-failed", "the agent of "+string(a.vm)+" fell silent before an answer came", rudderfork.RanUnknown)
		a.problem.RetryAt = steady.Now().Add(retryDelay)
	case relay.NotSent(err):
		c.pool.done(a.vm, 0, true)
		a.problem = c.unavailable("unreachable", "the upstream "+string(a.vm)+" cannot be reached")
	case deadlinePassed(err):
		c.pool.done(a.vm, steady.Now().Sub(a.start), false)
		if a.watcher.maybeSilent() {
			relay.CloseIdleAfter(c.h.fleet.transport, err)
		}
		a.problem = problem.New(http.StatusGatewayTimeout, "deadline", "no answer came by the deadline", rudderfork.RanUnknown)
		a.problem.RetryAt = steady.Now().Add(retryDelay)
		a.final = true
	default:
		c.pool.done(a.vm, 0, c.r.Context().Err() == nil)
		a.problem = problem.New(http.StatusBadGateway, "upstream-failed", "the connection to "+string(a.vm)+" broke before an answer came", rudderfork.RanUnknown)
		a.problem.RetryAt = steady.Now().Add(retryDelay)
	}
}

// setRefusal records the problem of an attempt that the agent refused, and reports the
// attempt to the picker.
func (a *attempt) setRefusal(resp *http.Response) {
	defer a.watcher.cancel(nil)
	defer resp.Body.Close()
	a.problem = &rudderfork.Problem{}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(a.problem)
	if err != nil || a.problem.Ran == "" {
		a.problem = problem.New(http.StatusBadGateway, "upstream-failed", "the agent's refusal broke off", rudderfork.RanUnknown)
	}
	a.final = a.problem.Status == http.StatusBadRequest || a.problem.Status == http.StatusNotFound
	kind := a.problem.Type
	failed := kind == problem.TypeBase+"upstream-down" || kind == problem.TypeBase+"upstream-failed"
	a.c.pool.done(a.vm, 0, failed) // the time of a refusal says nothing about the upstream's latency
}

// close ends an attempt that got a response, and reports it to the picker. It must be
// called after the body was read, also if reading failed.
func (a *attempt) close() {
	_ = a.resp.Body.Close() // a response that is cut off has been aborted for the caller too
	a.watcher.cancel(nil)
	latency := steady.Now().Sub(a.start)
	if a.c.feed {
		latency = 0
	}
	a.c.pool.done(a.vm, latency, a.resp.StatusCode >= http.StatusInternalServerError)
}
