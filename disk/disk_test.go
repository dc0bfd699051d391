package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/quorum"
)

var members = []quorum.Member{{ID: "c1#1", Name: "c1", Voter: true}}

func newStore(t *testing.T) (dir string, s *Store) {
	t.Helper()
	dir = filepath.Join(t.TempDir(), "data")
	assert.NilError(t, Format(dir, Identity{ID: "c1#1", Group: "test", Members: members}))
	s, err := Open(dir)
	assert.NilError(t, err)
	return dir, s
}

func entries(from, to uint64, term uint64) (es []quorum.Entry) {
	for i := from; i <= to; i++ {
		es = append(es, quorum.Entry{Index: i, Term: term, Kind: quorum.EntryCommand, Data: fmt.Appendf(nil, "entry %d", i)})
	}
	return es
}

func save(t *testing.T, s *Store, rd quorum.Ready) {
	t.Helper()
	assert.NilError(t, s.Save(rd))
}

func reopen(t *testing.T, dir string, s *Store) *Store {
	t.Helper()
	assert.NilError(t, s.Close())
	s, err := Open(dir)
	assert.NilError(t, err)
	return s
}

func checkEntries(t *testing.T, got, want []quorum.Entry) {
	t.Helper()
	assert.Equal(t, len(got), len(want))
	for i := range want {
		assert.Equal(t, got[i].Index, want[i].Index)
		assert.Equal(t, got[i].Term, want[i].Term)
		assert.Equal(t, string(got[i].Data), string(want[i].Data))
	}
}

// TestReopen checks that Open reads what was saved: the newest hard state, and the log without entries
// that a later leader replaced.
func TestReopen(t *testing.T) {
	dir, s := newStore(t)
	save(t, s, quorum.Ready{HardState: &quorum.HardState{Term: 3, Vote: "c2#1"}, Entries: entries(1, 10, 3)})
	// A new leader replaces the last entries.
	save(t, s, quorum.Ready{HardState: &quorum.HardState{Term: 4}, Entries: entries(8, 9, 4)})

	s = reopen(t, dir, s)
	hs, snap, es := s.TakeLoaded()
	assert.Equal(t, hs, quorum.HardState{Term: 4})
	assert.Equal(t, len(snap.Members), 1)
	checkEntries(t, es, append(entries(1, 7, 3), entries(8, 9, 4)...))

	t.Run("snapshot", func(t *testing.T) {
		assert.NilError(t, s.SaveSnapshot(quorum.Snapshot{Index: 8, Term: 4, Members: members, Data: []byte("state")}, entries(9, 9, 4)))
		save(t, s, quorum.Ready{Entries: entries(10, 11, 4)})
		s = reopen(t, dir, s)
		hs, snap, es := s.TakeLoaded()
		assert.Equal(t, hs.Term, uint64(4))
		assert.Equal(t, string(snap.Data), "state")
		checkEntries(t, es, entries(9, 11, 4))
		remaining, err := filepath.Glob(filepath.Join(dir, "*-00000001"))
		assert.NilError(t, err)
		assert.Equal(t, len(remaining), 0, "files of the old generation remain: %v", remaining)
	})
}

// TestIdentity guards against using a folder under a wrong identity: formatting one in use, or taking
// one whose identity file was lost for empty.
func TestIdentity(t *testing.T) {
	dir, s := newStore(t)
	assert.Equal(t, s.Identity().ID, quorum.MemberID("c1#1"))
	assert.NilError(t, s.Close())
	t.Run("a folder in use is not formatted again", func(t *testing.T) {
		assert.ErrorContains(t, Format(dir, Identity{}), "not empty")
	})
	t.Run("an unformatted folder is reported as empty", func(t *testing.T) {
		_, err := Open(t.TempDir())
		assert.Assert(t, errors.Is(err, ErrEmpty))
	})
	t.Run("a lost identity beside a log is corrupt", func(t *testing.T) {
		assert.NilError(t, os.Remove(filepath.Join(dir, "identity")))
		_, err := Open(dir)
		assert.Assert(t, errors.Is(err, ErrCorrupt))
	})
	t.Run("a folder set aside can be formatted", func(t *testing.T) {
		_, err := SetAside(dir, time.UnixMilli(1))
		assert.NilError(t, err)
		assert.NilError(t, Format(dir, Identity{ID: "c1#2"}))
	})
}

// TestInterruptedFormat leaves the temporary file of a Format that was killed. The folder
// must count as empty, and the next Format must succeed.
func TestInterruptedFormat(t *testing.T) {
	whole, err := appendRecord(nil, Identity{ID: "c1#1", Group: "test", Members: members})
	assert.NilError(t, err)
	for _, n := range []int{0, headerSize / 2, len(whole) / 2, len(whole)} {
		dir := filepath.Join(t.TempDir(), "data")
		assert.NilError(t, os.Mkdir(dir, dirMode))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "identity.tmp"), whole[:n], fileMode))
		assert.Assert(t, Empty(dir))
		_, err := Open(dir)
		assert.Assert(t, errors.Is(err, ErrEmpty), "%d bytes were written: %v", n, err)
		assert.NilError(t, Format(dir, Identity{ID: "c1#2"}), "%d bytes were written", n)
		s, err := Open(dir)
		assert.NilError(t, err)
		assert.Equal(t, s.Identity().ID, quorum.MemberID("c1#2"))
		assert.NilError(t, s.Close())
	}
}

// filled returns a data folder with a snapshot at index 5 and entries 6 to 10, which is not open.
func filled(t *testing.T) (dir string) {
	t.Helper()
	dir, s := newStore(t)
	save(t, s, quorum.Ready{HardState: &quorum.HardState{Term: 1}, Entries: entries(1, 5, 1)})
	assert.NilError(t, s.SaveSnapshot(quorum.Snapshot{Index: 5, Term: 1, Members: members, Data: []byte("state")}, nil))
	for i := uint64(6); i <= 10; i++ {
		save(t, s, quorum.Ready{Entries: entries(i, i, 1)})
	}
	assert.NilError(t, s.Close())
	return dir
}

// change replaces the content of a file by what f returns for it.
func change(t *testing.T, path string, f func(b []byte) []byte) {
	t.Helper()
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, f(b), fileMode))
}

// TestEveryFlippedBit flips a bit in each byte of the identity, snapshot and log in turn:
// Open must fail with ErrCorrupt.
func TestEveryFlippedBit(t *testing.T) {
	dir := filled(t)
	for _, file := range []string{"identity", "snap-00000002", "log-00000002"} {
		path := filepath.Join(dir, file)
		whole, err := os.ReadFile(path)
		assert.NilError(t, err)
		for at := range whole {
			change(t, path, func(b []byte) []byte { b[at] ^= 0x10; return b })
			_, err := Open(dir)
			assert.Assert(t, errors.Is(err, ErrCorrupt), "%s: byte %d was flipped: %v", file, at, err)
			assert.NilError(t, os.WriteFile(path, whole, fileMode))
		}
	}
}

// TestEveryTruncation truncates the log to each length below the synced one: Open must
// fail with ErrCorrupt.
func TestEveryTruncation(t *testing.T) {
	dir := filled(t)
	path := filepath.Join(dir, "log-00000002")
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	for n := range whole {
		assert.NilError(t, os.WriteFile(path, whole[:n], fileMode))
		_, err := Open(dir)
		assert.Assert(t, errors.Is(err, ErrCorrupt), "cut to %d bytes: %v", n, err)
	}
	t.Run("a missing log", func(t *testing.T) {
		assert.NilError(t, os.Remove(path))
		_, err := Open(dir)
		assert.Assert(t, errors.Is(err, ErrCorrupt), "%v", err)
	})
}

// TestTornWrite appends each prefix of a record after the synced length, as a crash
// during a write leaves it: Open must cut it off and lose nothing else.
func TestTornWrite(t *testing.T) {
	dir := filled(t)
	path := filepath.Join(dir, "log-00000002")
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	next := entries(11, 11, 1)
	rec, err := encodeRecords(nil, next)
	assert.NilError(t, err)
	for n := range rec {
		assert.NilError(t, os.WriteFile(path, append(append([]byte(nil), whole...), rec[:n]...), fileMode))
		s, err := Open(dir)
		assert.NilError(t, err, "torn after %d bytes", n)
		_, _, es := s.TakeLoaded()
		checkEntries(t, es, entries(6, 10, 1))
		save(t, s, quorum.Ready{Entries: next})
		assert.NilError(t, s.Close())
		s, err = Open(dir)
		assert.NilError(t, err)
		_, _, es = s.TakeLoaded()
		checkEntries(t, es, entries(6, 11, 1))
		assert.NilError(t, s.Close())
		assert.NilError(t, os.WriteFile(path, whole, fileMode))
		s, err = Open(dir) // fails if the file tail has the length with the record
		if err == nil {
			assert.NilError(t, s.Close())
		} else {
			assert.NilError(t, os.Remove(filepath.Join(dir, "tail")))
		}
	}
}

// TestCrashInSnapshot leaves the files of a snapshot that a crash interrupted: Open must
// load the old generation and remove them.
func TestCrashInSnapshot(t *testing.T) {
	for _, left := range []string{"snap-00000003", "snap-00000003.tmp", "log-00000003.tmp"} {
		t.Run(left, func(t *testing.T) {
			dir := filled(t)
			assert.NilError(t, os.WriteFile(filepath.Join(dir, left), []byte("half"), fileMode))
			s, err := Open(dir)
			assert.NilError(t, err)
			_, snap, es := s.TakeLoaded()
			assert.Equal(t, string(snap.Data), "state")
			checkEntries(t, es, entries(6, 10, 1))
			_, err = os.Stat(filepath.Join(dir, left))
			assert.Assert(t, os.IsNotExist(err), "%s was not removed", left)
			assert.NilError(t, s.Close())
		})
	}
}

// TestPartlyWrittenBatch ends the log with a batch of full length with zeroes in some of
// its bytes, as a power loss during a sync can leave it: Open must cut it off like a
// shorter one.
func TestPartlyWrittenBatch(t *testing.T) {
	dir := filled(t)
	path := filepath.Join(dir, "log-00000002")
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	batch, err := encodeRecords(nil, entries(11, 13, 1))
	assert.NilError(t, err)
	for _, hole := range [][2]int{{0, len(batch)}, {0, 4}, {4, 12}, {len(batch) / 2, len(batch)}} {
		garbled := append([]byte(nil), batch...)
		clear(garbled[hole[0]:hole[1]])
		assert.NilError(t, os.WriteFile(path, append(append([]byte(nil), whole...), garbled...), fileMode))
		s, err := Open(dir)
		assert.NilError(t, err, "zeroes at %v", hole)
		_, _, es := s.TakeLoaded()
		assert.Assert(t, len(es) >= 5, "a synced entry is lost")
		checkEntries(t, es[:5], entries(6, 10, 1))
		assert.NilError(t, s.Close())
		assert.NilError(t, os.Remove(filepath.Join(dir, "tail"))) // the next Open writes it anew
		assert.NilError(t, os.WriteFile(path, whole, fileMode))
		s, err = Open(dir)
		assert.NilError(t, err)
		assert.NilError(t, s.Close())
	}
}
