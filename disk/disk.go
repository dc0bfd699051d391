// Package disk stores a replica's hard state, snapshot and log in one folder.
//
// The folder holds one generation g at a time: snap-g, the state up to some
// index, and log-g, the records after it. Taking a snapshot writes generation
// g+1 beside g and then removes g; the rename of log-(g+1) makes the new
// generation valid. The file identity holds the replica's member ID and the
// group's first members. The file tail holds the length up to which log-g was
// synced.
//
// A record is a length, a CRC-32C and a CBOR payload. An invalid record beyond
// the synced length is a torn write, which was never acknowledged, and is cut
// off. Every other mismatch is corruption, and Open fails with ErrCorrupt. A
// corrupt folder is never used, because the lost records may have been
// committed; SetAside renames it so that the replica can rejoin under a new ID
// (after "Protocol-Aware Recovery", FAST 2018).
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"

	"rudderfork.example/rudderfork/internal/crash"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/quorum"
)

// ErrCorrupt is returned for a folder with missing files or content that does not match
// its checksums.
var ErrCorrupt = errors.New("data folder is corrupt")

// ErrFull is returned by a write that failed for lack of disk space. Everything saved
// before stays valid, and the write may be retried.
var ErrFull = errors.New("the disk is full")

// ErrEmpty is returned for a folder that was never formatted.
var ErrEmpty = errors.New("data folder is empty")

const (
	headerSize = 8        // length and CRC, 4 bytes each
	maxRecord  = 64 << 20 // bytes; a greater length is taken for corruption
	dirMode    = 0o755
	fileMode   = 0o644

	identityFile = "identity"
	tmpSuffix    = ".tmp" // of a file while it is written
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Identity identifies the replica and its group. It is written once.
type Identity struct {
	ID      quorum.MemberID `cbor:"1,keyasint"`
	Group   string          `cbor:"2,keyasint"`           // ID of the group, the same on all its replicas
	Members []quorum.Member `cbor:"3,keyasint,omitempty"` // founding members; empty for a replica that joins
}

// record is one record of a log file; one of the fields is set.
type record struct {
	Hard  *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entry *quorum.Entry     `cbor:"2,keyasint,omitempty"`
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	dir  string
	gen  uint64   // the generation in use
	log  *os.File // of that generation
	size int64    // synced length of log
	tail *os.File // the file tail; nil until it is first written

	identity Identity
	hard     quorum.HardState // as last saved
	snap     quorum.Snapshot  // read by Open; TakeLoaded clears its data
	entries  []quorum.Entry   // read by Open, cleared by TakeLoaded
}

// Format writes the identity of a new replica into dir, which must be missing or
// empty except for the temporary file of an interrupted Format.
func Format(dir string, id Identity) (err error) {
	defer errs.Annotate(&err, "format %s", filepath.Base(dir))
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	names, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, n := range names {
		if n.Name() != identityFile+tmpSuffix {
			return fmt.Errorf("the folder is not empty: it contains %s", n.Name())
		}
	}
	if err := syncDir(filepath.Dir(dir)); err != nil {
		return err
	}
	return writeChecksummed(filepath.Join(dir, identityFile), id)
}

// Empty reports whether dir was never formatted.
func Empty(dir string) bool {
	_, err := os.Stat(filepath.Join(dir, identityFile))
	return errors.Is(err, fs.ErrNotExist)
}

// SetAside renames the corrupt folder dir, so that a new one can be formatted in
// its place, and returns the new path.
func SetAside(dir string, now time.Time) (to string, err error) {
	defer errs.Annotate(&err, "set aside %s", filepath.Base(dir))
	to = fmt.Sprintf("%s.corrupt-%d", dir, now.UnixMilli())
	return to, os.Rename(dir, to)
}

// Open reads the data folder dir. It fails with ErrEmpty if dir was never formatted
// and with ErrCorrupt if it is corrupt.
func Open(dir string) (s *Store, err error) {
	defer errs.Annotate(&err, "open %s", filepath.Base(dir))
	s = &Store{dir: dir}
	if err := readChecksummed(filepath.Join(dir, identityFile), &s.identity); err != nil {
		if errors.Is(err, fs.ErrNotExist) && !s.hasLog() {
			return nil, ErrEmpty
		}
		return nil, fmt.Errorf("identity: %w", wrapCorrupt(err))
	}
	s.snap.Members = s.identity.Members
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// hasLog reports whether the folder holds the log of any generation.
func (s *Store) hasLog() bool {
	names, _ := filepath.Glob(filepath.Join(s.dir, "log-*"))
	return len(names) > 0
}

// Identity returns the identity of the replica.
func (s *Store) Identity() Identity { return s.identity }

// TakeLoaded returns the hard state, snapshot and entries that Open read. It releases
// the entries and the snapshot's data, so a second call returns neither.
func (s *Store) TakeLoaded() (hs quorum.HardState, snap quorum.Snapshot, entries []quorum.Entry) {
	entries = s.entries
	s.entries = nil
	snap = s.snap
	s.snap.Data = nil
	return s.hard, snap, entries
}

// LogBytes returns the synced length of the current log file, in bytes.
func (s *Store) LogBytes() int64 { return s.size }

// Close closes the files. It does not sync, since Save and SaveSnapshot do.
func (s *Store) Close() error {
	if s.tail == nil {
		return s.log.Close()
	}
	return errors.Join(s.log.Close(), s.tail.Close())
}

// Save makes rd durable. After an error other than ErrFull the content of the disk is
// unknown and the store must not be used.
func (s *Store) Save(rd quorum.Ready) (err error) {
	defer errs.Annotate(&err, "save")
	if rd.HardState != nil {
		s.hard = *rd.HardState
	}
	if rd.Snapshot != nil {
		return s.SaveSnapshot(*rd.Snapshot, rd.Entries)
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	buf, err := encodeRecords(rd.HardState, rd.Entries)
	if err != nil {
		return err
	}
	if _, err := writeAt(s.log, buf, s.size); err != nil {
		return wrapFull(err) // a partial write is beyond the synced length
	}
	if err := datasync(s.log); err != nil {
		return err
	}
	s.size += int64(len(buf))
	return s.writeTail()
}

// SaveSnapshot starts a new generation from snap and the entries after it. After ErrFull
// the old generation stays in use.
func (s *Store) SaveSnapshot(snap quorum.Snapshot, after []quorum.Entry) (err error) {
	defer errs.Annotate(&err, "snapshot at %d", snap.Index)
	gen := s.gen + 1
	if err := writeChecksummed(s.path("snap", gen), snap); err != nil {
		return err
	}
	crash.Point(crash.ControlSnapshot)
	buf, err := encodeRecords(&s.hard, after)
	if err != nil {
		return err
	}
	if err := writeAtomic(s.path("log", gen), buf); err != nil {
		return err
	}
	old := s.gen
	if err := s.openLog(gen, int64(len(buf))); err != nil {
		return err
	}
	if err := s.writeTail(); err != nil {
		return err
	}
	s.removeGeneration(old)
	return nil
}

// openLog opens or creates the log of a generation, which becomes the one in use. size is the log's
// valid length.
func (s *Store) openLog(gen uint64, size int64) error {
	f, err := os.OpenFile(s.path("log", gen), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return err
	}
	if s.log != nil {
		_ = s.log.Close() // the old generation is no longer needed
	}
	s.log, s.gen, s.size = f, gen, size
	return syncDir(s.dir)
}

func (s *Store) removeGeneration(gen uint64) {
	_ = os.Remove(s.path("log", gen)) // the next Open removes files that remain
	_ = os.Remove(s.path("snap", gen))
}

func (s *Store) path(kind string, gen uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s-%08d", kind, gen))
}

// writeTail records the synced length of the log in the file tail, which is not
// synced itself. After a power loss the recorded length may be too low but never too
// high, which suffices to distinguish a log that was truncated later from a torn
// write.
func (s *Store) writeTail() error {
	if s.tail == nil {
		f, err := os.OpenFile(filepath.Join(s.dir, "tail"), os.O_RDWR|os.O_CREATE, fileMode)
		if errors.Is(wrapFull(err), ErrFull) {
			return nil // there is no recorded length until the next write
		}
		if err != nil {
			return err
		}
		s.tail = f
	}
	buf := make([]byte, 0, tailSize)
	buf = binary.LittleEndian.AppendUint64(buf, s.gen)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(s.size))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf, castagnoli))
	_, err := writeAt(s.tail, buf, 0)
	if errors.Is(wrapFull(err), ErrFull) {
		return nil // the recorded length is too low until the next write
	}
	return err
}

// tailSize is the length of the file tail: generation, synced length, CRC-32C.
const tailSize = 20 // bytes

func encodeRecords(hs *quorum.HardState, es []quorum.Entry) (buf []byte, err error) {
	if hs != nil {
		if buf, err = appendRecord(buf, record{Hard: hs}); err != nil {
			return nil, err
		}
	}
	for i := range es {
		if buf, err = appendRecord(buf, record{Entry: &es[i]}); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

func appendRecord(buf []byte, v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, err
	}
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	return append(buf, payload...), nil
}
