package control

import (
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/lease"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/usage"
	"rudderfork.example/rudderfork/wire"
)

// waitLimit ends a wait for a condition that does not come true.
const waitLimit = 20 * time.Second

// alone is the sender of a replica that has no peers.
type alone struct{ nobody }

func (alone) Send(quorum.Message)            {}
func (alone) SetMembers([]quorum.Member, bool) {}
func (alone) Addrs() []string                { return nil }

// leading is a hub on a group of one.
type leading struct {
	t   *testing.T
	hub *hub
	url string
}

func newLeading(t *testing.T) *leading {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	self := quorum.Member{ID: "c#1", Name: "c", Voter: true}
	assert.NilError(t, disk.Format(dir, disk.Identity{ID: self.ID, Members: []quorum.Member{self}}))
	store, err := disk.Open(dir)
	assert.NilError(t, err)
	rep, err := replica.New(replica.Config{ElectionTimeout: 50 * time.Millisecond, Heartbeat: 10 * time.Millisecond, SnapshotEvery: 1000},
		store, alone{}, zerolog.Nop(), alone{}, steady.Now)
	assert.NilError(t, err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = rep.Serve(t.Context()) // it ends with the test
	}()
	t.Cleanup(func() { <-served })
	l := &leading{t: t, hub: newHub(Settings{}, rep, lease.NewLessor(testTerm, testBound), &learned{interference: interference.New(interference.ServicePrior()), usage: usage.New(steady.Now)}, zerolog.Nop(), nobody{})}
	l.until("the replica leads", rep.Leads)
	l.hub.startTerm(rep.Status().Term, nil, steady.Now())
	srv := httptest.NewServer(http.HandlerFunc(l.hub.accept))
	t.Cleanup(srv.Close)
	l.url = "ws" + strings.TrimPrefix(srv.URL, "http")
	return l
}

func (l *leading) until(what string, ok func() bool) {
	l.t.Helper()
	poll.WaitOn(l.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(waitLimit), poll.WithDelay(10*time.Millisecond))
}

// agentLink is a connection of an agent's process.
type agentLink struct {
	l    *leading
	boot string
	conn *wire.Conn[wire.ToControl, wire.ToNode]
}

// dial connects; nothing is said yet.
func (l *leading) dial(boot string) *agentLink {
	l.t.Helper()
	c, err := wire.Dial[wire.ToControl, wire.ToNode](l.t.Context(), l.url, wire.NodeSession)
	assert.NilError(l.t, err)
	l.t.Cleanup(c.Close)
	return &agentLink{l, boot, c}
}

// hello registers the VM, and reports whether the leader welcomes it.
func (a *agentLink) hello() bool {
	a.l.t.Helper()
	place := rudderfork.Place{VM: "vm1"}
	h := wire.Hello{Version: wire.Version, Kind: wire.KindAgent, Process: "vm1", Place: place, Boot: a.boot}
	h.Register = &state.Register{Place: place, Addr: a.boot + ":1", Boot: a.boot}
	assert.NilError(a.l.t, a.conn.Send(a.l.t.Context(), wire.ToControl{Hello: &h}))
	return a.answered(func(m wire.ToNode) bool { return m.Welcome != nil })
}

// beat sends a heartbeat, and reports whether a grant answers it.
func (a *agentLink) beat() bool {
	a.l.t.Helper()
	if a.conn.Send(a.l.t.Context(), wire.ToControl{Heartbeat: &wire.Heartbeat{Epoch: 1, Leaving: true}}) != nil {
		return false
	}
	return a.answered(func(m wire.ToNode) bool { return m.Grant != nil })
}

// answered reads until an answer is as wanted, or the session ends.
func (a *agentLink) answered(wanted func(m wire.ToNode) bool) bool {
	a.l.t.Helper()
	for {
		m, err := a.conn.ReceiveWithin(a.l.t.Context(), waitLimit)
		if err != nil {
			return false
		}
		if wanted(m) {
			return true
		}
	}
}

// checkBoot holds whose registration is in force.
func (l *leading) checkBoot(want string) {
	l.t.Helper()
	var v *state.VM
	l.hub.rep.View(func(st *state.State) { v = st.VM("vm1") })
	assert.Equal(l.t, v.Boot, want)
	assert.Equal(l.t, v.Addr, want+":1")
}

// TestLateHello has what an agent's earlier process said arrive after a later one
// has registered.
func TestLateHello(t *testing.T) {
	t.Run("its hello", func(t *testing.T) {
		l := newLeading(t)
		before, now := l.dial("boot-b"), l.dial("boot-a")
		assert.Assert(t, now.hello())
		assert.Assert(t, !before.hello())
		l.checkBoot("boot-a")
	})
	t.Run("its heartbeats", func(t *testing.T) {
		l := newLeading(t)
		before := l.dial("boot-b")
		assert.Assert(t, before.hello())
		now := l.dial("boot-a")
		assert.Assert(t, now.hello())
		before.answered(func(m wire.ToNode) bool { return m.Grant != nil }) // of its welcome
		assert.Assert(t, !before.beat())
		l.checkBoot("boot-a")
	})
	t.Run("the later one goes on", func(t *testing.T) {
		l := newLeading(t)
		before, now := l.dial("boot-b"), l.dial("boot-a")
		assert.Assert(t, now.hello())
		assert.Assert(t, !before.hello())
		assert.Assert(t, now.beat())
		again := l.dial("boot-a")
		assert.Assert(t, again.hello())
		assert.Assert(t, again.beat())
	})
}
