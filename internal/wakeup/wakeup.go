// Package wakeup provides a signal that wakes a goroutine waiting for work.
package wakeup

// Signal wakes one goroutine, which receives from it. Calls of Set while the signal is
// pending are merged into one, so Set never blocks.
type Signal chan struct{}

// New returns a signal that is not set.
func New() Signal { return make(Signal, 1) }

// Set wakes the receiver, now or when it next receives.
func (s Signal) Set() {
	select {
	case s <- struct{}{}:
	default:
	}
}
