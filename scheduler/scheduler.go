// Package scheduler is the leader's I/O layer for the queues. It connects the replicated
// state (package queue, committed by package replica), the planner (package dispatch, which
// does no I/O) and the nodes: fronts, which submit jobs, and the agents of VMs, which run
// their tasks.
//
// Every control process has a Scheduler; only the leader's does anything. In each term it
// begins with an empty fleet. The fleet holds what the leader knows of VMs and runs in
// addition to the replicated state: heartbeats, the progress of runs, failure scores and
// advisers' tickets.
//
// Sessions: a node opens one connection to the leader; other control processes redirect
// it. A front sends requests (requests.go). An agent sends heartbeats (vm.go): they register
// its VM where that is needed, and the leader answers each with a lease grant. An agent
// also reports the ends of runs, which are committed and then acknowledged. A session
// sends its agent orders: the difference between the runs that are committed for the VM
// and what it has sent before. Its first orders are the full list.
//
// Rounds: every 100 ms, or sooner after a change, the leader expires the leases of silent
// VMs, makes a plan, commits the starts in it, and wakes the sessions that have new orders.
// Stops are not committed: every plan computes all of them anew, and stopping a run twice does
// nothing. The end of a run is committed once the agent reports it.
//
// The acceptance of a job, the acknowledgement of ended runs and the order to start a run are sent
// only after a quorum has committed what they say. Fronts' and operators' reads pass a barrier
// first, so that they see all that was committed before the call.
//
// Locks: replica.View takes the replica's lock, so mu is taken inside it, never around it.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/internal/wakeup"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
)

const (
	// roundPause is how long the scheduler waits for a change before it starts the next round
	// anyway: leases expire, and stalled runs are found, without an event that starts a round.
	roundPause = 100 * time.Millisecond
	// commandTimeout bounds the commit of one command. A leader that cannot commit for that
	// long has most likely lost its quorum.
	commandTimeout = 3 * time.Second
)

// Settings configures a Scheduler.
type Settings struct {
	// Lease is how long a VM may go on running tasks without contact to the leader.
	Lease time.Duration
	// StartWindow is how long after its last contact to the leader a VM may start the runs
	// that it was ordered to; 0 means as long as the lease. After an evacuation is
	// acknowledged, a VM that cannot be reached may start runs for at most that long.
	StartWindow time.Duration
	// StatusRetention is how long the status of a finished job is kept.
	StatusRetention time.Duration
	// HasDomain reports whether the current settings name a failure domain. It may be nil
	// if they name none.
	HasDomain func(rudderfork.Domain) bool
	// Policies are the optional policies in force.
	Policies Policies
}

// Scheduler runs on every control process. It serves nodes and plans only while its process
// leads.
type Scheduler struct {
	cfg Settings
	rep *replica.Replica
	log zerolog.Logger
	rec rudderfork.Recorder
	met *metrics

	adviser rudderfork.Adviser

	roundDue wakeup.Signal // starts the next round without waiting for roundPause

	mu             sync.Mutex
	term           uint64 // term in which sessions are accepted; 0 while not leading
	fleet          *fleet
	sessions       map[*session]bool
	sessionsOpened uint64 // number of sessions opened so far, and so the number of the newest

	handover  handover
	admission *admission // nil if no job is refused; guarded by mu

	losses  sync.WaitGroup        // commits of VM losses that are in progress
	overdue map[queue.RunKey]bool // runs logged as overdue; only rounds use it
}

// New returns a scheduler that commits through rep. If adviser is nil, tasks of queues that
// need an adviser's ticket are not started.
func New(cfg Settings, rep *replica.Replica, adviser rudderfork.Adviser, log zerolog.Logger, rec rudderfork.Recorder) *Scheduler {
	return &Scheduler{
		cfg: cfg, rep: rep, adviser: adviser, log: log, rec: rec, met: newMetrics(),
		roundDue: wakeup.New(), fleet: newFleet(), sessions: map[*session]bool{}, admission: newAdmission(cfg.Policies),
	}
}

// String names the service in the supervisor's log.
func (s *Scheduler) String() string { return "scheduler" }

// Serve implements suture.Service.
func (s *Scheduler) Serve(ctx context.Context) error {
	defer s.losses.Wait()
	defer s.handover.commits.Wait()
	for ctx.Err() == nil {
		changed := s.rep.Changed()
		s.observeLearned()
		if s.rep.Leads() {
			steady.Pause(ctx, s.round(ctx).pause())
		} else {
			s.endTerm()
		}
		wait := time.NewTimer(roundPause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.roundDue:
		case <-wait.C:
		}
		wait.Stop()
	}
	s.endTerm()
	return ctx.Err()
}

// round expires leases, makes a plan, commits its starts, keeps what was learned and wakes sessions.
func (s *Scheduler) round(ctx context.Context) (t roundTimes) {
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if term := s.rep.Status().Term; term != s.currentTerm() {
		if s.rep.Barrier(bounded) != nil {
			return t // this process no longer leads
		}
		s.startTerm(term)
	}
	t.expire = timed(func() { s.expireLeases(ctx) })
	s.planAndStart(bounded, &t)
	s.keepLearned(ctx)
	t.wake = timed(s.wakeSessions)
	s.observeRound(t)
	return t
}

func (s *Scheduler) currentTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

// startTerm makes the scheduler accept sessions in a term. Any live VM may hold a lease that
// an earlier leader granted up to this moment, so each is assumed to hold a full one.
func (s *Scheduler) startTerm(term uint64) {
	s.observeLearned()
	now := steady.Now()
	var vms []rudderfork.VMID
	s.rep.View(func(st *state.State) {
		for _, vm := range st.Queues().VMs() {
			vms = append(vms, vm.ID)
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeSessions()
	s.term = term
	s.fleet = newFleet()
	s.fleet.shares = newShares(s.cfg.Policies)
	s.fleet.speeds = newSpeeds(s.cfg.Policies)
	s.fleet.lastRelocation.At = rudderfork.Millis(now) // the previous leader may have just relocated a task
	for _, vm := range vms {
		s.fleet.vm(vm).lease.AssumeLease(now.Add(s.cfg.Lease))
	}
	s.assumeLearned(now)
	s.log.Info().Uint64("term", term).Int("vms", len(vms)).Msg("queues_leading")
}

// endTerm makes the scheduler accept no sessions until the next term, and closes the open ones.
func (s *Scheduler) endTerm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == 0 {
		return
	}
	s.log.Info().Uint64("term", s.term).Msg("queues_not_leading")
	s.term = 0
	s.closeSessions()
}

// closeSessions ends all sessions. The caller holds mu.
func (s *Scheduler) closeSessions() {
	for ses := range s.sessions {
		ses.cancel()
	}
}

// wakeSessions wakes the sessions that may have new orders for their VMs. Waking all of them
// after each round would compute the orders of every VM for a change of one.
func (s *Scheduler) wakeSessions() {
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for ses := range s.sessions {
			if ses.mayHaveOrders(st.Queues()) {
				ses.ordersDue.Set()
			}
		}
	})
}

// do commits a command and returns its result once it is applied.
func (s *Scheduler) do(ctx context.Context, cmd queue.Command) (queue.Result, error) {
	began := steady.Now()
	res, err := s.rep.Do(ctx, state.Command{Queue: &cmd})
	s.met.commit.Observe(steady.Now().Sub(began).Seconds())
	return res.Queue, err
}

// expireLeases proposes the losses of VMs whose lease has certainly expired. The commits run
// concurrently, so that they share disk syncs, and the round does not wait for them, so that
// other tasks start meanwhile.
func (s *Scheduler) expireLeases(ctx context.Context) {
	for _, l := range s.expiredLeases() {
		s.losses.Go(func() { s.commitLoss(ctx, l) })
	}
}

// loss is the loss of a VM that is being committed, and the leader's entry of that VM.
type loss struct {
	queue.VMLoss
	info *vmInfo
}

// commitLoss commits the loss of a VM and logs its result.
func (s *Scheduler) commitLoss(ctx context.Context, l loss) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	res, err := s.do(ctx, queue.Command{Lost: &l.VMLoss})
	s.mu.Lock()
	l.info.lossPending = false
	s.mu.Unlock()
	if err != nil {
		s.log.Warn().Str("lost_vm", string(l.VM)).Err(err).Msg("vm_lost_not_committed")
		return
	}
	if res.Code == queue.OK {
		s.met.lost.Inc()
	}
	s.logLostRuns(l.VM, incarnationExpired, res)
	s.log.Warn().Str("lost_vm", string(l.VM)).Str("life", l.Incarnation).Str("result", string(res.Code)).Msg("vm_lost")
	s.record("vm_lost", string(l.VM), "its lease ran out and it did not come back")
}

// expiredLeases returns the losses of VMs whose lease has expired, except those whose commit is in
// progress. It checks at most once in roundPause.
func (s *Scheduler) expiredLeases() (list []loss) {
	now := steady.Now()
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !due(&s.fleet.expiryCheckAt, roundPause, now) {
			return
		}
		for _, vm := range st.Queues().VMs() {
			v := s.fleet.vm(vm.ID)
			if !vm.Live || v.lossPending || !v.lease.TryExpire(now, s.cfg.Lease) {
				continue
			}
			v.lossPending = true
			s.fleet.recordLoss(vm, now)
			list = append(list, loss{queue.VMLoss{VM: vm.ID, Incarnation: vm.Incarnation, Epoch: vm.Epoch, Checkpoints: v.checkpoints(), Crash: v.heartbeat.Crash}, v})
		}
	})
	return list
}

// planAndStart makes a plan, sends its advice requests and commits its starts.
func (s *Scheduler) planAndStart(ctx context.Context, t *roundTimes) {
	began := steady.Now()
	var plan dispatch.Plan
	var begun []rudderfork.JobID
	forecasts := 0
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		view := s.fleet.view(st.Queues(), began)
		view.Relocate = s.fleet.relocateDue(began)
		view.Summarize = s.fleet.summaryDue(began)
		view.SummarizeBacklog = s.admission.summaryDue(began)
		plan = s.fleet.planner.Plan(st.Queues(), view)
		s.admission.observe(s.term, plan.Backlog, st.Queues(), began)
		s.fleet.setStops(plan.Stops, began)
		s.fleet.shortDemand.Observe(plan.ShortTasks, view.Now)
		s.fleet.shares.Observe(view.Now, plan.Demands)
		s.fleet.lastOfStep = plan.LastOfStep
		begun = s.fleet.newlyBegun(st.Queues())
		if plan.Summary != nil {
			forecasts = s.fleet.countForecasts()
		}
	})
	t.plan = steady.Now().Sub(began)
	s.met.plan.Observe(t.plan.Seconds())
	if plan.Summary != nil {
		s.logSummary(plan.Summary, forecasts)
		s.logShares()
		s.logOverdue()
	}
	s.logStops(plan.Stops)
	s.requestAdvice(plan.AdviceRequests)
	if len(plan.Starts) == 0 {
		return
	}
	cmd := queue.Command{Starts: make([]queue.Start, len(plan.Starts)), Begun: begun}
	for i, start := range plan.Starts {
		cmd.Starts[i] = start.Start
	}
	t.starts = len(plan.Starts)
	var res queue.Result
	var err error
	t.commit = timed(func() { res, err = s.do(ctx, cmd) })
	if err != nil {
		s.log.Warn().Int("starts", len(cmd.Starts)).Err(err).Msg("starts_not_committed")
		return
	}
	s.logStarts(plan.Starts, res.Numbers)
}

func (s *Scheduler) logSummary(sum *dispatch.FleetSummary, forecasts int) {
	s.log.Info().Int("vms", sum.VMs).Int("serving", sum.Serving).Int("serving_images", sum.ServingImages).
		Int("fillers", sum.Fillers).Int("waiting_fillers", sum.WaitingFillers).Int("waiting_others", sum.WaitingOthers).
		Float64("filler_cores", sum.FillerCores).Float64("paced_cores", sum.PacedCores).
		Float64("idle_cores", sum.IdleCores).Float64("open_cores", sum.TolerableCores).Int("forecasts", forecasts).Msg("fleet_account")
}

const msPerSecond = 1_000

// logStarts logs the starts of a plan with the numbers of their runs. A start with number 0 was
// not made, because the state had changed between plan and commit.
func (s *Scheduler) logStarts(starts []dispatch.Start, numbers []uint32) {
	for i, start := range starts {
		if numbers[i] == 0 {
			s.log.Info().Str("task", start.Task.String()).Str("to", string(start.VM)).Msg("start_outdated")
			continue
		}
		s.met.starts.Inc()
		if start.Copy {
			s.met.copies.Inc()
		}
		s.log.Info().Str("task", start.Task.String()).Uint32("run", numbers[i]).Str("to", string(start.VM)).
			Str("reason", start.Reason).Int64("waited_ms", start.WaitedMS).Msg("task_placed")
		if start.WaitedMS >= 0 {
			s.met.startWait.WithLabelValues(string(start.Kind)).Observe(float64(start.WaitedMS) / msPerSecond)
		}
		s.record("task_placed", start.Task.String(), "on "+string(start.VM)+": "+start.Reason)
	}
}

// logStops logs the stops that earlier plans did not have.
func (s *Scheduler) logStops(stops []dispatch.Stop) {
	for _, stop := range stops {
		s.mu.Lock()
		isNew := s.fleet.markStopLogged(stop)
		s.mu.Unlock()
		if !isNew {
			continue
		}
		s.met.stops.Inc()
		s.log.Info().Str("task", stop.Task.String()).Uint32("run", stop.Run).Str("on", string(stop.VM)).
			Str("reason", stop.Reason).Msg("task_stopping")
		s.record("task_stopping", stop.Task.String(), stop.Reason)
	}
}

// record adds an event to the process's timeline.
func (s *Scheduler) record(kind, subject, text string) {
	s.rec.Record(rudderfork.Event{Kind: kind, Subject: subject, Text: text})
}
