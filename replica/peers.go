package replica

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/internal/wakeup"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/wire"
)

const (
	// peerQueue bounds the messages that wait for a slow peer; more are lost,
	// which the quorum protocol allows.
	peerQueue = 1024
	// redialPause is how long a broken link rests.
	redialPause = 100 * time.Millisecond
	// joinPause is how often a process that is no member asks to be one.
	joinPause = 300 * time.Millisecond
	// linkKind names the links in metrics.
	linkKind = "replica"
	// dialLimits bounds setting up a link, in silence limits: a connection that
	// hangs on its way is tried anew about when the network's own retry would come.
	dialLimits = 2
)

// Peers is the links to the other replicas, one for each address. Each process
// dials each other and sends on its own link; answers come on the other's, so that
// only keep-alives pass against the direction of a link. An end that hears nothing
// any more gives the link up: the one that dialled dials anew, the one that
// accepted suspects the other replica.
//
// The addresses are those that the process was told at its start, those of the
// group's members, and those of processes that have dialled: a replica without a
// log learns only so where the leader is that it has to answer.
type Peers struct {
	self  quorum.Member
	dial  map[string]string // by member name: where to reach it, if not at its address
	alive wire.Liveness
	log   zerolog.Logger

	mu      sync.Mutex
	told    []string
	members []quorum.Member
	callers map[quorum.MemberID]string // addresses of those that have dialled
	joined  bool
	links   map[string]*link // by address
	changed wakeup.Signal    // the addresses may be others
}

// link is the way to one peer.
type link struct {
	addr  string
	queue chan wire.Peer
	stop  context.CancelFunc
}

// NewPeers returns the links of a replica. addrs are those it is told of. dial
// says, by member name, where a member is reached that is not at its address. A
// link that is silent for silence is given up: an election timeout, since a leader
// that is not heard for so long is not followed either.
func NewPeers(self quorum.Member, addrs []string, dial map[string]string, silence time.Duration, log zerolog.Logger) *Peers {
	return &Peers{
		self: self, told: addrs, dial: dial, alive: wire.NewLiveness(linkKind, silence), log: log,
		callers: map[quorum.MemberID]string{}, links: map[string]*link{}, changed: wakeup.New(),
	}
}

// String names the service in the supervisor's log.
func (p *Peers) String() string { return "peers" }

// SetSeeds replaces the addresses that the process is told of.
func (p *Peers) SetSeeds(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.told = addrs
	p.changed.Set()
}

// SetMembers implements Sender.
func (p *Peers) SetMembers(members []quorum.Member, joined bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = joined
	if !sameMembers(p.members, members) {
		p.members = append([]quorum.Member(nil), members...)
		p.changed.Set()
	}
}

func sameMembers(a, b []quorum.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID || a[i].Addr != b[i].Addr {
			return false
		}
	}
	return true
}

// Send implements Sender.
func (p *Peers) Send(m quorum.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[p.addrOf(m.To)]; l != nil {
		l.push(wire.Peer{Quorum: &m})
	}
}

// Addrs implements Sender.
func (p *Peers) Addrs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.links))
}

// addrOf returns where a member is reached. The caller holds mu.
func (p *Peers) addrOf(id quorum.MemberID) string {
	if a := p.dial[memberName(id)]; a != "" {
		return a
	}
	for _, m := range p.members {
		if m.ID == id {
			return m.Addr
		}
	}
	return p.callers[id]
}

// maxCallers bounds the processes that are remembered for having dialled.
const maxCallers = 64

// noteCaller remembers a process that has dialled.
func (p *Peers) noteCaller(m quorum.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.callers[m.ID] == m.Addr {
		return
	}
	if len(p.callers) >= maxCallers {
		clear(p.callers) // those that live dial again, and are answered then
	}
	p.callers[m.ID] = m.Addr
	p.changed.Set()
}

// passOn brings another replica's request to join to the leader, one hop: the one
// that asks knows only the addresses that it was told, and the leader may be at none
// of them. Without it such a replica was no member after 20 s of asking.
func (p *Peers) passOn(m quorum.Member, leader quorum.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[p.addrOf(leader.ID)]; l != nil {
		l.push(wire.Peer{Join: &m, Forwarded: true})
	}
}

func (l *link) push(m wire.Peer) {
	select {
	case l.queue <- m:
	default:
	}
}

// Serve implements suture.Service.
func (p *Peers) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		p.mu.Lock()
		for _, l := range p.reconcile() {
			linkCtx, cancel := context.WithCancel(ctx)
			l.stop = cancel
			wg.Go(func() { p.run(linkCtx, l) })
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			p.forgetLinks()
			return ctx.Err()
		case <-p.changed:
		}
	}
}

// forgetLinks lets a later Serve dial anew.
func (p *Peers) forgetLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		l.stop()
		delete(p.links, addr)
	}
}

// reconcile ends links that lead to nobody, and returns new ones to run. The
// caller holds mu.
func (p *Peers) reconcile() (fresh []*link) {
	want := map[string]bool{}
	for _, a := range p.told {
		want[a] = true
	}
	for _, m := range p.members {
		if m.ID != p.self.ID {
			want[p.addrOf(m.ID)] = true
		}
	}
	for id, addr := range p.callers {
		if p.dial[memberName(id)] == "" {
			want[addr] = true
		}
	}
	delete(want, p.self.Addr)
	for addr, l := range p.links {
		if !want[addr] {
			l.stop()
			delete(p.links, addr)
		}
	}
	for addr := range want {
		if p.links[addr] == nil {
			l := &link{addr: addr, queue: make(chan wire.Peer, peerQueue)}
			p.links[addr] = l
			fresh = append(fresh, l)
		}
	}
	return fresh
}

// run keeps one link up.
func (p *Peers) run(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		c, err := p.connect(ctx, l.addr)
		if err != nil {
			l.discard()
			steady.Pause(ctx, redialPause)
			continue
		}
		p.log.Info().Str("peer", l.addr).Msg("peer_connected")
		err = p.pump(ctx, l, c)
		c.Close()
		p.log.Info().Str("peer", l.addr).AnErr("error", err).Msg("peer_disconnected")
	}
}

func (p *Peers) connect(ctx context.Context, addr string) (*wire.Conn[wire.Peer, wire.Peer], error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimits*p.alive.Limit())
	defer cancel()
	return wire.Dial[wire.Peer, wire.Peer](ctx, "ws://"+addr+"/peer", p.alive)
}

// discard drops what waits for a peer that cannot be reached: it is stale by
// the time the link is back.
func (l *link) discard() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (p *Peers) pump(ctx context.Context, l *link, c *wire.Conn[wire.Peer, wire.Peer]) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		_, err := c.Receive(ctx) // nothing but keep-alives comes; it ends when the link does
		cancel(err)
	}()
	self := p.self
	if err := c.Send(ctx, wire.Peer{Self: &self}); err != nil {
		return err
	}
	tick := time.NewTicker(joinPause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case m := <-l.queue:
			if err := c.Send(ctx, m); err != nil {
				return err
			}
		case <-tick.C:
			if !p.isJoined() {
				l.push(wire.Peer{Join: &self})
			}
		}
	}
}

func (p *Peers) isJoined() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.joined
}

// Accept takes the links of other processes and hands what they carry to rep.
func (p *Peers) Accept(rep *Replica) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := wire.Accept[wire.Peer, wire.Peer](w, r, p.alive)
		if err != nil {
			p.log.Warn().Err(err).Msg("peer_refused")
			return
		}
		defer c.Close()
		var caller quorum.MemberID
		for {
			m, err := c.Receive(r.Context())
			if err != nil {
				p.log.Info().Str("member", string(caller)).Err(err).Msg("peer_link_ended")
				rep.HandleDisconnect(caller)
				return
			}
			switch {
			case m.Quorum != nil:
				rep.Step(r.Context(), *m.Quorum)
			case m.Join != nil:
				rep.Join(*m.Join)
				if !m.Forwarded {
					p.passOn(*m.Join, rep.Status().Leader)
				}
			case m.Self != nil:
				caller = m.Self.ID
				p.noteCaller(*m.Self)
				rep.RecordDomain(*m.Self)
			}
		}
	}
}
