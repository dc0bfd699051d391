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

// assertMessages asserts which messages were sent to the agent since the last call.
func assertMessages(t *testing.T, out chan wire.ToAgent, want ...wire.ToAgent) {
	t.Helper()
	var got []wire.ToAgent
	for len(out) > 0 {
		got = append(got, <-out)
	}
	assert.DeepEqual(t, got, want)
}

// TestDrainedMessage checks when a stopping agent is told that no request to it is in
// flight.
func TestDrainedMessage(t *testing.T) {
	drained := wire.ToAgent{Drained: true}
	t.Run("none in flight", func(t *testing.T) {
		l, out := newTestLink()
		l.markStopping()
		assertMessages(t, out, drained)
		assert.Assert(t, !l.acquire())
	})
	t.Run("two in flight", func(t *testing.T) {
		l, out := newTestLink()
		for range 2 {
			assert.Assert(t, l.acquire())
		}
		l.markStopping()
		l.release()
		assertMessages(t, out)
		l.release()
		assertMessages(t, out, drained)
	})
	t.Run("never asked", func(t *testing.T) {
		l, out := newTestLink()
		assert.Assert(t, l.acquire())
		l.release()
		assertMessages(t, out)
	})
	t.Run("asked in an earlier session", func(t *testing.T) {
		l, out := newTestLink()
		assert.Assert(t, l.acquire())
		l.markStopping()
		l.close()
		l.open(out)
		l.release()
		assertMessages(t, out)
		assert.Assert(t, !l.acquire(), "the agent is still stopping")
		l.markStopping()
		assertMessages(t, out, drained)
	})
	t.Run("restarted", func(t *testing.T) {
		l, _ := newTestLink()
		l.markStopping()
		l.clearStopping()
		assert.Assert(t, l.acquire())
	})
}

// TestSilentSession guards against a silent session that isn't recognised as such; the
// idle connections for requests to the agent would then stay open. The session ends by
// the time-out for answers to probes, which is shorter than wire.ProbeSession allows.
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
	assert.Assert(t, wentSilent(err), "%v", err)
}
