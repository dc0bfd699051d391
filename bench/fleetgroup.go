package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/scheduler"
)

// fleetReplica is one control process.
type fleetReplica struct {
	rep   *replica.Replica
	peers *replica.Peers
	sched *scheduler.Scheduler
	srv   *http.Server
	ln    net.Listener
	self  quorum.Member
	stop  context.CancelFunc
}

// slowStore is a store whose writes take longer.
type slowStore struct {
	replica.Store
	sync time.Duration
}

// Save implements replica.Store.
func (s slowStore) Save(rd quorum.Ready) error {
	time.Sleep(s.sync)
	return s.Store.Save(rd)
}

// fleetRecorder takes no notes.
type fleetRecorder struct{}

// Record implements rudderfork.Recorder.
func (fleetRecorder) Record(rudderfork.Event) {}

func (p *fleetPlay) startGroup(ctx context.Context) error {
	var members []quorum.Member
	for i := range p.cfg.Replicas {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		name := fmt.Sprintf("r%d", i)
		self := quorum.Member{ID: replica.MemberID(name, replica.FoundingIncarnation), Name: name, Addr: ln.Addr().String(), Voter: true}
		members = append(members, self)
		p.group = append(p.group, &fleetReplica{ln: ln, self: self})
	}
	for _, r := range p.group {
		if err := p.startReplica(ctx, r, members); err != nil {
			return err
		}
	}
	return nil
}

func (p *fleetPlay) startReplica(ctx context.Context, r *fleetReplica, members []quorum.Member) error {
	ctx, r.stop = context.WithCancel(ctx)
	dir := filepath.Join(p.cfg.Dir, r.self.Name)
	if err := disk.Format(dir, disk.Identity{ID: r.self.ID, Members: members}); err != nil {
		return err
	}
	store, err := disk.Open(dir)
	if err != nil {
		return err
	}
	log := zerolog.Nop()
	r.peers = replica.NewPeers(r.self, nil, nil, fleetElection, log)
	r.rep, err = replica.New(replica.Config{
		ElectionTimeout: fleetElection, Heartbeat: fleetHeartbeat, SnapshotEvery: 10_000, Seed: replica.Seed(r.self.Name),
	}, slowStore{store, p.cfg.Sync}, r.peers, log, fleetRecorder{}, steady.Now)
	if err != nil {
		return err
	}
	r.sched = scheduler.New(scheduler.Settings{Lease: fleetLease, StatusRetention: time.Minute}, r.rep, nil, log, fleetRecorder{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", r.peers.Accept(r.rep))
	mux.HandleFunc("GET /queues", r.sched.Accept)
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	p.wg.Go(func() { _ = r.srv.Serve(r.ln) })
	p.wg.Go(func() { <-ctx.Done(); _ = r.srv.Close() })
	for _, s := range []suture.Service{r.rep, r.peers, r.sched} {
		p.wg.Go(func() { _ = s.Serve(ctx) })
	}
	return nil
}

func (p *fleetPlay) seeds() (addrs []string) {
	for _, r := range p.group {
		addrs = append(addrs, r.self.Addr)
	}
	return addrs
}

// leader waits for the control process that leads in a term above the one given; nil if
// ctx ends.
func (p *fleetPlay) leader(ctx context.Context, term uint64) *fleetReplica {
	for ctx.Err() == nil {
		for _, r := range p.group {
			if st := r.rep.Status(); st.Leads() && st.Term > term {
				return r
			}
		}
		steady.Pause(ctx, time.Millisecond)
	}
	return nil
}
