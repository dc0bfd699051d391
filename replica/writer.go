package replica

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/internal/crash"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/quorum"
)

const (
	// diskFullRetryInterval is the time between two attempts to write to a full disk. It is short
	// compared with the election timeout, so that the replica continues soon after space is free.
	diskFullRetryInterval = 100 * time.Millisecond
	// snapshotRetryInterval is the same for snapshots. It is longer, since the state is encoded again
	// for each attempt.
	snapshotRetryInterval = 5 * time.Second
)

// Store keeps the durable data of a replica, as disk.Store does.
type Store interface {
	Identity() disk.Identity
	TakeLoaded() (hs quorum.HardState, snap quorum.Snapshot, entries []quorum.Entry)
	// Save and SaveSnapshot fail with disk.ErrFull if the same call may be retried.
	Save(rd quorum.Ready) error
	SaveSnapshot(snap quorum.Snapshot, after []quorum.Entry) error
	LogBytes() int64 // size of the log on disk, in bytes
}

// writer writes to the disk in a goroutine of its own, one write at a time, so that messages do not
// wait for a sync. Input that arrives during a sync shares the next one.
type writer struct {
	store  Store
	log    zerolog.Logger
	writes chan write
	done   chan written
}

// write is data to be made durable: the ready work of a node, or a snapshot with the entries after
// it.
type write struct {
	ready quorum.Ready
	snap  *quorum.Snapshot
	after []quorum.Entry
}

// written is the result of a write.
type written struct {
	write
	size int64 // of the log after the write, in bytes
	err  error
}

func newWriter(store Store, log zerolog.Logger) *writer {
	return &writer{store: store, log: log, writes: make(chan write, 1), done: make(chan written, 1)}
}

// Run processes writes until ctx ends.
func (w *writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case wr := <-w.writes:
			err := w.do(ctx, wr)
			w.done <- written{wr, w.store.LogBytes(), err}
		}
	}
}

// do does one write.
func (w *writer) do(ctx context.Context, wr write) error {
	if wr.snap != nil {
		return w.store.SaveSnapshot(*wr.snap, wr.after)
	}
	crash.Point(crash.ControlSave)
	err := w.save(ctx, wr.ready)
	if err == nil && len(wr.ready.Entries) > 0 {
		crash.Point(crash.ControlSaved)
	}
	return err
}

// save makes rd durable. While the disk is full it retries, as if the disk were slow: meanwhile
// nothing that depends on the write is acknowledged, the other replicas continue without this one,
// and this process still serves what needs no disk.
func (w *writer) save(ctx context.Context, rd quorum.Ready) error {
	for tries := 0; ; tries++ {
		err := w.store.Save(rd)
		if !errors.Is(err, disk.ErrFull) {
			if tries > 0 && err == nil {
				w.log.Info().Int("tries", tries).Msg("disk_has_room")
			}
			return err
		}
		if tries == 0 {
			w.log.Error().Err(err).Msg("disk_full")
		}
		steady.Pause(ctx, diskFullRetryInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
