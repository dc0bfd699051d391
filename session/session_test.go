package session

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestInitialAddressesAreSpread guards against all nodes of a fleet trying the same
// control process first. It also checks that each node tries all of them in turn.
func TestInitialAddressesAreSpread(t *testing.T) {
	const nodes, addrs = 1_000, 5
	var all []string
	for i := range addrs {
		all = append(all, fmt.Sprintf("10.0.0.%d:1", i))
	}
	first := map[string]int{}
	for i := range nodes {
		c := New(fmt.Sprintf("side-hall-%d", i), func() []string { return all }, nil, zerolog.Nop())
		first[c.nextAddr()]++
		seen := map[string]bool{}
		for range addrs {
			seen[c.nextAddr()] = true
		}
		assert.Equal(t, len(seen), addrs)
	}
	for addr, n := range first {
		assert.Assert(t, n < 2*nodes/addrs, "%s is tried first by %d of %d", addr, n, nodes)
	}
}
