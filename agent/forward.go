package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/crash"
	"rudderfork.example/rudderfork/internal/problem"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/relay"
)

// onceBody hides everything of a body but Read and Close, so that the standard
// client finds no way to send it a second time.
type onceBody struct{ io.ReadCloser }

// forward passes an admitted request to the upstream and its answer back.
func (f *front) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, s *service, adm *admitted, c *claimRef) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+s.addr+r.URL.RequestURI(), nil)
	if err != nil {
		c.notRun()
		f.refuse(w, r, http.StatusBadRequest, "malformed", err.Error(), time.Time{})
		return
	}
	relay.CopyHeader(req.Header, r.Header)
	relay.HideKey(req.Header)
	req.Host = r.Host
	req.ContentLength = r.ContentLength
	if r.ContentLength != 0 {
		req.Body = onceBody{r.Body}
	}
	adm.started = steady.Now()
	resp, err := s.transport(c != nil).RoundTrip(req)
	if err != nil {
		relay.Renew(s.hc, err)
		f.forwardFailed(w, r, c, err)
		return
	}
	defer resp.Body.Close()
	adm.headerAt = steady.Now()
	if c != nil {
		crash.Point(crash.AgentForwarded)
	}
	resp.Header.Del(problem.Header) // only agents and entries vouch
	w.Header().Set(relay.HeaderLoad, relay.EncodeLoad(f.load(s)))
	f.setLast(w)
	cp := c.answered(resp)
	if cp == nil {
		relay.WriteAnswer(w, resp, nil)
	} else {
		relay.WriteAnswer(w, resp, cp)
	}
	c.whole()
	f.event("answered", r, resp.Status)
}

// forwardFailed answers for an upstream that gave no answer. Only a connection
// that was never made shows that the request did not run.
func (f *front) forwardFailed(w http.ResponseWriter, r *http.Request, c *claimRef, err error) {
	if relay.NotSent(err) {
		c.notRun()
		w.Header().Set(relay.HeaderLoad, relay.EncodeLoad(rudderfork.Load{Down: true}))
		f.refuse(w, r, http.StatusServiceUnavailable, "upstream-down", "the upstream does not listen", steady.Now().Add(retryPause))
		return
	}
	status, kind := http.StatusBadGateway, "upstream-failed"
	if errors.Is(err, context.DeadlineExceeded) {
		status, kind = http.StatusGatewayTimeout, "deadline"
	}
	p := problem.New(status, kind, "the upstream gave no answer", rudderfork.RanUnknown)
	p.Request = r.Header.Get(relay.HeaderRequest)
	p.RetryAt = steady.Now().Add(retryPause)
	problem.Write(w, p)
	f.event("failed", r, err.Error())
}
