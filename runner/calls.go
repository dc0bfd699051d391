package runner

import (
	"context"
	"errors"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/runs"
)

// callLoop sends starts and stops when they are due.
func (a *Agent) callLoop(ctx context.Context) error {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		timer.Reset(a.sendDueCalls(ctx))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.callSignal:
		case <-timer.C:
		}
	}
}

// sendDueCalls sends the calls that are due, and returns how long to wait before it
// is to be called again.
func (a *Agent) sendDueCalls(ctx context.Context) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	calls, ends := a.reconciler.NextCalls(now)
	a.report(ends, 0)
	inc, fence := a.reconciler.Incarnation(), a.reconciler.FencingToken()
	for _, c := range calls {
		go a.call(ctx, inc, fence, c)
	}
	wait := heartbeatInterval
	if at, ok := a.reconciler.NextRetry(); ok {
		wait = min(wait, max(time.Millisecond, at.Sub(now)))
	}
	return wait
}

// call makes one call to the incarnation inc and passes its result to the reconciler.
func (a *Agent) call(ctx context.Context, inc string, fence uint64, c runs.Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out rudderfork.StartOutcome
	var err error
	began := steady.Now()
	if c.Start != nil {
		out, err = a.exec.Start(ctx, inc, *c.Start)
	} else {
		err = a.exec.Stop(ctx, inc, c.Ref, fence)
	}
	now := steady.Now()
	a.logCall(c, out, err, now.Sub(began))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reconciler.Incarnation() != inc {
		return // the call was for an incarnation that has ended
	}
	if errors.Is(err, rudderfork.ErrStaleIncarnation) {
		a.incarnationReplaced()
		return
	}
	if c.Start == nil {
		if err == nil {
			delete(a.unansweredStarts, c.Ref) // by the contract a run never starts after it was stopped
		}
		a.reconciler.HandleStopResult(c.Ref, err, now)
	} else if end := a.reconciler.HandleStartResult(c.Ref, out, err, now); end != nil {
		a.report([]queue.End{*end}, 0)
	}
	if c.Start != nil {
		a.recordStart(c.Ref, out, err, now)
	}
	if err == nil && c.Start != nil && out == rudderfork.Started {
		a.adjustPace(ctx)
	}
	a.callSignal.Set()
}

func (a *Agent) logCall(c runs.Call, out rudderfork.StartOutcome, err error, took time.Duration) {
	kind, outcome := "stop", "ok"
	if c.Start != nil {
		kind, outcome = "start", out.String()
	}
	if err != nil {
		outcome = "unanswered"
	}
	a.met.calls.WithLabelValues(kind, outcome).Inc()
	a.met.callSeconds.WithLabelValues(kind).Observe(took.Seconds())
	a.log.Info().Str("call", kind).Str("task", string(c.Ref.Task)).Uint32("run", c.Ref.Run).Str("outcome", outcome).
		Dur("took", took).AnErr("error", err).Msg("executor_called")
}
