package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPauseAfterRound holds that rounds leave half of the processor to sessions and to the group, and
// that leases and stand-stills are still looked at.
func TestPauseAfterRound(t *testing.T) {
	for _, c := range []struct {
		name  string
		times roundTimes
		rest  time.Duration
	}{
		{"short", roundTimes{plan: time.Millisecond}, time.Millisecond},
		{"all parts but the wait for the disk", roundTimes{expire: 1, plan: 2, commit: time.Second, wake: 4}, 7},
		{"long", roundTimes{plan: time.Minute}, roundPause},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.times.rest(), c.rest) })
	}
}
