// Package runner is the process beside a VM's executor: it carries out what
// package runs decides, tells the leader how the VM is, and paces fillers.
//
// Three loops share one Keeper. The look loop asks the executor for its account
// and waits there for ends; the call loop sends starts and stops; the beat loop
// sends heartbeats, each of which brings a lease back.
package runner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/pace"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/runs"
	"rudderfork.example/rudderfork/session"
	"rudderfork.example/rudderfork/wire"
)

const (
	// beatEvery is between two heartbeats. A lease of seconds survives several
	// lost ones, and the leader hears of changes of load in time.
	beatEvery = 500 * time.Millisecond
	// lookWait is how long the executor holds an answer back while there is no
	// end to tell; pacedWait is the same while serving tasks have fillers beside
	// them, whose effect is seen in half a second.
	lookWait  = 1000 * time.Millisecond
	pacedWait = 250 * time.Millisecond
	// lookTimeout is added to the wait before a look is given up.
	lookTimeout = 700 * time.Millisecond
	// callTimeout bounds one start, stop or pace.
	callTimeout = 500 * time.Millisecond
	// notedTimeout bounds the wait for the leader to take note of ends before
	// the executor is looked at again.
	notedTimeout = 300 * time.Millisecond
	// failPause is between looks that fail.
	failPause = 150 * time.Millisecond
	// muteAfter is how long the executor may leave looks unanswered before the
	// VM counts as mute and asks for no lease.
	muteAfter = 1200 * time.Millisecond
)

// Agent runs one VM's tasks. It is safe for concurrent use.
type Agent struct {
	exec    rudderfork.Executor
	session *session.Client
	log     zerolog.Logger
	met     *metrics

	kicked chan struct{} // the call loop has something to do
	beatUp chan struct{} // a heartbeat is due at once

	mu        sync.Mutex
	keeper    *runs.Keeper
	vm        queue.VM
	known     bool   // vm describes a life of the executor
	leaving   bool   // the executor has said farewell, and ends
	left      string // life that has left, and never comes back
	draining  bool
	leaveAt   time.Time
	seenAt    time.Time // when the executor last answered a look
	rows      map[rudderfork.RunRef]rudderfork.RunRow
	told      map[rudderfork.RunRef]rudderfork.RunRow // rows that the leader has
	paces     map[rudderfork.RunRef]int               // speeds of fillers in percent, as last asked for
	pressures map[pair]float64
	guard     pace.Guard

	exposures map[rudderfork.RunRef]*exposure
	begun     map[rudderfork.RunRef]time.Time // when starts were confirmed
	worked    map[string]float64              // shares of fillers by image, at the last look

	reports  map[uint64]report // not noted yet
	reportID uint64
	acked    uint64        // ends of the executor's list that were noted
	noted    chan struct{} // closed at the next Noted
}

// report is ends on their way to the leader.
type report struct {
	ends queue.Ends
	left bool   // the life has left: whatever else ran there is over
	upTo uint64 // row of the executor's list that they reach
}

func (r report) message(id uint64) wire.FromNode {
	return wire.FromNode{Ends: &wire.EndsReport{Seq: id, Ends: r.ends, Left: r.left}}
}

// New returns an agent that drives exec.
func New(process string, seeds func() []string, exec rudderfork.Executor, log zerolog.Logger) *Agent {
	a := &Agent{
		exec: exec, log: log, met: newMetrics(), kicked: make(chan struct{}, 1), beatUp: make(chan struct{}, 1),
		keeper: runs.New(), pressures: map[pair]float64{}, reports: map[uint64]report{},
	}
	a.session = session.New(process, seeds, a, log)
	a.forget()
	return a
}

// forget drops what concerned a life of the executor, but for reports of its
// ends, which stay true. The caller holds mu.
func (a *Agent) forget() {
	a.rows = map[rudderfork.RunRef]rudderfork.RunRow{}
	a.told = map[rudderfork.RunRef]rudderfork.RunRow{}
	a.paces = map[rudderfork.RunRef]int{}
	a.exposures = map[rudderfork.RunRef]*exposure{}
	a.begun = map[rudderfork.RunRef]time.Time{}
	a.worked = nil
	a.guard = pace.Guard{}
	a.acked = 0
	a.leaving = false
	a.noted = make(chan struct{})
	a.seenAt = steady.Now()
}

// Services returns the agent's loops, for a supervisor.
func (a *Agent) Services() []suture.Service {
	return []suture.Service{a.session, loop{"look", a.lookLoop}, loop{"calls", a.callLoop}, loop{"beat", a.beatLoop}}
}

// loop is a supervised loop.
type loop struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (l loop) Serve(ctx context.Context) error { return l.run(ctx) }

// String names the service in the supervisor's log.
func (l loop) String() string { return l.name }

// Describe takes the executor's description of itself. leave is the time that
// is left at least while it drains.
func (a *Agent) Describe(vm queue.VM, draining bool, leave time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if vm.Life == a.left {
		return // it was under way while that life left
	}
	changed := !a.known || !a.vm.Same(vm) || a.draining != draining
	if a.keeper.Life() != vm.Life {
		a.log.Info().Str("life", vm.Life).Str("before", a.keeper.Life()).Stringer("capacity", vm.Capacity).
			Strs("labels", vm.Labels).Msg("executor_life")
		a.keeper.Reset(vm.Life)
		a.forget()
	}
	if a.draining != draining {
		a.log.Info().Bool("draining", draining).Dur("leave", leave).Msg("executor_draining")
	}
	a.vm, a.known, a.draining, a.leaveAt = vm, true, draining, steady.Now().Add(leave)
	a.keeper.SetDraining(draining)
	if changed {
		wake(a.beatUp)
		wake(a.kicked)
	}
}

// Life returns the executor's life that the agent knows, or "".
func (a *Agent) Life() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keeper.Life()
}

// Gone notes the executor's farewell. It ends now, but has perhaps ends to list
// that nobody has seen: they are looked for until it answers no more.
func (a *Agent) Gone(life string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keeper.Life() != life || a.leaving {
		return
	}
	a.log.Info().Str("life", life).Msg("executor_leaving")
	a.leaving = true
}

// depart tells the leader that the life has left, so that its work begins
// elsewhere without waiting for the lease. The caller holds mu.
func (a *Agent) depart() {
	a.left = a.keeper.Life()
	a.log.Info().Str("life", a.left).Msg("executor_gone")
	a.send(report{ends: queue.Ends{VM: a.vm.ID, Life: a.left}, left: true})
	a.lost()
}

// replaced notes that the life is over and another has begun. The caller holds
// mu.
func (a *Agent) replaced() {
	a.log.Info().Str("life", a.keeper.Life()).Msg("executor_replaced")
	if a.leaving {
		a.depart()
		return
	}
	a.lost()
}

// lost forgets the executor until it describes itself anew. The caller holds mu.
func (a *Agent) lost() {
	a.keeper.Reset("")
	a.forget()
	a.known = false
}

func wake(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Opened implements session.Handler. Ends go before the first heartbeat: with a
// new life, the leader counts what the old one ran as lost.
func (a *Agent) Opened(w wire.QueueWelcome) {
	a.mu.Lock()
	a.keeper.SetTerm(w.Term)
	a.told = map[rudderfork.RunRef]rudderfork.RunRow{}
	for _, id := range slices.Sorted(maps.Keys(a.reports)) {
		a.session.Send(a.reports[id].message(id)) // if it fails, the next session sends it again
	}
	if learned := a.learned(); len(learned) > 0 {
		a.session.Send(wire.FromNode{Learned: learned}) // if it fails, the leader learns anew
	}
	a.mu.Unlock()
	wake(a.beatUp)
}

// Closed implements session.Handler.
func (a *Agent) Closed() {}

// Handle implements session.Handler.
func (a *Agent) Handle(m wire.ToQueueNode) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case m.Grant != nil:
		a.takePressures(m.Grant.Pressures)
		if m.Grant.LeaseMS > 0 {
			sent := time.Unix(0, m.Grant.Sent)
			a.keeper.Grant(m.Grant.Life, m.Grant.Epoch, sent.Add(time.Duration(m.Grant.LeaseMS)*time.Millisecond))
		}
	case m.Orders != nil:
		a.takePressures(m.Orders.Pressures)
		a.keeper.Order(*m.Orders)
		a.log.Debug().Uint64("epoch", m.Orders.Epoch).Bool("full", m.Orders.Full).
			Int("start", len(m.Orders.Start)).Int("stop", len(m.Orders.Stop)).Msg("orders")
	case m.Noted != nil:
		a.takeNoted(m.Noted.Seq)
	default:
		return
	}
	wake(a.kicked)
}

// takeNoted forgets ends that are committed. The caller holds mu.
func (a *Agent) takeNoted(id uint64) {
	r, ok := a.reports[id]
	if !ok {
		return
	}
	delete(a.reports, id)
	if r.ends.Life != a.keeper.Life() {
		return
	}
	a.keeper.Noted(r.ends.List)
	a.acked = max(a.acked, r.upTo)
	close(a.noted)
	a.noted = make(chan struct{})
}

// report sends ends of the present life to the leader. The caller holds mu.
func (a *Agent) report(ends []queue.End, upTo uint64) {
	a.reportOf(a.keeper.Life(), ends, upTo)
}

// reportOf sends ends of a life to the leader. The caller holds mu.
func (a *Agent) reportOf(life string, ends []queue.End, upTo uint64) {
	if len(ends) == 0 {
		return
	}
	for _, e := range ends {
		a.met.ends.WithLabelValues(string(e.How)).Inc()
	}
	a.send(report{ends: queue.Ends{VM: a.vm.ID, Life: life, List: ends}, upTo: upTo})
}

// send sends a report, and keeps it until it is noted. The caller holds mu.
func (a *Agent) send(r report) {
	a.reportID++
	a.reports[a.reportID] = r
	a.session.Send(r.message(a.reportID))
}

// beatLoop sends heartbeats.
func (a *Agent) beatLoop(ctx context.Context) error {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		if b, ok := a.beat(); ok {
			a.session.Send(wire.FromNode{Beat: &b})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-a.beatUp:
		}
	}
}

// beat returns a heartbeat, with the rows that have changed.
func (a *Agent) beat() (b wire.VMBeat, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known {
		return b, false
	}
	now := steady.Now()
	b = wire.VMBeat{Sent: now.UnixNano(), VM: a.vm, Draining: a.draining, Mute: now.Sub(a.seenAt) > muteAfter}
	b.Measured, b.Worked, a.worked = a.worked != nil, a.worked, nil
	if a.draining {
		b.LeaveMS = max(0, a.leaveAt.Sub(now).Milliseconds())
	}
	for ref, row := range a.rows {
		row.Held = fullPace - a.paceOf(ref)
		if a.told[ref] != row {
			a.told[ref] = row
			b.Rows = append(b.Rows, row)
		}
	}
	for ref := range a.told {
		if _, there := a.rows[ref]; !there {
			delete(a.told, ref)
		}
	}
	return b, true
}

// callLoop sends starts and stops as they fall due.
func (a *Agent) callLoop(ctx context.Context) error {
	timer := time.NewTimer(beatEvery)
	defer timer.Stop()
	for {
		timer.Reset(a.sendDue(ctx))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.kicked:
		case <-timer.C:
		}
	}
}

// sendDue sends the calls that are due, and returns when to look again.
func (a *Agent) sendDue(ctx context.Context) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	calls, ends := a.keeper.Due(now)
	a.report(ends, 0)
	life, fence := a.keeper.Life(), a.keeper.Fence()
	for _, c := range calls {
		go a.call(ctx, life, fence, c)
	}
	wait := beatEvery
	if at, ok := a.keeper.RetryAt(); ok {
		wait = min(wait, max(time.Millisecond, at.Sub(now)))
	}
	return wait
}

// call makes one call and hands its answer to the keeper.
func (a *Agent) call(ctx context.Context, life string, fence uint64, c runs.Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out rudderfork.StartOutcome
	var err error
	began := steady.Now()
	if c.Start != nil {
		out, err = a.exec.Start(ctx, life, *c.Start)
	} else {
		err = a.exec.Stop(ctx, life, c.Ref, fence)
	}
	now := steady.Now()
	a.noteCall(c, out, err, now.Sub(began))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keeper.Life() != life {
		return // it concerned a life that is over
	}
	if errors.Is(err, rudderfork.ErrOtherLife) {
		a.replaced()
		return
	}
	if c.Start == nil {
		a.keeper.Stopped(c.Ref, err, now)
	} else if end := a.keeper.Started(c.Ref, out, err, now); end != nil {
		a.report([]queue.End{*end}, 0)
	}
	if err == nil && c.Start != nil && out == rudderfork.Started {
		a.begun[c.Ref] = now
		a.adjustPace(ctx)
	}
	wake(a.kicked)
}

func (a *Agent) noteCall(c runs.Call, out rudderfork.StartOutcome, err error, took time.Duration) {
	kind, outcome := "stop", "ok"
	if c.Start != nil {
		kind, outcome = "start", out.String()
	}
	if err != nil {
		outcome = "unanswered"
	}
	a.met.calls.WithLabelValues(kind, outcome).Inc()
	a.met.took.WithLabelValues(kind).Observe(took.Seconds())
	a.log.Info().Str("call", kind).Str("task", string(c.Ref.Task)).Uint32("run", c.Ref.Run).Str("outcome", outcome).
		Dur("took", took).AnErr("error", err).Msg("executor_called")
}
