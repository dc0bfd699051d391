package worker

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/lease"
	"rudderfork.example/rudderfork/standin"
)

// TestExpiryIsTheLeasesEnd notices the end of a lease late, as a worker does that
// was frozen: the audit must not say that the attempt went on until then. (It
// once did, and TestProveBatch saw a task in two places for 9 ms.)
func TestExpiryIsTheLeasesEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "audit")
	audit, err := standin.OpenAudit(path)
	assert.NilError(t, err)
	w := New(Config{VM: "vm4"}, audit)
	w.deadline = time.Now().Add(-time.Hour)
	a := &task{}
	a.Phase = lease.WorkerRunning
	_, _, ok := w.begin(a, time.Now())
	assert.Assert(t, !ok)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var u standin.Unit
	assert.NilError(t, json.Unmarshal(data, &u))
	assert.Equal(t, u.What, string(lease.WorkerExpired))
	assert.Equal(t, u.To, w.deadline.UnixMicro())
}
