package learned

import (
	"bytes"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// UnknownAge is the age of a record that may be of any age. It is so long that models assume the
// uncertainty of their priors.
const UnknownAge = 365 * 24 * time.Hour

// Watch measures the age of the newest record with the clock of one replica. The zero value has
// seen no record. It is not safe for concurrent use.
//
// A replica sees a record some time after it was made, since it must be committed first. The
// shortest such delay of the records of a term tells best when the term began by the replica's clock,
// and from this follows when each of them was made.
//
// A replica that starts, or returns after a pause, also sees old records when it applies its log. A
// record counts as old in two cases:
//   - It is of an earlier term than the replica's, unless the record before it was of the same term
//     and recent. A group that starts again applies its log in a new term, and so does a replica
//     that was cut off during a term.
//   - The replica has seen the record before it much less than the interval between them ago. A
//     replica that catches up sees many records at once.
type Watch struct {
	data      []byte
	header    header    // of data
	termStart time.Time // when the leader's term began, at the latest
	seenAt    time.Time // when data was first seen
	recent    bool      // data was new when it was first seen
}

// Observe notes the record that the replica holds at a time by its steady clock; term is its term,
// and data is empty if there is no record. It keeps data. It is cheap if data is the slice of the
// previous call.
func (w *Watch) Observe(data []byte, term uint64, now time.Time) {
	if bytes.Equal(data, w.data) {
		if w.seenAt.IsZero() {
			w.seenAt = now // the replica starts without a record
		}
		w.data = data
		return
	}
	h, err := decodeHeader(cbor.NewDecoder(bytes.NewReader(data)))
	start, interval := now.Add(-h.since()), h.since()
	if h.Term == w.header.Term {
		interval -= w.header.since()
		if w.termStart.Before(start) {
			start = w.termStart
		}
	}
	// Half of the interval allows for delays of a commit.
	inTime := !w.seenAt.IsZero() && now.Sub(w.seenAt) >= interval/2
	w.recent = err == nil && inTime && (h.Term == term || h.Term == w.header.Term && w.recent)
	w.data, w.header, w.termStart, w.seenAt = data, h, start, now
}

// Age returns the age of the newest record, or UnknownAge. No age is longer.
func (w *Watch) Age(now time.Time) time.Duration {
	if !w.recent {
		return UnknownAge
	}
	return max(0, min(UnknownAge, now.Sub(w.termStart.Add(w.header.since()))))
}

// Data returns the newest record, or nothing. It must not be changed.
func (w *Watch) Data() []byte { return w.data }

// SeenFor returns for how long the replica has held the newest record, or 0 if there is none.
func (w *Watch) SeenFor(now time.Time) time.Duration {
	if len(w.data) == 0 {
		return 0
	}
	return max(0, now.Sub(w.seenAt))
}
