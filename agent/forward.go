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

// onceBody hides all methods of a body but Read and Close, so that net/http cannot
// rewind the body and send the request a second time.
type onceBody struct{ io.ReadCloser }

// forward sends an admitted request to the upstream and copies its answer back.
func (rs *requestServer) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, s *service, adm *admitted, c *activeClaim) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+s.addr+r.URL.RequestURI(), nil)
	if err != nil {
		c.setNotRun()
		rs.refuse(w, r, http.StatusBadRequest, "malformed", err.Error(), time.Time{})
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
		relay.CloseIdleAfter(s.pooled, err)
		rs.forwardFailed(w, r, c, err)
		return
	}
	defer resp.Body.Close()
	adm.headerAt = steady.Now()
	if c != nil {
		crash.Point(crash.AgentForwarded)
	}
	resp.Header.Del(problem.Header) // only agents and entries may say whether a request ran
	w.Header().Set(relay.HeaderLoad, relay.EncodeLoad(rs.load(s)))
	rs.closeConnIfStopping(w)
	cp := c.captureAnswer(resp)
	if cp == nil {
		relay.WriteResponse(w, resp, nil)
	} else {
		relay.WriteResponse(w, resp, cp)
	}
	c.setDone()
	rs.event("answered", r, resp.Status)
}

// forwardFailed responds to a request that the upstream has not answered. The request
// is known not to have run only if no connection to the upstream could be made.
func (rs *requestServer) forwardFailed(w http.ResponseWriter, r *http.Request, c *activeClaim, err error) {
	if relay.NotSent(err) {
		c.setNotRun()
		w.Header().Set(relay.HeaderLoad, relay.EncodeLoad(rudderfork.Load{Down: true}))
		rs.refuse(w, r, http.StatusServiceUnavailable, "upstream-down", "the upstream does not listen", steady.Now().Add(retryDelay))
		return
	}
	status, kind := http.StatusBadGateway, "upstream-failed"
	if errors.Is(err, context.DeadlineExceeded) {
		status, kind = http.StatusGatewayTimeout, "deadline"
	}
	p := problem.New(status, kind, "the upstream gave no answer", rudderfork.RanUnknown)
	p.Request = r.Header.Get(relay.HeaderRequest)
	p.RetryAt = steady.Now().Add(retryDelay)
	problem.Write(w, p)
	rs.event("failed", r, err.Error())
}
