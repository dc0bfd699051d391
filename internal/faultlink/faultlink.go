// Package faultlink is a TCP proxy for tests that can blackhole its open
// connections while new ones work, as when a stateful firewall or NAT drops their
// state: bytes are accepted and discarded, and no peer learns that the other one
// has closed the connection.
package faultlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Direction is a direction of the traffic through a proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota // from the process that dialled to the target
	ToDialer                  // from the target to the process that dialled
)

// Proxy forwards connections to a target until it is closed. It is safe for
// concurrent use.
type Proxy struct {
	ln   net.Listener
	done sync.WaitGroup

	mu     sync.Mutex
	target string
	conns  map[*conn]bool
	closed bool
}

// New starts a proxy to the target address on a free loopback port.
func New(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, conns: map[*conn]bool{}}
	p.done.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Target returns the address to which new connections are forwarded.
func (p *Proxy) Target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// SetTarget changes the target of new connections and closes the open ones.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
	p.closeAll()
}

// closeAll closes all connections. The caller holds mu.
func (p *Proxy) closeAll() {
	for c := range p.conns {
		c.close()
	}
}

// Blackhole discards all further bytes of the open connections in the given directions,
// and doesn't pass on that a peer has closed. It can't be undone and doesn't affect new
// connections.
func (p *Proxy) Blackhole(dirs ...Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		for _, d := range dirs {
			c.blackholed[d].Store(true)
		}
	}
}

// OpenConns returns the number of accepted connections that have not ended.
func (p *Proxy) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close stops the proxy, closes its connections and waits for its goroutines.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.mu.Lock()
	p.closed = true
	p.closeAll()
	p.mu.Unlock()
	p.done.Wait()
}

func (p *Proxy) accept() {
	for {
		from, err := p.ln.Accept()
		if err != nil {
			return
		}
		var d net.Dialer
		to, err := d.DialContext(context.Background(), "tcp", p.Target())
		if err != nil {
			_ = from.Close()
			continue
		}
		c := &conn{from: from, to: to}
		if !p.add(c) {
			c.close()
			return
		}
		p.done.Go(func() { p.serve(c) })
	}
}

// add registers an open connection; it returns false if the proxy is closed.
func (p *Proxy) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

// serve forwards bytes in both directions until both have ended.
func (p *Proxy) serve(c *conn) {
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(ToTarget) })
	wg.Go(func() { c.forward(ToDialer) })
	wg.Wait()
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// conn is a connection from a dialer to the proxy, and the one from the proxy to its target.
type conn struct {
	from, to   net.Conn
	blackholed [2]atomic.Bool // by Direction
}

func (c *conn) close() {
	_ = c.from.Close()
	_ = c.to.Close()
}

// forward copies one direction until it ends, and then closes both connections. If the
// direction is blackholed, it discards the bytes and leaves the connections open.
func (c *conn) forward(d Direction) {
	src, dst := c.from, c.to
	if d == ToDialer {
		src, dst = dst, src
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if c.blackholed[d].Load() {
			if err == nil {
				continue
			}
			return
		}
		if _, werr := dst.Write(buf[:n]); werr != nil || err != nil {
			c.close()
			return
		}
	}
}
