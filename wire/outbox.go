package wire

import "sync"

// Outbox queues messages for the current session, if there is one. The zero value has no session.
// It is safe for concurrent use.
type Outbox[M any] struct {
	mu  sync.Mutex
	out chan<- M
}

// Open directs messages to a session's queue.
func (o *Outbox[M]) Open(out chan<- M) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out = out
}

// Close marks that there is no session.
func (o *Outbox[M]) Close() { o.Open(nil) }

// Connected reports whether there is a session.
func (o *Outbox[M]) Connected() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.out != nil
}

// Send queues a message. It returns false if there is no session or its queue is full; the message
// is then not sent.
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
