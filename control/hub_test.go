package control

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/lease"
)

const (
	testTerm  = 5 * time.Second
	testBound = time.Second
)

// nobody is a recorder that keeps nothing.
type nobody struct{}

func (nobody) Record(rudderfork.Event) {}

func newTestHub() *hub {
	return newHub(Settings{}, nil, lease.NewLessor(testTerm, testBound), nil, zerolog.Nop(), nobody{})
}

func checkExpire(t *testing.T, h *hub, at time.Time, want bool) {
	t.Helper()
	assert.Equal(t, h.expire("vm1", at), want)
}

// TestRegisteredVMExpires has an agent die between its registration and its
// first lease. (Such a VM once stayed live for good, and tasks were placed on
// it.)
func TestRegisteredVMExpires(t *testing.T) {
	t0 := time.Unix(1000, 0)
	h := newTestHub()
	h.startTerm(1, nil, t0)
	h.registered("vm1", t0)
	checkExpire(t, h, t0.Add(testTerm+testBound), false)
	checkExpire(t, h, t0.Add(testTerm+testBound+time.Millisecond), true)
}

// TestNewLeaderWaits has a leader that knows of a VM only from the log.
func TestNewLeaderWaits(t *testing.T) {
	t0 := time.Unix(1000, 0)
	h := newTestHub()
	h.startTerm(1, []rudderfork.VMID{"vm1"}, t0)
	checkExpire(t, h, t0.Add(testTerm), false)
	checkExpire(t, h, t0.Add(testTerm+testBound+time.Millisecond), true)
	t.Run("it gets a lease again once it has registered", func(t *testing.T) {
		assert.Assert(t, h.expiring["vm1"])
		h.registered("vm1", t0.Add(time.Minute))
		assert.Assert(t, !h.expiring["vm1"])
	})
}
