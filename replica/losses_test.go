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
	// wantedVoters bear the loss of two.
	wantedVoters = 5
	// joinAsks is between two requests of a replica that is no member.
	joinAsks = 20 * time.Millisecond
	// answerLimit bounds one try of a command or a read; it is tried again.
	answerLimit = time.Second
)

// hall is replicas with real disks that reach each other as long as there is power.
type hall struct {
	t     *testing.T
	root  string
	every uint64 // applied entries between snapshots
	names []string
	skew  map[string]time.Duration // how far a replica's clock is ahead
	acked uint64                   // newest version of the document that was acknowledged

	mu      sync.Mutex
	running map[quorum.MemberID]*powered
}

// powered is a replica that runs.
type powered struct {
	*Replica
	name string
	stop context.CancelFunc
	done sync.WaitGroup
}

// socket is the sender of one replica.
type socket struct {
	h    *hall
	self quorum.Member

	mu     sync.Mutex
	joined bool
}

// Send implements Sender. Nothing comes from or to a replica without power, and what
// comes to a busy one is lost.
func (s *socket) Send(m quorum.Message) {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	to := s.h.running[m.To]
	if s.h.running[s.self.ID] == nil || to == nil {
		return
	}
	select {
	case to.msgs <- m:
	default:
	}
}

// SetMembers implements Sender.
func (s *socket) SetMembers(_ []quorum.Member, joined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joined = joined
}

// Addrs implements Sender: replicas here have no addresses.
func (s *socket) Addrs() []string { return nil }

func (s *socket) isJoined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// askToJoin asks every replica as long as this one is no member.
func (s *socket) askToJoin(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.isJoined() {
			for _, r := range s.h.all() {
				r.Join(s.self)
			}
		}
		steady.Pause(ctx, joinAsks)
	}
}

// newHall founds a group of the wanted voters, which has acknowledged a document.
func newHall(t *testing.T, every uint64) *hall {
	t.Helper()
	h := newHallOf(t, every, wantedVoters)
	h.commit()
	return h
}

// emptyHall has the names of the wanted voters, none of which has a disk yet.
func emptyHall(t *testing.T, every uint64) *hall {
	t.Helper()
	h := &hall{t: t, root: t.TempDir(), every: every, skew: map[string]time.Duration{}, running: map[quorum.MemberID]*powered{}}
	for i := range wantedVoters {
		h.names = append(h.names, fmt.Sprintf("c%d", i+1))
	}
	t.Cleanup(h.powerOff)
	return h
}

func (h *hall) dir(name string) string { return filepath.Join(h.root, name) }

func (h *hall) all() (rs []*powered) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.running {
		rs = append(rs, r)
	}
	return rs
}

func (h *hall) powerOn() {
	h.t.Helper()
	for _, name := range h.names {
		h.start(name)
	}
}

// start runs a replica from its disk, which may be empty.
func (h *hall) start(name string) {
	h.t.Helper()
	store, err := OpenStore(h.dir(name), name, "", zerolog.Nop())
	assert.NilError(h.t, err)
	s := &socket{h: h, self: quorum.Member{ID: store.Identity().ID, Name: name}}
	ahead := h.skew[name]
	rep, err := New(Config{
		ElectionTimeout: 100 * time.Millisecond, Heartbeat: 20 * time.Millisecond, SnapshotEvery: h.every,
		Seed: Seed(name), Voters: wantedVoters,
	}, store, s, zerolog.Nop(), nobody{}, func() time.Time { return steady.Now().Add(ahead) })
	assert.NilError(h.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &powered{Replica: rep, name: name, stop: cancel}
	h.mu.Lock()
	h.running[s.self.ID] = r
	h.mu.Unlock()
	r.done.Go(func() { s.askToJoin(ctx) })
	r.done.Go(func() {
		_ = rep.Serve(ctx) // it ends with ctx
		_ = store.Close()  // all that matters is synced
	})
}

// powerOff ends all replicas at once. What one of them is saving is saved, and nobody
// hears of it.
func (h *hall) powerOff() {
	h.mu.Lock()
	rs := h.running
	h.running = map[quorum.MemberID]*powered{}
	h.mu.Unlock()
	for _, r := range rs {
		r.stop()
	}
	for _, r := range rs {
		r.done.Wait()
	}
}

// end ends one replica.
func (h *hall) end(r *powered) {
	h.mu.Lock()
	delete(h.running, r.Status().ID)
	h.mu.Unlock()
	r.stop()
	r.done.Wait()
}

// wipe empties disks. Their replicas have ended.
func (h *hall) wipe(names ...string) {
	h.t.Helper()
	for _, name := range names {
		assert.NilError(h.t, os.RemoveAll(h.dir(name)))
	}
}

func (h *hall) until(what string, ok func() bool) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(joinLimit), poll.WithDelay(time.Millisecond))
}

// leader waits for a settled leader.
func (h *hall) leader() (l *powered) {
	h.t.Helper()
	h.until("a replica leads", func() bool {
		for _, r := range h.all() {
			if r.Leads() {
				l = r
				return true
			}
		}
		return false
	})
	return l
}

// tryCommit hands the next document to a leader, and reports whether it was
// acknowledged.
func (h *hall) tryCommit(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	for _, r := range h.all() {
		if !r.Leads() {
			continue
		}
		d := queue.Document{Version: h.acked + 1, Text: fmt.Appendf(nil, "version %d", h.acked+1)}
		res, err := r.Do(ctx, state.Command{Queue: &queue.Command{Document: &d}})
		// Stale: an earlier try, whose fate was not known, was taken.
		if err == nil && (res.Queue.Code == queue.OK || res.Queue.Code == queue.Stale) {
			h.acked++
			return true
		}
	}
	return false
}

// commit has the group acknowledge the next document.
func (h *hall) commit() {
	h.t.Helper()
	h.until("a document is acknowledged", func() bool { return h.tryCommit(h.t.Context()) })
}

// assertKept holds that the newest acknowledged document is read, that the group takes
// more, and that it has its wanted voters, all of which run.
func (h *hall) assertKept() {
	h.t.Helper()
	h.until("a read is confirmed", func() bool {
		ctx, cancel := context.WithTimeout(h.t.Context(), answerLimit)
		defer cancel()
		l := h.leader()
		if l.Barrier(ctx) != nil {
			return false
		}
		var version uint64
		l.View(func(s *state.State) { version = s.Queues().Document().Version })
		assert.Assert(h.t, version >= h.acked, "version %d was acknowledged, %d is read", h.acked, version)
		return true
	})
	h.commit()
	h.until("the group is whole", func() bool {
		st := h.leader().Status()
		if st.Commit < st.Last {
			return false // the voters may be those of a change that is not committed
		}
		voters := 0
		for _, m := range st.Members {
			h.mu.Lock()
			runs := h.running[m.ID] != nil
			h.mu.Unlock()
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

// others returns the names but one.
func (h *hall) others(name string) (names []string) {
	for _, n := range h.names {
		if n != name {
			names = append(names, n)
		}
	}
	return names
}

// TestTwoDisksLostInTheDark loses two disks of five while all replicas lose power, in
// the middle of what they may be doing.
func TestTwoDisksLostInTheDark(t *testing.T) {
	const rarely, often = 1000, 10 // entries between snapshots
	t.Run("commands on their way", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		h := newHall(t, often)
		for range 8 {
			ctx, cancel := context.WithCancel(t.Context())
			var handing sync.WaitGroup
			handing.Go(func() {
				for ctx.Err() == nil {
					h.tryCommit(ctx)
				}
			})
			leader := h.leader().name
			seen := h.leader().Status().Commit + rng.Uint64N(30)
			h.until("some are committed", func() bool { return h.leader().Status().Commit >= seen })
			h.powerOff()
			cancel()
			handing.Wait()
			h.wipe(leader, h.others(leader)[rng.IntN(wantedVoters-1)])
			h.powerOn()
			h.assertKept()
		}
	})
	t.Run("an election under way", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(2, 2))
		h := newHall(t, rarely)
		for round := range 8 {
			old := h.leader()
			term := old.Status().Term
			left := h.others(old.name)
			h.end(old)
			h.until("a replica has voted", func() bool {
				for _, r := range h.all() {
					if st := r.Status(); st.Term > term || round%2 == 0 && st.Role == quorum.PreCandidate.String() {
						return true
					}
				}
				return false
			})
			h.powerOff()
			first := rng.IntN(len(left))
			h.wipe(left[first], left[(first+1)%len(left)])
			h.powerOn()
			h.assertKept()
		}
	})
	t.Run("a replica joining", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(3, 3))
		h := newHall(t, often)
		for round := range 6 {
			lost := h.names[rng.IntN(wantedVoters)]
			for _, r := range h.all() {
				if r.name == lost {
					h.end(r)
				}
			}
			h.wipe(lost)
			h.commit()
			h.start(lost)
			h.until("it is a member", func() bool {
				for _, r := range h.all() {
					if r.name != lost {
						continue
					}
					m, ok := h.leader().member(r.Status().ID)
					return ok && (m.Voter || round%2 == 0)
				}
				return false
			})
			h.powerOff()
			h.wipe(h.others(lost)[rng.IntN(wantedVoters-1)])
			h.powerOn()
			h.assertKept()
		}
	})
	t.Run("a snapshot half written", func(t *testing.T) {
		for _, cut := range []string{"snap-%08d.tmp", "snap-%08d", "log-%08d.tmp"} {
			h := newHall(t, often)
			for range 3 * often {
				h.commit()
			}
			leader := h.leader().name
			h.powerOff()
			lost := []string{leader, h.others(leader)[0]}
			for _, name := range h.others(leader)[1:] {
				h.cutSnapshot(name, cut)
			}
			h.wipe(lost...)
			h.powerOn()
			h.assertKept()
		}
	})
	t.Run("clocks minutes apart", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(4, 4))
		h := newHall(t, often)
		for range 4 {
			leader := h.leader().name
			h.powerOff()
			for _, name := range h.names {
				h.skew[name] = time.Duration(rng.Int64N(int64(20*time.Minute))) - 10*time.Minute
			}
			h.wipe(leader, h.others(leader)[rng.IntN(wantedVoters-1)])
			h.powerOn()
			h.assertKept()
		}
	})
}

// member returns the member of an ID as a replica sees the group.
func (r *powered) member(id quorum.MemberID) (quorum.Member, bool) {
	for _, m := range r.Status().Members {
		if m.ID == id {
			return m, true
		}
	}
	return quorum.Member{}, false
}

// cutSnapshot leaves what a snapshot that was cut short leaves, and a torn record at
// the end of the log.
func (h *hall) cutSnapshot(name, left string) {
	h.t.Helper()
	logs, err := filepath.Glob(filepath.Join(h.dir(name), "log-*"))
	assert.NilError(h.t, err)
	assert.Equal(h.t, len(logs), 1)
	var gen int
	_, err = fmt.Sscanf(filepath.Base(logs[0]), "log-%08d", &gen)
	assert.NilError(h.t, err)
	const mode = 0o644
	assert.NilError(h.t, os.WriteFile(filepath.Join(h.dir(name), fmt.Sprintf(left, gen+1)), []byte("half"), mode))
	f, err := os.OpenFile(logs[0], os.O_APPEND|os.O_WRONLY, mode)
	assert.NilError(h.t, err)
	_, err = f.WriteString("torn")
	assert.NilError(h.t, err)
	assert.NilError(h.t, f.Close())
}
