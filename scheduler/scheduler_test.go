package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/disk"
	"rudderfork.example/rudderfork/front"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/quorum"
	"rudderfork.example/rudderfork/replica"
	"rudderfork.example/rudderfork/runner"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

const (
	// waitLimit ends a wait for a condition that does not come true. The longest one, of
	// TestWave, takes 18.5 s on a calm machine.
	waitLimit = 60 * time.Second
	// waveSpan is until when the wave of TestWave is to be done.
	waveSpan = 20 * time.Second
	host     = "desk.example"
	lease    = 2 * time.Second
)

// alone is the sender and the recorder of a replica that has no peers.
type alone struct{}

func (alone) Send(quorum.Message)            {}
func (alone) SetGroup([]quorum.Member, bool) {}
func (alone) Addrs() []string                { return nil }
func (alone) Record(rudderfork.Event)        {}

// site is a scheduler on a group of one, with agents and a front.
type site struct {
	t     *testing.T
	ctx   context.Context //nolint:containedctx // that of the test
	addr  string
	sched *Scheduler
	front *front.Client
	vms   int
	execs []*executor.Executor // of addVM
}

func newSite(t *testing.T, adviser rudderfork.Adviser) *site { return newSiteWith(t, adviser, lease) }

func newSiteWith(t *testing.T, adviser rudderfork.Adviser, lease time.Duration) *site {
	rep := newReplica(t, self)
	s := &site{t: t, ctx: t.Context()}
	s.sched = New(Settings{Lease: lease, KeepStatus: time.Minute}, rep, adviser, zerolog.Nop(), alone{})
	s.addr = listen(t, s.sched)
	s.front = front.New("front", s.seeds, zerolog.Nop())
	s.serve(rep, s.sched, s.front)
	return s
}

// self is the replica under test.
var self = quorum.Member{ID: "c#1", Name: "c", Voter: true}

// newReplica returns a replica of a group; no message of it arrives anywhere.
func newReplica(t *testing.T, group ...quorum.Member) *replica.Replica {
	t.Helper()
	return newReplicaOn(t, func(s replica.Store) replica.Store { return s }, group...)
}

// newReplicaOn is newReplica with another store around its own.
func newReplicaOn(t *testing.T, wrap func(replica.Store) replica.Store, group ...quorum.Member) *replica.Replica {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	assert.NilError(t, disk.Format(dir, disk.Identity{ID: self.ID, Members: group}))
	store, err := disk.Open(dir)
	assert.NilError(t, err)
	rep, err := replica.New(replica.Config{ElectionTimeout: 50 * time.Millisecond, Heartbeat: 10 * time.Millisecond, SnapshotEvery: 1000},
		wrap(store), alone{}, zerolog.Nop(), alone{}, steady.Now)
	assert.NilError(t, err)
	return rep
}

// listen serves a scheduler's sessions, and returns where.
func listen(t *testing.T, sched *Scheduler) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /queues", sched.Accept)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

func (s *site) seeds() []string { return []string{s.addr} }

// service is what a supervisor runs.
type service interface {
	Serve(ctx context.Context) error
}

func (s *site) serve(list ...service) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, svc := range list {
		wg.Go(func() { _ = svc.Serve(ctx) })
	}
	s.t.Cleanup(func() { cancel(); wg.Wait() })
}

// addVM adds a VM whose executor is the stand-in.
func (s *site) addVM(cfg executor.Config) *executor.Executor {
	name := fmt.Sprintf("vm%d", s.vms+1)
	cfg.Now, cfg.Room = steady.Now, rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	e := executor.New(name+"-life-1", cfg)
	s.execs = append(s.execs, e)
	s.addAgent(name, e, e.Life, cfg.Room)
	return e
}

// addAgent adds a VM's agent, and describes the executor to it while that has a
// life.
func (s *site) addAgent(name string, exec rudderfork.Executor, life func() string, room rudderfork.Resources) *runner.Agent {
	s.vms++
	a := runner.New(name, s.seeds, exec, zerolog.Nop())
	list := []service{}
	for _, svc := range a.Services() {
		list = append(list, svc)
	}
	s.serve(list...)
	go func() {
		for s.ctx.Err() == nil {
			if l := life(); l != "" {
				a.Describe(queue.VM{ID: rudderfork.VMID(name), Domain: domainOf(name), Incarnation: l, Service: "desk", Capacity: room}, false, 0)
			}
			steady.Pause(s.ctx, 50*time.Millisecond)
		}
	}()
	return a
}

// domainOf is the failure domain of a VM of addAgent: one each.
func domainOf(name string) rudderfork.Domain { return rudderfork.Domain("hall-" + name) }

func (s *site) ask(a wire.Ask) wire.AskAnswer {
	ctx, cancel := context.WithTimeout(s.ctx, waitLimit)
	defer cancel()
	return s.front.Ask(ctx, a, waitLimit)
}

func (s *site) put(advice *queue.Advice) {
	s.t.Helper()
	ans := s.ask(wire.Ask{Put: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: host, Prefix: "/q/", Service: "desk", MaxAttempts: 2, Advice: advice}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	assert.Equal(s.t, ans.Code, queue.OK, "%+v", ans)
}

func (s *site) submit(id string, payload string, list ...queue.Step) {
	s.t.Helper()
	ans := s.ask(wire.Ask{Submit: &queue.Submit{Host: host, Path: "/q/" + id, Spec: queue.Spec{Payload: payload, Steps: list}}})
	assert.Equal(s.t, ans.Code, queue.OK, "%+v", ans)
}

func (s *site) until(what string, ok func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(waitLimit), poll.WithDelay(10*time.Millisecond))
}

func (s *site) untilStatus(id string, want queue.Status) {
	s.t.Helper()
	s.until(id+" is "+string(want), func() bool {
		return s.ask(wire.Ask{Status: &wire.Place{Host: host, Path: "/q/" + id}}).Status == want
	})
}

var small = queue.Step{Count: 1, Size: rudderfork.Resources{CPUMilli: 500}}

// adviser allows some lives.
type adviser struct {
	mu    sync.Mutex
	allow func(life string) bool
	// allowStep says which steps any life may run; nil for all.
	allowStep func(step string) bool

	calls int
	lives int
}

func (a *adviser) Advise(_ context.Context, step string, lives []string) (map[string]string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	a.lives = max(a.lives, len(lives))
	if a.calls == 1 {
		return nil, errors.New("busy")
	}
	tickets := map[string]string{}
	for _, l := range lives {
		if a.allow(l) && (a.allowStep == nil || a.allowStep(step)) {
			tickets[l] = "ticket for " + step + " on " + l
		}
	}
	return tickets, nil
}

// TestAdvice runs steps only where the adviser allows it, with its ticket.
func TestAdvice(t *testing.T) {
	adv := &adviser{allow: func(life string) bool { return life == "vm2-life-1" }}
	s := newSite(t, adv)
	var mu sync.Mutex
	var began []string
	for i := range 3 {
		s.addVM(executor.Config{OnStart: func(r rudderfork.RunRef) {
			mu.Lock()
			defer mu.Unlock()
			began = append(began, fmt.Sprintf("vm%d %s", i+1, r.Task))
		}})
	}
	s.put(&queue.Advice{ValidMS: 5000})
	s.submit("j", "work=20ms", queue.Step{Count: 2, Size: small.Size}, queue.Step{Count: 1, DependsOn: []int{0}})
	s.untilStatus("j", queue.Completed)
	mu.Lock()
	defer mu.Unlock()
	slices.Sort(began)
	assert.DeepEqual(t, began, []string{"vm2 j.0.0.0", "vm2 j.0.0.1", "vm2 j.0.1.0"})
	assert.Assert(t, adv.lives <= 3)
}

// provider is a cloud whose upkeep restarts executors.
type provider struct {
	s       *site
	mu      sync.Mutex
	done    map[string]bool
	downNow map[string]time.Time
	most    int
	duties  []rudderfork.Duty
	refuse  int
	newer   bool // another holder has given orders with a higher token
	check   func(machine string)
}

const upkeepTakes = 300 * time.Millisecond

func (p *provider) Machines(context.Context) (list []rudderfork.Machine, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, e := range p.s.execs {
		name := fmt.Sprintf("m%d", i+1)
		list = append(list, rudderfork.Machine{Name: name, Up: time.Since(p.downNow[name]) > upkeepTakes, Executor: e.Life()})
	}
	return list, nil
}

func (p *provider) Upkeep(_ context.Context, d rudderfork.Duty, machine string, _ uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.duties = append(p.duties, d)
	if machine == "m9" {
		return rudderfork.ErrNoMachine
	}
	if p.newer {
		return rudderfork.ErrOutranked
	}
	if p.refuse > 0 {
		p.refuse--
		return rudderfork.ErrRefused
	}
	if p.done[machine] {
		return nil
	}
	if p.check != nil {
		p.check(machine)
	}
	p.done[machine] = true
	p.downNow[machine] = time.Now()
	down := 0
	for _, at := range p.downNow {
		if time.Since(at) < upkeepTakes {
			down++
		}
	}
	p.most = max(p.most, down)
	i := int(machine[1] - '1')
	p.s.execs[i].Restart(fmt.Sprintf("vm%d-life-2", i+1))
	if len(p.done) == 1 {
		return errors.New("no answer") // it was carried out all the same
	}
	return nil
}

// TestWave carries out a wave within its bounds: one machine at a time, none
// whose upkeep would take more of a lasting step away than it allows, and it is
// completed only once each has begun.
func TestWave(t *testing.T) {
	s := newSite(t, nil)
	for range 3 {
		s.addVM(executor.Config{})
	}
	s.put(nil)
	s.submit("feed", "", queue.Step{Count: 3, Size: small.Size, Lasting: true, MaxAway: 1, MaxPerVM: 1})
	atWork := func() (n int) {
		for _, e := range s.execs {
			n += len(e.Running())
		}
		return n
	}
	s.until("the feed is at work", func() bool { return atWork() == 3 })
	p := &provider{s: s, done: map[string]bool{}, downNow: map[string]time.Time{}, refuse: 1}
	p.check = func(machine string) {
		if n := atWork(); n < 3 {
			t.Errorf("the upkeep of %s begins with %d of 3 tasks at work", machine, n)
		}
	}
	s.serve(s.sched.Upkeep(p, "c", 0))
	wave := queue.Wave{ID: 7, Machines: []string{"m1", "m2", "m3", "m9"}, DueMS: rudderfork.Millis(steady.Now().Add(waveSpan)), MaxDown: 1}
	for range 2 { // the operator sends it again
		assert.Equal(t, s.ask(wire.Ask{Wave: &wave}).Code, queue.OK)
	}
	s.until("the wave is completed", func() bool {
		ans := s.ask(wire.Ask{Upkeep: 7})
		p.mu.Lock()
		defer p.mu.Unlock()
		assert.Assert(t, ans.Left > 0 || len(p.done) == 3, "completed with %v done", p.done)
		return ans.Code == queue.OK && ans.Left == 0
	})
	assert.Equal(t, p.most, 1)
	for _, d := range p.duties {
		assert.Equal(t, d.Holder, "c")
		assert.Assert(t, d.Fence > 0)
	}
	assert.Equal(t, s.ask(wire.Ask{Upkeep: 8}).Code, queue.NoJob)
}

// TestOutranked refuses a leader's order because another holder's is newer: it gives
// no more, on any machine of any wave, until it leads in another term.
func TestOutranked(t *testing.T) {
	s := newSite(t, nil)
	s.addVM(executor.Config{})
	s.addVM(executor.Config{})
	s.put(nil)
	p := &provider{s: s, done: map[string]bool{}, downNow: map[string]time.Time{}, newer: true}
	u, ok := s.sched.Upkeep(p, "c", 0).(*upkeep)
	assert.Assert(t, ok)
	for id := range uint64(2) {
		wave := queue.Wave{ID: id + 1, Machines: []string{"m1", "m2"}, DueMS: 1, MaxDown: 2}
		assert.Equal(t, s.ask(wire.Ask{Wave: &wave}).Code, queue.OK)
	}
	for range 10 {
		assert.Assert(t, u.round(t.Context()), "there are waves")
	}
	assert.Equal(t, len(p.duties), 1)
	t.Run("a later term begins anew", func(t *testing.T) {
		u.term--
		u.round(t.Context())
		assert.Equal(t, len(p.duties), 2)
	})
}

// TestLostVM takes a VM's agent away: its work begins elsewhere only once its
// lease has run out, and none of it runs twice at once.
func TestLostVM(t *testing.T) {
	s := newSite(t, nil)
	var mu sync.Mutex
	active := map[rudderfork.TaskID]int{}
	cfg := func() executor.Config {
		return executor.Config{
			OnStart: func(r rudderfork.RunRef) {
				mu.Lock()
				defer mu.Unlock()
				active[r.Task]++
				if active[r.Task] > 1 {
					t.Errorf("%s runs twice at once", r.Task)
				}
			},
			OnFinish: func(r rudderfork.RunRef, _ string) {
				mu.Lock()
				defer mu.Unlock()
				active[r.Task]--
			},
		}
	}
	first := s.addVM(cfg())
	s.put(nil)
	s.submit("feed", "", queue.Step{Count: 1, Size: small.Size, Lasting: true})
	s.until("the feed is at work", func() bool { return len(first.Running()) == 1 })
	first.SetFate(func(string) executor.Fate { return executor.Unheard })
	second := s.addVM(cfg())
	s.until("it is at work elsewhere", func() bool {
		first.Running()
		return len(second.Running()) == 1
	})
	assert.Equal(t, len(first.Running()), 0)
}

// heldExecutor holds the answer back that lists an end.
type heldExecutor struct {
	*executor.Executor
	listed  chan struct{} // closed once an end was listed
	release chan struct{}
	once    sync.Once
}

// Look implements rudderfork.Executor.
func (e *heldExecutor) Look(ctx context.Context, life string, req rudderfork.LookRequest) (rudderfork.Look, error) {
	look, err := e.Executor.Look(ctx, life, req)
	if len(look.Ended) > 0 {
		e.once.Do(func() { close(e.listed) })
		<-e.release
	}
	return look, err
}

// TestExecutorLeft lets executors say farewell. No lease runs out meanwhile.
func TestExecutorLeft(t *testing.T) {
	room := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	begun := func(n *atomic.Int32) executor.Config {
		return executor.Config{Now: steady.Now, Room: room, OnStart: func(rudderfork.RunRef) { n.Add(1) }}
	}
	// On a hunted day of prhta-rudder (hunt-f868-3) a task that was done began
	// again: its end was listed 3 ms before the farewell, and read after it.
	t.Run("an end that is read after the farewell stands", func(t *testing.T) {
		s := newSite(t, nil)
		var starts atomic.Int32
		cfg := begun(&starts)
		e := &heldExecutor{Executor: executor.New("vm1-life-1", cfg), listed: make(chan struct{}), release: make(chan struct{})}
		a := s.addAgent("vm1", e, e.Life, room)
		s.put(nil)
		s.submit("roster", "work=50ms", small)
		<-e.listed
		a.Gone("vm1-life-1")
		e.Restart("")
		close(e.release)
		s.addVM(begun(&starts))
		s.untilStatus("roster", queue.Completed)
		assert.Equal(t, starts.Load(), int32(1))
	})
	t.Run("its work begins elsewhere without waiting for the lease", func(t *testing.T) {
		s := newSiteWith(t, nil, time.Hour)
		var starts atomic.Int32
		e := executor.New("vm1-life-1", begun(&starts))
		a := s.addAgent("vm1", e, e.Life, room)
		s.put(nil)
		s.submit("feed", "", queue.Step{Count: 1, Size: small.Size, Lasting: true})
		s.until("the feed is at work", func() bool { return len(e.Running()) == 1 })
		second := s.addVM(begun(&starts))
		e.Restart("")
		a.Gone("vm1-life-1")
		s.until("it is at work elsewhere", func() bool { return len(second.Running()) == 1 })
	})
}

// TestReadsAreCurrent asks for what was just changed.
func TestReadsAreCurrent(t *testing.T) {
	s := newSite(t, nil)
	s.put(nil)
	for i := range 20 {
		id := fmt.Sprintf("j%d", i)
		s.submit(id, "", small)
		assert.Equal(t, s.ask(wire.Ask{Status: &wire.Place{Host: host, Path: "/q/" + id}}).Status, queue.Queued)
	}
	assert.Equal(t, s.ask(wire.Ask{Status: &wire.Place{Host: host, Path: "/q/"}}).Waiting, 20)
	var views []QueueView
	s.sched.rep.View(func(st *state.State) {
		s.sched.mu.Lock()
		defer s.sched.mu.Unlock()
		views = queueViews(st.Queues(), s.sched.fleet)
	})
	assert.Equal(t, views[0].Live, 20)
}

// TestLeads holds what ends a session: the process leads no more in its term. (It
// was asked only with a VM's heartbeat; fronts stayed with a leader that had lost
// its quorum for 3 s, while its duties waited for a commit.)
func TestLeads(t *testing.T) {
	s := newSite(t, nil)
	s.put(nil)
	term := s.sched.currentTerm()
	assert.Assert(t, s.sched.leads(term))
	assert.Assert(t, !s.sched.leads(term-1))
	assert.Assert(t, !s.sched.leads(term+1))
}

// TestOpenAfterStepDown says hello to a process that has stepped down, without a
// new term, while its duties have not ended. It takes no session that it would
// drop with the first message.
func TestOpenAfterStepDown(t *testing.T) {
	peer := quorum.Member{ID: "d#1", Name: "d", Addr: "d.example:1", Voter: true}
	s := &site{t: t, ctx: t.Context()}
	rep := newReplica(t, self, peer)
	s.serve(rep)
	const term = 5
	rep.Step(s.ctx, quorum.Message{Type: quorum.MsgAppend, From: peer.ID, To: self.ID, Term: term})
	s.until("the replica follows", func() bool { return rep.Status().Term == term })
	s.sched = New(Settings{Lease: lease, KeepStatus: time.Minute}, rep, nil, zerolog.Nop(), alone{})
	s.sched.startTerm(term)
	addr := listen(t, s.sched)

	c, err := wire.Dial[wire.FromNode, wire.ToQueueNode](s.ctx, "ws://"+addr+"/queues", wire.QueueSession)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.Send(s.ctx, wire.FromNode{Hello: &wire.QueueHello{Version: wire.Version, Process: "front"}}))
	m, err := c.ReceiveWithin(s.ctx, waitLimit)
	assert.NilError(t, err)
	assert.Assert(t, m.Welcome == nil, "welcomed in term %d", term)
	assert.DeepEqual(t, m.Redirect.Members, []string{self.Addr, peer.Addr})
}

// TestHelloWaitsForLeader says hello to a process while a leader is elected: its first
// answer names the leader, once there is one. (It answered that it knew none, and was asked
// again 20 times a second by every node.)
func TestHelloWaitsForLeader(t *testing.T) {
	peer := quorum.Member{ID: "d#1", Name: "d", Addr: "d.example:1", Voter: true}
	hello := func(t *testing.T, elect bool) *wire.QueueRedirect {
		t.Helper()
		s := &site{t: t, ctx: t.Context()}
		rep := newReplica(t, self, peer)
		s.serve(rep)
		addr := listen(t, New(Settings{Lease: lease, KeepStatus: time.Minute}, rep, nil, zerolog.Nop(), alone{}))
		c, err := wire.Dial[wire.FromNode, wire.ToQueueNode](s.ctx, "ws://"+addr+"/queues", wire.QueueSession)
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.Send(s.ctx, wire.FromNode{Hello: &wire.QueueHello{Version: wire.Version, Process: "front"}}))
		if elect {
			steady.Pause(s.ctx, leaderWait/4)
			rep.Step(s.ctx, quorum.Message{Type: quorum.MsgAppend, From: peer.ID, To: self.ID, Term: 100})
		}
		m, err := c.ReceiveWithin(s.ctx, waitLimit)
		assert.NilError(t, err)
		assert.DeepEqual(t, m.Redirect.Members, []string{self.Addr, peer.Addr})
		return m.Redirect
	}
	t.Run("one is elected", func(t *testing.T) { assert.Equal(t, hello(t, true).Leader, peer.Addr) })
	t.Run("none is", func(t *testing.T) { assert.Equal(t, hello(t, false).Leader, "") })
}
