package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/internal/faultlink"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/state"
)

// documentSize is the size in bytes of documents that fill the log until it is compacted.
const documentSize = 2 << 20

// commandLimit bounds one attempt to commit a command whose answer may be lost.
const commandLimit = time.Second

// proxiedGroup is a group of replicas in which each reaches each other through a proxy of its own.
type proxiedGroup struct {
	t        *testing.T
	founders int
	lns      []net.Listener
	members  []quorum.Member
	reps     []*loopbackReplica          // started ones
	links    map[[2]int]*faultlink.Proxy // by index of the dialling and the dialled replica
	versions uint64                      // number of documents proposed
	timeout  time.Duration               // election timeout
}

// startProxied runs founding members that form a group. Joiners, replicas that join later, are
// prepared but not started.
func startProxied(t *testing.T, founders, joiners int) *proxiedGroup {
	t.Helper()
	return startProxiedWithTimeout(t, electionTimeout, founders, joiners)
}

// startProxiedWithTimeout is startProxied with another election timeout.
func startProxiedWithTimeout(t *testing.T, timeout time.Duration, founders, joiners int) *proxiedGroup {
	t.Helper()
	g := &proxiedGroup{t: t, founders: founders, timeout: timeout, links: map[[2]int]*faultlink.Proxy{}}
	for i := range founders + joiners {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		name := fmt.Sprintf("r%d", i)
		g.lns = append(g.lns, ln)
		g.members = append(g.members, quorum.Member{
			ID: MemberID(name, FoundingIncarnation), Name: name, Addr: ln.Addr().String(), Voter: i < founders,
		})
	}
	for range founders {
		g.startNext()
	}
	return g
}

// startNext runs the next replica: a founding member, or a joiner with the addresses of two members
// as seeds.
func (g *proxiedGroup) startNext() {
	g.t.Helper()
	i := len(g.reps)
	id := disk.Identity{ID: g.members[i].ID}
	var seeds []string
	if i < g.founders {
		id.Members = g.members[:g.founders]
	} else {
		seeds = []string{g.proxy(i, 0, g.members[0]), g.proxy(i, 1, g.members[1])}
	}
	g.reps = append(g.reps, runWithTimeout(g.t, g.timeout, g.lns[i], g.members[i], id, seeds, g.dial(i, g.members)))
}

// proxy returns the address of the proxy through which one replica dials another.
func (g *proxiedGroup) proxy(from, to int, m quorum.Member) string {
	key := [2]int{from, to}
	if g.links[key] == nil {
		p, err := faultlink.New(m.Addr)
		assert.NilError(g.t, err)
		g.t.Cleanup(p.Close)
		g.links[key] = p
	}
	return g.links[key].Addr()
}

// dial returns the addresses of the proxies through which a replica dials the others, by name.
func (g *proxiedGroup) dial(from int, members []quorum.Member) map[string]string {
	dial := map[string]string{}
	for to, m := range members {
		if to != from {
			dial[m.Name] = g.proxy(from, to, m)
		}
	}
	return dial
}

// silence blocks all traffic on the open links that pick selects, without closing them.
func (g *proxiedGroup) silence(pick func(from, to int) bool, dirs ...faultlink.Direction) {
	for key, p := range g.links {
		if pick(key[0], key[1]) {
			p.Blackhole(dirs...)
		}
	}
}

// leader waits for a leader that accepts commands and returns its index.
func (g *proxiedGroup) leader() (index int) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for i, l := range g.reps {
			if l.rep.Leads() {
				index = i
				return poll.Success()
			}
		}
		return poll.Continue("no replica leads")
	}, poll.WithTimeout(joinLimit))
	return index
}

// assertCommits asserts that a command is committed, whoever leads, and that every running replica
// applies it.
func (g *proxiedGroup) assertCommits(running ...*loopbackReplica) {
	g.t.Helper()
	g.assertCommitsText(nil, running...)
}

// assertCommitsText is assertCommits for a document with a text.
func (g *proxiedGroup) assertCommitsText(text []byte, running ...*loopbackReplica) {
	g.t.Helper()
	g.versions++
	d := queue.Document{Version: g.versions, Text: text}
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for _, l := range running {
			ctx, cancel := context.WithTimeout(g.t.Context(), commandLimit)
			_, err := l.rep.Do(ctx, state.Command{Queue: &queue.Command{Document: &d}})
			cancel()
			if err == nil {
				return poll.Success()
			}
		}
		return poll.Continue("no replica commits version %d", d.Version)
	}, poll.WithTimeout(joinLimit))
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for _, l := range running {
			if held, _ := l.rep.machine.document(); held < d.Version {
				return poll.Continue("%s holds version %d; want %d", l.self.Name, held, d.Version)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(joinLimit))
}

func everyLink(int, int) bool { return true }

// bothDirections is both directions of a link.
var bothDirections = []faultlink.Direction{faultlink.ToTarget, faultlink.ToDialer}

// TestSilentLinks guards against links that stay open while nothing passes, because a device on the
// path has dropped their state, while new connections work. A replica that writes to such links for
// ever, and waits on accepted ones without a timeout, leaves the group without a leader permanently.
func TestSilentLinks(t *testing.T) {
	t.Run("all", func(t *testing.T) {
		g := startProxied(t, 3, 0)
		g.assertCommits(g.reps...)
		g.silence(everyLink, bothDirections...)
		g.assertCommits(g.reps...)
	})
	t.Run("those of the leader", func(t *testing.T) {
		g := startProxied(t, 3, 0)
		g.assertCommits(g.reps...)
		lead := g.leader()
		g.silence(func(from, to int) bool { return from == lead || to == lead }, bothDirections...)
		g.assertCommits(g.reps...)
	})
	t.Run("from the dialling end", func(t *testing.T) {
		g := startProxied(t, 3, 0)
		g.assertCommits(g.reps...)
		g.silence(everyLink, faultlink.ToTarget)
		g.assertCommits(g.reps...)
	})
	t.Run("to the dialling end", func(t *testing.T) {
		g := startProxied(t, 3, 0)
		g.assertCommits(g.reps...)
		g.silence(everyLink, faultlink.ToDialer)
		g.assertCommits(g.reps...)
		assertSilentLinksClosed(t, g)
	})
	t.Run("repeatedly", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(7, 1))
		g := startProxied(t, 3, 0)
		for range 5 {
			g.assertCommits(g.reps...)
			g.silence(func(int, int) bool { return rng.IntN(3) > 0 }, bothDirections...)
		}
		g.assertCommits(g.reps...)
		assertSilentLinksClosed(t, g)
	})
	t.Run("during an election", func(t *testing.T) {
		g := startProxied(t, 5, 0)
		g.assertCommits(g.reps...)
		lead := g.leader()
		left := append(append([]*loopbackReplica(nil), g.reps[:lead]...), g.reps[lead+1:]...)
		g.reps[lead].stop()
		g.silence(everyLink, bothDirections...)
		g.assertCommits(left...)
	})
	t.Run("during a change of members", func(t *testing.T) {
		g := startProxied(t, 2, 2)
		g.assertCommits(g.reps...)
		g.startNext()
		g.startNext()
		g.silence(everyLink, bothDirections...)
		g.assertCommits(g.reps...)
	})
	t.Run("during a snapshot", func(t *testing.T) {
		g := startProxied(t, 2, 1)
		for range maxLogBytes/documentSize + 2 {
			g.assertCommitsText(make([]byte, documentSize), g.reps...)
		}
		g.startNext()
		g.silence(everyLink, bothDirections...)
		g.assertCommits(g.reps...)
	})
}

// assertSilentLinksClosed waits until both ends have closed the silent connections: at most one is
// open for each pair of replicas and direction.
func assertSilentLinksClosed(t *testing.T, g *proxiedGroup) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for key, p := range g.links {
			if n := p.OpenConns(); n > 1 {
				return poll.Continue("%d links from %d to %d at %v", n, key[0], key[1], steady.Now())
			}
		}
		return poll.Success()
	}, poll.WithTimeout(joinLimit))
}

// TestJoinThroughFollowers guards against followers that do not forward join requests: a replica
// with an empty disk, whose seeds are two followers, joins the group.
func TestJoinThroughFollowers(t *testing.T) {
	g := startProxied(t, 3, 0)
	g.assertCommits(g.reps...)
	lead := g.leader()
	var seeds []string
	for i, m := range g.members {
		if i != lead {
			seeds = append(seeds, m.Addr)
		}
	}
	joiner := startLoopback(t, "joiner", false, seeds...)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, m := range joiner.rep.Status().Members {
			if m.ID == joiner.self.ID {
				return poll.Success()
			}
		}
		return poll.Continue("the joiner is not a member")
	}, poll.WithTimeout(joinLimit))
}
