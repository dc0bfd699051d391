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

// waitLimit bounds the wait for a condition.
const waitLimit = 20 * time.Second

// noPeers is the transport of a replica without peers. It discards messages and
// events.
type noPeers struct{ nopRecorder }

func (noPeers) Send(quorum.Message)              {}
func (noPeers) SetMembers([]quorum.Member, bool) {}
func (noPeers) Addrs() []string                  { return nil }

// leaderHub is a hub whose replica leads a group of one.
type leaderHub struct {
	t   *testing.T
	hub *hub
	url string
}

func newLeaderHub(t *testing.T) *leaderHub {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	self := quorum.Member{ID: "c#1", Name: "c", Voter: true}
	assert.NilError(t, disk.Format(dir, disk.Identity{ID: self.ID, Members: []quorum.Member{self}}))
	store, err := disk.Open(dir)
	assert.NilError(t, err)
	rep, err := replica.New(replica.Config{ElectionTimeout: 50 * time.Millisecond, Heartbeat: 10 * time.Millisecond, SnapshotEvery: 1000},
		store, noPeers{}, zerolog.Nop(), noPeers{}, steady.Now)
	assert.NilError(t, err)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = rep.Serve(t.Context()) // returns when the test ends
	}()
	t.Cleanup(func() { <-served })
	l := &leaderHub{t: t, hub: newHub(Settings{}, rep, lease.NewLessor(testLeaseTerm, testClockBound), &usageModels{interference: interference.New(interference.ServicePrior()), usage: usage.New(steady.Now)}, zerolog.Nop(), nopRecorder{})}
	l.waitUntil("the replica leads", rep.Leads)
	l.hub.startTerm(rep.Status().Term, nil, steady.Now())
	srv := httptest.NewServer(http.HandlerFunc(l.hub.accept))
	t.Cleanup(srv.Close)
	l.url = "ws" + strings.TrimPrefix(srv.URL, "http")
	return l
}

func (l *leaderHub) waitUntil(what string, ok func() bool) {
	l.t.Helper()
	poll.WaitOn(l.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(waitLimit), poll.WithDelay(10*time.Millisecond))
}

// agentConn is a connection of one process of the agent.
type agentConn struct {
	l    *leaderHub
	boot string // boot ID of the process
	conn *wire.Conn[wire.ToControl, wire.ToNode]
}

// dial connects without sending a hello.
func (l *leaderHub) dial(boot string) *agentConn {
	l.t.Helper()
	c, err := wire.Dial[wire.ToControl, wire.ToNode](l.t.Context(), l.url, wire.NodeSession)
	assert.NilError(l.t, err)
	l.t.Cleanup(c.Close)
	return &agentConn{l, boot, c}
}

// register sends a hello that registers the VM, and reports whether the leader
// accepts it.
func (a *agentConn) register() bool {
	a.l.t.Helper()
	place := rudderfork.Place{VM: "vm1"}
	h := wire.Hello{Version: wire.Version, Kind: wire.KindAgent, Process: "vm1", Place: place, Boot: a.boot}
	h.Register = &state.Register{Place: place, Addr: a.boot + ":1", Boot: a.boot}
	assert.NilError(a.l.t, a.conn.Send(a.l.t.Context(), wire.ToControl{Hello: &h}))
	return a.receiveUntil(func(m wire.ToNode) bool { return m.Welcome != nil })
}

// sendHeartbeat sends a heartbeat, and reports whether the answer is a grant.
func (a *agentConn) sendHeartbeat() bool {
	a.l.t.Helper()
	if a.conn.Send(a.l.t.Context(), wire.ToControl{Heartbeat: &wire.Heartbeat{Epoch: 1, Leaving: true}}) != nil {
		return false
	}
	return a.receiveUntil(func(m wire.ToNode) bool { return m.Grant != nil })
}

// receiveUntil receives messages until wanted returns true for one. It returns false
// if the session ends before.
func (a *agentConn) receiveUntil(wanted func(m wire.ToNode) bool) bool {
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

// checkBoot checks which process has registered the VM.
func (l *leaderHub) checkBoot(want string) {
	l.t.Helper()
	var v *state.VM
	l.hub.rep.View(func(st *state.State) { v = st.VM("vm1") })
	assert.Equal(l.t, v.Boot, want)
	assert.Equal(l.t, v.Addr, want+":1")
}

// Messages of an agent's earlier process may arrive after a later process has
// registered. They must neither replace its registration nor renew its lease.
func TestSupersededAgentProcess(t *testing.T) {
	t.Run("delayed hello", func(t *testing.T) {
		l := newLeaderHub(t)
		earlier, later := l.dial("boot-b"), l.dial("boot-a")
		assert.Assert(t, later.register())
		assert.Assert(t, !earlier.register())
		l.checkBoot("boot-a")
	})
	t.Run("delayed heartbeats", func(t *testing.T) {
		l := newLeaderHub(t)
		earlier := l.dial("boot-b")
		assert.Assert(t, earlier.register())
		later := l.dial("boot-a")
		assert.Assert(t, later.register())
		earlier.receiveUntil(func(m wire.ToNode) bool { return m.Grant != nil }) // the one that follows the welcome
		assert.Assert(t, !earlier.sendHeartbeat())
		l.checkBoot("boot-a")
	})
	t.Run("the later process keeps its session", func(t *testing.T) {
		l := newLeaderHub(t)
		earlier, later := l.dial("boot-b"), l.dial("boot-a")
		assert.Assert(t, later.register())
		assert.Assert(t, !earlier.register())
		assert.Assert(t, later.sendHeartbeat())
		reconnected := l.dial("boot-a")
		assert.Assert(t, reconnected.register())
		assert.Assert(t, reconnected.sendHeartbeat())
	})
}
