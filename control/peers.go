package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/disk"
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
)

// peers is the links to the other control processes. Each process dials each
// other and sends on its own link; answers come on the other's.
type peers struct {
	self  quorum.Member
	log   zerolog.Logger
	links map[string]*link // by name

	mu     sync.Mutex
	joined bool
}

// link is the way to one peer.
type link struct {
	name  string
	addr  string
	queue chan wire.Peer
}

func newPeers(cfg Settings, id disk.Identity, log zerolog.Logger) *peers {
	p := &peers{log: log, links: map[string]*link{}}
	for _, m := range cfg.Peers {
		if m.Name == cfg.Name {
			p.self = quorum.Member{ID: id.ID, Name: m.Name, Addr: m.Addr}
			continue
		}
		addr := m.Addr
		if a := cfg.Dial[m.Name]; a != "" {
			addr = a
		}
		p.links[m.Name] = &link{m.Name, addr, make(chan wire.Peer, peerQueue)}
	}
	return p
}

// Send implements Sender.
func (p *peers) Send(m quorum.Message) {
	if l := p.links[memberName(m.To)]; l != nil {
		l.push(wire.Peer{Quorum: &m})
	}
}

func (l *link) push(m wire.Peer) {
	select {
	case l.queue <- m:
	default:
	}
}

// Serve implements suture.Service.
func (p *peers) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, l := range p.links {
		wg.Go(func() { p.run(ctx, l) })
	}
	wg.Wait()
	return ctx.Err()
}

// String names the service in the supervisor's log.
func (p *peers) String() string { return "peers" }

// run keeps one link up.
func (p *peers) run(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		c, err := wire.Dial[wire.Peer, wire.Peer](ctx, "ws://"+l.addr+"/peer")
		if err != nil {
			l.discard()
			pause(ctx, redialPause)
			continue
		}
		p.log.Info().Str("peer", l.name).Msg("peer_connected")
		err = p.pump(ctx, l, c)
		c.Close()
		p.log.Info().Str("peer", l.name).AnErr("error", err).Msg("peer_disconnected")
	}
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

func (p *peers) pump(ctx context.Context, l *link, c *wire.Conn[wire.Peer, wire.Peer]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_, _ = c.Receive(ctx) // nothing is sent this way; it ends when the link does
	}()
	tick := time.NewTicker(joinPause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-l.queue:
			if err := c.Send(ctx, m); err != nil {
				return err
			}
		case <-tick.C:
			if !p.isMember() {
				self := p.self
				l.push(wire.Peer{Join: &self})
			}
		}
	}
}

func (p *peers) isMember() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.joined
}

// SetMember implements Sender.
func (p *peers) SetMember(member bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = member
}

// accept takes the links of other processes.
func (p *peers) accept(rep *Replica) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := wire.Accept[wire.Peer, wire.Peer](w, r)
		if err != nil {
			p.log.Warn().Err(err).Msg("peer_refused")
			return
		}
		defer c.Close()
		for {
			m, err := c.Receive(r.Context())
			if err != nil {
				return
			}
			switch {
			case m.Quorum != nil:
				rep.Step(r.Context(), *m.Quorum)
			case m.Join != nil:
				rep.Join(*m.Join)
			}
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
