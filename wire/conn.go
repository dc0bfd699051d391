// Package wire carries messages between the project's own processes: CBOR
// (RFC 8949) in binary WebSocket messages (RFC 6455).
//
// A message is a struct of pointers of which one is set, so that a reader that
// does not know a newer kind sees an empty message and can pass over it. Field
// keys are small integers and never change their meaning.
package wire

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"rudderfork.example/rudderfork/internal/errs"
)

const (
	// MaxMessage bounds a message, in bytes. The largest is a snapshot.
	MaxMessage = 64 << 20
	// sendTimeout bounds one write to a peer that does not read.
	sendTimeout = 5 * time.Second
	// DialTimeout bounds setting up a connection.
	DialTimeout = 2 * time.Second
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Conn is a connection that carries messages of type Out one way and of type
// In the other. One goroutine may receive while others send.
type Conn[Out, In any] struct {
	ws *websocket.Conn
}

// Dial connects to url, which starts with ws://.
func Dial[Out, In any](ctx context.Context, url string) (c *Conn[Out, In], err error) {
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
	ws.SetReadLimit(MaxMessage)
	return &Conn[Out, In]{ws}, nil
}

// Accept upgrades a request.
func Accept[Out, In any](w http.ResponseWriter, r *http.Request) (c *Conn[Out, In], err error) {
	defer errs.Annotate(&err, "accept")
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(MaxMessage)
	return &Conn[Out, In]{ws}, nil
}

// Send writes one message.
func (c *Conn[Out, In]) Send(ctx context.Context, m Out) (err error) {
	defer errs.Annotate(&err, "send")
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, data)
}

// Receive reads one message. After an error the connection is closed.
func (c *Conn[Out, In]) Receive(ctx context.Context) (m In, err error) {
	defer errs.Annotate(&err, "receive")
	_, data, err := c.ws.Read(ctx)
	if err != nil {
		return m, err
	}
	if err := decoder.Unmarshal(data, &m); err != nil {
		c.Close()
		return m, err
	}
	return m, nil
}

// ReceiveWithin reads one message, and fails if none comes in time.
func (c *Conn[Out, In]) ReceiveWithin(ctx context.Context, d time.Duration) (m In, err error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return c.Receive(ctx)
}

// Close ends the connection at once.
func (c *Conn[Out, In]) Close() { _ = c.ws.CloseNow() }
