package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// fullStore is a store whose disk can be made full.
type fullStore struct {
	Store
	full    atomic.Bool
	refused atomic.Int64 // writes that failed because the disk was full
}

func (s *fullStore) Save(rd quorum.Ready) error {
	if s.full.Load() && rd.MustSync() {
		s.refused.Add(1)
		return fmt.Errorf("save: %w", disk.ErrFull)
	}
	return s.Store.Save(rd)
}

// commitVersion proposes a document with this version, and waits for the result for at most a
// second.
func commitVersion(ctx context.Context, r *Replica, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := r.Do(ctx, state.Command{Queue: &queue.Command{Document: &queue.Document{Version: version}}})
	return err
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestFullDisk checks that a replica with a full disk acknowledges nothing, keeps running and
// answering status requests, and continues once space is free.
func TestFullDisk(t *testing.T) {
	r := newReplica(t)
	store := &fullStore{Store: r.writer.store}
	r.writer.store = store
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Serve(ctx) }()
	waitUntil(t, "a command succeeds", func() bool { return commitVersion(ctx, r, 1) == nil })

	store.full.Store(true)
	assert.Assert(t, commitVersion(ctx, r, 2) != nil)
	waitUntil(t, "the write is retried", func() bool { return store.refused.Load() > 2 })
	assert.Assert(t, len(r.Status().Members) == 1)
	select {
	case err := <-ended:
		t.Fatal("the replica has stopped:", err)
	default:
	}

	store.full.Store(false)
	waitUntil(t, "a command succeeds again", func() bool { return commitVersion(ctx, r, 3) == nil })
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// TestFullDiskWhileStopping guards against a replica that waits for free space while it is being
// stopped.
func TestFullDiskWhileStopping(t *testing.T) {
	r := newReplica(t)
	store := &fullStore{Store: r.writer.store}
	store.full.Store(true)
	r.writer.store = store
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Serve(ctx) }()
	waitUntil(t, "a write fails because the disk is full", func() bool { return store.refused.Load() > 0 })
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// TestFullDiskAtSnapshot checks that commands still succeed when there is no space for a snapshot.
func TestFullDiskAtSnapshot(t *testing.T) {
	r := newReplica(t)
	store := &logOnly{Store: r.writer.store}
	r.writer.store, r.snapshotEvery = store, 3
	serve(t, r)
	for v := range uint64(10) {
		waitUntil(t, "a command succeeds", func() bool { return commitVersion(t.Context(), r, v+1) == nil })
	}
	assert.Equal(t, store.refused.Load(), int64(1), "the snapshot was retried at once")
}

// logOnly is a store whose disk has space for the log, but not for snapshots.
type logOnly struct {
	Store
	refused atomic.Int64
}

func (s *logOnly) SaveSnapshot(quorum.Snapshot, []quorum.Entry) error {
	s.refused.Add(1)
	return fmt.Errorf("snapshot: %w", disk.ErrFull)
}
