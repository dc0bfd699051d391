package control

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/lease"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

const (
	// pushPause gathers changes for so long before they go out.
	pushPause = 5 * time.Millisecond
	// helloTimeout bounds the opening of a session.
	helloTimeout = 5 * time.Second
	// silenceLimit ends a session that sent nothing for so long.
	silenceLimit = 15 * time.Second
	// showLost is for how long the upstream of a VM whose lease ran out stays
	// listed: its service may well be up, and entries see for themselves.
	showLost = 10 * time.Minute
)

// hub holds the sessions of entries and agents, and the leases granted to the
// latter. It serves only while its replica leads and the leader's duties have
// begun for the present term.
type hub struct {
	cfg     Settings
	rep     *replica.Replica
	learned *learned
	log     zerolog.Logger
	rec     rudderfork.Recorder

	mu       sync.Mutex
	term     uint64 // for which sessions are taken
	grants   *lease.Lessor
	expiring map[rudderfork.VMID]bool
	sessions map[*session]bool
	nodes    map[string]Node // by process
	opened   uint64          // connections until now
	agents   map[rudderfork.VMID]*agentTurn
}

// agentTurn says which connection of a VM's agent is the latest.
type agentTurn struct {
	number      uint64 // of the latest that has registered the VM
	registering bool
}

// Node is what control knows of an entry or agent.
type Node struct {
	Process   string              `json:"process"`
	Kind      wire.NodeKind       `json:"kind"`
	Place     rudderfork.Place    `json:"place"`
	Admin     string              `json:"admin"`
	Have      rudderfork.Revision `json:"table_revision"` // in force there
	BeatAt    time.Time           `json:"beat_at"`
	Connected bool                `json:"connected"`
	// BehindSince is when the newest revision that it lacks was accepted; zero
	// if it lacks none.
	BehindSince time.Time `json:"behind_since,omitzero"`
}

func newHub(cfg Settings, rep *replica.Replica, g *lease.Lessor, l *learned, log zerolog.Logger, rec rudderfork.Recorder) *hub {
	return &hub{
		cfg: cfg, rep: rep, learned: l, log: log, rec: rec, grants: g,
		expiring: map[rudderfork.VMID]bool{}, sessions: map[*session]bool{}, nodes: map[string]Node{},
		agents: map[rudderfork.VMID]*agentTurn{},
	}
}

// String names the service in the supervisor's log.
func (h *hub) String() string { return "hub" }

// startTerm begins to take sessions for a term of leadership. Every live VM may
// hold a lease that an earlier leader granted.
func (h *hub) startTerm(term uint64, vms []rudderfork.VMID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = term
	h.grants.Reset(vms, now)
	clear(h.expiring)
	clear(h.nodes)
	clear(h.agents)
}

// closeAll closes all sessions.
func (h *hub) closeAll() {
	h.mu.Lock()
	open := slices.Collect(maps.Keys(h.sessions))
	h.mu.Unlock()
	for _, s := range open {
		s.conn.Close()
	}
}

func (h *hub) takes() bool {
	st := h.rep.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	return st.Leads() && st.Term == h.term
}

// expire reports whether no lease of the VM can be in force. From then on the
// VM is granted none until it has registered again, so that no heartbeat slips
// in between this check and the commit of what follows from it.
func (h *hub) expire(vm rudderfork.VMID, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.grants.Expired(vm, now) {
		return false
	}
	h.expiring[vm] = true
	return true
}

// registered admits a VM to leases again, after its registration committed. The
// VM counts as leased from now on, so that it expires also if its agent dies
// before it asks for its first lease.
func (h *hub) registered(vm rudderfork.VMID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.expiring, vm)
	h.grants.Grant(vm, now)
}

// grant extends a VM's lease; ok is false if it may get none.
func (h *hub) grant(vm rudderfork.VMID) (deadline time.Time, ok bool) {
	st := h.rep.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !st.Leads() || st.Term != h.term || h.expiring[vm] {
		return deadline, false
	}
	return h.grants.Grant(vm, time.Unix(0, st.ContactNS)), true
}

// Serve implements suture.Service: it wakes sessions for which something is
// new, and closes those of VMs that were lost.
func (h *hub) Serve(ctx context.Context) error {
	for {
		changed := h.rep.Changed()
		if !h.takes() {
			h.closeAll()
		} else {
			h.push()
		}
		select {
		case <-ctx.Done():
			h.closeAll()
			return ctx.Err()
		case <-changed:
			steady.Pause(ctx, pushPause)
		}
	}
}

// push wakes the sessions for which the state holds something new.
func (h *hub) push() {
	h.mu.Lock()
	open := slices.Collect(maps.Keys(h.sessions))
	h.mu.Unlock()
	h.rep.View(func(s *state.State) {
		for _, ss := range open {
			if ss.stale(s) {
				ss.woken.Set()
			}
		}
	})
}

func (h *hub) accept(w http.ResponseWriter, r *http.Request) {
	number := h.number()
	c, err := wire.Accept[wire.ToNode, wire.ToControl](w, r, wire.NodeSession)
	if err != nil {
		h.log.Warn().Err(err).Msg("node_refused")
		return
	}
	defer c.Close()
	hello, err := receiveHello(r.Context(), c)
	if err != nil {
		h.log.Warn().Err(err).Msg("node_refused")
		return
	}
	if !h.takes() || h.barrier(r.Context()) != nil {
		redirect := &wire.Redirect{Addr: h.rep.Status().Leader.Addr}
		_ = c.Send(r.Context(), wire.ToNode{Redirect: redirect}) // it redials either way
		return
	}
	h.serve(r.Context(), c, number, *hello)
}

func (h *hub) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return h.rep.Barrier(ctx)
}

// number numbers a connection, before it is answered.
func (h *hub) number() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.opened++
	return h.opened
}

var (
	// errOutlived means that the VM's agent has registered in a later connection.
	errOutlived = errors.New("the VM's agent has a later session")
	// errRegistering means that it is doing so in another one.
	errRegistering = errors.New("the VM's agent is being registered in another session")
)

// beginRegistration takes a VM's registration in a connection, unless its agent
// has registered in a later one: then the hello was held up on its way, and may be
// of a process that has ended. Registrations of a VM are committed one after the
// other; this one is to be followed by endRegistration.
//
// Connections are in the order of the agent's processes, since an agent leaves its
// connection before it opens the next, and says hello only once that is answered.
func (h *hub) beginRegistration(vm rudderfork.VMID, number uint64) (turn *agentTurn, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	turn = h.agents[vm]
	if turn == nil {
		turn = &agentTurn{}
		h.agents[vm] = turn
	}
	switch {
	case number < turn.number:
		return nil, errOutlived
	case turn.registering:
		return nil, errRegistering
	}
	turn.number, turn.registering = number, true
	return turn, nil
}

func (h *hub) endRegistration(turn *agentTurn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	turn.registering = false
}

// outlived reports whether a VM's agent has registered in a later connection.
func (h *hub) outlived(vm rudderfork.VMID, number uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	turn := h.agents[vm]
	return turn != nil && number < turn.number
}

func (h *hub) serve(ctx context.Context, c *wire.Conn[wire.ToNode, wire.ToControl], number uint64, hello wire.Hello) {
	s := newSession(h, c, number, hello)
	if err := s.register(ctx); err != nil {
		h.log.Warn().Err(err).Str("node", hello.Process).Msg("node_refused")
		return
	}
	h.add(s)
	defer h.remove(s)
	h.log.Info().Str("node", hello.Process).Str("node_vm", string(hello.Place.VM)).Msg("node_connected")
	err := s.run(ctx)
	h.log.Info().Str("node", hello.Process).AnErr("error", err).Msg("node_disconnected")
}

func (h *hub) add(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sessions[s] = true
	h.nodes[s.hello.Process] = Node{
		Process: s.hello.Process, Kind: s.hello.Kind, Place: s.hello.Place, Admin: s.hello.Admin,
		Have: s.hello.TableRevision, BeatAt: steady.Now(), Connected: true,
	}
}

func (h *hub) remove(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.sessions, s)
	n := h.nodes[s.hello.Process]
	n.Connected = false
	h.nodes[s.hello.Process] = n
}

// have notes the table revision that a node confirmed.
func (h *hub) have(process string, rev, newest rudderfork.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.nodes[process]
	n.Have, n.BeatAt, n.Connected = max(n.Have, rev), steady.Now(), true
	switch {
	case n.Have >= newest:
		n.BehindSince = time.Time{}
	case n.BehindSince.IsZero():
		n.BehindSince = steady.Now()
	}
	h.nodes[process] = n
}

// Nodes returns all nodes known in this term, in the order of their names.
func (h *hub) Nodes() []Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ns []Node
	for _, k := range slices.Sorted(maps.Keys(h.nodes)) {
		ns = append(ns, h.nodes[k])
	}
	return ns
}

func (h *hub) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.sessions)
}
