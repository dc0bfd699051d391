package daemon

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReserveProcessor holds that a process with one processor has another one while a
// sync keeps the first, and that it asks for no more each time.
func TestReserveProcessor(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ReserveProcessor()
	ReserveProcessor()
	assert.Equal(t, runtime.GOMAXPROCS(0), 2)
}
