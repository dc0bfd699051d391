package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// TestReplacedEntriesAnswered guards against commands that are never answered after another leader
// has replaced their entries.
func TestReplacedEntriesAnswered(t *testing.T) {
	r := newReplica(t)
	store := &gatedStore{Store: r.writer.store}
	r.writer.store = store
	serve(t, r)
	waitUntil(t, "a command succeeds", func() bool { return commitVersion(t.Context(), r, 1) == nil })
	released := make(chan struct{})
	store.block(released)
	before := r.Status()
	const commands = 4 // more than the entries that the later leaders append in their place
	results := make(chan error, commands)
	for i := range uint64(commands) {
		go func() {
			_, err := r.Do(t.Context(), state.Command{Queue: &queue.Command{Document: &queue.Document{Version: 2 + i}}})
			results <- err
		}()
	}
	waitUntil(t, "all are proposed", func() bool { return r.Status().LastIndex == before.LastIndex+commands })
	r.Step(t.Context(), quorum.Message{
		Type: quorum.MsgAppend, From: "c2#1", To: before.ID, Term: before.Term + 1, LogIndex: before.LastIndex, LogTerm: before.Term,
		Commit: before.LastIndex + 1, Entries: []quorum.Entry{{Index: before.LastIndex + 1, Term: before.Term + 1, Kind: quorum.EntryNoop}},
	})
	close(released)
	waitUntil(t, "the replica leads again", func() bool { return r.Leads() && r.Status().Term > before.Term+1 })
	waitUntil(t, "all commands are answered", func() bool { return len(results) == commands })
	for range commands {
		assert.Assert(t, <-results != nil)
	}
}
