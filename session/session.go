// Package session keeps a queue session with the leader of the control
// processes, for fronts and for the agents of VMs.
//
// A process knows some addresses of control processes from its settings and
// more from those that it has reached. It asks them in turn until one of them
// leads, and starts again when that one falls silent.
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
	// pingEvery keeps a quiet session alive, and finds a silent leader.
	pingEvery = 400 * time.Millisecond
	// silenceLimit ends a session in which nothing came for so long: three
	// pings. A leader that is cut off costs its nodes that long.
	silenceLimit = 1_200 * time.Millisecond
	// openTimeout bounds dialling and the leader's first word.
	openTimeout = 600 * time.Millisecond
	// redialPause is the rest after a failed attempt.
	redialPause = 50 * time.Millisecond
	// outQueue bounds the messages that wait for control.
	outQueue = 1024
	// maxKnown bounds the addresses that are remembered.
	maxKnown = 32
)

var (
	// errMoved means that another process leads.
	errMoved = errors.New("another control process leads")
	// errNoLeader means that a process neither leads nor knows who does.
	errNoLeader = errors.New("no leader is known there")
)

// Handler takes what control sends. Calls come from one goroutine, except that
// Closed may come while the process ends.
type Handler interface {
	Opened(w wire.QueueWelcome)
	Handle(m wire.ToQueueNode)
	Closed()
}

// Client keeps the session. It is safe for concurrent use.
type Client struct {
	process string
	seeds   func() []string
	h       Handler
	log     zerolog.Logger

	mu     sync.Mutex
	prefer string   // the leader, as last heard
	known  []string // members, as last heard
	turn   int

	out wire.Outbox[wire.FromNode]
}

// New returns a client. seeds returns the addresses in the settings at the
// moment.
func New(process string, seeds func() []string, h Handler, log zerolog.Logger) *Client {
	return &Client{process: process, seeds: seeds, h: h, log: log, turn: firstTurn(process)}
}

// firstTurn is where a process begins to ask in turn: a fleet that has lost its leader
// spreads over the control processes.
func firstTurn(process string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(process)) // it never fails
	return int(h.Sum32() >> 1)
}

// String names the service in the supervisor's log.
func (c *Client) String() string { return "queue-session" }

// Serve implements suture.Service.
func (c *Client) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		addr := c.next()
		if addr == "" {
			steady.Pause(ctx, redialPause)
			continue
		}
		err := c.session(ctx, addr)
		if !errors.Is(err, errMoved) {
			c.log.Debug().Str("addr", addr).AnErr("error", err).Msg("control_unreachable")
			steady.Pause(ctx, redialPause)
		}
	}
	return ctx.Err()
}

// next returns the address to try: the leader if it is known, then the members
// and the seeds in turn.
func (c *Client) next() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.prefer; a != "" {
		c.prefer = ""
		return a
	}
	all := slices.Clone(c.known)
	for _, a := range c.seeds() {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return ""
	}
	c.turn++
	return all[c.turn%len(all)]
}

func (c *Client) learn(prefer string, members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefer = prefer
	if len(members) > 0 {
		c.known = members[:min(len(members), maxKnown)]
	}
}

func (c *Client) session(ctx context.Context, addr string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, welcome, err := c.open(ctx, addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	c.learn("", welcome.Members)
	out := make(chan wire.FromNode, outQueue)
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

// open dials, says hello and waits to be welcomed.
func (c *Client) open(ctx context.Context, addr string) (*wire.Conn[wire.FromNode, wire.ToQueueNode], *wire.QueueWelcome, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := wire.Dial[wire.FromNode, wire.ToQueueNode](ctx, "ws://"+addr+"/queues", wire.QueueSession)
	if err != nil {
		return nil, nil, err
	}
	w, err := c.greet(ctx, conn)
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, w, nil
}

// greet says hello and waits for the leader's welcome.
func (c *Client) greet(ctx context.Context, conn *wire.Conn[wire.FromNode, wire.ToQueueNode]) (*wire.QueueWelcome, error) {
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
		c.learn(m.Redirect.Leader, m.Redirect.Members)
		if m.Redirect.Leader != "" {
			return nil, errMoved
		}
	}
	return nil, errNoLeader
}

func (c *Client) read(ctx context.Context, conn *wire.Conn[wire.FromNode, wire.ToQueueNode]) error {
	for {
		m, err := conn.ReceiveWithin(ctx, silenceLimit)
		if err != nil {
			return err
		}
		if m.Redirect != nil {
			c.learn(m.Redirect.Leader, m.Redirect.Members)
			return errMoved
		}
		if m.Pong == 0 {
			c.h.Handle(m)
		}
	}
}

func write(ctx context.Context, conn *wire.Conn[wire.FromNode, wire.ToQueueNode], out chan wire.FromNode) {
	tick := time.NewTicker(pingEvery)
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

// Send queues a message; false means that it was surely not sent.
func (c *Client) Send(m wire.FromNode) bool { return c.out.Send(m) }
