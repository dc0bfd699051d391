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
	// waitLimit ends a wait for a condition that does not come true.
	waitLimit = 20 * time.Second
	beat      = 100 * time.Millisecond
	tickets   = rudderfork.Service("tickets")
	heldPath  = "/held"
	// heldFor is how many times the stopping agent must write to the entry's
	// session before the request reaches it: it has looked whether it is idle more
	// than once, and nothing has come on its connections meanwhile.
	heldFor = 4
)

// TestStopWithRequestOnItsWay stops an agent as planned while a request for it
// is still on its way. The request runs once, at the other VM.
func TestStopWithRequestOnItsWay(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprint("kept=", kept), func(t *testing.T) {
			c := newControl(t)
			first, second := newVM(t, c, "vm1"), newVM(t, c, "vm2")
			link := newSlowLink(t, first.addr)
			c.list(first.info(link.addr()))
			e := newEntry(t, c)
			wait(t, func() bool { return e.knows(1) && link.told.Load() > 0 })
			if kept {
				assert.Equal(t, e.post("/warm").status, http.StatusOK)
			}

			answered := make(chan answer, 1)
			go func() { answered <- e.post(heldPath) }()
			held := within(t, link.held)
			assert.Equal(t, held.used, kept)
			c.list(first.info(link.addr()), second.info(second.addr))
			wait(t, func() bool { return e.knows(2) })

			told := link.told.Load()
			first.stop()
			wait(t, func() bool { return first.ended() || link.told.Load() >= told+heldFor })
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
		return poll.Continue("not yet")
	}, poll.WithTimeout(waitLimit), poll.WithDelay(time.Millisecond))
}

func within[T any](t *testing.T, ch <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(waitLimit):
		t.Fatal("it did not come")
	}
	return v
}

// logBook keeps what a process logs.
type logBook struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *logBook) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// lines returns the lines with a message.
func (l *logBook) lines(msg string) (lines []map[string]any) {
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

// started returns where a process listens.
func (l *logBook) started(t *testing.T) string {
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

// control stands in for control: it has one table and a list of upstreams.
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

// claim grants what is asked for if nobody holds it, or who does is taken over.
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

// list tells the entries of all upstreams.
func (c *control) list(infos ...wire.UpstreamInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.infos = infos
	c.push()
}

// push sends the list. c.mu is held.
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

	mu    sync.Mutex
	seen  map[string]int           // by path
	gates map[string]chan struct{} // by path: a request there waits until it closes
}

func newVM(t *testing.T, c *control, name rudderfork.VMID) *vm {
	t.Helper()
	v := &vm{name: name, seen: map[string]int{}, gates: map[string]chan struct{}{}}
	up := httptest.NewServer(v)
	t.Cleanup(up.Close)
	v.link = newLink(t, strings.TrimPrefix(up.URL, "http://"))
	logs := &logBook{}
	p, err := agent.New(agent.Settings{
		Name: "agent-" + string(name), Place: v.place(), Listen: "127.0.0.1:0", Admin: "127.0.0.1:0",
		Control: []string{c.addr}, HeartbeatInterval: beat, DrainLimit: waitLimit,
		Upstreams: []agent.UpstreamAddr{{Service: tickets, Addr: v.link.Addr()}},
	}, zerolog.New(logs))
	assert.NilError(t, err)
	v.addr = logs.started(t)
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
	v.seen[r.URL.Path]++
	gate := v.gates[r.URL.Path]
	v.mu.Unlock()
	if gate != nil {
		<-gate
	}
	_, _ = io.WriteString(w, "done")
}

// gate makes requests of a path wait until the returned function is called.
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
	return v.seen[path]
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	ran    string // what a refusal says
}

// door is an entry as callers see it.
type door struct {
	*process
	addr string
	logs *logBook
}

func newEntry(t *testing.T, c *control) *door {
	t.Helper()
	return newEntryWithin(t, c, waitLimit)
}

// newEntryWithin starts an entry with a time-out for requests without a deadline.
func newEntryWithin(t *testing.T, c *control, timeout time.Duration) *door {
	t.Helper()
	d := &door{logs: &logBook{}}
	p, err := entry.New(entry.Settings{
		Name: "e1", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Control: []string{c.addr}, Beat: beat,
		DrainLimit: waitLimit, Timeout: timeout, Picker: "probing",
	}, zerolog.New(d.logs))
	assert.NilError(t, err)
	d.addr = d.logs.started(t)
	d.process = run(t, p.Run)
	return d
}

// knows reports whether the entry was told of n upstreams.
func (d *door) knows(n int) bool {
	for _, l := range d.logs.lines("upstreams") {
		if fmt.Sprint(l["upstreams"]) == fmt.Sprint(n) {
			return true
		}
	}
	return false
}

// post sends a request that must not run twice.
func (d *door) post(path string) answer { return d.send(http.MethodPost, path, "") }

// send sends a request, with a key if that is not empty.
func (d *door) send(method, path, key string) answer {
	req, err := http.NewRequest(method, "http://"+d.addr+"/svc/"+string(tickets)+path, nil)
	if err != nil {
		return answer{body: err.Error()}
	}
	if method == http.MethodPost {
		req.Body = io.NopCloser(strings.NewReader("row 7")) // which the client cannot repeat
		req.ContentLength = int64(len("row 7"))
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return ask(req)
}

// ask sends a request and reads its answer whole.
func ask(req *http.Request) answer {
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

// newLink returns a way to an address whose open connections can fall silent.
func newLink(t *testing.T, target string) *faultlink.Proxy {
	t.Helper()
	link, err := faultlink.New(target)
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	return link
}

// slowLink is the way to an agent. It holds back one request.
type slowLink struct {
	ln     net.Listener
	target string
	held   chan heldRequest
	told   atomic.Int64 // reads from the agent on entries' sessions
}

// heldRequest is a request whose bytes have left the entry and not reached the
// agent.
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
			go l.carry(c)
		}
	}()
	return l
}

func (l *slowLink) addr() string { return l.ln.Addr().String() }

// carry passes a connection on, both ways.
func (l *slowLink) carry(c net.Conn) {
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
				l.told.Add(1)
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
