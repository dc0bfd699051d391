package runner

import (
	"context"
	"time"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/wire"
)

// beatLoop sends heartbeats.
func (a *Agent) beatLoop(ctx context.Context) error {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		if b, ok := a.beat(); ok {
			a.session.Send(wire.FromNode{Heartbeat: &b})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-a.beatUp:
		}
	}
}

// beat returns a heartbeat, with the rows that have changed.
func (a *Agent) beat() (b wire.VMHeartbeat, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known {
		return b, false
	}
	now := steady.Now()
	a.noteOverdue(now)
	epoch := a.keeper.Epoch()
	b = wire.VMHeartbeat{Sent: now.UnixNano(), VM: a.vm, Draining: a.draining, Unresponsive: a.mute(now), Epoch: &epoch}
	if b.Crash = a.crashed; b.Unresponsive {
		b.Crash = a.crash()
	}
	b.Measured, b.FillerUsage, a.worked = a.worked != nil, a.worked, nil
	if a.draining {
		b.LeaveMS = max(0, a.leaveAt.Sub(now).Milliseconds())
	}
	for ref, row := range a.rows {
		row.PacedDownPercent = fullPace - a.paceOf(ref)
		if a.told[ref] != row {
			a.told[ref] = row
			b.Rows = append(b.Rows, row)
		}
	}
	for ref := range a.told {
		if _, there := a.rows[ref]; !there {
			delete(a.told, ref)
		}
	}
	return b, true
}

// noteOverdue logs the starts that have become overdue. The caller holds mu.
func (a *Agent) noteOverdue(now time.Time) {
	for _, o := range a.keeper.OverdueStarts(now) {
		a.met.overdue.WithLabelValues(o.Reason).Inc()
		a.log.Warn().Str("task", string(o.Task)).Uint32("run", o.Run).Dur("due_for", now.Sub(o.Since)).Str("reason", o.Reason).Msg("start_overdue")
	}
}
