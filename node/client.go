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

// ErrNoControl means that no leader of the control processes is connected; the request was not
// sent.
var ErrNoControl = errors.New("control cannot be reached")

// errStaleHello means that the hello of the session was made before Reconnect was called.
var errStaleHello = errors.New("the hello of the session is out of date")

// ErrOutcomeUnknown means that no answer, or only an error, came; the request may have been carried
// out.
var ErrOutcomeUnknown = errors.New("control did not answer")

const (
	// redialInterval is the pause after each session or failed attempt to connect.
	redialInterval = 50 * time.Millisecond
	// maxSilentHeartbeats is how many heartbeat intervals without a message end a session.
	maxSilentHeartbeats = 3
	// outQueue bounds the messages queued for the control process.
	outQueue = 1024
)

// Handler describes this process and handles what the control process sends. Hello, Handle and the
// Heartbeat after an update are called by the goroutine of Client.Serve, the periodic Heartbeat by
// another.
type Handler interface {
	// Hello describes this process at the start of a session.
	Hello() wire.Hello
	// Heartbeat returns the state of this process, for each heartbeat.
	Heartbeat() wire.Heartbeat
	// Handle handles a message that the client does not handle itself, a welcome, or an update that
	// was applied to the table.
	Handle(m wire.ToNode)
}

// Client maintains a session with the leader of the control processes. It is safe for concurrent
// use.
type Client struct {
	addrs             []string
	heartbeatInterval time.Duration
	table             *Table
	h                 Handler
	log               zerolog.Logger

	out   wire.Outbox[wire.ToControl]
	calls *wire.Calls[wire.CommandResult]

	mu              sync.Mutex
	nextIndex       int                // index of the next session's address, modulo their number; used only by Serve
	endSession      context.CancelFunc // of the current session; nil if there is none
	helloGeneration uint64             // rises with each call of Reconnect
}

// NewClient returns a client of the control processes at addrs, which sends heartbeats at the given
// interval.
func NewClient(addrs []string, interval time.Duration, t *Table, h Handler, log zerolog.Logger) *Client {
	return &Client{addrs: addrs, heartbeatInterval: interval, table: t, h: h, log: log, calls: wire.NewCalls[wire.CommandResult]()}
}

// String names the service in the supervisor's log.
func (c *Client) String() string { return "control-session" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		addr := c.addrs[c.nextIndex%len(c.addrs)]
		err := c.runSession(ctx, addr)
		c.log.Debug().Str("addr", addr).AnErr("error", err).Msg("control_session_ended")
		c.nextIndex++
		steady.Pause(ctx, redialInterval)
	}
	return ctx.Err()
}

// Reconnect ends the session, so that the next one sends a new hello. A session that is being set
// up, and may have sent its hello already, ends too.
func (c *Client) Reconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.helloGeneration++
	if c.endSession != nil {
		c.endSession()
	}
}

// Connected reports whether a leader is connected.
func (c *Client) Connected() bool { return c.out.Connected() }

// runSession runs one session with the process at addr, until it ends.
func (c *Client) runSession(ctx context.Context, addr string) error {
	conn, err := wire.Dial[wire.ToControl, wire.ToNode](ctx, "ws://"+addr+"/node", wire.NodeSession)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	generation := c.helloGeneration
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
	return c.read(ctx, conn, pendingSession{out, cancel, generation})
}

// read handles the messages of a session until it ends. The session becomes the current one with its
// welcome.
func (c *Client) read(ctx context.Context, conn *wire.Conn[wire.ToControl, wire.ToNode], s pendingSession) error {
	for {
		m, err := conn.ReceiveWithin(ctx, maxSilentHeartbeats*c.heartbeatInterval)
		if err != nil {
			return err
		}
		switch {
		case m.Redirect != nil:
			c.prefer(m.Redirect.Addr)
			return ErrNoControl
		case m.Welcome != nil:
			if !c.open(s) {
				return errStaleHello
			}
			c.h.Handle(m)
		case m.Update != nil:
			if c.table.Apply(*m.Update) {
				c.log.Info().Uint64("revision", uint64(m.Update.To)).Int("cells", len(m.Update.Cells)).Msg("table_in_force")
				c.h.Handle(m)
				c.sendHeartbeat(s.out) // confirm the revision at once
			}
		case m.Result != nil:
			c.calls.Answer(m.Result.ID, *m.Result)
		default:
			c.h.Handle(m)
		}
	}
}

// prefer makes the next session use the leader's address, if it is a configured one.
func (c *Client) prefer(addr string) {
	for i, a := range c.addrs {
		if a == addr {
			c.nextIndex = i - 1 + len(c.addrs) // Serve adds one
		}
	}
}

// write sends the queued messages and periodic heartbeats until the session ends.
func (c *Client) write(ctx context.Context, conn *wire.Conn[wire.ToControl, wire.ToNode], out chan wire.ToControl) {
	tick := time.NewTicker(c.heartbeatInterval)
	defer tick.Stop()
	for {
		var m wire.ToControl
		select {
		case <-ctx.Done():
			return
		case m = <-out:
		case <-tick.C:
			m = c.heartbeatMessage()
		}
		if conn.Send(ctx, m) != nil {
			return
		}
	}
}

func (c *Client) heartbeatMessage() wire.ToControl {
	b := c.h.Heartbeat()
	b.TableRevision = c.table.Revision()
	return wire.ToControl{Heartbeat: &b}
}

// sendHeartbeat queues a heartbeat, unless the queue is full.
func (c *Client) sendHeartbeat(out chan wire.ToControl) {
	select {
	case out <- c.heartbeatMessage():
	default:
	}
}

// pendingSession is a session that is being set up.
type pendingSession struct {
	out             chan wire.ToControl
	end             context.CancelFunc
	helloGeneration uint64 // Client.helloGeneration when the hello was made
}

// open makes the session the current one, unless its hello is out of date.
func (c *Client) open(s pendingSession) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.helloGeneration != c.helloGeneration {
		return false
	}
	c.out.Open(s.out)
	c.endSession = s.end
	return true
}

// close ends the session. Its open calls end without an answer.
func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endSession = nil
	c.out.Close()
	c.calls.End()
}

// Send queues a message. If it returns false, the message was certainly not sent.
func (c *Client) Send(m wire.ToControl) bool { return c.out.Send(m) }

// Claim requests the claim to a request; see state.Acquire.
func (c *Client) Claim(ctx context.Context, a state.Acquire) (state.Result, error) {
	return c.call(ctx, func(id uint64) wire.ToControl {
		return wire.ToControl{Claim: &wire.ClaimRequest{ID: id, Claim: a}}
	})
}

// Settle records the answer to a claimed request, or releases its claim.
func (c *Client) Settle(ctx context.Context, s state.Settle) (state.Result, error) {
	return c.call(ctx, func(id uint64) wire.ToControl {
		return wire.ToControl{Settle: &wire.SettleRequest{ID: id, Settle: s}}
	})
}

// call sends a request and waits for its answer. build makes the request of a call ID.
func (c *Client) call(ctx context.Context, build func(id uint64) wire.ToControl) (res state.Result, err error) {
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
