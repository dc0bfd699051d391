package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// bodyStall bounds the wait for the next bytes of a request's body. It is the
	// default time-out of requests at entries: who is slower gets no answer in time.
	bodyStall = 30 * time.Second
	// writeStall bounds the wait until the next piece of an answer (copyBuffer) is
	// taken. A reader of a feed may pause for that long when the buffers of the
	// connections are full; it is as long as entries keep an unused connection.
	writeStall = time.Minute
)

// BoundBody bounds the waits for more of a request's body: its connection may have
// gone silent, which the server hears of in no other way. stop must be called
// before the handler returns.
func BoundBody(w http.ResponseWriter, r *http.Request) (stop func()) {
	return boundBody(w, r, bodyStall)
}

func boundBody(w http.ResponseWriter, r *http.Request, stall time.Duration) (stop func()) {
	if r.ContentLength == 0 {
		return func() {}
	}
	b := &boundedBody{ReadCloser: r.Body, rc: http.NewResponseController(w), stall: stall}
	r.Body = b
	return b.stop
}

// boundedBody is a body whose reads are bounded. The server sets the deadlines of
// the connection anew for each request, and between two.
type boundedBody struct {
	io.ReadCloser
	rc    *http.ResponseController
	stall time.Duration

	mu    sync.Mutex
	whole bool
	over  bool // the handler returns; the connection's deadlines are the server's
}

// Read implements io.Reader. A client may still call it when the handler has
// returned.
func (b *boundedBody) Read(p []byte) (n int, err error) {
	b.bound(b.stall)
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.mu.Lock()
		b.whole = true
		b.mu.Unlock()
	}
	b.bound(0)
	return n, err
}

// bound sets the deadline of reads, or none for 0. The server goes on reading after
// the body, to hear of the connection's end, so none must stay.
func (b *boundedBody) bound(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.over {
		_ = b.rc.SetReadDeadline(after(d)) // an error means that the connection is gone
	}
}

// stop bounds what the server itself still reads of a body that was not read whole.
func (b *boundedBody) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over = true
	if !b.whole {
		_ = b.rc.SetReadDeadline(after(b.stall)) // as in bound
	}
}

// after returns the time of a socket's deadline, and none for 0. Sockets compare it
// with the monotonic clock.
func after(d time.Duration) (t time.Time) {
	if d == 0 {
		return t
	}
	return time.Now().Add(d)
}
