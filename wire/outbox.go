package wire

import "sync"

// Outbox takes messages for the session that stands, if one does. The zero value
// has none. It is safe for concurrent use.
type Outbox[M any] struct {
	mu  sync.Mutex
	out chan<- M
}

// Open lets messages go to a session's queue.
func (o *Outbox[M]) Open(out chan<- M) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out = out
}

// Close notes that no session stands.
func (o *Outbox[M]) Close() { o.Open(nil) }

// Connected reports whether a session stands.
func (o *Outbox[M]) Connected() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.out != nil
}

// Send queues a message; false means that it was surely not sent.
func (o *Outbox[M]) Send(m M) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.out == nil {
		return false
	}
	select {
	case o.out <- m:
		return true
	default:
		return false
	}
}
