// Package control implements the control process. It holds a replica of the
// durable state, the sessions with entries and agents (the nodes), the work of
// the leader and the operators' API.
//
// All replicas run the same code. A follower replicates the log and redirects
// nodes and operators to the leader. The leader expires leases, plans placements
// and evictions, and pushes the table of cells, the list of upstreams and the
// assignments to the nodes. Each of its decisions is a command: it takes effect once
// it is committed, and is checked again when it is applied.
package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/internal/admin"
	"rudderfork.example/rudderfork/internal/daemon"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/lease"
	"rudderfork.example/rudderfork/placement"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/scheduler"
	"rudderfork.example/rudderfork/timeline"
	"rudderfork.example/rudderfork/usage"
)

// timelineSize is the number of events that the timeline retains.
const timelineSize = 8192

// queueStatusRetention is how long the status of a finished queue job can be read, so
// that an operator can still look it up afterwards.
const queueStatusRetention = 10 * time.Minute

// headerTimeout bounds the time for reading the headers of a request.
const headerTimeout = 5 * time.Second

// Process is a control process, ready to serve.
type Process struct {
	cfg     Settings
	log     zerolog.Logger
	store   *disk.Store
	replica *replica.Replica
	sup     *suture.Supervisor
}

// New opens the data folder and the listeners. An empty or corrupt folder is
// formatted under a new member ID, so that the process joins the group as a new
// member.
func New(cfg Settings, log zerolog.Logger) (p *Process, err error) {
	defer errs.Annotate(&err, "control %s", cfg.Name)
	daemon.ReserveProcessor()
	store, err := replica.OpenStore(cfg.Data, cfg.Name, cfg.Group, log)
	if err != nil {
		return nil, err
	}
	ln, adminLn, err := daemon.Listen(cfg.Listen, cfg.Admin)
	if err != nil {
		return nil, err
	}
	ring := timeline.NewRing(cfg.Name, cfg.Place, timelineSize, steady.Now)
	peers := replica.NewPeers(cfg.self(store.Identity().ID), cfg.addrs(), cfg.Dial, cfg.ElectionTimeout, log)
	rep, err := replica.New(replica.Config{
		ElectionTimeout: cfg.ElectionTimeout, Heartbeat: cfg.Heartbeat,
		SnapshotEvery: cfg.SnapshotEvery, Seed: replica.Seed(cfg.Name),
	}, store, peers, log, ring, steady.Now)
	if err != nil {
		return nil, err
	}
	return assemble(cfg, log, store, rep, peers, ring, ln, adminLn), nil
}

// assemble creates the services of the process and adds them to one supervisor.
func assemble(cfg Settings, log zerolog.Logger, store *disk.Store, rep *replica.Replica, peers *replica.Peers, ring *timeline.Ring, ln, adminLn net.Listener) *Process {
	models := &usageModels{interference: interference.New(interference.ServicePrior()), usage: usage.New(steady.Now)}
	planner := placement.NewPlanner(placement.NewScored(models), models, models, replica.Seed(cfg.Name))
	lessor := lease.NewLessor(cfg.LeaseTerm, cfg.ClockBound)
	hub := newHub(cfg, rep, lessor, models, log, ring)
	lead := newLeader(cfg, rep, hub, planner, log, ring)
	adm := admin.New(adminLn, ring, func() error { return nil })
	adm.Registry().MustRegister(newCollector(rep, hub), replica.NewCollector(rep))

	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", peers.Accept(rep))
	mux.HandleFunc("GET /node", hub.accept)
	queues := scheduler.New(scheduler.Settings{Lease: cfg.LeaseTerm, StatusRetention: queueStatusRetention}, rep, nil, log, ring)
	queues.Routes(mux, ring)
	mux.HandleFunc("GET /queues", queues.Accept)
	adm.Registry().MustRegister(queues.Collectors()...)
	newAPI(cfg, rep, hub, models, ring).routes(mux)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}

	sup := daemon.Supervisor("control", log)
	sup.Add(rep)
	sup.Add(peers)
	sup.Add(hub)
	sup.Add(lead)
	sup.Add(queues)
	sup.Add(adm)
	sup.Add(&httpService{srv, ln})
	log.Info().Str("listen", ln.Addr().String()).Str("admin", adminLn.Addr().String()).
		Str("member", string(store.Identity().ID)).Msg("started")
	return &Process{cfg, log, store, rep, sup}
}

// Run serves until ctx is cancelled.
func (p *Process) Run(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "control %s", p.cfg.Name)
	err = p.sup.Serve(ctx)
	if ctx.Err() != nil {
		p.log.Info().Msg("stopped")
		return nil
	}
	return err
}

// Format writes the identity of a founding member into the data folder. It must
// be called exactly once on each founding member, before the group first starts.
// It fails if a peer reports a group that has committed entries.
func Format(ctx context.Context, cfg Settings) (err error) {
	defer errs.Annotate(&err, "format %s", cfg.Name)
	for _, m := range cfg.Peers {
		if st, err := fetchStatus(ctx, m.Addr); err == nil && st.CommitIndex > 0 {
			return fmt.Errorf("group %s already exists: %s is a member of it; start without format to join", cfg.Group, m.Name)
		}
	}
	id := disk.Identity{ID: replica.MemberID(cfg.Name, replica.FoundingIncarnation), Group: cfg.Group}
	for _, m := range cfg.Peers {
		m.ID = replica.MemberID(m.Name, replica.FoundingIncarnation)
		m.Voter = true
		id.Members = append(id.Members, m)
	}
	return disk.Format(cfg.Data, id)
}

// httpService runs an HTTP server under a supervisor.
type httpService struct {
	srv *http.Server
	ln  net.Listener
}

// Serve implements suture.Service.
func (s *httpService) Serve(ctx context.Context) error { return admin.ServeHTTP(ctx, s.srv, s.ln) }

// String names the service in the supervisor's log.
func (s *httpService) String() string { return "http" }
