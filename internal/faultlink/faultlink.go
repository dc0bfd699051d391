// Package faultlink is a TCP proxy for tests whose open connections can fall
// silent for good while new ones work, as when a stateful device on the way
// forgets them: bytes are taken and dropped, and no end hears that the other has
// closed.
package faultlink

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Direction is one way through a proxy, seen from the process that dialled.
type Direction int

// The directions.
const (
	Forth Direction = iota // to the target
	Back                   // to the one that dialled
)

// Proxy passes connections on to a target until it is closed.
type Proxy struct {
	ln   net.Listener
	done sync.WaitGroup

	mu     sync.Mutex
	target string
	conns  map[*conn]bool
	closed bool
}

// New returns a running proxy to a target on a loopback port of its own.
func New(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, conns: map[*conn]bool{}}
	p.done.Go(p.accept)
	return p, nil
}

// Addr returns where the proxy takes connections.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// Target returns where the proxy leads.
func (p *Proxy) Target() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

// Lead points the proxy at another target; connections made before are closed.
func (p *Proxy) Lead(target string) {
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

// Silence makes all open connections silent in the given directions.
func (p *Proxy) Silence(dirs ...Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		for _, d := range dirs {
			c.silent[d].Store(true)
		}
	}
}

// Open returns how many connections were taken and have not ended.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close ends the proxy and all its connections, and waits for them.
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

// add notes an open connection; false means that the proxy is closed.
func (p *Proxy) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

// serve carries bytes both ways until both have ended.
func (p *Proxy) serve(c *conn) {
	var ways sync.WaitGroup
	ways.Go(func() { c.carry(Forth) })
	ways.Go(func() { c.carry(Back) })
	ways.Wait()
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// conn is a connection with its other half.
type conn struct {
	from, to net.Conn
	silent   [2]atomic.Bool // by Direction
}

func (c *conn) close() {
	_ = c.from.Close()
	_ = c.to.Close()
}

// carry passes one direction on. The end of a silent direction stays unheard.
func (c *conn) carry(d Direction) {
	src, dst := c.from, c.to
	if d == Back {
		src, dst = dst, src
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if c.silent[d].Load() {
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
