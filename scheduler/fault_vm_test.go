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

// faultVM is a VM with its agent, and the faulty link from the agent to the leader.
type faultVM struct {
	cluster      *faultCluster
	name         string
	incarnations int
	exec         *executor.Executor
	link         *faultlink.Proxy
	cpuMilli     atomic.Int64 // capacity, in thousandths of a core

	mu           sync.Mutex
	rng          *rand.Rand // draws the executor's answers
	wrongAnswers int        // number of polls left to answer as another incarnation does; 0 or less for none
	agent        *runner.Agent
	stop         func() // stops the agent
}

func (v *faultVM) nextIncarnation() string {
	v.incarnations++
	return rudderfork.IncarnationName(fmt.Sprintf("%s-life-%d", v.name, v.incarnations), executorStartMS)
}

// randomDuration returns a random duration below limit.
func (v *faultVM) randomDuration(limit time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Duration(v.rng.Int64N(int64(limit)))
}

// drawDelivery leaves one call in eight unanswered while faults are active: not carried out, carried
// out, or carried out late.
func (v *faultVM) drawDelivery(string) executor.Delivery {
	if !v.cluster.faultsActive.Load() {
		return executor.Answered
	}
	switch v.randomDuration(24) {
	case 0:
		return executor.RequestLost
	case 1:
		return executor.ResponseLost
	case 2:
		return executor.Delayed
	}
	return executor.Answered
}

// startAgent starts the VM's agent, after stopping the previous one.
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

// describeExecutor describes the executor to the agent every 50 ms.
func (v *faultVM) describeExecutor() {
	for v.cluster.ctx.Err() == nil {
		v.mu.Lock()
		a := v.agent
		v.mu.Unlock()
		capacity := rudderfork.Resources{CPUMilli: v.cpuMilli.Load(), MemoryMB: 1000}
		a.HandleDescription(queue.VM{ID: rudderfork.VMID(v.name), Domain: domainOf(v.name), Incarnation: v.exec.Incarnation(), Service: "desk", Capacity: capacity}, false, 0)
		steady.Pause(v.cluster.ctx, 50*time.Millisecond)
	}
}

// takeWrongAnswer reports whether to answer a poll as another incarnation does, and decrements
// wrongAnswers.
func (v *faultVM) takeWrongAnswer() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.wrongAnswers--
	return v.wrongAnswers >= 0
}

// Poll implements rudderfork.Executor.
func (v *faultVM) Poll(ctx context.Context, inc string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	if v.takeWrongAnswer() {
		return rudderfork.ExecutorStatus{}, rudderfork.ErrStaleIncarnation
	}
	status, err := v.exec.Poll(ctx, inc, req)
	if v.cluster.faultsActive.Load() && v.randomDuration(10) == 0 {
		status.Partial, status.Running = true, status.Running[:len(status.Running)/2]
	}
	return status, err
}

// Start implements rudderfork.Executor.
func (v *faultVM) Start(ctx context.Context, inc string, s rudderfork.RunStart) (rudderfork.StartOutcome, error) {
	if v.cluster.faultsActive.Load() && v.randomDuration(16) == 0 {
		return rudderfork.StartBusy, nil
	}
	return v.exec.Start(ctx, inc, s)
}

// Stop implements rudderfork.Executor.
func (v *faultVM) Stop(ctx context.Context, inc string, r rudderfork.RunRef, fence uint64) error {
	return v.exec.Stop(ctx, inc, r, fence)
}

// Pace implements rudderfork.Executor.
func (v *faultVM) Pace(ctx context.Context, inc string, r rudderfork.RunRef, percent int, fence uint64) error {
	return v.exec.Pace(ctx, inc, r, percent, fence)
}
