// Package wakeup wakes a loop that waits for something to do.
package wakeup

// Signal wakes one loop, which receives from it. What comes while a signal is
// pending is part of that signal, so Set never blocks.
type Signal chan struct{}

// New returns a signal that is not set.
func New() Signal { return make(Signal, 1) }

// Set wakes the loop, at once or as soon as it waits.
func (s Signal) Set() {
	select {
	case s <- struct{}{}:
	default:
	}
}
