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

// leader answers calls as the test says; without an answer it ends the session.
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

// ask calls through a client of the given leaders.
func ask(t *testing.T, limit, patience time.Duration, addrs ...string) wire.QueueResponse {
	t.Helper()
	c := New("front", func() []string { return addrs }, zerolog.Nop())
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = c.Serve(ctx) })
	defer wg.Wait()
	defer cancel()
	callCtx, cancelCall := context.WithTimeout(ctx, limit)
	defer cancelCall()
	return c.Ask(callCtx, wire.QueueRequest{Submit: &queue.Submit{Path: "/q/j"}}, patience)
}

const (
	long  = 20 * time.Second
	short = 300 * time.Millisecond
)

func TestAsk(t *testing.T) {
	t.Run("an answer is carried back", func(t *testing.T) {
		l := newLeader(t, func(int64, wire.QueueRequest) *wire.QueueResponse { return &wire.QueueResponse{Code: queue.NoQueue} })
		assert.Equal(t, ask(t, long, long, l.addr).Code, queue.NoQueue)
	})
	t.Run("a call whose session ends is sent again", func(t *testing.T) {
		l := newLeader(t, func(session int64, _ wire.QueueRequest) *wire.QueueResponse {
			if session < 3 {
				return nil
			}
			return &wire.QueueResponse{Code: queue.OK}
		})
		assert.Equal(t, ask(t, long, long, l.addr).Code, queue.OK)
		assert.Equal(t, l.sessions.Load(), int64(3))
	})
	t.Run("without a leader the call was surely not taken", func(t *testing.T) {
		ans := ask(t, long, short, "127.0.0.1:1")
		assert.Assert(t, ans.NotTaken && !ans.Unsure)
	})
	t.Run("a leader that refuses has not taken it", func(t *testing.T) {
		l := newLeader(t, func(int64, wire.QueueRequest) *wire.QueueResponse { return &wire.QueueResponse{NotTaken: true} })
		ans := ask(t, long, short, l.addr)
		assert.Assert(t, ans.NotTaken && !ans.Unsure)
	})
	t.Run("once a leader may have taken it, a refusal does not undo that", func(t *testing.T) {
		l := newLeader(t, func(session int64, _ wire.QueueRequest) *wire.QueueResponse {
			if session == 1 {
				return nil
			}
			return &wire.QueueResponse{NotTaken: true}
		})
		ans := ask(t, short, short, l.addr)
		assert.Assert(t, ans.Unsure && !ans.NotTaken)
	})
}
