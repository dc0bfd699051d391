package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

// leader is a fake leader. It responds to each request with what answer returns for it;
// if that is nil, it ends the session instead.
type leader struct {
	addr     string
	sessions atomic.Int64
	answer   func(session int64, a wire.QueueRequest) *wire.QueueResponse
}

func newLeader(t *testing.T, answer func(session int64, a wire.QueueRequest) *wire.QueueResponse) *leader {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &leader{addr: ln.Addr().String(), answer: answer}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /queues", l.accept)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l
}

func (l *leader) accept(w http.ResponseWriter, r *http.Request) {
	c, err := wire.Accept[wire.ToQueueNode, wire.FromNode](w, r, wire.QueueSession)
	if err != nil {
		return
	}
	defer c.Close()
	n := l.sessions.Add(1)
	for {
		m, err := c.Receive(r.Context())
		if err != nil {
			return
		}
		switch {
		case m.Hello != nil:
			err = c.Send(r.Context(), wire.ToQueueNode{Welcome: &wire.QueueWelcome{Term: 1}})
		case m.Ping != 0:
			err = c.Send(r.Context(), wire.ToQueueNode{Pong: m.Ping})
		case m.Request != nil:
			ans := l.answer(n, *m.Request)
			if ans == nil {
				return
			}
			ans.ID = m.Request.ID
			err = c.Send(r.Context(), wire.ToQueueNode{Response: ans})
		}
		if err != nil {
			return
		}
	}
}

// do sends a request through a client of the given leaders.
func do(t *testing.T, timeout, leaderTimeout time.Duration, addrs ...string) wire.QueueResponse {
	t.Helper()
	c := New("front", func() []string { return addrs }, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.Serve(ctx) })
	defer wg.Wait()
	defer cancel()
	callCtx, cancelCall := context.WithTimeout(ctx, timeout)
	defer cancelCall()
	return c.Do(callCtx, wire.QueueRequest{Submit: &queue.Submit{Path: "/q/j"}}, leaderTimeout)
}

const (
	long  = 20 * time.Second
	short = 300 * time.Millisecond
)

func TestDo(t *testing.T) {
	t.Run("the response is returned", func(t *testing.T) {
		l := newLeader(t, func(int64, wire.QueueRequest) *wire.QueueResponse { return &wire.QueueResponse{Code: queue.NoQueue} })
		assert.Equal(t, do(t, long, long, l.addr).Code, queue.NoQueue)
	})
	t.Run("a request whose session ends is sent again", func(t *testing.T) {
		l := newLeader(t, func(session int64, _ wire.QueueRequest) *wire.QueueResponse {
			if session < 3 {
				return nil
			}
			return &wire.QueueResponse{Code: queue.OK}
		})
		assert.Equal(t, do(t, long, long, l.addr).Code, queue.OK)
		assert.Equal(t, l.sessions.Load(), int64(3))
	})
	t.Run("without a leader the request was certainly not accepted", func(t *testing.T) {
		ans := do(t, long, short, "127.0.0.1:1")
		assert.Assert(t, ans.NotTaken && !ans.Unsure)
	})
	t.Run("a leader that refuses the request has not accepted it", func(t *testing.T) {
		l := newLeader(t, func(int64, wire.QueueRequest) *wire.QueueResponse { return &wire.QueueResponse{NotTaken: true} })
		ans := do(t, long, short, l.addr)
		assert.Assert(t, ans.NotTaken && !ans.Unsure)
	})
	t.Run("a refusal does not undo that an earlier leader may have accepted the request", func(t *testing.T) {
		l := newLeader(t, func(session int64, _ wire.QueueRequest) *wire.QueueResponse {
			if session == 1 {
				return nil
			}
			return &wire.QueueResponse{NotTaken: true}
		})
		ans := do(t, short, short, l.addr)
		assert.Assert(t, ans.Unsure && !ans.NotTaken)
	})
}
