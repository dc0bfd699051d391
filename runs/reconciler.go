// Package runs makes the runs on one VM match the leader's orders.
//
// A Reconciler is the part of a VM's agent that decides. It takes the leader's orders
// and grants, and the results of calls to the VM's executor, each with the time at
// which it came. It returns the calls to make to the executor and the ends of runs to
// report to the leader. It does no I/O.
//
// A chain of leases ensures that nothing runs on a VM that the leader has given up.
// The leader grants a lease that starts when the agent sent its heartbeat. The agent
// translates the end of the lease to the executor's clock, rounded so that it is never
// later. The executor kills all runs at that time. Each start carries the end of the
// lease, so that an executor that carries it out late starts nothing after that.
package runs

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/wire"
)

const (
	// maxClockSlowdown is the fraction by which an executor's clock may run slow. The
	// platform's documentation allows 2%.
	maxClockSlowdown = 0.02
	// leaseMargin is kept between the end of the grant and the end that is given to the
	// executor, for rounding on both clocks.
	leaseMargin = 20 * time.Millisecond
	// retryDelay is the time between two tries of a call that was not answered.
	retryDelay = 100 * time.Millisecond
	// minLeaseLeft is the least remaining lease with which a start is sent.
	minLeaseLeft = 200 * time.Millisecond
	// stopGrace is how long an executor may list a run after it has confirmed the stop.
	// Then the stop is sent again. It is longer than any executor takes to stop a run: 200 or
	// 400 ms according to the platform's documentation.
	stopGrace = 500 * time.Millisecond
)

// Call is one call to make to the executor.
type Call struct {
	Ref   rudderfork.RunRef
	Start *rudderfork.RunStart // nil for a stop
}

// Reconciler holds the orders of one VM and the state of their runs. It is not safe for
// concurrent use.
type Reconciler struct {
	incarnation  string // of the executor
	epoch        uint64 // of the VM in the leader's state; it rises when the VM is registered anew, without runs
	maxTerm      uint64 // highest term of any leader so far; the fencing token
	sessionTerm  uint64 // term of the leader of the present session
	synced       bool   // the full list of the epoch was received
	fullListTerm uint64 // term of the leader that sent the latest full list

	leaseEnd time.Time
	startBy  time.Time // deadline for sending starts, from the newest grant
	cordoned bool      // the leader allows no new starts on the VM

	draining bool                 // the executor is draining: nothing more is started
	capacity rudderfork.Resources // as the executor reports it; zero if it has not

	clockMS     int64 // the executor's clock, read not later than clockReadAt
	clockReadAt time.Time

	orders map[rudderfork.TaskID]*order
	// orphans are runs without an order. They are stopped, and kept here until the stop is
	// confirmed and a later poll does not list them. Their ends are not reported.
	orphans map[rudderfork.RunRef]*order
}

// order is a run that the leader has ordered to start, and may since have ordered to stop.
type order struct {
	wire.RunOrder
	stop             bool      // the run is to be stopped, or was stopped
	inFlight         bool      // a call is under way
	maybeStarted     bool      // a start may have been sent without an answer
	confirmedAt      time.Time // when the executor confirmed the start, or the stop
	retryAt          time.Time // no call is made before; zero for no limit
	endReported      bool      // the end of the run was returned to the caller, to be reported
	capacityDeadline time.Time // the start waits for free capacity until then; zero if there is enough
	dueAt            time.Time // when the start first became due; zero before
	lastAnswer       string    // to the latest call that tried to start it
	overdueReported  bool      // by OverdueStarts
	firstCalledAt    time.Time // when the first start was sent; zero before
	startTimedOut    bool      // the start was not confirmed in time: the run is stopped and reported as refused
}

// New returns a reconciler without an incarnation of the executor.
func New() *Reconciler {
	r := &Reconciler{}
	r.Reset("")
	return r
}

// Reset drops all state but the leaders' terms: the executor has a new incarnation, which
// runs nothing yet.
func (r *Reconciler) Reset(incarnation string) {
	*r = Reconciler{
		incarnation: incarnation, maxTerm: r.maxTerm, sessionTerm: r.sessionTerm,
		orders: map[rudderfork.TaskID]*order{}, orphans: map[rudderfork.RunRef]*order{},
	}
}

// Incarnation returns the executor's incarnation, or "".
func (r *Reconciler) Incarnation() string { return r.incarnation }

// FencingToken returns the fencing token for calls to the executor.
func (r *Reconciler) FencingToken() uint64 { return r.maxTerm }

// Epoch returns the epoch whose full list of orders was received, or 0.
func (r *Reconciler) Epoch() uint64 {
	if !r.synced {
		return 0
	}
	return r.epoch
}

// SetDraining sets whether the executor is draining.
func (r *Reconciler) SetDraining(draining bool) { r.draining = draining }

// SetCapacity sets the capacity that the executor reports.
func (r *Reconciler) SetCapacity(capacity rudderfork.Resources) { r.capacity = capacity }

// SetTerm sets the term of the leader of the present session.
func (r *Reconciler) SetTerm(term uint64) { r.sessionTerm, r.maxTerm = term, max(r.maxTerm, term) }

// leaderStale reports whether the session is with a leader that was superseded by a later
// one, and may not know it yet.
func (r *Reconciler) leaderStale() bool { return r.sessionTerm < r.maxTerm }

// LeaseEnd returns when the lease ends, by the agent's clock.
func (r *Reconciler) LeaseEnd() time.Time { return r.leaseEnd }

// SetClock sets the executor's clock, in milliseconds, as read not later than now. It
// rejects a time before the latest one of the incarnation, because it was read earlier.
func (r *Reconciler) SetClock(ms int64, now time.Time) (accepted bool) {
	if ms < r.clockMS {
		return false
	}
	r.clockMS, r.clockReadAt = ms, now
	return true
}

// ExecutorLeaseEnd returns the end of the lease on the executor's clock, in milliseconds.
// ok is false if the clock is unknown or too little of the lease is left.
func (r *Reconciler) ExecutorLeaseEnd(now time.Time) (ms int64, ok bool) {
	if r.clockReadAt.IsZero() || r.leaseEnd.Sub(now) < minLeaseLeft {
		return 0, false
	}
	left := r.leaseEnd.Sub(r.clockReadAt) - leaseMargin
	return r.clockMS + int64(float64(left.Milliseconds())*(1-maxClockSlowdown)), true
}

// startLease returns the end of the lease to send with a start, on the executor's clock in
// milliseconds, or the reason why no starts may be sent now.
func (r *Reconciler) startLease(now time.Time) (untilMS int64, blocker string) {
	untilMS, leased := r.ExecutorLeaseEnd(now)
	switch {
	case r.clockReadAt.IsZero():
		return 0, "the executor's clock is not known"
	case !leased:
		return 0, "no lease"
	case r.cordoned:
		return 0, "closed"
	case !now.Before(r.startBy):
		return 0, "no recent word of the leader"
	}
	return untilMS, ""
}

// ApplyOrders takes orders of the leader. It ignores orders for another incarnation of the
// executor, and those of an earlier epoch: their runs are over, since the epochs of a VM
// only rise. It also ignores orders of a superseded leader, which may not know what runs
// here.
func (r *Reconciler) ApplyOrders(o wire.Orders) {
	if r.leaderStale() || o.Incarnation != r.incarnation || o.Epoch < r.epoch {
		return
	}
	maybeStarted := o.Full && (!r.synced || r.fullListTerm != r.sessionTerm)
	if o.Full {
		r.applyFullList(o)
	}
	if o.Epoch != r.epoch {
		return
	}
	r.cordoned = o.Cordoned
	for _, ro := range o.Start {
		if old := r.orders[ro.Task]; old == nil || old.Run < ro.Run {
			// An earlier agent of this VM may have sent starts of the runs in a leader's
			// first full list, and the executor may still carry these out. This holds for
			// the first list of each leader, not only for the first list of all. The first
			// may come from a leader that was already superseded, and then lacks runs that
			// its successor has ordered the earlier agent to start.
			r.orders[ro.Task] = &order{RunOrder: ro, maybeStarted: maybeStarted}
		}
	}
	for _, ref := range o.Stop {
		r.orderStop(ref)
	}
}

// applyFullList takes the epoch of a full list, and stops runs that the list leaves out.
func (r *Reconciler) applyFullList(o wire.Orders) {
	if o.Epoch != r.epoch {
		for id, old := range r.orders {
			r.orphans[old.RunRef] = &order{RunOrder: old.RunOrder, stop: true}
			delete(r.orders, id)
		}
		r.epoch, r.leaseEnd, r.startBy = o.Epoch, time.Time{}, time.Time{}
	}
	r.synced, r.fullListTerm = true, r.sessionTerm
	listed := map[rudderfork.RunRef]bool{}
	for _, ro := range o.Start {
		listed[ro.RunRef] = true
	}
	for id, old := range r.orders {
		if !listed[old.RunRef] {
			r.orphans[old.RunRef] = &order{RunOrder: old.RunOrder, stop: true}
			delete(r.orders, id)
		}
	}
}

func (r *Reconciler) orderStop(ref rudderfork.RunRef) {
	o := r.orders[ref.Task]
	if o == nil || o.Run != ref.Run || o.stop {
		return
	}
	o.stop = true
	o.confirmedAt, o.retryAt = time.Time{}, time.Time{}
}

// NextCalls returns the calls to make now, and the ends of runs that it refuses to start.
// The result of each call must be passed to HandleStartResult or HandleStopResult.
func (r *Reconciler) NextCalls(now time.Time) (calls []Call, ends []queue.End) {
	for _, ref := range slices.SortedFunc(maps.Keys(r.orphans), compareRefs) {
		if c := r.nextCall(r.orphans[ref], now); c != nil {
			calls = append(calls, *c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.orders)) {
		o := r.orders[id]
		if o.dueAt.IsZero() {
			o.dueAt = now
		}
		if e := r.refuseIfDisallowed(o); e != nil {
			ends = append(ends, *e)
		}
		if e := r.awaitCapacity(o, now); e != nil {
			ends = append(ends, *e)
		}
		if e := r.timeOutStart(o, now); e != nil {
			ends = append(ends, *e)
		}
		if c := r.nextCall(o, now); c != nil {
			calls = append(calls, *c)
		}
	}
	return calls, ends
}

func compareRefs(a, b rudderfork.RunRef) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
}

// needsCall reports whether a start or stop has yet to be confirmed and no call is under way.
func (o *order) needsCall() bool { return !o.endReported && !o.inFlight && o.confirmedAt.IsZero() }

// needsStart reports whether a start has yet to be confirmed and no call is under way.
func (o *order) needsStart() bool { return !o.stop && o.needsCall() }

// nextCall returns the call to make now for one run, or nil.
func (r *Reconciler) nextCall(o *order, now time.Time) *Call {
	if !o.needsCall() || now.Before(o.retryAt) {
		return nil
	}
	if o.stop {
		o.inFlight = true
		return &Call{Ref: o.RunRef}
	}
	untilMS, blocker := r.startLease(now)
	if blocker != "" {
		return nil
	}
	o.inFlight = true
	if o.firstCalledAt.IsZero() {
		o.firstCalledAt = now
	}
	return &Call{Ref: o.RunRef, Start: &rudderfork.RunStart{
		RunRef: o.RunRef, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		UntilMS: untilMS, Fence: r.maxTerm,
	}}
}

// NextRetry returns when a call is to be retried. Until then NextCalls returns nothing new
// unless something else has happened. ok is false if no retry is planned.
func (r *Reconciler) NextRetry() (at time.Time, ok bool) {
	consider := func(o *order) {
		if o.awaitsRetry() && (!ok || o.retryAt.Before(at)) {
			at, ok = o.retryAt, true
		}
	}
	for _, o := range r.orders {
		consider(o)
	}
	for _, o := range r.orphans {
		consider(o)
	}
	return at, ok
}

// awaitsRetry reports whether a call is to be made again at retryAt. It is false while a
// call is under way: retryAt has passed then, and a caller that sleeps until that time
// would spin.
func (o *order) awaitsRetry() bool {
	return !o.retryAt.IsZero() && o.needsCall()
}

// HandleStartResult takes the result of a start. It returns the end to report if the run
// certainly never starts here.
func (r *Reconciler) HandleStartResult(ref rudderfork.RunRef, out rudderfork.StartOutcome, err error, now time.Time) (refused *queue.End) {
	o := r.orders[ref.Task]
	if o == nil || o.Run != ref.Run {
		return nil
	}
	o.inFlight = false
	o.lastAnswer = out.String()
	switch {
	case err != nil:
		o.lastAnswer = unanswered
		o.maybeStarted = true
		o.retryAt = now.Add(retryDelay)
	case o.stop:
		// The stop is sent next.
	case out == rudderfork.Started:
		o.confirmedAt = now
	case out == rudderfork.StartExpired || out == rudderfork.StartFenced:
		o.retryAt = now.Add(retryDelay)
	case o.maybeStarted && out != rudderfork.StartEnded:
		// An earlier start may still be carried out; only a stop rules that out.
		o.stop = true
	default:
		return r.refuse(o, out.String())
	}
	return nil
}

// refuse returns the end to report of a run that was not started. It returns nil if the
// executor has refused the start because the run has ended: then the next poll decides.
func (r *Reconciler) refuse(o *order, reason string) *queue.End {
	key, err := queue.ParseTaskKey(string(o.Task))
	if err != nil {
		return nil
	}
	if reason == rudderfork.StartEnded.String() {
		// The run has started and ended there. The next poll either lists its end or lists
		// neither the run nor its end.
		o.confirmedAt, o.stop = r.clockReadAt, true
		return nil
	}
	o.endReported = true
	return &queue.End{Task: key, Run: o.Run, Outcome: queue.OutcomeRefused, Reason: reason}
}

// HandleStopResult takes the result of a stop.
func (r *Reconciler) HandleStopResult(ref rudderfork.RunRef, err error, now time.Time) {
	if o := r.orphans[ref]; o != nil {
		o.recordStop(err, now)
	}
	if o := r.orders[ref.Task]; o != nil && o.Run == ref.Run && o.stop {
		o.recordStop(err, now)
	}
}

func (o *order) recordStop(err error, now time.Time) {
	o.inFlight = false
	if err != nil {
		o.retryAt = now.Add(retryDelay)
		return
	}
	o.confirmedAt = now
}

// HandleStatus takes the answer to a poll that was sent at the given time. It returns the
// ends to report: those that the executor lists, and those of runs that it should list and
// does not.
func (r *Reconciler) HandleStatus(status rudderfork.ExecutorStatus, polledAt time.Time) (ends []queue.End) {
	listed := map[rudderfork.RunRef]bool{}
	for _, run := range status.Running {
		listed[run.RunRef] = true
		r.stopUnwanted(run.RunRef, polledAt)
	}
	missing := func(ref rudderfork.RunRef) bool { return !listed[ref] && !status.Partial }
	maps.DeleteFunc(r.orphans, func(ref rudderfork.RunRef, o *order) bool { return missing(ref) && o.stopConfirmedBefore(polledAt) })
	ends = ParseEnds(status.Ended)
	for _, e := range status.Ended {
		listed[e.RunRef] = true
		if o := r.orders[e.Task]; o != nil && o.Run == e.Run {
			o.endReported = true
		}
	}
	for _, o := range r.orders {
		if listed[o.RunRef] || !status.Partial {
			r.settleCordoned(o, listed[o.RunRef], polledAt)
		}
		if o.endReported || !missing(o.RunRef) || o.confirmedAt.IsZero() || !o.confirmedAt.Before(polledAt) {
			continue
		}
		key, err := queue.ParseTaskKey(string(o.Task))
		if err != nil {
			continue
		}
		o.endReported = true
		end := queue.End{Task: key, Run: o.Run, Outcome: queue.OutcomeLost, Reason: "the executor knows nothing of it"}
		if o.startTimedOut {
			end.Outcome, end.Reason = queue.OutcomeRefused, reasonNotStarted
		}
		ends = append(ends, end)
	}
	return ends
}

// ParseEnds converts the ends that an executor lists. It leaves out runs whose task is not
// one of a queue; these are acknowledged to the executor with the others.
func ParseEnds(ended []rudderfork.EndedRun) (ends []queue.End) {
	for _, e := range ended {
		if key, err := queue.ParseTaskKey(string(e.Task)); err == nil {
			ends = append(ends, queue.End{Task: key, Run: e.Run, Outcome: queue.Outcome(e.Outcome), Checkpoint: e.Checkpoint})
		}
	}
	return ends
}

// stopUnwanted stops a run that is listed by a poll that was sent at the given time, if the
// leader does not want it here. A delayed start may start a run after its stop was confirmed
// or its end was reported, and only a poll shows this. By its contract an executor carries
// out no start of a run after its stop, but only the conclusion that the run has ended relies
// on this. A run is also listed while it is being stopped; its stop is not sent again until
// stopGrace has passed.
func (r *Reconciler) stopUnwanted(ref rudderfork.RunRef, polledAt time.Time) {
	if !r.synced {
		return
	}
	o := r.orders[ref.Task]
	if orphan := r.orphans[ref]; orphan != nil {
		orphan.repeatStop(polledAt)
	} else if o == nil || o.Run != ref.Run || o.endReported {
		r.orphans[ref] = &order{RunOrder: wire.RunOrder{RunRef: ref}, stop: true}
	} else {
		o.repeatStop(polledAt)
	}
}

// repeatStop makes the stop be sent again if a poll that was sent at the given time still
// lists the run after stopGrace.
func (o *order) repeatStop(polledAt time.Time) {
	if o.stopConfirmedBefore(polledAt.Add(-stopGrace)) {
		o.confirmedAt, o.retryAt = time.Time{}, time.Time{}
	}
}

// stopConfirmedBefore reports whether the executor confirmed the stop before the given time.
func (o *order) stopConfirmedBefore(at time.Time) bool {
	return o.stop && !o.confirmedAt.IsZero() && o.confirmedAt.Before(at)
}

// ForgetEnded drops the orders of runs whose ends the leader has committed.
func (r *Reconciler) ForgetEnded(ends []queue.End) {
	for _, e := range ends {
		ref := e.Task.Ref(e.Run)
		if o := r.orders[ref.Task]; o != nil && o.Run == ref.Run {
			delete(r.orders, ref.Task)
		}
	}
}

// DesiredRuns returns the orders by task, without those of runs that have ended or are to
// stop.
func (r *Reconciler) DesiredRuns() map[rudderfork.TaskID]wire.RunOrder {
	desired := make(map[rudderfork.TaskID]wire.RunOrder, len(r.orders))
	for id, o := range r.orders {
		if !o.stop && !o.endReported {
			desired[id] = o.RunOrder
		}
	}
	return desired
}
