package runs_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/runs"
	"rudderfork.example/rudderfork/standin/executor"
	"rudderfork.example/rudderfork/wire"
)

// stopSimulation is one agent with an executor that takes some time to stop runs.
type stopSimulation struct {
	t          *testing.T
	now        time.Time
	exec       *executor.Executor
	reconciler *runs.Reconciler
	acked      uint64
	stopCalls  int // stops that were called
}

func newStopSimulation(t *testing.T, stopTime time.Duration, starts []wire.RunOrder) *stopSimulation {
	s := &stopSimulation{t: t, now: time.Unix(1000, 0), reconciler: runs.New()}
	s.exec = executor.New("life-1", executor.Config{
		Now: func() time.Time { return s.now }, StopTime: stopTime,
		Delivery: func(call string) executor.Delivery {
			if call == "stop" {
				s.stopCalls++
			}
			return executor.Answered
		},
	})
	s.reconciler.Reset("life-1")
	s.reconciler.SetTerm(1)
	s.reconciler.SetClock(1, s.now)
	s.reconciler.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Full: true})
	s.reconciler.ApplyOrders(wire.Orders{Incarnation: "life-1", Epoch: 1, Start: starts})
	s.reconciler.Grant("life-1", 1, runs.Lease{Until: s.now.Add(maxLease), StartBy: s.now.Add(maxLease)})
	s.step()
	assert.Equal(t, len(s.exec.Running()), len(starts))
	return s
}

// step makes the calls that are due and then a poll.
func (s *stopSimulation) step() {
	s.t.Helper()
	ctx := context.Background()
	calls, _ := s.reconciler.NextCalls(s.now)
	for _, c := range calls {
		if c.Start == nil {
			s.reconciler.HandleStopResult(c.Ref, s.exec.Stop(ctx, "life-1", c.Ref, 1), s.now)
			continue
		}
		out, err := s.exec.Start(ctx, "life-1", *c.Start)
		assert.Assert(s.t, s.reconciler.HandleStartResult(c.Ref, out, err, s.now) == nil)
	}
	s.now = s.now.Add(stepTime)
	status, err := s.exec.Poll(ctx, "life-1", rudderfork.PollRequest{Fence: 1, AckedUpTo: s.acked})
	assert.NilError(s.t, err)
	for _, e := range status.Ended {
		s.acked = max(s.acked, e.Seq)
	}
	s.reconciler.ForgetEnded(s.reconciler.HandleStatus(status, s.now))
}

// TestSlowStopIsNotRepeated guards against stops that are sent again for each poll while an
// executor, which confirms a stop at once, still lists the run.
func TestSlowStopIsNotRepeated(t *testing.T) {
	const count = 300
	var starts []wire.RunOrder
	var refs []rudderfork.RunRef
	for i := range count {
		ref := queue.TaskKey{Job: "j", Index: i}.Ref(1)
		refs = append(refs, ref)
		starts = append(starts, wire.RunOrder{RunRef: ref})
	}
	for _, stopTime := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
		for name, o := range map[string]wire.Orders{
			"ordered":                    {Incarnation: "life-1", Epoch: 1, Stop: refs},
			"left out of the next epoch": {Incarnation: "life-1", Epoch: 2, Full: true},
			"left out of a full list":    {Incarnation: "life-1", Epoch: 1, Full: true},
		} {
			t.Run(fmt.Sprintf("%s, %v", name, stopTime), func(t *testing.T) {
				s := newStopSimulation(t, stopTime, starts)
				s.reconciler.ApplyOrders(o)
				for range 50 {
					s.step()
				}
				assert.Equal(t, len(s.exec.Running()), 0)
				assert.Equal(t, s.stopCalls, count)
			})
		}
	}
}
