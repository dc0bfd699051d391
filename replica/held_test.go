package replica

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// heldPatience is an election timeout far above the stalls of a busy machine: a leader that
// is held up without end is deposed all the same.
const heldPatience = 2 * time.Second

// TestHeldState holds a leader's state for reading, as a long plan does: the group goes on
// committing meanwhile, and what was proposed is answered once the state is free. (The
// leader sent nothing until its reader was done, and was deposed.)
func TestHeldState(t *testing.T) {
	g := startPatient(t, heldPatience, 3, 0)
	g.assertCommits(g.reps...)
	lead := g.leader()
	held, released := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	go g.reps[lead].rep.View(func(*state.State) {
		close(held)
		<-released
	})
	<-held
	results := assertGoesOn(t, g, lead)
	assert.Equal(t, len(results), 0, "answered before they were applied")
	release()
	for range cap(results) {
		assert.NilError(t, <-results)
	}
}

// TestHeldDisk holds the syncs of the leader up: the others' disks are enough, for the
// group and for who waits for an answer. (The leader neither read nor sent anything during
// a sync.)
func TestHeldDisk(t *testing.T) {
	g := startPatient(t, heldPatience, 3, 0)
	g.assertCommits(g.reps...)
	lead := g.leader()
	released := make(chan struct{})
	defer close(released)
	g.reps[lead].gate.hold(released)
	results := assertGoesOn(t, g, lead)
	for range cap(results) {
		assert.NilError(t, <-results)
	}
}

// assertGoesOn asserts that commands given to the leader are committed by the group while
// something holds the leader up, and returns their results as they come.
func assertGoesOn(t *testing.T, g *proxied, lead int) <-chan error {
	t.Helper()
	const commands = 3
	results := make(chan error, commands)
	for i := range commands {
		before := g.reps[lead].rep.Status().Commit
		d := queue.Document{Version: g.docs + uint64(i) + 1}
		go func() {
			_, err := g.reps[lead].rep.Do(t.Context(), state.Command{Queue: &queue.Command{Document: &d}})
			results <- err
		}()
		for _, l := range g.reps {
			waitCommit(t, l, before+1)
		}
	}
	return results
}

// gatedStore is a store whose saves can be held up.
type gatedStore struct {
	Store
	mu   sync.Mutex
	gate <-chan struct{} // saves wait until it is closed; nil for none
}

func (s *gatedStore) hold(until <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = until
}

// Save implements Store.
func (s *gatedStore) Save(rd quorum.Ready) error {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil {
		<-gate
	}
	return s.Store.Save(rd)
}

// waitCommit waits until a replica knows that an index is committed.
func waitCommit(t *testing.T, l *linked, index uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c := l.rep.Status().Commit; c < index {
			return poll.Continue("%s has committed %d; want %d", l.self.Name, c, index)
		}
		return poll.Success()
	}, poll.WithTimeout(joinLimit))
}
