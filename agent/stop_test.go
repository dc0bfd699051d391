package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/relay"
)

const (
	// waitLimit bounds the wait for a condition.
	waitLimit = 20 * time.Second
	tickets   = rudderfork.Service("tickets")
)

// pipeListener is a listener whose connections have no buffer: a write returns when
// the other side has read.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
	done  chan struct{}
}

// Accept implements net.Listener.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. The server calls it once.
func (p *pipeListener) Close() error {
	close(p.done)
	return p.Listener.Close()
}

// eventCounter counts events.
type eventCounter struct{ n atomic.Int64 }

// Record implements rudderfork.Recorder.
func (c *eventCounter) Record(rudderfork.Event) { c.n.Add(1) }

// runningAgent is an agent without control processes. So it never gets a table, and
// refuses all requests.
type runningAgent struct {
	p        *Process
	listener *pipeListener
	events   *eventCounter
	stop     context.CancelFunc
	ended    chan error
}

func newRunningAgent(t *testing.T) *runningAgent {
	t.Helper()
	p, err := New(Settings{
		Name: "a1", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Control: []string{"127.0.0.1:1"}, HeartbeatInterval: time.Second,
		DrainLimit: waitLimit, Upstreams: []UpstreamAddr{{Service: tickets, Addr: "127.0.0.1:1"}},
	}, zerolog.Nop())
	assert.NilError(t, err)
	r := &runningAgent{p: p, events: &eventCounter{}, ended: make(chan error, 1)}
	r.listener = &pipeListener{p.ln, make(chan net.Conn), make(chan struct{})}
	p.ln, p.requests.rec = r.listener, r.events
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	t.Cleanup(cancel)
	go func() { r.ended <- p.Run(ctx) }()
	return r
}

// dial connects to the agent.
func (r *runningAgent) dial(t *testing.T) net.Conn {
	t.Helper()
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = ours.Close() })
	assert.NilError(t, ours.SetDeadline(time.Now().Add(waitLimit)))
	select {
	case r.listener.conns <- theirs:
	case <-r.listener.done:
		t.Fatal("the agent has closed its listener")
	case <-time.After(waitLimit):
		t.Fatal("the agent does not accept the connection")
	}
	return ours
}

func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("condition not met yet")
	}, poll.WithTimeout(waitLimit), poll.WithDelay(time.Millisecond))
}

// sendRequest sends a request without reading the answer.
func sendRequest(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST /seat HTTP/1.1\r\nHost: a1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", relay.HeaderService, tickets)
	assert.NilError(t, err)
}

// readResponse reads a complete answer and returns its status and headers.
func readResponse(t *testing.T, c net.Conn) (status int, h http.Header) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Header
}

// An agent that stops must not close a connection before the answer on it was written
// completely, and must answer requests that arrive meanwhile with a complete refusal.
func TestStopWaitsForUnreadAnswer(t *testing.T) {
	r := newRunningAgent(t)
	c := r.dial(t)
	sendRequest(t, c)
	waitFor(t, func() bool { return r.events.n.Load() == 1 && r.p.requests.inProgress() == 0 })
	r.stop()
	waitFor(t, func() bool { return r.p.requests.isLeaving() })
	for range 3 {
		late := r.dial(t)
		sendRequest(t, late)
		_, h := readResponse(t, late)
		assert.Equal(t, h.Get(relay.HeaderLoad), relay.EncodeLoad(rudderfork.Load{Leaving: true}))
	}
	status, _ := readResponse(t, c)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.NilError(t, <-r.ended)
}
