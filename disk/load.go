package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"rudderfork.example/rudderfork/quorum"
)

// decoder accepts arrays and maps as large as a snapshot or a batch may hold.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// load reads the newest generation and removes files of others.
func (s *Store) load() error {
	gen, err := s.newestGeneration()
	if err != nil {
		return err
	}
	if gen == 0 {
		if err := s.openLog(1, 0); err != nil {
			return err
		}
		return s.writeTail()
	}
	if err := s.loadSnapshot(gen); err != nil {
		return err
	}
	data, err := os.ReadFile(s.path("log", gen))
	if err != nil {
		return err
	}
	size, err := s.loadLog(data, s.syncedSize(gen))
	if err != nil {
		return fmt.Errorf("log-%08d: %w", gen, err)
	}
	if err := s.openLog(gen, size); err != nil {
		return err
	}
	if err := s.log.Truncate(size); err != nil {
		return err
	}
	// Records that a killed process wrote and did not sync are loaded too, and would
	// be lost on a power loss. Sync them before they are acknowledged.
	if err := datasync(s.log); err != nil {
		return err
	}
	if err := s.writeTail(); err != nil {
		return err
	}
	return s.removeOthers(gen)
}

// newestGeneration returns the highest generation that has a log, or 0. It fails with
// ErrCorrupt if the file tail is of a newer generation, whose log is missing then.
func (s *Store) newestGeneration() (gen uint64, err error) {
	names, err := filepath.Glob(filepath.Join(s.dir, "log-*"))
	if err != nil {
		return 0, err
	}
	for _, name := range names {
		if g, ok := generation(name); ok {
			gen = max(gen, g)
		}
	}
	if tailGen, _, ok := s.readTail(); ok && tailGen > gen {
		return 0, fmt.Errorf("log-%08d is missing: %w", tailGen, ErrCorrupt)
	}
	return gen, nil
}

// generation returns the generation in a file name, such as log-00000002.
func generation(name string) (gen uint64, ok bool) {
	_, digits, _ := strings.Cut(filepath.Base(name), "-")
	gen, err := strconv.ParseUint(digits, 10, 64)
	return gen, err == nil
}

// loadSnapshot reads the snapshot of a generation. The first one has none.
func (s *Store) loadSnapshot(gen uint64) error {
	err := readChecksummed(s.path("snap", gen), &s.snap)
	if errors.Is(err, fs.ErrNotExist) && gen == 1 {
		return nil
	}
	if err != nil {
		return fmt.Errorf("snap-%08d: %w", gen, wrapCorrupt(err))
	}
	return nil
}

// readTail returns the generation and synced length in the file tail; ok is false if
// it is missing or invalid.
func (s *Store) readTail() (gen uint64, size int64, ok bool) {
	b, err := os.ReadFile(filepath.Join(s.dir, "tail"))
	if err != nil || len(b) != tailSize {
		return 0, 0, false
	}
	if crc32.Checksum(b[:16], castagnoli) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, 0, false
	}
	return binary.LittleEndian.Uint64(b), int64(binary.LittleEndian.Uint64(b[8:])), true
}

// syncedSize returns the synced length of a generation's log according to the file tail, or 0 if it
// is not known.
func (s *Store) syncedSize(gen uint64) int64 {
	g, size, ok := s.readTail()
	if !ok || g != gen {
		return 0
	}
	return size
}

// loadLog applies the records of a log file of which synced bytes are known to be
// synced, and returns the length of the valid part.
func (s *Store) loadLog(data []byte, synced int64) (size int64, err error) {
	if int64(len(data)) < synced {
		return 0, fmt.Errorf("file has %d bytes, but %d were synced: %w", len(data), synced, ErrCorrupt)
	}
	off := 0
	for off < len(data) {
		payload, err := recordAt(data, off)
		if err != nil && int64(off) >= synced {
			// Each batch is synced before the next is written, so only the last one
			// can be unsynced: an invalid record past the synced length is a torn write.
			return int64(off), nil
		}
		if err != nil {
			return 0, fmt.Errorf("offset %d: %w", off, err)
		}
		if err := s.applyRecord(payload); err != nil {
			return 0, fmt.Errorf("offset %d: %w", off, err)
		}
		off += headerSize + len(payload)
	}
	return int64(off), nil
}

// recordAt returns the payload of the record at offset off.
func recordAt(data []byte, off int) (payload []byte, err error) {
	rest := data[off:]
	if len(rest) < headerSize {
		return nil, fmt.Errorf("truncated record: %w", ErrCorrupt)
	}
	n := binary.LittleEndian.Uint32(rest)
	if n == 0 || n > maxRecord {
		return nil, fmt.Errorf("invalid record length %d: %w", n, ErrCorrupt)
	}
	if int(n) > len(rest)-headerSize {
		return nil, fmt.Errorf("truncated record: %w", ErrCorrupt)
	}
	payload = rest[headerSize : headerSize+int(n)]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
		return nil, fmt.Errorf("wrong record checksum: %w", ErrCorrupt)
	}
	return payload, nil
}

func (s *Store) applyRecord(payload []byte) error {
	var r record
	if err := decoder.Unmarshal(payload, &r); err != nil {
		return wrapCorrupt(err)
	}
	if r.Hard != nil {
		s.hard = *r.Hard
	}
	if r.Entry == nil {
		return nil
	}
	return s.applyEntry(*r.Entry)
}

// applyEntry appends e and removes loaded entries at or past its index, which e
// replaces.
func (s *Store) applyEntry(e quorum.Entry) error {
	first := s.snap.Index + 1
	if e.Index < first {
		return nil
	}
	at := e.Index - first
	if at > uint64(len(s.entries)) {
		return fmt.Errorf("entry %d follows entry %d: %w", e.Index, s.snap.Index+uint64(len(s.entries)), ErrCorrupt)
	}
	s.entries = append(s.entries[:at], e)
	return nil
}

// removeOthers removes the files of other generations, and temporary files.
func (s *Store) removeOthers(gen uint64) error {
	names, err := os.ReadDir(s.dir)
	if err != nil {
		return err
	}
	for _, n := range names {
		g, ok := generation(n.Name())
		if ok && g != gen || strings.HasSuffix(n.Name(), tmpSuffix) {
			if err := os.Remove(filepath.Join(s.dir, n.Name())); err != nil {
				return err
			}
		}
	}
	return nil
}
