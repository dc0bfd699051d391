// Package runner implements the agent that runs beside a VM's executor. The agent makes
// the calls that package runs decides on, reports the VM's state to the leader, and paces
// fillers.
//
// Four loops share one Reconciler. The confirm loop finds out which incarnation the
// executor has. The poll loop polls its status with long polls, which return early when a
// run ends. The call loop sends starts and stops. The heartbeat loop sends heartbeats to
// the leader, which answers each with a lease.
//
// An incarnation of the executor goes through these states. It sends a description of
// itself. It is recognized once it answers a poll that is addressed to it. It may send a
// shutdown notice. Once it no longer answers polls after that, it is reported as left. If
// another incarnation answers a poll instead, it has ended. If descriptions of an ended
// incarnation still arrive, the executor is polled for it again after a while.
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
	// heartbeatInterval is the time between two heartbeats. It is short enough that a lease
	// of seconds survives several lost ones, and that the leader learns of changes of load
	// in time.
	heartbeatInterval = 500 * time.Millisecond
	// pollWait is how long the executor may delay its answer to a poll while no run has
	// ended. colocatedPollWait is the same while serving tasks share the VM with fillers: the
	// period at which executors update their measurements.
	pollWait          = 1000 * time.Millisecond
	colocatedPollWait = 250 * time.Millisecond
	// pollTimeout is how much longer than the requested delay the agent waits for the answer.
	pollTimeout = 700 * time.Millisecond
	// callTimeout bounds a start, stop or change of pace.
	callTimeout = 500 * time.Millisecond
	// ackTimeout bounds the wait for the leader to acknowledge ends before the next poll.
	ackTimeout = 300 * time.Millisecond
	// retryDelay is the time between polls that fail.
	retryDelay = 150 * time.Millisecond
	// unresponsiveAfter is how long the executor may leave polls unanswered before the VM
	// counts as unresponsive and asks for no lease.
	unresponsiveAfter = 1200 * time.Millisecond
	// unreachableAfter is how many polls in succession must find that nothing listens at
	// the executor's address before the VM counts as unresponsive. Two polls take 0.15 s.
	// Without this rule the leader learns of a crash after 1.2 to 1.7 s, and until then
	// places up to ten tasks there.
	unreachableAfter = 2
	// leftAfter is how many polls in succession must be unanswered before an executor that
	// has sent a shutdown notice counts as ended. One is not enough, since a single answer may
	// be lost, and nobody stops a run that wrongly counts as ended.
	leftAfter = 2
)

// Agent runs one VM's tasks. It is safe for concurrent use.
type Agent struct {
	exec    rudderfork.Executor
	session *session.Client
	log     zerolog.Logger
	met     *metrics

	callSignal      wakeup.Signal // wakes the call loop
	heartbeatSignal wakeup.Signal // requests a heartbeat at once
	confirmSignal   wakeup.Signal // wakes the confirm loop

	mu               sync.Mutex
	reconciler       *runs.Reconciler
	vm               queue.VM
	hasExecutor      bool                    // an incarnation is recognized, and vm describes it
	shuttingDown     bool                    // the executor has sent a shutdown notice
	descriptions     map[string]*description // of incarnations that are not confirmed yet
	ended            []endedIncarnation      // incarnations that recently proved to have ended, the newest last
	conflicting      queue.VM                // a description of the present incarnation that contradicts the accepted one
	draining         bool
	leaveNotBefore   time.Time                                  // as in description
	lastStatusAt     time.Time                                  // of the last accepted status, or of the recognition of the incarnation if later
	runStatuses      map[rudderfork.RunRef]rudderfork.RunStatus // the executor's running runs, by the last status
	reportedStatuses map[rudderfork.RunRef]rudderfork.RunStatus // statuses as last sent to the leader
	paces            map[rudderfork.RunRef]int                  // speeds of fillers in percent, as last requested
	pressures        map[interference.Pair]float64
	guard            pace.Guard
	lastOfStep       map[rudderfork.RunRef]bool // fillers that are among the last of their step

	conflictCount int // how often conflicting came in succession

	unansweredPolls  int // polls in succession without an answer
	unreachablePolls int // polls in succession that found nothing listening

	fillerSpeeds     map[rudderfork.RunRef]*fillerSpeed
	startedAt        map[rudderfork.RunRef]time.Time // when starts were confirmed, by run
	unansweredStarts map[rudderfork.RunRef]time.Time // when starts were first left unanswered, by run
	failingSince     time.Time                       // when a start or poll first failed since the last status or answered start; zero if none has
	incarnationSince time.Time                       // when the present incarnation was recognized
	lastCrash        *queue.Crash                    // report about the previous incarnation, until the present one is registered
	fillerUsage      map[string]float64              // CPU shares of fillers by image, as of the last poll; nil once sent

	reports     map[uint64]report // not acknowledged yet
	reportID    uint64
	ackedSeq    uint64        // highest Seq of the executor's ends that the leader has committed
	reportAcked chan struct{} // closed at the leader's next acknowledgement
}

// New returns an agent for the executor exec. process is the name of this process, and seeds returns
// the addresses of control processes in the settings.
func New(process string, seeds func() []string, exec rudderfork.Executor, log zerolog.Logger) *Agent {
	a := &Agent{
		exec: exec, log: log, met: newMetrics(), callSignal: wakeup.New(), heartbeatSignal: wakeup.New(), confirmSignal: wakeup.New(),
		descriptions: map[string]*description{}, reconciler: runs.New(), pressures: map[interference.Pair]float64{}, reports: map[uint64]report{},
	}
	a.session = session.New(process, seeds, a, log)
	a.resetIncarnation()
	return a
}

// resetIncarnation drops the state of the present incarnation, except reports of its ends, which
// stay valid. The caller holds mu.
func (a *Agent) resetIncarnation() {
	a.runStatuses = map[rudderfork.RunRef]rudderfork.RunStatus{}
	a.reportedStatuses = map[rudderfork.RunRef]rudderfork.RunStatus{}
	a.paces = map[rudderfork.RunRef]int{}
	a.fillerSpeeds = map[rudderfork.RunRef]*fillerSpeed{}
	a.startedAt = map[rudderfork.RunRef]time.Time{}
	a.unansweredStarts = map[rudderfork.RunRef]time.Time{}
	a.fillerUsage = nil
	a.guard = pace.Guard{}
	a.ackedSeq = 0
	a.shuttingDown = false
	a.reportAcked = make(chan struct{})
	a.lastStatusAt, a.unansweredPolls, a.unreachablePolls = steady.Now(), 0, 0
	a.failingSince, a.incarnationSince = time.Time{}, a.lastStatusAt
}

// Services returns the agent's session and loops, for a supervisor.
func (a *Agent) Services() []suture.Service {
	return []suture.Service{a.session, loop{"confirm", a.confirmLoop}, loop{"look", a.pollLoop}, loop{"calls", a.callLoop}, loop{"beat", a.heartbeatLoop}}
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

// Opened implements session.Handler. It sends ends before the first heartbeat: when the leader
// receives the heartbeat of a new incarnation, it counts the remaining runs of the old one as lost.
func (a *Agent) Opened(w wire.QueueWelcome) {
	a.mu.Lock()
	a.reconciler.SetTerm(w.Term)
	a.reportedStatuses = map[rudderfork.RunRef]rudderfork.RunStatus{}
	for _, id := range slices.Sorted(maps.Keys(a.reports)) {
		a.session.Send(a.reports[id].message(id)) // if it fails, the next session resends it
	}
	if learned := a.knownPressures(); len(learned) > 0 {
		a.session.Send(wire.FromNode{KnownPressures: learned}) // if it fails, the leader measures them again
	}
	a.mu.Unlock()
	a.heartbeatSignal.Set()
}

// Closed implements session.Handler.
func (a *Agent) Closed() {}

// Handle implements session.Handler.
func (a *Agent) Handle(m wire.ToQueueNode) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case m.Grant != nil:
		a.setPressures(m.Grant.Pressures)
		a.setLastOfStep(m.Grant.LastOfStep)
		if m.Grant.LeaseMS > 0 {
			a.handleRegistered(m.Grant.Incarnation)
			a.reconciler.Grant(m.Grant.Incarnation, m.Grant.Epoch, leaseOf(m.Grant))
		}
	case m.Orders != nil:
		a.setPressures(m.Orders.Pressures)
		a.reconciler.ApplyOrders(*m.Orders)
		a.log.Debug().Uint64("epoch", m.Orders.Epoch).Bool("full", m.Orders.Full).
			Int("start", len(m.Orders.Start)).Int("stop", len(m.Orders.Stop)).Msg("orders")
	case m.EndsAck != nil:
		a.handleAck(m.EndsAck.Seq)
	default:
		return
	}
	a.callSignal.Set()
}

// leaseOf converts a grant to a lease by this process's clock.
func leaseOf(g *wire.VMGrant) runs.Lease {
	sent := time.Unix(0, g.Sent)
	l := runs.Lease{Until: sent.Add(time.Duration(g.LeaseMS) * time.Millisecond), Cordoned: g.Cordoned}
	l.StartBy = l.Until
	if g.StartMS != nil {
		l.StartBy = sent.Add(time.Duration(*g.StartMS) * time.Millisecond)
	}
	return l
}
