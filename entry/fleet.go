package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/routing"
	"rudderfork.example/rudderfork/wire"
)

const (
	// dialTimeout bounds the time to open a connection to an agent.
	dialTimeout = time.Second
	// maxIdleConns bounds the number of idle connections to one agent.
	maxIdleConns = 64
	// idleConnTimeout bounds how long a connection to an agent is kept idle.
	idleConnTimeout = time.Minute
	// busyProbeInterval and idleProbeInterval are the intervals between probes of an
	// agent, with and without requests for the service in the last second.
	busyProbeInterval = 200 * time.Millisecond
	idleProbeInterval = 3 * time.Second
	// retriesPerRequest is how many retries each request adds to the retry budget.
	retriesPerRequest = 0.1
)

// The names of pickers in the settings.
const (
	pickerProbing       = "probing"
	pickerRandom        = "random"
	pickerRoundRobin    = "round-robin"
	pickerLeastInFlight = "least-in-flight"
)

// newPicker returns the picker that the settings name, or nil if there is none of that
// name.
func newPicker(cfg Settings, seed uint64) rudderfork.Picker {
	switch cfg.Picker {
	case pickerProbing:
		return routing.NewProbing(cfg.Place.Domain, seed)
	case pickerRandom:
		return routing.NewRandom(seed)
	case pickerRoundRobin:
		return &routing.RoundRobin{}
	case pickerLeastInFlight:
		return &routing.LeastInFlight{}
	}
	return nil
}

// fleet holds the upstreams of all services, with the links to their agents.
type fleet struct {
	cfg       Settings
	log       zerolog.Logger
	transport *http.Transport

	mu          sync.Mutex
	revision    rudderfork.Revision
	infos       map[rudderfork.VMID]wire.UpstreamInfo
	pools       map[rudderfork.Service]*pool
	links       map[rudderfork.VMID]*agentLink
	ctx         context.Context //nolint:containedctx // the context of Serve, for links that are opened later
	settlements sync.WaitGroup  // reports to control in progress, see handler.settle
}

// pool holds the upstreams of one service.
type pool struct {
	mu            sync.Mutex
	picker        rudderfork.Picker
	budget        *routing.RetryBudget
	lastRequestAt time.Time // time of the newest request
}

func newFleet(cfg Settings, log zerolog.Logger) *fleet {
	return &fleet{
		cfg: cfg, log: log,
		transport: &http.Transport{
			DisableCompression: true, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		infos: map[rudderfork.VMID]wire.UpstreamInfo{}, pools: map[rudderfork.Service]*pool{},
		links: map[rudderfork.VMID]*agentLink{},
	}
}

// String names the service in the supervisor's log.
func (f *fleet) String() string { return "fleet" }

// Serve implements suture.Service. The links to agents are closed when it returns.
func (f *fleet) Serve(ctx context.Context) error {
	f.mu.Lock()
	f.ctx = ctx
	f.syncLinks()
	f.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// waitForSettlements waits until the outcomes of claimed requests were reported to
// control, or the attempts to report them have ended.
func (f *fleet) waitForSettlements() { f.settlements.Wait() }

func (f *fleet) empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.infos) == 0
}

// set replaces the list of upstreams, unless u is older than the current list.
func (f *fleet) set(u wire.Upstreams) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.Revision < f.revision {
		return
	}
	f.revision = u.Revision
	clear(f.infos)
	byService := map[rudderfork.Service][]rudderfork.Upstream{}
	for _, i := range u.List {
		f.infos[i.Place.VM] = i
		if i.Leaving {
			continue
		}
		for _, s := range i.Services {
			byService[s] = append(byService[s], rudderfork.Upstream{Place: i.Place, Addr: i.Addr})
		}
	}
	for s, us := range byService {
		f.pool(s).set(us)
	}
	for s, p := range f.pools {
		if len(byService[s]) == 0 {
			p.set(nil)
		}
	}
	f.syncLinks()
	f.log.Info().Uint64("revision", uint64(u.Revision)).Int("upstreams", len(u.List)).Msg("upstreams")
}

// pool returns the pool of a service, and creates it if there is none. f.mu is held.
func (f *fleet) pool(s rudderfork.Service) *pool {
	p := f.pools[s]
	if p == nil {
		seed := uint64(steady.Now().UnixNano())
		p = &pool{picker: newPicker(f.cfg, seed), budget: routing.NewRetryBudget(retriesPerRequest)}
		f.pools[s] = p
	}
	return p
}

// lookup returns the pool of a service, or nil.
func (f *fleet) lookup(s rudderfork.Service) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pools[s]
}

// info returns control's information about a VM's agent.
func (f *fleet) info(vm rudderfork.VMID) (i wire.UpstreamInfo, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok = f.infos[vm]
	return i, ok
}

// link returns the link to a VM's agent, or nil.
func (f *fleet) link(vm rudderfork.VMID) *agentLink {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[vm]
}

// syncLinks opens and closes links so that they match the list of upstreams. f.mu is
// held.
func (f *fleet) syncLinks() {
	if f.ctx == nil {
		return
	}
	for vm, l := range f.links {
		if i, ok := f.infos[vm]; !ok || i.Addr != l.addr || i.Boot != l.boot {
			l.cancel()
			delete(f.links, vm)
		}
	}
	for vm, i := range f.infos {
		if f.links[vm] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(f.ctx)
		l := newAgentLink(f, i, cancel)
		f.links[vm] = l
		go l.run(ctx)
	}
}

func (p *pool) set(us []rudderfork.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.SetUpstreams(us, steady.Now())
}

// pick chooses an upstream and counts the request as sent to it. reason is the picker's
// explanation.
func (p *pool) pick(tried []rudderfork.VMID) (vm rudderfork.VMID, reason string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := steady.Now()
	vm, reason, ok = p.picker.Pick(now, tried)
	if ok {
		p.picker.Sent(vm, now)
	}
	return vm, reason, ok
}

// done reports to the picker that a request ended. A latency of 0 says nothing about
// the upstream's speed.
func (p *pool) done(vm rudderfork.VMID, latency time.Duration, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Done(vm, latency, failed, steady.Now())
}

// observe passes a load report of an upstream on to the picker.
func (p *pool) observe(vm rudderfork.VMID, l rudderfork.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Observe(vm, l, steady.Now())
}

// addRequest adds a request to the retry budget.
func (p *pool) addRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRequestAt = steady.Now()
	p.budget.AddRequest(p.lastRequestAt)
}

// tryRetry takes a retry from the budget. It returns false if there is none.
func (p *pool) tryRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TryRetry(steady.Now())
}

// busy reports whether there was a request in the last second.
func (p *pool) busy(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastRequestAt) < time.Second
}

// poolsOf returns the pools of the named services.
func (f *fleet) poolsOf(names []rudderfork.Service) map[rudderfork.Service]*pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[rudderfork.Service]*pool{}
	for s, p := range f.pools {
		if slices.Contains(names, s) {
			out[s] = p
		}
	}
	return out
}
