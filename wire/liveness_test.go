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

// testAlive is a liveness short enough for tests.
var testAlive = NewLiveness("test", 90*time.Millisecond)

// note is a message of the tests.
type note struct {
	Text string `cbor:"1,keyasint,omitempty"`
}

type noteConn = Conn[note, note]

// connect returns the two ends of a connection through a proxy.
func connect(t *testing.T) (dialled, accepted *noteConn, p *faultlink.Proxy) {
	t.Helper()
	ends := make(chan *noteConn, 1)
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := Accept[note, note](w, r, testAlive)
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
	dialled, err = Dial[note, note](t.Context(), "ws://"+p.Addr(), testAlive)
	assert.NilError(t, err)
	t.Cleanup(dialled.Close)
	return dialled, <-ends, p
}

// outcome is what a Receive returned.
type outcome struct {
	m   note
	err error
}

// receive reads one message in the background.
func receive(c *noteConn) <-chan outcome {
	out := make(chan outcome, 1)
	go func() {
		m, err := c.Receive(context.Background())
		out <- outcome{m, err}
	}()
	return out
}

func assertSilent(t *testing.T, out <-chan outcome) {
	t.Helper()
	assert.ErrorIs(t, (<-out).err, ErrSilent)
}

// assertEnded asserts that an end heard of the other's giving up.
func assertEnded(t *testing.T, out <-chan outcome) {
	t.Helper()
	err := (<-out).err
	assert.Assert(t, err != nil && !errors.Is(err, ErrSilent), "%v", err)
}

func TestSilentConnection(t *testing.T) {
	t.Run("both ways", func(t *testing.T) {
		dialled, accepted, p := connect(t)
		p.Silence(faultlink.Forth, faultlink.Back)
		a, b := receive(dialled), receive(accepted)
		assertSilent(t, a)
		assertSilent(t, b)
	})
	t.Run("to the one that accepted", func(t *testing.T) {
		dialled, accepted, p := connect(t)
		p.Silence(faultlink.Forth)
		a, b := receive(dialled), receive(accepted)
		assertSilent(t, b)
		accepted.Close()
		assertEnded(t, a)
	})
	t.Run("to the one that dialled", func(t *testing.T) {
		dialled, accepted, p := connect(t)
		p.Silence(faultlink.Back)
		a, b := receive(dialled), receive(accepted)
		assertSilent(t, a)
		dialled.Close()
		assertEnded(t, b)
	})
	t.Run("an idle one lives on", func(t *testing.T) {
		dialled, accepted, _ := connect(t)
		a, b := receive(dialled), receive(accepted)
		silent, other, p := connect(t)
		p.Silence(faultlink.Forth, faultlink.Back)
		assertSilent(t, receive(silent)) // so long has the other one been idle
		other.Close()
		assert.NilError(t, dialled.Send(t.Context(), note{"forth"}))
		assert.NilError(t, accepted.Send(t.Context(), note{"back"}))
		assert.Equal(t, <-b, outcome{m: note{"forth"}})
		assert.Equal(t, <-a, outcome{m: note{"back"}})
	})
}

// TestWatch holds what a connection counts as silence, tick by tick.
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
	t.Run("a byte a tick is enough", func(t *testing.T) {
		var w watch
		w.setReading(true)
		for range 3 * missedTicks {
			w.noteReceived()
			assert.Assert(t, !ticks(&w, missedTicks))
		}
	})
	t.Run("not counted while nobody reads", func(t *testing.T) {
		var w watch
		assert.Assert(t, !ticks(&w, 10*missedTicks))
		w.setReading(true)
		assert.Assert(t, !ticks(&w, missedTicks-1))
	})
	t.Run("a keep-alive is due where nothing was sent", func(t *testing.T) {
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

// fullReader fills whatever it is given, as the reader of a long frame does, and lets
// a tick pass for each piece of that size.
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
		assert.Assert(r.t, !silent, "with %d bytes to come", r.left)
	}
	r.left -= n
	if n == 0 {
		err = io.EOF
	}
	return n, err
}

// TestLongMessage reads a message of megabytes that comes slowly: it is no silence,
// although no whole message comes. (The slice that it is read into grows with it, and
// was filled before anything counted as heard.)
func TestLongMessage(t *testing.T) {
	var w watch
	w.setReading(true)
	const size = 5 << 20
	data, err := io.ReadAll(activityReader{&fullReader{t: t, w: &w, piece: maxReadBytes, left: size}, &w})
	assert.NilError(t, err)
	assert.Equal(t, len(data), size)
}

// TestKeepAliveIsEmptyMessage holds that a reader that knows no keep-alives sees
// an empty message.
func TestKeepAliveIsEmptyMessage(t *testing.T) {
	var m Peer
	assert.NilError(t, decoder.Unmarshal(keepAlive, &m))
	assert.Equal(t, m, Peer{})
}
