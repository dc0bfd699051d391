package operator_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/faultlink"
	"rudderfork.example/rudderfork/operator"
)

// fakeControl is a fake control process. It answers each read of a cell with value if
// it leads, and else with a redirect.
type fakeControl struct {
	value int64
	leads atomic.Bool
	link  *faultlink.Proxy
}

func newFakeControl(t *testing.T, value int64) *fakeControl {
	t.Helper()
	c := &fakeControl{value: value}
	c.leads.Store(true)
	srv := httptest.NewServer(c)
	t.Cleanup(srv.Close)
	link, err := faultlink.New(strings.TrimPrefix(srv.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	c.link = link
	return c
}

// ServeHTTP implements http.Handler.
func (c *fakeControl) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !c.leads.Load() {
		w.WriteHeader(http.StatusTemporaryRedirect)
		return
	}
	fmt.Fprintf(w, `{"value": %d}`, c.value)
}

func assertCellValue(t *testing.T, c *operator.Client, want int64) {
	t.Helper()
	cell, err := c.Cell(t.Context(), rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: "r", Column: rudderfork.ColWeight})
	assert.NilError(t, err)
	assert.Equal(t, cell.Value, want)
}

// When the idle connections to two control processes have become unresponsive, only
// the first call times out; the other process is reached on a new connection.
func TestUnresponsiveControlsCostOneTimeout(t *testing.T) {
	first, second := newFakeControl(t, 1), newFakeControl(t, 2)
	c := operator.New([]string{first.link.Addr(), second.link.Addr()})
	first.leads.Store(false)
	assertCellValue(t, c, 2)
	first.leads.Store(true)
	for _, s := range []*fakeControl{first, second} {
		s.link.Blackhole(faultlink.ToTarget, faultlink.ToDialer)
	}
	assertCellValue(t, c, 2)
}
