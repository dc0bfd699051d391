package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// process is the handler of an agent whose hello contains a registration once its worker was seen.
type process struct {
	workerSeen atomic.Bool
	onHello    func()
}

func (p *process) Hello() wire.Hello {
	h := wire.Hello{Kind: wire.KindAgent, Process: "a1"}
	if p.workerSeen.Load() {
		h.Register = &state.Register{}
	}
	if p.onHello != nil {
		p.onHello()
	}
	return h
}

func (p *process) Heartbeat() wire.Heartbeat { return wire.Heartbeat{} }
func (p *process) Handle(wire.ToNode)        {}

// TestReconnectDuringHello guards against an agent that stays unregistered because Reconnect is
// called after the hello was made and before the welcome arrives.
func TestReconnectDuringHello(t *testing.T) {
	registered := make(chan bool, 16)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := wire.Accept[wire.ToNode, wire.ToControl](w, r, wire.NodeSession)
		if err != nil {
			return
		}
		defer c.Close()
		m, err := c.Receive(r.Context())
		if err != nil {
			return
		}
		_ = c.Send(r.Context(), wire.ToNode{Welcome: &wire.Welcome{}})
		registered <- m.Hello.Register != nil
		for err == nil {
			_, err = c.Receive(r.Context())
		}
	}))
	defer srv.Close()
	p := &process{}
	c := NewClient([]string{strings.TrimPrefix(srv.URL, "http://")}, time.Minute, NewTable(), p, zerolog.Nop())
	p.onHello = func() {
		if !p.workerSeen.Swap(true) {
			c.Reconnect()
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.Serve(ctx) }()
	assert.Equal(t, <-registered, false)
	assert.Equal(t, <-registered, true)
	cancel()
	<-done
}

// update returns an update that sets one cell to value.
func update(from, to rudderfork.Revision, value int64) wire.Update {
	k := rudderfork.CellKey{Kind: rudderfork.RowService, Row: "s", Column: rudderfork.ColSlots}
	return wire.Update{From: from, To: to, Cells: []rudderfork.Cell{{Key: k, Value: value, Revision: to}}}
}

// TestTableRevisionOnlyIncreases guards against a table that returns to an older revision, or that
// lacks updates in between.
func TestTableRevisionOnlyIncreases(t *testing.T) {
	tab := NewTable()
	check := func(t *testing.T, slots int64, rev rudderfork.Revision) {
		t.Helper()
		assert.Equal(t, tab.Service("s", rudderfork.ColSlots), slots)
		assert.Equal(t, tab.Revision(), rev)
	}
	assert.Assert(t, !tab.Known())
	assert.Assert(t, tab.Apply(wire.Update{}), "an empty first update was not reported as a change")
	assert.Assert(t, tab.Known())
	assert.Assert(t, tab.Apply(update(0, 5, 3)))
	check(t, 3, 5)
	t.Run("an older one is refused", func(t *testing.T) {
		assert.Assert(t, !tab.Apply(update(0, 4, 9)))
		check(t, 3, 5)
	})
	t.Run("one with a gap is refused", func(t *testing.T) {
		assert.Assert(t, !tab.Apply(update(6, 7, 9)))
		check(t, 3, 5)
	})
	t.Run("an overlapping one is applied", func(t *testing.T) {
		assert.Assert(t, tab.Apply(update(2, 8, 4)))
		check(t, 4, 8)
	})
}
