package scheduler

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/runner"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// refusedRun is one that its agent has reported as refused.
var refusedRun = rudderfork.RunRef{Task: "job.0.0.0", Run: 1}

// newRefusal is a site whose only VM has a run that its agent refuses; commits are held.
func newRefusal(t *testing.T) (h *heldSite, c *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM, release func()) {
	h = newHeldSite(t, Settings{Lease: time.Hour})
	vm = lonely
	vm.Service, vm.Capacity = "desk", rudderfork.Resources{CPUMilli: 4_000, MemoryMB: 1_000}
	h.do(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: host, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	c = h.dial(string(vm.ID))
	h.beat(c, vm, 1)
	h.nextFull(c)
	h.do(queue.Command{Submit: &queue.Submit{Host: host, Path: "/q/job", Spec: queue.Spec{Steps: []queue.Step{small}}}})
	h.sched.round(h.ctx)
	h.until("the run is on the VM", func() bool { return h.runsOf(vm.ID) == 1 })
	release = h.hold()
	last := h.rep.Status().Last
	h.refuse(c, vm)
	h.until("the refusal is proposed", func() bool { return h.rep.Status().Last > last })
	return h, c, vm, release
}

// nextFull returns the next full list of orders.
func (h *heldSite) nextFull(c *wire.Conn[wire.FromNode, wire.ToQueueNode]) *wire.Orders {
	for {
		m, err := c.ReceiveWithin(h.ctx, waitLimit)
		if err != nil {
			return nil
		}
		if m.Orders != nil && m.Orders.Full {
			return m.Orders
		}
	}
}

func (h *heldSite) refuse(c *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM) {
	h.t.Helper()
	key, err := queue.ParseTaskKey(string(refusedRun.Task))
	assert.NilError(h.t, err)
	ends := queue.Ends{VM: vm.ID, Incarnation: vm.Incarnation, List: []queue.End{{Task: key, Run: refusedRun.Run, How: queue.EndRefused}}}
	assert.NilError(h.t, c.Send(h.ctx, wire.FromNode{Ends: &wire.EndsReport{Seq: 1, Ends: ends}}))
}

func (h *heldSite) runsOf(id rudderfork.VMID) (n int) {
	h.rep.View(func(st *state.State) { n = len(st.Queues().VM(id).Runs()) })
	return n
}

// beatWithout sends heartbeats of an agent that has no list of orders.
func (h *heldSite) beatWithout(c *wire.Conn[wire.FromNode, wire.ToQueueNode], vm queue.VM, sent int64) {
	h.t.Helper()
	assert.NilError(h.t, c.Send(h.ctx, wire.FromNode{Beat: &wire.VMBeat{Sent: sent, VM: vm, Epoch: new(uint64)}}))
}

// fullList returns the next full list of orders. Commits go on once it is there, or has
// not come for a while.
func (h *heldSite) fullList(c *wire.Conn[wire.FromNode, wire.ToQueueNode], release func()) *wire.Orders {
	h.t.Helper()
	lists := make(chan *wire.Orders, 1)
	go func() { lists <- h.nextFull(c) }()
	select {
	case o := <-lists:
		release()
		return o
	case <-time.After(fullSpan):
		release()
		return <-lists
	}
}

func (h *heldSite) assertNotOrdered(o *wire.Orders) {
	h.t.Helper()
	assert.Assert(h.t, o != nil, "no list came")
	for _, r := range o.Start {
		assert.Assert(h.t, r.RunRef != refusedRun, "it is ordered to start though it is reported as refused")
	}
}

// TestListNamesRefusedRun guards against a run that an agent without its orders starts
// while the refusal that it has reported is on its way, and that starts elsewhere then.
func TestListNamesRefusedRun(t *testing.T) {
	t.Run("in the next session, which reports it again", func(t *testing.T) {
		h, c, vm, release := newRefusal(t)
		c.Close()
		c = h.dial(string(vm.ID))
		h.refuse(c, vm)
		h.beatWithout(c, vm, 2)
		h.assertNotOrdered(h.fullList(c, release))
	})
	t.Run("in the next session, of an agent that has started again", func(t *testing.T) {
		h, c, vm, release := newRefusal(t)
		c.Close()
		c = h.dial(string(vm.ID))
		h.beatWithout(c, vm, 2)
		h.assertNotOrdered(h.fullList(c, release))
	})
	t.Run("in the same session", func(t *testing.T) {
		h, c, vm, release := newRefusal(t)
		h.sched.mu.Lock()
		h.sched.fleet.vm(vm.ID).session.fullBy = time.Time{} // its first list is long past
		h.sched.mu.Unlock()
		h.beatWithout(c, vm, 2)
		h.assertNotOrdered(h.fullList(c, release))
	})
}

// fullExecutor has no room for a start once, and does not hear of stops.
type fullExecutor struct {
	*executor.Executor
	isFull func() bool
}

// Start implements rudderfork.Executor.
func (e *fullExecutor) Start(ctx context.Context, life string, s rudderfork.RunStart) (out rudderfork.StartOutcome, err error) {
	if e.isFull() {
		return rudderfork.StartNoRoom, nil
	}
	return e.Executor.Start(ctx, life, s)
}

// Stop implements rudderfork.Executor. The call is lost on its way.
func (e *fullExecutor) Stop(context.Context, string, rudderfork.RunRef, uint64) error {
	return context.DeadlineExceeded
}

// serveAgent runs an agent of a VM until it is ended.
func (h *heldSite) serveAgent(name string, e *fullExecutor) (end func()) {
	ctx, cancel := context.WithCancel(h.ctx)
	var wg sync.WaitGroup
	a := runner.New(name, h.seeds, e, zerolog.Nop())
	for _, svc := range a.Services() {
		wg.Go(func() { _ = svc.Serve(ctx) })
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			a.Describe(queue.VM{ID: rudderfork.VMID(name), Domain: domainOf(name), Incarnation: e.Life(), Service: "desk", Capacity: e.Room()}, false, 0)
			steady.Pause(ctx, 50*time.Millisecond)
		}
	})
	end = func() { cancel(); wg.Wait() }
	h.t.Cleanup(end)
	return end
}

// twoPlaces are two VMs, the first of which to be told to start something refuses it, while
// commits are held from then on.
type twoPlaces struct {
	*heldSite
	execs   map[string]*fullExecutor
	end     map[string]func() // ends an agent
	mu      sync.Mutex
	refuser string
	last    uint64 // entry when it refused
	release func()
	both    bool // a start found the task at work on the other VM
}

func newTwoPlaces(t *testing.T) *twoPlaces {
	s := &twoPlaces{heldSite: newHeldSite(t, Settings{Lease: lease}), execs: map[string]*fullExecutor{}, end: map[string]func(){}}
	s.do(queue.Command{Document: &queue.Document{
		Version: 1, Queues: []queue.Queue{{Name: "q", Host: host, Prefix: "/q/", Service: "desk", MaxAttempts: 2}},
		Pools: []queue.Pool{{Service: "desk"}},
	}})
	for _, name := range []string{"vm1", "vm2"} {
		s.execs[name] = &fullExecutor{
			Executor: executor.New(name+"-life", executor.Config{
				Now: steady.Now, Room: rudderfork.Resources{CPUMilli: 4_000, MemoryMB: 1_000},
				OnStart: func(rudderfork.RunRef) { s.noteStart(name) },
			}),
			isFull: func() bool { return s.refuses(name) },
		}
		s.end[name] = s.serveAgent(name, s.execs[name])
		s.until(name+" is registered", func() bool { return s.live(rudderfork.VMID(name)) })
	}
	return s
}

func (s *twoPlaces) refuses(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuser != "" {
		return false
	}
	s.refuser, s.last, s.release = name, s.rep.Status().Last, s.hold()
	return true
}

func (s *twoPlaces) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuser != "" && s.rep.Status().Last > s.last
}

func (s *twoPlaces) noteStart(on string) {
	for name, e := range s.execs {
		if name != on && len(e.Running()) > 0 {
			s.mu.Lock()
			s.both = true
			s.mu.Unlock()
		}
	}
}

// atWork reports whether a run is at work somewhere.
func (s *twoPlaces) atWork(run uint32) bool {
	for _, e := range s.execs {
		if list := e.Running(); len(list) > 0 && list[0].Run == run {
			return true
		}
	}
	return false
}

// TestRefusedRunInTwoPlaces guards against a task that is at work in two places after an
// agent that had reported a refusal has started again.
func TestRefusedRunInTwoPlaces(t *testing.T) {
	s := newTwoPlaces(t)
	s.do(queue.Command{Submit: &queue.Submit{Host: host, Path: "/q/job", Spec: queue.Spec{Steps: []queue.Step{{Count: 1, Size: small.Size, Lasting: true}}}}})
	s.until("a refusal is proposed", func() bool {
		if s.runsOf("vm1")+s.runsOf("vm2") == 0 {
			s.sched.round(s.ctx)
		}
		return s.refused()
	})
	s.end[s.refuser]()
	s.serveAgent(s.refuser, s.execs[s.refuser])
	for by := steady.Now().Add(lease / 2); !s.atWork(refusedRun.Run) && steady.Now().Before(by); {
		steady.Pause(s.ctx, 10*time.Millisecond)
	}
	s.release()
	s.until("it is at work by its second run", func() bool {
		s.sched.round(s.ctx)
		return s.atWork(refusedRun.Run + 1)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, !s.both, "its first run was at work when the second began")
}

func (h *heldSite) live(id rudderfork.VMID) (ok bool) {
	h.rep.View(func(st *state.State) {
		vm := st.Queues().VM(id)
		ok = vm != nil && vm.Live
	})
	return ok
}
