package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/front"
	"rudderfork.example/rudderfork/internal/errs"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
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
	p.wg.Go(func() {
		steady.Pause(ctx, cfg.Span/2)
		if cfg.LoseLeader {
			p.loseLeader(ctx)
		}
		if cfg.LoseVMs > 0 {
			p.loseVMs(ctx)
		}
	})
	p.load(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.figures.VMs, p.figures.Opened = cfg.VMs, int(p.opened.Load())
	return p.figures, ctx.Err()
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
	if ans := p.fronts[0].Do(ctx, wire.QueueRequest{Put: put}, time.Minute); ans.Code != queue.OK {
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
		f.Do(ctx, wire.QueueRequest{Submit: &queue.Submit{Host: fleetHost, Path: "/" + queueName + "/" + string(id), Spec: queue.Spec{Steps: steps}}}, 3*time.Second)
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
