package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// ErrNoControl means that no leader of control is connected; nothing was asked.
var ErrNoControl = errors.New("control cannot be reached")

// errStale means that the session said hello before Reconnect was called.
var errStale = errors.New("the hello is out of date")

// ErrOutcomeUnknown means that the answer of control did not come; what was asked may
// have been done.
var ErrOutcomeUnknown = errors.New("control did not answer")

const (
	// redialPause is the rest after a failed attempt, for each address.
	redialPause = 50 * time.Millisecond
	// silenceBeats is how many beats without an answer end a session.
	silenceBeats = 3
	// outQueue bounds the messages that wait for control.
	outQueue = 1024
)

// Handler takes what control pushes. Calls come from one goroutine.
type Handler interface {
	// Hello describes this process at the start of a session.
	Hello() wire.Hello
	// Heartbeat describes its state, once a beat.
	Heartbeat() wire.Heartbeat
	// Handle takes a message that is neither an update nor a result.
	Handle(m wire.ToNode)
}

// Client keeps a session with the leader of control. It is safe for concurrent
// use.
type Client struct {
	addrs []string
	every time.Duration
	table *Table
	h     Handler
	log   zerolog.Logger

	out   wire.Outbox[wire.ToControl]
	calls *wire.Calls[wire.CommandResult]

	mu     sync.Mutex
	next   int
	kick   context.CancelFunc
	hellos uint64 // rises with each call of Reconnect
}

// NewClient returns a client of the control processes at addrs, which beats at
// the given interval.
func NewClient(addrs []string, every time.Duration, t *Table, h Handler, log zerolog.Logger) *Client {
	return &Client{addrs: addrs, every: every, table: t, h: h, log: log, calls: wire.NewCalls[wire.CommandResult]()}
}

// String names the service in the supervisor's log.
func (c *Client) String() string { return "control-session" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		addr := c.addrs[c.next%len(c.addrs)]
		err := c.session(ctx, addr)
		c.log.Debug().Str("addr", addr).AnErr("error", err).Msg("control_session_ended")
		c.next++
		steady.Pause(ctx, redialPause)
	}
	return ctx.Err()
}

// Reconnect ends the session, so that the next one says hello anew. A session
// that is being set up, and may have said hello already, ends too.
func (c *Client) Reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hellos++
	if c.kick != nil {
		c.kick()
	}
}

// Connected reports whether a leader is connected.
func (c *Client) Connected() bool { return c.out.Connected() }

func (c *Client) session(ctx context.Context, addr string) error {
	conn, err := wire.Dial[wire.ToControl, wire.ToNode](ctx, "ws://"+addr+"/node", wire.NodeSession)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	hellos := c.hellos
	c.mu.Unlock()
	hello := c.h.Hello()
	hello.Version = wire.Version
	hello.TableRevision = c.table.Revision()
	if err := conn.Send(ctx, wire.ToControl{Hello: &hello}); err != nil {
		return err
	}
	out := make(chan wire.ToControl, outQueue)
	go func() {
		defer conn.Close()
		defer cancel()
		c.write(ctx, conn, out)
	}()
	defer c.close()
	return c.read(ctx, conn, link{out, cancel, hellos})
}

func (c *Client) read(ctx context.Context, conn *wire.Conn[wire.ToControl, wire.ToNode], l link) error {
	for {
		m, err := conn.ReceiveWithin(ctx, silenceBeats*c.every)
		if err != nil {
			return err
		}
		switch {
		case m.Redirect != nil:
			c.prefer(m.Redirect.Addr)
			return ErrNoControl
		case m.Welcome != nil:
			if !c.open(l) {
				return errStale
			}
			c.h.Handle(m)
		case m.Update != nil:
			if c.table.Apply(*m.Update) {
				c.log.Info().Uint64("revision", uint64(m.Update.To)).Int("cells", len(m.Update.Cells)).Msg("table_in_force")
				c.h.Handle(m)
				c.beat(l.out) // confirm at once
			}
		case m.Result != nil:
			c.calls.Answer(m.Result.ID, *m.Result)
		default:
			c.h.Handle(m)
		}
	}
}

// prefer tries the leader's address next, if it is one of the settings.
func (c *Client) prefer(addr string) {
	for i, a := range c.addrs {
		if a == addr {
			c.next = i - 1 + len(c.addrs) // Serve adds one
		}
	}
}

func (c *Client) write(ctx context.Context, conn *wire.Conn[wire.ToControl, wire.ToNode], out chan wire.ToControl) {
	tick := time.NewTicker(c.every)
	defer tick.Stop()
	for {
		var m wire.ToControl
		select {
		case <-ctx.Done():
			return
		case m = <-out:
		case <-tick.C:
			m = c.beatMessage()
		}
		if conn.Send(ctx, m) != nil {
			return
		}
	}
}

func (c *Client) beatMessage() wire.ToControl {
	b := c.h.Heartbeat()
	b.TableRevision = c.table.Revision()
	return wire.ToControl{Heartbeat: &b}
}

func (c *Client) beat(out chan wire.ToControl) {
	select {
	case out <- c.beatMessage():
	default:
	}
}

// link is a session being set up.
type link struct {
	out    chan wire.ToControl
	kick   context.CancelFunc
	hellos uint64 // when hello was said
}

// open makes the session the one in use, unless its hello is out of date.
func (c *Client) open(l link) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.hellos != c.hellos {
		return false
	}
	c.out.Open(l.out)
	c.kick = l.kick
	return true
}

// close ends the session; what was asked in it gets no answer.
func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kick = nil
	c.out.Close()
	c.calls.End()
}

// Send queues a message; false means that it was surely not sent.
func (c *Client) Send(m wire.ToControl) bool { return c.out.Send(m) }

// Claim asks for a claim.
func (c *Client) Claim(ctx context.Context, a state.Acquire) (state.Result, error) {
	return c.ask(ctx, func(id uint64) wire.ToControl {
		return wire.ToControl{Claim: &wire.ClaimRequest{ID: id, Claim: a}}
	})
}

// Settle records how a claimed request ended.
func (c *Client) Settle(ctx context.Context, s state.Settle) (state.Result, error) {
	return c.ask(ctx, func(id uint64) wire.ToControl {
		return wire.ToControl{Settle: &wire.SettleRequest{ID: id, Settle: s}}
	})
}

func (c *Client) ask(ctx context.Context, build func(id uint64) wire.ToControl) (res state.Result, err error) {
	id, answer := c.calls.Open()
	defer c.calls.Forget(id)
	if !c.Send(build(id)) {
		return res, ErrNoControl
	}
	select {
	case r, ok := <-answer:
		if !ok || r.Failed != "" {
			return res, ErrOutcomeUnknown
		}
		return r.Result, nil
	case <-ctx.Done():
		return res, ErrOutcomeUnknown
	}
}
