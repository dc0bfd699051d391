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

// errBehind is an account whose clock is behind what the life has shown.
var errBehind = fmt.Errorf("%w of now", rudderfork.ErrNoStatus)

// lookLoop asks the executor for its account again and again. Each look extends
// the lease of all that runs, as far as the leader's grant reaches.
func (a *Agent) lookLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		req, life, ok := a.nextLook()
		if !ok {
			steady.Pause(ctx, failPause)
			continue
		}
		asked := steady.Now()
		look, err := a.look(ctx, life, req)
		if ctx.Err() != nil {
			return ctx.Err() // the agent ends, which says nothing of the executor
		}
		var noted <-chan struct{}
		listed, taken := false, false
		if err == nil {
			noted, listed, taken = a.looked(ctx, life, look, asked)
		}
		if !taken {
			a.lookFailed(life, cmp.Or(err, errBehind))
			steady.Pause(ctx, failPause)
			continue
		}
		if listed || req.UntilMS == 0 {
			await(ctx, noted, notedTimeout)
		}
	}
	return ctx.Err()
}

func await(ctx context.Context, ch <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-ch:
	case <-t.C:
	}
}

// nextLook returns the next request; ok is false while no life is known.
func (a *Agent) nextLook() (req rudderfork.PollRequest, life string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known {
		return req, "", false
	}
	req = rudderfork.PollRequest{Fence: a.keeper.FencingToken(), AckedUpTo: a.acked, WaitMS: lookWait.Milliseconds()}
	req.UntilMS, _ = a.keeper.ExecutorLeaseEnd(steady.Now())
	if a.colocated() {
		req.WaitMS = pacedWait.Milliseconds()
	}
	if req.UntilMS == 0 {
		req.WaitMS = 0 // without a clock or a lease there is nothing to wait for
	}
	return req, a.keeper.Incarnation(), true
}

func (a *Agent) look(ctx context.Context, life string, req rudderfork.PollRequest) (rudderfork.ExecutorStatus, error) {
	wait := time.Duration(req.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+lookTimeout)
	defer cancel()
	return a.exec.Poll(ctx, life, req)
}

// lookFailed takes a look that brought no account. Only one without any answer
// tells that the executor may have left.
func (a *Agent) lookFailed(life string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keeper.Incarnation() != life {
		return
	}
	if errors.Is(err, rudderfork.ErrStaleIncarnation) {
		a.replaced()
		return
	}
	outcome := "no account"
	a.unanswered++
	if errors.Is(err, rudderfork.ErrNoStatus) {
		a.unanswered = 0
	} else {
		outcome = "unanswered"
	}
	a.noteReached(err)
	a.noteSilent(steady.Now())
	if a.leaving && a.unanswered >= leftAfter {
		a.depart()
		return
	}
	a.met.calls.WithLabelValues("look", outcome).Inc()
	a.log.Info().Err(err).Dur("silent", steady.Now().Sub(a.seenAt)).Msg("look_failed")
}

// looked takes an account. listed says that it holds ends that the leader has
// not taken note of: until noted, the executor would list them again at once. An account
// whose clock is behind what the life has shown is from before that, and not taken.
func (a *Agent) looked(ctx context.Context, life string, look rudderfork.ExecutorStatus, asked time.Time) (noted <-chan struct{}, listed, taken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keeper.Incarnation() != life {
		a.reportOf(life, runs.ParseEnds(look.Ended), 0) // what an earlier life listed stands
		return nil, false, true
	}
	now := steady.Now()
	if !a.keeper.SetClock(look.ClockMS, now) {
		return nil, false, false
	}
	a.seenAt, a.silentAt, a.unanswered, a.notReached = now, time.Time{}, 0, 0
	a.noteAccount(life, look)
	upTo := a.acked
	for _, e := range look.Ended {
		upTo = max(upTo, e.Seq)
	}
	noted = a.noted
	ends := a.keeper.HandleStatus(look, asked)
	a.noteVanished(ends, look)
	a.reportLooked(ends, upTo)
	clear(a.rows)
	for _, r := range look.Running {
		a.rows[r.RunRef] = r
	}
	a.expose(now)
	a.worked = a.exposed(now)
	a.adjustPace(ctx)
	a.kicked.Set()
	return noted, upTo > a.acked, true
}

// noteAccount logs what an account lists as ended, against what was acknowledged. The
// caller holds mu.
func (a *Agent) noteAccount(life string, look rudderfork.ExecutorStatus) {
	if len(look.Ended) == 0 {
		return
	}
	a.log.Info().Str("life", life).Int64("clock_ms", look.ClockMS).Uint64("acked", a.acked).Int("ends", len(look.Ended)).
		Uint64("first", look.Ended[0].Seq).Uint64("last", look.Ended[len(look.Ended)-1].Seq).Msg("ends_listed")
}

// noteVanished logs the runs that an account should list and does not. The caller
// holds mu.
func (a *Agent) noteVanished(ends []queue.End, look rudderfork.ExecutorStatus) {
	for _, e := range ends {
		if e.Outcome == queue.OutcomeLost {
			a.log.Warn().Str("task", e.Task.String()).Uint32("run", e.Run).Int64("clock_ms", look.ClockMS).
				Uint64("acked", a.acked).Msg("run_vanished")
		}
	}
}
