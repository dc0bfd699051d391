package replica

import (
	"errors"

	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/quorum"
)

// maybeSnapshot starts a snapshot when enough entries were applied since the last, or the log has
// become too large. The state is encoded and written in the background.
func (r *Replica) maybeSnapshot() {
	if s := r.machine.Encoded(); s != nil {
		r.encoded = s
	}
	if r.encoded != nil {
		r.writeSnapshot(*r.encoded)
		return
	}
	applied := r.machine.applied.Load()
	due := applied >= r.snapshotIndex+r.snapshotEvery || applied > r.snapshotIndex && r.logBytes > maxLogBytes
	if due && !r.snapshotting && !r.now().Before(r.nextSnapshotAt) {
		r.snapshotting = true
		r.machine.Add(work{encode: true})
	}
}

// writeSnapshot replaces the log by a snapshot of the state once all entries that the snapshot
// covers are durable on this replica. It drops the snapshot if the leader has sent a newer one
// meanwhile.
func (r *Replica) writeSnapshot(s quorum.Snapshot) {
	if s.Index <= r.node.SnapshotIndex() {
		r.encoded, r.snapshotting = nil, false
		return
	}
	if r.writing != nil || s.Index > r.node.StableIndex() {
		return
	}
	r.encoded = nil
	s = r.node.Compact(s)
	r.write(write{snap: &s, after: r.node.StableEntriesAfter(s.Index)})
}

// handleSnapshotWritten handles the result of writing a snapshot. If the disk is full, the log
// continues in its old file.
func (r *Replica) handleSnapshotWritten(s quorum.Snapshot, err error) error {
	r.snapshotting = false
	switch {
	case errors.Is(err, disk.ErrFull):
		r.nextSnapshotAt = r.now().Add(snapshotRetryInterval)
		r.log.Error().Err(err).Time("again", r.nextSnapshotAt).Msg("disk_full")
		return nil
	case err != nil:
		return err
	}
	r.snapshotIndex = s.Index
	r.log.Info().Uint64("index", s.Index).Int("bytes", len(s.Data)).Msg("snapshot_taken")
	return nil
}
