package replica

import (
	"context"
	"errors"
	"time"

	"rudderfork.example/rudderfork/disk"
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
	Loaded() (hs quorum.HardState, snap quorum.Snapshot, entries []quorum.Entry)
	// Save and Snapshot fail with disk.ErrFull where the same may be tried again.
	Save(rd quorum.Ready) error
	Snapshot(snap quorum.Snapshot, after []quorum.Entry) error
	Size() int64 // of the log, bytes
}

// save makes rd durable. While the disk is full it waits for room, as it would for a disk
// that stands still: nothing is acknowledged meanwhile, the group goes on without this
// replica, and its process serves what needs no disk. (On a day of two full disks, processes
// ended by themselves 24 times.)
func (r *Replica) save(ctx context.Context, rd quorum.Ready) error {
	for tries := 0; ; tries++ {
		err := r.store.Save(rd)
		if !errors.Is(err, disk.ErrFull) {
			if tries > 0 && err == nil {
				r.log.Info().Int("tries", tries).Msg("disk_has_room")
			}
			return err
		}
		if tries == 0 {
			r.log.Error().Err(err).Msg("disk_full")
		}
		steady.Pause(ctx, fullPause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// maybeSnapshot takes a snapshot when enough was applied since the last.
func (r *Replica) maybeSnapshot() error {
	applied := uint64(r.state.Applied())
	due := applied >= r.snapAt+r.every || applied > r.snapAt && r.store.Size() > maxLogBytes
	if !due || r.now().Before(r.snapBy) {
		return nil
	}
	data, err := r.state.Encode()
	if err != nil {
		return err
	}
	s := r.node.Compact(quorum.Snapshot{Index: applied, Data: data})
	err = r.store.Snapshot(s, r.node.After(applied))
	if errors.Is(err, disk.ErrFull) {
		r.snapBy = r.now().Add(snapshotPause)
		r.log.Error().Err(err).Time("again", r.snapBy).Msg("disk_full")
		return nil // the log goes on in its file
	}
	if err != nil {
		return err
	}
	r.snapAt = applied
	r.log.Info().Uint64("index", applied).Int("bytes", len(data)).Msg("snapshot_taken")
	return nil
}
