package harness

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/standin"
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

// TestAuditBeingWritten reads an audit whose last line is not whole yet. (A proof
// once failed on such a line, with a writer under way.)
func TestAuditBeingWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "audit")
	read := func(text string) (vms []string, err error) {
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		err = readAudit(path, func(u standin.Unit) { vms = append(vms, u.VM) })
		return vms, err
	}
	vms, err := read("{\"vm\":\"a\"}\n{\"vm\":\"b\"}\n{\"vm\":")
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []string{"a", "b"})
	_, err = read("{\"vm\":\"a\"}\n{\"vm\":\n{\"vm\":\"b\"}\n")
	assert.Assert(t, err != nil, "a whole line that cannot be read is a mistake")
}
