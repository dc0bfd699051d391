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

// The load and the settings of a fleet. Rates are per VM.
const (
	fleetServingPerVM    = 0.9                    // lasting tasks
	fleetShortRate       = 0.011                  // jobs of short tasks per second
	fleetFillerRate      = 0.005                  // jobs of fillers per second
	fleetAgentHeartbeat  = 500 * time.Millisecond // between two heartbeats of an agent
	fleetVMCPU           = 32_000                 // millicores
	fleetVMMemory        = 128_000                // MB
	fleetImages          = 16                     // images of the lasting tasks; fillers have twice as many of their own
	fleetElection        = 500 * time.Millisecond // election timeout of the quorum
	fleetQuorumHeartbeat = 100 * time.Millisecond // between two heartbeats of the quorum's leader
	fleetLease           = 5 * time.Second        // of a VM
	fleetShortMS         = 1_000                  // mean run time of a task that is not a filler
	fleetFillerMS        = 1_700                  // mean run time of a filler
	fleetSettle          = 2 * time.Second        // between the start of the lasting tasks and the load
	fleetStartTimeout    = 30 * time.Second       // for jobs to start after the load; users would not wait longer
	fleetFaultTimeout    = time.Minute            // for the effects of a fault that are timed; far above an election and a lease
	fleetSyncDelay       = 6 * time.Millisecond   // added to each write of a replica, as the time of a sync
	fleetStoppedShare    = 0.14                   // of the VMs, in the run that stops VMs
	fleetHost            = "desk.example"
	fleetService         = "desk"
)

// FleetConfig configures a run of a leader with a fleet.
type FleetConfig struct {
	VMs, Fronts int           // agents, and the entries that submit jobs
	Replicas    int           // control processes
	Duration    time.Duration // of the load
	SyncDelay   time.Duration // added to each write to a replica's disk
	StopLeader  bool          // stop the leader in the middle of the load
	StopVMShare float64       // share of the VMs whose agents stop then
	Seed        uint64
	Dir         string // existing folder, for the folders of the replicas
}

// FleetResult is the outcome of a run.
type FleetResult struct {
	VMs, Jobs      int
	FirstStarts    []time.Duration // from the submission of a job to its first start at an agent
	NextStepStarts []time.Duration // from the end of a step's last task to the first start of the next step
	AnswerTimes    []time.Duration // from the submission of a job to the answer
	Sessions       int             // sessions opened by agents in the whole run

	// The times from the stop of the leader until the next one led, until an agent started
	// the first run that the next one ordered, and until each VM had a lease from it. They are
	// zero if no leader was stopped.
	LeaderElected, FirstRunStarted, AllLeased time.Duration

	// VMLossDetected is the time from the expiry of the stopped VMs' leases until the leader
	// regarded all of them as lost. It is zero if no VM was stopped.
	VMLossDetected time.Duration
}

// fleetSim runs control processes, simulated agents, and the front clients of entries in one
// process, in real time. They share its CPUs.
type fleetSim struct {
	cfg         FleetConfig
	rng         *rand.Rand
	replicas    []*fleetReplica
	agents      map[rudderfork.VMID]*fleetAgent
	fronts      []*front.Client
	sessions    atomic.Int64
	wg          sync.WaitGroup
	mu          sync.Mutex
	submittedAt map[rudderfork.JobID]time.Time // of jobs that have not started
	stepEndedAt map[queue.StepKey]time.Time    // latest end of a task, by the step that follows it
	result      FleetResult

	// When the leader was stopped, and its term. leaderStoppedAt is reset to zero once a later
	// leader has started a run.
	leaderStoppedAt time.Time
	stoppedTerm     uint64
}

// RunFleet runs a load on a fleet and returns the measured times. It returns an error if the
// effects of a fault, such as the change of leader, are not over within fleetFaultTimeout.
func RunFleet(ctx context.Context, cfg FleetConfig) (f FleetResult, err error) {
	defer errs.Annotate(&err, "fleet of %d VMs", cfg.VMs)
	ctx, cancel := context.WithCancel(ctx)
	s := &fleetSim{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), agents: map[rudderfork.VMID]*fleetAgent{},
		submittedAt: map[rudderfork.JobID]time.Time{}, stepEndedAt: map[queue.StepKey]time.Time{},
	}
	defer s.wg.Wait()
	defer cancel()
	if err := s.startReplicas(ctx); err != nil {
		return f, err
	}
	s.startNodes(ctx)
	if err := s.prepare(ctx); err != nil {
		return f, err
	}
	faults := make(chan error, 1)
	s.wg.Go(func() {
		steady.Pause(ctx, cfg.Duration/2)
		faults <- s.injectFaults(ctx)
	})
	s.generateLoad(ctx)
	if err := <-faults; err != nil {
		return f, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.VMs, s.result.Sessions = cfg.VMs, int(s.sessions.Load())
	return s.result, ctx.Err()
}

// startNodes starts the agents and the fronts.
func (s *fleetSim) startNodes(ctx context.Context) {
	for i := range s.cfg.VMs {
		a := newFleetAgent(s, i)
		s.agents[a.vm.ID] = a
		agentCtx, stop := context.WithCancel(ctx)
		a.stop = stop
		s.wg.Go(func() { _ = a.session.Serve(agentCtx) })
		s.wg.Go(func() { a.run(agentCtx) })
	}
	for i := range s.cfg.Fronts {
		f := front.New(fmt.Sprintf("front%d", i), s.seedAddrs, zerolog.Nop())
		s.fronts = append(s.fronts, f)
		s.wg.Go(func() { _ = f.Serve(ctx) })
	}
}

// prepare sends the document, waits until all VMs have a lease and submits the lasting tasks.
func (s *fleetSim) prepare(ctx context.Context) error {
	put := &queue.Document{Version: 1, Pools: []queue.Pool{{Service: fleetService}}}
	for _, name := range []string{"short", "fill", "feed"} {
		put.Queues = append(put.Queues, queue.Queue{
			Name: name, Host: fleetHost, Prefix: "/" + name + "/", Service: fleetService, MaxAttempts: 4, Stretch: 1.5, LatencyMS: 250,
		})
	}
	put.Queues[1].Priority = 2
	// Stale means that an earlier attempt, whose response was lost, has put the document.
	if ans := s.fronts[0].Do(ctx, wire.QueueRequest{Put: put}, time.Minute); ans.Code != queue.OK && ans.Code != queue.Stale {
		return fmt.Errorf("document: %+v", ans)
	}
	s.awaitLeases(ctx, 0)
	const feedTasks = 24
	for i := range int(fleetServingPerVM * float64(s.cfg.VMs) / feedTasks) {
		s.submit(ctx, "feed", queue.Step{
			Count: feedTasks, Lasting: true, Size: rudderfork.Resources{CPUMilli: 6_400, MemoryMB: 4_000}, TailMS: 20, Image: fmt.Sprintf("s%d", i%fleetImages),
		})
	}
	steady.Pause(ctx, fleetSettle)
	return ctx.Err()
}

// awaitLeases waits until each VM has a lease from a leader of a term above the given one.
func (s *fleetSim) awaitLeases(ctx context.Context, term uint64) {
	for _, a := range s.agents {
		for ctx.Err() == nil && a.leaseTerm.Load() <= term {
			steady.Pause(ctx, time.Millisecond)
		}
	}
}

// generateLoad submits jobs for the duration of the load, and waits until they have started.
func (s *fleetSim) generateLoad(ctx context.Context) {
	end := steady.Now().Add(s.cfg.Duration)
	vms := float64(s.cfg.VMs)
	short := queue.Step{Count: 13, Size: rudderfork.Resources{CPUMilli: 1_400, MemoryMB: 500}, ExpectedMS: fleetShortMS}
	fill := queue.Step{Count: 40, Size: rudderfork.Resources{CPUMilli: 3_500, MemoryMB: 1_000}, ExpectedMS: fleetFillerMS, Filler: true, Checkpoints: true}
	shortAt, fillAt := steady.Now(), steady.Now()
	for ctx.Err() == nil {
		if shortAt.Before(fillAt) {
			if !s.submitAt(ctx, "short", shortAt, end, short) {
				break
			}
			shortAt = shortAt.Add(exponential(s.rng, fleetShortRate*vms))
			continue
		}
		fill.Image = fmt.Sprintf("f%d", s.rng.IntN(2*fleetImages))
		if !s.submitAt(ctx, "fill", fillAt, end, fill) {
			break
		}
		fillAt = fillAt.Add(exponential(s.rng, fleetFillerRate*vms))
	}
	s.awaitStarts(ctx)
}

// awaitStarts waits until every job has started, for fleetStartTimeout at most.
func (s *fleetSim) awaitStarts(ctx context.Context) {
	limit := steady.Now().Add(fleetStartTimeout)
	for ctx.Err() == nil && steady.Now().Before(limit) {
		s.mu.Lock()
		left := len(s.submittedAt)
		s.mu.Unlock()
		if left == 0 {
			return
		}
		steady.Pause(ctx, 10*time.Millisecond)
	}
}

// submitAt waits until at and submits a job of two steps. It returns false without doing so
// if at is after end.
func (s *fleetSim) submitAt(ctx context.Context, queueName string, at, end time.Time, st queue.Step) bool {
	if at.After(end) {
		return false
	}
	steady.Pause(ctx, max(0, at.Sub(steady.Now())))
	second := st
	second.DependsOn = []int{0}
	s.submit(ctx, queueName, st, second)
	return true
}

// injectFaults stops the leader and VMs, as configured, and waits until the effects are recorded.
// It returns an error if that takes longer than fleetFaultTimeout.
func (s *fleetSim) injectFaults(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetFaultTimeout)
	defer cancel()
	if s.cfg.StopLeader {
		if err := s.stopLeader(ctx); err != nil {
			return err
		}
	}
	if s.cfg.StopVMShare > 0 {
		return s.stopVMs(ctx)
	}
	return nil
}

// stopLeader stops the leading control process and records how long the next one takes to
// take over. It returns an error if ctx ends before that.
func (s *fleetSim) stopLeader(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "change of leader")
	old := s.waitForLeader(ctx, 0)
	if old == nil {
		return ctx.Err()
	}
	term := old.rep.Status().Term
	stoppedAt := steady.Now()
	s.mu.Lock()
	s.leaderStoppedAt, s.stoppedTerm = stoppedAt, term
	s.mu.Unlock()
	old.stop()
	s.waitForLeader(ctx, term)
	elected := steady.Now().Sub(stoppedAt)
	s.awaitLeases(ctx, term)
	if err := ctx.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.LeaderElected, s.result.AllLeased = elected, steady.Now().Sub(stoppedAt)
	return nil
}

// stopVMs stops the agents of a share of the VMs and records when the leader regards all of
// them as lost. It returns an error if ctx ends before that.
func (s *fleetSim) stopVMs(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "loss of VMs")
	stopped := map[rudderfork.VMID]bool{}
	for i := range int(s.cfg.StopVMShare * float64(s.cfg.VMs)) {
		id := vmName(i)
		s.agents[id].stop()
		stopped[id] = true
	}
	leaseEnd := steady.Now().Add(fleetLease)
	leader := s.waitForLeader(ctx, 0)
	if leader == nil {
		return ctx.Err()
	}
	for live := len(stopped); live > 0 && ctx.Err() == nil; {
		steady.Pause(ctx, time.Millisecond)
		live = 0
		leader.rep.View(func(st *state.State) {
			for id := range stopped {
				if st.Queues().VM(id).Live {
					live++
				}
			}
		})
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.VMLossDetected = steady.Now().Sub(leaseEnd)
	return nil
}

func vmName(i int) rudderfork.VMID { return rudderfork.VMID(fmt.Sprintf("vm%04d", i)) }

// submit submits a job through a random front. The job is submitted again while no leader can be
// reached, for fleetStartTimeout at most, as clients do after an answer that asks them to retry.
func (s *fleetSim) submit(ctx context.Context, queueName string, steps ...queue.Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Jobs++
	id := rudderfork.JobID(fmt.Sprintf("%s%05d", queueName, s.result.Jobs))
	began := steady.Now()
	s.submittedAt[id] = began
	f := s.fronts[s.rng.IntN(len(s.fronts))]
	s.wg.Go(func() {
		f.Do(ctx, wire.QueueRequest{Submit: &queue.Submit{Host: fleetHost, Path: "/" + queueName + "/" + string(id), Spec: queue.Spec{Steps: steps}}}, fleetStartTimeout)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.result.AnswerTimes = append(s.result.AnswerTimes, steady.Now().Sub(began))
	})
}

// runStarted records that an agent started a run which the leader of a term ordered.
func (s *fleetSim) runStarted(k queue.TaskKey, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := steady.Now()
	if !s.leaderStoppedAt.IsZero() && term > s.stoppedTerm {
		s.result.FirstRunStarted = now.Sub(s.leaderStoppedAt)
		s.leaderStoppedAt = time.Time{}
	}
	if at, ok := s.submittedAt[k.Job]; ok {
		delete(s.submittedAt, k.Job)
		s.result.FirstStarts = append(s.result.FirstStarts, now.Sub(at))
	}
	if at, ok := s.stepEndedAt[k.StepKey()]; ok {
		delete(s.stepEndedAt, k.StepKey())
		s.result.NextStepStarts = append(s.result.NextStepStarts, now.Sub(at))
	}
}

// runDone records that a run has ended at an agent.
func (s *fleetSim) runDone(k queue.TaskKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k.Step == 0 {
		next := k.StepKey()
		next.Step++
		s.stepEndedAt[next] = steady.Now()
	}
}
