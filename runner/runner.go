// Package runner is the process beside a VM's executor: it carries out what
// package runs decides, tells the leader how the VM is, and paces fillers.
//
// Four loops share one Keeper. The confirm loop finds out which life the executor
// is in; the look loop asks it for its account and waits there for ends; the call
// loop sends starts and stops; the beat loop sends heartbeats, each of which brings
// a lease back.
//
// A life of the executor goes through these steps: it describes itself (described),
// answers a look that is meant for it and is taken up (known), says farewell (leaving),
// answers no more looks and is reported as left. Where another life answers instead it
// is over, and is asked about again after a while if it still describes itself.
package runner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/internal/wakeup"
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
	// them: as often as executors renew their figures (seen in trials).
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
	// absentAfter is how many looks in succession must find that nothing listens at the
	// executor's address before the VM counts as mute. (A crash was known to the leader
	// after 1.2 to 1.7 s, in which it placed up to ten tasks there; two looks take 0.15 s.)
	absentAfter = 2
	// leftAfter is how many looks in succession, without an answer, tell that an
	// executor has ended after its farewell. A single answer may have been lost, and
	// a run that is taken for over is stopped by nobody.
	leftAfter = 2
)

// Agent runs one VM's tasks. It is safe for concurrent use.
type Agent struct {
	exec    rudderfork.Executor
	session *session.Client
	log     zerolog.Logger
	met     *metrics

	kicked wakeup.Signal // the call loop has something to do
	beatUp wakeup.Signal // a heartbeat is due at once
	askUp  wakeup.Signal // a life has described itself that is not confirmed

	mu        sync.Mutex
	keeper    *runs.Reconciler
	vm        queue.VM
	known     bool                    // vm describes a life of the executor
	leaving   bool                    // the executor has said farewell, and ends
	described map[string]*description // lives that the executor has not confirmed yet
	over      []endedLife             // lives that were found over lately, the newest last
	altered   queue.VM                // a description that contradicts the one before
	draining  bool
	leaveAt   time.Time
	seenAt    time.Time // when the executor last answered a look
	rows      map[rudderfork.RunRef]rudderfork.RunStatus
	told      map[rudderfork.RunRef]rudderfork.RunStatus // rows that the leader has
	paces     map[rudderfork.RunRef]int                  // speeds of fillers in percent, as last asked for
	pressures map[interference.Pair]float64
	guard     pace.Guard
	last      map[rudderfork.RunRef]bool // the other tasks of their steps wait for them

	alteredSeen int // how often altered came in succession

	unanswered int // looks in succession
	notReached int // looks in succession at whose address nothing listened

	exposures map[rudderfork.RunRef]*exposure
	begun     map[rudderfork.RunRef]time.Time // when starts were confirmed
	unsure    map[rudderfork.RunRef]time.Time // when starts first were left without an answer
	silentAt  time.Time                       // first look or start without an answer since the last one with; zero if none
	lifeAt    time.Time                       // when its life was taken up
	crashed   *queue.Crash                    // the life before, until the present one is registered
	worked    map[string]float64              // shares of fillers by image, at the last look

	reports  map[uint64]report // not noted yet
	reportID uint64
	acked    uint64        // ends of the executor's list that were noted
	noted    chan struct{} // closed at the next Noted
}

// New returns an agent that drives exec.
func New(process string, seeds func() []string, exec rudderfork.Executor, log zerolog.Logger) *Agent {
	a := &Agent{
		exec: exec, log: log, met: newMetrics(), kicked: wakeup.New(), beatUp: wakeup.New(), askUp: wakeup.New(),
		described: map[string]*description{}, keeper: runs.New(), pressures: map[interference.Pair]float64{}, reports: map[uint64]report{},
	}
	a.session = session.New(process, seeds, a, log)
	a.forget()
	return a
}

// forget drops what concerned a life of the executor, but for reports of its
// ends, which stay true. The caller holds mu.
func (a *Agent) forget() {
	a.rows = map[rudderfork.RunRef]rudderfork.RunStatus{}
	a.told = map[rudderfork.RunRef]rudderfork.RunStatus{}
	a.paces = map[rudderfork.RunRef]int{}
	a.exposures = map[rudderfork.RunRef]*exposure{}
	a.begun = map[rudderfork.RunRef]time.Time{}
	a.unsure = map[rudderfork.RunRef]time.Time{}
	a.worked = nil
	a.guard = pace.Guard{}
	a.acked = 0
	a.leaving = false
	a.noted = make(chan struct{})
	a.seenAt, a.unanswered, a.notReached = steady.Now(), 0, 0
	a.silentAt, a.lifeAt = time.Time{}, a.seenAt
}

// Services returns the agent's loops, for a supervisor.
func (a *Agent) Services() []suture.Service {
	return []suture.Service{a.session, loop{"confirm", a.confirmLoop}, loop{"look", a.lookLoop}, loop{"calls", a.callLoop}, loop{"beat", a.beatLoop}}
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

// Opened implements session.Handler. Ends go before the first heartbeat: with a
// new life, the leader counts what the old one ran as lost.
func (a *Agent) Opened(w wire.QueueWelcome) {
	a.mu.Lock()
	a.keeper.SetTerm(w.Term)
	a.told = map[rudderfork.RunRef]rudderfork.RunStatus{}
	for _, id := range slices.Sorted(maps.Keys(a.reports)) {
		a.session.Send(a.reports[id].message(id)) // if it fails, the next session sends it again
	}
	if learned := a.learned(); len(learned) > 0 {
		a.session.Send(wire.FromNode{KnownPressures: learned}) // if it fails, the leader learns anew
	}
	a.mu.Unlock()
	a.beatUp.Set()
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
		a.takeLast(m.Grant.LastOfStep)
		if m.Grant.LeaseMS > 0 {
			a.takeRegistered(m.Grant.Incarnation)
			a.keeper.Grant(m.Grant.Incarnation, m.Grant.Epoch, leaseOf(m.Grant))
		}
	case m.Orders != nil:
		a.takePressures(m.Orders.Pressures)
		a.keeper.ApplyOrders(*m.Orders)
		a.log.Debug().Uint64("epoch", m.Orders.Epoch).Bool("full", m.Orders.Full).
			Int("start", len(m.Orders.Start)).Int("stop", len(m.Orders.Stop)).Msg("orders")
	case m.EndsAck != nil:
		a.takeNoted(m.EndsAck.Seq)
	default:
		return
	}
	a.kicked.Set()
}

// leaseOf is what a grant allows, by this process's clock.
func leaseOf(g *wire.VMGrant) runs.Lease {
	sent := time.Unix(0, g.Sent)
	l := runs.Lease{Until: sent.Add(time.Duration(g.LeaseMS) * time.Millisecond), Cordoned: g.Cordoned}
	l.StartBy = l.Until
	if g.StartMS != nil {
		l.StartBy = sent.Add(time.Duration(*g.StartMS) * time.Millisecond)
	}
	return l
}
