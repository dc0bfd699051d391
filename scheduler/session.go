package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/state"
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
)

var errNotLeading = errors.New("another control process leads")

// session is the connection of one front or agent.
type session struct {
	s      *Scheduler
	conn   *wire.Conn[wire.ToQueueNode, wire.FromNode]
	hello  wire.QueueHello
	term   uint64
	cancel context.CancelFunc
	out    chan wire.ToQueueNode
	woken  chan struct{}

	// Guarded by the scheduler's mu.
	vm    rudderfork.VMID // of an agent, once its first heartbeat came
	life  string          // of its executor
	epoch uint64          // of the VM; 0 until registered
	full  bool            // the full list was sent in this epoch
	sent  map[rudderfork.RunRef]bool
	stops map[rudderfork.RunRef]bool // sent
	told  map[imagePair]float64      // effects that were sent
}

// Accept takes the sessions of fronts and agents.
func (s *Scheduler) Accept(w http.ResponseWriter, r *http.Request) {
	c, err := wire.Accept[wire.ToQueueNode, wire.FromNode](w, r)
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
		woken: make(chan struct{}, 1), sent: map[rudderfork.RunRef]bool{}, stops: map[rudderfork.RunRef]bool{},
		told: map[imagePair]float64{},
	}
	if !s.open(ses) {
		_ = c.Send(ctx, wire.ToQueueNode{Redirect: s.redirect()}) // the node asks another if it is lost
		return
	}
	s.log.Info().Str("node", hello.Process).Msg("queue_session_opened")
	err = ses.run(ctx)
	s.close(ses)
	s.log.Info().Str("node", hello.Process).AnErr("error", err).Msg("queue_session_closed")
}

func receiveHello(ctx context.Context, c *wire.Conn[wire.ToQueueNode, wire.FromNode]) (*wire.QueueHello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	m, err := c.Receive(ctx)
	switch {
	case err != nil:
		return nil, err
	case m.Hello == nil:
		return nil, errors.New("the first message is no hello")
	case m.Hello.Version != wire.Version:
		return nil, fmt.Errorf("%s speaks version %d; want %d", m.Hello.Process, m.Hello.Version, wire.Version)
	}
	return m.Hello, nil
}

// open takes a session in, if this process leads and its duties have begun.
func (s *Scheduler) open(ses *session) bool {
	term := s.rep.Status().Term // before mu: View takes the replica's lock first
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term == 0 || s.term != term {
		return false
	}
	ses.term = s.term
	s.sessions[ses] = true
	return true
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

func (ses *session) wake() {
	select {
	case ses.woken <- struct{}{}:
	default:
	}
}

func (ses *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer ses.conn.Close()
		defer cancel()
		ses.write(ctx)
	}()
	ses.reply(wire.ToQueueNode{Welcome: &wire.QueueWelcome{Term: ses.term, Members: addrsOf(ses.s.rep.Status())}})
	for {
		m, err := ses.receive(ctx)
		if err != nil {
			return err
		}
		switch {
		case m.Ask != nil:
			go ses.ask(ctx, *m.Ask)
		case m.Beat != nil:
			err = ses.beat(ctx, *m.Beat)
		case m.Ends != nil:
			err = ses.ends(ctx, *m.Ends)
		case m.Ping != 0:
			ses.reply(wire.ToQueueNode{Pong: m.Ping})
		}
		if err != nil {
			return err
		}
	}
}

func (ses *session) receive(ctx context.Context) (wire.FromNode, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	return ses.conn.Receive(ctx)
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
		case <-ses.woken:
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

// orders returns what the VM has not been told yet.
func (ses *session) orders() (o *wire.Orders, ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		o = ses.newOrders(st.Queues())
	})
	return o, o.Full || len(o.Start)+len(o.Stop) > 0
}

// newOrders compares what was sent with what is to run. The caller holds mu.
func (ses *session) newOrders(qs *queue.State) *wire.Orders {
	o := &wire.Orders{Epoch: ses.epoch, Life: ses.life}
	vm := qs.VM(ses.vm)
	if ses.epoch == 0 || vm == nil || vm.Epoch != ses.epoch || !vm.Live {
		return o
	}
	o.Full = !ses.full
	ses.full = true
	active := map[rudderfork.RunRef]bool{}
	for k, run := range vm.Runs() {
		ref := rudderfork.RunRef{Task: rudderfork.TaskID(k.String()), Run: run}
		active[ref] = true
		if !ses.sent[ref] {
			ses.sent[ref] = true
			o.Start = append(o.Start, orderOf(qs.Job(k.Job), k, ref))
		}
		if _, stop := ses.s.fleet.stops[ref]; stop && !ses.stops[ref] {
			ses.stops[ref] = true
			o.Stop = append(o.Stop, ref)
		}
	}
	for ref := range ses.sent {
		if active[ref] {
			continue
		}
		// Its end is known, or was concluded from elsewhere; stopping what has
		// ended does nothing.
		delete(ses.sent, ref)
		if !ses.stops[ref] {
			o.Stop = append(o.Stop, ref)
		}
		delete(ses.stops, ref)
	}
	if len(o.Start) > 0 {
		// A filler's pace is right from its start only if its effects are known.
		c := crewOf(qs, vm, ses.s.fleet.vm(ses.vm))
		for k := range vm.Runs() {
			c.add(qs.Job(k.Job).Spec.Steps[k.Step])
		}
		o.Effects = ses.s.fleet.effects.news(c, ses.told, steady.Now())
	}
	return o
}

func orderOf(j *queue.Job, k queue.TaskKey, ref rudderfork.RunRef) wire.RunOrder {
	st := j.Spec.Steps[k.Step]
	return wire.RunOrder{
		RunRef: ref, Payload: j.Spec.Payload, Checkpoint: j.Task(k).Checkpoint, Ticket: ticketOf(j.Task(k), ref.Run),
		TailMS: st.TailMS, Filler: st.Filler, Image: st.Image, CPUMilli: st.Size.CPUMilli,
	}
}

// ticketOf returns the ticket that a run was started with.
func ticketOf(t *queue.Task, number uint32) string {
	for _, r := range t.Runs {
		if r.Number == number {
			return r.Ticket
		}
	}
	return ""
}

// beat takes a VM's heartbeat, registers the VM where that is needed, and
// grants it a lease.
func (ses *session) beat(ctx context.Context, b wire.VMBeat) error {
	if !b.Mute {
		if err := ses.register(ctx, b.VM); err != nil {
			return err
		}
	}
	s, now := ses.s, steady.Now()
	st := s.rep.Status()
	if !st.Leads() || st.Term != ses.term {
		return errNotLeading
	}
	grant := wire.VMGrant{Sent: b.Sent, Life: b.VM.Life, Epoch: ses.epoch}
	s.mu.Lock()
	v := s.fleet.vm(b.VM.ID)
	fresh := v.session != ses
	v.session = ses
	v.take(b, now)
	if !b.Mute && ses.epoch != 0 {
		grant.LeaseMS = v.lease.Grant(time.Unix(0, st.ContactNS), now, s.cfg.Lease).Milliseconds()
	}
	s.mu.Unlock()
	grant.Effects = ses.learn(now)
	ses.reply(wire.ToQueueNode{Grant: &grant})
	if fresh {
		ses.wake()
		s.kick()
	}
	return nil
}

// learn draws on the VM's account for the effects of fillers, and returns those
// that its agent lacks.
func (ses *session) learn(now time.Time) (list []wire.PairEffect) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		vm := st.Queues().VM(ses.vm)
		if vm == nil {
			return
		}
		v := ses.s.fleet.vm(ses.vm)
		c := crewOf(st.Queues(), vm, v)
		ses.s.fleet.effects.learn(c, v.beat, now)
		list = ses.s.fleet.effects.news(c, ses.told, now)
	})
	return list
}

// register commits the VM's description if it is new.
func (ses *session) register(ctx context.Context, vm queue.VM) error {
	if ses.registered(vm) || !ses.mayRegister(vm.ID) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if _, err := ses.s.do(ctx, queue.Command{Register: &vm}); err != nil {
		return err
	}
	ses.s.log.Info().Str("registered_vm", string(vm.ID)).Str("life", vm.Life).Stringer("capacity", vm.Capacity).
		Strs("labels", vm.Labels).Msg("vm_registered")
	ses.s.mu.Lock()
	ses.s.fleet.vm(vm.ID).lease.Renew()
	ses.s.mu.Unlock()
	if !ses.registered(vm) {
		return errNotLeading
	}
	return nil
}

// mayRegister reports whether a VM may be registered, and gives it time to fetch
// its first lease. While its loss is being committed it may not: a lease granted
// after that would outlive the runs it was granted for.
func (ses *session) mayRegister(id rudderfork.VMID) (ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		v, known := ses.s.fleet.vm(id), st.Queues().VM(id)
		ok = !v.lease.Expiring() || known == nil || !known.Live
		if ok {
			v.lease.Assume(steady.Now().Add(ses.s.cfg.Lease))
		}
	})
	return ok
}

// registered reports whether the state knows the VM as it describes itself, and
// takes over its epoch.
func (ses *session) registered(vm queue.VM) (ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		known := st.Queues().VM(vm.ID)
		ok = known != nil && known.Live && known.Same(vm) && !ses.s.fleet.vm(vm.ID).lease.Expiring()
		if !ok {
			return
		}
		if ses.epoch != known.Epoch {
			ses.vm, ses.life, ses.epoch, ses.full = vm.ID, known.Life, known.Epoch, false
			clear(ses.sent)
			clear(ses.stops)
			ses.wake()
		}
	})
	return ok
}

// ends commits the ends that a VM reports, then says so.
func (ses *session) ends(ctx context.Context, r wire.EndsReport) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	res, err := ses.s.do(ctx, queue.Command{Ends: &r.Ends})
	if err != nil {
		return err
	}
	ses.reply(wire.ToQueueNode{Noted: &wire.Noted{Seq: r.Seq}})
	now := steady.Now()
	for i, e := range r.Ends.List {
		if !res.Taken[i] {
			continue
		}
		ses.s.met.ends.WithLabelValues(string(e.How)).Inc()
		ses.s.mu.Lock()
		ses.s.fleet.learn(r.Ends.VM, e, now)
		ses.s.mu.Unlock()
		ses.s.log.Info().Str("task", e.Task.String()).Uint32("run", e.Run).Str("on", string(r.Ends.VM)).
			Str("how", string(e.How)).Str("reason", e.Reason).Msg("task_ended")
		ses.s.record("task_ended", e.Task.String(), "on "+string(r.Ends.VM)+": "+string(e.How)+" "+e.Reason)
	}
	return nil
}
