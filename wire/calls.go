package wire

import "sync"

// Calls matches responses of type A to the requests of a session. It is safe for concurrent use.
type Calls[A any] struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan A // open calls by ID
}

// NewCalls returns an empty Calls.
func NewCalls[A any]() *Calls[A] { return &Calls[A]{waiting: map[uint64]chan A{}} }

// Open returns the ID of a new call and a channel that receives its response. The channel is closed without
// a response if the session ends first.
func (c *Calls[A]) Open() (id uint64, answer <-chan A) {
	ch := make(chan A, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	c.waiting[c.lastID] = ch
	return c.lastID, ch
}

// Answer delivers the response to a call. It drops the response if no such call is open.
func (c *Calls[A]) Answer(id uint64, a A) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.waiting[id]; ch != nil {
		ch <- a
		delete(c.waiting, id)
	}
}

// Forget drops a call whose response is no longer needed.
func (c *Calls[A]) Forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// End closes all calls at the end of a session. The Outbox must be closed before, so that no call
// is opened and sent in between.
func (c *Calls[A]) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, ch := range c.waiting {
		close(ch)
		delete(c.waiting, id)
	}
}
