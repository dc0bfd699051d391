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
	// silenceRounds is how often the connections fall silent.
	silenceRounds = 2
	// callerTimeout is after how long a caller gives up a connection of its own: one
	// that has gone silent on the way to an entry only the caller can notice.
	callerTimeout = 3 * time.Second
)

// silenceCases are the kinds of processes whose connections fall silent together.
var silenceCases = []struct {
	kinds   []string
	timeout time.Duration // of the caller; none if it is 0
}{
	{kinds: []string{"c"}},
	{kinds: []string{"c", "e", "a"}},
	{kinds: []string{"e", "a"}},
	{kinds: []string{"c", "e", "a", "u", "w", "op"}},
	{kinds: []string{"caller", "c", "e", "a"}, timeout: callerTimeout},
}

// TestProveSilence makes open connections silent for good while new ones work:
// between the control processes, between these and the nodes, between entries and
// agents, all of these with upstreams, workers and operators, or with callers.
// Edits must come into force on every node,
// seats must be held, and each held seat was held by one run of its request.
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

// holdUntilAnswered sends one keyed hold again and again until it is answered. Each
// has no deadline if patience is 0.
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

// assertRunAtMostOnce asserts that no request ran twice.
func assertRunAtMostOnce(t *testing.T, c *harness.Cluster) {
	t.Helper()
	runs, err := c.HoldCounts()
	assert.NilError(t, err)
	for tag, n := range runs {
		assert.Assert(t, n <= 1, "%s ran %d times", tag, n)
	}
}
