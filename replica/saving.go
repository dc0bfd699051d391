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

// maybeSnapshot takes a snapshot when enough was applied since the last. The state is
// encoded beside the group's work.
func (r *Replica) maybeSnapshot() error {
	if s := r.machine.Encoded(); s != nil {
		r.encoding = false
		return r.takeSnapshot(*s)
	}
	applied := r.machine.applied.Load()
	due := applied >= r.snapAt+r.every || applied > r.snapAt && r.store.Size() > maxLogBytes
	if due && !r.encoding && !r.now().Before(r.snapBy) {
		r.encoding = true
		r.machine.Add(work{encode: true})
	}
	return nil
}

// takeSnapshot replaces the log by a snapshot of the state, unless a newer one came from
// the leader meanwhile.
func (r *Replica) takeSnapshot(s quorum.Snapshot) error {
	if s.Index <= r.node.SnapshotIndex() {
		return nil
	}
	size := len(s.Data)
	s = r.node.Compact(s)
	err := r.store.Snapshot(s, r.node.After(s.Index))
	if errors.Is(err, disk.ErrFull) {
		r.snapBy = r.now().Add(snapshotPause)
		r.log.Error().Err(err).Time("again", r.snapBy).Msg("disk_full")
		return nil // the log goes on in its file
	}
	if err != nil {
		return err
	}
	r.snapAt = s.Index
	r.log.Info().Uint64("index", s.Index).Int("bytes", size).Msg("snapshot_taken")
	return nil
}
