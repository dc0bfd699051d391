package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/faultlink"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/runner"
	"rudderfork.example/rudderfork/standin/executor"
)

// calmVM is a VM with its agent, and the links between them.
type calmVM struct {
	s     *calmSite
	name  string
	lives int
	exec  *executor.Executor
	link  *faultlink.Proxy
	room  atomic.Int64 // thousandths of a core

	mu     sync.Mutex
	rng    *rand.Rand // of the executor's answers
	misled int        // looks to be answered as by another life
	agent  *runner.Agent
	stop   func()
}

func (v *calmVM) nextLife() string {
	v.lives++
	return rudderfork.IncarnationName(fmt.Sprintf("%s-life-%d", v.name, v.lives), calmBorn)
}

// draw returns a time below a limit.
func (v *calmVM) draw(limit time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Duration(v.rng.Int64N(int64(limit)))
}

// fate leaves one call of eight unanswered, in each of the ways there are.
func (v *calmVM) fate(string) executor.Fate {
	if !v.s.faulty.Load() {
		return executor.Answered
	}
	switch v.draw(24) {
	case 0:
		return executor.Unheard
	case 1:
		return executor.Lost
	case 2:
		return executor.Postponed
	}
	return executor.Answered
}

// startAgent replaces the VM's agent.
func (v *calmVM) startAgent() {
	if v.stop != nil {
		v.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	a := runner.New(v.name, func() []string { return []string{v.link.Addr()} }, v, zerolog.Nop())
	for _, svc := range a.Services() {
		wg.Go(func() { _ = svc.Serve(ctx) })
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.agent, v.stop = a, func() { cancel(); wg.Wait() }
}

// describe tells the agent of the executor.
func (v *calmVM) describe() {
	for v.s.ctx.Err() == nil {
		v.mu.Lock()
		a := v.agent
		v.mu.Unlock()
		room := rudderfork.Resources{CPUMilli: v.room.Load(), MemoryMB: 1000}
		a.Describe(queue.VM{ID: rudderfork.VMID(v.name), Domain: domainOf(v.name), Incarnation: v.exec.Life(), Service: "desk", Capacity: room}, false, 0)
		steady.Pause(v.s.ctx, 50*time.Millisecond)
	}
}

// isMisled reports whether a look is answered as by another life.
func (v *calmVM) isMisled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.misled--
	return v.misled >= 0
}

// Look implements rudderfork.Executor.
func (v *calmVM) Look(ctx context.Context, life string, req rudderfork.LookRequest) (rudderfork.Look, error) {
	if v.isMisled() {
		return rudderfork.Look{}, rudderfork.ErrStaleIncarnation
	}
	look, err := v.exec.Look(ctx, life, req)
	if v.s.faulty.Load() && v.draw(10) == 0 {
		look.Partial, look.Running = true, look.Running[:len(look.Running)/2]
	}
	return look, err
}

// Start implements rudderfork.Executor.
func (v *calmVM) Start(ctx context.Context, life string, s rudderfork.RunStart) (rudderfork.StartOutcome, error) {
	if v.s.faulty.Load() && v.draw(16) == 0 {
		return rudderfork.StartBusy, nil
	}
	return v.exec.Start(ctx, life, s)
}

// Stop implements rudderfork.Executor.
func (v *calmVM) Stop(ctx context.Context, life string, r rudderfork.RunRef, fence uint64) error {
	return v.exec.Stop(ctx, life, r, fence)
}

// Pace implements rudderfork.Executor.
func (v *calmVM) Pace(ctx context.Context, life string, r rudderfork.RunRef, percent int, fence uint64) error {
	return v.exec.Pace(ctx, life, r, percent, fence)
}
