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

// claimRef is the claim of one request while it runs. A nil claimRef is that of
// a request without one.
type claimRef struct {
	key     state.ClaimKey
	token   rudderfork.Token
	boot    string
	expires time.Time

	front  *front
	fate   wire.RequestState
	answer *relay.Capture
	status int
	ctype  string
}

// parseClaim reads the claim that the entry obtained; nil if there is none.
func parseClaim(r *http.Request) (c *claimRef, err error) {
	v := r.Header.Get(relay.HeaderClaim)
	if v == "" {
		return nil, nil //nolint:nilnil // no claim is no error
	}
	token, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", relay.HeaderClaim, err)
	}
	ms, err := strconv.ParseInt(r.Header.Get(relay.HeaderExpires), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", relay.HeaderExpires, err)
	}
	return &claimRef{
		key:   state.ClaimKey{Service: rudderfork.Service(r.Header.Get(relay.HeaderService)), Key: r.Header.Get(relay.HeaderKey)},
		token: rudderfork.Token(token), boot: r.Header.Get(relay.HeaderBoot),
		expires: rudderfork.FromMillis(ms), fate: wire.RequestUnknown,
	}, nil
}

// notRun notes that the request did not reach the upstream.
func (c *claimRef) notRun() {
	if c != nil {
		c.fate = wire.RequestNever
	}
}

// answered starts to take down the answer.
func (c *claimRef) answered(resp *http.Response) *relay.Capture {
	if c == nil {
		return nil
	}
	c.status, c.ctype = resp.StatusCode, resp.Header.Get("Content-Type")
	c.answer = relay.NewCapture(state.MaxAnswerBytes)
	return c.answer
}

// whole notes that the answer came to its end.
func (c *claimRef) whole() {
	if c != nil {
		c.fate = wire.RequestDone
	}
}

// settle writes down how the request ended.
func (c *claimRef) settle() {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	switch c.fate {
	case wire.RequestNever:
		c.front.claims.NotRun(c.key, c.token)
	case wire.RequestDone:
		c.front.claims.Done(c.key, c.token, &state.Answer{
			Status: c.status, ContentType: c.ctype, Body: c.answer.Body(), Partial: c.answer.Partial(),
		})
	default:
		c.front.claims.Unknown(c.key, c.token)
	}
}
