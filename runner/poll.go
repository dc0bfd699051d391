package runner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/runs"
)

// errStaleClock means that the clock of a status is behind an earlier reading of the incarnation.
var errStaleClock = fmt.Errorf("%w: the clock is behind an earlier reading", rudderfork.ErrNoStatus)

// pollLoop polls the executor's status until ctx ends. Each poll extends the lease of all runs to the
// end of the leader's grant.
func (a *Agent) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		req, inc, ok := a.nextPoll()
		if !ok {
			steady.Pause(ctx, retryDelay)
			continue
		}
		polledAt := steady.Now()
		status, err := a.poll(ctx, inc, req)
		if ctx.Err() != nil {
			return ctx.Err() // the agent shuts down, which does not concern the executor
		}
		var reportAcked <-chan struct{}
		endsListed, accepted := false, false
		if err == nil {
			reportAcked, endsListed, accepted = a.handleStatus(ctx, inc, status, polledAt)
		}
		if !accepted {
			a.handlePollError(inc, cmp.Or(err, errStaleClock))
			steady.Pause(ctx, retryDelay)
			continue
		}
		// In these cases the next poll may be answered at once, so wait before it is sent.
		if endsListed || req.UntilMS == 0 {
			await(ctx, reportAcked, ackTimeout)
		}
	}
	return ctx.Err()
}

// await waits until ch is closed, ctx ends or d has passed.
func await(ctx context.Context, ch <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-ch:
	case <-t.C:
	}
}

// nextPoll returns the next request and the incarnation that it is for. ok is false while no
// incarnation is recognized.
func (a *Agent) nextPoll() (req rudderfork.PollRequest, inc string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasExecutor {
		return req, "", false
	}
	req = rudderfork.PollRequest{Fence: a.reconciler.FencingToken(), AckedUpTo: a.ackedSeq, WaitMS: pollWait.Milliseconds()}
	req.UntilMS, _ = a.reconciler.ExecutorLeaseEnd(steady.Now())
	if a.colocated() {
		req.WaitMS = colocatedPollWait.Milliseconds()
	}
	if req.UntilMS == 0 {
		req.WaitMS = 0 // without a clock or a lease the answer is needed at once
	}
	return req, a.reconciler.Incarnation(), true
}

func (a *Agent) poll(ctx context.Context, inc string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	wait := time.Duration(req.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+pollTimeout)
	defer cancel()
	return a.exec.Poll(ctx, inc, req)
}

// handlePollError handles a poll that returned no status. After a shutdown notice, leftAfter
// unanswered polls in succession mean that the executor has left; answers without a status do not.
func (a *Agent) handlePollError(inc string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reconciler.Incarnation() != inc {
		return
	}
	if errors.Is(err, rudderfork.ErrStaleIncarnation) {
		a.incarnationReplaced()
		return
	}
	outcome := "no account"
	a.unansweredPolls++
	if errors.Is(err, rudderfork.ErrNoStatus) {
		a.unansweredPolls = 0
	} else {
		outcome = "unanswered"
	}
	a.recordReachability(err)
	a.recordFailedCall(steady.Now())
	if a.shuttingDown && a.unansweredPolls >= leftAfter {
		a.reportLeft()
		return
	}
	a.met.calls.WithLabelValues("look", outcome).Inc()
	a.log.Info().Err(err).Dur("silent", steady.Now().Sub(a.lastStatusAt)).Msg("look_failed")
}

// handleStatus takes the answer to a poll. accepted is false if the executor's clock is behind an
// earlier reading, since the status is then outdated. endsListed reports whether the status lists
// ends that the leader has not acknowledged. Until it has, the executor answers each poll at once
// with the same ends; reportAcked is closed at the leader's next acknowledgement.
func (a *Agent) handleStatus(ctx context.Context, inc string, status rudderfork.ExecutorStatus, polledAt time.Time) (reportAcked <-chan struct{}, endsListed, accepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reconciler.Incarnation() != inc {
		a.reportFor(inc, runs.ParseEnds(status.Ended), 0) // ends that an earlier incarnation listed stay valid
		return nil, false, true
	}
	now := steady.Now()
	if !a.reconciler.SetClock(status.ClockMS, now) {
		return nil, false, false
	}
	a.lastStatusAt, a.failingSince, a.unansweredPolls, a.unreachablePolls = now, time.Time{}, 0, 0
	a.logEnds(inc, status)
	upTo := a.ackedSeq
	for _, e := range status.Ended {
		upTo = max(upTo, e.Seq)
	}
	reportAcked = a.reportAcked
	ends := a.reconciler.HandleStatus(status, polledAt)
	a.logLostRuns(ends, status)
	a.reportListed(ends, upTo)
	clear(a.runStatuses)
	for _, r := range status.Running {
		a.runStatuses[r.RunRef] = r
	}
	a.trackFillers(now)
	a.fillerUsage = a.measureFillerUsage(now)
	a.adjustPace(ctx)
	a.callSignal.Set()
	return reportAcked, upTo > a.ackedSeq, true
}

// logEnds logs which ends a status lists, and up to which Seq ends are acknowledged. The caller holds
// mu.
func (a *Agent) logEnds(inc string, status rudderfork.ExecutorStatus) {
	if len(status.Ended) == 0 {
		return
	}
	a.log.Info().Str("life", inc).Int64("clock_ms", status.ClockMS).Uint64("acked", a.ackedSeq).Int("ends", len(status.Ended)).
		Uint64("first", status.Ended[0].Seq).Uint64("last", status.Ended[len(status.Ended)-1].Seq).Msg("ends_listed")
}

// logLostRuns logs the runs that a status should list and does not. The caller holds mu.
func (a *Agent) logLostRuns(ends []queue.End, status rudderfork.ExecutorStatus) {
	for _, e := range ends {
		if e.Outcome == queue.OutcomeLost {
			a.log.Warn().Str("task", e.Task.String()).Uint32("run", e.Run).Int64("clock_ms", status.ClockMS).
				Uint64("acked", a.ackedSeq).Msg("run_vanished")
		}
	}
}
