package wire

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/faultlink"
)

// testLiveness is short enough for tests.
var testLiveness = NewLiveness("test", 90*time.Millisecond)

// message is the message type of the tests.
type message struct {
	Text string `cbor:"1,keyasint,omitempty"`
}

type messageConn = Conn[message, message]

// connect returns the two ends of a connection through a proxy.
func connect(t *testing.T) (dialled, accepted *messageConn, p *faultlink.Proxy) {
	t.Helper()
	ends := make(chan *messageConn, 1)
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := Accept[message, message](w, r, testLiveness)
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		ends <- c
		<-done
	}))
	p, err := faultlink.New(strings.TrimPrefix(srv.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(srv.Close)
	t.Cleanup(func() { close(done) })
	t.Cleanup(p.Close)
	dialled, err = Dial[message, message](t.Context(), "ws://"+p.Addr(), testLiveness)
	assert.NilError(t, err)
	t.Cleanup(dialled.Close)
	return dialled, <-ends, p
}

// received is the result of a Receive.
type received struct {
	m   message
	err error
}

// receive reads one message in the background.
func receive(c *messageConn) <-chan received {
	out := make(chan received, 1)
	go func() {
		m, err := c.Receive(context.Background())
		out <- received{m, err}
	}()
	return out
}

func assertSilent(t *testing.T, out <-chan received) {
	t.Helper()
	assert.ErrorIs(t, (<-out).err, ErrSilent)
}

// assertEnded asserts that the other end closed the connection.
func assertEnded(t *testing.T, out <-chan received) {
	t.Helper()
	err := (<-out).err
	assert.Assert(t, err != nil && !errors.Is(err, ErrSilent), "%v", err)
}

// TestSilentConnection blocks a connection that stays open, in one direction or both. The end that
// receives nothing must close it. An idle connection must stay open.
func TestSilentConnection(t *testing.T) {
	t.Run("both directions", func(t *testing.T) {
		dialled, accepted, p := connect(t)
		p.Blackhole(faultlink.ToTarget, faultlink.ToDialer)
		a, b := receive(dialled), receive(accepted)
		assertSilent(t, a)
		assertSilent(t, b)
	})
	t.Run("towards the accepting end", func(t *testing.T) {
		dialled, accepted, p := connect(t)
		p.Blackhole(faultlink.ToTarget)
		a, b := receive(dialled), receive(accepted)
		assertSilent(t, b)
		accepted.Close()
		assertEnded(t, a)
	})
	t.Run("towards the dialling end", func(t *testing.T) {
		dialled, accepted, p := connect(t)
		p.Blackhole(faultlink.ToDialer)
		a, b := receive(dialled), receive(accepted)
		assertSilent(t, a)
		dialled.Close()
		assertEnded(t, b)
	})
	t.Run("an idle connection stays open", func(t *testing.T) {
		dialled, accepted, _ := connect(t)
		a, b := receive(dialled), receive(accepted)
		silent, other, p := connect(t)
		p.Blackhole(faultlink.ToTarget, faultlink.ToDialer)
		assertSilent(t, receive(silent)) // the first connection has been idle for as long
		other.Close()
		assert.NilError(t, dialled.Send(t.Context(), message{"forth"}))
		assert.NilError(t, accepted.Send(t.Context(), message{"back"}))
		assert.Equal(t, <-b, received{m: message{"forth"}})
		assert.Equal(t, <-a, received{m: message{"back"}})
	})
}

// TestWatch checks what counts as silence, tick by tick.
func TestWatch(t *testing.T) {
	ticks := func(w *watch, n int) (silent bool) {
		for range n {
			s, _ := w.tick()
			silent = silent || s
		}
		return silent
	}
	t.Run("silent", func(t *testing.T) {
		var w watch
		w.setReading(true)
		assert.Assert(t, !ticks(&w, missedTicks-1))
		assert.Assert(t, ticks(&w, 1))
	})
	t.Run("one byte is enough", func(t *testing.T) {
		var w watch
		w.setReading(true)
		for range 3 * missedTicks {
			w.noteReceived()
			assert.Assert(t, !ticks(&w, missedTicks))
		}
	})
	t.Run("silence is not counted while nobody reads", func(t *testing.T) {
		var w watch
		assert.Assert(t, !ticks(&w, 10*missedTicks))
		w.setReading(true)
		assert.Assert(t, !ticks(&w, missedTicks-1))
	})
	t.Run("a keep-alive is due if nothing was sent", func(t *testing.T) {
		var w watch
		_, idle := w.tick()
		assert.Assert(t, idle)
		w.noteSent()
		_, idle = w.tick()
		assert.Assert(t, !idle)
		_, idle = w.tick()
		assert.Assert(t, idle)
	})
}

// fullReader fills the whole buffer on each read, like the reader of a long frame. For each piece
// bytes that it returns, one tick of the watch passes.
type fullReader struct {
	t     *testing.T
	w     *watch
	piece int
	left  int // bytes
}

// Read implements io.Reader.
func (r *fullReader) Read(p []byte) (n int, err error) {
	n = min(len(p), r.left)
	for range n / r.piece {
		silent, _ := r.w.tick()
		assert.Assert(r.t, !silent, "with %d bytes left", r.left)
	}
	r.left -= n
	if n == 0 {
		err = io.EOF
	}
	return n, err
}

// TestLongMessage guards against taking a slow message of megabytes for silence, because a read
// that fills a large buffer counts as one sign of activity.
func TestLongMessage(t *testing.T) {
	var w watch
	w.setReading(true)
	const size = 5 << 20
	data, err := io.ReadAll(activityReader{&fullReader{t: t, w: &w, piece: maxReadBytes, left: size}, &w})
	assert.NilError(t, err)
	assert.Equal(t, len(data), size)
}

// TestKeepAliveIsEmptyMessage checks that a reader that does not know keep-alives reads an empty
// message.
func TestKeepAliveIsEmptyMessage(t *testing.T) {
	var m Peer
	assert.NilError(t, decoder.Unmarshal(keepAlive, &m))
	assert.Equal(t, m, Peer{})
}
