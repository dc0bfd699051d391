// Package agent is the process beside each VM's upstreams and worker.
//
// Towards entries it is the way to the upstream: it admits requests to the
// upstream's slots, refuses what cannot be answered in time, and lets a claimed
// request run once. Towards control it is the end of the VM's lease: it starts,
// slows and stops tasks at the platform's worker and is the last check on what
// the VM may run.
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
	// timelineSize is how many events an agent keeps.
	timelineSize = 8192
	// headerTimeout bounds how long an entry may take to send its headers.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds how long an entry's connection is kept without a request. It
	// is twice as long as entries keep one (keptFor there), so that they close first:
	// what is sent as the other side closes may or may not be read.
	idleTimeout = 2 * time.Minute
	// quietPause is how often a stopping agent looks whether it is idle.
	quietPause = 50 * time.Millisecond
	// quietLimit bounds how long an agent with nothing in progress waits for
	// entries to say that they send no more. An entry may hold a request that it
	// has chosen this agent for while it asks control for the claim, twice for 3 s
	// at most (claimTimeout there); the rest is for the way.
	quietLimit = 10 * time.Second
)

// Process is an agent, ready to serve.
type Process struct {
	cfg    Settings
	log    zerolog.Logger
	boot   string
	addr   string // for requests, as entries reach it
	admin  string
	table  *node.Table
	client *node.Client
	front  *front
	tasks  *tasks
	srv    *http.Server
	ln     net.Listener
	sup    *suture.Supervisor
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
	p.client = node.NewClient(cfg.Control, cfg.Beat, p.table, p, log)
	p.front = newFront(cfg, p.boot, p.table, log, ring)
	p.tasks = newTasks(cfg, p.client, p.front, log, ring)
	p.srv = &http.Server{Handler: p.front.handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: p.front.conns.note}
	adm := admin.New(adminLn, ring, p.ready)
	adm.Registry().MustRegister(newCollector(p))
	p.sup = daemon.Supervisor("agent", log)
	p.sup.Add(p.client)
	p.sup.Add(p.tasks)
	p.sup.Add(p.front)
	p.sup.Add(adm)
	log.Info().Str("listen", ln.Addr().String()).Str("admin", p.admin).Str("boot", p.boot).Msg("started")
	return p, nil
}

func (p *Process) ready() error {
	switch {
	case !p.table.Known():
		return errors.New("the table is not known yet")
	case p.front.isLeaving():
		return errors.New("leaving")
	}
	return nil
}

// Run serves until ctx ends. Then it takes no new requests, finishes those in
// progress, feeds included, waits until entries send no more, and only then
// closes connections and ends. Tasks go on at the worker until their lease ends;
// an agent that is back by then takes them up again.
func (p *Process) Run(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "agent %s", p.cfg.Name)
	return daemon.Run(ctx, p.sup, p.srv, p.ln, func(context.Context) error {
		p.drain()
		_ = p.srv.Close() // nothing is in progress or on its way
		p.log.Info().Msg("stopped")
		return nil
	})
}

// drain waits until nothing is in progress, or the settings' limit has passed;
// and then until no request can be on its way, or quietLimit has passed. A
// connection that is closed earlier may hold a request that was never read, of
// which its entry cannot tell whether it ran.
func (p *Process) drain() {
	p.log.Info().Msg("stopping")
	p.front.leave("the agent is stopping")
	limit := steady.Now().Add(p.cfg.DrainLimit)
	if !await(p.front.idle, limit) {
		p.log.Warn().Int("in_progress", p.front.inProgress()).Msg("stopped_with_requests")
		return
	}
	if !await(p.front.quiet, steady.Now().Add(quietLimit)) {
		p.log.Warn().Msg("stopped_before_entries_were_quiet")
	}
}

// await looks again and again whether cond holds; false if it does not by limit.
func await(cond func() bool, limit time.Time) bool {
	for !cond() {
		if steady.Now().After(limit) {
			return false
		}
		time.Sleep(quietPause)
	}
	return true
}

// Hello implements node.Handler.
func (p *Process) Hello() wire.Hello {
	h := wire.Hello{Kind: wire.KindAgent, Process: p.cfg.Name, Place: p.cfg.Place, Boot: p.boot, Admin: p.admin}
	if p.tasks.workerSeen() {
		h.Register = &state.Register{
			Place: p.cfg.Place, Addr: p.addr, Capacity: p.cfg.Capacity, Reserved: p.cfg.Reserved,
			Services: p.cfg.services(), Boot: p.boot,
		}
	}
	return h
}

// Heartbeat implements node.Handler.
func (p *Process) Heartbeat() wire.Heartbeat {
	b := p.tasks.beat()
	b.Services = p.front.usage()
	b.Leaving = p.front.isLeaving()
	return b
}

// Handle implements node.Handler.
func (p *Process) Handle(m wire.ToNode) {
	if m.Update != nil {
		p.front.tableChanged()
		return
	}
	if m.Assign != nil {
		p.front.setDraining(m.Assign.Draining)
	}
	p.tasks.handle(m)
}

// services returns the names of the services here.
func (s Settings) services() []rudderfork.Service {
	var names []rudderfork.Service
	for _, u := range s.Upstreams {
		names = append(names, u.Service)
	}
	return names
}
