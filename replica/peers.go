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
	// peerQueue bounds the messages queued for a slow peer. Further ones are dropped, which the
	// quorum protocol tolerates.
	peerQueue = 1024
	// redialInterval is the pause after a failed attempt to connect.
	redialInterval = 100 * time.Millisecond
	// joinInterval is the time between two join requests of a replica that is not a member.
	joinInterval = 300 * time.Millisecond
	// linkKind is the label of the links in metrics.
	linkKind = "replica"
	// dialTimeoutFactor times the silence limit is the timeout for connecting. An attempt without an
	// answer is then repeated at about the time of TCP's own first retransmission.
	dialTimeoutFactor = 2
)

// Peers maintains the links to the other replicas, one per address. Each process dials every other
// one and sends on its own link; responses come on the link of the other one, so that only
// keep-alives travel against the direction of a link. An end that receives nothing for the silence
// limit closes the link: the dialling end dials again, the accepting end reports a disconnect to
// the replica.
//
// The addresses are the configured ones, those of the group's members, and those of processes that
// have dialled this one: a replica with an empty log does not know the members, and learns only from
// the leader's first message where to send its responses.
type Peers struct {
	self     quorum.Member
	dial     map[string]string // address by member name, where it differs from that of the member
	liveness wire.Liveness
	log      zerolog.Logger

	mu      sync.Mutex
	seeds   []string // configured addresses
	members []quorum.Member
	inbound map[quorum.MemberID]string // addresses of the processes that have dialled this one
	joined  bool                       // this replica is a member and knows a leader
	links   map[string]*link           // by address
	changed wakeup.Signal              // the set of addresses may have changed
}

// link is the outgoing connection to one peer.
type link struct {
	addr  string
	queue chan wire.Peer
	stop  context.CancelFunc
}

// NewPeers returns the links of a replica. addrs are the configured addresses of others. dial maps
// member names to addresses, for members that are not reached at their own. A link that is silent
// for the given time is closed; that time is an election timeout, since followers also give up a
// leader after it.
func NewPeers(self quorum.Member, addrs []string, dial map[string]string, silence time.Duration, log zerolog.Logger) *Peers {
	return &Peers{
		self: self, seeds: addrs, dial: dial, liveness: wire.NewLiveness(linkKind, silence), log: log,
		inbound: map[quorum.MemberID]string{}, links: map[string]*link{}, changed: wakeup.New(),
	}
}

// String names the service in the supervisor's log.
func (p *Peers) String() string { return "peers" }

// SetSeeds replaces the configured addresses.
func (p *Peers) SetSeeds(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seeds = addrs
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

// addrOf returns the address of a member, or "" if none is known. The caller holds mu.
func (p *Peers) addrOf(id quorum.MemberID) string {
	if a := p.dial[memberName(id)]; a != "" {
		return a
	}
	for _, m := range p.members {
		if m.ID == id {
			return m.Addr
		}
	}
	return p.inbound[id]
}

// maxInbound bounds the recorded processes that have dialled this one.
const maxInbound = 64

// addInbound records the address of a process that has dialled this one.
func (p *Peers) addInbound(m quorum.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inbound[m.ID] == m.Addr {
		return
	}
	if len(p.inbound) >= maxInbound {
		clear(p.inbound) // running processes dial again and are recorded then
	}
	p.inbound[m.ID] = m.Addr
	p.changed.Set()
}

// forwardJoin forwards the join request of another replica to the leader. A forwarded request is not
// forwarded again. The replica knows only its configured addresses, and the leader may be at none of
// them; without forwarding it would never become a member.
func (p *Peers) forwardJoin(m quorum.Member, leader quorum.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[p.addrOf(leader.ID)]; l != nil {
		l.push(wire.Peer{Join: &m, Forwarded: true})
	}
}

// push queues a message. It drops the message if the queue is full.
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
		for _, l := range p.updateLinks() {
			linkCtx, cancel := context.WithCancel(ctx)
			l.stop = cancel
			wg.Go(func() { p.maintain(linkCtx, l) })
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			p.dropLinks()
			return ctx.Err()
		case <-p.changed:
		}
	}
}

// dropLinks closes all links, so that a later Serve dials again.
func (p *Peers) dropLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		l.stop()
		delete(p.links, addr)
	}
}

// updateLinks closes the links to addresses that are no longer in use, and returns the new links,
// which the caller has to run. The caller holds mu.
func (p *Peers) updateLinks() (fresh []*link) {
	want := map[string]bool{}
	for _, a := range p.seeds {
		want[a] = true
	}
	for _, m := range p.members {
		if m.ID != p.self.ID {
			want[p.addrOf(m.ID)] = true
		}
	}
	for id, addr := range p.inbound {
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

// maintain keeps one link connected until ctx ends.
func (p *Peers) maintain(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		c, err := p.connect(ctx, l.addr)
		if err != nil {
			l.clearQueue()
			steady.Pause(ctx, redialInterval)
			continue
		}
		p.log.Info().Str("peer", l.addr).Msg("peer_connected")
		err = p.sendLoop(ctx, l, c)
		c.Close()
		p.log.Info().Str("peer", l.addr).AnErr("error", err).Msg("peer_disconnected")
	}
}

func (p *Peers) connect(ctx context.Context, addr string) (*wire.Conn[wire.Peer, wire.Peer], error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeoutFactor*p.liveness.Limit())
	defer cancel()
	return wire.Dial[wire.Peer, wire.Peer](ctx, "ws://"+addr+"/peer", p.liveness)
}

// clearQueue drops the messages queued for a peer that cannot be reached: they would be out of date
// once it can be reached again.
func (l *link) clearQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// sendLoop sends the queued messages on a connection, and join requests while this replica has not
// joined, until the connection closes or ctx ends.
func (p *Peers) sendLoop(ctx context.Context, l *link, c *wire.Conn[wire.Peer, wire.Peer]) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		_, err := c.Receive(ctx) // receives only keep-alives; returns when the link is closed
		cancel(err)
	}()
	self := p.self
	if err := c.Send(ctx, wire.Peer{Self: &self}); err != nil {
		return err
	}
	tick := time.NewTicker(joinInterval)
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

// Accept returns the handler for links dialled by other processes. It passes their messages to rep.
func (p *Peers) Accept(rep *Replica) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := wire.Accept[wire.Peer, wire.Peer](w, r, p.liveness)
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
					p.forwardJoin(*m.Join, rep.Status().Leader)
				}
			case m.Self != nil:
				caller = m.Self.ID
				p.addInbound(*m.Self)
				rep.RecordDomain(*m.Self)
			}
		}
	}
}
