package quorum

import "sort"

// log holds the log entries in memory. Some entries before the snapshot's index
// are kept too. The entry with index i is entries[i-base-1].
type log struct {
	snap     Snapshot
	base     uint64 // index of the entry before entries[0]
	baseTerm uint64 // its term
	entries  []Entry
	configs  []config // in ascending order of index; the last one applies
}

// config is the group's membership from the entry at index on.
type config struct {
	index   uint64
	members []Member
}

func newLog(snap Snapshot, entries []Entry) *log {
	l := &log{snap: snap, base: snap.Index, baseTerm: snap.Term}
	l.configs = []config{{snap.Index, snap.Members}}
	for _, e := range entries {
		if e.Index > snap.Index {
			l.push(e)
		}
	}
	return l
}

func (l *log) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index i; ok is false if the entry is
// compacted or not in the log yet.
func (l *log) term(i uint64) (t uint64, ok bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *log) push(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryMembers {
		l.configs = append(l.configs, config{e.Index, e.Members})
	}
}

// truncate removes the entries from index i on, and the memberships that they set.
func (l *log) truncate(i uint64) {
	l.entries = l.entries[: i-l.base-1 : i-l.base-1]
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= i {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// slice returns the entries from index i on, with at most maxBytes of payload
// but at least one entry if there is any.
func (l *log) slice(i uint64, maxBytes int) []Entry {
	if i <= l.base || i > l.last() {
		return nil
	}
	es := l.entries[i-l.base-1:]
	size := 0
	for k, e := range es {
		size += len(e.Data)
		if k > 0 && size > maxBytes {
			return es[:k:k]
		}
	}
	return es[:len(es):len(es)]
}

func (l *log) members() []Member { return l.configs[len(l.configs)-1].members }

// membersAt returns the membership that applies at index i.
func (l *log) membersAt(i uint64) []Member {
	k := sort.Search(len(l.configs), func(k int) bool { return l.configs[k].index > i })
	if k == 0 {
		return l.snap.Members
	}
	return l.configs[k-1].members
}

// compact installs snapshot s and removes the entries up to its index, except the
// last ones: at most keep entries, of at most trailingBytes in total.
func (l *log) compact(s Snapshot, keep uint64) {
	if s.Index <= l.snap.Index || s.Index > l.last() {
		return
	}
	s.Members = l.membersAt(s.Index)
	cut := l.keepFrom(s.Index, keep)
	t, _ := l.term(cut)
	l.entries = append([]Entry(nil), l.entries[cut-l.base:]...)
	l.base, l.baseTerm = cut, t
	l.snap = s
	firstConfig := 0
	for k, c := range l.configs {
		if c.index <= s.Index {
			firstConfig = k
		}
	}
	l.configs = append([]config(nil), l.configs[firstConfig:]...)
}

// keepFrom returns the index before the first entry to keep when the log is
// compacted at index. See compact for the limits.
func (l *log) keepFrom(index, keep uint64) uint64 {
	size := 0
	for i := index; i > l.base; i-- {
		size += len(l.entries[i-l.base-1].Data)
		if index-i >= keep || size > trailingBytes {
			return i
		}
	}
	return l.base
}

// reset replaces the whole log by a snapshot.
func (l *log) reset(s Snapshot) { *l = *newLog(s, nil) }
