package scheduler

import (
	"math"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/dispatch"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/runs"
	"rudderfork.example/rudderfork/swing"
	"rudderfork.example/rudderfork/wire"
	"rudderfork.example/rudderfork/worktime"
)

const (
	// heartbeatLimit is how old the newest heartbeat of a usable VM may be: two of
	// them and some delay.
	heartbeatLimit = 1_300 * time.Millisecond
	// refusalBackOff keeps a task that was refused back for a moment, so that a
	// VM that refuses everything does not cause a commit after the other.
	refusalBackOff = 150 * time.Millisecond
	// failureStep is what one failure adds to a VM's doubt, and doubtHalf how
	// long it takes to lose half of it.
	failureStep     = 0.5
	failureHalfLife = 3 * time.Second
	// crashHalfLife is how long it takes until a crash of a VM's executor counts half. The first
	// one is an ordinary crash; each further one adds doubtStep to the VM's doubt.
	crashHalfLife = 10 * time.Second
	// maxFailedOn bounds the VMs remembered for a task.
	maxFailedOn = 64
	// pacedDownPercent is the percent by which a filler is paced down that counts as being
	// held back: what a place where it could begin would gain it, with what a move
	// costs.
	pacedDownPercent = 35
)

// fleet is what the leader knows of the VMs and runs beside the replicated
// state. It is guarded by the scheduler's mu.
type fleet struct {
	vms          map[rudderfork.VMID]*vmInfo
	stops        map[rudderfork.RunRef]string // runs that are to end, with why
	stopsOn      map[rudderfork.VMID]bool     // the VMs of these
	lastOfStep   map[rudderfork.VMID][]queue.RunKey
	loggedStops  map[rudderfork.RunRef]bool // stops that were logged
	failedOn     map[queue.TaskKey][]rudderfork.VMID
	backOffUntil map[queue.TaskKey]time.Time
	pruneAt      time.Time
	pressures    *pressures
	advice       *advice
	planner      *dispatch.Planner
	runs         map[queue.RunKey]dispatch.RunView // of all VMs' rows
	begun        map[rudderfork.JobID]bool         // jobs with such a row, until the state has them as begun

	// relocateAt is when to look next for a serving task that had better run
	// elsewhere; moved is the one that was moved last.
	relocateAt     time.Time
	lastRelocation dispatch.Relocation
	summaryAt      time.Time // when the fleet is summed up next
	expiryCheckAt  time.Time // when leases are looked at next
	shortDemand    dispatch.ShortDemand
	worktimes      *worktime.Model
	swings         *swing.Model
	// cordonedForUpkeep is the VM whose upkeep is next; it gets no new work.
	cordonedForUpkeep rudderfork.VMID
}

// vmInfo is one VM at the moment.
type vmInfo struct {
	lease   runs.Lessor
	session *session
	// latestSession is the number of the latest session in which the VM's agent has sent a
	// heartbeat; registering says that one of them registers the VM.
	latestSession uint64
	registering   bool
	lossPending   bool   // its loss is on its way
	lostEpoch     uint64 // in which its lease ran out last

	heartbeatAt time.Time
	changes     uint64 // rises with each change of rows
	// prunedAt is the VM and its changes for which rows were pruned last.
	prunedAt   vmVersion
	heartbeat  wire.VMHeartbeat
	runs       map[queue.TaskKey]*runInfo
	failures   float64
	failuresAt time.Time

	crashes            float64 // of its executor, and losses, at crashAt; newer ones count more
	crashAt            time.Time
	crashedIncarnation string // the one whose crash was counted last
}

// vmVersion tells whether a VM's runs have changed.
type vmVersion struct {
	vm      *queue.VM
	changes uint64
}

func versionOf(vm *queue.VM) vmVersion { return vmVersion{vm, vm.Changes()} }

// runInfo is one run at the moment.
type runInfo struct {
	status         rudderfork.RunStatus
	firstPercent   int // percent when it was first reported
	firstSeenAt    time.Time
	progressedAt   time.Time
	pacedDownSince time.Time // since when it is held down; zero if it is not

	workedMS       float64   // at full speed, since seenAt and until takenAt
	reportedAt     time.Time // when a heartbeat last told of it
	forecastChange float64   // of its headroom, as dispatch.RunView has it
}

func newFleet() *fleet {
	return &fleet{
		vms: map[rudderfork.VMID]*vmInfo{}, stops: map[rudderfork.RunRef]string{}, stopsOn: map[rudderfork.VMID]bool{}, loggedStops: map[rudderfork.RunRef]bool{},
		failedOn: map[queue.TaskKey][]rudderfork.VMID{}, backOffUntil: map[queue.TaskKey]time.Time{},
		pressures: newPressures(), advice: newAdvice(), planner: dispatch.NewPlanner(), worktimes: worktime.New(), swings: swing.New(), runs: map[queue.RunKey]dispatch.RunView{},
		begun: map[rudderfork.JobID]bool{},
	}
}

func (f *fleet) vm(id rudderfork.VMID) *vmInfo {
	v := f.vms[id]
	if v == nil {
		v = &vmInfo{runs: map[queue.TaskKey]*runInfo{}, changes: 1}
		f.vms[id] = v
	}
	return v
}

// checkpoints returns the newest known of each run on the VM.
func (v *vmInfo) checkpoints() map[queue.TaskKey]string {
	m := map[queue.TaskKey]string{}
	for k, r := range v.runs {
		if r.status.Checkpoint != "" {
			m[k] = r.status.Checkpoint
		}
	}
	return m
}

// recordHeartbeat notes a VM's heartbeat.
func (f *fleet) recordHeartbeat(v *vmInfo, b wire.VMHeartbeat, now time.Time) {
	if v.heartbeat.VM.Incarnation != b.VM.Incarnation {
		for k := range v.runs {
			f.dropRun(v, k)
		}
		v.failures = 0
	}
	v.heartbeat, v.heartbeatAt = b, now
	for _, row := range b.Rows {
		k, err := queue.ParseTaskKey(string(row.Task))
		if err != nil {
			continue // not a run of ours; the agent stops it
		}
		if r := v.runs[k]; r != nil && r.status.Run != row.Run {
			f.dropRun(v, k)
		}
		r := v.runs[k]
		if r == nil {
			r = &runInfo{firstSeenAt: now, progressedAt: now, reportedAt: now, firstPercent: row.Percent}
			v.runs[k] = r
			f.begun[k.Job] = true
		}
		r.update(row, now)
		f.runs[k.Run(row.Run)] = r.view()
		v.changes++
	}
	v.heartbeat.Rows = nil
}

// dropRun forgets what a VM has told of a task.
func (f *fleet) dropRun(v *vmInfo, k queue.TaskKey) {
	delete(f.runs, k.Run(v.runs[k].status.Run))
	delete(v.runs, k)
	v.changes++
}

// update notes what a heartbeat tells of the run.
func (r *runInfo) update(row rudderfork.RunStatus, now time.Time) {
	r.workedMS, r.reportedAt = r.worked(now), now
	if r.status.Percent != row.Percent {
		r.progressedAt = now
	}
	switch {
	case row.PacedDownPercent < pacedDownPercent:
		r.pacedDownSince = time.Time{}
	case r.pacedDownSince.IsZero():
		r.pacedDownSince = now
	}
	r.status = row
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

// usable reports whether the VM's agent can be told what to start, and can start it.
func (v *vmInfo) usable(now time.Time) bool {
	return v.session != nil && v.session.epoch != 0 && !v.heartbeat.Unresponsive && now.Sub(v.heartbeatAt) < heartbeatLimit && v.lease.Leased(now)
}

// renew lets leases be granted again to a VM that is back: in a later epoch than the one
// that was lost. The answer to its registration may have been missed. vm is nil if the VM
// is not known.
func (v *vmInfo) renew(vm *queue.VM) {
	if vm != nil && v.lease.Expired() && !v.lossPending && vm.Live && vm.Epoch > v.lostEpoch {
		v.lease.AllowGrants()
	}
}

// addFailures counts a failure, or with a negative step a success.
func (v *vmInfo) addFailures(step float64, now time.Time) {
	v.failures = max(0, v.failuresNow(now)+step)
	v.failuresAt = now
}

// failureScore is the doubt, which halves every doubtHalf, with that of the executor's crashes.
func (v *vmInfo) failureScore(now time.Time) float64 {
	return v.failuresNow(now) + failureStep*max(0, v.crashesNow(now)-1)
}

// failuresNow is what is left of the doubt that failures have added.
func (v *vmInfo) failuresNow(now time.Time) float64 {
	left := v.failures
	for span := now.Sub(v.failuresAt); span >= failureHalfLife && left > 0.01; span -= failureHalfLife {
		left /= 2
	}
	return left
}

func (v *vmInfo) crashesNow(now time.Time) float64 {
	return v.crashes * math.Exp2(-max(0, now.Sub(v.crashAt).Seconds())/crashHalfLife.Seconds())
}

// addCrash counts a crash of the VM's executor, or a loss.
func (v *vmInfo) addCrash(now time.Time) { v.crashes, v.crashAt = v.crashesNow(now)+1, now }

// view returns what dispatch reads. It is good until the next change of the fleet.
func (f *fleet) view(s *queue.State, now time.Time) dispatch.View {
	view := dispatch.View{
		Now: rudderfork.Millis(now), VMs: make(map[rudderfork.VMID]dispatch.VMView, len(f.vms)), Runs: f.runs,
		FailedOn: f.failedOn, BackOffUntil: map[queue.TaskKey]int64{},
		Tickets:        f.advice.view(s, now),
		NoTicketAt:     f.advice.askedAt(),
		LastRelocation: f.lastRelocation,
		ShortDemand:    f.shortDemand,

		WorkTime: f.worktimes.Estimate, WorkTimeVersion: f.worktimes.Changes() / workTimesBatch,
		Pressure: func(serving, filler string) float64 { return f.pressures.estimate(serving, filler, now) },
	}
	for _, vm := range s.VMs() {
		v := f.vm(vm.ID)
		f.pruneRuns(vm, v)
		view.VMs[vm.ID] = dispatch.VMView{
			Usable: v.usable(now), Draining: v.heartbeat.Draining, Cordoned: vm.ID == f.cordonedForUpkeep, FailureScore: v.failureScore(now), Changes: v.changes,
		}
	}
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

// prunePause is how often what concerns jobs that are over is dropped.
const prunePause = 5 * time.Second

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
	f.worktimes.Prune(live)
	f.swings.Prune(live)
	for ref := range f.loggedStops {
		if _, ok := f.stops[ref]; !ok {
			delete(f.loggedStops, ref)
		}
	}
}

// pruneRuns drops the rows of runs that are over.
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

// relocatePause is between two looks for a serving task to move, which weigh each
// against all VMs.
const relocatePause = 500 * time.Millisecond

func (f *fleet) relocateDue(now time.Time) bool { return due(&f.relocateAt, relocatePause, now) }

// summaryPause is between two accounts of the fleet in the log: a day of them is a
// few megabytes.
const summaryPause = 2 * time.Second

func (f *fleet) summaryDue(now time.Time) bool { return due(&f.summaryAt, summaryPause, now) }

// due reports whether a time has come, and sets the next one.
func due(at *time.Time, pause time.Duration, now time.Time) bool {
	if now.Before(*at) {
		return false
	}
	*at = now.Add(pause)
	return true
}

// setStops replaces the runs that are to end.
func (f *fleet) setStops(stops []dispatch.Stop, now time.Time) {
	clear(f.stops)
	clear(f.stopsOn)
	for _, st := range stops {
		f.stopsOn[st.VM] = true
		f.stops[st.Task.Ref(st.Run)] = st.Reason
		if st.Reason == dispatch.ReasonRelocated && (f.lastRelocation.Task != st.Task || f.lastRelocation.Run != st.Run) {
			f.lastRelocation = dispatch.Relocation{Task: st.Task, Run: st.Run, At: rudderfork.Millis(now)}
		}
	}
}

// markStopLogged reports whether a stop is new.
func (f *fleet) markStopLogged(st dispatch.Stop) bool {
	ref := st.Task.Ref(st.Run)
	if f.loggedStops[ref] {
		return false
	}
	f.loggedStops[ref] = true
	return true
}

// recordEnd draws conclusions from the end of a run.
func (f *fleet) recordEnd(vm rudderfork.VMID, e queue.End, now time.Time) {
	v := f.vm(vm)
	ref := e.Task.Ref(e.Run)
	switch {
	case e.Outcome == queue.OutcomeRefused && e.Reason == runs.ReasonCordoned:
		return // it says nothing of the VM, and the task may begin elsewhere at once
	case e.Outcome == queue.OutcomeFailed && v.hadWorked(e, now):
		return // it says nothing of the VM
	case e.Outcome == queue.OutcomeDone:
		v.addFailures(-failureStep, now)
	case e.Outcome == queue.OutcomeFailed, e.Outcome == queue.OutcomeRefused, f.stops[ref] == dispatch.ReasonStalled, f.stops[ref] == dispatch.ReasonSlow:
		v.addFailures(failureStep, now)
		f.recordFailedOn(e.Task, vm)
	}
	if e.Outcome == queue.OutcomeRefused && e.Reason == rudderfork.StartTicket.String() {
		f.advice.dropTicket(e.Task.StepKey(), vm)
	}
	if e.Outcome == queue.OutcomeRefused {
		f.backOffUntil[e.Task] = now.Add(refusalBackOff)
	}
}

// minWorkedSpan is how long a lasting task must have been at work for its failure to say nothing
// of the VM: one that fails what it starts does so sooner.
const minWorkedSpan = 2 * time.Second

// hadWorked reports whether a run that has ended was at work for long.
func (v *vmInfo) hadWorked(e queue.End, now time.Time) bool {
	r := v.runs[e.Task]
	return r != nil && r.status.Run == e.Run && r.status.Percent == fullPercent && now.Sub(r.firstSeenAt) >= minWorkedSpan
}

// recordCrash draws conclusions from a life of a VM's executor that a new one follows.
func (f *fleet) recordCrash(s *queue.State, vm queue.VM, crash *queue.Crash, now time.Time) {
	tasks, crashed := s.TasksAtCrash(vm, crash)
	if !crashed {
		return
	}
	// One that was lost first was counted then.
	if v, old := f.vm(vm.ID), s.VM(vm.ID); v.crashedIncarnation != old.Incarnation && v.lostEpoch != old.Epoch {
		v.crashedIncarnation = old.Incarnation
		v.addCrash(now)
	}
	for _, k := range tasks {
		f.recordFailedOn(k, vm.ID)
	}
}

// recordLoss draws conclusions from the loss of a VM: what ran there had better run elsewhere
// should it be back, and one that falls silent again and again is in doubt. A loss that is
// proposed again in the same epoch tells nothing new.
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
