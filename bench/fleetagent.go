package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/internal/wakeup"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/session"
	"rudderfork.example/rudderfork/wire"
)

// fleetAgent simulates a VM's agent and its executor.
type fleetAgent struct {
	sim     *fleetSim
	vm      queue.VM
	session *session.Client
	wake    wakeup.Signal // set when runs were started or stopped
	stop    context.CancelFunc

	leaseTerm atomic.Uint64 // term of the leader that granted the latest lease

	mu       sync.Mutex
	runs     map[rudderfork.RunRef]*fleetRun
	reported map[rudderfork.RunRef]rudderfork.RunStatus // status of each run in the latest heartbeat that included it
	term     uint64                                     // of the leader at the other end of the session
	seq      uint64                                     // of the latest report of ended runs
	unsent   map[uint64]queue.Ends                      // reports of ended runs that are not acknowledged, by seq
	rng      *rand.Rand
}

// fleetRun is an active run.
type fleetRun struct {
	key       queue.TaskKey
	lasting   bool
	startedAt time.Time
	endsAt    time.Time // ignored for a lasting run
}

func newFleetAgent(sim *fleetSim, i int) *fleetAgent {
	const rackSize, domains = 20, 5
	id := string(vmName(i))
	a := &fleetAgent{
		sim: sim, wake: wakeup.New(), runs: map[rudderfork.RunRef]*fleetRun{}, reported: map[rudderfork.RunRef]rudderfork.RunStatus{},
		unsent: map[uint64]queue.Ends{}, rng: rand.New(rand.NewPCG(sim.cfg.Seed, uint64(i)+100)),
		vm: queue.VM{
			ID: rudderfork.VMID(id), Incarnation: id + "-1", Domain: rudderfork.Domain(fmt.Sprint("d", i%domains)), Rack: fmt.Sprint("rack", i/rackSize),
			Service: fleetService, Capacity: rudderfork.Resources{CPUMilli: fleetVMCPU, MemoryMB: fleetVMMemory}, Labels: []string{"a"},
		},
	}
	a.session = session.New(id, sim.seedAddrs, a, zerolog.Nop())
	return a
}

// Opened implements session.Handler.
func (a *fleetAgent) Opened(w wire.QueueWelcome) {
	a.sim.sessions.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.term = w.Term
	clear(a.reported)
	for seq, e := range a.unsent {
		a.session.Send(wire.FromNode{Ends: &wire.EndsReport{Seq: seq, Ends: e}})
	}
	a.sendHeartbeat()
}

// Closed implements session.Handler.
func (a *fleetAgent) Closed() {}

// Handle implements session.Handler.
func (a *fleetAgent) Handle(m wire.ToQueueNode) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case m.Grant != nil:
		if m.Grant.LeaseMS > 0 {
			a.leaseTerm.Store(a.term)
		}
	case m.EndsAck != nil:
		delete(a.unsent, m.EndsAck.Seq)
	case m.Orders != nil:
		for _, o := range m.Orders.Start {
			a.start(o)
		}
		var ends []queue.End
		for _, ref := range m.Orders.Stop {
			if r := a.runs[ref]; r != nil {
				delete(a.runs, ref)
				ends = append(ends, queue.End{Task: r.key, Run: ref.Run, Outcome: queue.OutcomeStopped})
			}
		}
		a.reportEnds(ends)
		a.wake.Set()
	}
}

// start starts a run that the leader ordered. The caller holds mu.
func (a *fleetAgent) start(o wire.RunOrder) {
	k, err := queue.ParseTaskKey(string(o.Task))
	if err != nil || a.runs[o.RunRef] != nil {
		return
	}
	work := fleetShortMS
	if o.Filler {
		work = fleetFillerMS
	}
	now := steady.Now()
	a.runs[o.RunRef] = &fleetRun{
		key: k, lasting: o.TailMS > 0, startedAt: now,
		endsAt: now.Add(lognormal(a.rng, time.Duration(work)*time.Millisecond, 0.3)),
	}
	a.sim.runStarted(k, a.term)
}

// run ends runs when they are due and sends heartbeats, until ctx ends.
func (a *fleetAgent) run(ctx context.Context) {
	steady.Pause(ctx, time.Duration(a.rng.Int64N(int64(fleetAgentHeartbeat))))
	heartbeatAt := steady.Now()
	for ctx.Err() == nil {
		a.mu.Lock()
		now := steady.Now()
		if !now.Before(heartbeatAt) {
			a.sendHeartbeat()
			heartbeatAt = now.Add(fleetAgentHeartbeat)
		}
		due := a.endDueRuns(now, heartbeatAt)
		a.mu.Unlock()
		t := time.NewTimer(max(0, due.Sub(now)))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-a.wake:
		}
		t.Stop()
	}
}

// endDueRuns ends the runs that are due at now. It returns when to call it again: when the
// next run is due, but not after due. The caller holds mu.
func (a *fleetAgent) endDueRuns(now, due time.Time) time.Time {
	var ends []queue.End
	for ref, r := range a.runs {
		switch {
		case r.lasting:
		case r.endsAt.After(now):
			if r.endsAt.Before(due) {
				due = r.endsAt
			}
		default:
			delete(a.runs, ref)
			a.sim.runDone(r.key)
			ends = append(ends, queue.End{Task: r.key, Run: ref.Run, Outcome: queue.OutcomeDone})
		}
	}
	a.reportEnds(ends)
	return due
}

// reportEnds reports ended runs to the leader. The caller holds mu.
func (a *fleetAgent) reportEnds(list []queue.End) {
	if len(list) == 0 {
		return
	}
	a.seq++
	e := queue.Ends{VM: a.vm.ID, Incarnation: a.vm.Incarnation, List: list}
	a.unsent[a.seq] = e
	a.session.Send(wire.FromNode{Ends: &wire.EndsReport{Seq: a.seq, Ends: e}})
}

// sendHeartbeat sends a heartbeat with the runs whose status has changed. The caller holds mu.
func (a *fleetAgent) sendHeartbeat() {
	const fullPercent, usualTailMS = 100, 8
	now := steady.Now()
	b := wire.VMHeartbeat{Sent: now.UnixNano(), VM: a.vm, Measured: true, FillerUsage: map[string]float64{}}
	for ref, r := range a.runs {
		row := rudderfork.RunStatus{RunRef: ref, Percent: fullPercent, Load: usualTailMS + a.rng.Int64N(3)}
		if !r.lasting {
			row.Percent = int(fullPercent * now.Sub(r.startedAt) / max(1, r.endsAt.Sub(r.startedAt)))
		}
		if a.reported[ref] != row {
			a.reported[ref] = row
			b.Runs = append(b.Runs, row)
		}
	}
	a.session.Send(wire.FromNode{Heartbeat: &b})
}
