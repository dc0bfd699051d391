package replica

import (
	"errors"

	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/quorum"
)

// maybeSnapshot takes a snapshot when enough was applied since the last. The state is
// encoded and written beside the group's work.
func (r *Replica) maybeSnapshot() {
	if s := r.machine.Encoded(); s != nil {
		r.encoded = s
	}
	if r.encoded != nil {
		r.takeSnapshot(*r.encoded)
		return
	}
	applied := r.machine.applied.Load()
	due := applied >= r.snapAt+r.every || applied > r.snapAt && r.logBytes > maxLogBytes
	if due && !r.snapping && !r.now().Before(r.snapBy) {
		r.snapping = true
		r.machine.Add(work{encode: true})
	}
}

// takeSnapshot replaces the log by a snapshot of the state once all that it covers is
// durable here, unless a newer one came from the leader meanwhile.
func (r *Replica) takeSnapshot(s quorum.Snapshot) {
	if s.Index <= r.node.SnapshotIndex() {
		r.encoded, r.snapping = nil, false
		return
	}
	if r.writing != nil || s.Index > r.node.StableIndex() {
		return
	}
	r.encoded = nil
	s = r.node.Compact(s)
	r.write(write{snap: &s, after: r.node.StableEntriesAfter(s.Index)})
}

// noteSnapshot notes how writing a snapshot has ended. Without room the log goes on in
// its file.
func (r *Replica) noteSnapshot(s quorum.Snapshot, err error) error {
	r.snapping = false
	switch {
	case errors.Is(err, disk.ErrFull):
		r.snapBy = r.now().Add(snapshotPause)
		r.log.Error().Err(err).Time("again", r.snapBy).Msg("disk_full")
		return nil
	case err != nil:
		return err
	}
	r.snapAt = s.Index
	r.log.Info().Uint64("index", s.Index).Int("bytes", len(s.Data)).Msg("snapshot_taken")
	return nil
}
