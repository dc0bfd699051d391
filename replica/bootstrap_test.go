package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/quorum"
)

func TestBootstrapGate(t *testing.T) {
	now := time.Unix(1_000, 0)
	t.Run("a new group waits for its voters", func(t *testing.T) {
		var g bootstrapGate
		open, _ := g.Check(false, true, 3, 5, now)
		assert.Assert(t, !open)
		open, short := g.Check(false, true, 5, 5, now)
		assert.Assert(t, open && !short)
		open, _ = g.Check(false, true, 4, 5, now)
		assert.Assert(t, open, "an open group is closed again with fewer voters")
	})
	t.Run("a new group does not wait for ever", func(t *testing.T) {
		var g bootstrapGate
		g.Check(false, true, 3, 5, now)
		open, _ := g.Check(false, true, 3, 5, now.Add(bootstrapTimeout-1))
		assert.Assert(t, !open)
		open, short := g.Check(false, true, 3, 5, now.Add(bootstrapTimeout))
		assert.Assert(t, open && short)
		_, short = g.Check(false, true, 3, 5, now.Add(2*bootstrapTimeout))
		assert.Assert(t, !short, "the shortage is reported a second time")
	})
	t.Run("a new leader waits anew", func(t *testing.T) {
		var g bootstrapGate
		g.Check(false, true, 3, 5, now)
		g.Check(false, false, 3, 5, now.Add(bootstrapTimeout-1))
		open, _ := g.Check(false, true, 3, 5, now.Add(bootstrapTimeout))
		assert.Assert(t, !open)
	})
	t.Run("a group that has committed commands does not wait", func(t *testing.T) {
		var g bootstrapGate
		open, short := g.Check(true, true, 3, 5, now)
		assert.Assert(t, open && !short)
	})
}

// TestFirstCommandReachesAllVoters guards against the loss of a first command that only the
// founders have stored: a group founded by three of five voters acknowledges a command, and then two
// founders lose their disks.
func TestFirstCommandReachesAllVoters(t *testing.T) {
	for range 5 {
		c := newClusterOf(t, 1000, 3)
		c.commit()
		c.stopAll()
		c.wipe(c.names[0], c.names[1])
		c.startAll()
		c.assertNothingLost()
	}
}

// newClusterOf starts wantedVoters replicas, of which some found the group and the others join it.
func newClusterOf(t *testing.T, snapshotEvery uint64, founders int) *cluster {
	t.Helper()
	c := emptyCluster(t, snapshotEvery)
	var founding []quorum.Member
	for _, name := range c.names[:founders] {
		founding = append(founding, quorum.Member{ID: MemberID(name, FoundingIncarnation), Name: name, Voter: true})
	}
	for _, m := range founding {
		assert.NilError(t, disk.Format(c.dir(m.Name), disk.Identity{ID: m.ID, Members: founding}))
	}
	c.startAll()
	return c
}
