package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// writeSealed writes v as one checksummed record, replacing path atomically.
func writeSealed(path string, v any) error {
	buf, err := appendRecord(nil, v)
	if err != nil {
		return err
	}
	return writeAtomic(path, buf)
}

// readSealed is the inverse of writeSealed.
func readSealed(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	payload, err := recordAt(data, 0)
	if err != nil {
		return err
	}
	if headerSize+len(payload) != len(data) {
		return fmt.Errorf("trailing bytes: %w", ErrCorrupt)
	}
	return decoder.Unmarshal(payload, v)
}

// writeAtomic writes path so that after a crash it holds all of buf or what it
// held before.
func writeAtomic(path string, buf []byte) error {
	tmp := path + tmpSuffix
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return full(err)
	}
	if _, err := writeAt(f, buf, 0); err != nil {
		_ = f.Close()
		_ = os.Remove(tmp) // its bytes may be what is lacking
		return full(err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Rename(tmp, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// writeAt is replaced by tests whose disk is full.
var writeAt = (*os.File).WriteAt

// full marks the error of a write that found no room. One of a sync is not marked: what
// that leaves on the disk is unknown.
func full(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// fdatasync is replaced by tests that lose power.
var fdatasync = syscall.Fdatasync

// datasync syncs the file's data and the metadata needed to read it.
func datasync(f *os.File) error {
	return os.NewSyscallError("fdatasync", fdatasync(int(f.Fd())))
}

func asCorrupt(err error) error { return fmt.Errorf("%w: %w", ErrCorrupt, err) }
