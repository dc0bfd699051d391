// Package entry is the process that callers speak to. It chooses an upstream
// for each request, passes the request to that VM's agent, tries again elsewhere
// where that is safe, and sees to it that a keyed request runs at most once.
//
// Entries share no memory. All that a request needs to survive an entry stands
// in control's claims or at the agent.
package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"rudderfork.example/rudderfork/internal/admin"
	"rudderfork.example/rudderfork/internal/daemon"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/node"
	"rudderfork.example/rudderfork/timeline"
	"rudderfork.example/rudderfork/wire"
)

const (
	// timelineSize is how many events an entry keeps.
	timelineSize = 16_384
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection is kept without a request.
	// It is twice the 90 s for which net/http's clients keep one, so that they close
	// first: what is sent as the other side closes may or may not be read.
	idleTimeout = 3 * time.Minute
	// maxHeader bounds a caller's headers, in bytes.
	maxHeader = 64 << 10
)

// Process is an entry, ready to serve.
type Process struct {
	cfg     Settings
	log     zerolog.Logger
	boot    string
	admin   string
	table   *node.Table
	client  *node.Client
	fleet   *fleet
	srv     *http.Server
	ln      net.Listener
	sup     *suture.Supervisor
	leaving atomic.Bool
}

// New opens the listeners.
func New(cfg Settings, log zerolog.Logger) (p *Process, err error) {
	defer errs.Annotate(&err, "entry %s", cfg.Name)
	ln, adminLn, err := daemon.Listen(cfg.Listen, cfg.Admin)
	if err != nil {
		return nil, err
	}
	ring := timeline.NewRing(cfg.Name, cfg.Place, timelineSize, steady.Now)
	p = &Process{cfg: cfg, log: log, boot: rand.Text(), ln: ln, admin: adminLn.Addr().String()}
	p.table = node.NewTable()
	p.client = node.NewClient(cfg.Control, cfg.Beat, p.table, p, log)
	p.fleet = newFleet(cfg, log)
	m := newMetrics()
	h := newHandler(cfg, p.table, p.client, p.fleet, m, ring, log)
	p.srv = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	adm := admin.New(adminLn, ring, p.ready)
	m.register(adm.Registry(), p.table)
	adm.Handle("GET /explain", h.explain)
	p.sup = daemon.Supervisor("entry", log)
	p.sup.Add(p.client)
	p.sup.Add(p.fleet)
	p.sup.Add(adm)
	log.Info().Str("listen", ln.Addr().String()).Str("admin", p.admin).Msg("started")
	return p, nil
}

// ready tells the platform's balancer whether to send callers here.
func (p *Process) ready() error {
	switch {
	case p.leaving.Load():
		return errors.New("leaving")
	case !p.table.Known():
		return errors.New("the table is not known yet")
	case p.fleet.empty():
		return errors.New("no upstream is known yet")
	}
	return nil
}

// Run serves until ctx ends. Then it first stops to be ready, so that the
// balancer sends no more callers, goes on serving those it still sends, and
// ends when all requests in progress have ended, feeds included.
func (p *Process) Run(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "entry %s", p.cfg.Name)
	return daemon.Run(ctx, p.sup, p.srv, p.ln, p.stop)
}

// stop leaves the balancer and ends what is in progress.
func (p *Process) stop(ctx context.Context) error {
	p.log.Info().Msg("stopping")
	p.leaving.Store(true)
	time.Sleep(p.cfg.LeaveGrace)
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DrainLimit)
	defer cancel()
	err := p.srv.Shutdown(ctx)
	p.fleet.settled()
	p.log.Info().AnErr("error", err).Msg("stopped")
	return err
}

// Hello implements node.Handler.
func (p *Process) Hello() wire.Hello {
	return wire.Hello{Kind: wire.KindEntry, Process: p.cfg.Name, Place: p.cfg.Place, Boot: p.boot, Admin: p.admin}
}

// Heartbeat implements node.Handler.
func (p *Process) Heartbeat() wire.Heartbeat { return wire.Heartbeat{Leaving: p.leaving.Load()} }

// Handle implements node.Handler.
func (p *Process) Handle(m wire.ToNode) {
	if m.Upstreams != nil {
		p.fleet.set(*m.Upstreams)
	}
}
