package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/agent"
	"rudderfork.example/rudderfork/entry"
	"rudderfork.example/rudderfork/internal/faultlink"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

const (
	// waitLimit bounds every wait of a test.
	waitLimit         = 20 * time.Second
	heartbeatInterval = 100 * time.Millisecond
	tickets           = rudderfork.Service("tickets")
	heldPath          = "/held"
	// minAgentReads is how often data of the stopping agent must have been read on the
	// entry's session before the request is forwarded to it. By then the agent has
	// checked more than once whether it is idle, while no request has come on its
	// connections.
	minAgentReads = 4
)

// TestStopWithRequestInTransit stops an agent while a request to it has left the entry but
// not yet reached the agent. The agent must wait for the request and refuse it, so that it
// runs exactly once, at the other VM.
func TestStopWithRequestInTransit(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprint("kept=", kept), func(t *testing.T) {
			c := newControl(t)
			first, second := newVM(t, c, "vm1"), newVM(t, c, "vm2")
			link := newSlowLink(t, first.addr)
			c.list(first.info(link.addr()))
			e := newEntry(t, c)
			wait(t, func() bool { return e.hasUpstreams(1) && link.agentReads.Load() > 0 })
			if kept {
				assert.Equal(t, e.post("/warm").status, http.StatusOK)
			}

			answered := make(chan answer, 1)
			go func() { answered <- e.post(heldPath) }()
			held := within(t, link.held)
			assert.Equal(t, held.used, kept)
			c.list(first.info(link.addr()), second.info(second.addr))
			wait(t, func() bool { return e.hasUpstreams(2) })

			readsBefore := link.agentReads.Load()
			first.stop()
			wait(t, func() bool { return first.ended() || link.agentReads.Load() >= readsBefore+minAgentReads })
			close(held.release)
			a := within(t, answered)
			assert.Equal(t, a.status, http.StatusOK, a.body)
			assert.Equal(t, first.runs(heldPath)+second.runs(heldPath), 1)
			wait(t, first.ended)
		})
	}
}

func wait(t *testing.T, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("condition not met yet")
	}, poll.WithTimeout(waitLimit), poll.WithDelay(time.Millisecond))
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

// logBuffer holds the log of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// lines returns the log lines with the given message.
func (l *logBuffer) lines(msg string) (lines []map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, text := range strings.Split(l.buf.String(), "\n") {
		var m map[string]any
		if json.Unmarshal([]byte(text), &m) == nil && m["message"] == msg {
			lines = append(lines, m)
		}
	}
	return lines
}

// listenAddr returns the address at which the process listens, as its log says.
func (l *logBuffer) listenAddr(t *testing.T) string {
	t.Helper()
	lines := l.lines("started")
	assert.Equal(t, len(lines), 1)
	return fmt.Sprint(lines[0]["listen"])
}

// process runs an entry or an agent.
type process struct {
	stop context.CancelFunc
	done chan struct{}
}

func run(t *testing.T, serve func(context.Context) error) *process {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{cancel, make(chan struct{})}
	go func() {
		defer close(p.done)
		assert.Check(t, serve(ctx))
	}()
	t.Cleanup(func() { cancel(); <-p.done })
	return p
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// control is a fake control process, with an empty table and a list of upstreams.
type control struct {
	addr string

	mu       sync.Mutex
	revision rudderfork.Revision
	infos    []wire.UpstreamInfo
	claims   map[state.ClaimKey]*state.Claim
	token    rudderfork.Token
	entries  []*wire.Conn[wire.ToNode, wire.ToControl]
}

func newControl(t *testing.T) *control {
	c := &control{claims: map[state.ClaimKey]*state.Claim{}}
	srv := httptest.NewServer(http.HandlerFunc(c.accept))
	t.Cleanup(srv.Close)
	c.addr = strings.TrimPrefix(srv.URL, "http://")
	return c
}

func (c *control) accept(w http.ResponseWriter, r *http.Request) {
	conn, err := wire.Accept[wire.ToNode, wire.ToControl](w, r, wire.NodeSession)
	if err != nil {
		return
	}
	defer conn.Close()
	m, err := conn.Receive(r.Context())
	if err != nil {
		return
	}
	_ = conn.Send(r.Context(), wire.ToNode{Welcome: &wire.Welcome{}})
	_ = conn.Send(r.Context(), wire.ToNode{Update: &wire.Update{To: 1}})
	if m.Hello.Kind == wire.KindEntry {
		c.mu.Lock()
		c.entries = append(c.entries, conn)
		c.push()
		c.mu.Unlock()
	}
	for err == nil {
		m, err = conn.Receive(r.Context())
		switch {
		case err != nil:
		case m.Heartbeat != nil:
			_ = conn.Send(r.Context(), wire.ToNode{Grant: &wire.Grant{}})
		case m.Claim != nil:
			_ = conn.Send(r.Context(), wire.ToNode{Result: c.claim(*m.Claim)})
		case m.Settle != nil:
			_ = conn.Send(r.Context(), wire.ToNode{Result: c.settle(*m.Settle)})
		}
	}
}

// claim grants a claim if nobody holds it, or if the request takes over the current
// holder's.
func (c *control) claim(q wire.ClaimRequest) *wire.CommandResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.claims[q.Claim.Key]
	if held != nil && held.Token != q.Claim.After {
		return &wire.CommandResult{ID: q.ID, Result: state.Result{Claim: held}}
	}
	c.token++
	cl := &state.Claim{
		Key: q.Claim.Key, Token: c.token, Digest: q.Claim.Digest, VM: q.Claim.VM, Boot: q.Claim.Boot,
		Phase: state.ClaimHeld, Expires: q.Claim.Expires,
	}
	c.claims[cl.Key] = cl
	return &wire.CommandResult{ID: q.ID, Result: state.Result{Claim: cl, Granted: true}}
}

func (c *control) settle(q wire.SettleRequest) *wire.CommandResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cl := c.claims[q.Settle.Key]; cl != nil && cl.Token == q.Settle.Token && q.Settle.Answer != nil {
		done := *cl
		done.Phase, done.Answer = state.ClaimDone, q.Settle.Answer
		c.claims[cl.Key] = &done
	}
	return &wire.CommandResult{ID: q.ID}
}

// list sets the list of upstreams and sends it to the entries.
func (c *control) list(infos ...wire.UpstreamInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.infos = infos
	c.push()
}

// push sends the list to the entries. c.mu is held.
func (c *control) push() {
	for _, e := range c.entries {
		_ = e.Send(context.Background(), wire.ToNode{Upstreams: &wire.Upstreams{Revision: c.revision, List: c.infos}})
	}
}

// vm is an agent and its upstream.
type vm struct {
	*process
	name rudderfork.VMID
	addr string
	boot string
	link *faultlink.Proxy // from the agent to the upstream

	mu         sync.Mutex
	runsByPath map[string]int           // number of requests, by path
	gates      map[string]chan struct{} // by path: requests wait until it is closed
}

func newVM(t *testing.T, c *control, name rudderfork.VMID) *vm {
	t.Helper()
	v := &vm{name: name, runsByPath: map[string]int{}, gates: map[string]chan struct{}{}}
	up := httptest.NewServer(v)
	t.Cleanup(up.Close)
	v.link = newLink(t, strings.TrimPrefix(up.URL, "http://"))
	logs := &logBuffer{}
	p, err := agent.New(agent.Settings{
		Name: "agent-" + string(name), Place: v.place(), Listen: "127.0.0.1:0", Admin: "127.0.0.1:0",
		Control: []string{c.addr}, HeartbeatInterval: heartbeatInterval, DrainLimit: waitLimit,
		Upstreams: []agent.UpstreamAddr{{Service: tickets, Addr: v.link.Addr()}},
	}, zerolog.New(logs))
	assert.NilError(t, err)
	v.addr = logs.listenAddr(t)
	v.boot = fmt.Sprint(logs.lines("started")[0]["boot"])
	v.process = run(t, p.Run)
	return v
}

func (v *vm) place() rudderfork.Place { return rudderfork.Place{VM: v.name} }

func (v *vm) info(addr string) wire.UpstreamInfo {
	return wire.UpstreamInfo{Place: v.place(), Addr: addr, Boot: v.boot, Services: []rudderfork.Service{tickets}}
}

// ServeHTTP implements http.Handler for the upstream.
func (v *vm) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	v.runsByPath[r.URL.Path]++
	gate := v.gates[r.URL.Path]
	v.mu.Unlock()
	if gate != nil {
		<-gate
	}
	_, _ = io.WriteString(w, "done")
}

// gate makes requests to a path wait until the returned function is called.
func (v *vm) gate(t *testing.T, path string) (open func()) {
	gate := make(chan struct{})
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gates[path] = gate
	open = sync.OnceFunc(func() { close(gate) })
	t.Cleanup(open)
	return open
}

func (v *vm) runs(path string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runsByPath[path]
}

// answer is the response that a caller got.
type answer struct {
	status int
	body   string
	ran    string // value of Rudderfork-Ran, on refusals
}

// testEntry is a running entry.
type testEntry struct {
	*process
	addr string
	logs *logBuffer
}

func newEntry(t *testing.T, c *control) *testEntry {
	t.Helper()
	return newEntryWithTimeout(t, c, waitLimit)
}

// newEntryWithTimeout starts an entry with a time-out for requests without a deadline.
func newEntryWithTimeout(t *testing.T, c *control, timeout time.Duration) *testEntry {
	t.Helper()
	e := &testEntry{logs: &logBuffer{}}
	p, err := entry.New(entry.Settings{
		Name: "e1", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Control: []string{c.addr}, HeartbeatInterval: heartbeatInterval,
		DrainLimit: waitLimit, Timeout: timeout, Picker: "probing",
	}, zerolog.New(e.logs))
	assert.NilError(t, err)
	e.addr = e.logs.listenAddr(t)
	e.process = run(t, p.Run)
	return e
}

// hasUpstreams reports whether the entry has logged a list of n upstreams.
func (e *testEntry) hasUpstreams(n int) bool {
	for _, l := range e.logs.lines("upstreams") {
		if fmt.Sprint(l["upstreams"]) == fmt.Sprint(n) {
			return true
		}
	}
	return false
}

// post sends a request that is not repeatable.
func (e *testEntry) post(path string) answer { return e.send(http.MethodPost, path, "") }

// send sends a request, with an idempotency key if key is not empty.
func (e *testEntry) send(method, path, key string) answer {
	req, err := http.NewRequest(method, "http://"+e.addr+"/svc/"+string(tickets)+path, nil)
	if err != nil {
		return answer{body: err.Error()}
	}
	if method == http.MethodPost {
		req.Body = io.NopCloser(strings.NewReader("row 7")) // a body that net/http's client cannot send again
		req.ContentLength = int64(len("row 7"))
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return do(req)
}

// do sends a request and reads the whole response.
func do(req *http.Request) answer {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{resp.StatusCode, string(body), resp.Header.Get("Rudderfork-Ran")}
}

// newLink returns a proxy to an address whose open connections can be silenced.
func newLink(t *testing.T, target string) *faultlink.Proxy {
	t.Helper()
	link, err := faultlink.New(target)
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	return link
}

// slowLink is a proxy to an agent that delays one request.
type slowLink struct {
	ln         net.Listener
	target     string
	held       chan heldRequest
	agentReads atomic.Int64 // how often data of the agent was read on sessions of entries
}

// heldRequest is a request that has left the entry and not reached the agent.
type heldRequest struct {
	used    bool // the connection has carried a request before
	release chan struct{}
}

func newSlowLink(t *testing.T, target string) *slowLink {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	l := &slowLink{ln: ln, target: target, held: make(chan heldRequest, 1)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(c)
		}
	}()
	return l
}

func (l *slowLink) addr() string { return l.ln.Addr().String() }

// forward forwards one connection in both directions.
func (l *slowLink) forward(c net.Conn) {
	defer c.Close()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer to.Close()
	var session atomic.Bool
	go func() {
		defer c.Close()
		buf := make([]byte, 1<<16)
		for {
			n, err := to.Read(buf)
			if session.Load() && n > 0 {
				l.agentReads.Add(1)
			}
			if _, werr := c.Write(buf[:n]); err != nil || werr != nil {
				return
			}
		}
	}()
	buf := make([]byte, 1<<16)
	for used := false; ; used = true {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		switch text := string(buf[:n]); {
		case strings.HasPrefix(text, "GET /rudderfork/session"):
			session.Store(true)
		case strings.HasPrefix(text, "POST "+heldPath):
			h := heldRequest{used, make(chan struct{})}
			l.held <- h
			<-h.release
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
