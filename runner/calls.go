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

// callLoop sends starts and stops as they fall due.
func (a *Agent) callLoop(ctx context.Context) error {
	timer := time.NewTimer(beatEvery)
	defer timer.Stop()
	for {
		timer.Reset(a.sendDue(ctx))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.kicked:
		case <-timer.C:
		}
	}
}

// sendDue sends the calls that are due, and returns when to look again.
func (a *Agent) sendDue(ctx context.Context) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	calls, ends := a.keeper.NextCalls(now)
	a.report(ends, 0)
	life, fence := a.keeper.Incarnation(), a.keeper.FencingToken()
	for _, c := range calls {
		go a.call(ctx, life, fence, c)
	}
	wait := beatEvery
	if at, ok := a.keeper.NextRetry(); ok {
		wait = min(wait, max(time.Millisecond, at.Sub(now)))
	}
	return wait
}

// call makes one call and hands its answer to the keeper.
func (a *Agent) call(ctx context.Context, life string, fence uint64, c runs.Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out rudderfork.StartOutcome
	var err error
	began := steady.Now()
	if c.Start != nil {
		out, err = a.exec.Start(ctx, life, *c.Start)
	} else {
		err = a.exec.Stop(ctx, life, c.Ref, fence)
	}
	now := steady.Now()
	a.noteCall(c, out, err, now.Sub(began))
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keeper.Incarnation() != life {
		return // it concerned a life that is over
	}
	if errors.Is(err, rudderfork.ErrStaleIncarnation) {
		a.replaced()
		return
	}
	if c.Start == nil {
		if err == nil {
			delete(a.unsure, c.Ref) // a run that was stopped never starts afterwards
		}
		a.keeper.HandleStopResult(c.Ref, err, now)
	} else if end := a.keeper.HandleStartResult(c.Ref, out, err, now); end != nil {
		a.report([]queue.End{*end}, 0)
	}
	if c.Start != nil {
		a.noteStart(c.Ref, out, err, now)
	}
	if err == nil && c.Start != nil && out == rudderfork.Started {
		a.adjustPace(ctx)
	}
	a.kicked.Set()
}

func (a *Agent) noteCall(c runs.Call, out rudderfork.StartOutcome, err error, took time.Duration) {
	kind, outcome := "stop", "ok"
	if c.Start != nil {
		kind, outcome = "start", out.String()
	}
	if err != nil {
		outcome = "unanswered"
	}
	a.met.calls.WithLabelValues(kind, outcome).Inc()
	a.met.took.WithLabelValues(kind).Observe(took.Seconds())
	a.log.Info().Str("call", kind).Str("task", string(c.Ref.Task)).Uint32("run", c.Ref.Run).Str("outcome", outcome).
		Dur("took", took).AnErr("error", err).Msg("executor_called")
}
