package session

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestFirstAddresses has a fleet begin its search for a leader: no control process is asked
// by many more than the others, and each node asks all of them in turn. (All nodes began at
// the same one.)
func TestFirstAddresses(t *testing.T) {
	const nodes, addrs = 1_000, 5
	var all []string
	for i := range addrs {
		all = append(all, fmt.Sprintf("10.0.0.%d:1", i))
	}
	first := map[string]int{}
	for i := range nodes {
		c := New(fmt.Sprintf("side-hall-%d", i), func() []string { return all }, nil, zerolog.Nop())
		first[c.next()]++
		seen := map[string]bool{}
		for range addrs {
			seen[c.next()] = true
		}
		assert.Equal(t, len(seen), addrs)
	}
	for addr, n := range first {
		assert.Assert(t, n < 2*nodes/addrs, "%s is asked by %d of %d", addr, n, nodes)
	}
}
