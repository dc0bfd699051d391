package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFleet plays a small fleet that loses its leader: every job is begun, and each VM gets
// a lease of the next leader.
func TestFleet(t *testing.T) {
	f, err := PlayFleet(t.Context(), FleetConfig{
		VMs: 30, Fronts: 4, Replicas: 3, Span: 4 * time.Second, Sync: time.Millisecond, LoseLeader: true, Seed: 1, Dir: t.TempDir(),
	})
	assert.NilError(t, err)
	assert.Assert(t, f.Jobs > 0)
	assert.Equal(t, len(f.FirstStart), f.Jobs)
	assert.Assert(t, f.Led > 0 && f.Whole >= f.Led, "%+v", f)
	assert.Assert(t, f.Opened >= 2*f.VMs)
}
