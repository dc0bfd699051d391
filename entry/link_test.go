package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/faultlink"
	"rudderfork.example/rudderfork/wire"
)

func newTestLink() (l *agentLink, out chan wire.ToAgent) {
	l = newAgentLink(newFleet(Settings{}, zerolog.Nop()), wire.UpstreamInfo{}, func() {})
	out = make(chan wire.ToAgent, 4)
	l.open(out)
	return l, out
}

// assertSaid checks what was said to the agent since the last call.
func assertSaid(t *testing.T, out chan wire.ToAgent, want ...wire.ToAgent) {
	t.Helper()
	var said []wire.ToAgent
	for len(out) > 0 {
		said = append(said, <-out)
	}
	assert.DeepEqual(t, said, want)
}

// TestQuiet follows a link to an agent that stops.
func TestQuiet(t *testing.T) {
	quiet := wire.ToAgent{Drained: true}
	t.Run("none on its way", func(t *testing.T) {
		l, out := newTestLink()
		l.stop()
		assertSaid(t, out, quiet)
		assert.Assert(t, !l.take())
	})
	t.Run("two on their way", func(t *testing.T) {
		l, out := newTestLink()
		for range 2 {
			assert.Assert(t, l.take())
		}
		l.stop()
		l.sent()
		assertSaid(t, out)
		l.sent()
		assertSaid(t, out, quiet)
	})
	t.Run("never asked", func(t *testing.T) {
		l, out := newTestLink()
		assert.Assert(t, l.take())
		l.sent()
		assertSaid(t, out)
	})
	t.Run("asked in an earlier session", func(t *testing.T) {
		l, out := newTestLink()
		assert.Assert(t, l.take())
		l.stop()
		l.close()
		l.open(out)
		l.sent()
		assertSaid(t, out)
		assert.Assert(t, !l.take(), "it is still stopping")
		l.stop()
		assertSaid(t, out, quiet)
	})
	t.Run("back", func(t *testing.T) {
		l, _ := newTestLink()
		l.stop()
		l.restarted()
		assert.Assert(t, l.take())
	})
}

// TestSilentSession has the session with an agent fall silent. Its end must say so,
// since the kept connections of requests are dropped then. (It ended by the wait for
// an answer to a probe, which is shorter than the connection's own bound, and that was
// taken for no silence.)
func TestSilentSession(t *testing.T) {
	opened := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := wire.Accept[wire.ToEntry, wire.ToAgent](w, r, wire.ProbeSession)
		if !assert.Check(t, err) {
			return
		}
		defer c.Close()
		close(opened)
		for err == nil {
			_, err = c.Receive(r.Context())
		}
	}))
	t.Cleanup(srv.Close)
	p, err := faultlink.New(strings.TrimPrefix(srv.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	l := newAgentLink(newFleet(Settings{}, zerolog.Nop()), wire.UpstreamInfo{Addr: p.Addr()}, func() {})
	ended := make(chan error, 1)
	go func() { ended <- l.session(t.Context()) }()
	<-opened
	p.Blackhole(faultlink.ToTarget, faultlink.ToDialer)
	err = <-ended
	assert.Assert(t, fellSilent(err), "%v", err)
}
