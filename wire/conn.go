// Package wire carries messages between the project's own processes: CBOR
// (RFC 8949) in binary WebSocket messages (RFC 6455).
//
// A message is a struct of pointers of which one is set, so that a reader that does not know a
// newer kind sees an empty message and can ignore it. Field keys are small integers and never
// change their meaning.
//
// Each end of a connection closes it if the other end is silent for too long (Liveness).
package wire

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"rudderfork.example/rudderfork/internal/errs"
)

const (
	// MaxMessage is the maximum size of a message, in bytes. The largest messages are snapshots.
	MaxMessage = 64 << 20
	// sendTimeout bounds one write, since a peer may not read.
	sendTimeout = 5 * time.Second
	// DialTimeout bounds the setup of a connection.
	DialTimeout = 2 * time.Second
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Conn is a connection that sends messages of type Out and receives messages of type In. One
// goroutine may receive while others send. Some goroutine must receive all the time, even if no
// messages are expected, because silence is only detected while the connection is read.
type Conn[Out, In any] struct {
	ws               *websocket.Conn
	liveness         Liveness
	watch            watch
	timer            *time.Timer
	silent           atomic.Bool // the connection was closed because of silence
	sendingKeepAlive atomic.Bool // a keep-alive is being written
}

// Dial connects to url, which starts with ws://.
func Dial[Out, In any](ctx context.Context, url string, liveness Liveness) (c *Conn[Out, In], err error) {
	defer errs.Annotate(&err, "dial %s", url)
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	ws, resp, err := websocket.Dial(ctx, url, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, err
	}
	if resp.Body != nil {
		_ = resp.Body.Close()
	}
	return newConn[Out, In](ws, liveness), nil
}

// Accept upgrades an HTTP request to a connection.
func Accept[Out, In any](w http.ResponseWriter, r *http.Request, liveness Liveness) (c *Conn[Out, In], err error) {
	defer errs.Annotate(&err, "accept")
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, err
	}
	return newConn[Out, In](ws, liveness), nil
}

func newConn[Out, In any](ws *websocket.Conn, liveness Liveness) *Conn[Out, In] {
	ws.SetReadLimit(MaxMessage)
	c := &Conn[Out, In]{ws: ws, liveness: liveness}
	// The timer is started only after the field is set, since tick reads the field.
	c.timer = time.AfterFunc(math.MaxInt64, c.tick)
	c.timer.Reset(liveness.tick())
	return c
}

// tick runs at each tick of the timer. It closes a silent connection, and sends a keep-alive on an
// idle one.
func (c *Conn[Out, In]) tick() {
	silent, idle := c.watch.tick()
	if silent {
		c.silent.Store(true)
		silentTotal.WithLabelValues(c.liveness.kind).Inc()
		c.Close()
		return
	}
	c.timer.Reset(c.liveness.tick()) // before the write, which may block
	if idle && c.sendingKeepAlive.CompareAndSwap(false, true) {
		defer c.sendingKeepAlive.Store(false)
		if c.write(context.Background(), keepAlive) != nil {
			c.Close()
		}
	}
}

// Send writes one message.
func (c *Conn[Out, In]) Send(ctx context.Context, m Out) (err error) {
	defer errs.Annotate(&err, "send")
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	c.watch.noteSent()
	return c.write(ctx, data)
}

func (c *Conn[Out, In]) write(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

// Receive reads one message. After an error the connection is closed; the error is ErrSilent if
// that was because of silence.
func (c *Conn[Out, In]) Receive(ctx context.Context) (m In, err error) {
	defer errs.Annotate(&err, "receive")
	c.watch.setReading(true)
	defer c.watch.setReading(false)
	data, err := c.read(ctx)
	switch {
	case c.silent.Load():
		return m, fmt.Errorf("%w for %s", ErrSilent, c.liveness.Limit())
	case err != nil:
		return m, err
	}
	if err := decoder.Unmarshal(data, &m); err != nil {
		c.Close()
		return m, err
	}
	return m, nil
}

// read returns the next message that is not a keep-alive.
func (c *Conn[Out, In]) read(ctx context.Context) ([]byte, error) {
	for {
		_, r, err := c.ws.Reader(ctx)
		if err != nil {
			return nil, err
		}
		c.watch.noteReceived()
		data, err := io.ReadAll(activityReader{r, &c.watch})
		if err != nil {
			return nil, err
		}
		if !bytes.Equal(data, keepAlive) {
			return data, nil
		}
	}
}

// maxReadBytes bounds one read, in bytes. A read returns only once the whole buffer is filled, so
// that with a large buffer megabytes would count as one sign of activity: at 2 MB/s a message of
// 5 MB was taken for silence of 500 ms. With 16 KiB a rate of 33 KB/s is enough.
const maxReadBytes = 16 << 10

// activityReader records each piece of a long message as activity. On a slow link a snapshot takes
// longer than the silence limit.
type activityReader struct {
	r io.Reader
	w *watch
}

// Read implements io.Reader.
func (h activityReader) Read(p []byte) (n int, err error) {
	n, err = h.r.Read(p[:min(len(p), maxReadBytes)])
	if n > 0 {
		h.w.noteReceived()
	}
	return n, err
}

// ReceiveWithin reads one message, and fails if none arrives within d.
func (c *Conn[Out, In]) ReceiveWithin(ctx context.Context, d time.Duration) (m In, err error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return c.Receive(ctx)
}

// Close closes the connection at once.
func (c *Conn[Out, In]) Close() {
	c.timer.Stop()
	_ = c.ws.CloseNow()
}
