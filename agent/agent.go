// Package agent implements the agent, the process that runs on each VM beside its
// upstreams and its worker.
//
// Entries send requests for the VM's upstreams to the agent. It admits them to the
// upstream's slots (one for each request that may run at the same time), refuses
// those that cannot be answered in time, and runs a request with a claim at most
// once. Control grants the agent a lease for the VM.
// While the lease is valid, the agent starts, throttles and stops tasks at the
// platform's worker. It makes the final check of whether a task may run on the VM.
package agent

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/admin"
	"rudderfork.example/rudderfork/internal/daemon"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/node"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/timeline"
	"rudderfork.example/rudderfork/wire"
)

const (
	// timelineSize is the number of events that the timeline retains.
	timelineSize = 8192
	// headerTimeout bounds the time for reading the headers of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout closes a connection that had no request for that long. It is twice
	// the idle timeout of entries (idleConnTimeout there), so that they close first: a request
	// sent while the other side closes the connection may or may not be read.
	idleTimeout = 2 * time.Minute
	// drainPollInterval is the time between two checks of a stopping agent whether it
	// is idle.
	drainPollInterval = 50 * time.Millisecond
	// entryDrainTimeout bounds how long an agent with no request in progress waits
	// until entries report that they send no more. An entry that has chosen this
	// agent for a request may first ask control for the claim, twice for at most 3 s
	// (claimTimeout there); the remaining time is for transmission.
	entryDrainTimeout = 10 * time.Second
)

// Process is an agent, ready to serve.
type Process struct {
	cfg      Settings
	log      zerolog.Logger
	boot     string // random ID of this start of the agent
	addr     string // to which entries send requests
	admin    string
	table    *node.Table
	client   *node.Client
	requests *requestServer
	tasks    *tasks
	srv      *http.Server
	ln       net.Listener
	sup      *suture.Supervisor
}

// New opens the listeners.
func New(cfg Settings, log zerolog.Logger) (p *Process, err error) {
	defer errs.Annotate(&err, "agent %s", cfg.Name)
	ln, adminLn, err := daemon.Listen(cfg.Listen, cfg.Admin)
	if err != nil {
		return nil, err
	}
	ring := timeline.NewRing(cfg.Name, cfg.Place, timelineSize, steady.Now)
	p = &Process{cfg: cfg, log: log, boot: rand.Text(), ln: ln, addr: ln.Addr().String(), admin: adminLn.Addr().String()}
	if cfg.Advertise != "" {
		p.addr = cfg.Advertise
	}
	p.table = node.NewTable()
	p.client = node.NewClient(cfg.Control, cfg.HeartbeatInterval, p.table, p, log)
	p.requests = newRequestServer(cfg, p.boot, p.table, log, ring)
	p.tasks = newTasks(cfg, p.client, p.requests, log, ring)
	p.srv = &http.Server{Handler: p.requests.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: p.requests.conns.handleState}
	adm := admin.New(adminLn, ring, p.ready)
	adm.Registry().MustRegister(newCollector(p))
	p.sup = daemon.Supervisor("agent", log)
	p.sup.Add(p.client)
	p.sup.Add(p.tasks)
	p.sup.Add(p.requests)
	p.sup.Add(adm)
	log.Info().Str("listen", ln.Addr().String()).Str("admin", p.admin).Str("boot", p.boot).Msg("started")
	return p, nil
}

func (p *Process) ready() error {
	switch {
	case !p.table.Known():
		return errors.New("the table is not known yet")
	case p.requests.isLeaving():
		return errors.New("leaving")
	}
	return nil
}

// Run serves until ctx is cancelled. Then it refuses new requests, finishes those
// in progress, including feeds (responses that stay open), waits until entries send
// no more, and closes its connections. Tasks run on at the worker until their lease
// ends; an agent that is restarted by then takes them over.
func (p *Process) Run(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "agent %s", p.cfg.Name)
	return daemon.Run(ctx, p.sup, p.srv, p.ln, func(context.Context) error {
		p.drain()
		_ = p.srv.Close() // no request is in progress or in transit
		p.log.Info().Msg("stopped")
		return nil
	})
}

// drain waits until no request is in progress, for at most DrainLimit, and then
// until none can be in transit, for at most entryDrainTimeout. A connection that is
// closed earlier may hold a request that was never read; its entry then cannot know
// whether the request ran.
func (p *Process) drain() {
	p.log.Info().Msg("stopping")
	p.requests.stopAccepting("the agent is stopping")
	limit := steady.Now().Add(p.cfg.DrainLimit)
	if !waitUntil(p.requests.idle, limit) {
		p.log.Warn().Int("in_progress", p.requests.inProgress()).Msg("stopped_with_requests")
		return
	}
	if !waitUntil(p.requests.noneInTransit, steady.Now().Add(entryDrainTimeout)) {
		p.log.Warn().Msg("stopped_before_entries_were_quiet")
	}
}

// waitUntil polls cond until it holds. It returns false if it does not by limit.
func waitUntil(cond func() bool, limit time.Time) bool {
	for !cond() {
		if steady.Now().After(limit) {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}

// Hello implements node.Handler. While the worker is unreachable, the hello has no
// registration, so that control grants the VM no lease.
func (p *Process) Hello() wire.Hello {
	h := wire.Hello{Kind: wire.KindAgent, Process: p.cfg.Name, Place: p.cfg.Place, Boot: p.boot, Admin: p.admin}
	if p.tasks.workerReachable() {
		h.Register = &state.Register{
			Place: p.cfg.Place, Addr: p.addr, Capacity: p.cfg.Capacity, Reserved: p.cfg.Reserved,
			Services: p.cfg.services(), Boot: p.boot,
		}
	}
	return h
}

// Heartbeat implements node.Handler.
func (p *Process) Heartbeat() wire.Heartbeat {
	hb := p.tasks.heartbeat()
	hb.Services = p.requests.usage()
	hb.Leaving = p.requests.isLeaving()
	return hb
}

// Handle implements node.Handler.
func (p *Process) Handle(m wire.ToNode) {
	if m.Update != nil {
		p.requests.tableChanged()
		return
	}
	if m.Assign != nil {
		p.requests.setDraining(m.Assign.Draining)
	}
	p.tasks.handle(m)
}

// services returns the names of the VM's services.
func (s Settings) services() []rudderfork.Service {
	var names []rudderfork.Service
	for _, u := range s.Upstreams {
		names = append(names, u.Service)
	}
	return names
}
