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

// errNoSigns means that an agent that gives signs of life gave none for a request.
var errNoSigns = errors.New("the agent gives no signs of life")

// signs watches one attempt for the signs of life of its agent, until the answer's
// headers have come. It is safe for concurrent use.
type signs struct {
	given  func() bool // the agent says that it gives signs
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	timer  *time.Timer
	over   bool
	silent bool // the attempt was given up
	heard  bool // since the last tick
	seen   bool // a sign has come
	body   bool // the caller is being waited for, for more of the body
	missed int
}

// watchSigns lets ctx, which is the request's from then on, end with errNoSigns when
// the agent falls silent. cancel must be called once the answer was read.
func watchSigns(req *http.Request, given func() bool) (*http.Request, *signs) {
	ctx, cancel := context.WithCancelCause(req.Context())
	s := &signs{given: given, cancel: cancel}
	req.Header.Set(relay.HeaderSigns, "yes")
	req.Header.Del("Expect") // the body is asked for here, when it is read
	if req.Body != nil {
		req.Body = &watchedBody{req.Body, s}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(relay.SignPause, s.pass)
	return req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error { s.hear(); return nil },
	})), s
}

// hear notes a sign.
func (s *signs) hear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard, s.seen = true, true
}

// pass ends a pause, and the attempt if it is silent.
func (s *signs) pass() {
	given := s.given()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	if s.tick(given) {
		s.silent = true
		s.cancel(errNoSigns)
		return
	}
	s.timer.Reset(relay.SignPause)
}

// tick reports whether the agent has been silent for too long. It does not count
// against an agent that gives no signs, nor while the caller is waited for and no
// sign has come: the headers may still be waiting here for more of the body. s.mu
// is held.
func (s *signs) tick(given bool) (silent bool) {
	if s.heard || !s.seen && (s.body || !given) {
		s.missed = 0
	} else {
		s.missed++
	}
	s.heard = false
	return s.missed >= relay.MissedSigns
}

// end watches no more, and reports whether the attempt was given up.
func (s *signs) end() (silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	s.timer.Stop()
	return s.silent
}

// doubtful reports, of an attempt that its deadline ended, whether the connection may
// have been silent: a sign was missed, or the agent gives none.
func (s *signs) doubtful() bool {
	given := s.given()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missed > 0 || !given && !s.seen
}

// waiting notes whether the caller is waited for.
func (s *signs) waiting(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body = v
}

// watchedBody is a body that is sent while signs are watched for.
type watchedBody struct {
	io.ReadCloser
	signs *signs
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.signs.waiting(true)
	defer b.signs.waiting(false)
	return b.ReadCloser.Read(p)
}
