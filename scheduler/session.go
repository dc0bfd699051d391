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
	// outQueue bounds the answers that wait for a node that does not read.
	outQueue = 256
	// helloTimeout bounds the opening of a session.
	helloTimeout = 2 * time.Second
	// silenceLimit ends a session that sent nothing for so long; nodes send a
	// heartbeat twice a second.
	silenceLimit = 3 * time.Second
	// fullListTimeout is how long after a full list was sent an agent may not have told that it has
	// it: two of its heartbeats.
	fullListTimeout = time.Second
	// leaderWait bounds how long a node waits for word of a leader: less than it waits
	// for a process that does not answer.
	leaderWait = 400 * time.Millisecond
)

var errNotLeading = errors.New("another control process leads")

// session is the connection of one front or agent.
type session struct {
	s         *Scheduler
	conn      *wire.Conn[wire.ToQueueNode, wire.FromNode]
	hello     wire.QueueHello
	number    uint64 // rises with each session that is opened
	term      uint64
	cancel    context.CancelFunc
	out       chan wire.ToQueueNode
	ordersDue wakeup.Signal // orders may have changed

	reports *reportQueue // of an agent

	// Guarded by the scheduler's mu.
	vm           rudderfork.VMID // of an agent, once its first heartbeat came
	incarnation  string          // of its executor
	epoch        uint64          // of the VM; 0 until registered
	fullListSent bool            // the full list was sent in this epoch
	firstInTerm  bool            // in the term, of the VM's agent
	// fullListDeadline is until when the agent may not have told that it has the full list.
	fullListDeadline time.Time
	ordersVersion    vmVersion // for which orders were worked out last

	cordoned      bool // the last orders said that nothing more is started on the VM
	startsSent    map[rudderfork.RunRef]bool
	stopsSent     map[rudderfork.RunRef]bool    // sent
	pressuresSent map[interference.Pair]float64 // pressures that were sent
}

// Accept takes the sessions of fronts and agents.
func (s *Scheduler) Accept(w http.ResponseWriter, r *http.Request) {
	c, err := wire.Accept[wire.ToQueueNode, wire.FromNode](w, r, wire.QueueSession)
	if err != nil {
		s.log.Warn().Err(err).Msg("queue_session_refused")
		return
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	hello, err := receiveHello(ctx, c)
	if err != nil {
		s.log.Warn().Err(err).Msg("queue_hello_refused")
		return
	}
	ses := &session{
		s: s, conn: c, hello: *hello, cancel: cancel, out: make(chan wire.ToQueueNode, outQueue),
		ordersDue: wakeup.New(), startsSent: map[rudderfork.RunRef]bool{}, stopsSent: map[rudderfork.RunRef]bool{},
		pressuresSent: map[interference.Pair]float64{},
	}
	ses.reports = newReportQueue(ses.ends)
	if !s.openOrRedirect(ctx, ses) {
		_ = c.Send(ctx, wire.ToQueueNode{Redirect: s.redirect()}) // the node asks another if it is lost
		return
	}
	s.log.Info().Str("node", hello.Process).Msg("queue_session_opened")
	err = ses.run(ctx)
	s.close(ses)
	s.log.Info().Str("node", hello.Process).AnErr("error", err).Msg("queue_session_closed")
}

func receiveHello(ctx context.Context, c *wire.Conn[wire.ToQueueNode, wire.FromNode]) (*wire.QueueHello, error) {
	m, err := c.ReceiveWithin(ctx, helloTimeout)
	switch {
	case err != nil:
		return nil, err
	case m.Hello == nil:
		return nil, errors.New("the first message is no hello")
	}
	return m.Hello, wire.CheckVersion(m.Hello.Process, m.Hello.Version)
}

// open takes a session in, if this process leads now and its duties have begun in
// the present term. That they have not ended shows nothing: they may be waiting
// for a commit that will not come.
func (s *Scheduler) open(ses *session) bool {
	st := s.rep.Status() // before mu: View takes the replica's lock first
	s.mu.Lock()
	defer s.mu.Unlock()
	if !st.Leads() || s.term != st.Term {
		return false
	}
	s.opened++
	ses.number, ses.term = s.opened, s.term
	s.sessions[ses] = true
	return true
}

// openOrRedirect takes a session in, or waits until this process knows who else leads. A
// fleet that has lost its leader asks all processes at once, and would ask again and again
// while one is elected.
func (s *Scheduler) openOrRedirect(ctx context.Context, ses *session) (opened bool) {
	limit := time.NewTimer(leaderWait)
	defer limit.Stop()
	for {
		changed := s.rep.Changed()
		if s.open(ses) {
			return true
		}
		if st := s.rep.Status(); st.Leader.ID != "" && st.Leader.ID != st.ID {
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

// leads reports whether this process still leads in a term. Its duties may be
// waiting for a commit that will not come, so they are not asked.
func (s *Scheduler) leads(term uint64) bool {
	st := s.rep.Status()
	return st.Leads() && st.Term == term
}

func (s *Scheduler) close(ses *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ses)
	if v := s.fleet.vms[ses.vm]; v != nil && v.session == ses {
		v.session = nil
	}
}

// redirect says where the leader is, as far as this process knows.
func (s *Scheduler) redirect() *wire.QueueRedirect {
	st := s.rep.Status()
	r := &wire.QueueRedirect{Members: addrsOf(st)}
	if st.Leader.ID != st.ID {
		r.Leader = st.Leader.Addr
	}
	return r
}

func addrsOf(st replica.Status) (addrs []string) {
	for _, m := range st.Members {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

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

// handle takes a message of the node.
func (ses *session) handle(ctx context.Context, m wire.FromNode) error {
	if !ses.s.leads(ses.term) {
		return errNotLeading // the node finds the one that does
	}
	switch {
	case m.Request != nil:
		go ses.handleRequest(ctx, *m.Request)
	case m.Heartbeat != nil:
		return ses.heartbeat(ctx, *m.Heartbeat)
	case m.Ends != nil:
		return ses.reports.Add(ctx, *m.Ends)
	case len(m.KnownPressures) > 0:
		ses.s.assume(m.KnownPressures)
	case m.Ping != 0:
		ses.reply(wire.ToQueueNode{Pong: m.Ping})
	}
	return nil
}

// reply queues a message; a node that reads too little loses the session.
func (ses *session) reply(m wire.ToQueueNode) {
	select {
	case ses.out <- m:
	default:
		ses.cancel()
	}
}

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
