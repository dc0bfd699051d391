package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
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

// electionTimeout is the election timeout of the replicas under test.
const electionTimeout = 100 * time.Millisecond

// joinLimit fails a test whose group does not form in time. No result depends on it.
const joinLimit = 20 * time.Second

// loopbackReplica is a replica with links over loopback.
type loopbackReplica struct {
	rep       *Replica
	peers     *Peers
	self      quorum.Member
	gate      *gatedStore // blocks its saves
	proposals *proposals
	stop      context.CancelFunc
}

// startLoopback runs a replica. A founding one is the only member of its group; others start empty,
// with the given addresses as seeds.
func startLoopback(t *testing.T, name string, founding bool, seeds ...string) *loopbackReplica {
	t.Helper()
	return startInDomain(t, "", name, founding, seeds...)
}

// startInDomain is startLoopback for a host that knows its failure domain.
func startInDomain(t *testing.T, domain rudderfork.Domain, name string, founding bool, seeds ...string) *loopbackReplica {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := quorum.Member{ID: MemberID(name, FoundingIncarnation), Name: name, Addr: ln.Addr().String(), Voter: founding, Domain: domain}
	id := disk.Identity{ID: self.ID}
	if founding {
		id.Members = []quorum.Member{self}
	}
	return runLoopback(t, ln, self, id, seeds, nil)
}

// runLoopback runs a replica on an empty data folder with the given identity. dial maps member
// names to the addresses at which the others are reached.
func runLoopback(t *testing.T, ln net.Listener, self quorum.Member, id disk.Identity, seeds []string, dial map[string]string) *loopbackReplica {
	t.Helper()
	return runWithTimeout(t, electionTimeout, ln, self, id, seeds, dial)
}

// runWithTimeout is runLoopback with another election timeout.
func runWithTimeout(t *testing.T, timeout time.Duration, ln net.Listener, self quorum.Member, id disk.Identity, seeds []string, dial map[string]string) *loopbackReplica {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	assert.NilError(t, disk.Format(dir, id))
	store, err := disk.Open(dir)
	assert.NilError(t, err)
	gate := &gatedStore{Store: store}
	self.Voter = false
	peers := NewPeers(self, seeds, dial, timeout, zerolog.Nop())
	proposals := &proposals{}
	rep, err := New(Config{
		ElectionTimeout: timeout, Heartbeat: 20 * time.Millisecond, SnapshotEvery: 1000, Seed: Seed(self.Name), Voters: 3,
		Domain: self.Domain,
	}, gate, peers, zerolog.Nop(), proposals, steady.Now)
	assert.NilError(t, err)
	l := &loopbackReplica{rep: rep, peers: peers, self: self, gate: gate, proposals: proposals}
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

// waitVoters waits until a replica's view has exactly these voters.
func waitVoters(t *testing.T, l *loopbackReplica, want ...*loopbackReplica) {
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
				return poll.Continue("%s is not among the voters %v", w.self.ID, voters)
			}
		}
		if len(voters) != len(want) {
			return poll.Continue("voters are %v", voters)
		}
		return poll.Success()
	}, poll.WithTimeout(joinLimit))
}

// TestJoinByAddress guards against a new member that drops its responses because the leader's
// address is only in the log that it does not have yet; it is then never promoted. Replicas that
// know only addresses join, and one after another replaces a member.
func TestJoinByAddress(t *testing.T) {
	a := startLoopback(t, "a", true)
	b := startLoopback(t, "b", false, a.self.Addr)
	waitVoters(t, a, a, b)
	c := startLoopback(t, "c", false, b.self.Addr, a.self.Addr)
	waitVoters(t, b, a, b, c)
	a.stop()
	d := startLoopback(t, "d", false, c.self.Addr, b.self.Addr)
	waitVoters(t, d, b, c, d)
	b.stop()
	e := startLoopback(t, "e", false, a.self.Addr, d.self.Addr, c.self.Addr)
	waitVoters(t, e, c, d, e)
}

// TestVotersOverDomains starts three voters in one failure domain, then two replicas in other
// domains: these must replace two of the voters, but never the leader. Leaders may change at any
// time, since the election timeout is short; the second subtest has another one than the founder.
func TestVotersOverDomains(t *testing.T) {
	for name, transfer := range map[string]bool{"the founder leads": false, "another replica leads": true} {
		t.Run(name, func(t *testing.T) {
			a := startInDomain(t, "north", "a", true)
			b := startInDomain(t, "north", "b", false, a.self.Addr)
			waitVoters(t, a, a, b)
			c := startInDomain(t, "north", "c", false, a.self.Addr)
			waitVoters(t, a, a, b, c)
			if transfer {
				a.rep.TransferLeadership(t.Context())
			}
			d := startInDomain(t, "south", "d", false, a.self.Addr)
			e := startInDomain(t, "west", "e", false, a.self.Addr)
			all := []*loopbackReplica{a, b, c, d, e}
			for _, l := range all {
				waitVoterInEachDomain(t, l, "north", "south", "west")
			}
			assertLeadersKeepVote(t, all...)
		})
	}
}

// waitVoterInEachDomain waits until a replica's view has exactly one voter in each of these failure
// domains, and no others.
func waitVoterInEachDomain(t *testing.T, l *loopbackReplica, want ...rudderfork.Domain) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var voters []rudderfork.Domain
		st := l.rep.Status()
		for _, m := range st.Members {
			if m.Voter {
				voters = append(voters, m.Domain)
			}
		}
		slices.Sort(voters)
		if !slices.Equal(voters, want) {
			return poll.Continue("%s has the members %v in term %d", l.self.Name, st.Members, st.Term)
		}
		return poll.Success()
	}, poll.WithTimeout(joinLimit))
}

// assertLeadersKeepVote asserts that leaders have proposed members, and none a list in which it has
// no vote itself.
func assertLeadersKeepVote(t *testing.T, reps ...*loopbackReplica) {
	t.Helper()
	proposed := 0
	for _, l := range reps {
		self := fmt.Sprintf("{%s %s %s true ", l.self.ID, l.self.Name, l.self.Addr)
		for _, members := range l.proposals.list() {
			proposed++
			assert.Assert(t, strings.Contains(members, self), "%s proposed %s", l.self.Name, members)
		}
	}
	assert.Assert(t, proposed > 0)
}

// proposals is a recorder that keeps the member lists which a replica proposes as the leader.
type proposals struct {
	mu      sync.Mutex
	members []string
}

// Record implements rudderfork.Recorder.
func (p *proposals) Record(e rudderfork.Event) {
	if e.Kind != "members" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = append(p.members, e.Text)
}

func (p *proposals) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.members)
}

// TestEarlierIncarnationDials records a connection of an earlier incarnation after a later one has
// joined: neither may be sent messages for the other.
func TestEarlierIncarnationDials(t *testing.T) {
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
