package entry_test

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/internal/faultlink"
	"rudderfork.example/rudderfork/relay"
)

// noTimeout is longer than any test, so that no deadline ends a request.
const noTimeout = time.Hour

const seatPath = "/seat"

// testSite is an entry and a VM. The VM's agent has answered a request of the entry on a
// connection that is kept open and can be silenced.
type testSite struct {
	vm    *vm
	link  *faultlink.Proxy // from the entry to the agent
	entry *testEntry
}

func newSite(t *testing.T) *testSite {
	t.Helper()
	c := newControl(t)
	v := newVM(t, c, "vm1")
	s := &testSite{vm: v, link: newLink(t, v.addr)}
	c.list(v.info(s.link.Addr()))
	s.entry = newEntryWithTimeout(t, c, noTimeout)
	wait(t, func() bool { return s.entry.hasUpstreams(1) })
	// The agent refuses requests until it knows its table.
	wait(t, func() bool { return s.entry.post("/warm").status == http.StatusOK })
	return s
}

// sendAsync sends a request without waiting for its response.
func (s *testSite) sendAsync(method, key string) chan answer {
	answered := make(chan answer, 1)
	go func() { answered <- s.entry.send(method, seatPath, key) }()
	return answered
}

// directions are the ways in which a connection can go silent.
var directions = map[string][]faultlink.Direction{
	"to the agent": {faultlink.ToTarget},
	"to the entry": {faultlink.ToDialer},
	"both":         {faultlink.ToTarget, faultlink.ToDialer},
}

// TestConnectionSilentBeforeRequest sends requests without a deadline on kept
// connections that have gone silent. Without interim responses they would never end.
func TestConnectionSilentBeforeRequest(t *testing.T) {
	t.Parallel()
	for name, dirs := range directions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Run("repeatable", func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.link.Blackhole(dirs...)
				a := within(t, s.sendAsync(http.MethodGet, ""))
				assert.Equal(t, a.status, http.StatusOK, a.body)
			})
			t.Run("not repeatable", func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.link.Blackhole(dirs...)
				assertUnknown(t, within(t, s.sendAsync(http.MethodPost, "")))
				assert.Assert(t, s.vm.runs(seatPath) <= 1)
				a := within(t, s.sendAsync(http.MethodPost, ""))
				assert.Equal(t, a.status, http.StatusOK, "the next request uses a new connection: %s", a.body)
			})
			t.Run("keyed", func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.link.Blackhole(dirs...)
				a := within(t, s.sendAsync(http.MethodPost, "key-1"))
				assert.Equal(t, a.status, http.StatusOK, a.body)
				assert.Equal(t, s.vm.runs(seatPath), 1)
			})
		})
	}
}

// TestConnectionSilentDuringRequest silences connections while a request runs in the
// upstream.
func TestConnectionSilentDuringRequest(t *testing.T) {
	t.Parallel()
	both := directions["both"]
	t.Run("not repeatable", func(t *testing.T) {
		t.Parallel()
		s := newSite(t)
		s.vm.gate(t, seatPath)
		answered := s.sendAsync(http.MethodPost, "")
		wait(t, func() bool { return s.vm.runs(seatPath) == 1 })
		s.link.Blackhole(both...)
		assertUnknown(t, within(t, answered))
	})
	t.Run("keyed", func(t *testing.T) {
		t.Parallel()
		s := newSite(t)
		open := s.vm.gate(t, seatPath)
		answered := s.sendAsync(http.MethodPost, "key-1")
		wait(t, func() bool { return s.vm.runs(seatPath) == 1 })
		s.link.Blackhole(both...)
		open()
		a := within(t, answered)
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Equal(t, a.body, "done")
		assert.Equal(t, s.vm.runs(seatPath), 1)
	})
}

// TestSilentUpstream silences the kept connections between an agent and its upstream.
// There are no interim responses there, so a slow upstream cannot be distinguished from
// a silent connection. A request with a key must not use a kept connection.
func TestSilentUpstream(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.vm.link.Blackhole(directions["both"]...)
	a := within(t, s.sendAsync(http.MethodPost, "key-1"))
	assert.Equal(t, a.status, http.StatusOK, a.body)
	assert.Equal(t, s.vm.runs(seatPath), 1)
}

// assertUnknown asserts that the caller was told that it is unknown whether its request
// ran.
func assertUnknown(t *testing.T, a answer) {
	t.Helper()
	assert.Equal(t, a.status, http.StatusBadGateway, a.body)
	assert.Equal(t, a.ran, "unknown")
}

// TestInterimNotForwarded asserts that interim responses go from agents to entries, and
// not on to callers.
func TestInterimNotForwarded(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	open := s.vm.gate(t, seatPath)
	callerReq, callerInterim := traced(t, "http://"+s.entry.addr+"/svc/"+string(tickets)+seatPath)
	entryReq, entryInterim := traced(t, "http://"+s.vm.addr+seatPath)
	entryReq.Header.Set(relay.HeaderService, string(tickets))
	entryReq.Header.Set(relay.HeaderInterim, "yes")
	answered := make(chan answer, 2)
	go func() { answered <- do(callerReq) }()
	wait(t, func() bool { return s.vm.runs(seatPath) == 1 })
	go func() { answered <- do(entryReq) }()
	wait(t, func() bool { return entryInterim.Load() > relay.MaxMissedInterim })
	open()
	for range 2 {
		a := within(t, answered)
		assert.Equal(t, a.status, http.StatusOK, a.body)
	}
	assert.Equal(t, callerInterim.Load(), int64(0))
}

// traced returns a request, and a counter of the interim responses to it.
func traced(t *testing.T, url string) (*http.Request, *atomic.Int64) {
	t.Helper()
	n := &atomic.Int64{}
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error { n.Add(1); return nil },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	assert.NilError(t, err)
	return req, n
}
