package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// shortStall replaces bodyStall and writeStall.
	shortStall = 50 * time.Millisecond
	// waitLimit bounds every wait of a test.
	waitLimit = 20 * time.Second
)

// serve returns a connection to a server with a handler.
func serve(t *testing.T, h http.HandlerFunc) net.Conn {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	c, err := net.Dial("tcp", strings.TrimPrefix(srv.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	return c
}

// within returns the next value of ch, and fails the test if none comes in time.
func within[T any](t *testing.T, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(waitLimit):
		t.Fatal("nothing was received in time")
	}
	return v
}

// assertStatus asserts the status of the next response.
func assertStatus(t *testing.T, c net.Conn, want int) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, want)
}

// readers returns a handler that reads bodies, and a channel with the errors that
// reading ended with.
func readers() (http.HandlerFunc, chan error) {
	ended := make(chan error, 2)
	return func(w http.ResponseWriter, r *http.Request) {
		defer limitBodyReads(w, r, shortStall)()
		_, err := io.ReadAll(r.Body)
		ended <- err
	}, ended
}

func TestLimitBodyReads(t *testing.T) {
	t.Run("the connection stops delivering", func(t *testing.T) {
		h, ended := readers()
		c := serve(t, h)
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")
		assert.ErrorIs(t, within(t, ended), os.ErrDeadlineExceeded)
	})
	t.Run("the handler does not read it", func(t *testing.T) {
		c := serve(t, func(w http.ResponseWriter, r *http.Request) { limitBodyReads(w, r, shortStall)() })
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf")
		_, err := io.ReadAll(c)
		assert.NilError(t, err, "the server closes the connection")
	})
	t.Run("complete bodies on one connection", func(t *testing.T) {
		h, ended := readers()
		c := serve(t, h)
		for range 2 {
			fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nfour")
			assert.NilError(t, within(t, ended))
			assertStatus(t, c, http.StatusOK)
		}
	})
	t.Run("the handler takes longer than the limit", func(t *testing.T) {
		c := serve(t, func(w http.ResponseWriter, r *http.Request) {
			defer limitBodyReads(w, r, shortStall)()
			_, _ = io.ReadAll(r.Body)
			select {
			case <-r.Context().Done():
				w.WriteHeader(http.StatusTeapot)
			case <-time.After(4 * shortStall):
			}
		})
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nfour")
		assertStatus(t, c, http.StatusOK)
	})
}

// endless is a body without an end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Close implements io.Closer.
func (endless) Close() error { return nil }

// TestWriteStall writes a response whose caller reads nothing; the connection must be
// aborted.
func TestWriteStall(t *testing.T) {
	aborted := make(chan any, 1)
	c := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		defer func() {
			aborted <- recover()
			panic(http.ErrAbortHandler)
		}()
		writeResponse(w, &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: endless{}}, nil, shortStall)
	})
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	err, ok := within(t, aborted).(error)
	assert.Assert(t, ok && errors.Is(err, http.ErrAbortHandler))
}

// TestWritePause writes a response that pauses for longer than the limit; only waits
// for the caller count.
func TestWritePause(t *testing.T) {
	r, w := io.Pipe()
	c := serve(t, func(out http.ResponseWriter, _ *http.Request) {
		writeResponse(out, &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Body: r}, nil, shortStall)
	})
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	go func() {
		for _, line := range []string{"one ", "two"} {
			_, _ = io.WriteString(w, line)
			time.Sleep(4 * shortStall)
		}
		_ = w.Close()
	}()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, string(body), "one two")
}
