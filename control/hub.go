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
	// pushDelay is how long changes are collected before they are pushed.
	pushDelay = 5 * time.Millisecond
	// helloTimeout bounds the wait for the hello of a new session, and for the
	// barrier that follows.
	helloTimeout = 5 * time.Second
	// silenceLimit ends a session in which nothing was received for that long.
	silenceLimit = 15 * time.Second
	// lostUpstreamRetention is how long the upstreams of a VM stay listed after its
	// lease has expired. The service may still be up, and entries probe it.
	lostUpstreamRetention = 10 * time.Minute
)

// hub holds the sessions of entries and agents, and the leases granted to
// agents. It accepts sessions only while its replica leads and startTerm was called
// for the current term.
type hub struct {
	cfg    Settings
	rep    *replica.Replica
	models *usageModels
	log    zerolog.Logger
	rec    rudderfork.Recorder

	mu             sync.Mutex
	term           uint64 // in which sessions are accepted
	lessor         *lease.Lessor
	expiring       map[rudderfork.VMID]bool // VMs that are granted no lease until they register again
	sessions       map[*session]bool
	nodes          map[string]Node // by process name
	lastConnNumber uint64          // number of the newest connection
	registrations  map[rudderfork.VMID]*agentRegistration
}

// agentRegistration is the newest registration of a VM's agent.
type agentRegistration struct {
	connNumber uint64 // number of the newest connection that has begun to register the VM
	inProgress bool   // the registration is being committed
}

// Node is an entry or agent, as operators see it.
type Node struct {
	Process       string              `json:"process"`
	Kind          wire.NodeKind       `json:"kind"`
	Place         rudderfork.Place    `json:"place"`
	Admin         string              `json:"admin"`
	TableRevision rudderfork.Revision `json:"table_revision"` // applied by the node
	HeartbeatAt   time.Time           `json:"beat_at"`
	Connected     bool                `json:"connected"`
	// BehindSince is when a heartbeat first showed that the node lacks the
	// newest revision; zero if it has it.
	BehindSince time.Time `json:"behind_since,omitzero"`
}

func newHub(cfg Settings, rep *replica.Replica, lessor *lease.Lessor, m *usageModels, log zerolog.Logger, rec rudderfork.Recorder) *hub {
	return &hub{
		cfg: cfg, rep: rep, models: m, log: log, rec: rec, lessor: lessor,
		expiring: map[rudderfork.VMID]bool{}, sessions: map[*session]bool{}, nodes: map[string]Node{},
		registrations: map[rudderfork.VMID]*agentRegistration{},
	}
}

// String names the service in the supervisor's log.
func (h *hub) String() string { return "hub" }

// startTerm starts to accept sessions in a term of leadership. Each of vms may
// still hold a lease that an earlier leader granted.
func (h *hub) startTerm(term uint64, vms []rudderfork.VMID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = term
	h.lessor.Reset(vms, now)
	clear(h.expiring)
	clear(h.nodes)
	clear(h.registrations)
}

// closeSessions closes all sessions.
func (h *hub) closeSessions() {
	h.mu.Lock()
	open := slices.Collect(maps.Keys(h.sessions))
	h.mu.Unlock()
	for _, s := range open {
		s.conn.Close()
	}
}

func (h *hub) acceptsSessions() bool {
	st := h.rep.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	return st.Leads() && st.Term == h.term
}

// tryExpire reports whether no lease of the VM can still be valid. If so, the VM
// is granted none until it registers again, so that no heartbeat can renew the
// lease between this check and the commit of the VM's loss.
func (h *hub) tryExpire(vm rudderfork.VMID, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lessor.Expired(vm, now) {
		return false
	}
	h.expiring[vm] = true
	return true
}

// allowGrants lets a VM be granted leases again, after its registration was
// committed. The VM counts as leased from now on, so that it also expires if its
// agent dies before its first heartbeat.
func (h *hub) allowGrants(vm rudderfork.VMID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.expiring, vm)
	h.lessor.Grant(vm, now)
}

// grant extends a VM's lease. ok is false if the VM may not be granted one.
func (h *hub) grant(vm rudderfork.VMID) (deadline time.Time, ok bool) {
	st := h.rep.Status()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !st.Leads() || st.Term != h.term || h.expiring[vm] {
		return deadline, false
	}
	return h.lessor.Grant(vm, time.Unix(0, st.QuorumContactNS)), true
}

// Serve implements suture.Service: it wakes the sessions that have something
// to send when the state changes, and closes all sessions when leadership ends.
func (h *hub) Serve(ctx context.Context) error {
	for {
		changed := h.rep.Changed()
		if !h.acceptsSessions() {
			h.closeSessions()
		} else {
			h.wakeSessions()
		}
		select {
		case <-ctx.Done():
			h.closeSessions()
			return ctx.Err()
		case <-changed:
			steady.Pause(ctx, pushDelay)
		}
	}
}

// wakeSessions wakes the sessions that have something to send or have to end.
func (h *hub) wakeSessions() {
	h.mu.Lock()
	open := slices.Collect(maps.Keys(h.sessions))
	h.mu.Unlock()
	h.rep.View(func(s *state.State) {
		for _, ss := range open {
			if ss.needsPush(s) {
				ss.woken.Set()
			}
		}
	})
}

// accept serves the connection of a node. It receives the hello, and then either
// redirects the node to the leader or runs its session.
func (h *hub) accept(w http.ResponseWriter, r *http.Request) {
	connNumber := h.nextConnNumber()
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
	if !h.acceptsSessions() || h.barrier(r.Context()) != nil {
		redirect := &wire.Redirect{Addr: h.rep.Status().Leader.Addr}
		_ = c.Send(r.Context(), wire.ToNode{Redirect: redirect}) // the node redials even if it doesn't get this
		return
	}
	h.serve(r.Context(), c, connNumber, *hello)
}

func (h *hub) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	return h.rep.Barrier(ctx)
}

// nextConnNumber returns the number of a connection that was just accepted.
func (h *hub) nextConnNumber() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastConnNumber++
	return h.lastConnNumber
}

var (
	// errSuperseded means that the VM's agent has registered over a later connection.
	errSuperseded = errors.New("the VM's agent has a later session")
	// errRegistering means that a registration of the VM over another connection is
	// being committed.
	errRegistering = errors.New("the VM's agent is being registered in another session")
)

// beginRegistration starts the registration of a VM over a connection. It fails if
// the VM's agent has registered over a later connection: then the hello was delayed
// and may come from a process that has ended. It also fails while another
// registration of the VM is being committed. If it succeeds, the caller must call
// endRegistration.
//
// A later process of the agent has a higher connection number, since an agent closes
// its connection before it opens the next, and sends its hello only after the
// connection was accepted.
func (h *hub) beginRegistration(vm rudderfork.VMID, connNumber uint64) (reg *agentRegistration, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reg = h.registrations[vm]
	if reg == nil {
		reg = &agentRegistration{}
		h.registrations[vm] = reg
	}
	switch {
	case connNumber < reg.connNumber:
		return nil, errSuperseded
	case reg.inProgress:
		return nil, errRegistering
	}
	reg.connNumber, reg.inProgress = connNumber, true
	return reg, nil
}

func (h *hub) endRegistration(reg *agentRegistration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reg.inProgress = false
}

// superseded reports whether a VM's agent has registered over a later connection.
func (h *hub) superseded(vm rudderfork.VMID, connNumber uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	reg := h.registrations[vm]
	return reg != nil && connNumber < reg.connNumber
}

func (h *hub) serve(ctx context.Context, c *wire.Conn[wire.ToNode, wire.ToControl], connNumber uint64, hello wire.Hello) {
	s := newSession(h, c, connNumber, hello)
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
		TableRevision: s.hello.TableRevision, HeartbeatAt: steady.Now(), Connected: true,
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

// recordHeartbeat records a heartbeat of a node that has applied revision rev of
// the table; newest is the current revision.
func (h *hub) recordHeartbeat(process string, rev, newest rudderfork.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.nodes[process]
	n.TableRevision, n.HeartbeatAt, n.Connected = max(n.TableRevision, rev), steady.Now(), true
	switch {
	case n.TableRevision >= newest:
		n.BehindSince = time.Time{}
	case n.BehindSince.IsZero():
		n.BehindSince = steady.Now()
	}
	h.nodes[process] = n
}

// Nodes returns all nodes that have connected in this term, sorted by name.
func (h *hub) Nodes() []Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ns []Node
	for _, k := range slices.Sorted(maps.Keys(h.nodes)) {
		ns = append(ns, h.nodes[k])
	}
	return ns
}

// sessionCount returns the number of open sessions.
func (h *hub) sessionCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.sessions)
}
