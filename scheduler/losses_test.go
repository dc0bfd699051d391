package scheduler

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
)

// gatedStore is a store whose saves wait, while gate is set, until the channel in it is closed.
type gatedStore struct {
	replica.Store
	gate atomic.Pointer[chan struct{}]
}

// Save implements replica.Store.
func (s *gatedStore) Save(rd quorum.Ready) error {
	if gate := s.gate.Load(); gate != nil {
		<-*gate
	}
	return s.Store.Save(rd)
}

// TestLossesWaitForEachOther guards against losses of many VMs of which each is proposed only when
// the one before is committed. All are to be proposed while one save is blocked, so that they share
// the next.
func TestLossesWaitForEachOther(t *testing.T) {
	const vms = 40
	store := &gatedStore{}
	rep := newReplicaWithStore(t, func(s replica.Store) replica.Store { store.Store = s; return store }, selfMember)
	c := &testCluster{t: t, ctx: t.Context()}
	c.serve(rep)
	c.waitUntil("it leads", rep.Leads)
	for i := range vms {
		id := rudderfork.VMID(fmt.Sprintf("vm%02d", i))
		_, err := rep.Do(c.ctx, state.Command{Queue: &queue.Command{Register: &queue.VM{ID: id, Incarnation: "life"}}})
		assert.NilError(t, err)
	}
	sched := New(Settings{Lease: time.Millisecond}, rep, nil, zerolog.Nop(), noPeers{})
	sched.startTerm(rep.Status().Term)
	steady.Pause(c.ctx, 2*roundPause) // lets all leases run out

	gate := make(chan struct{})
	store.gate.Store(&gate)
	defer func() {
		store.gate.Store(nil)
		close(gate)
	}()
	last := rep.Status().LastIndex
	go sched.expireLeases(c.ctx)
	c.waitUntil("all losses are proposed", func() bool { return rep.Status().LastIndex == last+vms })
}
