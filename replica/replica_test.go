package replica

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// discard is a Sender and a Recorder that drop everything, for a replica that is alone.
type discard struct{}

func (discard) Send(quorum.Message)              {}
func (discard) SetMembers([]quorum.Member, bool) {}
func (discard) Addrs() []string                  { return nil }
func (discard) Record(rudderfork.Event)          {}

// newReplica returns a replica that is the only member of its group. It is not served yet.
func newReplica(t *testing.T) *Replica {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	self := quorum.Member{ID: "c1#1", Name: "c1", Voter: true}
	assert.NilError(t, disk.Format(dir, disk.Identity{ID: self.ID, Members: []quorum.Member{self}}))
	store, err := disk.Open(dir)
	assert.NilError(t, err)
	cfg := Config{ElectionTimeout: 50 * time.Millisecond, Heartbeat: 10 * time.Millisecond, SnapshotEvery: 50}
	r, err := New(cfg, store, discard{}, zerolog.Nop(), discard{}, steady.Now)
	assert.NilError(t, err)
	return r
}

func serve(t *testing.T, r *Replica) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
}

// TestTicksUnderLoad guards against a replica that misses its deadlines while more messages arrive
// than it can handle.
func TestTicksUnderLoad(t *testing.T) {
	r := newReplica(t)
	ctx, cancel := context.WithCancel(t.Context())
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		for ctx.Err() == nil {
			r.Step(ctx, quorum.Message{To: "someone else"})
		}
	}()
	serve(t, r)
	// Commands succeed only after an election, which a deadline starts.
	for {
		dctx, stop := context.WithTimeout(t.Context(), time.Second)
		res, err := r.Do(dctx, state.Command{Edit: &state.Edit{ID: "e", Writes: []state.CellWrite{{
			Key: rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: "x", Column: rudderfork.ColWeight}, Value: 5,
		}}}})
		stop()
		if err == nil {
			assert.Equal(t, res.Code, state.CodeOK)
			break
		}
	}
	cancel()
	<-flooded
}

// TestLogBoundedByBytes guards against a log of few large commands that fills the disk: hundreds of
// large documents, fewer than the entries between two snapshots, would fill 128 MB.
func TestLogBoundedByBytes(t *testing.T) {
	r := newReplica(t)
	r.snapshotEvery = 1 << 40
	serve(t, r)
	const each, count = 1 << 20, 48 // bytes per document, documents
	for i := range count {
		d := queue.Document{Version: uint64(i + 1), Text: make([]byte, each)}
		for {
			_, err := r.Do(t.Context(), state.Command{Queue: &queue.Command{Document: &d}})
			if err == nil {
				break
			}
			assert.ErrorIs(t, err, ErrNotLeader)
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, r.Status().LogBytes < maxLogBytes+2*each, "the log has %d bytes", r.Status().LogBytes)
	}
	assert.Assert(t, r.Status().SnapshotIndex > 0)
}
