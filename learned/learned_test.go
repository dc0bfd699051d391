package learned

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

const (
	interval = 2 * time.Second
	maxSize  = 1000
)

// encode returns record n of a term, with two sections.
func encode(t *testing.T, term uint64, n int) []byte {
	t.Helper()
	e, err := NewEncoder(Origin{Term: term, Since: time.Duration(n) * interval}, maxSize)
	assert.NilError(t, err)
	assert.NilError(t, e.Add("first", 1, []string{"a", "b"}))
	assert.NilError(t, e.Add("second", 2, []string{"c"}))
	return e.Bytes()
}

// checkSections checks which of the two sections can be read.
func checkSections(t *testing.T, data []byte, first, second bool) {
	t.Helper()
	r, err := Decode(data)
	assert.Assert(t, err == nil || !first || !second, "%v", err)
	var got []string
	assert.Equal(t, r.Section("first", 1, &got) == nil, first)
	if first {
		assert.DeepEqual(t, got, []string{"a", "b"})
	}
	assert.Equal(t, r.Section("second", 2, &got) == nil, second)
}

// TestRecord guards against a record whose damage makes more of it unreadable than necessary, or
// is not noticed.
func TestRecord(t *testing.T) {
	data := encode(t, 1, 1)
	checkSections(t, data, true, true)
	t.Run("truncated", func(t *testing.T) {
		for n := range data {
			r, err := Decode(data[:n])
			assert.Assert(t, err != nil || len(r.sections) < 2)
		}
		checkSections(t, data[:len(data)-1], true, false)
		checkSections(t, nil, false, false)
	})
	t.Run("damaged", func(t *testing.T) {
		damaged := bytes.Replace(data, []byte("aab"), []byte("aax"), 1) // "a", "b" in CBOR
		assert.Assert(t, !bytes.Equal(damaged, data))
		checkSections(t, damaged, false, true)
		for i := range data {
			damaged := bytes.Clone(data)
			damaged[i] ^= 0xff
			r, _ := Decode(damaged)
			var got []string
			if r.Section("first", 1, &got) == nil {
				assert.DeepEqual(t, got, []string{"a", "b"})
			}
		}
	})
	t.Run("another version", func(t *testing.T) {
		r, err := Decode(data)
		assert.NilError(t, err)
		var got []string
		assert.ErrorContains(t, r.Section("first", 2, &got), "version 1; want 2")
		assert.ErrorIs(t, r.Section("third", 1, &got), ErrNoSection)
		other := bytes.Clone(data)
		other[2]++ // the version, after the map and its key
		_, err = Decode(other)
		assert.ErrorContains(t, err, "format 2; want 1")
	})
	t.Run("a section that does not fit is left out", func(t *testing.T) {
		e, err := NewEncoder(Origin{}, maxSize)
		assert.NilError(t, err)
		assert.ErrorIs(t, e.Add("first", 1, make([]byte, maxSize)), ErrTooLarge)
		assert.NilError(t, e.Add("second", 2, []string{"c"}))
		assert.Assert(t, len(e.Bytes()) <= maxSize)
		checkSections(t, e.Bytes(), false, true)
	})
}

// TestWatch guards against a record that is taken for a new one although a replica finds it when it
// starts or catches up, and against one whose age depends on clocks that differ.
func TestWatch(t *testing.T) {
	t0 := time.Unix(1000, 0)
	// follower returns a watch that follows a leader whose term 3 began at t0. It has seen the first
	// record.
	follower := func() *Watch {
		w := &Watch{}
		w.Observe(nil, 3, t0.Add(-time.Minute))
		w.Observe(encode(t, 3, 1), 3, t0.Add(interval))
		return w
	}
	// checkAge checks the age of a record that is first seen at a time, one second later; want is
	// what is expected in addition to this second, or UnknownAge.
	checkAge := func(t *testing.T, w *Watch, data []byte, term uint64, at time.Time, want time.Duration) {
		t.Helper()
		w.Observe(data, term, at)
		w.Observe(data, term, at.Add(time.Second/2))
		if want < UnknownAge {
			want += time.Second
		}
		assert.Equal(t, w.Age(at.Add(time.Second)), want)
		assert.Equal(t, w.SeenFor(at.Add(time.Second)), time.Second)
		assert.DeepEqual(t, w.Data(), data)
	}
	second := encode(t, 3, 2)
	t.Run("a follower knows the age", func(t *testing.T) {
		checkAge(t, follower(), second, 3, t0.Add(2*interval), 0)
	})
	t.Run("the delay of a commit counts", func(t *testing.T) {
		w := follower()
		checkAge(t, w, second, 3, t0.Add(2*interval+interval/3), interval/3)
		checkAge(t, w, encode(t, 3, 3), 3, t0.Add(3*interval), 0)
	})
	t.Run("the first record of a later term is known", func(t *testing.T) {
		checkAge(t, follower(), encode(t, 4, 1), 4, t0.Add(time.Minute), 0)
	})
	t.Run("a record that is applied when the next term begins is known", func(t *testing.T) {
		checkAge(t, follower(), second, 4, t0.Add(2*interval), 0)
	})
	t.Run("a record found at the start is unknown", func(t *testing.T) {
		checkAge(t, &Watch{}, second, 3, t0, UnknownAge)
	})
	t.Run("a group that starts again does not know the age", func(t *testing.T) {
		for _, inSnapshot := range [][]byte{nil, encode(t, 3, 1)} {
			w := &Watch{}
			w.Observe(inSnapshot, 3, t0)
			checkAge(t, w, second, 4, t0.Add(time.Minute), UnknownAge)
		}
	})
	t.Run("a replica that catches up does not know the age until the next record", func(t *testing.T) {
		w := &Watch{}
		w.Observe(encode(t, 3, 50), 3, t0.Add(100*interval)) // in its snapshot
		checkAge(t, w, encode(t, 3, 100), 3, t0.Add(100*interval+time.Second), UnknownAge)
		checkAge(t, w, encode(t, 3, 101), 3, t0.Add(101*interval), 0)
	})
	t.Run("the first record of a term that is seen in a later one is unknown", func(t *testing.T) {
		w := follower()
		checkAge(t, w, encode(t, 4, 20), 5, t0.Add(time.Hour), UnknownAge)
		checkAge(t, w, encode(t, 5, 1), 5, t0.Add(time.Hour+interval), 0)
	})
	t.Run("damaged", func(t *testing.T) {
		checkAge(t, follower(), []byte("x"), 3, t0.Add(2*interval), UnknownAge)
	})
	t.Run("the time in an invalid header does not change the ages of later records", func(t *testing.T) {
		for _, h := range []header{
			{Version: formatVersion, Term: 3, SinceMS: 10 * maxSinceMS},
			{Version: formatVersion, Term: 3, SinceMS: math.MaxInt64},
			{Version: formatVersion + 1, Term: 3, SinceMS: maxSinceMS},
		} {
			data, err := cbor.Marshal(h)
			assert.NilError(t, err)
			w := follower()
			checkAge(t, w, data, 3, t0.Add(2*interval), UnknownAge)
			checkAge(t, w, encode(t, 3, 3), 3, t0.Add(3*interval), UnknownAge)
			checkAge(t, w, encode(t, 3, 4), 3, t0.Add(4*interval), 0)
		}
	})
	t.Run("no age is longer than the unknown one", func(t *testing.T) {
		w := &Watch{}
		w.Observe(nil, 0, t0)
		checkAge(t, w, encode(t, 0, 1), 0, t0.Add(interval), UnknownAge)
	})
	t.Run("no record", func(t *testing.T) {
		w := &Watch{}
		assert.Equal(t, w.Age(t0), UnknownAge)
		assert.Equal(t, w.SeenFor(t0), time.Duration(0))
	})
}
