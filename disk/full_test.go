package disk

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/quorum"
)

// fillDisk has the disk take so many bytes more until the test ends, or for ever if that
// is negative. A write that does not fit is cut short, as the kernel does.
func fillDisk(t *testing.T) (room *int) {
	t.Helper()
	left := -1
	before := writeAt
	t.Cleanup(func() { writeAt = before })
	writeAt = func(f *os.File, b []byte, at int64) (int, error) {
		if left < 0 || len(b) <= left {
			left = max(-1, left-len(b))
			return before(f, b, at)
		}
		n, _ := before(f, b[:left], at)
		left = 0
		return n, &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	return &left
}

// checkLast holds that a folder reads as holding entries up to an index.
func checkLast(t *testing.T, dir string, last uint64) {
	t.Helper()
	s, err := Open(dir)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	_, snap, es := s.TakeLoaded()
	assert.Equal(t, snap.Index+uint64(len(es)), last)
}

// TestFull holds that a full disk loses nothing of what was saved, at whatever byte it is
// full, and that the same is saved once there is room.
func TestFull(t *testing.T) {
	next := quorum.Ready{Entries: entries(11, 12, 1)}
	buf, err := encodeRecords(nil, next.Entries)
	assert.NilError(t, err)
	for n := range buf {
		dir := filled(t)
		s, err := Open(dir)
		assert.NilError(t, err)
		s.TakeLoaded()
		room := fillDisk(t)
		*room = n
		assert.Assert(t, errors.Is(s.Save(next), ErrFull), "with room for %d bytes", n)
		assert.Assert(t, errors.Is(s.Save(next), ErrFull))
		*room = -1
		assert.NilError(t, s.Save(next))
		assert.NilError(t, s.Close())
		checkLast(t, dir, 12)
	}
}

// TestFullThenKilled holds that what did not fit is no harm to a process that is killed
// meanwhile.
func TestFullThenKilled(t *testing.T) {
	dir := filled(t)
	s, err := Open(dir)
	assert.NilError(t, err)
	s.TakeLoaded()
	room := fillDisk(t)
	*room = 5
	assert.Assert(t, errors.Is(s.Save(quorum.Ready{Entries: entries(11, 12, 1)}), ErrFull))
	*room = -1
	checkLast(t, dir, 10)
}

// TestFullSnapshot holds that a snapshot that finds no room leaves the log in force.
func TestFullSnapshot(t *testing.T) {
	dir := filled(t)
	s, err := Open(dir)
	assert.NilError(t, err)
	_, snap, _ := s.TakeLoaded()
	room := fillDisk(t)
	*room = 3
	newer := quorum.Snapshot{Index: 9, Term: snap.Term, Members: snap.Members, Data: make([]byte, 100)}
	assert.Assert(t, errors.Is(s.SaveSnapshot(newer, entries(10, 10, 1)), ErrFull))
	left, err := filepath.Glob(filepath.Join(dir, "*"+tmpSuffix))
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0, "%v", left)
	*room = -1
	assert.NilError(t, s.Save(quorum.Ready{Entries: entries(11, 12, 1)}))
	assert.NilError(t, s.Close())
	checkLast(t, dir, 12)
}

// TestSyncFails holds that a sync that fails for want of room is not taken for a write
// that may be tried again.
func TestSyncFails(t *testing.T) {
	dir := filled(t)
	s, err := Open(dir)
	assert.NilError(t, err)
	s.TakeLoaded()
	sync := fdatasync
	t.Cleanup(func() { fdatasync = sync })
	fdatasync = func(int) error { return syscall.ENOSPC }
	err = s.Save(quorum.Ready{Entries: entries(11, 12, 1)})
	assert.Assert(t, err != nil && !errors.Is(err, ErrFull), "%v", err)
}
