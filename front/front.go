// Package front asks the leader for its clients: it takes a call, carries it to
// the leader over the process's queue session, and brings back the answer.
//
// A call that may be repeated (all of them may: a job keeps its ID) is sent
// again to the next leader until it is answered or its deadline passes. What is
// said when it passes is true: NotTaken only if no leader can have taken it.
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

// retryPause is between two tries to reach a leader.
const retryPause = 20 * time.Millisecond

// Client carries calls to the leader. It is safe for concurrent use.
type Client struct {
	session *session.Client

	calls *wire.Calls[wire.QueueResponse]

	mu     sync.Mutex
	opened chan struct{} // closed while a session stands
	isOpen bool
}

// New returns a client of the control processes that seeds names.
func New(process string, seeds func() []string, log zerolog.Logger) *Client {
	c := &Client{calls: wire.NewCalls[wire.QueueResponse](), opened: make(chan struct{})}
	c.session = session.New(process, seeds, c, log)
	return c
}

// String names the service in the supervisor's log.
func (c *Client) String() string { return "front" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error { return c.session.Serve(ctx) }

// Connected reports whether a leader is connected.
func (c *Client) Connected() bool { return c.session.Connected() }

// Opened implements session.Handler.
func (c *Client) Opened(wire.QueueWelcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isOpen {
		c.isOpen = true
		close(c.opened)
	}
}

// Handle implements session.Handler.
func (c *Client) Handle(m wire.ToQueueNode) {
	if m.Response != nil {
		c.calls.Answer(m.Response.ID, *m.Response)
	}
}

// Closed implements session.Handler: what was asked gets no answer any more.
func (c *Client) Closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isOpen {
		c.isOpen = false
		c.opened = make(chan struct{})
	}
	c.calls.End()
}

// errLost means that a call was sent and its answer will not come.
var errLost = errors.New("the session ended before the answer")

// Ask carries a call to the leader. patience bounds the wait for a leader as
// long as the call was not sent; the deadline of ctx bounds all.
func (c *Client) Ask(ctx context.Context, a wire.QueueRequest, patience time.Duration) (ans wire.QueueResponse) {
	giveUpAt := steady.Now().Add(patience)
	unsure := false
	for {
		if !c.await(ctx, giveUpAt, unsure) {
			return wire.QueueResponse{Unsure: unsure, NotTaken: !unsure, Text: "no leader could be reached in time"}
		}
		got, sent, err := c.try(ctx, a)
		unsure = unsure || sent && err != nil || got.Unsure
		switch {
		case err != nil, got.Unsure, got.NotTaken:
			steady.Pause(ctx, retryPause)
		default:
			return got
		}
	}
}

// await waits for a session; false means that the call is given up.
func (c *Client) await(ctx context.Context, giveUpAt time.Time, unsure bool) bool {
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

// try sends the call once; sent says whether it may have reached the leader.
func (c *Client) try(ctx context.Context, a wire.QueueRequest) (ans wire.QueueResponse, sent bool, err error) {
	id, answer := c.calls.Open()
	defer c.calls.Forget(id)
	a.ID = id
	if !c.session.Send(wire.FromNode{Request: &a}) {
		return ans, false, errLost
	}
	select {
	case ans, ok := <-answer:
		if !ok {
			return ans, true, errLost
		}
		return ans, true, nil
	case <-ctx.Done():
		return ans, true, ctx.Err()
	}
}
