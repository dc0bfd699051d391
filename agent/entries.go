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

// entries holds the sessions of entries. When the agent stops, it tells each entry.
// An entry answers once it has no request in transit to this agent; its session is
// then marked as drained.
type entries struct {
	stopping chan struct{} // closed when the agent stops

	mu      sync.Mutex
	drained map[*entrySession]bool // by open session: whether it is drained
}

func newEntries() *entries {
	return &entries{stopping: make(chan struct{}), drained: map[*entrySession]bool{}}
}

func (e *entries) add(s *entrySession) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drained[s] = false
}

func (e *entries) remove(s *entrySession) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.drained, s)
}

// setDrained records that the entry of a session sends no more requests.
func (e *entries) setDrained(s *entrySession) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drained[s] = true
}

// allDrained reports whether all entries with a session have stopped sending
// requests.
func (e *entries) allDrained() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, drained := range e.drained {
		if !drained {
			return false
		}
	}
	return true
}

// announceStop waits until the agent stops and then tells the entry.
func (e *entries) announceStop(ctx context.Context, s *entrySession) error {
	select {
	case <-e.stopping:
		return s.Send(ctx, wire.ToEntry{Stopping: true})
	case <-ctx.Done():
		return nil
	}
}

// connUnusedAfter is how long no connection may have been opened or used before a
// stopping agent treats its connections as unused. It is more than twice the pause
// between two dials of an entry's session (redialPause there, 200 ms), so that an
// entry without a session has opened one by then and is waited for.
const connUnusedAfter = 500 * time.Millisecond

// conns tracks the connections that carry requests; sessions are not among them.
type conns struct {
	mu       sync.Mutex
	active   map[net.Conn]bool // those with a request that is being read, served or answered
	unusedAt time.Time         // connUnusedAfter after the last state change of a connection
}

func newConns() *conns { return &conns{active: map[net.Conn]bool{}} }

// handleState implements http.Server's ConnState hook. A connection is active until
// the last byte of the answer was written, which is after the request's handler has
// returned.
func (c *conns) handleState(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateActive {
		c.active[nc] = true
	} else {
		delete(c.active, nc)
	}
	c.unusedAt = steady.Now().Add(connUnusedAfter)
}

// idle reports whether no connection is active.
func (c *conns) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0
}

// unused reports whether no connection is active, and none was opened or used within
// connUnusedAfter.
func (c *conns) unused(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0 && !now.Before(c.unusedAt)
}
