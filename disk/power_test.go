package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/quorum"
)

// recordSyncs records the synced length of each file, by path, until the test ends.
func recordSyncs(t *testing.T) (synced map[string]int64) {
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

// TestPowerLossAfterKill kills a replica between a write and its sync, opens its folder
// again and then loses power. Everything that Open had loaded must still be there, since
// the replica may have acknowledged it meanwhile.
func TestPowerLossAfterKill(t *testing.T) {
	next, err := encodeRecords(nil, entries(11, 12, 1))
	assert.NilError(t, err)
	synced := recordSyncs(t)
	for _, tail := range []bool{true, false} { // the file tail is kept or lost
		for n := range len(next) + 1 {
			dir := filled(t)
			path := filepath.Join(dir, "log-00000002")
			change(t, path, func(b []byte) []byte { return append(b, next[:n]...) })

			s, err := Open(dir)
			assert.NilError(t, err)
			_, _, loaded := s.TakeLoaded()
			assert.NilError(t, s.Close())

			assert.NilError(t, os.Truncate(path, synced[path]))
			if !tail {
				assert.NilError(t, os.Remove(filepath.Join(dir, "tail")))
			}
			s, err = Open(dir)
			assert.NilError(t, err, "%d bytes were written", n)
			_, snap, kept := s.TakeLoaded()
			assert.Equal(t, snap.Index, uint64(5))
			checkEntries(t, kept, loaded)
			save(t, s, quorum.Ready{Entries: entries(uint64(6+len(kept)), 14, 1)})
			assert.NilError(t, s.Close())
		}
	}
}
