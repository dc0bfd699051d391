package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

const (
	// wantedVoters is the size of a group that tolerates the loss of two replicas.
	wantedVoters = 5
	// joinRetryInterval is the time between two join requests of a replica that is not a member.
	joinRetryInterval = 20 * time.Millisecond
	// tryTimeout bounds one attempt of a command or a read, which is then repeated.
	tryTimeout = time.Second
)

// cluster is a group of replicas with real disks, whose messages are passed in memory while both
// ends run.
type cluster struct {
	t             *testing.T
	root          string
	snapshotEvery uint64 // applied entries between snapshots
	names         []string
	skew          map[string]time.Duration // by how much a replica's clock is ahead
	acked         uint64                   // newest acknowledged version of the document

	mu      sync.Mutex
	running map[quorum.MemberID]*runningReplica
}

// runningReplica is a replica that is being served.
type runningReplica struct {
	*Replica
	name string
	stop context.CancelFunc
	done sync.WaitGroup
}

// memSender is the sender of one replica.
type memSender struct {
	c    *cluster
	self quorum.Member

	mu     sync.Mutex
	joined bool
}

// Send implements Sender. Messages from or to a stopped replica are lost, and so are messages to a
// busy one.
func (s *memSender) Send(m quorum.Message) {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	to := s.c.running[m.To]
	if s.c.running[s.self.ID] == nil || to == nil {
		return
	}
	select {
	case to.msgs <- m:
	default:
	}
}

// SetMembers implements Sender.
func (s *memSender) SetMembers(_ []quorum.Member, joined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined = joined
}

// Addrs implements Sender. Replicas here have no addresses.
func (s *memSender) Addrs() []string { return nil }

func (s *memSender) isJoined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// askToJoin sends join requests to all replicas while this one is not a member.
func (s *memSender) askToJoin(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.isJoined() {
			for _, r := range s.c.all() {
				r.Join(s.self)
			}
		}
		steady.Pause(ctx, joinRetryInterval)
	}
}

// newCluster starts a group of wantedVoters founding members that has acknowledged a document.
func newCluster(t *testing.T, snapshotEvery uint64) *cluster {
	t.Helper()
	c := newClusterOf(t, snapshotEvery, wantedVoters)
	c.commit()
	return c
}

// emptyCluster returns a cluster of wantedVoters replicas, none of which has a data folder or runs
// yet.
func emptyCluster(t *testing.T, snapshotEvery uint64) *cluster {
	t.Helper()
	c := &cluster{t: t, root: t.TempDir(), snapshotEvery: snapshotEvery, skew: map[string]time.Duration{}, running: map[quorum.MemberID]*runningReplica{}}
	for i := range wantedVoters {
		c.names = append(c.names, fmt.Sprintf("c%d", i+1))
	}
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) dir(name string) string { return filepath.Join(c.root, name) }

func (c *cluster) all() (rs []*runningReplica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.running {
		rs = append(rs, r)
	}
	return rs
}

func (c *cluster) startAll() {
	c.t.Helper()
	for _, name := range c.names {
		c.start(name)
	}
}

// start runs a replica from its data folder, which may be empty.
func (c *cluster) start(name string) {
	c.t.Helper()
	store, err := OpenStore(c.dir(name), name, "", zerolog.Nop())
	assert.NilError(c.t, err)
	s := &memSender{c: c, self: quorum.Member{ID: store.Identity().ID, Name: name}}
	ahead := c.skew[name]
	rep, err := New(Config{
		ElectionTimeout: 100 * time.Millisecond, Heartbeat: 20 * time.Millisecond, SnapshotEvery: c.snapshotEvery,
		Seed: Seed(name), Voters: wantedVoters,
	}, store, s, zerolog.Nop(), discard{}, func() time.Time { return steady.Now().Add(ahead) })
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningReplica{Replica: rep, name: name, stop: cancel}
	c.mu.Lock()
	c.running[s.self.ID] = r
	c.mu.Unlock()
	r.done.Go(func() { s.askToJoin(ctx) })
	r.done.Go(func() {
		_ = rep.Serve(ctx) // ends with ctx
		_ = store.Close()  // everything that matters is synced
	})
}

// stopAll stops all replicas at once, as a power failure does. Writes in progress are completed,
// but messages sent after them are lost.
func (c *cluster) stopAll() {
	c.mu.Lock()
	rs := c.running
	c.running = map[quorum.MemberID]*runningReplica{}
	c.mu.Unlock()
	for _, r := range rs {
		r.stop()
	}
	for _, r := range rs {
		r.done.Wait()
	}
}

// stopReplica stops one replica.
func (c *cluster) stopReplica(r *runningReplica) {
	c.mu.Lock()
	delete(c.running, r.Status().ID)
	c.mu.Unlock()
	r.stop()
	r.done.Wait()
}

// wipe deletes the data folders of stopped replicas.
func (c *cluster) wipe(names ...string) {
	c.t.Helper()
	for _, name := range names {
		assert.NilError(c.t, os.RemoveAll(c.dir(name)))
	}
}

func (c *cluster) waitUntil(what string, ok func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(joinLimit), poll.WithDelay(time.Millisecond))
}

// leader waits for a leader that accepts commands. A check of waitUntil must call currentLeader
// instead: a check goes on when its wait has timed out, and a wait in it would then fail a test
// that is over, which ends the test binary with a panic.
func (c *cluster) leader() (l *runningReplica) {
	c.t.Helper()
	c.waitUntil("a replica leads", func() bool {
		l = c.currentLeader()
		return l != nil
	})
	return l
}

// currentLeader returns the leader that accepts commands, nil if there is none.
func (c *cluster) currentLeader() *runningReplica {
	for _, r := range c.all() {
		if r.Leads() {
			return r
		}
	}
	return nil
}

// tryCommit proposes the next document to a leader, and reports whether it was acknowledged.
func (c *cluster) tryCommit(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	for _, r := range c.all() {
		if !r.Leads() {
			continue
		}
		d := queue.Document{Version: c.acked + 1, Text: fmt.Appendf(nil, "version %d", c.acked+1)}
		res, err := r.Do(ctx, state.Command{Queue: &queue.Command{Document: &d}})
		// Stale: an earlier attempt with an unknown outcome was committed.
		if err == nil && (res.Queue.Code == queue.OK || res.Queue.Code == queue.Stale) {
			c.acked++
			return true
		}
	}
	return false
}

// commit repeats tryCommit until the next document is acknowledged.
func (c *cluster) commit() {
	c.t.Helper()
	c.waitUntil("a document is acknowledged", func() bool { return c.tryCommit(c.t.Context()) })
}

// assertNothingLost asserts that the newest acknowledged document can be read, that the group
// commits more, and that it gets wantedVoters voters, all of which run.
func (c *cluster) assertNothingLost() {
	c.t.Helper()
	c.waitUntil("a read is confirmed", func() bool {
		l := c.currentLeader()
		if l == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(c.t.Context(), tryTimeout)
		defer cancel()
		if l.Barrier(ctx) != nil {
			return false
		}
		var version uint64
		l.View(func(s *state.State) { version = s.Queues().Document().Version })
		assert.Assert(c.t, version >= c.acked, "version %d was acknowledged, %d is read", c.acked, version)
		return true
	})
	c.commit()
	c.waitUntil("the group has its voters", func() bool {
		l := c.currentLeader()
		if l == nil {
			return false
		}
		st := l.Status()
		if st.CommitIndex < st.LastIndex {
			return false // the members may come from an uncommitted change
		}
		voters := 0
		for _, m := range st.Members {
			c.mu.Lock()
			runs := c.running[m.ID] != nil
			c.mu.Unlock()
			if m.Voter && !runs {
				return false
			}
			if m.Voter {
				voters++
			}
		}
		return voters == wantedVoters
	})
}

// others returns all names except one.
func (c *cluster) others(name string) (names []string) {
	for _, n := range c.names {
		if n != name {
			names = append(names, n)
		}
	}
	return names
}

// TestTwoDisksLostInPowerFailure stops all replicas in the middle of an operation and wipes two
// disks of five: no acknowledged document may be lost.
func TestTwoDisksLostInPowerFailure(t *testing.T) {
	const rarely, often = 1000, 10 // entries between snapshots
	t.Run("commands in flight", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		c := newCluster(t, often)
		for range 8 {
			ctx, cancel := context.WithCancel(t.Context())
			var proposing sync.WaitGroup
			proposing.Go(func() {
				for ctx.Err() == nil {
					c.tryCommit(ctx)
				}
			})
			leader := c.leader().name
			seen := c.leader().Status().CommitIndex + rng.Uint64N(30)
			c.waitUntil("some commands are committed", func() bool {
				l := c.currentLeader()
				return l != nil && l.Status().CommitIndex >= seen
			})
			c.stopAll()
			cancel()
			proposing.Wait()
			c.wipe(leader, c.others(leader)[rng.IntN(wantedVoters-1)])
			c.startAll()
			c.assertNothingLost()
		}
	})
	t.Run("during an election", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(2, 2))
		c := newCluster(t, rarely)
		for round := range 8 {
			old := c.leader()
			term := old.Status().Term
			left := c.others(old.name)
			c.stopReplica(old)
			c.waitUntil("a replica has voted", func() bool {
				for _, r := range c.all() {
					if st := r.Status(); st.Term > term || round%2 == 0 && st.Role == quorum.PreCandidate.String() {
						return true
					}
				}
				return false
			})
			c.stopAll()
			first := rng.IntN(len(left))
			c.wipe(left[first], left[(first+1)%len(left)])
			c.startAll()
			c.assertNothingLost()
		}
	})
	t.Run("while a replica joins", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(3, 3))
		c := newCluster(t, often)
		for round := range 6 {
			lost := c.names[rng.IntN(wantedVoters)]
			for _, r := range c.all() {
				if r.name == lost {
					c.stopReplica(r)
				}
			}
			c.wipe(lost)
			c.commit()
			c.start(lost)
			c.waitUntil("the replica is a member", func() bool {
				for _, r := range c.all() {
					if r.name != lost {
						continue
					}
					l := c.currentLeader()
					if l == nil {
						return false
					}
					m, ok := l.member(r.Status().ID)
					return ok && (m.Voter || round%2 == 0)
				}
				return false
			})
			c.stopAll()
			c.wipe(c.others(lost)[rng.IntN(wantedVoters-1)])
			c.startAll()
			c.assertNothingLost()
		}
	})
	t.Run("a partly written snapshot", func(t *testing.T) {
		for _, partial := range []string{"snap-%08d.tmp", "snap-%08d", "log-%08d.tmp"} {
			c := newCluster(t, often)
			for range 3 * often {
				c.commit()
			}
			leader := c.leader().name
			c.stopAll()
			lost := []string{leader, c.others(leader)[0]}
			for _, name := range c.others(leader)[1:] {
				c.leavePartialSnapshot(name, partial)
			}
			c.wipe(lost...)
			c.startAll()
			c.assertNothingLost()
		}
	})
	t.Run("clocks minutes apart", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(4, 4))
		c := newCluster(t, often)
		for range 4 {
			leader := c.leader().name
			c.stopAll()
			for _, name := range c.names {
				c.skew[name] = time.Duration(rng.Int64N(int64(20*time.Minute))) - 10*time.Minute
			}
			c.wipe(leader, c.others(leader)[rng.IntN(wantedVoters-1)])
			c.startAll()
			c.assertNothingLost()
		}
	})
}

// member returns the member with an ID in the replica's view of the group.
func (r *runningReplica) member(id quorum.MemberID) (quorum.Member, bool) {
	for _, m := range r.Status().Members {
		if m.ID == id {
			return m, true
		}
	}
	return quorum.Member{}, false
}

// leavePartialSnapshot writes the file that an interrupted snapshot leaves, and a torn record at
// the end of the log.
func (c *cluster) leavePartialSnapshot(name, pattern string) {
	c.t.Helper()
	logs, err := filepath.Glob(filepath.Join(c.dir(name), "log-*"))
	assert.NilError(c.t, err)
	assert.Equal(c.t, len(logs), 1)
	var gen int
	_, err = fmt.Sscanf(filepath.Base(logs[0]), "log-%08d", &gen)
	assert.NilError(c.t, err)
	const mode = 0o644
	assert.NilError(c.t, os.WriteFile(filepath.Join(c.dir(name), fmt.Sprintf(pattern, gen+1)), []byte("half"), mode))
	f, err := os.OpenFile(logs[0], os.O_APPEND|os.O_WRONLY, mode)
	assert.NilError(c.t, err)
	_, err = f.WriteString("torn")
	assert.NilError(c.t, err)
	assert.NilError(c.t, f.Close())
}
