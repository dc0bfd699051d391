package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/quorum"
)

func TestOpening(t *testing.T) {
	now := time.Unix(1_000, 0)
	t.Run("a new group waits for its voters", func(t *testing.T) {
		var o bootstrapGate
		open, _ := o.Check(false, true, 3, 5, now)
		assert.Assert(t, !open)
		open, short := o.Check(false, true, 5, 5, now)
		assert.Assert(t, open && !short)
		open, _ = o.Check(false, true, 4, 5, now)
		assert.Assert(t, open, "it goes on with fewer")
	})
	t.Run("but not for good", func(t *testing.T) {
		var o bootstrapGate
		o.Check(false, true, 3, 5, now)
		open, _ := o.Check(false, true, 3, 5, now.Add(bootstrapTimeout-1))
		assert.Assert(t, !open)
		open, short := o.Check(false, true, 3, 5, now.Add(bootstrapTimeout))
		assert.Assert(t, open && short)
		_, short = o.Check(false, true, 3, 5, now.Add(2*bootstrapTimeout))
		assert.Assert(t, !short, "it is told once")
	})
	t.Run("the wait is one leader's", func(t *testing.T) {
		var o bootstrapGate
		o.Check(false, true, 3, 5, now)
		o.Check(false, false, 3, 5, now.Add(bootstrapTimeout-1))
		open, _ := o.Check(false, true, 3, 5, now.Add(bootstrapTimeout))
		assert.Assert(t, !open)
	})
	t.Run("a group that has taken commands takes more", func(t *testing.T) {
		var o bootstrapGate
		open, short := o.Check(true, true, 3, 5, now)
		assert.Assert(t, open && !short)
	})
}

// TestFirstCommandIsOnAllVoters founds a group of three that is to have five, and has
// two of the founders lose their disks as soon as a command is acknowledged.
func TestFirstCommandIsOnAllVoters(t *testing.T) {
	for range 5 {
		h := newHallOf(t, 1000, 3)
		h.commit()
		h.powerOff()
		h.wipe(h.names[0], h.names[1])
		h.powerOn()
		h.assertKept()
	}
}

// newHallOf starts the wanted voters, of which some found the group and the others
// ask to join.
func newHallOf(t *testing.T, every uint64, founders int) *hall {
	t.Helper()
	h := emptyHall(t, every)
	var founding []quorum.Member
	for _, name := range h.names[:founders] {
		founding = append(founding, quorum.Member{ID: MemberID(name, FoundingIncarnation), Name: name, Voter: true})
	}
	for _, m := range founding {
		assert.NilError(t, disk.Format(h.dir(m.Name), disk.Identity{ID: m.ID, Members: founding}))
	}
	h.powerOn()
	return h
}
