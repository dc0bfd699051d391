package agent

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/relay"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// activeClaim is the claim of a request that is being handled. It is nil for a
// request without a claim.
type activeClaim struct {
	key     state.ClaimKey
	token   rudderfork.Token
	boot    string // boot ID of the agent for which the claim was granted
	expires time.Time

	server      *requestServer
	state       wire.RequestState // RequestUnknown until setNotRun or setDone is called
	capture     *relay.Capture    // body of the upstream's answer; nil before
	status      int               // of the upstream's answer, like contentType
	contentType string
}

// parseClaim reads the claim from a request's headers. It returns nil if there is
// none.
func parseClaim(r *http.Request) (c *activeClaim, err error) {
	v := r.Header.Get(relay.HeaderClaim)
	if v == "" {
		return nil, nil //nolint:nilnil // a request without a claim is valid
	}
	token, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", relay.HeaderClaim, err)
	}
	ms, err := strconv.ParseInt(r.Header.Get(relay.HeaderExpires), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", relay.HeaderExpires, err)
	}
	return &activeClaim{
		key:   state.ClaimKey{Service: rudderfork.Service(r.Header.Get(relay.HeaderService)), Key: r.Header.Get(relay.HeaderKey)},
		token: rudderfork.Token(token), boot: r.Header.Get(relay.HeaderBoot),
		expires: rudderfork.FromMillis(ms), state: wire.RequestUnknown,
	}, nil
}

// setNotRun records that the request was not sent to the upstream.
func (c *activeClaim) setNotRun() {
	if c != nil {
		c.state = wire.RequestNever
	}
}

// captureAnswer records status and content type of the upstream's answer. It returns
// the capture to which the body is to be copied, or nil without a claim.
func (c *activeClaim) captureAnswer(resp *http.Response) *relay.Capture {
	if c == nil {
		return nil
	}
	c.status, c.contentType = resp.StatusCode, resp.Header.Get("Content-Type")
	c.capture = relay.NewCapture(state.MaxAnswerBytes)
	return c.capture
}

// setDone records that the answer is complete.
func (c *activeClaim) setDone() {
	if c != nil {
		c.state = wire.RequestDone
	}
}

// recordResult stores the outcome of the request in the store of claims.
func (c *activeClaim) recordResult() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch c.state {
	case wire.RequestNever:
		c.server.claims.NotRun(c.key, c.token)
	case wire.RequestDone:
		c.server.claims.Done(c.key, c.token, &state.Answer{
			Status: c.status, ContentType: c.contentType, Body: c.capture.Body(), Partial: c.capture.Partial(),
		})
	default:
		c.server.claims.Unknown(c.key, c.token)
	}
}
