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

// fullStore is a store whose disk may be full.
type fullStore struct {
	Store
	full    atomic.Bool
	refused atomic.Int64
}

func (s *fullStore) Save(rd quorum.Ready) error {
	if s.full.Load() && rd.MustSync() {
		s.refused.Add(1)
		return fmt.Errorf("save: %w", disk.ErrFull)
	}
	return s.Store.Save(rd)
}

func put(ctx context.Context, r *Replica, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := r.Do(ctx, state.Command{Queue: &queue.Command{Document: &queue.Document{Version: version}}})
	return err
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestFullDisk holds that a replica whose disk is full acknowledges nothing, does not end,
// answers who asks for its status, and goes on once there is room.
func TestFullDisk(t *testing.T) {
	r := newReplica(t)
	store := &fullStore{Store: r.writer.store}
	r.writer.store = store
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Serve(ctx) }()
	await(t, "a command is taken", func() bool { return put(ctx, r, 1) == nil })

	store.full.Store(true)
	assert.Assert(t, put(ctx, r, 2) != nil)
	await(t, "it was tried again", func() bool { return store.refused.Load() > 2 })
	assert.Assert(t, len(r.Status().Members) == 1)
	select {
	case err := <-ended:
		t.Fatal("it has ended", err)
	default:
	}

	store.full.Store(false)
	await(t, "a command is taken again", func() bool { return put(ctx, r, 3) == nil })
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// TestFullDiskWhileStopping holds that a replica that is told to stop does not wait for room.
func TestFullDiskWhileStopping(t *testing.T) {
	r := newReplica(t)
	store := &fullStore{Store: r.writer.store}
	store.full.Store(true)
	r.writer.store = store
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Serve(ctx) }()
	await(t, "it finds the disk full", func() bool { return store.refused.Load() > 0 })
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// TestFullDiskAtSnapshot holds that a snapshot without room costs no command.
func TestFullDiskAtSnapshot(t *testing.T) {
	r := newReplica(t)
	store := &logOnly{Store: r.writer.store}
	r.writer.store, r.snapshotEvery = store, 3
	serve(t, r)
	for v := range uint64(10) {
		await(t, "a command is taken", func() bool { return put(t.Context(), r, v+1) == nil })
	}
	assert.Equal(t, store.refused.Load(), int64(1), "it is not tried again at once")
}

// logOnly is a store that has room for the log alone.
type logOnly struct {
	Store
	refused atomic.Int64
}

func (s *logOnly) SaveSnapshot(quorum.Snapshot, []quorum.Entry) error {
	s.refused.Add(1)
	return fmt.Errorf("snapshot: %w", disk.ErrFull)
}
