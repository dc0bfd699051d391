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
type faultVM struct {
	cluster      *faultCluster
	name         string
	incarnations int
	exec         *executor.Executor
	link         *faultlink.Proxy
	cpuMilli     atomic.Int64 // thousandths of a core

	mu           sync.Mutex
	rng          *rand.Rand // of the executor's answers
	wrongAnswers int        // looks to be answered as by another life
	agent        *runner.Agent
	stop         func()
}

func (v *faultVM) nextIncarnation() string {
	v.incarnations++
	return rudderfork.IncarnationName(fmt.Sprintf("%s-life-%d", v.name, v.incarnations), executorStartMS)
}

// draw returns a time below a limit.
func (v *faultVM) randomDuration(limit time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Duration(v.rng.Int64N(int64(limit)))
}

// fate leaves one call of eight unanswered, in each of the ways there are.
func (v *faultVM) drawFate(string) executor.Fate {
	if !v.cluster.faultsActive.Load() {
		return executor.Answered
	}
	switch v.randomDuration(24) {
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
func (v *faultVM) startAgent() {
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
func (v *faultVM) describeExecutor() {
	for v.cluster.ctx.Err() == nil {
		v.mu.Lock()
		a := v.agent
		v.mu.Unlock()
		room := rudderfork.Resources{CPUMilli: v.cpuMilli.Load(), MemoryMB: 1000}
		a.HandleDescription(queue.VM{ID: rudderfork.VMID(v.name), Domain: domainOf(v.name), Incarnation: v.exec.Life(), Service: "desk", Capacity: room}, false, 0)
		steady.Pause(v.cluster.ctx, 50*time.Millisecond)
	}
}

// isMisled reports whether a look is answered as by another life.
func (v *faultVM) takeWrongAnswer() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.wrongAnswers--
	return v.wrongAnswers >= 0
}

// Poll implements rudderfork.Executor.
func (v *faultVM) Poll(ctx context.Context, life string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	if v.takeWrongAnswer() {
		return rudderfork.ExecutorStatus{}, rudderfork.ErrStaleIncarnation
	}
	look, err := v.exec.Poll(ctx, life, req)
	if v.cluster.faultsActive.Load() && v.randomDuration(10) == 0 {
		look.Partial, look.Running = true, look.Running[:len(look.Running)/2]
	}
	return look, err
}

// Start implements rudderfork.Executor.
func (v *faultVM) Start(ctx context.Context, life string, s rudderfork.RunStart) (rudderfork.StartOutcome, error) {
	if v.cluster.faultsActive.Load() && v.randomDuration(16) == 0 {
		return rudderfork.StartBusy, nil
	}
	return v.exec.Start(ctx, life, s)
}

// Stop implements rudderfork.Executor.
func (v *faultVM) Stop(ctx context.Context, life string, r rudderfork.RunRef, fence uint64) error {
	return v.exec.Stop(ctx, life, r, fence)
}

// Pace implements rudderfork.Executor.
func (v *faultVM) Pace(ctx context.Context, life string, r rudderfork.RunRef, percent int, fence uint64) error {
	return v.exec.Pace(ctx, life, r, percent, fence)
}
