// Package session maintains the connection of a front or of a VM's agent to the
// leader of the control processes, the queue session.
//
// A client has addresses of control processes from its settings, and more from the
// control processes that it has reached. It tries them in turn until it reaches the
// leader, and starts again when the leader stops answering.
package session

import (
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/wire"
)

const (
	// pingInterval is the time between two pings. Their answers keep an idle session open.
	pingInterval = 400 * time.Millisecond
	// receiveTimeout is the time without a message after which a session ends, three
	// ping intervals. A client takes that long to leave a partitioned leader.
	receiveTimeout = 1_200 * time.Millisecond
	// openTimeout bounds dialling and the handshake together.
	openTimeout = 600 * time.Millisecond
	// retryDelay is the wait after a failed attempt.
	retryDelay = 50 * time.Millisecond
	// sendQueueSize is the maximum number of messages that wait to be sent.
	sendQueueSize = 1024
	// maxMemberAddrs is the maximum number of member addresses that are kept.
	maxMemberAddrs = 32
)

var (
	// errRedirected means that the process has named another one as the leader.
	errRedirected = errors.New("another control process leads")
	// errNoLeader means that the process does not lead and knows no leader.
	errNoLeader = errors.New("control process knows no leader")
)

// Handler receives the events and messages of a session. All calls come from the
// goroutine of Client.Serve. Closed is also called when that ends during a session.
type Handler interface {
	Opened(w wire.QueueWelcome) // a session with the leader has started
	Handle(m wire.ToQueueNode)  // a message other than a pong or redirect
	Closed()                    // the session has ended
}

// Client maintains the session. It is safe for concurrent use.
type Client struct {
	process string          // name of this process
	seeds   func() []string // addresses from the settings
	h       Handler
	log     zerolog.Logger

	mu          sync.Mutex
	leaderAddr  string   // the leader, if a redirect has named it; used for one attempt
	memberAddrs []string // addresses of the control processes, as last received
	nextIndex   int      // index before that of the next address to try; wraps around

	out wire.Outbox[wire.FromNode]
}

// New returns a client for the process of this name. seeds returns the addresses that
// are in the settings at the time of the call.
func New(process string, seeds func() []string, h Handler, log zerolog.Logger) *Client {
	return &Client{process: process, seeds: seeds, h: h, log: log, nextIndex: initialIndex(process)}
}

// initialIndex returns the first value of Client.nextIndex. It depends on the process name, so that
// the clients of a fleet do not all try the same control process first.
func initialIndex(process string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(process)) // never fails
	return int(h.Sum32() >> 1)
}

// String names the service in the supervisor's log.
func (c *Client) String() string { return "queue-session" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		addr := c.nextAddr()
		if addr == "" {
			steady.Pause(ctx, retryDelay)
			continue
		}
		err := c.session(ctx, addr)
		if !errors.Is(err, errRedirected) {
			c.log.Debug().Str("addr", addr).AnErr("error", err).Msg("control_unreachable")
			steady.Pause(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// nextAddr returns the address to try next: the leader if a redirect has named it, else
// the members and the seeds in turn. It is "" if there are none.
func (c *Client) nextAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.leaderAddr; a != "" {
		c.leaderAddr = ""
		return a
	}
	all := slices.Clone(c.memberAddrs)
	for _, a := range c.seeds() {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return ""
	}
	c.nextIndex++
	return all[c.nextIndex%len(all)]
}

// setAddrs sets the leader's address for the next attempt, "" if it is not known, and replaces the
// addresses of the members if there are any.
func (c *Client) setAddrs(leader string, members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderAddr = leader
	if len(members) > 0 {
		c.memberAddrs = members[:min(len(members), maxMemberAddrs)]
	}
}

// session runs one session with the process at addr, until it ends.
func (c *Client) session(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, welcome, err := c.open(ctx, addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	c.setAddrs("", welcome.Members)
	out := make(chan wire.FromNode, sendQueueSize)
	go func() {
		defer conn.Close()
		defer cancel()
		write(ctx, conn, out)
	}()
	c.out.Open(out)
	c.log.Info().Str("addr", addr).Uint64("term", welcome.Term).Msg("control_connected")
	c.h.Opened(*welcome)
	err = c.read(ctx, conn)
	c.out.Close()
	c.h.Closed()
	c.log.Info().Str("addr", addr).AnErr("error", err).Msg("control_lost")
	return err
}

// open dials addr and performs the handshake within openTimeout.
func (c *Client) open(ctx context.Context, addr string) (*wire.Conn[wire.FromNode, wire.ToQueueNode], *wire.QueueWelcome, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := wire.Dial[wire.FromNode, wire.ToQueueNode](ctx, "ws://"+addr+"/queues", wire.QueueSession)
	if err != nil {
		return nil, nil, err
	}
	w, err := c.handshake(ctx, conn)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, w, nil
}

// handshake sends the hello and returns the leader's welcome. It fails with
// errRedirected or errNoLeader if the process does not lead.
func (c *Client) handshake(ctx context.Context, conn *wire.Conn[wire.FromNode, wire.ToQueueNode]) (*wire.QueueWelcome, error) {
	if err := conn.Send(ctx, wire.FromNode{Hello: &wire.QueueHello{Version: wire.Version, Process: c.process}}); err != nil {
		return nil, err
	}
	m, err := conn.Receive(ctx)
	switch {
	case err != nil:
		return nil, err
	case m.Welcome != nil:
		return m.Welcome, nil
	case m.Redirect != nil:
		c.setAddrs(m.Redirect.Leader, m.Redirect.Members)
		if m.Redirect.Leader != "" {
			return nil, errRedirected
		}
	}
	return nil, errNoLeader
}

// read passes the messages of a session to the handler until the session ends.
func (c *Client) read(ctx context.Context, conn *wire.Conn[wire.FromNode, wire.ToQueueNode]) error {
	for {
		m, err := conn.ReceiveWithin(ctx, receiveTimeout)
		if err != nil {
			return err
		}
		if m.Redirect != nil {
			c.setAddrs(m.Redirect.Leader, m.Redirect.Members)
			return errRedirected
		}
		if m.Pong == 0 {
			c.h.Handle(m)
		}
	}
}

// write sends the queued messages and pings until the session ends.
func write(ctx context.Context, conn *wire.Conn[wire.FromNode, wire.ToQueueNode], out chan wire.FromNode) {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	pings := int64(0)
	for {
		var m wire.FromNode
		select {
		case <-ctx.Done():
			return
		case m = <-out:
		case <-tick.C:
			pings++
			m.Ping = pings
		}
		if conn.Send(ctx, m) != nil {
			return
		}
	}
}

// Connected reports whether a leader is connected.
func (c *Client) Connected() bool { return c.out.Connected() }

// Send queues a message and reports whether it was queued. If false, the message was
// not sent; if true, it may still be lost.
func (c *Client) Send(m wire.FromNode) bool { return c.out.Send(m) }
