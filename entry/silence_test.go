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

// noTimeout is longer than any test: no deadline ends a request.
const noTimeout = time.Hour

const seatPath = "/seat"

// site is an entry and a VM whose agent has answered it before, on a connection
// that is kept and can fall silent.
type site struct {
	vm    *vm
	link  *faultlink.Proxy // from the entry to the agent
	entry *door
}

func newSite(t *testing.T) *site {
	t.Helper()
	c := newControl(t)
	v := newVM(t, c, "vm1")
	s := &site{vm: v, link: newLink(t, v.addr)}
	c.list(v.info(s.link.Addr()))
	s.entry = newEntryWithin(t, c, noTimeout)
	wait(t, func() bool { return s.entry.knows(1) })
	// The agent refuses requests until it knows its table.
	wait(t, func() bool { return s.entry.post("/warm").status == http.StatusOK })
	return s
}

// sending sends a request whose answer may be long in coming.
func (s *site) sending(method, key string) chan answer {
	answered := make(chan answer, 1)
	go func() { answered <- s.entry.send(method, seatPath, key) }()
	return answered
}

// directions are the ways in which a connection can fall silent.
var directions = map[string][]faultlink.Direction{
	"forth": {faultlink.ToTarget},
	"back":  {faultlink.ToDialer},
	"both":  {faultlink.ToTarget, faultlink.ToDialer},
}

// TestSilentBefore sends requests without a deadline on kept connections that have
// fallen silent.
func TestSilentBefore(t *testing.T) {
	t.Parallel()
	for name, dirs := range directions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			t.Run("repeatable", func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.link.Blackhole(dirs...)
				a := within(t, s.sending(http.MethodGet, ""))
				assert.Equal(t, a.status, http.StatusOK, a.body)
			})
			t.Run("not repeatable", func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.link.Blackhole(dirs...)
				assertUnknown(t, within(t, s.sending(http.MethodPost, "")))
				assert.Assert(t, s.vm.runs(seatPath) <= 1)
				a := within(t, s.sending(http.MethodPost, ""))
				assert.Equal(t, a.status, http.StatusOK, "the next one goes on a new connection: %s", a.body)
			})
			t.Run("keyed", func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.link.Blackhole(dirs...)
				a := within(t, s.sending(http.MethodPost, "key-1"))
				assert.Equal(t, a.status, http.StatusOK, a.body)
				assert.Equal(t, s.vm.runs(seatPath), 1)
			})
		})
	}
}

// TestSilentMeanwhile silences connections while a request runs in the upstream.
func TestSilentMeanwhile(t *testing.T) {
	t.Parallel()
	both := directions["both"]
	t.Run("not repeatable", func(t *testing.T) {
		t.Parallel()
		s := newSite(t)
		s.vm.gate(t, seatPath)
		answered := s.sending(http.MethodPost, "")
		wait(t, func() bool { return s.vm.runs(seatPath) == 1 })
		s.link.Blackhole(both...)
		assertUnknown(t, within(t, answered))
	})
	t.Run("keyed", func(t *testing.T) {
		t.Parallel()
		s := newSite(t)
		open := s.vm.gate(t, seatPath)
		answered := s.sending(http.MethodPost, "key-1")
		wait(t, func() bool { return s.vm.runs(seatPath) == 1 })
		s.link.Blackhole(both...)
		open()
		a := within(t, answered)
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Equal(t, a.body, "done")
		assert.Equal(t, s.vm.runs(seatPath), 1)
	})
}

// TestSilentUpstream silences the kept connections between an agent and its
// upstream, where nothing tells a slow upstream from a silent one.
func TestSilentUpstream(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	s.vm.link.Blackhole(directions["both"]...)
	a := within(t, s.sending(http.MethodPost, "key-1"))
	assert.Equal(t, a.status, http.StatusOK, a.body)
	assert.Equal(t, s.vm.runs(seatPath), 1)
}

// assertUnknown asserts that the caller was told that nobody knows whether its
// request ran.
func assertUnknown(t *testing.T, a answer) {
	t.Helper()
	assert.Equal(t, a.status, http.StatusBadGateway, a.body)
	assert.Equal(t, a.ran, "unknown")
}

// TestSignsStayInside asserts that signs of life go from agents to entries, and not
// to callers.
func TestSignsStayInside(t *testing.T) {
	t.Parallel()
	s := newSite(t)
	open := s.vm.gate(t, seatPath)
	ofCaller, callers := traced(t, "http://"+s.entry.addr+"/svc/"+string(tickets)+seatPath)
	ofEntry, entries := traced(t, "http://"+s.vm.addr+seatPath)
	ofEntry.Header.Set(relay.HeaderService, string(tickets))
	ofEntry.Header.Set(relay.HeaderSigns, "yes")
	answered := make(chan answer, 2)
	go func() { answered <- ask(ofCaller) }()
	wait(t, func() bool { return s.vm.runs(seatPath) == 1 })
	go func() { answered <- ask(ofEntry) }()
	wait(t, func() bool { return entries.Load() > relay.MissedSigns })
	open()
	for range 2 {
		a := within(t, answered)
		assert.Equal(t, a.status, http.StatusOK, a.body)
	}
	assert.Equal(t, callers.Load(), int64(0))
}

// traced returns a request, and the number of interim answers to it.
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
