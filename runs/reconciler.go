// Package runs keeps the runs of one VM as control wants them.
//
// A Keeper is the part of a VM's agent that decides. It takes what control
// orders and grants, and what the VM's executor answers, each with the time,
// and says what to ask of the executor and what to report to control. It does
// no I/O.
//
// Time is chained so that nothing runs on a VM that control has given up:
// control grants a lease counted from when the agent sent its heartbeat; the
// agent turns it into an end on the executor's clock that is surely not later;
// the executor kills everything at that end. An order that the executor carries
// out late brings its own end of the lease with it, and does nothing after it.
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
	// clockSlow is by how much an executor's clock may run slow (the users'
	// pages say 2%).
	clockSlow = 0.02
	// leaseMargin is kept between the grant's end and the executor's, for
	// rounding on both clocks.
	leaseMargin = 20 * time.Millisecond
	// retryPause is between two tries of a call that was not answered.
	retryPause = 100 * time.Millisecond
	// leastLease is the least time left for which a start is worth sending.
	leastLease = 200 * time.Millisecond
	// stopSpan is how long after a stop was confirmed an executor may list the run
	// before it is stopped again: above the longest that one takes to
	// stop a run (the users' pages say 200 and 400 ms).
	stopSpan = 500 * time.Millisecond
)

// Call is one thing to ask of the executor.
type Call struct {
	Ref   rudderfork.RunRef
	Start *rudderfork.RunStart // nil means to stop it
}

// Reconciler holds one VM's orders. It is not safe for concurrent use.
type Reconciler struct {
	life   string
	epoch  uint64
	term   uint64 // highest of a leader that was met; the fencing token
	led    uint64 // term of the leader that the session is with
	synced bool   // the full list of the epoch has come
	listed uint64 // term of the leader that the latest full list is from

	grant   time.Time
	startBy time.Time // until when starts may be called, by the newest grant
	closed  bool      // control has nothing more started here

	leave bool                 // the executor is draining: nothing more is started
	room  rudderfork.Resources // of the executor, as it says; zero while nobody has told

	clockMS int64 // of the executor, read not later than clockAt
	clockAt time.Time

	orders map[rudderfork.TaskID]*order
	strays map[rudderfork.RunRef]*order // to stop until they are listed no more, and nothing to report
}

// order is one run that control wants here, or wants gone.
type order struct {
	wire.RunOrder
	stop      bool
	inFlight  bool
	unsure    bool      // a start may have been sent and not answered
	confirmed time.Time // when the executor confirmed the start, or the stop
	retryAt   time.Time
	ended     bool      // its end was reported
	roomBy    time.Time // until when room for it may come free; zero while there is some
	dueAt     time.Time // when its start was due first; zero before
	answer    string    // to the newest call to start it, where that did not settle it
	overdue   bool      // told by Overdue
	calledAt  time.Time // when it was called first to start; zero before
	gaveUp    bool      // its start was not confirmed in time: stopped, and to be reported as refused
}

// New returns a keeper without a life of the executor.
func New() *Reconciler {
	k := &Reconciler{}
	k.Reset("")
	return k
}

// Reset forgets everything: the executor has another life, which runs nothing.
func (k *Reconciler) Reset(life string) {
	*k = Reconciler{
		life: life, term: k.term, led: k.led,
		orders: map[rudderfork.TaskID]*order{}, strays: map[rudderfork.RunRef]*order{},
	}
}

// Incarnation returns the executor's life.
func (k *Reconciler) Incarnation() string { return k.life }

// FencingToken returns the fencing token for the executor.
func (k *Reconciler) FencingToken() uint64 { return k.term }

// Epoch returns the one whose full list of orders is here, or 0.
func (k *Reconciler) Epoch() uint64 {
	if !k.synced {
		return 0
	}
	return k.epoch
}

// SetDraining tells whether the executor is draining.
func (k *Reconciler) SetDraining(leave bool) { k.leave = leave }

// SetCapacity tells what the executor says of its room.
func (k *Reconciler) SetCapacity(room rudderfork.Resources) { k.room = room }

// SetTerm notes the term of the leader that the session is with.
func (k *Reconciler) SetTerm(term uint64) { k.led, k.term = term, max(k.term, term) }

// outranked reports whether the session is with a leader that a later one has
// followed and that does not know it yet.
func (k *Reconciler) outranked() bool { return k.led < k.term }

// LeaseEnd returns when the lease ends.
func (k *Reconciler) LeaseEnd() time.Time { return k.grant }

// SetClock notes the executor's clock, read not later than now. One that is behind what the
// life has shown is not taken: it was read before.
func (k *Reconciler) SetClock(ms int64, now time.Time) (taken bool) {
	if ms < k.clockMS {
		return false
	}
	k.clockMS, k.clockAt = ms, now
	return true
}

// ExecutorLeaseEnd returns the end of the lease on the executor's clock; ok is false
// without a lease that is worth anything.
func (k *Reconciler) ExecutorLeaseEnd(now time.Time) (ms int64, ok bool) {
	if k.clockAt.IsZero() || k.grant.Sub(now) < leastLease {
		return 0, false
	}
	left := k.grant.Sub(k.clockAt) - leaseMargin
	return k.clockMS + int64(float64(left.Milliseconds())*(1-clockSlow)), true
}

// startUntil returns the end of the lease that a start goes with on the executor's clock, or
// what keeps starts from being called.
func (k *Reconciler) startUntil(now time.Time) (ms int64, obstacle string) {
	ms, leased := k.ExecutorLeaseEnd(now)
	switch {
	case k.clockAt.IsZero():
		return 0, "the executor's clock is not known"
	case !leased:
		return 0, "no lease"
	case k.closed:
		return 0, "closed"
	case !now.Before(k.startBy):
		return 0, "no recent word of the leader"
	}
	return ms, ""
}

// ApplyOrders takes orders of control. Those that were under way while the executor
// got a new life are for runs that are over, and so are those of an earlier epoch:
// epochs of a VM only rise. A leader that was outranked may not know what runs.
func (k *Reconciler) ApplyOrders(o wire.Orders) {
	if k.outranked() || o.Incarnation != k.life || o.Epoch < k.epoch {
		return
	}
	unsure := o.Full && (!k.synced || k.listed != k.led)
	if o.Full {
		k.takeAll(o)
	}
	if o.Epoch != k.epoch {
		return
	}
	k.closed = o.Cordoned
	for _, r := range o.Start {
		if old := k.orders[r.Task]; old == nil || old.Run < r.Run {
			// What a leader's first full list brings may have been sent by an agent
			// before this one, whose start the executor may yet carry out. One list
			// is not enough: that of a leader which does not know yet that it was
			// outranked lacks what a later one had that agent start.
			k.orders[r.Task] = &order{RunOrder: r, unsure: unsure}
		}
	}
	for _, r := range o.Stop {
		k.stop(r)
	}
}

// takeAll takes a full list: what it does not name is to be stopped.
func (k *Reconciler) takeAll(o wire.Orders) {
	if o.Epoch != k.epoch {
		for id, old := range k.orders {
			k.strays[old.RunRef] = &order{RunOrder: old.RunOrder, stop: true}
			delete(k.orders, id)
		}
		k.epoch, k.grant, k.startBy = o.Epoch, time.Time{}, time.Time{}
	}
	k.synced, k.listed = true, k.led
	listed := map[rudderfork.RunRef]bool{}
	for _, r := range o.Start {
		listed[r.RunRef] = true
	}
	for id, old := range k.orders {
		if !listed[old.RunRef] {
			k.strays[old.RunRef] = &order{RunOrder: old.RunOrder, stop: true}
			delete(k.orders, id)
		}
	}
}

func (k *Reconciler) stop(r rudderfork.RunRef) {
	o := k.orders[r.Task]
	if o == nil || o.Run != r.Run || o.stop {
		return
	}
	o.stop = true
	o.confirmed, o.retryAt = time.Time{}, time.Time{}
}

// NextCalls returns the calls to make now, each to be followed by Started or Stopped,
// and the ends of runs that will not begin because the executor is draining.
func (k *Reconciler) NextCalls(now time.Time) (calls []Call, ends []queue.End) {
	for _, ref := range slices.SortedFunc(maps.Keys(k.strays), compareRefs) {
		if c := k.due(k.strays[ref], now); c != nil {
			calls = append(calls, *c)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(k.orders)) {
		o := k.orders[id]
		if o.dueAt.IsZero() {
			o.dueAt = now
		}
		if e := k.turnAway(o); e != nil {
			ends = append(ends, *e)
		}
		if e := k.noRoom(o, now); e != nil {
			ends = append(ends, *e)
		}
		if e := k.giveUp(o, now); e != nil {
			ends = append(ends, *e)
		}
		if c := k.due(o, now); c != nil {
			calls = append(calls, *c)
		}
	}
	return calls, ends
}

func compareRefs(a, b rudderfork.RunRef) int {
	return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
}

// idle reports whether a call is to be made, and none is under way.
func (o *order) idle() bool { return !o.ended && !o.inFlight && o.confirmed.IsZero() }

// pending reports whether a start of the run is to be called.
func (o *order) pending() bool { return !o.stop && o.idle() }

func (k *Reconciler) due(o *order, now time.Time) *Call {
	if !o.idle() || now.Before(o.retryAt) {
		return nil
	}
	if o.stop {
		o.inFlight = true
		return &Call{Ref: o.RunRef}
	}
	until, obstacle := k.startUntil(now)
	if obstacle != "" {
		return nil
	}
	o.inFlight = true
	if o.calledAt.IsZero() {
		o.calledAt = now
	}
	return &Call{Ref: o.RunRef, Start: &rudderfork.RunStart{
		RunRef: o.RunRef, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		UntilMS: until, Fence: k.term,
	}}
}

// NextRetry returns when Due may have something again without another event.
func (k *Reconciler) NextRetry() (at time.Time, ok bool) {
	consider := func(o *order) {
		if o.waits() && (!ok || o.retryAt.Before(at)) {
			at, ok = o.retryAt, true
		}
	}
	for _, o := range k.orders {
		consider(o)
	}
	for _, o := range k.strays {
		consider(o)
	}
	return at, ok
}

// waits reports whether a call is to be made again, at retryAt. While a call is under
// way retryAt is past, and a caller that slept until then would not sleep at all.
func (o *order) waits() bool {
	return !o.retryAt.IsZero() && o.idle()
}

// HandleStartResult takes the answer to a start, and returns the end to report if the run
// surely will never begin here.
func (k *Reconciler) HandleStartResult(ref rudderfork.RunRef, out rudderfork.StartOutcome, err error, now time.Time) (refused *queue.End) {
	o := k.orders[ref.Task]
	if o == nil || o.Run != ref.Run {
		return nil
	}
	o.inFlight = false
	o.answer = out.String()
	switch {
	case err != nil:
		o.answer = unanswered
		o.unsure = true
		o.retryAt = now.Add(retryPause)
	case o.stop:
		// The stop is sent next.
	case out == rudderfork.Started:
		o.confirmed = now
	case out == rudderfork.StartLate || out == rudderfork.StartFenced:
		o.retryAt = now.Add(retryPause)
	case o.unsure && out != rudderfork.StartOld:
		// An earlier try may yet be carried out: only a stop ends that.
		o.stop = true
	default:
		return k.refuse(o, out.String())
	}
	return nil
}

// refuse reports a run that did not begin.
func (k *Reconciler) refuse(o *order, reason string) *queue.End {
	key, err := queue.ParseTaskKey(string(o.Task))
	if err != nil {
		return nil
	}
	if reason == rudderfork.StartOld.String() {
		// It has begun and ended there: the end is listed by the next look, or
		// the run is found gone.
		o.confirmed, o.stop = k.clockAt, true
		return nil
	}
	o.ended = true
	return &queue.End{Task: key, Run: o.Run, Outcome: queue.OutcomeRefused, Reason: reason}
}

// HandleStopResult takes the answer to a stop.
func (k *Reconciler) HandleStopResult(ref rudderfork.RunRef, err error, now time.Time) {
	if o := k.strays[ref]; o != nil {
		o.stopped(err, now)
	}
	if o := k.orders[ref.Task]; o != nil && o.Run == ref.Run && o.stop {
		o.stopped(err, now)
	}
}

func (o *order) stopped(err error, now time.Time) {
	o.inFlight = false
	if err != nil {
		o.retryAt = now.Add(retryPause)
		return
	}
	o.confirmed = now
}

// HandleStatus takes an executor's account that was asked for at the given time. It
// returns the ends to report: those listed, and those of runs that the executor
// knows nothing of though it should.
func (k *Reconciler) HandleStatus(look rudderfork.ExecutorStatus, asked time.Time) (ends []queue.End) {
	there := map[rudderfork.RunRef]bool{}
	for _, r := range look.Running {
		there[r.RunRef] = true
		k.checkRunning(r.RunRef, asked)
	}
	missing := func(ref rudderfork.RunRef) bool { return !there[ref] && !look.Partial }
	maps.DeleteFunc(k.strays, func(ref rudderfork.RunRef, o *order) bool { return missing(ref) && o.stoppedBefore(asked) })
	ends = ParseEnds(look.Ended)
	for _, e := range look.Ended {
		there[e.RunRef] = true
		if o := k.orders[e.Task]; o != nil && o.Run == e.Run {
			o.ended = true
		}
	}
	for _, o := range k.orders {
		if there[o.RunRef] || !look.Partial {
			k.settleClosed(o, there[o.RunRef], asked)
		}
		if o.ended || !missing(o.RunRef) || o.confirmed.IsZero() || !o.confirmed.Before(asked) {
			continue
		}
		key, err := queue.ParseTaskKey(string(o.Task))
		if err != nil {
			continue
		}
		o.ended = true
		end := queue.End{Task: key, Run: o.Run, Outcome: queue.OutcomeLost, Reason: "the executor knows nothing of it"}
		if o.gaveUp {
			end.Outcome, end.Reason = queue.OutcomeRefused, notStarted
		}
		ends = append(ends, end)
	}
	return ends
}

// ParseEnds returns the ends that an executor lists. What is not a run of ours is left
// out; it is acknowledged with the others.
func ParseEnds(rows []rudderfork.EndedRun) (ends []queue.End) {
	for _, e := range rows {
		if key, err := queue.ParseTaskKey(string(e.Task)); err == nil {
			ends = append(ends, queue.End{Task: key, Run: e.Run, Outcome: queue.Outcome(e.Outcome), Checkpoint: e.Checkpoint})
		}
	}
	return ends
}

// checkRunning stops a run that control does not want here, as listed by an account
// that was asked for at the given time. A start that was held back may begin a run
// after its stop was confirmed, and after its end was reported; only an account
// shows it. The contract says that a stop bars such a start; nothing here rests on
// that but the end that is concluded. A run is listed also while its stop takes its
// time, and no stop is sent for that.
func (k *Reconciler) checkRunning(ref rudderfork.RunRef, asked time.Time) {
	if !k.synced {
		return
	}
	o := k.orders[ref.Task]
	if stray := k.strays[ref]; stray != nil {
		stray.stopAgain(asked)
	} else if o == nil || o.Run != ref.Run || o.ended {
		k.strays[ref] = &order{RunOrder: wire.RunOrder{RunRef: ref}, stop: true}
	} else {
		o.stopAgain(asked)
	}
}

// stopAgain has the stop of a run sent again that an account asked for at the given
// time lists.
func (o *order) stopAgain(asked time.Time) {
	if o.stoppedBefore(asked.Add(-stopSpan)) {
		o.confirmed, o.retryAt = time.Time{}, time.Time{}
	}
}

// stoppedBefore reports whether the executor confirmed the stop before the given time.
func (o *order) stoppedBefore(at time.Time) bool {
	return o.stop && !o.confirmed.IsZero() && o.confirmed.Before(at)
}

// ForgetEnded forgets runs whose ends are committed.
func (k *Reconciler) ForgetEnded(ends []queue.End) {
	for _, e := range ends {
		ref := e.Task.Ref(e.Run)
		if o := k.orders[ref.Task]; o != nil && o.Run == ref.Run {
			delete(k.orders, ref.Task)
		}
	}
}

// DesiredRuns returns the orders by task, for pacing. Runs that are to stop are not
// among them.
func (k *Reconciler) DesiredRuns() map[rudderfork.TaskID]wire.RunOrder {
	w := make(map[rudderfork.TaskID]wire.RunOrder, len(k.orders))
	for id, o := range k.orders {
		if !o.stop && !o.ended {
			w[id] = o.RunOrder
		}
	}
	return w
}
