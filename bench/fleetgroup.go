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

// slowStore is a store that delays each write.
type slowStore struct {
	replica.Store
	delay time.Duration
}

// Save implements replica.Store.
func (s slowStore) Save(rd quorum.Ready) error {
	time.Sleep(s.delay)
	return s.Store.Save(rd)
}

// nopRecorder discards all events.
type nopRecorder struct{}

// Record implements rudderfork.Recorder.
func (nopRecorder) Record(rudderfork.Event) {}

// startReplicas starts the control processes.
func (s *fleetSim) startReplicas(ctx context.Context) error {
	var members []quorum.Member
	for i := range s.cfg.Replicas {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		name := fmt.Sprintf("r%d", i)
		self := quorum.Member{ID: replica.MemberID(name, replica.FoundingIncarnation), Name: name, Addr: ln.Addr().String(), Voter: true}
		members = append(members, self)
		s.replicas = append(s.replicas, &fleetReplica{ln: ln, self: self})
	}
	for _, r := range s.replicas {
		if err := s.startReplica(ctx, r, members); err != nil {
			return err
		}
	}
	return nil
}

// startReplica formats the disk of a control process and starts it; stop ends it.
func (s *fleetSim) startReplica(ctx context.Context, r *fleetReplica, members []quorum.Member) error {
	ctx, r.stop = context.WithCancel(ctx)
	dir := filepath.Join(s.cfg.Dir, r.self.Name)
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
		ElectionTimeout: fleetElection, Heartbeat: fleetQuorumHeartbeat, SnapshotEvery: 10_000, Seed: replica.Seed(r.self.Name),
	}, slowStore{store, s.cfg.SyncDelay}, r.peers, log, nopRecorder{}, steady.Now)
	if err != nil {
		return err
	}
	r.sched = scheduler.New(scheduler.Settings{Lease: fleetLease, StatusRetention: time.Minute}, r.rep, nil, log, nopRecorder{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", r.peers.Accept(r.rep))
	mux.HandleFunc("GET /queues", r.sched.Accept)
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s.wg.Go(func() { _ = r.srv.Serve(r.ln) })
	s.wg.Go(func() { <-ctx.Done(); _ = r.srv.Close() })
	for _, svc := range []suture.Service{r.rep, r.peers, r.sched} {
		s.wg.Go(func() { _ = svc.Serve(ctx) })
	}
	return nil
}

// seedAddrs returns the addresses of the control processes.
func (s *fleetSim) seedAddrs() (addrs []string) {
	for _, r := range s.replicas {
		addrs = append(addrs, r.self.Addr)
	}
	return addrs
}

// waitForLeader waits until a control process leads in a term above the given one and
// returns it. It returns nil if ctx ends before that.
func (s *fleetSim) waitForLeader(ctx context.Context, term uint64) *fleetReplica {
	for ctx.Err() == nil {
		for _, r := range s.replicas {
			if st := r.rep.Status(); st.Leads() && st.Term > term {
				return r
			}
		}
		steady.Pause(ctx, time.Millisecond)
	}
	return nil
}
