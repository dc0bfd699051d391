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

// standInControl answers each read of a cell with its own value, if it leads.
type standInControl struct {
	value int64
	leads atomic.Bool
	link  *faultlink.Proxy
}

func newStandIn(t *testing.T, value int64) *standInControl {
	t.Helper()
	c := &standInControl{value: value}
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
func (c *standInControl) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !c.leads.Load() {
		w.WriteHeader(http.StatusTemporaryRedirect)
		return
	}
	fmt.Fprintf(w, `{"value": %d}`, c.value)
}

func assertReads(t *testing.T, c *operator.Client, want int64) {
	t.Helper()
	cell, err := c.Cell(t.Context(), rudderfork.CellKey{Kind: rudderfork.RowTeam, Row: "r", Column: rudderfork.ColWeight})
	assert.NilError(t, err)
	assert.Equal(t, cell.Value, want)
}

// TestSilentControls silences the kept connections to two control processes. The
// time-out at the first is the only one that is waited out.
func TestSilentControls(t *testing.T) {
	first, second := newStandIn(t, 1), newStandIn(t, 2)
	c := operator.New([]string{first.link.Addr(), second.link.Addr()})
	first.leads.Store(false)
	assertReads(t, c, 2)
	first.leads.Store(true)
	for _, s := range []*standInControl{first, second} {
		s.link.Silence(faultlink.Forth, faultlink.Back)
	}
	assertReads(t, c, 2)
}
