package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFleet runs a small fleet whose leader is stopped under load. It guards against jobs that
// never start, and VMs that get no lease from the next leader.
func TestFleet(t *testing.T) {
	f, err := RunFleet(t.Context(), FleetConfig{
		VMs: 30, Fronts: 4, Replicas: 3, Duration: 4 * time.Second, SyncDelay: time.Millisecond, StopLeader: true, Seed: 1, Dir: t.TempDir(),
	})
	assert.NilError(t, err)
	assert.Assert(t, f.Jobs > 0)
	assert.Equal(t, len(f.FirstStarts), f.Jobs)
	assert.Assert(t, f.LeaderElected > 0 && f.AllLeased >= f.LeaderElected, "%+v", f)
	assert.Assert(t, f.Sessions >= 2*f.VMs)
}
