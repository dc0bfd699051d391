package relay

import (
	"net/http"
	"sync"
	"time"
)

// An agent sends interim responses (RFC 9110, section 15.2) of status 102 (RFC 2518,
// section 10.1) while a request is in progress and has no final response yet, so
// that the entry can distinguish a slow request from a broken connection. A request that
// takes less than InterimInterval gets none.
const (
	// InterimInterval is the interval between two interim responses.
	InterimInterval = time.Second
	// MaxMissedInterim is the number of intervals in a row without an interim response
	// after which the connection counts as silent: one response may be late, and one
	// interval may end just before the next response. Together with InterimInterval it
	// gives the same limit as that of the nodes' sessions (wire.NodeSession): a request
	// is given up after 3 s at least and 4 s at most.
	MaxMissedInterim = 3
)

// InterimWriter is an http.ResponseWriter that sends interim responses until the
// final status is written. It is for use by one handler. Another goroutine writes the
// interim responses, so the handler's headers are kept in a separate map until the
// final status is written.
type InterimWriter struct {
	w      http.ResponseWriter
	header http.Header

	mu    sync.Mutex
	ended bool // the final status was written, or end was called
	timer *time.Timer
}

// SendInterim returns a writer that sends interim responses if the request has
// HeaderInterim, else w. stop must be called before the handler returns. A request
// with an Expect header gets no interim responses: net/http's server writes
// "100 Continue" itself, at a time that the handler does not control.
func SendInterim(w http.ResponseWriter, r *http.Request) (out http.ResponseWriter, stop func()) {
	if r.Header.Get(HeaderInterim) == "" || r.Header.Get("Expect") != "" {
		return w, func() {}
	}
	iw := &InterimWriter{w: w, header: http.Header{}}
	iw.mu.Lock()
	defer iw.mu.Unlock()
	iw.timer = time.AfterFunc(InterimInterval, iw.send)
	return iw, iw.end
}

// send sends one interim response and schedules the next.
func (iw *InterimWriter) send() {
	iw.mu.Lock()
	defer iw.mu.Unlock()
	if iw.ended {
		return
	}
	iw.w.WriteHeader(http.StatusProcessing)
	iw.timer.Reset(InterimInterval)
}

// end stops the interim responses.
func (iw *InterimWriter) end() {
	iw.mu.Lock()
	defer iw.mu.Unlock()
	iw.ended = true
	iw.timer.Stop()
}

// Header implements http.ResponseWriter.
func (iw *InterimWriter) Header() http.Header { return iw.header }

// WriteHeader implements http.ResponseWriter, for the final status only. Later calls
// are ignored.
func (iw *InterimWriter) WriteHeader(status int) {
	iw.mu.Lock()
	defer iw.mu.Unlock()
	if iw.ended {
		return
	}
	iw.ended = true
	iw.timer.Stop()
	for k, vs := range iw.header {
		iw.w.Header()[k] = vs
	}
	iw.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (iw *InterimWriter) Write(p []byte) (int, error) {
	iw.WriteHeader(http.StatusOK)
	return iw.w.Write(p)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (iw *InterimWriter) Unwrap() http.ResponseWriter { return iw.w }
