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
	// fullPause is between two tries to write to a full disk: short beside the election
	// timeout, so that the replica is back soon after there is room.
	fullPause = 100 * time.Millisecond
	// snapshotPause is the same for snapshots, which are encoded anew each time.
	snapshotPause = 5 * time.Second
)

// Store keeps what a replica must not forget, as disk.Store does.
type Store interface {
	Identity() disk.Identity
	TakeLoaded() (hs quorum.HardState, snap quorum.Snapshot, entries []quorum.Entry)
	// Save and SaveSnapshot fail with disk.ErrFull where the same may be tried again.
	Save(rd quorum.Ready) error
	SaveSnapshot(snap quorum.Snapshot, after []quorum.Entry) error
	LogBytes() int64 // of the log, bytes
}

// writer writes to the disk in a goroutine of its own, one write at a time, so that the
// group's messages do not wait for a sync. What comes during one shares the next.
type writer struct {
	store  Store
	log    zerolog.Logger
	writes chan write
	done   chan written
}

// write is what is to be durable: the work of a node, or a snapshot with the entries
// after it.
type write struct {
	ready quorum.Ready
	snap  *quorum.Snapshot
	after []quorum.Entry
}

// written is a write that has ended.
type written struct {
	write
	size int64 // of the log since, bytes
	err  error
}

func newWriter(store Store, log zerolog.Logger) *writer {
	return &writer{store: store, log: log, writes: make(chan write, 1), done: make(chan written, 1)}
}

// Run writes until ctx ends.
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

// save makes rd durable. While the disk is full it waits for room, as it would for a disk
// that stands still: nothing that depends on it is acknowledged meanwhile, the group goes
// on, and the process serves what needs no disk.
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
		steady.Pause(ctx, fullPause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
