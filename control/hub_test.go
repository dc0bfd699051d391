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
	testLeaseTerm  = 5 * time.Second
	testClockBound = time.Second
)

// nopRecorder discards events.
type nopRecorder struct{}

func (nopRecorder) Record(rudderfork.Event) {}

func newTestHub() *hub {
	return newHub(Settings{}, nil, lease.NewLessor(testLeaseTerm, testClockBound), nil, zerolog.Nop(), nopRecorder{})
}

// checkExpire checks whether the hub regards the lease of vm1 as expired at a time.
func checkExpire(t *testing.T, h *hub, at time.Time, want bool) {
	t.Helper()
	assert.Equal(t, h.tryExpire("vm1", at), want)
}

// A VM whose agent dies between its registration and its first lease must expire;
// else it stays live for good and tasks are placed on it.
func TestVMExpiresWithoutFirstLease(t *testing.T) {
	t0 := time.Unix(1000, 0)
	h := newTestHub()
	h.startTerm(1, nil, t0)
	h.allowGrants("vm1", t0)
	checkExpire(t, h, t0.Add(testLeaseTerm+testClockBound), false)
	checkExpire(t, h, t0.Add(testLeaseTerm+testClockBound+time.Millisecond), true)
}

// A new leader knows the VM only from the log, and must assume that the VM still holds
// a lease of an earlier leader.
func TestNewLeaderWaitsForEarlierLeases(t *testing.T) {
	t0 := time.Unix(1000, 0)
	h := newTestHub()
	h.startTerm(1, []rudderfork.VMID{"vm1"}, t0)
	checkExpire(t, h, t0.Add(testLeaseTerm), false)
	checkExpire(t, h, t0.Add(testLeaseTerm+testClockBound+time.Millisecond), true)
	t.Run("the VM gets a lease again once it has registered", func(t *testing.T) {
		assert.Assert(t, h.expiring["vm1"])
		h.allowGrants("vm1", t0.Add(time.Minute))
		assert.Assert(t, !h.expiring["vm1"])
	})
}
