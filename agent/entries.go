package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/wire"
)

// entrySession is the session of one entry.
type entrySession = wire.Conn[wire.ToEntry, wire.ToAgent]

// entries are the sessions of entries, and which of them have said, after the
// agent told them that it stops, that no request of theirs is on its way.
type entries struct {
	stopping chan struct{} // closed when the agent stops

	mu    sync.Mutex
	quiet map[*entrySession]bool // of the open sessions
}

func newEntries() *entries {
	return &entries{stopping: make(chan struct{}), quiet: map[*entrySession]bool{}}
}

func (e *entries) add(s *entrySession) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quiet[s] = false
}

func (e *entries) remove(s *entrySession) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.quiet, s)
}

// setQuiet notes that a session's entry sends no more requests.
func (e *entries) setQuiet(s *entrySession) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quiet[s] = true
}

// allQuiet reports whether no entry with a session sends requests any more.
func (e *entries) allQuiet() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, quiet := range e.quiet {
		if !quiet {
			return false
		}
	}
	return true
}

// tell tells an entry that the agent stops, once it does.
func (e *entries) tell(ctx context.Context, s *entrySession) error {
	select {
	case <-e.stopping:
		return s.Send(ctx, wire.ToEntry{Stopping: true})
	case <-ctx.Done():
		return nil
	}
}

// settledSpan is for how long no connection may have been opened or used before
// a stopping agent takes its connections for unused. It is more than twice the
// rest of an entry between two dials of its session (redialPause, 200 ms): an
// entry without a session has one by then, and is waited for.
const settledSpan = 500 * time.Millisecond

// conns are the connections on which requests come, sessions left out.
type conns struct {
	mu        sync.Mutex
	active    map[net.Conn]bool // a request is read, served or answered there
	settledAt time.Time         // when they count as unused, if nothing happens
}

func newConns() *conns { return &conns{active: map[net.Conn]bool{}} }

// note takes a change of a connection's state from the server. A connection is
// active until the last byte of the answer was written, which is after the
// request's handler has returned.
func (c *conns) note(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateActive {
		c.active[nc] = true
	} else {
		delete(c.active, nc)
	}
	c.settledAt = steady.Now().Add(settledSpan)
}

// idle reports whether no connection is active.
func (c *conns) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0
}

// settled reports whether no connection is active or has been lately.
func (c *conns) settled(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0 && !now.Before(c.settledAt)
}
