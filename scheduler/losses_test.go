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

// heldStore is a store whose saves wait while a gate is set.
type gatedStore struct {
	replica.Store
	gate atomic.Pointer[chan struct{}]
}

// Save implements replica.Store.
func (h *gatedStore) Save(rd quorum.Ready) error {
	if gate := h.gate.Load(); gate != nil {
		<-*gate
	}
	return h.Store.Save(rd)
}

// TestLossesWaitForEachOther loses many VMs at once while a sync is under way: all losses are proposed
// behind it and share the next. (Each waited for the commit of the one before, and no round
// was made meanwhile.)
func TestLossesWaitForEachOther(t *testing.T) {
	const vms = 40
	store := &gatedStore{}
	rep := newReplicaWithStore(t, func(s replica.Store) replica.Store { store.Store = s; return store }, selfMember)
	s := &testCluster{t: t, ctx: t.Context()}
	s.serve(rep)
	s.waitUntil("it leads", rep.Leads)
	for i := range vms {
		id := rudderfork.VMID(fmt.Sprintf("vm%02d", i))
		_, err := rep.Do(s.ctx, state.Command{Queue: &queue.Command{Register: &queue.VM{ID: id, Incarnation: "life"}}})
		assert.NilError(t, err)
	}
	sched := New(Settings{Lease: time.Millisecond}, rep, nil, zerolog.Nop(), noPeers{})
	sched.startTerm(rep.Status().Term)
	steady.Pause(s.ctx, 2*roundPause) // until the leases are surely over

	gate := make(chan struct{})
	store.gate.Store(&gate)
	defer func() {
		store.gate.Store(nil)
		close(gate)
	}()
	last := rep.Status().Last
	go sched.expire(s.ctx)
	s.waitUntil("all losses are proposed", func() bool { return rep.Status().Last == last+vms })
}
