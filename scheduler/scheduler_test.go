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
	// waitTimeout bounds the wait for a condition; the test fails after it. The longest wait,
	// that of TestUpkeepWaveKeepsBounds, takes 18.5 s on an idle machine.
	waitTimeout = 60 * time.Second
	// waveDueIn is how long after its submission the wave of TestUpkeepWaveKeepsBounds is due.
	waveDueIn = 20 * time.Second
	testHost  = "desk.example"
	testLease = 2 * time.Second
)

// noPeers is a message sender and event recorder that drops everything.
type noPeers struct{}

func (noPeers) Send(quorum.Message)              {}
func (noPeers) SetMembers([]quorum.Member, bool) {}
func (noPeers) Addrs() []string                  { return nil }
func (noPeers) Record(rudderfork.Event)          {}

// testCluster is a scheduler on a replica group of one, with agents and a front.
type testCluster struct {
	t         *testing.T
	ctx       context.Context //nolint:containedctx // the test's context
	addr      string
	sched     *Scheduler
	front     *front.Client
	vmsAdded  int
	executors []*executor.Executor // executors of the VMs that addVM added, in order
}

func newTestCluster(t *testing.T, adviser rudderfork.Adviser) *testCluster {
	return newTestClusterWithLease(t, adviser, testLease)
}

func newTestClusterWithLease(t *testing.T, adviser rudderfork.Adviser, lease time.Duration) *testCluster {
	rep := newReplica(t, selfMember)
	c := &testCluster{t: t, ctx: t.Context()}
	c.sched = New(Settings{Lease: lease, StatusRetention: time.Minute}, rep, adviser, zerolog.Nop(), noPeers{})
	c.addr = serveSessions(t, c.sched)
	c.front = front.New("front", c.seeds, zerolog.Nop())
	c.serve(rep, c.sched, c.front)
	return c
}

// selfMember is the replica under test.
var selfMember = quorum.Member{ID: "c#1", Name: "c", Voter: true}

// newReplica returns a replica of a group; all messages it sends are dropped.
func newReplica(t *testing.T, group ...quorum.Member) *replica.Replica {
	t.Helper()
	return newReplicaWithStore(t, func(s replica.Store) replica.Store { return s }, group...)
}

// newReplicaWithStore is newReplica with its store wrapped by wrap.
func newReplicaWithStore(t *testing.T, wrap func(replica.Store) replica.Store, group ...quorum.Member) *replica.Replica {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	assert.NilError(t, disk.Format(dir, disk.Identity{ID: selfMember.ID, Members: group}))
	store, err := disk.Open(dir)
	assert.NilError(t, err)
	rep, err := replica.New(replica.Config{ElectionTimeout: 50 * time.Millisecond, Heartbeat: 10 * time.Millisecond, SnapshotEvery: 1000},
		wrap(store), noPeers{}, zerolog.Nop(), noPeers{}, steady.Now)
	assert.NilError(t, err)
	return rep
}

// serveSessions serves a scheduler's sessions on a loopback port and returns its address.
func serveSessions(t *testing.T, sched *Scheduler) (addr string) {
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

func (c *testCluster) seeds() []string { return []string{c.addr} }

// service is a long-running service, like those that a supervisor runs.
type service interface {
	Serve(ctx context.Context) error
}

func (c *testCluster) serve(list ...service) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, svc := range list {
		wg.Go(func() { _ = svc.Serve(ctx) })
	}
	c.t.Cleanup(func() { cancel(); wg.Wait() })
}

// addVM adds a VM with a stand-in executor and an agent.
func (c *testCluster) addVM(cfg executor.Config) *executor.Executor {
	name := fmt.Sprintf("vm%d", c.vmsAdded+1)
	cfg.Now, cfg.Capacity = steady.Now, rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	e := executor.New(name+"-life-1", cfg)
	c.executors = append(c.executors, e)
	c.addAgent(name, e, e.Incarnation, cfg.Capacity)
	return e
}

// addAgent adds an agent for a VM. While incarnation returns a name, the executor is described to the
// agent every 50 ms.
func (c *testCluster) addAgent(name string, exec rudderfork.Executor, incarnation func() string, capacity rudderfork.Resources) *runner.Agent {
	c.vmsAdded++
	a := runner.New(name, c.seeds, exec, zerolog.Nop())
	list := []service{}
	for _, svc := range a.Services() {
		list = append(list, svc)
	}
	c.serve(list...)
	go func() {
		for c.ctx.Err() == nil {
			if inc := incarnation(); inc != "" {
				a.HandleDescription(queue.VM{ID: rudderfork.VMID(name), Domain: domainOf(name), Incarnation: inc, Service: "desk", Capacity: capacity}, false, 0)
			}
			steady.Pause(c.ctx, 50*time.Millisecond)
		}
	}()
	return a
}

// domainOf returns the failure domain of a VM that addAgent added; each VM has its own.
func domainOf(name string) rudderfork.Domain { return rudderfork.Domain("hall-" + name) }

func (c *testCluster) send(req wire.QueueRequest) wire.QueueResponse {
	ctx, cancel := context.WithTimeout(c.ctx, waitTimeout)
	defer cancel()
	return c.front.Do(ctx, req, waitTimeout)
}

func (c *testCluster) putDocument(advice *queue.Advice) {
	c.t.Helper()
	resp := c.send(wire.QueueRequest{Put: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: testHost, Prefix: "/q/", Service: "desk", MaxAttempts: 2, Advice: advice}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	assert.Equal(c.t, resp.Code, queue.OK, "%+v", resp)
}

func (c *testCluster) submit(id string, payload string, list ...queue.Step) {
	c.t.Helper()
	resp := c.send(wire.QueueRequest{Submit: &queue.Submit{Host: testHost, Path: "/q/" + id, Spec: queue.Spec{Payload: payload, Steps: list}}})
	assert.Equal(c.t, resp.Code, queue.OK, "%+v", resp)
}

func (c *testCluster) waitUntil(what string, ok func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
}

func (c *testCluster) waitForStatus(id string, want queue.Status) {
	c.t.Helper()
	c.waitUntil(id+" is "+string(want), func() bool {
		return c.send(wire.QueueRequest{Status: &wire.HostPath{Host: testHost, Path: "/q/" + id}}).Status == want
	})
}

var smallStep = queue.Step{Count: 1, Size: rudderfork.Resources{CPUMilli: 500}}

// fakeAdviser issues tickets for some incarnations. Its first call fails.
type fakeAdviser struct {
	mu    sync.Mutex
	allow func(inc string) bool
	// allowStep reports whether a step gets any tickets; nil allows all steps.
	allowStep func(step string) bool

	calls    int // number of calls so far
	maxAsked int // largest number of incarnations in one call
}

func (a *fakeAdviser) Advise(_ context.Context, step string, incarnations []string) (map[string]string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	a.maxAsked = max(a.maxAsked, len(incarnations))
	if a.calls == 1 {
		return nil, errors.New("busy")
	}
	tickets := map[string]string{}
	for _, inc := range incarnations {
		if a.allow(inc) && (a.allowStep == nil || a.allowStep(step)) {
			tickets[inc] = "ticket for " + step + " on " + inc
		}
	}
	return tickets, nil
}

// TestStepRunsOnlyWhereAdviserAllows checks that tasks start only on the VM for which the adviser
// issued tickets.
func TestStepRunsOnlyWhereAdviserAllows(t *testing.T) {
	adv := &fakeAdviser{allow: func(inc string) bool { return inc == "vm2-life-1" }}
	c := newTestCluster(t, adv)
	var mu sync.Mutex
	var started []string
	for i := range 3 {
		c.addVM(executor.Config{OnStart: func(r rudderfork.RunRef) {
			mu.Lock()
			defer mu.Unlock()
			started = append(started, fmt.Sprintf("vm%d %s", i+1, r.Task))
		}})
	}
	c.putDocument(&queue.Advice{ValidMS: 5000})
	c.submit("j", "work=20ms", queue.Step{Count: 2, Size: smallStep.Size}, queue.Step{Count: 1, DependsOn: []int{0}})
	c.waitForStatus("j", queue.Completed)
	mu.Lock()
	defer mu.Unlock()
	slices.Sort(started)
	assert.DeepEqual(t, started, []string{"vm2 j.0.0.0", "vm2 j.0.0.1", "vm2 j.0.1.0"})
	assert.Assert(t, adv.maxAsked <= 3)
}

// fakeProvider is a cloud provider whose upkeep of a machine restarts the executor there. The first
// upkeep is carried out but returns an error. Machine m9 does not exist.
type fakeProvider struct {
	cluster      *testCluster
	mu           sync.Mutex
	done         map[string]bool      // machines whose upkeep was carried out
	downAt       map[string]time.Time // by machine: when its upkeep began
	maxDown      int                  // largest number of machines that were down at once
	issuers      []rudderfork.Issuer
	refusals     int  // number of further orders to refuse
	fenced       bool // another holder has used a higher fencing token
	beforeUpkeep func(machine string)
}

const upkeepDuration = 300 * time.Millisecond

func (p *fakeProvider) Machines(context.Context) (list []rudderfork.Machine, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, e := range p.cluster.executors {
		name := fmt.Sprintf("m%d", i+1)
		list = append(list, rudderfork.Machine{Name: name, Up: time.Since(p.downAt[name]) > upkeepDuration, Executor: e.Incarnation()})
	}
	return list, nil
}

func (p *fakeProvider) Upkeep(_ context.Context, issuer rudderfork.Issuer, machine string, _ uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.issuers = append(p.issuers, issuer)
	if machine == "m9" {
		return rudderfork.ErrNoMachine
	}
	if p.fenced {
		return rudderfork.ErrFenced
	}
	if p.refusals > 0 {
		p.refusals--
		return rudderfork.ErrRefused
	}
	if p.done[machine] {
		return nil
	}
	if p.beforeUpkeep != nil {
		p.beforeUpkeep(machine)
	}
	p.done[machine] = true
	p.downAt[machine] = time.Now()
	down := 0
	for _, at := range p.downAt {
		if time.Since(at) < upkeepDuration {
			down++
		}
	}
	p.maxDown = max(p.maxDown, down)
	i := int(machine[1] - '1')
	p.cluster.executors[i].Restart(fmt.Sprintf("vm%d-life-2", i+1))
	if len(p.done) == 1 {
		return errors.New("no answer") // the upkeep was carried out nevertheless
	}
	return nil
}

// TestUpkeepWaveKeepsBounds checks that a wave takes one machine down at a time, never exceeds the
// MaxAway of a lasting step, and completes only after the upkeep of each machine has begun.
func TestUpkeepWaveKeepsBounds(t *testing.T) {
	c := newTestCluster(t, nil)
	for range 3 {
		c.addVM(executor.Config{})
	}
	c.putDocument(nil)
	c.submit("feed", "", queue.Step{Count: 3, Size: smallStep.Size, Lasting: true, MaxAway: 1, MaxPerVM: 1})
	running := func() (n int) {
		for _, e := range c.executors {
			n += len(e.Running())
		}
		return n
	}
	c.waitUntil("the lasting task runs", func() bool { return running() == 3 })
	p := &fakeProvider{cluster: c, done: map[string]bool{}, downAt: map[string]time.Time{}, refusals: 1}
	p.beforeUpkeep = func(machine string) {
		if n := running(); n < 3 {
			t.Errorf("upkeep of %s begins with %d of 3 tasks running", machine, n)
		}
	}
	c.serve(c.sched.Upkeep(p, "c", 0))
	wave := queue.Wave{ID: 7, Machines: []string{"m1", "m2", "m3", "m9"}, DueMS: rudderfork.Millis(steady.Now().Add(waveDueIn)), MaxDown: 1}
	for range 2 { // the operator repeats the request
		assert.Equal(t, c.send(wire.QueueRequest{Wave: &wave}).Code, queue.OK)
	}
	c.waitUntil("the wave is completed", func() bool {
		resp := c.send(wire.QueueRequest{Upkeep: 7})
		p.mu.Lock()
		defer p.mu.Unlock()
		assert.Assert(t, resp.Left > 0 || len(p.done) == 3, "wave completed after the upkeep of only %v", p.done)
		return resp.Code == queue.OK && resp.Left == 0
	})
	assert.Equal(t, p.maxDown, 1)
	for _, issuer := range p.issuers {
		assert.Equal(t, issuer.Holder, "c")
		assert.Assert(t, issuer.Fence > 0)
	}
	assert.Equal(t, c.send(wire.QueueRequest{Upkeep: 8}).Code, queue.NoJob)
}

// TestFencedLeaderStopsOrders checks that a leader whose upkeep order was rejected, because another
// holder has a newer fencing token, gives no more orders for any machine of any wave until its next
// term.
func TestFencedLeaderStopsOrders(t *testing.T) {
	c := newTestCluster(t, nil)
	c.addVM(executor.Config{})
	c.addVM(executor.Config{})
	c.putDocument(nil)
	p := &fakeProvider{cluster: c, done: map[string]bool{}, downAt: map[string]time.Time{}, fenced: true}
	u, ok := c.sched.Upkeep(p, "c", 0).(*upkeep)
	assert.Assert(t, ok)
	for id := range uint64(2) {
		wave := queue.Wave{ID: id + 1, Machines: []string{"m1", "m2"}, DueMS: 1, MaxDown: 2}
		assert.Equal(t, c.send(wire.QueueRequest{Wave: &wave}).Code, queue.OK)
	}
	for range 10 {
		assert.Assert(t, u.round(t.Context()), "no open waves found")
	}
	assert.Equal(t, len(p.issuers), 1)
	t.Run("a later term gives orders again", func(t *testing.T) {
		u.term--
		u.round(t.Context())
		assert.Equal(t, len(p.issuers), 2)
	})
}

// TestTaskOfLostVMRunsOnce guards against two concurrent runs of a task when a VM's executor receives
// no more calls: the task starts elsewhere only after the lease has run out.
func TestTaskOfLostVMRunsOnce(t *testing.T) {
	c := newTestCluster(t, nil)
	var mu sync.Mutex
	active := map[rudderfork.TaskID]int{}
	cfg := func() executor.Config {
		return executor.Config{
			OnStart: func(r rudderfork.RunRef) {
				mu.Lock()
				defer mu.Unlock()
				active[r.Task]++
				if active[r.Task] > 1 {
					t.Errorf("%s has two concurrent runs", r.Task)
				}
			},
			OnFinish: func(r rudderfork.RunRef, _ string) {
				mu.Lock()
				defer mu.Unlock()
				active[r.Task]--
			},
		}
	}
	first := c.addVM(cfg())
	c.putDocument(nil)
	c.submit("feed", "", queue.Step{Count: 1, Size: smallStep.Size, Lasting: true})
	c.waitUntil("the lasting task runs", func() bool { return len(first.Running()) == 1 })
	first.SetDelivery(func(string) executor.Delivery { return executor.RequestLost })
	second := c.addVM(cfg())
	c.waitUntil("the task runs elsewhere", func() bool {
		first.Running()
		return len(second.Running()) == 1
	})
	assert.Equal(t, len(first.Running()), 0)
}

// heldPollExecutor holds back poll answers that list ended runs until release is closed.
type heldPollExecutor struct {
	*executor.Executor
	listed  chan struct{} // closed once an ended run was listed
	release chan struct{}
	once    sync.Once
}

// Poll implements rudderfork.Executor.
func (e *heldPollExecutor) Poll(ctx context.Context, inc string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	status, err := e.Executor.Poll(ctx, inc, req)
	if len(status.Ended) > 0 {
		e.once.Do(func() { close(e.listed) })
		<-e.release
	}
	return status, err
}

// TestExecutorLeaves checks what becomes of the runs of an executor that gives its shutdown notice
// while its VM's lease is valid.
func TestExecutorLeaves(t *testing.T) {
	capacity := rudderfork.Resources{CPUMilli: 4000, MemoryMB: 1000}
	countStarts := func(n *atomic.Int32) executor.Config {
		return executor.Config{Now: steady.Now, Capacity: capacity, OnStart: func(rudderfork.RunRef) { n.Add(1) }}
	}
	// This guards against a completed task that runs again because its end was listed before the
	// shutdown notice and read after it.
	t.Run("an end that is read after the shutdown notice counts", func(t *testing.T) {
		c := newTestCluster(t, nil)
		var starts atomic.Int32
		cfg := countStarts(&starts)
		e := &heldPollExecutor{Executor: executor.New("vm1-life-1", cfg), listed: make(chan struct{}), release: make(chan struct{})}
		a := c.addAgent("vm1", e, e.Incarnation, capacity)
		c.putDocument(nil)
		c.submit("roster", "work=50ms", smallStep)
		<-e.listed
		a.HandleShutdownNotice("vm1-life-1")
		e.Restart("")
		close(e.release)
		c.addVM(countStarts(&starts))
		c.waitForStatus("roster", queue.Completed)
		assert.Equal(t, starts.Load(), int32(1))
	})
	t.Run("its task starts elsewhere without waiting for the lease", func(t *testing.T) {
		c := newTestClusterWithLease(t, nil, time.Hour)
		var starts atomic.Int32
		e := executor.New("vm1-life-1", countStarts(&starts))
		a := c.addAgent("vm1", e, e.Incarnation, capacity)
		c.putDocument(nil)
		c.submit("feed", "", queue.Step{Count: 1, Size: smallStep.Size, Lasting: true})
		c.waitUntil("the lasting task runs", func() bool { return len(e.Running()) == 1 })
		second := c.addVM(countStarts(&starts))
		e.Restart("")
		a.HandleShutdownNotice("vm1-life-1")
		c.waitUntil("the task runs elsewhere", func() bool { return len(second.Running()) == 1 })
	})
}

// TestReadsSeeEarlierCommits checks that a read right after a submission sees the job.
func TestReadsSeeEarlierCommits(t *testing.T) {
	c := newTestCluster(t, nil)
	c.putDocument(nil)
	for i := range 20 {
		id := fmt.Sprintf("j%d", i)
		c.submit(id, "", smallStep)
		assert.Equal(t, c.send(wire.QueueRequest{Status: &wire.HostPath{Host: testHost, Path: "/q/" + id}}).Status, queue.Queued)
	}
	assert.Equal(t, c.send(wire.QueueRequest{Status: &wire.HostPath{Host: testHost, Path: "/q/"}}).Waiting, 20)
	var views []QueueView
	c.sched.rep.View(func(st *state.State) {
		c.sched.mu.Lock()
		defer c.sched.mu.Unlock()
		views = queueViews(st.Queues(), c.sched.fleet)
	})
	assert.Equal(t, views[0].Live, 20)
}

// TestLeadsOnlyInCurrentTerm checks the condition that ends a session: the process no longer leads in
// the session's term. When only heartbeats of VMs checked it, fronts stayed connected for 3 s to a
// leader that had lost its quorum, while its round waited for a commit.
func TestLeadsOnlyInCurrentTerm(t *testing.T) {
	c := newTestCluster(t, nil)
	c.putDocument(nil)
	term := c.sched.currentTerm()
	assert.Assert(t, c.sched.leads(term))
	assert.Assert(t, !c.sched.leads(term-1))
	assert.Assert(t, !c.sched.leads(term+1))
}

// TestSessionOpenedAfterStepDown guards against a process that opens a session after it has stepped
// down, because its round has not noticed that yet. It would end the session at the first message.
func TestSessionOpenedAfterStepDown(t *testing.T) {
	peer := quorum.Member{ID: "d#1", Name: "d", Addr: "d.example:1", Voter: true}
	c := &testCluster{t: t, ctx: t.Context()}
	rep := newReplica(t, selfMember, peer)
	c.serve(rep)
	const term = 5
	rep.Step(c.ctx, quorum.Message{Type: quorum.MsgAppend, From: peer.ID, To: selfMember.ID, Term: term})
	c.waitUntil("the replica follows", func() bool { return rep.Status().Term == term })
	c.sched = New(Settings{Lease: testLease, StatusRetention: time.Minute}, rep, nil, zerolog.Nop(), noPeers{})
	c.sched.startTerm(term)
	addr := serveSessions(t, c.sched)

	conn, err := wire.Dial[wire.FromNode, wire.ToQueueNode](c.ctx, "ws://"+addr+"/queues", wire.QueueSession)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.Send(c.ctx, wire.FromNode{Hello: &wire.QueueHello{Version: wire.Version, Process: "front"}}))
	m, err := conn.ReceiveWithin(c.ctx, waitTimeout)
	assert.NilError(t, err)
	assert.Assert(t, m.Welcome == nil, "session was opened in term %d", term)
	assert.DeepEqual(t, m.Redirect.Members, []string{selfMember.Addr, peer.Addr})
}

// TestRedirectWithoutLeaderDuringElection guards against a process that answers hellos during an
// election with a redirect that names no leader: every node then retries 20 times a second.
func TestRedirectWithoutLeaderDuringElection(t *testing.T) {
	peer := quorum.Member{ID: "d#1", Name: "d", Addr: "d.example:1", Voter: true}
	hello := func(t *testing.T, elect bool) *wire.QueueRedirect {
		t.Helper()
		c := &testCluster{t: t, ctx: t.Context()}
		rep := newReplica(t, selfMember, peer)
		c.serve(rep)
		addr := serveSessions(t, New(Settings{Lease: testLease, StatusRetention: time.Minute}, rep, nil, zerolog.Nop(), noPeers{}))
		conn, err := wire.Dial[wire.FromNode, wire.ToQueueNode](c.ctx, "ws://"+addr+"/queues", wire.QueueSession)
		assert.NilError(t, err)
		defer conn.Close()
		assert.NilError(t, conn.Send(c.ctx, wire.FromNode{Hello: &wire.QueueHello{Version: wire.Version, Process: "front"}}))
		if elect {
			steady.Pause(c.ctx, leaderWait/4)
			rep.Step(c.ctx, quorum.Message{Type: quorum.MsgAppend, From: peer.ID, To: selfMember.ID, Term: 100})
		}
		m, err := conn.ReceiveWithin(c.ctx, waitTimeout)
		assert.NilError(t, err)
		assert.DeepEqual(t, m.Redirect.Members, []string{selfMember.Addr, peer.Addr})
		return m.Redirect
	}
	t.Run("a leader is elected", func(t *testing.T) { assert.Equal(t, hello(t, true).Leader, peer.Addr) })
	t.Run("no leader is elected", func(t *testing.T) { assert.Equal(t, hello(t, false).Leader, "") })
}
