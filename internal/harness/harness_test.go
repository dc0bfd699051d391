package harness

import (
	"os"
	"path/filepath"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/standin"
)

// TestConcurrentCallersShareLink guards against several links between two processes, of
// which only one gets the new address of a restarted target.
func TestConcurrentCallersShareLink(t *testing.T) {
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

// TestReadAuditSkipsIncompleteLastLine guards against an error for an audit whose last
// line is still being written.
func TestReadAuditSkipsIncompleteLastLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "audit")
	read := func(text string) (vms []string, err error) {
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		err = readAudit(path, func(u standin.TaskRecord) { vms = append(vms, u.VM) })
		return vms, err
	}
	vms, err := read("{\"vm\":\"a\"}\n{\"vm\":\"b\"}\n{\"vm\":")
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, []string{"a", "b"})
	_, err = read("{\"vm\":\"a\"}\n{\"vm\":\n{\"vm\":\"b\"}\n")
	assert.Assert(t, err != nil, "a complete line that cannot be parsed is an error")
}
