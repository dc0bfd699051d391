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

// errNoAgent means that the agent could not be reached, or did not answer.
var errNoAgent = errors.New("the agent cannot be reached")

const (
	// redialPause is the pause before a session that ended is opened again.
	redialPause = 200 * time.Millisecond
	// probeTimeout is how long an answer of the agent may take. A session without an
	// answer to a probe is then closed.
	probeTimeout = 2 * time.Second
)

// agentLink is the session with one agent. It carries probes of the agent's load, and
// queries that fence a claimed request off.
type agentLink struct {
	fleet    *fleet
	vm       rudderfork.VMID
	addr     string
	boot     string
	services []rudderfork.Service
	cancel   context.CancelFunc

	calls *wire.Calls[wire.Fenced] // fence queries that wait for an answer

	mu             sync.Mutex
	out            chan wire.ToAgent // nil without a session
	stopping       bool              // the agent has reported that it is stopping: no request is sent there
	drainRequested bool              // the agent has asked, in this session, for a message when no request is in flight
	interim        bool              // the agent has reported, in this session, that it sends interim responses
	inFlight       int               // requests for which the agent was chosen and has not yet responded
}

func newAgentLink(f *fleet, i wire.UpstreamInfo, cancel context.CancelFunc) *agentLink {
	return &agentLink{
		fleet: f, vm: i.Place.VM, addr: i.Addr, boot: i.Boot, services: i.Services, cancel: cancel,
		calls: wire.NewCalls[wire.Fenced](),
	}
}

// run keeps a session open until ctx ends.
func (l *agentLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.session(ctx)
		if err != nil && ctx.Err() == nil {
			l.report(rudderfork.Load{Down: true})
		}
		if wentSilent(err) {
			relay.CloseIdleAfter(l.fleet.transport, err) // connections of requests have most likely gone silent too
		}
		steady.Pause(ctx, redialPause)
	}
}

// acquire counts a request in flight to the agent, until release is called. ok is
// false if the agent is stopping. A nil link accepts every request.
func (l *agentLink) acquire() (ok bool) {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return false
	}
	l.inFlight++
	return true
}

// release counts a request as no longer in flight: the agent has begun to respond, or
// the request was given up or will not be sent.
func (l *agentLink) release() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.sendDrained()
}

// markStopping records that the agent is stopping.
func (l *agentLink) markStopping() {
	l.report(rudderfork.Load{Leaving: true})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping, l.drainRequested = true, true
	l.sendDrained()
}

// clearStopping records that the agent at the address accepts requests, for example
// because it was restarted.
func (l *agentLink) clearStopping() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = false
}

// sendDrained tells an agent that is stopping, once, that no request to it is in
// flight. l.mu is held.
func (l *agentLink) sendDrained() {
	if !l.drainRequested || l.inFlight > 0 {
		return
	}
	l.drainRequested = false
	select {
	case l.out <- wire.ToAgent{Drained: true}:
	default:
		l.fleet.log.Warn().Str("node_vm", string(l.vm)).Msg("quiet_not_said") // the agent then stops after its entryDrainTimeout
	}
}

// sendsInterim reports whether the agent has reported that it sends interim responses.
// It is false without a session, since another agent may be at the address by then.
func (l *agentLink) sendsInterim() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.interim
}

func (l *agentLink) setInterim() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interim = true
}

// wentSilent reports whether err, which ended a session, means that the agent answered
// no probe or sent nothing at all.
func wentSilent(err error) bool {
	return errors.Is(err, wire.ErrSilent) || errors.Is(err, context.DeadlineExceeded)
}

// report passes a load on to the pickers of all services that the agent serves.
func (l *agentLink) report(load rudderfork.Load) {
	for _, p := range l.fleet.poolsOf(l.services) {
		p.observe(l.vm, load)
	}
}

// session runs one session and returns the error that ended it.
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
	stopping := false // the agent has reported it in this session
	for {
		m, err := c.ReceiveWithin(ctx, idleProbeInterval+probeTimeout)
		if err != nil {
			return err
		}
		switch {
		case m.InterimAnswers:
			l.setInterim()
		case m.Stopping:
			stopping = true
			l.markStopping()
		case m.Load != nil:
			if load := m.Load.Load; !stopping && !load.Leaving && !load.Down {
				l.clearStopping()
			}
			if p := l.fleet.lookup(m.Load.Service); p != nil {
				p.observe(l.vm, m.Load.Load)
			}
		case m.Fenced != nil:
			l.calls.Answer(m.Fenced.ID, *m.Fenced)
		}
	}
}

// write sends the messages of out, and probes of the load, which are more frequent while
// there are requests.
func (l *agentLink) write(ctx context.Context, c *wire.Conn[wire.ToAgent, wire.ToEntry], out chan wire.ToAgent) {
	tick := time.NewTicker(busyProbeInterval)
	defer tick.Stop()
	var lastProbeAt time.Time
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
			for s, p := range l.fleet.poolsOf(l.services) {
				if !p.busy(now) && now.Sub(lastProbeAt) < idleProbeInterval {
					continue
				}
				if c.Send(ctx, wire.ToAgent{Probe: &wire.Probe{Service: s}}) != nil {
					return
				}
				lastProbeAt = now
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
	l.out, l.drainRequested, l.interim = nil, false, false
	l.calls.End()
}

// fence fences a claimed request off at the agent, which answers with the state of the
// request. It returns errNoAgent if no answer comes within probeTimeout.
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
