package entry

import (
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

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
	quiet := wire.ToAgent{Quiet: true}
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
