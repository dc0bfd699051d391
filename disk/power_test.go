package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/quorum"
)

// watchSyncs notes the length up to which each file was synced, by its path, until the
// test ends.
func watchSyncs(t *testing.T) (synced map[string]int64) {
	t.Helper()
	synced = map[string]int64{}
	sync := fdatasync
	t.Cleanup(func() { fdatasync = sync })
	fdatasync = func(fd int) error {
		path, err := os.Readlink(fmt.Sprintf("/proc/self/fd/%d", fd))
		if err != nil {
			return err
		}
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		synced[path] = info.Size()
		return sync(fd)
	}
	return synced
}

// TestPowerLostAfterKill kills a replica between a write and its sync, starts it again
// and has it lose power: all that Open gave out, which the replica may have
// acknowledged since, must still be there.
func TestPowerLostAfterKill(t *testing.T) {
	next, err := encodeRecords(nil, entries(11, 12, 1))
	assert.NilError(t, err)
	synced := watchSyncs(t)
	for _, tail := range []bool{true, false} { // the mark of the synced length is kept or lost
		for n := range len(next) + 1 {
			dir := filled(t)
			path := filepath.Join(dir, "log-00000002")
			change(t, path, func(b []byte) []byte { return append(b, next[:n]...) })

			s, err := Open(dir)
			assert.NilError(t, err)
			_, _, told := s.TakeLoaded()
			assert.NilError(t, s.Close())

			assert.NilError(t, os.Truncate(path, synced[path]))
			if !tail {
				assert.NilError(t, os.Remove(filepath.Join(dir, "tail")))
			}
			s, err = Open(dir)
			assert.NilError(t, err, "%d bytes were written", n)
			_, snap, kept := s.TakeLoaded()
			assert.Equal(t, snap.Index, uint64(5))
			checkEntries(t, kept, told)
			save(t, s, quorum.Ready{Entries: entries(uint64(6+len(kept)), 14, 1)})
			assert.NilError(t, s.Close())
		}
	}
}
