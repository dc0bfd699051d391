package harness

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOneLink asks for a link from many goroutines: they must share one. (Three
// callers once had a link each, and a restarted target was known to one alone.)
func TestOneLink(t *testing.T) {
	c := New(t.TempDir(), "", Options{})
	t.Cleanup(c.Close)
	links := make([]*Link, 32)
	var wg sync.WaitGroup
	for i := range links {
		wg.Go(func() { links[i] = c.Link("x", "y") })
	}
	wg.Wait()
	for _, l := range links {
		assert.Assert(t, l == links[0])
	}
}
