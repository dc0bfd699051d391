package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
)

// TestLossProposedTwiceLeavesCrashSuspicion guards against an unresolved loss that stays counted for
// a task, so that it is never started again, after the loss of its VM was committed twice.
func TestLossProposedTwiceLeavesCrashSuspicion(t *testing.T) {
	store := &gatedStore{}
	rep := newReplicaWithStore(t, func(s replica.Store) replica.Store { store.Store = s; return store }, selfMember)
	c := &testCluster{t: t, ctx: t.Context()}
	c.serve(rep)
	c.waitUntil("it leads", rep.Leads)
	commit := func(cmd queue.Command) {
		_, err := rep.Do(c.ctx, state.Command{Queue: &cmd})
		assert.NilError(t, err)
	}
	vm, k := queue.VM{ID: "vm1", Incarnation: "life-1", Service: "desk"}, queue.TaskKey{Job: "feed"}
	commit(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 1}}, Pools: []queue.Pool{{Service: "desk"}},
	}})
	commit(queue.Command{Submit: &queue.Submit{Host: testHost, Path: "/q/feed", Spec: queue.Spec{Steps: []queue.Step{{Count: 1, Lasting: true}}}}})
	commit(queue.Command{Register: &vm})
	commit(queue.Command{Starts: []queue.Start{{Task: k, VM: vm.ID, Incarnation: vm.Incarnation}}})
	sched := New(Settings{Lease: time.Millisecond}, rep, nil, zerolog.Nop(), noPeers{})
	sched.startTerm(rep.Status().Term)
	steady.Pause(c.ctx, 2*roundPause) // lets the lease run out

	gate := make(chan struct{})
	store.gate.Store(&gate)
	last := rep.Status().LastIndex
	for range 2 { // rounds in which no commit completes
		ctx, cancel := context.WithTimeout(c.ctx, 2*roundPause)
		sched.expireLeases(ctx)
		sched.losses.Wait()
		cancel()
	}
	store.gate.Store(nil)
	close(gate)
	c.waitUntil("both proposals are committed", func() bool { return rep.Status().CommitIndex == last+2 })
	commit(queue.Command{Register: &vm})
	rep.View(func(st *state.State) { assert.Equal(t, st.Queues().Job("feed").Task(k).UnresolvedLosses, 0) })
}
