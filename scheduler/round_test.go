package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPauseAfterRound checks that the pause after a round is as long as its work, so that sessions
// and the replica group get half of the processor, but at most roundPause, so that expired leases
// and stalled runs are still found.
func TestPauseAfterRound(t *testing.T) {
	for _, c := range []struct {
		name  string
		times roundTimes
		pause time.Duration
	}{
		{"short", roundTimes{plan: time.Millisecond}, time.Millisecond},
		{"all parts but the wait for the commit", roundTimes{expire: 1, plan: 2, commit: time.Second, wake: 4}, 7},
		{"long", roundTimes{plan: time.Minute}, roundPause},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.times.pause(), c.pause) })
	}
}
