package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// writeChecksummed replaces path atomically by a file that holds v as one checksummed
// record.
func writeChecksummed(path string, v any) error {
	buf, err := appendRecord(nil, v)
	if err != nil {
		return err
	}
	return writeAtomic(path, buf)
}

// readChecksummed reads a file written by writeChecksummed into v.
func readChecksummed(path string, v any) error {
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

// writeAtomic writes path so that after a crash it holds either all of buf or its
// previous content.
func writeAtomic(path string, buf []byte) error {
	tmp := path + tmpSuffix
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return wrapFull(err)
	}
	if _, err := writeAt(f, buf, 0); err != nil {
		_ = f.Close()
		_ = os.Remove(tmp) // frees its space
		return wrapFull(err)
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

// writeAt is replaced in tests to simulate a full disk.
var writeAt = (*os.File).WriteAt

// wrapFull adds ErrFull to the error of a write that failed for lack of space. It is not
// used for errors of a sync, after which the content of the disk is unknown.
func wrapFull(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// fdatasync is replaced in tests to simulate power loss and failed syncs.
var fdatasync = syscall.Fdatasync

// datasync syncs the file's data and the metadata needed to read it.
func datasync(f *os.File) error {
	return os.NewSyscallError("fdatasync", fdatasync(int(f.Fd())))
}

func wrapCorrupt(err error) error { return fmt.Errorf("%w: %w", ErrCorrupt, err) }
