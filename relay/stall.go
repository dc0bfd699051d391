package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// bodyStall bounds the wait for the next bytes of a request's body. It equals the
	// default time-out of requests at entries: with a longer wait the request would time
	// out anyway.
	bodyStall = 30 * time.Second
	// writeStall bounds the wait until the next piece of a response (copyBuffer) is
	// accepted. A reader of a feed may pause for that long when the buffers of the
	// connections are full. It equals the time for which entries keep an idle
	// connection.
	writeStall = time.Minute
)

// LimitBodyReads sets a deadline on each read of a request's body. Otherwise the server
// would not notice that the connection no longer delivers anything. stop must be called
// before the handler returns.
func LimitBodyReads(w http.ResponseWriter, r *http.Request) (stop func()) {
	return limitBodyReads(w, r, bodyStall)
}

func limitBodyReads(w http.ResponseWriter, r *http.Request, stall time.Duration) (stop func()) {
	if r.ContentLength == 0 {
		return func() {}
	}
	b := &limitedBody{ReadCloser: r.Body, rc: http.NewResponseController(w), stall: stall}
	r.Body = b
	return b.stop
}

// limitedBody is a body whose reads have a deadline. The server sets the connection's
// deadlines anew for each request and between requests.
type limitedBody struct {
	io.ReadCloser
	rc    *http.ResponseController
	stall time.Duration

	mu    sync.Mutex
	whole bool // the body was read to its end
	ended bool // stop was called; the server sets the connection's deadlines from now on
}

// Read implements io.Reader. An HTTP client that sends this body may call it even
// after the handler has returned.
func (b *limitedBody) Read(p []byte) (n int, err error) {
	b.setTimeout(b.stall)
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.mu.Lock()
		b.whole = true
		b.mu.Unlock()
	}
	b.setTimeout(0)
	return n, err
}

// setTimeout sets the deadline of reads to d from now, or removes it if d is 0. The
// server reads on after the body to notice when the connection is closed, so no
// deadline may remain set.
func (b *limitedBody) setTimeout(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		_ = b.rc.SetReadDeadline(deadlineAfter(d)) // an error means that the connection is closed
	}
}

// stop sets a deadline for the server, which itself reads on if the body was not read
// to its end.
func (b *limitedBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	if !b.whole {
		_ = b.rc.SetReadDeadline(deadlineAfter(b.stall)) // as in setTimeout
	}
}

// deadlineAfter returns the socket deadline d from now, and the zero time (no deadline) if d
// is 0. Sockets compare deadlines with the monotonic clock.
func deadlineAfter(d time.Duration) (t time.Time) {
	if d == 0 {
		return t
	}
	return time.Now().Add(d)
}
