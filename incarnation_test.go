package rudderfork

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestIncarnationName checks that SplitIncarnation returns the parts that IncarnationName was given,
// also for IDs that contain startMark.
func TestIncarnationName(t *testing.T) {
	for _, want := range []struct {
		id      string
		startMS int64
	}{{"i-1", 0}, {"i-1", 1_783_502_653_021}, {"i@1", 5}, {"i@", 0}, {"i@x", 0}, {"", 7}, {"i-1", -3}} {
		id, start := SplitIncarnation(IncarnationName(want.id, want.startMS))
		assert.Equal(t, id, want.id)
		assert.Equal(t, start, want.startMS)
	}
}
