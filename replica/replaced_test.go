package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// TestCommandOfEntryThatIsGoneWaits guards against commands that have no answer although
// another leader has replaced their entries.
func TestCommandOfEntryThatIsGoneWaits(t *testing.T) {
	r := newReplica(t)
	store := &gatedStore{Store: r.writer.store}
	r.writer.store = store
	serve(t, r)
	await(t, "a command is taken", func() bool { return put(t.Context(), r, 1) == nil })
	released := make(chan struct{})
	store.hold(released)
	before := r.Status()
	const commands = 4 // the later leaders have fewer entries in their place
	results := make(chan error, commands)
	for i := range uint64(commands) {
		go func() {
			_, err := r.Do(t.Context(), state.Command{Queue: &queue.Command{Document: &queue.Document{Version: 2 + i}}})
			results <- err
		}()
	}
	await(t, "all are proposed", func() bool { return r.Status().Last == before.Last+commands })
	r.Step(t.Context(), quorum.Message{
		Type: quorum.MsgAppend, From: "c2#1", To: before.ID, Term: before.Term + 1, LogIndex: before.Last, LogTerm: before.Term,
		Commit: before.Last + 1, Entries: []quorum.Entry{{Index: before.Last + 1, Term: before.Term + 1, Kind: quorum.EntryNoop}},
	})
	close(released)
	await(t, "it leads again", func() bool { return r.Leads() && r.Status().Term > before.Term+1 })
	await(t, "all commands have ended", func() bool { return len(results) == commands })
	for range commands {
		assert.Assert(t, <-results != nil)
	}
}
