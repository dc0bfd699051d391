package daemon

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReserveProcessor checks that a process with one processor gets a second one, for
// use while a sync to disk holds the first, and that further calls add none.
func TestReserveProcessor(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ReserveProcessor()
	ReserveProcessor()
	assert.Equal(t, runtime.GOMAXPROCS(0), 2)
}
