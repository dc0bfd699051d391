// Package entry implements the process that receives clients' requests. It chooses an
// upstream for each request, forwards the request to the agent of that VM, retries at
// another upstream where that is safe, and ensures that a request with an idempotency
// key (a keyed request) runs at most once.
//
// Entries share no state. What must outlast the failure of an entry is kept in
// control's claims or at the agent.
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
	// timelineSize is how many events an entry keeps for explanations.
	timelineSize = 16_384
	// headerTimeout bounds how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long a caller's connection is kept without a request.
	// It is twice the 90 s for which net/http's clients keep one, so that the client
	// closes first: a request that is sent while the entry closes the connection may
	// or may not be read.
	idleTimeout = 3 * time.Minute
	// maxHeaderBytes bounds a caller's headers, in bytes.
	maxHeaderBytes = 64 << 10
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

// New opens the listeners of an entry and returns it, ready to Run.
func New(cfg Settings, log zerolog.Logger) (p *Process, err error) {
	defer errs.Annotate(&err, "entry %s", cfg.Name)
	ln, adminLn, err := daemon.Listen(cfg.Listen, cfg.Admin)
	if err != nil {
		return nil, err
	}
	ring := timeline.NewRing(cfg.Name, cfg.Place, timelineSize, steady.Now)
	p = &Process{cfg: cfg, log: log, boot: rand.Text(), ln: ln, admin: adminLn.Addr().String()}
	p.table = node.NewTable()
	p.client = node.NewClient(cfg.Control, cfg.HeartbeatInterval, p.table, p, log)
	p.fleet = newFleet(cfg, log)
	m := newMetrics()
	h := newHandler(cfg, p.table, p.client, p.fleet, m, ring, log)
	p.srv = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
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

// ready returns an error while the load balancer should send no requests here.
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

// Run serves until ctx ends. Then it reports that it is not ready, so that the load
// balancer sends no new requests, but still serves those that come within LeaveGrace.
// It returns when all requests in progress have ended, including feeds (responses that
// stay open), or after DrainLimit.
func (p *Process) Run(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "entry %s", p.cfg.Name)
	return daemon.Run(ctx, p.sup, p.srv, p.ln, p.stop)
}

// stop drains the entry: it makes ready fail and waits for the requests in progress.
func (p *Process) stop(ctx context.Context) error {
	p.log.Info().Msg("stopping")
	p.leaving.Store(true)
	time.Sleep(p.cfg.LeaveGrace)
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DrainLimit)
	defer cancel()
	err := p.srv.Shutdown(ctx)
	p.fleet.waitForSettlements()
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
