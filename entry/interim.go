package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"rudderfork.example/rudderfork/relay"
)

// errNoInterim means that the interim responses to a request did not come, or stopped,
// though its agent sends them.
var errNoInterim = errors.New("no interim responses came from the agent")

// interimWatcher watches for interim responses to one attempt until the headers of the
// final response have come. It cancels the attempt if relay.MaxMissedInterim in a row
// are missing. It is safe for concurrent use.
type interimWatcher struct {
	supported func() bool // whether the agent has reported that it sends interim responses
	cancel    context.CancelCauseFunc

	mu           sync.Mutex
	timer        *time.Timer
	ended        bool // watching has ended
	silent       bool // the attempt was cancelled because the agent was silent
	received     bool // an interim response has come since the last tick
	everReceived bool // an interim response has come
	awaitingBody bool // the entry is waiting for more of the body from the caller
	missed       int  // intervals in a row without an interim response
}

// watchInterim returns a request whose context is cancelled with errNoInterim when the
// agent goes silent. The watcher's cancel must be called once the response was read.
func watchInterim(req *http.Request, supported func() bool) (*http.Request, *interimWatcher) {
	ctx, cancel := context.WithCancelCause(req.Context())
	w := &interimWatcher{supported: supported, cancel: cancel}
	req.Header.Set(relay.HeaderInterim, "yes")
	req.Header.Del("Expect") // the entry's server sends 100 Continue when the body is read
	if req.Body != nil {
		req.Body = &watchedBody{req.Body, w}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(relay.InterimInterval, w.handleTimer)
	return req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error { w.recordInterim(); return nil },
	})), w
}

// recordInterim records an interim response.
func (w *interimWatcher) recordInterim() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received, w.everReceived = true, true
}

// handleTimer is called at the end of each interval. It cancels the attempt if the agent
// is silent.
func (w *interimWatcher) handleTimer() {
	supported := w.supported()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if w.tick(supported) {
		w.silent = true
		w.cancel(errNoInterim)
		return
	}
	w.timer.Reset(relay.InterimInterval)
}

// tick ends an interval and reports whether the agent has been silent for too long. An
// interval does not count if the agent sends no interim responses, nor while the body
// is awaited from the caller: the headers may then still be in the buffer of net/http's
// client. Once an interim response has come, every interval counts. w.mu is held.
func (w *interimWatcher) tick(supported bool) (silent bool) {
	if w.received || !w.everReceived && (w.awaitingBody || !supported) {
		w.missed = 0
	} else {
		w.missed++
	}
	w.received = false
	return w.missed >= relay.MaxMissedInterim
}

// stop ends watching, and reports whether the attempt was cancelled because the agent
// was silent.
func (w *interimWatcher) stop() (silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	return w.silent
}

// maybeSilent reports whether the connection of an attempt that ran into its deadline
// may have been silent: an interim response is missing, or the agent sends none.
func (w *interimWatcher) maybeSilent() bool {
	supported := w.supported()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.missed > 0 || !supported && !w.everReceived
}

// setAwaitingBody records whether the entry is waiting for more of the body from the
// caller.
func (w *interimWatcher) setAwaitingBody(v bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaitingBody = v
}

// watchedBody is the body of a watched request. It reports to the watcher the reads that
// wait for the caller.
type watchedBody struct {
	io.ReadCloser
	watcher *interimWatcher
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.watcher.setAwaitingBody(true)
	defer b.watcher.setAwaitingBody(false)
	return b.ReadCloser.Read(p)
}
