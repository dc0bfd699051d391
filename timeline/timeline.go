// Package timeline keeps the newest events of a process and merges the events of
// many processes.
//
// Each process keeps a bounded ring buffer in memory. Events are sent only when
// an operator requests them, so the timeline causes no other traffic. Events are
// ordered by time, then by process and sequence number. The clocks of two VMs may
// differ by up to the bound in the settings, so events of different VMs that are
// closer in time may be in the wrong order.
package timeline

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"rudderfork.example/rudderfork"
)

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	process string
	place   rudderfork.Place
	now     func() time.Time

	mu     sync.Mutex
	events []rudderfork.Event // oldest first until full, then a ring buffer
	next   int                // index of the oldest event once full
	seq    uint64             // sequence number of the last event
	size   int                // maximum length of events
}

// NewRing returns a ring that keeps size events.
func NewRing(process string, place rudderfork.Place, size int, now func() time.Time) *Ring {
	return &Ring{process: process, place: place, now: now, size: size}
}

// Record implements rudderfork.Recorder.
func (r *Ring) Record(e rudderfork.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.At, e.Seq = r.now().UnixMicro(), r.seq
	e.Process, e.VM, e.Domain = r.process, r.place.VM, r.place.Domain
	if len(r.events) < r.size {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.size
}

// Query selects events.
type Query struct {
	Subject string // substring of the subject; empty for all
	After   int64  // Unix µs, exclusive
	Limit   int    // maximum number of events, the newest; 0 for all
}

// Select returns the events that match q, oldest first.
func (r *Ring) Select(q Query) []rudderfork.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var es []rudderfork.Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if e.At > q.After && strings.Contains(e.Subject, q.Subject) {
			es = append(es, e)
		}
	}
	if q.Limit > 0 && len(es) > q.Limit {
		es = es[len(es)-q.Limit:]
	}
	return es
}

// Merge returns the events of several processes as one list, in the order of the
// timeline.
func Merge(lists ...[]rudderfork.Event) []rudderfork.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b rudderfork.Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Process, b.Process), cmp.Compare(a.Seq, b.Seq))
	})
	return all
}
