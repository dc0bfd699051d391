package scheduler

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/interference"
	"rudderfork.example/rudderfork/internal/wakeup"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/wire"
)

const (
	// outQueue bounds the messages that wait for a node that reads slowly. One more ends the
	// session.
	outQueue = 256
	// helloTimeout is how long a new connection may take to send its hello.
	helloTimeout = 2 * time.Second
	// silenceLimit ends a session in which nothing was received for that long; nodes send a
	// heartbeat twice a second.
	silenceLimit = 3 * time.Second
	// fullListTimeout is for how long after a full list is sent an agent's heartbeats may
	// still show another epoch: two heartbeat intervals.
	fullListTimeout = time.Second
	// leaderWait is how long a hello waits for a leader to be known. It is shorter than the
	// time after which a node gives up on a process that does not answer.
	leaderWait = 400 * time.Millisecond
)

var errNotLeading = errors.New("this process no longer leads in the session's term")

// session is the connection of one front or agent. Its read loop (run) handles messages one
// after the other; a second goroutine sends (write), a third commits reported ends (reports).
type session struct {
	s         *Scheduler
	conn      *wire.Conn[wire.ToQueueNode, wire.FromNode]
	hello     wire.QueueHello
	number    uint64 // 1 for the first session that this process opens, and so on
	term      uint64 // term in which the session was opened
	cancel    context.CancelFunc
	out       chan wire.ToQueueNode // messages to send
	ordersDue wakeup.Signal         // orders may have changed

	reports *reportQueue // an agent's reports of ended runs, until they are committed

	// Guarded by the scheduler's mu.
	vm           rudderfork.VMID // VM of an agent, once it is registered; "" before
	incarnation  string          // incarnation of the VM's executor
	epoch        uint64          // epoch of the VM's registration; 0 until registered
	fullListSent bool            // the full list was sent in this epoch
	firstInTerm  bool            // no earlier session of the term has had a heartbeat from the VM
	// fullListDeadline is when the agent's heartbeats must show that it has the full list.
	fullListDeadline time.Time
	ordersVersion    vmVersion // version of the VM for which orders were computed last

	cordoned      bool                          // the last orders said that no more runs are started on the VM
	startsSent    map[rudderfork.RunRef]bool    // runs whose start was sent, until they end
	stopsSent     map[rudderfork.RunRef]bool    // the runs in startsSent whose stop was sent
	pressuresSent map[interference.Pair]float64 // the values that the agent has
}

// Accept serves a session of a front or an agent until it ends. If another process leads, it
// sends a redirect.
func (s *Scheduler) Accept(w http.ResponseWriter, r *http.Request) {
	conn, err := wire.Accept[wire.ToQueueNode, wire.FromNode](w, r, wire.QueueSession)
	if err != nil {
		s.log.Warn().Err(err).Msg("queue_session_refused")
		return
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	hello, err := receiveHello(ctx, conn)
	if err != nil {
		s.log.Warn().Err(err).Msg("queue_hello_refused")
		return
	}
	ses := &session{
		s: s, conn: conn, hello: *hello, cancel: cancel, out: make(chan wire.ToQueueNode, outQueue),
		ordersDue: wakeup.New(), startsSent: map[rudderfork.RunRef]bool{}, stopsSent: map[rudderfork.RunRef]bool{},
		pressuresSent: map[interference.Pair]float64{},
	}
	ses.reports = newReportQueue(ses.commitEnds)
	if !s.openOrRedirect(ctx, ses) {
		_ = conn.Send(ctx, wire.ToQueueNode{Redirect: s.redirect()}) // if it is lost, the node tries another process
		return
	}
	s.log.Info().Str("node", hello.Process).Msg("queue_session_opened")
	err = ses.run(ctx)
	s.close(ses)
	s.log.Info().Str("node", hello.Process).AnErr("error", err).Msg("queue_session_closed")
}

func receiveHello(ctx context.Context, conn *wire.Conn[wire.ToQueueNode, wire.FromNode]) (*wire.QueueHello, error) {
	m, err := conn.ReceiveWithin(ctx, helloTimeout)
	switch {
	case err != nil:
		return nil, err
	case m.Hello == nil:
		return nil, errors.New("first message is not a hello")
	}
	return m.Hello, wire.CheckVersion(m.Hello.Process, m.Hello.Version)
}

// open adds a session if this process leads and has started the current term. It is not enough that
// s.term is set: a round may be waiting for a commit that never completes, while another process
// leads already.
func (s *Scheduler) open(ses *session) bool {
	status := s.rep.Status() // before mu: View takes the replica's lock first
	s.mu.Lock()
	defer s.mu.Unlock()
	if !status.Leads() || s.term != status.Term {
		return false
	}
	s.sessionsOpened++
	ses.number, ses.term = s.sessionsOpened, s.term
	s.sessions[ses] = true
	return true
}

// openOrRedirect opens a session, or waits up to leaderWait until it is known which other
// process leads; false means that the node is to be redirected. Without the wait, a fleet that
// has lost its leader would reconnect to all processes over and over during the election.
func (s *Scheduler) openOrRedirect(ctx context.Context, ses *session) (opened bool) {
	limit := time.NewTimer(leaderWait)
	defer limit.Stop()
	for {
		changed := s.rep.Changed()
		if s.open(ses) {
			return true
		}
		if status := s.rep.Status(); status.Leader.ID != "" && status.Leader.ID != status.ID {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-limit.C:
			return false
		case <-changed:
		case <-time.After(roundPause):
		}
	}
}

// leads reports whether this process still leads in a term. It queries the replica because s.term is
// outdated while a round waits for a commit that never completes.
func (s *Scheduler) leads(term uint64) bool {
	status := s.rep.Status()
	return status.Leads() && status.Term == term
}

func (s *Scheduler) close(ses *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ses)
	if v := s.fleet.vms[ses.vm]; v != nil && v.session == ses {
		v.session = nil
	}
}

// redirect returns the address of the leader, if it is known, and those of all members.
func (s *Scheduler) redirect() *wire.QueueRedirect {
	status := s.rep.Status()
	r := &wire.QueueRedirect{Members: addrsOf(status)}
	if status.Leader.ID != status.ID {
		r.Leader = status.Leader.Addr
	}
	return r
}

func addrsOf(status replica.Status) (addrs []string) {
	for _, m := range status.Members {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// run serves the session until its connection fails, a message cannot be processed or ctx ends.
func (ses *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		defer ses.conn.Close()
		defer cancel(nil)
		ses.write(ctx)
	}()
	go func() { cancel(ses.reports.Run(ctx)) }()
	ses.reply(wire.ToQueueNode{Welcome: &wire.QueueWelcome{Term: ses.term, Members: addrsOf(ses.s.rep.Status())}})
	for {
		m, err := ses.conn.ReceiveWithin(ctx, silenceLimit)
		if err != nil {
			return cmp.Or(context.Cause(ctx), err)
		}
		if err := ses.handle(ctx, m); err != nil {
			return err
		}
	}
}

// handle processes one message of the node. An error ends the session.
func (ses *session) handle(ctx context.Context, m wire.FromNode) error {
	if !ses.s.leads(ses.term) {
		return errNotLeading // the node reconnects, to the process that leads
	}
	switch {
	case m.Request != nil:
		go ses.handleRequest(ctx, *m.Request)
	case m.Heartbeat != nil:
		return ses.handleHeartbeat(ctx, *m.Heartbeat)
	case m.Ends != nil:
		return ses.reports.Add(ctx, *m.Ends)
	case len(m.KnownPressures) > 0:
		ses.s.assumePressures(m.KnownPressures)
	case m.Ping != 0:
		ses.reply(wire.ToQueueNode{Pong: m.Ping})
	}
	return nil
}

// reply queues a message for the node. If the queue is full, the session ends.
func (ses *session) reply(m wire.ToQueueNode) {
	select {
	case ses.out <- m:
	default:
		ses.cancel()
	}
}

// write sends replies, and orders whenever they are due, until ctx ends or a send fails.
func (ses *session) write(ctx context.Context) {
	for {
		var m wire.ToQueueNode
		select {
		case <-ctx.Done():
			return
		case m = <-ses.out:
		case <-ses.ordersDue:
			o, ok := ses.orders()
			if !ok {
				continue
			}
			m = wire.ToQueueNode{Orders: o}
		}
		if ses.conn.Send(ctx, m) != nil {
			return
		}
	}
}
