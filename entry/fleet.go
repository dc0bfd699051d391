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
	// dialTimeout bounds a connection to an agent.
	dialTimeout = time.Second
	// maxIdle bounds the kept connections to one agent.
	maxIdle = 64
	// keptFor bounds how long a connection to an agent is kept without a request.
	keptFor = time.Minute
	// probeBusy and probeIdle are the pauses between probes of an agent, with
	// and without requests in the last second.
	probeBusy = 200 * time.Millisecond
	probeIdle = 3 * time.Second
	// retryShare is how many retries a request earns.
	retryShare = 0.1
)

// The pickers that settings can name.
const (
	pickerProbing    = "probing"
	pickerRandom     = "random"
	pickerRoundRobin = "round-robin"
	pickerLeast      = "least-in-flight"
)

// newPicker returns the picker that the settings name, or nil.
func newPicker(cfg Settings, seed uint64) rudderfork.Picker {
	switch cfg.Picker {
	case pickerProbing:
		return routing.NewProbing(cfg.Place.Domain, seed)
	case pickerRandom:
		return routing.NewRandom(seed)
	case pickerRoundRobin:
		return &routing.RoundRobin{}
	case pickerLeast:
		return &routing.LeastInFlight{}
	}
	return nil
}

// fleet is what an entry knows of the upstreams of all services.
type fleet struct {
	cfg Settings
	log zerolog.Logger
	hc  *http.Transport

	mu       sync.Mutex
	revision rudderfork.Revision
	infos    map[rudderfork.VMID]wire.UpstreamInfo
	pools    map[rudderfork.Service]*pool
	links    map[rudderfork.VMID]*agentLink
	ctx      context.Context //nolint:containedctx // of Serve, for links made later
	pending  sync.WaitGroup  // settlements under way
}

// pool is the upstreams of one service.
type pool struct {
	mu     sync.Mutex
	picker rudderfork.Picker
	budget *routing.RetryBudget
	busyAt time.Time // of the newest request
}

func newFleet(cfg Settings, log zerolog.Logger) *fleet {
	return &fleet{
		cfg: cfg, log: log,
		hc: &http.Transport{
			DisableCompression: true, MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: keptFor,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		infos: map[rudderfork.VMID]wire.UpstreamInfo{}, pools: map[rudderfork.Service]*pool{},
		links: map[rudderfork.VMID]*agentLink{},
	}
}

// String names the service in the supervisor's log.
func (f *fleet) String() string { return "fleet" }

// Serve implements suture.Service; the links to agents live as long as it does.
func (f *fleet) Serve(ctx context.Context) error {
	f.mu.Lock()
	f.ctx = ctx
	f.syncLinks()
	f.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// settled waits for settlements under way.
func (f *fleet) settled() { f.pending.Wait() }

func (f *fleet) empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.infos) == 0
}

// set takes a list of upstreams that is newer than the one held.
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

// pool returns the pool of a service, made when first named by control. f.mu is
// held.
func (f *fleet) pool(s rudderfork.Service) *pool {
	p := f.pools[s]
	if p == nil {
		seed := uint64(steady.Now().UnixNano())
		p = &pool{picker: newPicker(f.cfg, seed), budget: routing.NewRetryBudget(retryShare)}
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

// info returns what control says of a VM.
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

// syncLinks makes the links match the list. f.mu is held.
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

// pick chooses an upstream and counts the request there.
func (p *pool) pick(tried []rudderfork.VMID) (vm rudderfork.VMID, why string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := steady.Now()
	vm, why, ok = p.picker.Pick(now, tried)
	if ok {
		p.picker.Sent(vm, now)
	}
	return vm, why, ok
}

func (p *pool) done(vm rudderfork.VMID, took time.Duration, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Done(vm, took, failed, steady.Now())
}

func (p *pool) observe(vm rudderfork.VMID, l rudderfork.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.picker.Observe(vm, l, steady.Now())
}

// request counts a request for the retry budget.
func (p *pool) request() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyAt = steady.Now()
	p.budget.AddRequest(p.busyAt)
}

// mayRetry takes a retry from the budget.
func (p *pool) mayRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TryRetry(steady.Now())
}

func (p *pool) busy(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.busyAt) < time.Second
}

// services returns the pools of the named services.
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
