package faultlink

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// startEcho starts an echo server and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// assertEchoes asserts that a byte sent on c is echoed.
func assertEchoes(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte{7})
	assert.NilError(t, err)
	b := make([]byte, 1)
	_, err = io.ReadFull(c, b)
	assert.NilError(t, err)
	assert.Equal(t, b[0], byte(7))
}

func TestBlackhole(t *testing.T) {
	p, err := New(startEcho(t))
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	oldConn := dial(t, p)
	assertEchoes(t, oldConn)
	p.Blackhole(ToTarget)
	_, err = oldConn.Write([]byte{1})
	assert.NilError(t, err, "bytes are accepted")
	newConn := dial(t, p)
	assertEchoes(t, newConn)
	assert.Equal(t, p.OpenConns(), 2, "the blackholed connection stays open")
}
