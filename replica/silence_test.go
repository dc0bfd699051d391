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

// documentSize is of documents that fill the log until it is compacted, in bytes.
const documentSize = 2 << 20

// commandLimit ends a try to commit a command where an answer was lost.
const commandLimit = time.Second

// proxied is a group of replicas each of which reaches each other through a proxy
// of its own.
type proxied struct {
	t        *testing.T
	founders int
	lns      []net.Listener
	members  []quorum.Member
	reps     []*linked                   // that were started
	links    map[[2]int]*faultlink.Proxy // by the one that dials and the one dialled
	docs     uint64                      // versions proposed
	patience time.Duration               // election timeout
}

// startProxied runs founders that form a group. Joiners are only prepared.
func startProxied(t *testing.T, founders, joiners int) *proxied {
	t.Helper()
	return startPatient(t, electionTimeout, founders, joiners)
}

// startPatient is startProxied with another election timeout.
func startPatient(t *testing.T, patience time.Duration, founders, joiners int) *proxied {
	t.Helper()
	g := &proxied{t: t, founders: founders, patience: patience, links: map[[2]int]*faultlink.Proxy{}}
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

// startNext runs the next replica: a founder, or a joiner that is told of two.
func (g *proxied) startNext() {
	g.t.Helper()
	i := len(g.reps)
	id := disk.Identity{ID: g.members[i].ID}
	var told []string
	if i < g.founders {
		id.Members = g.members[:g.founders]
	} else {
		told = []string{g.proxy(i, 0, g.members[0]), g.proxy(i, 1, g.members[1])}
	}
	g.reps = append(g.reps, runPatient(g.t, g.patience, g.lns[i], g.members[i], id, told, g.dial(i, g.members)))
}

// proxy returns the address of the proxy that one replica dials another by.
func (g *proxied) proxy(from, to int, m quorum.Member) string {
	key := [2]int{from, to}
	if g.links[key] == nil {
		p, err := faultlink.New(m.Addr)
		assert.NilError(g.t, err)
		g.t.Cleanup(p.Close)
		g.links[key] = p
	}
	return g.links[key].Addr()
}

func (g *proxied) dial(from int, members []quorum.Member) map[string]string {
	dial := map[string]string{}
	for to, m := range members {
		if to != from {
			dial[m.Name] = g.proxy(from, to, m)
		}
	}
	return dial
}

// silence makes the open links that pick chooses silent.
func (g *proxied) silence(pick func(from, to int) bool, dirs ...faultlink.Direction) {
	for key, p := range g.links {
		if pick(key[0], key[1]) {
			p.Silence(dirs...)
		}
	}
}

// leader waits for a settled leader and returns its place.
func (g *proxied) leader() (place int) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for i, l := range g.reps {
			if l.rep.Leads() {
				place = i
				return poll.Success()
			}
		}
		return poll.Continue("nobody leads")
	}, poll.WithTimeout(joinLimit))
	return place
}

// assertCommits asserts that a command is committed, by whoever leads, and that
// every replica that runs comes to hold it.
func (g *proxied) assertCommits(running ...*linked) {
	g.t.Helper()
	g.assertCommitsText(nil, running...)
}

// assertCommitsText does so with a command that carries a text.
func (g *proxied) assertCommitsText(text []byte, running ...*linked) {
	g.t.Helper()
	g.docs++
	d := queue.Document{Version: g.docs, Text: text}
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

func every(int, int) bool { return true }

// both is both directions of a link.
var both = []faultlink.Direction{faultlink.Forth, faultlink.Back}

// TestSilentLinks makes open links between replicas silent for good, while new
// ones work: a device on the way has forgotten them, and no end is told. The group
// must go on. (It never did: a replica wrote into links on which nothing arrived
// any more, and waited without a bound on those that it had accepted, so that no
// leader was known from then on.)
func TestSilentLinks(t *testing.T) {
	t.Run("all", func(t *testing.T) {
		g := startProxied(t, 3, 0)
		g.assertCommits(g.reps...)
		g.silence(every, both...)
		g.assertCommits(g.reps...)
	})
	t.Run("those of the leader", func(t *testing.T) {
		g := startProxied(t, 3, 0)
		g.assertCommits(g.reps...)
		lead := g.leader()
		g.silence(func(from, to int) bool { return from == lead || to == lead }, both...)
		g.assertCommits(g.reps...)
	})
	t.Run("from the one that dialled", func(t *testing.T) {
		g := startProxied(t, 3, 0)
		g.assertCommits(g.reps...)
		g.silence(every, faultlink.Forth)
		g.assertCommits(g.reps...)
	})
	t.Run("to the one that dialled", func(t *testing.T) {
		g := startProxied(t, 3, 0)
		g.assertCommits(g.reps...)
		g.silence(every, faultlink.Back)
		g.assertCommits(g.reps...)
		assertFewLinks(t, g)
	})
	t.Run("again and again", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(7, 1))
		g := startProxied(t, 3, 0)
		for range 5 {
			g.assertCommits(g.reps...)
			g.silence(func(int, int) bool { return rng.IntN(3) > 0 }, both...)
		}
		g.assertCommits(g.reps...)
		assertFewLinks(t, g)
	})
	t.Run("beside an election", func(t *testing.T) {
		g := startProxied(t, 5, 0)
		g.assertCommits(g.reps...)
		lead := g.leader()
		left := append(append([]*linked(nil), g.reps[:lead]...), g.reps[lead+1:]...)
		g.reps[lead].stop()
		g.silence(every, both...)
		g.assertCommits(left...)
	})
	t.Run("beside a change of members", func(t *testing.T) {
		g := startProxied(t, 2, 2)
		g.assertCommits(g.reps...)
		g.startNext()
		g.startNext()
		g.silence(every, both...)
		g.assertCommits(g.reps...)
	})
	t.Run("beside a snapshot", func(t *testing.T) {
		g := startProxied(t, 2, 1)
		for range maxLogBytes/documentSize + 2 {
			g.assertCommitsText(make([]byte, documentSize), g.reps...)
		}
		g.startNext()
		g.silence(every, both...)
		g.assertCommits(g.reps...)
	})
}

// assertFewLinks waits until silent connections are given up by both ends: no more
// are open than one for each pair of replicas and direction.
func assertFewLinks(t *testing.T, g *proxied) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for key, p := range g.links {
			if n := p.Open(); n > 1 {
				return poll.Continue("%d links from %d to %d at %v", n, key[0], key[1], steady.Now())
			}
		}
		return poll.Success()
	}, poll.WithTimeout(joinLimit))
}

// TestJoinThroughFollowers has a replica with an empty disk that is told of two
// members, neither of which leads, join the group. (A follower passed its request on
// to nobody and answered nothing, and the leader never heard of it.)
func TestJoinThroughFollowers(t *testing.T) {
	g := startProxied(t, 3, 0)
	g.assertCommits(g.reps...)
	lead := g.leader()
	var told []string
	for i, m := range g.members {
		if i != lead {
			told = append(told, m.Addr)
		}
	}
	joiner := startLinked(t, "joiner", false, told...)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, m := range joiner.rep.Status().Members {
			if m.ID == joiner.self.ID {
				return poll.Success()
			}
		}
		return poll.Continue("it is no member")
	}, poll.WithTimeout(joinLimit))
}
