package bench

import (
	"context"
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

// TestFleetWithoutNextLeader guards against a run that reports zero for a change of leader that
// is not over: the only control process is stopped, so no other can take over.
func TestFleetWithoutNextLeader(t *testing.T) {
	s := &fleetSim{cfg: FleetConfig{Replicas: 1, Dir: t.TempDir()}}
	ctx, cancel := context.WithCancel(t.Context())
	defer s.wg.Wait()
	defer cancel()
	assert.NilError(t, s.startReplicas(ctx))
	assert.Assert(t, s.waitForLeader(ctx, 0) != nil)
	bounded, cancelBounded := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancelBounded()
	assert.ErrorIs(t, s.stopLeader(bounded), context.DeadlineExceeded)
}
