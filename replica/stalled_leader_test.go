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

// longElectionTimeout is far above the stalls of a busy host, so that these cause no election. A
// leader that sends nothing while it is blocked still loses its role, since the tests block it until
// the group has committed.
const longElectionTimeout = 2 * time.Second

// TestHeldState guards against a leader that sends nothing while a reader locks its state, as a
// long planner run does, and so loses its role. The group must commit meanwhile, and the proposals
// must be answered once the reader has unlocked the state.
func TestHeldState(t *testing.T) {
	g := startProxiedWithTimeout(t, longElectionTimeout, 3, 0)
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
	results := assertGroupCommits(t, g, lead)
	assert.Equal(t, len(results), 0, "commands were answered before they were applied")
	release()
	for range cap(results) {
		assert.NilError(t, <-results)
	}
}

// TestHeldDisk guards against a leader that neither reads nor sends messages during a sync. While
// the leader's writes are blocked, the disks of the others suffice to commit and to answer.
func TestHeldDisk(t *testing.T) {
	g := startProxiedWithTimeout(t, longElectionTimeout, 3, 0)
	g.assertCommits(g.reps...)
	lead := g.leader()
	released := make(chan struct{})
	defer close(released)
	g.reps[lead].gate.block(released)
	results := assertGroupCommits(t, g, lead)
	for range cap(results) {
		assert.NilError(t, <-results)
	}
}

// assertGroupCommits asserts that the group commits commands that are proposed to the leader while
// the leader is blocked. It returns a channel of their results.
func assertGroupCommits(t *testing.T, g *proxiedGroup, lead int) <-chan error {
	t.Helper()
	const commands = 3
	results := make(chan error, commands)
	for i := range commands {
		before := g.reps[lead].rep.Status().CommitIndex
		d := queue.Document{Version: g.versions + uint64(i) + 1}
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

// gatedStore is a store whose saves can be blocked.
type gatedStore struct {
	Store
	mu   sync.Mutex
	gate <-chan struct{} // saves wait until it is closed; nil if they need not wait
}

// block makes later saves wait until a channel is closed.
func (s *gatedStore) block(until <-chan struct{}) {
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

// waitCommit waits until the commit index of a replica reaches index.
func waitCommit(t *testing.T, l *loopbackReplica, index uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c := l.rep.Status().CommitIndex; c < index {
			return poll.Continue("%s has committed %d; want %d", l.self.Name, c, index)
		}
		return poll.Success()
	}, poll.WithTimeout(joinLimit))
}
