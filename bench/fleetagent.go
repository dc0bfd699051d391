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

// fleetAgent stands for a VM's agent and its executor.
type fleetAgent struct {
	p       *fleetPlay
	vm      queue.VM
	session *session.Client
	kicked  wakeup.Signal
	stop    context.CancelFunc

	leasedIn atomic.Uint64 // term of the newest lease

	mu     sync.Mutex
	runs   map[rudderfork.RunRef]*fleetRun
	told   map[rudderfork.RunRef]rudderfork.RunStatus
	term   uint64 // of the session
	seq    uint64
	unsent map[uint64]queue.Ends
	rng    *rand.Rand
}

// fleetRun is a run at work.
type fleetRun struct {
	key     queue.TaskKey
	lasting bool
	began   time.Time
	ends    time.Time
}

func newFleetAgent(p *fleetPlay, i int) *fleetAgent {
	const rackSize, domains = 20, 5
	id := string(vmName(i))
	a := &fleetAgent{
		p: p, kicked: wakeup.New(), runs: map[rudderfork.RunRef]*fleetRun{}, told: map[rudderfork.RunRef]rudderfork.RunStatus{},
		unsent: map[uint64]queue.Ends{}, rng: rand.New(rand.NewPCG(p.cfg.Seed, uint64(i)+100)),
		vm: queue.VM{
			ID: rudderfork.VMID(id), Incarnation: id + "-1", Domain: rudderfork.Domain(fmt.Sprint("d", i%domains)), Rack: fmt.Sprint("rack", i/rackSize),
			Service: fleetService, Capacity: rudderfork.Resources{CPUMilli: fleetVMCPU, MemoryMB: fleetVMMemory}, Labels: []string{"a"},
		},
	}
	a.session = session.New(id, p.seeds, a, zerolog.Nop())
	return a
}

// Opened implements session.Handler.
func (a *fleetAgent) Opened(w wire.QueueWelcome) {
	a.p.opened.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.term = w.Term
	clear(a.told)
	for seq, e := range a.unsent {
		a.session.Send(wire.FromNode{Ends: &wire.EndsReport{Seq: seq, Ends: e}})
	}
	a.beat()
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
			a.leasedIn.Store(a.term)
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
		a.report(ends)
		a.kicked.Set()
	}
}

func (a *fleetAgent) start(o wire.RunOrder) {
	k, err := queue.ParseTaskKey(string(o.Task))
	if err != nil || a.runs[o.RunRef] != nil {
		return
	}
	work := fleetShortMS
	if o.Filler {
		work = fleetFillMS
	}
	now := steady.Now()
	a.runs[o.RunRef] = &fleetRun{
		key: k, lasting: o.TailMS > 0, began: now,
		ends: now.Add(lognormal(a.rng, time.Duration(work)*time.Millisecond, 0.3)),
	}
	a.p.began(k, a.term)
}

// run lets the executor work and sends heartbeats.
func (a *fleetAgent) run(ctx context.Context) {
	steady.Pause(ctx, time.Duration(a.rng.Int64N(int64(fleetBeat))))
	beatAt := steady.Now()
	for ctx.Err() == nil {
		a.mu.Lock()
		now := steady.Now()
		if !now.Before(beatAt) {
			a.beat()
			beatAt = now.Add(fleetBeat)
		}
		due := a.work(now, beatAt)
		a.mu.Unlock()
		t := time.NewTimer(max(0, due.Sub(now)))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-a.kicked:
		}
		t.Stop()
	}
}

// work ends the runs that are done, and returns when to look again. The caller holds mu.
func (a *fleetAgent) work(now, due time.Time) time.Time {
	var ends []queue.End
	for ref, r := range a.runs {
		switch {
		case r.lasting:
		case r.ends.After(now):
			if r.ends.Before(due) {
				due = r.ends
			}
		default:
			delete(a.runs, ref)
			a.p.done(r.key)
			ends = append(ends, queue.End{Task: r.key, Run: ref.Run, Outcome: queue.OutcomeDone})
		}
	}
	a.report(ends)
	return due
}

// report tells of ends. The caller holds mu.
func (a *fleetAgent) report(list []queue.End) {
	if len(list) == 0 {
		return
	}
	a.seq++
	e := queue.Ends{VM: a.vm.ID, Incarnation: a.vm.Incarnation, List: list}
	a.unsent[a.seq] = e
	a.session.Send(wire.FromNode{Ends: &wire.EndsReport{Seq: a.seq, Ends: e}})
}

// beat sends a heartbeat. The caller holds mu.
func (a *fleetAgent) beat() {
	const fullPercent, usualTailMS = 100, 8
	now := steady.Now()
	b := wire.VMHeartbeat{Sent: now.UnixNano(), VM: a.vm, Measured: true, FillerUsage: map[string]float64{}}
	for ref, r := range a.runs {
		row := rudderfork.RunStatus{RunRef: ref, Percent: fullPercent, Load: usualTailMS + a.rng.Int64N(3)}
		if !r.lasting {
			row.Percent = int(fullPercent * now.Sub(r.began) / max(1, r.ends.Sub(r.began)))
		}
		if a.told[ref] != row {
			a.told[ref] = row
			b.Runs = append(b.Runs, row)
		}
	}
	a.session.Send(wire.FromNode{Heartbeat: &b})
}
