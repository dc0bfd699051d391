package runner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
)

const (
	// confirmTimeout is how long after a description the agent tries to confirm that it is
	// of the executor's present incarnation: the time of a few heartbeats of the executor, each
	// of which carries a description and restarts the timeout.
	confirmTimeout = 3 * time.Second
	// endedTTL is how long an incarnation counts as ended before the executor is polled for it
	// again, if descriptions of it still arrive. It is long enough that late descriptions of
	// ended incarnations cause few calls. It is short, since the VM is unusable for that long
	// if the answer that the incarnation has ended was wrong.
	endedTTL = 3 * time.Second
	// shutdownSlack is how much earlier than the agent expects an executor may leave. Its last
	// description, which tells when it leaves, may have taken that long to arrive.
	shutdownSlack = 500 * time.Millisecond
	// maxIncarnations bounds the incarnations that wait to be confirmed, and those recorded as
	// ended. It is far above the number of incarnations that can have heartbeats under way.
	maxIncarnations = 64
)

// description is what an incarnation of the executor reports about itself.
type description struct {
	vm             queue.VM
	draining       bool
	leaveNotBefore time.Time // while it drains: the earliest time at which it leaves
	confirmUntil   time.Time // the description is dropped if it is not confirmed by then
	shutdownNotice bool      // a shutdown notice came before the incarnation was confirmed
}

// endedIncarnation is an incarnation that counts as ended, and is not polled for, until a time.
type endedIncarnation struct {
	inc   string
	until time.Time
}

// HandleDescription takes an executor's description of itself. leave is the least time until
// the executor leaves if it is draining. It returns false if it rejects the description because
// it contradicts the earlier ones.
//
// A description may arrive late, when its incarnation has ended and another has started, and
// the names of incarnations have no order. So a description of an incarnation other than the
// recognized one counts only once the executor has answered a poll that is addressed to that
// incarnation.
func (a *Agent) HandleDescription(vm queue.VM, draining bool, leave time.Duration) (accepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	d := description{vm: vm, draining: draining, leaveNotBefore: now.Add(leave), confirmUntil: now.Add(confirmTimeout)}
	switch {
	case a.recentlyEnded(vm.Incarnation, now):
	case a.hasExecutor && a.reconciler.Incarnation() == vm.Incarnation:
		if !a.consistent(vm) {
			return false
		}
		a.applyDescription(d)
	case len(a.descriptions) < maxIncarnations || a.descriptions[vm.Incarnation] != nil:
		if old := a.descriptions[vm.Incarnation]; old != nil {
			d.shutdownNotice = old.shutdownNotice
		}
		a.descriptions[vm.Incarnation] = &d
		a.confirmSignal.Set()
	}
	return true
}

// minConflicts is how many descriptions in succession must agree with each other and
// contradict the accepted one before they are accepted. An incarnation keeps the service
// and labels with which it started, so a single description that differs is an error.
const minConflicts = 3

// consistent reports whether a description of the present incarnation agrees with the
// accepted one in all but the capacity, or has arrived minConflicts times in succession. The
// caller holds mu.
func (a *Agent) consistent(vm queue.VM) bool {
	known := a.vm
	known.Capacity = vm.Capacity
	if known.SameRegistration(vm) {
		a.conflicting, a.conflictCount = queue.VM{}, 0
		return true
	}
	if !a.conflicting.SameRegistration(vm) {
		a.conflicting, a.conflictCount = vm, 0
	}
	a.conflictCount++
	a.log.Warn().Str("life", vm.Incarnation).Str("service", string(vm.Service)).Strs("labels", vm.Labels).
		Int("seen", a.conflictCount).Msg("executor_altered")
	return a.conflictCount >= minConflicts
}

// Description returns the VM as its executor has described it, and whether the executor is draining.
func (a *Agent) Description() (vm queue.VM, draining bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.vm, a.draining
}

// confirmLoop polls the executor for the incarnations that have sent descriptions. It polls
// for one after the other, so that the last one confirmed is the newest.
func (a *Agent) confirmLoop(ctx context.Context) error {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	for {
		for _, inc := range a.unconfirmed() {
			a.confirm(ctx, inc)
		}
		timer.Reset(retryDelay)
		var again <-chan time.Time
		if len(a.unconfirmed()) > 0 {
			again = timer.C
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.confirmSignal:
		case <-again:
		}
	}
}

// unconfirmed returns the incarnations to poll for, and drops those that have sent no
// description for confirmTimeout.
func (a *Agent) unconfirmed() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	maps.DeleteFunc(a.descriptions, func(_ string, d *description) bool { return now.After(d.confirmUntil) })
	return slices.Sorted(maps.Keys(a.descriptions))
}

// confirm polls the executor for one incarnation. Any other incarnation answers with
// ErrStaleIncarnation. Without a status the incarnation is neither recognized nor given up.
// This also holds for an answer without a status. By the contract only the incarnation itself
// may give it. But it carries no clock, so the agent could neither extend a lease nor start
// runs, and would gain nothing from trusting an answer that may be another incarnation's.
func (a *Agent) confirm(ctx context.Context, inc string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	_, err := a.exec.Poll(ctx, inc, rudderfork.PollRequest{Fence: a.fence()})
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.descriptions[inc]
	switch {
	case d == nil: // it has ended or timed out meanwhile
	case errors.Is(err, rudderfork.ErrStaleIncarnation):
		a.log.Info().Str("life", inc).Msg("executor_life_over")
		a.recordEnded(inc)
	case err != nil:
		a.log.Info().Str("life", inc).Err(err).Msg("executor_life_unconfirmed")
	default:
		delete(a.descriptions, inc)
		a.applyDescription(*d)
		a.shuttingDown = d.shutdownNotice
	}
}

func (a *Agent) fence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reconciler.FencingToken()
}

// recordEnded records that an incarnation has ended, because the executor has answered so or has
// left polls unanswered after its shutdown notice. The record only saves calls. It expires, since
// the answer may be wrong: an executor may send a description before it answers under its new name,
// and an earlier process may still answer. The caller holds mu.
func (a *Agent) recordEnded(inc string) {
	delete(a.descriptions, inc)
	if inc == "" {
		return
	}
	a.ended = slices.DeleteFunc(a.ended, func(e endedIncarnation) bool { return e.inc == inc })
	a.ended = append(a.ended, endedIncarnation{inc, steady.Now().Add(endedTTL)})
	a.ended = a.ended[max(0, len(a.ended)-maxIncarnations):]
}

// recentlyEnded reports whether an incarnation was recorded as ended within the last endedTTL. The
// caller holds mu.
func (a *Agent) recentlyEnded(inc string, now time.Time) bool {
	a.ended = slices.DeleteFunc(a.ended, func(e endedIncarnation) bool { return !now.Before(e.until) })
	return slices.ContainsFunc(a.ended, func(e endedIncarnation) bool { return e.inc == inc })
}

// applyDescription applies a description of the executor's present incarnation. The caller holds mu.
func (a *Agent) applyDescription(d description) {
	changed := !a.hasExecutor || !a.vm.SameRegistration(d.vm) || a.draining != d.draining
	if before := a.reconciler.Incarnation(); before != d.vm.Incarnation {
		a.log.Info().Str("life", d.vm.Incarnation).Str("before", before).Stringer("capacity", d.vm.Capacity).
			Strs("labels", d.vm.Labels).Msg("executor_life")
		a.recordEnded(before)
		a.recordCrash()
		a.reconciler.Reset(d.vm.Incarnation)
		a.resetIncarnation()
	}
	if a.draining != d.draining {
		a.log.Info().Bool("draining", d.draining).Time("leave", d.leaveNotBefore).Msg("executor_draining")
	}
	a.vm, a.hasExecutor, a.draining, a.leaveNotBefore = d.vm, true, d.draining, d.leaveNotBefore
	a.reconciler.SetDraining(d.draining)
	a.reconciler.SetCapacity(d.vm.Capacity)
	if changed {
		a.heartbeatSignal.Set()
		a.callSignal.Set()
	}
}

// Incarnation returns the recognized incarnation of the executor, or "".
func (a *Agent) Incarnation() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reconciler.Incarnation()
}

// HandleShutdownNotice takes the executor's notice that it shuts down now. inc is the name of the
// incarnation, or the executor's ID alone. The executor is polled until it no longer answers, since
// it may still list ends that the agent has not seen. A notice of an incarnation that is not
// confirmed yet is kept until it is; one of any other incarnation is ignored.
func (a *Agent) HandleShutdownNotice(inc string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	for _, d := range a.descriptions {
		d.shutdownNotice = d.shutdownNotice || d.matchesShutdown(inc, now)
	}
	present := description{vm: a.vm, draining: a.draining, leaveNotBefore: a.leaveNotBefore}
	if !a.hasExecutor || a.shuttingDown || !present.matchesShutdown(inc, now) {
		return
	}
	a.log.Info().Str("life", a.vm.Incarnation).Str("farewell", inc).Msg("executor_leaving")
	a.shuttingDown = true
}

// matchesShutdown reports whether a shutdown notice from sender is from the incarnation described.
// If sender is only the executor's ID, the notice may be a late one of an earlier incarnation. It
// then counts only if the incarnation described has announced that it leaves about now.
func (d *description) matchesShutdown(sender string, now time.Time) bool {
	if sender == d.vm.Incarnation {
		return true
	}
	id, _ := rudderfork.SplitIncarnation(d.vm.Incarnation)
	return sender == id && d.draining && !now.Before(d.leaveNotBefore.Add(-shutdownSlack))
}

// reportLeft reports to the leader that the incarnation has left, so that its tasks start
// elsewhere before its lease expires. The caller holds mu.
func (a *Agent) reportLeft() {
	inc := a.reconciler.Incarnation()
	a.log.Info().Str("life", inc).Msg("executor_gone")
	a.send(report{ends: queue.Ends{VM: a.vm.ID, Incarnation: inc}, left: true})
	a.dropIncarnation()
}

// incarnationReplaced drops the present incarnation because the executor has another one now. The
// caller holds mu.
func (a *Agent) incarnationReplaced() {
	a.log.Info().Str("life", a.reconciler.Incarnation()).Msg("executor_replaced")
	if a.shuttingDown {
		a.reportLeft()
		return
	}
	a.dropIncarnation()
}

// dropIncarnation drops the state of the incarnation, which has ended. The caller holds mu.
func (a *Agent) dropIncarnation() {
	a.recordEnded(a.reconciler.Incarnation())
	a.recordCrash()
	a.reconciler.Reset("")
	a.resetIncarnation()
	a.hasExecutor = false
}
