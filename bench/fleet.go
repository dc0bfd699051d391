package bench

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/front"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/internal/wakeup"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/scheduler"
	"rudderfork.example/rudderfork/session"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// The load on a fleet, for each VM.
const (
	fleetServingVM = 0.9   // lasting tasks
	fleetShortS    = 0.011 // jobs of short tasks a second
	fleetFillS     = 0.005 // jobs of fillers a second
	fleetBeat      = 500 * time.Millisecond
	fleetVMCPU     = 32_000
	fleetVMMemory  = 128_000
	fleetImages    = 16
	fleetElection  = 500 * time.Millisecond
	fleetHeartbeat = 100 * time.Millisecond
	fleetLease     = 5 * time.Second
	fleetShortMS   = 1_000 // work of a task
	fleetFillMS    = 1_700
	fleetSettle    = 2 * time.Second // before the load
	fleetPatience  = 30 * time.Second
	fleetSync      = 6 * time.Millisecond
	fleetLost      = 0.14 // of the VMs
	fleetHost      = "desk.example"
	fleetService   = "desk"
)

// FleetConfig sets up a play of a leader with a fleet.
type FleetConfig struct {
	VMs, Fronts int
	Replicas    int
	Span        time.Duration // of the load
	Sync        time.Duration // that a write to a replica's disk takes beside its own time
	LoseLeader  bool          // in the middle of the load
	LoseVMs     float64       // share of the VMs that fall silent then
	Seed        uint64
	Dir         string // for the replicas' folders; it must exist
}

// FleetFigures are what a play shows.
type FleetFigures struct {
	VMs, Jobs  int
	FirstStart []time.Duration // from handing a job in to its first start at an agent
	NextStart  []time.Duration // from the end of a step's last task to the next step's first start
	Answers    []time.Duration // of submissions
	Opened     int             // sessions of agents, in all

	// Of the loss of a leader: until the next one led, until the first start of a run by
	// it, and until each VM had a lease of it; zero without a loss.
	Led, Started, Whole time.Duration

	// Lost is how long after the end of their leases the VMs that fell silent were all
	// known as lost; zero without any.
	Lost time.Duration
}

// fleetPlay is a group of control processes, agents and fronts in one process. All of them
// share its processors.
type fleetPlay struct {
	cfg     FleetConfig
	rng     *rand.Rand
	group   []*fleetReplica
	agents  map[rudderfork.VMID]*fleetAgent
	fronts  []*front.Client
	opened  atomic.Int64
	wg      sync.WaitGroup
	mu      sync.Mutex
	submits map[rudderfork.JobID]time.Time // of jobs without a start
	ended   map[queue.StepKey]time.Time    // newest end of a task, by the step that it makes way for
	figures FleetFigures

	// Of the leader that was lost, until a later one has started a run.
	lostAt   time.Time
	lostTerm uint64
}

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

// PlayFleet plays a load on a fleet and returns what it shows.
func PlayFleet(ctx context.Context, cfg FleetConfig) (f FleetFigures, err error) {
	defer errs.Annotate(&err, "fleet of %d VMs", cfg.VMs)
	ctx, cancel := context.WithCancel(ctx)
	p := &fleetPlay{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), agents: map[rudderfork.VMID]*fleetAgent{},
		submits: map[rudderfork.JobID]time.Time{}, ended: map[queue.StepKey]time.Time{},
	}
	defer p.wg.Wait()
	defer cancel()
	if err := p.startGroup(ctx); err != nil {
		return f, err
	}
	p.startNodes(ctx)
	if err := p.prepare(ctx); err != nil {
		return f, err
	}
	if cfg.LoseLeader {
		p.wg.Go(func() {
			steady.Pause(ctx, cfg.Span/2)
			p.loseLeader(ctx)
		})
	}
	if cfg.LoseVMs > 0 {
		p.wg.Go(func() {
			steady.Pause(ctx, cfg.Span/2)
			p.loseVMs(ctx)
		})
	}
	p.load(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figures.VMs, p.figures.Opened = cfg.VMs, int(p.opened.Load())
	return p.figures, ctx.Err()
}

func (p *fleetPlay) startGroup(ctx context.Context) error {
	var members []quorum.Member
	for i := range p.cfg.Replicas {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		name := fmt.Sprintf("r%d", i)
		self := quorum.Member{ID: replica.MemberID(name, replica.Founding), Name: name, Addr: ln.Addr().String(), Voter: true}
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
	r.sched = scheduler.New(scheduler.Settings{Lease: fleetLease, KeepStatus: time.Minute}, r.rep, nil, log, fleetRecorder{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer", r.peers.Accept(r.rep))
	mux.HandleFunc("GET /queues", r.sched.Accept)
	r.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	p.wg.Go(func() { _ = r.srv.Serve(r.ln) })
	p.wg.Go(func() { <-ctx.Done(); _ = r.srv.Close() })
	for _, s := range []interface {
		Serve(ctx context.Context) error
	}{r.rep, r.peers, r.sched} {
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

func (p *fleetPlay) startNodes(ctx context.Context) {
	for i := range p.cfg.VMs {
		a := newFleetAgent(p, i)
		p.agents[a.vm.ID] = a
		agentCtx, stop := context.WithCancel(ctx)
		a.stop = stop
		p.wg.Go(func() { _ = a.session.Serve(agentCtx) })
		p.wg.Go(func() { a.run(agentCtx) })
	}
	for i := range p.cfg.Fronts {
		f := front.New(fmt.Sprintf("front%d", i), p.seeds, zerolog.Nop())
		p.fronts = append(p.fronts, f)
		p.wg.Go(func() { _ = f.Serve(ctx) })
	}
}

// prepare takes a document, waits until all VMs are leased and starts the lasting tasks.
func (p *fleetPlay) prepare(ctx context.Context) error {
	put := &queue.Document{Version: 1, Pools: []queue.Pool{{Service: fleetService}}}
	for _, name := range []string{"short", "fill", "feed"} {
		put.Queues = append(put.Queues, queue.Queue{
			Name: name, Host: fleetHost, Prefix: "/" + name + "/", Service: fleetService, MaxAttempts: 4, Stretch: 1.5, LatencyMS: 250,
		})
	}
	put.Queues[1].Priority = 2
	if ans := p.fronts[0].Ask(ctx, wire.Ask{Put: put}, time.Minute); ans.Code != queue.OK {
		return fmt.Errorf("document: %+v", ans)
	}
	p.awaitLeases(ctx, 0)
	const feedTasks = 24
	for i := range int(fleetServingVM * float64(p.cfg.VMs) / feedTasks) {
		p.submit(ctx, "feed", queue.Step{
			Count: feedTasks, Lasting: true, Size: rudderfork.Resources{CPUMilli: 6_400, MemoryMB: 4_000}, TailMS: 20, Image: fmt.Sprintf("s%d", i%fleetImages),
		})
	}
	steady.Pause(ctx, fleetSettle)
	return ctx.Err()
}

// awaitLeases waits until each VM has a lease of a term above the one given.
func (p *fleetPlay) awaitLeases(ctx context.Context, term uint64) {
	for _, a := range p.agents {
		for ctx.Err() == nil && a.leasedIn.Load() <= term {
			steady.Pause(ctx, time.Millisecond)
		}
	}
}

// load hands jobs in over the span.
func (p *fleetPlay) load(ctx context.Context) {
	end := steady.Now().Add(p.cfg.Span)
	vms := float64(p.cfg.VMs)
	short := queue.Step{Count: 13, Size: rudderfork.Resources{CPUMilli: 1_400, MemoryMB: 500}, ExpectedMS: fleetShortMS}
	fill := queue.Step{Count: 40, Size: rudderfork.Resources{CPUMilli: 3_500, MemoryMB: 1_000}, ExpectedMS: fleetFillMS, Filler: true, Checkpoints: true}
	shortAt, fillAt := steady.Now(), steady.Now()
	for ctx.Err() == nil {
		if shortAt.Before(fillAt) {
			if !p.submitAt(ctx, "short", shortAt, end, short) {
				break
			}
			shortAt = shortAt.Add(exponential(p.rng, fleetShortS*vms))
			continue
		}
		fill.Image = fmt.Sprintf("f%d", p.rng.IntN(2*fleetImages))
		if !p.submitAt(ctx, "fill", fillAt, end, fill) {
			break
		}
		fillAt = fillAt.Add(exponential(p.rng, fleetFillS*vms))
	}
	p.awaitStarts(ctx)
}

// awaitStarts waits until each job has begun, for as long as users would at most.
func (p *fleetPlay) awaitStarts(ctx context.Context) {
	limit := steady.Now().Add(fleetPatience)
	for ctx.Err() == nil && steady.Now().Before(limit) {
		p.mu.Lock()
		left := len(p.submits)
		p.mu.Unlock()
		if left == 0 {
			return
		}
		steady.Pause(ctx, 10*time.Millisecond)
	}
}

// submitAt hands a job of two steps in at a time, unless that is after the end.
func (p *fleetPlay) submitAt(ctx context.Context, queueName string, at, end time.Time, st queue.Step) bool {
	if at.After(end) {
		return false
	}
	steady.Pause(ctx, max(0, at.Sub(steady.Now())))
	second := st
	second.DependsOn = []int{0}
	p.submit(ctx, queueName, st, second)
	return true
}

// loseLeader ends the control process that leads, and notes how the next one takes over.
func (p *fleetPlay) loseLeader(ctx context.Context) {
	old := p.leader(ctx, 0)
	if old == nil {
		return
	}
	term := old.rep.Status().Term
	began := steady.Now()
	p.mu.Lock()
	p.lostAt, p.lostTerm = began, term
	p.mu.Unlock()
	old.stop()
	p.leader(ctx, term)
	led := steady.Now().Sub(began)
	p.awaitLeases(ctx, term)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figures.Led, p.figures.Whole = led, steady.Now().Sub(began)
}

// loseVMs silences a share of the VMs, and notes when all of them are known as lost.
func (p *fleetPlay) loseVMs(ctx context.Context) {
	lost := map[rudderfork.VMID]bool{}
	for i := range int(p.cfg.LoseVMs * float64(p.cfg.VMs)) {
		id := vmName(i)
		p.agents[id].stop()
		lost[id] = true
	}
	over := steady.Now().Add(fleetLease)
	lead := p.leader(ctx, 0)
	if lead == nil {
		return
	}
	for live := len(lost); live > 0 && ctx.Err() == nil; {
		steady.Pause(ctx, time.Millisecond)
		live = 0
		lead.rep.View(func(st *state.State) {
			for id := range lost {
				if st.Queues().VM(id).Live {
					live++
				}
			}
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figures.Lost = steady.Now().Sub(over)
}

func vmName(i int) rudderfork.VMID { return rudderfork.VMID(fmt.Sprintf("vm%04d", i)) }

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

// submit hands a job in by one of the fronts.
func (p *fleetPlay) submit(ctx context.Context, queueName string, steps ...queue.Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figures.Jobs++
	id := rudderfork.JobID(fmt.Sprintf("%s%05d", queueName, p.figures.Jobs))
	began := steady.Now()
	p.submits[id] = began
	f := p.fronts[p.rng.IntN(len(p.fronts))]
	p.wg.Go(func() {
		f.Ask(ctx, wire.Ask{Submit: &queue.Submit{Host: fleetHost, Path: "/" + queueName + "/" + string(id), Spec: queue.Spec{Steps: steps}}}, 3*time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.figures.Answers = append(p.figures.Answers, steady.Now().Sub(began))
	})
}

// began notes a run's start at an agent, by the leader of a term.
func (p *fleetPlay) began(k queue.TaskKey, term uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := steady.Now()
	if !p.lostAt.IsZero() && term > p.lostTerm {
		p.figures.Started = now.Sub(p.lostAt)
		p.lostAt = time.Time{}
	}
	if at, ok := p.submits[k.Job]; ok {
		delete(p.submits, k.Job)
		p.figures.FirstStart = append(p.figures.FirstStart, now.Sub(at))
	}
	if at, ok := p.ended[k.StepKey()]; ok {
		delete(p.ended, k.StepKey())
		p.figures.NextStart = append(p.figures.NextStart, now.Sub(at))
	}
}

// done notes a run's end at an agent.
func (p *fleetPlay) done(k queue.TaskKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k.Step == 0 {
		next := k.StepKey()
		next.Step++
		p.ended[next] = steady.Now()
	}
}

// fleetAgent stands for a VM's agent and its executor.
type fleetAgent struct {
	p       *fleetPlay
	vm      queue.VM
	session *session.Client
	kicked  wakeup.Signal
	stop    context.CancelFunc

	leasedIn atomic.Uint64 // term of the newest lease

	mu     sync.Mutex
	runs   map[rudderfork.RunRef]*fleetRun
	told   map[rudderfork.RunRef]rudderfork.RunRow
	term   uint64 // of the session
	seq    uint64
	unsent map[uint64]queue.Ends
	rng    *rand.Rand
}

// fleetRun is a run at work.
type fleetRun struct {
	key     queue.TaskKey
	lasting bool
	began   time.Time
	ends    time.Time
}

func newFleetAgent(p *fleetPlay, i int) *fleetAgent {
	const rackSize, domains = 20, 5
	id := string(vmName(i))
	a := &fleetAgent{
		p: p, kicked: wakeup.New(), runs: map[rudderfork.RunRef]*fleetRun{}, told: map[rudderfork.RunRef]rudderfork.RunRow{},
		unsent: map[uint64]queue.Ends{}, rng: rand.New(rand.NewPCG(p.cfg.Seed, uint64(i)+100)),
		vm: queue.VM{
			ID: rudderfork.VMID(id), Life: id + "-1", Domain: rudderfork.Domain(fmt.Sprint("d", i%domains)), Rack: fmt.Sprint("rack", i/rackSize),
			Service: fleetService, Capacity: rudderfork.Resources{CPUMilli: fleetVMCPU, MemoryMB: fleetVMMemory}, Labels: []string{"a"},
		},
	}
	a.session = session.New(id, p.seeds, a, zerolog.Nop())
	return a
}

// Opened implements session.Handler.
func (a *fleetAgent) Opened(w wire.QueueWelcome) {
	a.p.opened.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.term = w.Term
	clear(a.told)
	for seq, e := range a.unsent {
		a.session.Send(wire.FromNode{Ends: &wire.EndsReport{Seq: seq, Ends: e}})
	}
	a.beat()
}

// Closed implements session.Handler.
func (a *fleetAgent) Closed() {}

// Handle implements session.Handler.
func (a *fleetAgent) Handle(m wire.ToQueueNode) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case m.Grant != nil:
		if m.Grant.LeaseMS > 0 {
			a.leasedIn.Store(a.term)
		}
	case m.Noted != nil:
		delete(a.unsent, m.Noted.Seq)
	case m.Orders != nil:
		for _, o := range m.Orders.Start {
			a.start(o)
		}
		var ends []queue.End
		for _, ref := range m.Orders.Stop {
			if r := a.runs[ref]; r != nil {
				delete(a.runs, ref)
				ends = append(ends, queue.End{Task: r.key, Run: ref.Run, How: queue.EndStopped})
			}
		}
		a.report(ends)
		a.kicked.Set()
	}
}

func (a *fleetAgent) start(o wire.RunOrder) {
	k, err := queue.ParseTaskKey(string(o.Task))
	if err != nil || a.runs[o.RunRef] != nil {
		return
	}
	work := fleetShortMS
	if o.Filler {
		work = fleetFillMS
	}
	now := steady.Now()
	a.runs[o.RunRef] = &fleetRun{
		key: k, lasting: o.TailMS > 0, began: now,
		ends: now.Add(lognormal(a.rng, time.Duration(work)*time.Millisecond, 0.3)),
	}
	a.p.began(k, a.term)
}

// run lets the executor work and sends heartbeats.
func (a *fleetAgent) run(ctx context.Context) {
	steady.Pause(ctx, time.Duration(a.rng.Int64N(int64(fleetBeat))))
	beatAt := steady.Now()
	for ctx.Err() == nil {
		a.mu.Lock()
		now := steady.Now()
		if !now.Before(beatAt) {
			a.beat()
			beatAt = now.Add(fleetBeat)
		}
		due := a.work(now, beatAt)
		a.mu.Unlock()
		t := time.NewTimer(max(0, due.Sub(now)))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-a.kicked:
		}
		t.Stop()
	}
}

// work ends the runs that are done, and returns when to look again. The caller holds mu.
func (a *fleetAgent) work(now, due time.Time) time.Time {
	var ends []queue.End
	for ref, r := range a.runs {
		switch {
		case r.lasting:
		case r.ends.After(now):
			if r.ends.Before(due) {
				due = r.ends
			}
		default:
			delete(a.runs, ref)
			a.p.done(r.key)
			ends = append(ends, queue.End{Task: r.key, Run: ref.Run, How: queue.EndDone})
		}
	}
	a.report(ends)
	return due
}

// report tells of ends. The caller holds mu.
func (a *fleetAgent) report(list []queue.End) {
	if len(list) == 0 {
		return
	}
	a.seq++
	e := queue.Ends{VM: a.vm.ID, Life: a.vm.Life, List: list}
	a.unsent[a.seq] = e
	a.session.Send(wire.FromNode{Ends: &wire.EndsReport{Seq: a.seq, Ends: e}})
}

// beat sends a heartbeat. The caller holds mu.
func (a *fleetAgent) beat() {
	const fullPercent, usualTailMS = 100, 8
	now := steady.Now()
	b := wire.VMBeat{Sent: now.UnixNano(), VM: a.vm, Measured: true, Worked: map[string]float64{}}
	for ref, r := range a.runs {
		row := rudderfork.RunRow{RunRef: ref, Percent: fullPercent, Load: usualTailMS + a.rng.Int64N(3)}
		if !r.lasting {
			row.Percent = int(fullPercent * now.Sub(r.began) / max(1, r.ends.Sub(r.began)))
		}
		if a.told[ref] != row {
			a.told[ref] = row
			b.Rows = append(b.Rows, row)
		}
	}
	a.session.Send(wire.FromNode{Beat: &b})
}

// fleetSizes are those that Fleet plays.
var fleetSizes = []int{100, 300, 1_000}

// Fleet returns a section that plays a leader with fleets of some sizes, and writes the
// figures to a CSV file too unless its name is empty.
func Fleet(csvFile string) func(w io.Writer) error {
	return func(w io.Writer) (err error) {
		title(w, "a leader with a fleet on loopback, %v a sync; in the middle the leader is lost, in a second play %.0f%% of the VMs (ms)", fleetSync, 100*fleetLost)
		table := [][]string{{"VMs", "jobs", "first p50", "p95", "next p50", "p95", "answer p50", "p95", "led", "started", "whole", "sessions", "lost"}}
		for _, vms := range fleetSizes {
			f, err := playFleetIn(FleetConfig{
				VMs: vms, Fronts: max(1, vms/5), Replicas: 5, Span: 10 * time.Second, Sync: fleetSync, LoseLeader: true, Seed: 1,
			})
			if err != nil {
				return err
			}
			g, err := playFleetIn(FleetConfig{
				VMs: vms, Fronts: max(1, vms/5), Replicas: 5, Span: 16 * time.Second, Sync: fleetSync, LoseVMs: fleetLost, Seed: 1,
			})
			if err != nil {
				return err
			}
			f.Lost = g.Lost
			table = append(table, f.row())
		}
		for _, row := range table {
			for _, cell := range row {
				fmt.Fprintf(w, "%10s", cell)
			}
			fmt.Fprintln(w)
		}
		return writeCSV(csvFile, table)
	}
}

// playFleetIn plays in a folder of its own.
func playFleetIn(cfg FleetConfig) (f FleetFigures, err error) {
	cfg.Dir, err = os.MkdirTemp("", "fleet")
	if err != nil {
		return f, err
	}
	defer os.RemoveAll(cfg.Dir)
	return PlayFleet(context.Background(), cfg)
}

// row returns the figures as cells, times in ms.
func (f *FleetFigures) row() []string {
	cell := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	row := []string{strconv.Itoa(f.VMs), strconv.Itoa(f.Jobs)}
	for _, list := range [][]time.Duration{f.FirstStart, f.NextStart, f.Answers} {
		row = append(row, cell(quantile(list, 0.5)), cell(quantile(list, 0.95)))
	}
	return append(row, cell(f.Led), cell(f.Started), cell(f.Whole), strconv.Itoa(f.Opened), cell(f.Lost))
}

func writeCSV(name string, table [][]string) (err error) {
	if name == "" {
		return nil
	}
	defer errs.Annotate(&err, "write %s", name)
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(csv.NewWriter(file).WriteAll(table), file.Close())
}
