package replica

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/quorum"
)

// electionTimeout is that of the replicas under test.
const electionTimeout = 100 * time.Millisecond

// joinLimit ends a test whose group does not form; nothing rests on it.
const joinLimit = 20 * time.Second

// linked is a replica with its links on loopback.
type linked struct {
	rep   *Replica
	peers *Peers
	self  quorum.Member
	gate  *gatedStore // of its saves
	stop  context.CancelFunc
}

// startLinked runs a replica. A founding one is its group's only member; others
// start empty and are told of the given addresses.
func startLinked(t *testing.T, name string, founding bool, told ...string) *linked {
	t.Helper()
	return startIn(t, "", name, founding, told...)
}

// startIn is startLinked for a machine that knows its failure domain.
func startIn(t *testing.T, domain rudderfork.Domain, name string, founding bool, told ...string) *linked {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := quorum.Member{ID: MemberID(name, FoundingIncarnation), Name: name, Addr: ln.Addr().String(), Voter: founding, Domain: domain}
	id := disk.Identity{ID: self.ID}
	if founding {
		id.Members = []quorum.Member{self}
	}
	return runLinked(t, ln, self, id, told, nil)
}

// runLinked runs a replica on an empty folder of the given identity. dial says, by
// member name, where the others are reached.
func runLinked(t *testing.T, ln net.Listener, self quorum.Member, id disk.Identity, told []string, dial map[string]string) *linked {
	t.Helper()
	return runPatient(t, electionTimeout, ln, self, id, told, dial)
}

// runPatient is runLinked with another election timeout.
func runPatient(t *testing.T, patience time.Duration, ln net.Listener, self quorum.Member, id disk.Identity, told []string, dial map[string]string) *linked {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	assert.NilError(t, disk.Format(dir, id))
	store, err := disk.Open(dir)
	assert.NilError(t, err)
	gate := &gatedStore{Store: store}
	self.Voter = false
	peers := NewPeers(self, told, dial, patience, zerolog.Nop())
	rep, err := New(Config{
		ElectionTimeout: patience, Heartbeat: 20 * time.Millisecond, SnapshotEvery: 1000, Seed: Seed(self.Name), Voters: 3,
		Domain: self.Domain,
	}, gate, peers, zerolog.Nop(), nobody{}, steady.Now)
	assert.NilError(t, err)
	l := &linked{rep: rep, peers: peers, self: self, gate: gate}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", peers.Accept(rep))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	go func() { _ = srv.Serve(ln); done <- struct{}{} }()
	go func() { _ = rep.Serve(ctx); done <- struct{}{} }()
	go func() { _ = peers.Serve(ctx); done <- struct{}{} }()
	stopped := false
	l.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		_ = srv.Close()
		for range 3 {
			<-done
		}
	}
	t.Cleanup(l.stop)
	return l
}

// waitVoters waits until a replica sees just these voters.
func waitVoters(t *testing.T, l *linked, want ...*linked) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		voters := map[quorum.MemberID]bool{}
		for _, m := range l.rep.Status().Members {
			if m.Voter {
				voters[m.ID] = true
			}
		}
		for _, w := range want {
			if !voters[w.self.ID] {
				return poll.Continue("%s is no voter among %v", w.self.ID, voters)
			}
		}
		if len(voters) != len(want) {
			return poll.Continue("voters are %v", voters)
		}
		return poll.Success()
	}, poll.WithTimeout(joinLimit))
}

// TestJoinByAddress adds replicas that know the address of one member and no
// name, then replaces one of them for good. (A new member once dropped its
// answers to the leader, whose address stands in the log that it did not have
// yet, and was never promoted; the next loss then stopped the group.)
func TestJoinByAddress(t *testing.T) {
	a := startLinked(t, "a", true)
	b := startLinked(t, "b", false, a.self.Addr)
	waitVoters(t, a, a, b)
	c := startLinked(t, "c", false, b.self.Addr, a.self.Addr)
	waitVoters(t, b, a, b, c)
	a.stop()
	d := startLinked(t, "d", false, c.self.Addr, b.self.Addr)
	waitVoters(t, d, b, c, d)
	b.stop()
	e := startLinked(t, "e", false, a.self.Addr, d.self.Addr, c.self.Addr)
	waitVoters(t, e, c, d, e)
}

// TestVotersOverDomains has three machines of one failure domain vote, then machines of
// two others come.
func TestVotersOverDomains(t *testing.T) {
	a := startIn(t, "north", "a", true)
	b := startIn(t, "north", "b", false, a.self.Addr)
	waitVoters(t, a, a, b)
	c := startIn(t, "north", "c", false, a.self.Addr)
	waitVoters(t, a, a, b, c)
	d := startIn(t, "south", "d", false, a.self.Addr)
	e := startIn(t, "west", "e", false, a.self.Addr)
	waitVoters(t, a, a, d, e)
}

// TestLateCaller has a replica's earlier life heard of after a later one has joined:
// neither is sent what is meant for the other.
func TestLateCaller(t *testing.T) {
	self := quorum.Member{ID: MemberID("a", FoundingIncarnation), Name: "a", Addr: "127.0.0.1:1"}
	now := quorum.Member{ID: MemberID("b", "now"), Name: "b", Addr: "127.0.0.1:2", Voter: true}
	before := quorum.Member{ID: MemberID("b", "before"), Name: "b", Addr: "127.0.0.1:3"}
	p := NewPeers(self, nil, nil, electionTimeout, zerolog.Nop())
	p.addInbound(now)
	p.SetMembers([]quorum.Member{self, now}, true)
	p.addInbound(before)
	p.mu.Lock()
	p.updateLinks()
	p.mu.Unlock()
	p.Send(quorum.Message{To: now.ID})
	checkWaiting := func(addr string, want int) {
		t.Helper()
		p.mu.Lock()
		defer p.mu.Unlock()
		assert.Equal(t, len(p.links[addr].queue), want, "for %s", addr)
	}
	checkWaiting(now.Addr, 1)
	checkWaiting(before.Addr, 0)
	p.Send(quorum.Message{To: before.ID})
	checkWaiting(now.Addr, 1)
}
