package relay

import (
	"net/http"
	"sync"
	"time"
)

// An agent gives signs of life while it has a request and no answer yet: interim
// answers (RFC 9110, section 15.2) of status 102 (RFC 2518, section 10.1). A
// request that takes less than a pause costs none.
const (
	// SignPause is the rest between two signs of life.
	SignPause = time.Second
	// MissedSigns is how many pauses in a row without a sign make a connection
	// silent: one sign may be late, and one pause may end just before the next. With
	// SignPause it is the bound of the nodes' sessions (wire.NodeSession), and a
	// request is given up after 3 s at least and 4 s at most.
	MissedSigns = 3
)

// Signs is the writer of an answer that gives signs of life until the answer's
// status is written. It is safe for one handler; the signs come from another
// goroutine, so the handler's headers are kept apart until then.
type Signs struct {
	w      http.ResponseWriter
	header http.Header

	mu    sync.Mutex
	over  bool // the status was written, or the handler has returned
	timer *time.Timer
}

// GiveSigns returns a writer that gives signs of life if the request asks for them,
// else w. stop must be called before the handler returns. A caller that waits to be
// told to go on with its body gets none: the server writes that by itself, at a
// time of its own.
func GiveSigns(w http.ResponseWriter, r *http.Request) (out http.ResponseWriter, stop func()) {
	if r.Header.Get(HeaderSigns) == "" || r.Header.Get("Expect") != "" {
		return w, func() {}
	}
	s := &Signs{w: w, header: http.Header{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(SignPause, s.sign)
	return s, s.end
}

// sign gives one sign, and has the next one given.
func (s *Signs) sign() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.w.WriteHeader(http.StatusProcessing)
	s.timer.Reset(SignPause)
}

// end gives no more signs.
func (s *Signs) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	s.timer.Stop()
}

// Header implements http.ResponseWriter.
func (s *Signs) Header() http.Header { return s.header }

// WriteHeader implements http.ResponseWriter. Only final answers pass.
func (s *Signs) WriteHeader(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	s.over = true
	s.timer.Stop()
	for k, vs := range s.header {
		s.w.Header()[k] = vs
	}
	s.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (s *Signs) Write(p []byte) (int, error) {
	s.WriteHeader(http.StatusOK)
	return s.w.Write(p)
}

// Unwrap serves http.ResponseController.
func (s *Signs) Unwrap() http.ResponseWriter { return s.w }
