package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/internal/wakeup"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

const (
	// outQueue is the maximum number of answers that may wait for a node that reads
	// slowly. If one more is queued, the session ends.
	outQueue = 256
	// commandTimeout bounds the commit of a command.
	commandTimeout = 3 * time.Second
)

// session is the connection of one entry or agent. Each push sends everything that
// is newer than what was sent before, so that pushes need no queue.
type session struct {
	hub        *hub
	connNumber uint64 // see hub.nextConnNumber
	conn       *wire.Conn[wire.ToNode, wire.ToControl]
	hello      wire.Hello
	epoch      rudderfork.Token // of the VM's registration; 0 if the hello had none
	out        chan wire.ToNode // queued answers
	woken      wakeup.Signal

	mu   sync.Mutex
	sent sentRevisions
}

// sentRevisions holds the newest revisions that a session has sent.
type sentRevisions struct {
	table      rudderfork.Revision
	upstreams  rudderfork.Revision // of the list of upstreams; 0 for an agent
	assign     rudderfork.Revision // of the VM's assignments; 0 for an entry
	updateSent bool                // an update of the table was sent; a node gets one even if its table is current
}

func receiveHello(ctx context.Context, c *wire.Conn[wire.ToNode, wire.ToControl]) (*wire.Hello, error) {
	m, err := c.ReceiveWithin(ctx, helloTimeout)
	switch {
	case err != nil:
		return nil, err
	case m.Hello == nil:
		return nil, errors.New("the first message is not a hello")
	}
	return m.Hello, wire.CheckVersion(m.Hello.Process, m.Hello.Version)
}

func newSession(h *hub, c *wire.Conn[wire.ToNode, wire.ToControl], connNumber uint64, hello wire.Hello) *session {
	s := &session{
		hub: h, connNumber: connNumber, conn: c, hello: hello, sent: sentRevisions{table: hello.TableRevision},
		out: make(chan wire.ToNode, outQueue), woken: wakeup.New(),
	}
	s.woken.Set()
	return s
}

// register commits the registration of the VM, if the hello has one.
func (s *session) register(ctx context.Context) error {
	if s.hello.Register == nil {
		return nil
	}
	reg, err := s.hub.beginRegistration(s.hello.Place.VM, s.connNumber)
	if err != nil {
		return err
	}
	defer s.hub.endRegistration(reg)
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	res, err := s.hub.rep.Do(ctx, state.Command{Register: s.hello.Register})
	if err != nil {
		return err
	}
	s.epoch = res.Epoch
	s.hub.allowGrants(s.hello.Place.VM, steady.Now())
	return nil
}

// needsPush reports whether st holds something that the session has not sent, or
// the session has to end.
func (s *session) needsPush(st *state.State) bool {
	s.mu.Lock()
	sent := s.sent
	s.mu.Unlock()
	if st.Revision() > sent.table {
		return true
	}
	if s.hello.Kind == wire.KindEntry {
		return st.UpstreamRevision() > sent.upstreams
	}
	v := st.VM(s.hello.Place.VM)
	return s.epoch != 0 && (v == nil || !v.Live || v.Epoch != s.epoch || v.Revision > sent.assign)
}

func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer s.conn.Close()
		defer cancel()
		s.writeLoop(ctx)
	}()
	for {
		m, err := s.conn.ReceiveWithin(ctx, silenceLimit)
		if err != nil {
			return err
		}
		if m.Heartbeat != nil && s.epoch != 0 && s.hub.superseded(s.hello.Place.VM, s.connNumber) {
			return errSuperseded
		}
		s.handle(ctx, m)
	}
}

// writeLoop sends pushes and queued answers until the session ends.
func (s *session) writeLoop(ctx context.Context) {
	welcome := wire.ToNode{Welcome: &wire.Welcome{Epoch: s.epoch}}
	if s.conn.Send(ctx, welcome) != nil {
		return
	}
	s.grant()
	for {
		// Answers go first, so that a lease doesn't wait for a long update.
		select {
		case m := <-s.out:
			if s.conn.Send(ctx, m) != nil {
				return
			}
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case m := <-s.out:
			if s.conn.Send(ctx, m) != nil {
				return
			}
		case <-s.woken:
			if !s.push(ctx) {
				return
			}
		}
	}
}

// push sends everything that is new. It returns false if the session has to end.
func (s *session) push(ctx context.Context) bool {
	ms, lost := s.unsentMessages()
	if lost {
		return false
	}
	for _, m := range ms {
		if s.conn.Send(ctx, m) != nil {
			return false
		}
	}
	return true
}

// unsentMessages returns messages with everything that is newer than what was
// sent. lost is true if the VM's registration is no longer valid, so that the agent
// has to register again.
func (s *session) unsentMessages() (ms []wire.ToNode, lost bool) {
	s.hub.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if rev := st.Revision(); rev > s.sent.table || !s.sent.updateSent {
			cells := nodeCells(st.CellsAfter(s.sent.table))
			ms = append(ms, wire.ToNode{Update: &wire.Update{From: s.sent.table, To: rev, Cells: cells}})
			s.sent.table, s.sent.updateSent = rev, true
		}
		if s.hello.Kind == wire.KindEntry {
			if rev := st.UpstreamRevision(); rev > s.sent.upstreams {
				ms = append(ms, wire.ToNode{Upstreams: &wire.Upstreams{Revision: rev, List: upstreams(st)}})
				s.sent.upstreams = rev
			}
			return
		}
		if s.epoch == 0 {
			return
		}
		v := st.VM(s.hello.Place.VM)
		if v == nil || !v.Live || v.Epoch != s.epoch {
			lost = true
			return
		}
		if v.Revision > s.sent.assign {
			leases := st.Leases(v.Place.VM)
			s.hub.models.setSlowdowns(leases, v.Services, steady.Now())
			ms = append(ms, wire.ToNode{Assign: &wire.Assign{
				Epoch: s.epoch, Revision: v.Revision, Leases: leases, Draining: v.Draining,
			}})
			s.sent.assign = v.Revision
		}
	})
	return ms, lost
}

// nodeCells returns cs without the cells of jobs, which only control processes read.
func nodeCells(cs []rudderfork.Cell) []rudderfork.Cell {
	var out []rudderfork.Cell
	for _, c := range cs {
		if c.Key.Kind != rudderfork.RowJob {
			out = append(out, c)
		}
	}
	return out
}

// upstreams returns the list of upstreams for entries.
func upstreams(st *state.State) []wire.UpstreamInfo {
	var us []wire.UpstreamInfo
	oldest := rudderfork.Millis(steady.Now().Add(-lostUpstreamRetention))
	for _, v := range st.VMs() {
		if len(v.Services) == 0 || !v.Live && v.LostAt < oldest {
			continue
		}
		us = append(us, wire.UpstreamInfo{Place: v.Place, Addr: v.Addr, Boot: v.Boot, Services: v.Services, Leaving: v.Draining})
	}
	return us
}

func (s *session) handle(ctx context.Context, m wire.ToControl) {
	switch {
	case m.Heartbeat != nil:
		s.handleHeartbeat(*m.Heartbeat)
	case m.Reports != nil:
		go s.commitReports(ctx, *m.Reports)
	case m.Claim != nil:
		go s.commitCommand(ctx, m.Claim.ID, state.Command{Claim: &m.Claim.Claim})
	case m.Settle != nil:
		go s.commitCommand(ctx, m.Settle.ID, state.Command{Settle: &m.Settle.Settle})
	case m.Decisions != nil:
		for _, n := range m.Decisions {
			s.hub.rec.Record(rudderfork.Event{Kind: n.What, Subject: string(n.Task), Text: n.Reason})
		}
	}
}

func (s *session) handleHeartbeat(hb wire.Heartbeat) {
	var newest rudderfork.Revision
	s.hub.rep.View(func(st *state.State) {
		newest = st.Revision()
		if s.hello.Kind == wire.KindAgent {
			s.hub.models.observeHeartbeat(st, s.hello.Place.VM, hb, steady.Now())
		}
	})
	s.hub.recordHeartbeat(s.hello.Process, hb.TableRevision, newest)
	if s.epoch == 0 {
		s.enqueue(wire.ToNode{Grant: &wire.Grant{}})
		return
	}
	if hb.Epoch == s.epoch {
		s.grant()
	}
}

// grant extends the lease of the VM and sends it, if the VM may be granted one.
func (s *session) grant() {
	if s.epoch == 0 {
		return
	}
	if d, ok := s.hub.grant(s.hello.Place.VM); ok {
		s.enqueue(wire.ToNode{Grant: &wire.Grant{Epoch: s.epoch, Deadline: rudderfork.Millis(d)}})
	}
}

// enqueue queues a message. If the queue is full, it closes the session.
func (s *session) enqueue(m wire.ToNode) {
	select {
	case s.out <- m:
	default:
		s.conn.Close()
	}
}

// commitReports commits the outcomes of attempts. The agent repeats a report until
// its assignments no longer list the attempt.
func (s *session) commitReports(ctx context.Context, b wire.ReportBatch) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	c := state.Command{Reports: &state.Reports{VM: s.hello.Place.VM, Reports: b.Reports}}
	res, err := s.hub.rep.Do(ctx, c)
	if err != nil {
		return
	}
	for i, r := range b.Reports {
		if !res.Accepted[i] {
			continue // a repeated report
		}
		s.hub.models.forgetTask(r.Task)
		s.hub.rec.Record(rudderfork.Event{Kind: "task_" + string(r.Outcome), Subject: string(r.Task), Text: fmt.Sprintf("token %d on %s, %d units saved %s", r.Token, s.hello.Place.VM, r.Checkpoint, r.Reason)})
	}
	s.enqueue(wire.ToNode{ReportsAck: &wire.ReportsAck{ID: b.ID}})
}

// commitCommand commits a command that the node has requested under id, and sends the
// result.
func (s *session) commitCommand(ctx context.Context, id uint64, c state.Command) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	res, err := s.hub.rep.Do(ctx, c)
	out := wire.CommandResult{ID: id, Result: res}
	if err != nil {
		out.Failed = err.Error()
	}
	s.enqueue(wire.ToNode{Result: &out})
}
