// Package scheduler is what the leader of the control processes does for the
// queues: it holds the sessions of fronts and of VMs' agents, grants the VMs
// their leases, carries out the plans of package dispatch, and answers fronts.
//
// Nothing is told to anyone before it is committed: a front hears that a job is
// taken, an agent that an end is noted, and a VM what to run, only after the
// quorum holds it. What is read is read at a point that the quorum confirmed.
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
	// roundPause is the longest pause between two rounds: leases run out and
	// stand-stills are seen without any event.
	roundPause = 100 * time.Millisecond
	// commandTimeout bounds one command; a leader that cannot commit for so
	// long has most likely lost its quorum.
	commandTimeout = 3 * time.Second
)

// Settings are those of a scheduler.
type Settings struct {
	// Lease is how long a VM may run on without contact to the leader.
	Lease time.Duration
	// StartWindow is how long after its last contact to the leader a VM may start what it
	// was ordered; 0 means as long as the lease. It bounds how long after an evacuation
	// is acknowledged a VM that does not hear of it may start something.
	StartWindow time.Duration
	// StatusRetention is how long the status of a finished job can be asked for.
	StatusRetention time.Duration
	// HasDomain reports whether the settings of the moment name a failure domain; nil if
	// they name none.
	HasDomain func(rudderfork.Domain) bool
}

// Scheduler is the leader's part for the queues. It runs on every control
// process and does something only on the leader.
type Scheduler struct {
	cfg Settings
	rep *replica.Replica
	log zerolog.Logger
	rec rudderfork.Recorder
	met *metrics

	adviser rudderfork.Adviser

	kicked wakeup.Signal // a round is due at once

	mu       sync.Mutex
	term     uint64 // for which sessions are taken; 0 while not leading
	fleet    *fleet
	sessions map[*session]bool
	opened   uint64 // sessions until now

	losses  sync.WaitGroup        // on their way
	overdue map[queue.RunKey]bool // runs that were logged as such; of the rounds alone
}

// New returns a scheduler over a replica.
// adviser may be nil: then nothing of a queue with an adviser runs.
func New(cfg Settings, rep *replica.Replica, adviser rudderfork.Adviser, log zerolog.Logger, rec rudderfork.Recorder) *Scheduler {
	return &Scheduler{
		cfg: cfg, rep: rep, adviser: adviser, log: log, rec: rec, met: newMetrics(),
		kicked: wakeup.New(), fleet: newFleet(), sessions: map[*session]bool{},
	}
}

// String names the service in the supervisor's log.
func (s *Scheduler) String() string { return "scheduler" }

// Serve implements suture.Service.
func (s *Scheduler) Serve(ctx context.Context) error {
	defer s.losses.Wait()
	for ctx.Err() == nil {
		changed := s.rep.Changed()
		if s.rep.Leads() {
			steady.Pause(ctx, s.round(ctx).pause())
		} else {
			s.endTerm()
		}
		wait := time.NewTimer(roundPause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.kicked:
		case <-wait.C:
		}
		wait.Stop()
	}
	s.endTerm()
	return ctx.Err()
}

// round does the leader's duties once.
func (s *Scheduler) round(ctx context.Context) (t roundTimes) {
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if term := s.rep.Status().Term; term != s.currentTerm() {
		if s.rep.Barrier(bounded) != nil {
			return t // leadership was lost again
		}
		s.startTerm(term)
	}
	t.expire = timed(func() { s.expireLeases(ctx) })
	s.dispatch(bounded, &t)
	t.wake = timed(s.wakeSessions)
	s.noteRound(t)
	return t
}

func (s *Scheduler) currentTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

// startTerm opens the scheduler for a term. Every live VM may hold a lease that
// an earlier leader granted until now.
func (s *Scheduler) startTerm(term uint64) {
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
	s.fleet.lastRelocation.At = rudderfork.Millis(now) // the leader before may have just moved a task
	for _, vm := range vms {
		s.fleet.vm(vm).lease.AssumeLease(now.Add(s.cfg.Lease))
	}
	s.log.Info().Uint64("term", term).Int("vms", len(vms)).Msg("queues_leading")
}

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

// wakeSessions wakes the sessions whose VMs have something new to be told. (Waking
// all of them after each round had 240 agents' orders worked out for each change of
// one.)
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

// do commits a command on the queues.
func (s *Scheduler) do(ctx context.Context, c queue.Command) (queue.Result, error) {
	began := steady.Now()
	res, err := s.rep.Do(ctx, state.Command{Queue: &c})
	s.met.commit.Observe(steady.Now().Sub(began).Seconds())
	return res.Queue, err
}

// expireLeases proposes the losses of VMs whose lease has run out for sure. Their commits share
// syncs, and the round does not wait for them: what is to start elsewhere can.
func (s *Scheduler) expireLeases(ctx context.Context) {
	for _, l := range s.expiredLeases() {
		s.losses.Go(func() { s.commitLoss(ctx, l) })
	}
}

// loss is the loss of a VM on its way.
type loss struct {
	queue.VMLoss
	info *vmInfo
}

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
	s.logGone(l.VM, incarnationExpired, res)
	s.log.Warn().Str("lost_vm", string(l.VM)).Str("life", l.Incarnation).Str("result", string(res.Code)).Msg("vm_lost")
	s.record("vm_lost", string(l.VM), "its lease ran out and it did not come back")
}

// expiredLeases returns the losses that are not on their way yet.
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

// dispatch makes a plan and carries it out.
func (s *Scheduler) dispatch(ctx context.Context, t *roundTimes) {
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
		plan = s.fleet.planner.Plan(st.Queues(), view)
		s.fleet.setStops(plan.Stops, began)
		s.fleet.shortDemand.Observe(plan.ShortTasks, view.Now)
		s.fleet.lastOfStep = plan.LastOfStep
		begun = s.fleet.newlyBegun(st.Queues())
		if plan.Summary != nil {
			forecasts = s.fleet.forecasts()
		}
	})
	t.plan = steady.Now().Sub(began)
	s.met.plan.Observe(t.plan.Seconds())
	if plan.Summary != nil {
		s.logSummary(plan.Summary, forecasts)
		s.logOverdue()
	}
	s.logStops(plan.Stops)
	s.askAdviser(plan.AdviceRequests)
	if len(plan.Starts) == 0 {
		return
	}
	c := queue.Command{Starts: make([]queue.Start, len(plan.Starts)), Begun: begun}
	for i, st := range plan.Starts {
		c.Starts[i] = st.Start
	}
	t.starts = len(plan.Starts)
	var res queue.Result
	var err error
	t.commit = timed(func() { res, err = s.do(ctx, c) })
	if err != nil {
		s.log.Warn().Int("starts", len(c.Starts)).Err(err).Msg("starts_not_committed")
		return
	}
	s.logStarts(plan.Starts, res.Numbers)
}

func (s *Scheduler) logSummary(a *dispatch.FleetSummary, forecasts int) {
	s.log.Info().Int("vms", a.VMs).Int("serving", a.Serving).Int("serving_images", a.ServingImages).
		Int("fillers", a.Fillers).Int("waiting_fillers", a.WaitingFillers).Int("waiting_others", a.WaitingOthers).
		Float64("filler_cores", a.FillerCores).Float64("paced_cores", a.PacedCores).
		Float64("idle_cores", a.IdleCores).Float64("open_cores", a.TolerableCores).Int("forecasts", forecasts).Msg("fleet_account")
}

const msPerSecond = 1_000

func (s *Scheduler) logStarts(starts []dispatch.Start, numbers []uint32) {
	for i, st := range starts {
		if numbers[i] == 0 {
			s.log.Info().Str("task", st.Task.String()).Str("to", string(st.VM)).Msg("start_outdated")
			continue
		}
		s.met.starts.Inc()
		if st.Copy {
			s.met.copies.Inc()
		}
		s.log.Info().Str("task", st.Task.String()).Uint32("run", numbers[i]).Str("to", string(st.VM)).
			Str("reason", st.Reason).Int64("waited_ms", st.WaitedMS).Msg("task_placed")
		if st.WaitedMS >= 0 {
			s.met.wait.WithLabelValues(string(st.Kind)).Observe(float64(st.WaitedMS) / msPerSecond)
		}
		s.record("task_placed", st.Task.String(), "on "+string(st.VM)+": "+st.Reason)
	}
}

func (s *Scheduler) logStops(stops []dispatch.Stop) {
	for _, st := range stops {
		s.mu.Lock()
		fresh := s.fleet.markStopLogged(st)
		s.mu.Unlock()
		if !fresh {
			continue
		}
		s.met.stops.Inc()
		s.log.Info().Str("task", st.Task.String()).Uint32("run", st.Run).Str("on", string(st.VM)).
			Str("reason", st.Reason).Msg("task_stopping")
		s.record("task_stopping", st.Task.String(), st.Reason)
	}
}

func (s *Scheduler) record(kind, subject, text string) {
	s.rec.Record(rudderfork.Event{Kind: kind, Subject: subject, Text: text})
}
