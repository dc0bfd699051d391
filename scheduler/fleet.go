package scheduler

import (
	"math"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/fairshare"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/runs"
	"rudderfork.example/rudderfork/swing"
	"rudderfork.example/rudderfork/wire"
	"rudderfork.example/rudderfork/worktime"
)

const (
	// heartbeatLimit is how old the newest heartbeat of a usable VM may be: two heartbeat
	// intervals of 500 ms and some delay.
	heartbeatLimit = 1_300 * time.Millisecond
	// refusalBackOff delays the next start of a task that a VM refused, so that a VM that
	// refuses everything does not cause one commit after the other.
	refusalBackOff = 150 * time.Millisecond
	// failureStep is what one failure adds to a VM's failure score, and failureHalfLife how
	// long it takes to lose half of that.
	failureStep     = 0.5
	failureHalfLife = 3 * time.Second
	// crashHalfLife is how long it takes until a crash of a VM's executor counts half. The
	// first crash does not raise the VM's failure score; each further one adds failureStep.
	crashHalfLife = 10 * time.Second
	// maxFailedOn bounds the number of VMs that are remembered as those on which a task failed.
	maxFailedOn = 64
	// pacedDownPercent is by how many percent of full speed a filler must be paced down for
	// the planner to consider another place for it. Below that, what it would gain elsewhere
	// does not make up for the cost of a move.
	pacedDownPercent = 35
)

// fleet is what the leader knows of VMs and runs in addition to the replicated state. A new one is
// made in each term. It is guarded by the scheduler's mu.
type fleet struct {
	vms          map[rudderfork.VMID]*vmInfo
	stops        map[rudderfork.RunRef]string        // runs that the newest plan stops, with the reason
	stopsOn      map[rudderfork.VMID]bool            // the VMs of these runs
	lastOfStep   map[rudderfork.VMID][]queue.RunKey  // fillers that are among the last tasks of their step
	loggedStops  map[rudderfork.RunRef]bool          // runs whose stop was logged
	failedOn     map[queue.TaskKey][]rudderfork.VMID // where a task has failed, oldest first
	backOffUntil map[queue.TaskKey]time.Time         // earliest time of a task's next start
	pruneAt      time.Time                           // when outdated data is dropped next
	pressures    *pressures
	advice       *advice
	planner      *dispatch.Planner
	runs         map[queue.RunKey]dispatch.RunView // the runs of all VMs, as dispatch reads them
	begun        map[rudderfork.JobID]bool         // jobs of which a run was reported, until they are marked as begun in the state

	relocateAt      time.Time              // when the planner next looks for a serving task to relocate
	lastRelocation  dispatch.Relocation    // the newest one, which may be in progress
	overloadedSince map[queue.RunKey]int64 // see dispatch.View
	// slowRelocations are those from slow VMs that may be in progress.
	slowRelocations []dispatch.Relocation
	summaryAt       time.Time            // when the fleet is summarized in the log next
	expiryCheckAt   time.Time            // when leases are checked for expiry next
	shortDemand     dispatch.ShortDemand // number and size of short tasks in recent plans
	workTimes       *worktime.Model      // estimates of the work times of tasks
	swings          *swing.Model         // forecasts of the periodic load on serving steps
	shares          *fairshare.Ledger    // service by group of callers; nil without shares
	speeds          *speeds              // estimates of the speeds of VMs; nil if the policy is off
	// cordonedForUpkeep is the VM that gets no new tasks because its upkeep is next.
	cordonedForUpkeep rudderfork.VMID
}

// vmInfo is what the leader knows of one VM.
type vmInfo struct {
	lease   runs.Lessor
	session *session // its agent's; nil if it has none
	// latestSession is the number of the latest session in which the VM's agent has sent a
	// heartbeat. registering says that a session is registering the VM.
	latestSession uint64
	registering   bool
	lossPending   bool   // the commit of its loss is in progress
	lostEpoch     uint64 // epoch in which its lease expired last; 0 for none

	heartbeatAt time.Time // when the newest heartbeat arrived
	changes     uint64    // incremented with each change of runs
	// prunedAt is the version of the VM for which runs were pruned last.
	prunedAt   vmVersion
	heartbeat  wire.VMHeartbeat // the newest, without the status of runs
	runs       map[queue.TaskKey]*runInfo
	failures   float64 // the failure score without crashes, as of failuresAt
	failuresAt time.Time

	crashes            float64 // decayed count of its executor's crashes and of losses, as of crashAt
	crashAt            time.Time
	crashedIncarnation string // incarnation whose crash was counted last
}

// vmVersion changes whenever the runs that are committed for a VM change.
type vmVersion struct {
	vm      *queue.VM
	changes uint64
}

func versionOf(vm *queue.VM) vmVersion { return vmVersion{vm, vm.Changes()} }

// runInfo is what heartbeats have reported of one run.
type runInfo struct {
	status         rudderfork.RunStatus // the newest
	firstPercent   int                  // status.Percent when the run was first reported
	firstSeenAt    time.Time
	progressedAt   time.Time // when its percent last changed
	pacedDownSince time.Time // since when the run is paced down by pacedDownPercent or more; zero if it is not

	workedMS       float64   // work time from firstSeenAt to reportedAt, as if at full speed
	reportedAt     time.Time // when a heartbeat last reported it
	forecastChange float64   // forecast change of its headroom, see dispatch.RunView
}

func newFleet() *fleet {
	return &fleet{
		vms: map[rudderfork.VMID]*vmInfo{}, stops: map[rudderfork.RunRef]string{}, stopsOn: map[rudderfork.VMID]bool{}, loggedStops: map[rudderfork.RunRef]bool{},
		failedOn: map[queue.TaskKey][]rudderfork.VMID{}, backOffUntil: map[queue.TaskKey]time.Time{},
		pressures: newPressures(), advice: newAdvice(), planner: dispatch.NewPlanner(), workTimes: worktime.New(), swings: swing.New(), runs: map[queue.RunKey]dispatch.RunView{},
		begun: map[rudderfork.JobID]bool{}, overloadedSince: map[queue.RunKey]int64{},
	}
}

// vm returns the entry of a VM. It adds one if there is none.
func (f *fleet) vm(id rudderfork.VMID) *vmInfo {
	v := f.vms[id]
	if v == nil {
		v = &vmInfo{runs: map[queue.TaskKey]*runInfo{}, changes: 1}
		f.vms[id] = v
	}
	return v
}

// checkpoints returns the newest reported checkpoint of each run on the VM that has one.
func (v *vmInfo) checkpoints() map[queue.TaskKey]string {
	m := map[queue.TaskKey]string{}
	for k, r := range v.runs {
		if r.status.Checkpoint != "" {
			m[k] = r.status.Checkpoint
		}
	}
	return m
}

// recordHeartbeat stores a VM's heartbeat and updates its runs. With a new incarnation, the
// runs and failures of the old one are dropped.
func (f *fleet) recordHeartbeat(v *vmInfo, hb wire.VMHeartbeat, now time.Time) {
	if v.heartbeat.VM.Incarnation != hb.VM.Incarnation {
		for k := range v.runs {
			f.dropRun(v, k)
		}
		v.failures = 0
	}
	v.heartbeat, v.heartbeatAt = hb, now
	for _, status := range hb.Runs {
		k, err := queue.ParseTaskKey(string(status.Task))
		if err != nil {
			continue // not a task of the queues; the agent stops its run
		}
		if r := v.runs[k]; r != nil && r.status.Run != status.Run {
			f.dropRun(v, k)
		}
		r := v.runs[k]
		if r == nil {
			r = &runInfo{firstSeenAt: now, progressedAt: now, reportedAt: now, firstPercent: status.Percent}
			v.runs[k] = r
			f.begun[k.Job] = true
		}
		r.update(status, now)
		f.runs[k.Run(status.Run)] = r.view()
		v.changes++
	}
	v.heartbeat.Runs = nil
}

// dropRun drops what a VM has reported of a task.
func (f *fleet) dropRun(v *vmInfo, k queue.TaskKey) {
	delete(f.runs, k.Run(v.runs[k].status.Run))
	delete(f.overloadedSince, k.Run(v.runs[k].status.Run))
	delete(v.runs, k)
	v.changes++
}

// update stores the status of the run from a heartbeat.
func (r *runInfo) update(status rudderfork.RunStatus, now time.Time) {
	r.workedMS, r.reportedAt = r.worked(now), now
	if r.status.Percent != status.Percent {
		r.progressedAt = now
	}
	switch {
	case status.PacedDownPercent < pacedDownPercent:
		r.pacedDownSince = time.Time{}
	case r.pacedDownSince.IsZero():
		r.pacedDownSince = now
	}
	r.status = status
}

// view returns the run as dispatch reads it.
func (r *runInfo) view() dispatch.RunView {
	run := dispatch.RunView{
		Percent: r.status.Percent, FirstPercent: r.firstPercent, FirstSeenAt: rudderfork.Millis(r.firstSeenAt), ProgressedAt: rudderfork.Millis(r.progressedAt), Load: r.status.Load, PacedDownPercent: r.status.PacedDownPercent, ForecastHeadroomChange: r.forecastChange,
	}
	if !r.pacedDownSince.IsZero() {
		run.PacedDownSince = rudderfork.Millis(r.pacedDownSince)
	}
	return run
}

// usable reports whether the VM's agent can receive orders and start runs now.
func (v *vmInfo) usable(now time.Time) bool {
	return v.session != nil && v.session.epoch != 0 && !v.heartbeat.Unresponsive && now.Sub(v.heartbeatAt) < heartbeatLimit && v.lease.Leased(now)
}

// resumeGrants allows lease grants again if the VM has registered in a later epoch than the one in
// which its lease expired. It covers registrations that were committed although their proposer got
// no answer. vm is nil if the VM is not registered.
func (v *vmInfo) resumeGrants(vm *queue.VM) {
	if vm != nil && v.lease.Expired() && !v.lossPending && vm.Live && vm.Epoch > v.lostEpoch {
		v.lease.AllowGrants()
	}
}

// addFailures adds step to the failures. step is negative for a success.
func (v *vmInfo) addFailures(step float64, now time.Time) {
	v.failures = max(0, v.failuresNow(now)+step)
	v.failuresAt = now
}

// failureScore returns the VM's failure score: the decayed failures, plus failureStep for each
// crash in the decayed count above one.
func (v *vmInfo) failureScore(now time.Time) float64 {
	return v.failuresNow(now) + failureStep*max(0, v.crashesNow(now)-1)
}

// failuresNow returns the failures, halved for each failureHalfLife that has passed.
func (v *vmInfo) failuresNow(now time.Time) float64 {
	left := v.failures
	for span := now.Sub(v.failuresAt); span >= failureHalfLife && left > 0.01; span -= failureHalfLife {
		left /= 2
	}
	return left
}

// crashesNow returns the decayed count of crashes and losses.
func (v *vmInfo) crashesNow(now time.Time) float64 {
	return v.crashes * math.Exp2(-max(0, now.Sub(v.crashAt).Seconds())/crashHalfLife.Seconds())
}

// addCrash counts a crash of the VM's executor, or a loss.
func (v *vmInfo) addCrash(now time.Time) { v.crashes, v.crashAt = v.crashesNow(now)+1, now }

// view returns the fleet as dispatch reads it. It shares maps with the fleet, so it is valid
// until the fleet's next change.
func (f *fleet) view(s *queue.State, now time.Time) dispatch.View {
	view := dispatch.View{
		Now: rudderfork.Millis(now), VMs: make(map[rudderfork.VMID]dispatch.VMView, len(f.vms)), Runs: f.runs,
		FailedOn: f.failedOn, BackOffUntil: map[queue.TaskKey]int64{},
		Tickets:        f.advice.view(s, now),
		NoTicketAt:     f.advice.noTicketTimes(),
		LastRelocation: f.lastRelocation,
		ShortDemand:    f.shortDemand,
		Shares:         f.shares.Standings(),

		OverloadedSince: f.overloadedSince, SlowRelocations: f.pendingSlowRelocations(s, now),

		WorkTime: f.workTimes.Estimate, WorkTimeVersion: f.workTimes.Changes() / workTimesBatch,
		Pressure: func(serving, filler string) float64 { return f.pressures.estimate(serving, filler, now) },
	}
	for _, vm := range s.VMs() {
		v := f.vm(vm.ID)
		f.pruneRuns(vm, v)
		view.VMs[vm.ID] = dispatch.VMView{
			Usable: v.usable(now), Draining: v.heartbeat.Draining, CordonedForUpkeep: vm.ID == f.cordonedForUpkeep, FailureScore: v.failureScore(now), Changes: v.changes,
		}
	}
	f.speeds.addTo(view.VMs, now)
	for k, until := range f.backOffUntil {
		if now.After(until) {
			delete(f.backOffUntil, k)
			continue
		}
		view.BackOffUntil[k] = rudderfork.Millis(until)
	}
	f.prune(s, now)
	return view
}

// prunePause is how often data of jobs that have ended is dropped.
const prunePause = 5 * time.Second

// prune drops data of jobs that have ended, and what was logged of stops that are no longer planned.
func (f *fleet) prune(s *queue.State, now time.Time) {
	if !due(&f.pruneAt, prunePause, now) {
		return
	}
	for k := range f.failedOn {
		if s.Live()[k.Job] == nil {
			delete(f.failedOn, k)
		}
	}
	live := func(id rudderfork.JobID) bool { return s.Live()[id] != nil }
	f.workTimes.Prune(live)
	f.swings.Prune(live)
	f.speeds.prune(s)
	for ref := range f.loggedStops {
		if _, ok := f.stops[ref]; !ok {
			delete(f.loggedStops, ref)
		}
	}
}

// pruneRuns drops the runs that are not committed for the VM any more.
func (f *fleet) pruneRuns(vm *queue.VM, v *vmInfo) {
	if v.prunedAt == versionOf(vm) {
		return
	}
	v.prunedAt = versionOf(vm)
	for k, r := range v.runs {
		if vm.Runs()[k] != r.status.Run {
			f.dropRun(v, k)
		}
	}
}

// relocatePause is the pause between two searches for a serving task to relocate. Each search
// compares all serving tasks with all VMs.
const relocatePause = 500 * time.Millisecond

func (f *fleet) relocateDue(now time.Time) bool { return due(&f.relocateAt, relocatePause, now) }

// summaryPause is the pause between two summaries of the fleet in the log, which take a few
// megabytes a day.
const summaryPause = 2 * time.Second

func (f *fleet) summaryDue(now time.Time) bool { return due(&f.summaryAt, summaryPause, now) }

// due reports whether the time *at has come. If so, it sets *at to pause after now.
func due(at *time.Time, pause time.Duration, now time.Time) bool {
	if now.Before(*at) {
		return false
	}
	*at = now.Add(pause)
	return true
}

// setStops replaces the runs that are to be stopped, and remembers a new relocation.
func (f *fleet) setStops(stops []dispatch.Stop, now time.Time) {
	clear(f.stops)
	clear(f.stopsOn)
	for _, stop := range stops {
		f.stopsOn[stop.VM] = true
		f.stops[stop.Task.Ref(stop.Run)] = stop.Reason
		if stop.Reason == dispatch.ReasonRelocated && (f.lastRelocation.Task != stop.Task || f.lastRelocation.Run != stop.Run) {
			f.lastRelocation = dispatch.Relocation{Task: stop.Task, Run: stop.Run, At: rudderfork.Millis(now)}
		}
		f.recordSlowRelocation(stop, now)
	}
}

// markStopLogged reports whether a stop was not logged yet, and marks it as logged.
func (f *fleet) markStopLogged(stop dispatch.Stop) bool {
	ref := stop.Task.Ref(stop.Run)
	if f.loggedStops[ref] {
		return false
	}
	f.loggedStops[ref] = true
	return true
}

// recordEnd records what the end of a run shows about the VM, the task and its ticket.
func (f *fleet) recordEnd(vm rudderfork.VMID, e queue.End, now time.Time) {
	v := f.vm(vm)
	ref := e.Task.Ref(e.Run)
	switch {
	case e.Outcome == queue.OutcomeRefused && e.Reason == runs.ReasonCordoned:
		return // does not count against the VM, and the task may start elsewhere at once
	case e.Outcome == queue.OutcomeFailed && v.hadWorked(e, now):
		return // does not count against the VM
	case e.Outcome == queue.OutcomeStopped && f.stops[ref] == dispatch.ReasonTooSlow:
		f.recordFailedOn(e.Task, vm) // does not count against the VM either, whose speed is estimated
	case e.Outcome == queue.OutcomeDone:
		v.addFailures(-failureStep, now)
	case e.Outcome == queue.OutcomeFailed, e.Outcome == queue.OutcomeRefused, f.stops[ref] == dispatch.ReasonStalled, f.stops[ref] == dispatch.ReasonSlow:
		v.addFailures(failureStep, now)
		f.recordFailedOn(e.Task, vm)
	}
	if e.Outcome == queue.OutcomeRefused && e.Reason == rudderfork.StartTicketInvalid.String() {
		f.advice.dropTicket(e.Task.StepKey(), vm)
	}
	if e.Outcome == queue.OutcomeRefused {
		f.backOffUntil[e.Task] = now.Add(refusalBackOff)
	}
}

// minWorkedSpan is how long a run must have been reported for its failure not to count against the
// VM: a VM on which all tasks fail fails them sooner.
const minWorkedSpan = 2 * time.Second

// hadWorked reports whether a run that has ended was first reported at least minWorkedSpan ago and
// was last reported at fullPercent, as lasting tasks are while they work.
func (v *vmInfo) hadWorked(e queue.End, now time.Time) bool {
	r := v.runs[e.Task]
	return r != nil && r.status.Run == e.Run && r.status.Percent == fullPercent && now.Sub(r.firstSeenAt) >= minWorkedSpan
}

// recordCrash records a crash of the VM's previous incarnation, both for the VM and for the tasks
// that ran there, if the registration of a new incarnation shows one. vm is the VM as it registers
// now, and crash what its agent reports of the previous incarnation; it may be nil.
func (f *fleet) recordCrash(s *queue.State, vm queue.VM, crash *queue.Crash, now time.Time) {
	tasks, crashed := s.TasksAtCrash(vm, crash)
	if !crashed {
		return
	}
	// An incarnation whose lease expired first was counted by recordLoss.
	if v, old := f.vm(vm.ID), s.VM(vm.ID); v.crashedIncarnation != old.Incarnation && v.lostEpoch != old.Epoch {
		v.crashedIncarnation = old.Incarnation
		v.addCrash(now)
	}
	for _, k := range tasks {
		f.recordFailedOn(k, vm.ID)
	}
}

// recordLoss records the loss of a VM. If the VM returns, the tasks that ran there prefer other VMs.
// Repeated losses raise its failure score. A loss that is proposed again in the same epoch is not
// counted again.
func (f *fleet) recordLoss(vm *queue.VM, now time.Time) {
	v := f.vm(vm.ID)
	if v.lostEpoch == vm.Epoch {
		return
	}
	v.lostEpoch = vm.Epoch
	v.addCrash(now)
	for k := range vm.Runs() {
		f.recordFailedOn(k, vm.ID)
	}
}

// recordFailedOn remembers that a task has failed on a VM, for the newest maxFailedOn VMs.
func (f *fleet) recordFailedOn(k queue.TaskKey, vm rudderfork.VMID) {
	list := f.failedOn[k]
	if slices.Contains(list, vm) {
		return
	}
	if len(list) >= maxFailedOn {
		list = list[1:]
	}
	f.failedOn[k] = append(list, vm)
}
