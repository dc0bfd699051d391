package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/relay"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// errNoAgent means that the agent could not be asked, or did not answer.
var errNoAgent = errors.New("the agent cannot be reached")

const (
	// redialPause is the rest after a broken link.
	redialPause = 200 * time.Millisecond
	// probeTimeout is after how long without an answer the link is given up.
	probeTimeout = 2 * time.Second
)

// agentLink is the session with one agent, for probes and fences.
type agentLink struct {
	fleet  *fleet
	vm     rudderfork.VMID
	addr   string
	boot   string
	names  []rudderfork.Service
	cancel context.CancelFunc

	calls *wire.Calls[wire.Fenced]

	mu       sync.Mutex
	out      chan wire.ToAgent // nil without a connection
	stopping bool              // the agent said so: no request goes there
	asked    bool              // in this session, to say when none is on its way
	signs    bool              // the agent said in this session that it gives signs of life
	sending  int               // requests between the choice of this agent and its answer
}

func newAgentLink(f *fleet, i wire.UpstreamInfo, cancel context.CancelFunc) *agentLink {
	return &agentLink{
		fleet: f, vm: i.Place.VM, addr: i.Addr, boot: i.Boot, names: i.Services, cancel: cancel,
		calls: wire.NewCalls[wire.Fenced](),
	}
}

// run keeps the session up until ctx ends.
func (l *agentLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.session(ctx)
		if err != nil && ctx.Err() == nil {
			l.report(rudderfork.Load{Down: true})
		}
		if fellSilent(err) {
			relay.Renew(l.fleet.hc, err) // requests' connections most likely fell silent too
		}
		steady.Pause(ctx, redialPause)
	}
}

// take counts a request for which the agent was chosen, until sent is called; ok
// is false if the agent is stopping. Without a link nothing is known against it.
func (l *agentLink) take() (ok bool) {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return false
	}
	l.sending++
	return true
}

// sent notes that the agent has begun to answer a request, or that the request
// is given up or will not be sent.
func (l *agentLink) sent() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sending--
	l.sayQuiet()
}

// stop notes that the agent is stopping.
func (l *agentLink) stop() {
	l.report(rudderfork.Load{Leaving: true})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping, l.asked = true, true
	l.sayQuiet()
}

// restarted notes that an agent that serves is at the address (again).
func (l *agentLink) restarted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = false
}

// sayQuiet tells an agent that asked once that no request is on its way. l.mu is
// held.
func (l *agentLink) sayQuiet() {
	if !l.asked || l.sending > 0 {
		return
	}
	l.asked = false
	select {
	case l.out <- wire.ToAgent{Drained: true}:
	default:
		l.fleet.log.Warn().Str("node_vm", string(l.vm)).Msg("quiet_not_said") // it ends without
	}
}

// givesSigns reports whether the agent has said that it gives signs of life. It does
// not without a session: another agent may be at the address by then.
func (l *agentLink) givesSigns() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signs
}

func (l *agentLink) setSigns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.signs = true
}

// fellSilent reports whether a session ended because the agent answered no probe, or
// sent nothing at all.
func fellSilent(err error) bool {
	return errors.Is(err, wire.ErrSilent) || errors.Is(err, context.DeadlineExceeded)
}

// report tells the pickers of all services here.
func (l *agentLink) report(load rudderfork.Load) {
	for _, p := range l.fleet.poolsOf(l.names) {
		p.observe(l.vm, load)
	}
}

func (l *agentLink) session(ctx context.Context) error {
	c, err := wire.Dial[wire.ToAgent, wire.ToEntry](ctx, "ws://"+l.addr+"/rudderfork/session", wire.ProbeSession)
	if err != nil {
		return err
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := make(chan wire.ToAgent, 64)
	l.open(out)
	defer l.close()
	go func() {
		defer c.Close()
		defer cancel()
		l.write(ctx, c, out)
	}()
	stopping := false // it said so in this session
	for {
		m, err := c.ReceiveWithin(ctx, probeIdle+probeTimeout)
		if err != nil {
			return err
		}
		switch {
		case m.InterimAnswers:
			l.setSigns()
		case m.Stopping:
			stopping = true
			l.stop()
		case m.Load != nil:
			if load := m.Load.Load; !stopping && !load.Leaving && !load.Down {
				l.restarted()
			}
			if p := l.fleet.lookup(m.Load.Service); p != nil {
				p.observe(l.vm, m.Load.Load)
			}
		case m.Fenced != nil:
			l.calls.Answer(m.Fenced.ID, *m.Fenced)
		}
	}
}

// write sends probes, more often while there are requests.
func (l *agentLink) write(ctx context.Context, c *wire.Conn[wire.ToAgent, wire.ToEntry], out chan wire.ToAgent) {
	tick := time.NewTicker(probeBusy)
	defer tick.Stop()
	var probed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-out:
			if c.Send(ctx, m) != nil {
				return
			}
		case <-tick.C:
			now := steady.Now()
			for s, p := range l.fleet.poolsOf(l.names) {
				if !p.busy(now) && now.Sub(probed) < probeIdle {
					continue
				}
				if c.Send(ctx, wire.ToAgent{Probe: &wire.Probe{Service: s}}) != nil {
					return
				}
				probed = now
			}
		}
	}
}

func (l *agentLink) open(out chan wire.ToAgent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = out
}

func (l *agentLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out, l.asked, l.signs = nil, false, false
	l.calls.End()
}

// fence asks the agent what became of a claimed request.
func (l *agentLink) fence(ctx context.Context, c *state.Claim) (out wire.Fenced, err error) {
	l.mu.Lock()
	if l.out == nil {
		l.mu.Unlock()
		return out, errNoAgent
	}
	id, answer := l.calls.Open()
	defer l.calls.Forget(id)
	select {
	case l.out <- wire.ToAgent{Fence: &wire.Fence{ID: id, Key: c.Key, Token: c.Token, Boot: c.Boot}}:
	default:
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	select {
	case f, ok := <-answer:
		if !ok {
			return out, errNoAgent
		}
		return f, nil
	case <-ctx.Done():
		return out, errNoAgent
	}
}
