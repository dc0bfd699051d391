package faultlink

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// startEcho returns the address of a server that sends back what it gets.
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

// assertEchoes asserts that a byte comes back.
func assertEchoes(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte{7})
	assert.NilError(t, err)
	b := make([]byte, 1)
	_, err = io.ReadFull(c, b)
	assert.NilError(t, err)
	assert.Equal(t, b[0], byte(7))
}

func TestSilence(t *testing.T) {
	p, err := New(startEcho(t))
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	old := dial(t, p)
	assertEchoes(t, old)
	p.Silence(Forth)
	_, err = old.Write([]byte{1})
	assert.NilError(t, err, "bytes are taken")
	fresh := dial(t, p)
	assertEchoes(t, fresh)
	assert.Equal(t, p.Open(), 2, "the silent connection stays open")
}
