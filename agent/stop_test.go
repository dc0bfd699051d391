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
	// waitLimit ends a wait for a condition that does not come true.
	waitLimit = 20 * time.Second
	tickets   = rudderfork.Service("tickets")
)

// pipes is a listener whose connections hold no bytes: a write ends when the
// other side has read.
type pipes struct {
	net.Listener
	conns chan net.Conn
	done  chan struct{}
}

// Accept implements net.Listener.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. The server calls it once.
func (p *pipes) Close() error {
	close(p.done)
	return p.Listener.Close()
}

// counter counts events.
type counter struct{ n atomic.Int64 }

// Record implements rudderfork.Recorder.
func (c *counter) Record(rudderfork.Event) { c.n.Add(1) }

// running is an agent that serves, with no control and so without a table.
type running struct {
	p     *Process
	pipes *pipes
	seen  *counter
	stop  context.CancelFunc
	ended chan error
}

func newRunning(t *testing.T) *running {
	t.Helper()
	p, err := New(Settings{
		Name: "a1", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Control: []string{"127.0.0.1:1"}, Beat: time.Second,
		DrainLimit: waitLimit, Upstreams: []UpstreamAddr{{Service: tickets, Addr: "127.0.0.1:1"}},
	}, zerolog.Nop())
	assert.NilError(t, err)
	r := &running{p: p, seen: &counter{}, ended: make(chan error, 1)}
	r.pipes = &pipes{p.ln, make(chan net.Conn), make(chan struct{})}
	p.ln, p.front.rec = r.pipes, r.seen
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	t.Cleanup(cancel)
	go func() { r.ended <- p.Run(ctx) }()
	return r
}

// dial connects to the agent.
func (r *running) dial(t *testing.T) net.Conn {
	t.Helper()
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = ours.Close() })
	assert.NilError(t, ours.SetDeadline(time.Now().Add(waitLimit)))
	select {
	case r.pipes.conns <- theirs:
	case <-r.pipes.done:
		t.Fatal("the agent listens no more")
	case <-time.After(waitLimit):
		t.Fatal("the agent takes no connection")
	}
	return ours
}

func wait(t *testing.T, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(waitLimit), poll.WithDelay(time.Millisecond))
}

// ask sends a request and leaves its answer unread.
func ask(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST /seat HTTP/1.1\r\nHost: a1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", relay.HeaderService, tickets)
	assert.NilError(t, err)
}

// answer reads an answer whole, and returns its status and headers.
func answer(t *testing.T, c net.Conn) (status int, h http.Header) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, resp.Header
}

// TestStopWithAnswerOnItsWay stops an agent when a request has been served and
// its answer has not been taken yet. What comes meanwhile is refused, whole.
func TestStopWithAnswerOnItsWay(t *testing.T) {
	r := newRunning(t)
	c := r.dial(t)
	ask(t, c)
	wait(t, func() bool { return r.seen.n.Load() == 1 && r.p.front.inProgress() == 0 })
	r.stop()
	wait(t, func() bool { return r.p.front.isLeaving() })
	for range 3 {
		late := r.dial(t)
		ask(t, late)
		_, h := answer(t, late)
		assert.Equal(t, h.Get(relay.HeaderLoad), relay.EncodeLoad(rudderfork.Load{Leaving: true}))
	}
	status, _ := answer(t, c)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.NilError(t, <-r.ended)
}
