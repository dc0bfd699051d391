// Package front sends requests about queues to the leader of the control processes,
// over the queue session of the calling process, and returns the leader's responses.
//
// All requests may be repeated, since a job keeps its ID. So a request is sent again,
// to the next leader if need be, until there is a response or the deadline passes.
// After the deadline, NotTaken is reported only if no leader can have accepted the
// request, else Unsure.
package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/session"
	"rudderfork.example/rudderfork/wire"
)

// retryPause is the pause between two attempts to reach a leader.
const retryPause = 20 * time.Millisecond

// Client sends requests to the leader. It is safe for concurrent use.
type Client struct {
	session *session.Client

	calls *wire.Calls[wire.QueueResponse]

	mu          sync.Mutex
	opened      chan struct{} // closed when a session opens, and replaced when the session ends
	sessionOpen bool
}

// New returns a client of the control processes whose addresses seeds returns. process
// is the name of the calling process.
func New(process string, seeds func() []string, log zerolog.Logger) *Client {
	c := &Client{calls: wire.NewCalls[wire.QueueResponse](), opened: make(chan struct{})}
	c.session = session.New(process, seeds, c, log)
	return c
}

// String names the service in the supervisor's log.
func (c *Client) String() string { return "front" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error { return c.session.Serve(ctx) }

// Connected reports whether there is a session with a leader.
func (c *Client) Connected() bool { return c.session.Connected() }

// Opened implements session.Handler.
func (c *Client) Opened(wire.QueueWelcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sessionOpen {
		c.sessionOpen = true
		close(c.opened)
	}
}

// Handle implements session.Handler.
func (c *Client) Handle(m wire.ToQueueNode) {
	if m.Response != nil {
		c.calls.Answer(m.Response.ID, *m.Response)
	}
}

// Closed implements session.Handler. Pending requests get no response.
func (c *Client) Closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessionOpen {
		c.sessionOpen = false
		c.opened = make(chan struct{})
	}
	c.calls.End()
}

// errNoResponse means that a request could not be sent, or that the session ended before
// its response.
var errNoResponse = errors.New("the session ended before the response")

// Do sends a request to the leader and returns its response. leaderTimeout is the time
// after which Do no longer waits for a session, unless a leader may have accepted the
// request. The deadline of ctx bounds the whole call.
func (c *Client) Do(ctx context.Context, req wire.QueueRequest, leaderTimeout time.Duration) (resp wire.QueueResponse) {
	giveUpAt := steady.Now().Add(leaderTimeout)
	unsure := false
	for {
		if !c.awaitSession(ctx, giveUpAt, unsure) {
			return wire.QueueResponse{Unsure: unsure, NotTaken: !unsure, Text: "no leader could be reached in time"}
		}
		got, sent, err := c.try(ctx, req)
		unsure = unsure || sent && err != nil || got.Unsure
		switch {
		case err != nil, got.Unsure, got.NotTaken:
			steady.Pause(ctx, retryPause)
		default:
			return got
		}
	}
}

// awaitSession waits for a session. It returns false if the request is to be given up:
// ctx has ended, or giveUpAt has passed and unsure is false. unsure means that a leader
// may have accepted the request.
func (c *Client) awaitSession(ctx context.Context, giveUpAt time.Time, unsure bool) bool {
	if ctx.Err() != nil {
		return false
	}
	if !unsure {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, giveUpAt.Sub(steady.Now()))
		defer cancel()
	}
	c.mu.Lock()
	opened := c.opened
	c.mu.Unlock()
	select {
	case <-opened:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// try sends the request once. sent reports whether it may have reached the leader.
func (c *Client) try(ctx context.Context, req wire.QueueRequest) (resp wire.QueueResponse, sent bool, err error) {
	id, answer := c.calls.Open()
	defer c.calls.Forget(id)
	req.ID = id
	if !c.session.Send(wire.FromNode{Request: &req}) {
		return resp, false, errNoResponse
	}
	select {
	case resp, ok := <-answer:
		if !ok {
			return resp, true, errNoResponse
		}
		return resp, true, nil
	case <-ctx.Done():
		return resp, true, ctx.Err()
	}
}
