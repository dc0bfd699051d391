//go:build proof

package proof

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/harness"
)

const (
	// silenceRounds is how often each case runs.
	silenceRounds = 2
	// callerTimeout limits a caller's requests where its own connections are blackholed: only
	// the caller can detect that its connection to an entry is silent.
	callerTimeout = 3 * time.Second
)

// silenceCases lists the kinds of processes whose connections to each other are blackholed
// together.
var silenceCases = []struct {
	kinds   []string
	timeout time.Duration // of a caller's request; 0 means none
}{
	{kinds: []string{"c"}},
	{kinds: []string{"c", "e", "a"}},
	{kinds: []string{"e", "a"}},
	{kinds: []string{"c", "e", "a", "u", "w", "op"}},
	{kinds: []string{"caller", "c", "e", "a"}, timeout: callerTimeout},
}

// TestProveSilence blackholes open connections while new ones work: between control
// processes; between these, entries and agents; between entries and agents; and between
// all of these and upstreams, workers and operators, or callers. Edits must still come
// into force on every node, each seat must be held, and no hold may run twice.
func TestProveSilence(t *testing.T) {
	ctx, c := startCluster(t, harness.Options{})
	prove(t, "silent connections stop neither edits nor holds", func() string {
		return fmt.Sprintf("%d rounds of %d kinds", silenceRounds, len(silenceCases))
	})
	nodes := []string{"e1", "e2", "a1", "a2", "a3"}
	caller := c.Caller("e1")
	held := 0
	for round := range silenceRounds {
		for i, s := range silenceCases {
			n := round*len(silenceCases) + i
			c.Blackhole(s.kinds...)
			timeInForce(ctx, t, c, nodes, n)
			held += holdUntilAnswered(ctx, t, caller, n, s.timeout)
		}
	}
	assert.Equal(t, held, silenceRounds*len(silenceCases))
	assertRunAtMostOnce(t, c)
}

// holdUntilAnswered retries a keyed hold until it is answered, and returns 1. timeout
// limits each attempt; 0 means no limit.
func holdUntilAnswered(ctx context.Context, t *testing.T, cl *harness.Caller, n int, timeout time.Duration) (answered int) {
	t.Helper()
	seat := fmt.Sprintf("silent-%d", n)
	assert.NilError(t, harness.Until(ctx, "a hold of "+seat, func() error {
		ctx := ctx
		if timeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		_, err := cl.Hold(ctx, seat, "key-"+seat, seat)
		return err
	}))
	return 1
}

// assertRunAtMostOnce asserts that no hold ran more than once.
func assertRunAtMostOnce(t *testing.T, c *harness.Cluster) {
	t.Helper()
	runs, err := c.HoldCounts()
	assert.NilError(t, err)
	for tag, n := range runs {
		assert.Assert(t, n <= 1, "%s ran %d times", tag, n)
	}
}
