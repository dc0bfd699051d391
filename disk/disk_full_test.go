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

// limitSpace limits the bytes that can still be written to *free until the test ends; a
// negative value means no limit. Of a write that does not fit, the part that fits is
// written, as the kernel does.
func limitSpace(t *testing.T) (free *int) {
	t.Helper()
	remaining := -1
	before := writeAt
	t.Cleanup(func() { writeAt = before })
	writeAt = func(f *os.File, b []byte, at int64) (int, error) {
		if remaining < 0 || len(b) <= remaining {
			remaining = max(-1, remaining-len(b))
			return before(f, b, at)
		}
		n, _ := before(f, b[:remaining], at)
		remaining = 0
		return n, &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	return &remaining
}

// checkLast checks that the last entry of a folder has the given index.
func checkLast(t *testing.T, dir string, last uint64) {
	t.Helper()
	s, err := Open(dir)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	_, snap, es := s.TakeLoaded()
	assert.Equal(t, snap.Index+uint64(len(es)), last)
}

// TestDiskFull checks that a disk that fills up at any byte of a save loses nothing saved
// before, and that the same save succeeds once there is space.
func TestDiskFull(t *testing.T) {
	next := quorum.Ready{Entries: entries(11, 12, 1)}
	buf, err := encodeRecords(nil, next.Entries)
	assert.NilError(t, err)
	for n := range buf {
		dir := filled(t)
		s, err := Open(dir)
		assert.NilError(t, err)
		s.TakeLoaded()
		free := limitSpace(t)
		*free = n
		assert.Assert(t, errors.Is(s.Save(next), ErrFull), "with %d bytes free", n)
		assert.Assert(t, errors.Is(s.Save(next), ErrFull))
		*free = -1
		assert.NilError(t, s.Save(next))
		assert.NilError(t, s.Close())
		checkLast(t, dir, 12)
	}
}

// TestDiskFullThenKilled checks that a partial write to a full disk is ignored when the
// folder is opened again.
func TestDiskFullThenKilled(t *testing.T) {
	dir := filled(t)
	s, err := Open(dir)
	assert.NilError(t, err)
	s.TakeLoaded()
	free := limitSpace(t)
	*free = 5
	assert.Assert(t, errors.Is(s.Save(quorum.Ready{Entries: entries(11, 12, 1)}), ErrFull))
	*free = -1
	checkLast(t, dir, 10)
}

// TestDiskFullDuringSnapshot checks that the old generation stays in use if a snapshot
// does not fit, and that no temporary file remains.
func TestDiskFullDuringSnapshot(t *testing.T) {
	dir := filled(t)
	s, err := Open(dir)
	assert.NilError(t, err)
	_, snap, _ := s.TakeLoaded()
	free := limitSpace(t)
	*free = 3
	newer := quorum.Snapshot{Index: 9, Term: snap.Term, Members: snap.Members, Data: make([]byte, 100)}
	assert.Assert(t, errors.Is(s.SaveSnapshot(newer, entries(10, 10, 1)), ErrFull))
	remaining, err := filepath.Glob(filepath.Join(dir, "*"+tmpSuffix))
	assert.NilError(t, err)
	assert.Equal(t, len(remaining), 0, "temporary files remain: %v", remaining)
	*free = -1
	assert.NilError(t, s.Save(quorum.Ready{Entries: entries(11, 12, 1)}))
	assert.NilError(t, s.Close())
	checkLast(t, dir, 12)
}

// TestFailedSyncIsNotErrFull checks that a sync that fails for lack of space is not
// reported as ErrFull, since it must not be retried.
func TestFailedSyncIsNotErrFull(t *testing.T) {
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
