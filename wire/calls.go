package wire

import "sync"

// Calls matches answers of type A to what was asked in a session. It is safe for
// concurrent use.
type Calls[A any] struct {
	mu      sync.Mutex
	lastID  uint64
	waiting map[uint64]chan A
}

// NewCalls returns an empty Calls.
func NewCalls[A any]() *Calls[A] { return &Calls[A]{waiting: map[uint64]chan A{}} }

// Open returns the ID of a new call and where its answer comes. The channel is
// closed without an answer if the session ends first.
func (c *Calls[A]) Open() (id uint64, answer <-chan A) {
	ch := make(chan A, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	c.waiting[c.lastID] = ch
	return c.lastID, ch
}

// Answer brings a call its answer; one that nobody waits for any more is dropped.
func (c *Calls[A]) Answer(id uint64, a A) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.waiting[id]; ch != nil {
		ch <- a
		delete(c.waiting, id)
	}
}

// Forget drops a call that is not waited for any more.
func (c *Calls[A]) Forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// End closes all calls of a session that has ended. Its Outbox is closed before,
// so that no call is opened and sent in between.
func (c *Calls[A]) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, ch := range c.waiting {
		close(ch)
		delete(c.waiting, id)
	}
}
