package runner

import (
	"context"
	"time"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/wire"
)

// heartbeatLoop sends heartbeats to the leader.
func (a *Agent) heartbeatLoop(ctx context.Context) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		if b, ok := a.nextHeartbeat(); ok {
			a.session.Send(wire.FromNode{Heartbeat: &b})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-a.heartbeatSignal:
		}
	}
}

// nextHeartbeat returns a heartbeat with the statuses of runs that have changed since the previous
// one. ok is false while no incarnation is recognized.
func (a *Agent) nextHeartbeat() (b wire.VMHeartbeat, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasExecutor {
		return b, false
	}
	now := steady.Now()
	a.logOverdue(now)
	epoch := a.reconciler.Epoch()
	b = wire.VMHeartbeat{Sent: now.UnixNano(), VM: a.vm, Draining: a.draining, Unresponsive: a.unresponsive(now), Epoch: &epoch}
	if b.Crash = a.lastCrash; b.Unresponsive {
		b.Crash = a.crashReport()
	}
	b.Measured, b.FillerUsage, a.fillerUsage = a.fillerUsage != nil, a.fillerUsage, nil
	if a.draining {
		b.LeaveMS = max(0, a.leaveNotBefore.Sub(now).Milliseconds())
	}
	for ref, status := range a.runStatuses {
		status.PacedDownPercent = fullPace - a.paceOf(ref)
		if a.reportedStatuses[ref] != status {
			a.reportedStatuses[ref] = status
			b.Runs = append(b.Runs, status)
		}
	}
	for ref := range a.reportedStatuses {
		if _, listed := a.runStatuses[ref]; !listed {
			delete(a.reportedStatuses, ref)
		}
	}
	return b, true
}

// logOverdue logs the starts that have become overdue. The caller holds mu.
func (a *Agent) logOverdue(now time.Time) {
	for _, o := range a.reconciler.OverdueStarts(now) {
		a.met.overdue.WithLabelValues(o.Reason).Inc()
		a.log.Warn().Str("task", string(o.Task)).Uint32("run", o.Run).Dur("due_for", now.Sub(o.Since)).Str("reason", o.Reason).Msg("start_overdue")
	}
}
