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

// TestAuditEndsExpiredAttemptAtLeaseEnd guards against an audit that shows a task on two
// VMs at once: a worker that was frozen detects the end of its lease late and records an
// attempt as running until then, while the task runs elsewhere.
func TestAuditEndsExpiredAttemptAtLeaseEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "audit")
	audit, err := standin.OpenAudit(path)
	assert.NilError(t, err)
	w := New(Config{VM: "vm4"}, audit)
	w.deadline = time.Now().Add(-time.Hour)
	a := &task{}
	a.Phase = lease.WorkerRunning
	_, _, ok := w.nextUnit(a, time.Now())
	assert.Assert(t, !ok)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var u standin.TaskRecord
	assert.NilError(t, json.Unmarshal(data, &u))
	assert.Equal(t, u.Event, string(lease.WorkerExpired))
	assert.Equal(t, u.To, w.deadline.UnixMicro())
}
