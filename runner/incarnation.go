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
	// askSpan is how long after a description the executor is asked whether it is
	// of its present life: a few of its heartbeats, each of which renews it.
	askSpan = 3 * time.Second
	// overSpan is how long a life counts as over before the executor is asked about
	// it again, should it still describe itself: long enough that late descriptions
	// of lives that are over cost few calls, and short beside what a VM costs that
	// is lost for an answer that was wrong.
	overSpan = 3 * time.Second
	// farewellSlack is how much sooner than it had said an executor may leave: its
	// last description may have been under way for so long.
	farewellSlack = 500 * time.Millisecond
	// maxLives bounds the lives that wait to be confirmed, and those remembered as
	// over: far above how many can have a heartbeat under way.
	maxLives = 64
)

// description is what a life of the executor says of itself.
type description struct {
	vm       queue.VM
	draining bool
	leaveAt  time.Time // while it drains: not before
	askUntil time.Time
	farewell bool // came before the life was confirmed
}

// endedLife is a life that is not asked about for a time.
type endedLife struct {
	life  string
	until time.Time
}

// HandleDescription takes the executor's description of itself. leave is the time that
// is left at least while it drains.
//
// A description may arrive late, when its life is over and another has begun, and
// names of lives have no order. So one of a life that is not the known one counts
// only once the executor has answered a call that is meant for that life. One that is
// not believed is not taken.
func (a *Agent) HandleDescription(vm queue.VM, draining bool, leave time.Duration) (taken bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	d := description{vm: vm, draining: draining, leaveAt: now.Add(leave), askUntil: now.Add(askSpan)}
	switch {
	case a.isOver(vm.Incarnation, now):
	case a.known && a.keeper.Incarnation() == vm.Incarnation:
		if !a.consistent(vm) {
			return false
		}
		a.take(d)
	case len(a.described) < maxLives || a.described[vm.Incarnation] != nil:
		if old := a.described[vm.Incarnation]; old != nil {
			d.farewell = old.farewell
		}
		a.described[vm.Incarnation] = &d
		a.askUp.Set()
	}
	return true
}

// alteredAfter is how many descriptions in succession must say the same of the present
// life before it counts as another service's, or as having other labels: a life has the
// ones it began with, and what says otherwise is the odd one out, unless it goes on.
const alteredAfter = 3

// consistent reports whether a description of the present life agrees with the one
// before, but for its room and whether it drains, or was repeated. The caller holds mu.
func (a *Agent) consistent(vm queue.VM) bool {
	known := a.vm
	known.Capacity = vm.Capacity
	if known.SameRegistration(vm) {
		a.altered, a.alteredSeen = queue.VM{}, 0
		return true
	}
	if !a.altered.SameRegistration(vm) {
		a.altered, a.alteredSeen = vm, 0
	}
	a.alteredSeen++
	a.log.Warn().Str("life", vm.Incarnation).Str("service", string(vm.Service)).Strs("labels", vm.Labels).
		Int("seen", a.alteredSeen).Msg("executor_altered")
	return a.alteredSeen >= alteredAfter
}

// Description returns the VM as its executor has described it, and whether that drains.
func (a *Agent) Description() (vm queue.VM, draining bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.vm, a.draining
}

// confirmLoop asks the executor about the lives that have described themselves.
// It asks about one after the other, so that the life confirmed last is the
// newest.
func (a *Agent) confirmLoop(ctx context.Context) error {
	timer := time.NewTimer(failPause)
	defer timer.Stop()
	for {
		for _, life := range a.unconfirmed() {
			a.confirm(ctx, life)
		}
		timer.Reset(failPause)
		var again <-chan time.Time
		if len(a.unconfirmed()) > 0 {
			again = timer.C
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.askUp:
		case <-again:
		}
	}
}

// unconfirmed returns the lives to ask about, and drops those that have not
// described themselves for long.
func (a *Agent) unconfirmed() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	maps.DeleteFunc(a.described, func(_ string, d *description) bool { return now.After(d.askUntil) })
	return slices.Sorted(maps.Keys(a.described))
}

// confirm asks the executor for its account as one life. Any other life says so.
// Without an account the life is neither taken nor given up, also if there is some
// other answer: by the contract that could only be the life's own, but it brings no
// clock, so no lease could be kept nor anything started, and there is nothing to
// gain from a word that may be another's.
func (a *Agent) confirm(ctx context.Context, life string) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	_, err := a.exec.Poll(ctx, life, rudderfork.PollRequest{Fence: a.fence()})
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.described[life]
	switch {
	case d == nil: // it has left meanwhile
	case errors.Is(err, rudderfork.ErrStaleIncarnation):
		a.log.Info().Str("life", life).Msg("executor_life_over")
		a.noteOver(life)
	case err != nil:
		a.log.Info().Str("life", life).Err(err).Msg("executor_life_unconfirmed")
	default:
		delete(a.described, life)
		a.take(*d)
		a.leaving = d.farewell
	}
}

func (a *Agent) fence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keeper.FencingToken()
}

// noteOver remembers that a life is over: by the executor's word, or since it left
// looks unanswered after its farewell. That only spares calls. It is not kept for
// good, since the word may have been wrong: an executor may describe itself before it
// answers under its new name, and a process of before may still answer. The caller holds mu.
func (a *Agent) noteOver(life string) {
	delete(a.described, life)
	if life == "" {
		return
	}
	a.over = slices.DeleteFunc(a.over, func(e endedLife) bool { return e.life == life })
	a.over = append(a.over, endedLife{life, steady.Now().Add(overSpan)})
	a.over = a.over[max(0, len(a.over)-maxLives):]
}

// isOver reports whether a life was found over lately. The caller holds mu.
func (a *Agent) isOver(life string, now time.Time) bool {
	a.over = slices.DeleteFunc(a.over, func(e endedLife) bool { return !now.Before(e.until) })
	return slices.ContainsFunc(a.over, func(e endedLife) bool { return e.life == life })
}

// take takes what the present life says of itself. The caller holds mu.
func (a *Agent) take(d description) {
	changed := !a.known || !a.vm.SameRegistration(d.vm) || a.draining != d.draining
	if before := a.keeper.Incarnation(); before != d.vm.Incarnation {
		a.log.Info().Str("life", d.vm.Incarnation).Str("before", before).Stringer("capacity", d.vm.Capacity).
			Strs("labels", d.vm.Labels).Msg("executor_life")
		a.noteOver(before)
		a.noteCrash()
		a.keeper.Reset(d.vm.Incarnation)
		a.forget()
	}
	if a.draining != d.draining {
		a.log.Info().Bool("draining", d.draining).Time("leave", d.leaveAt).Msg("executor_draining")
	}
	a.vm, a.known, a.draining, a.leaveAt = d.vm, true, d.draining, d.leaveAt
	a.keeper.SetDraining(d.draining)
	a.keeper.SetCapacity(d.vm.Capacity)
	if changed {
		a.beatUp.Set()
		a.kicked.Set()
	}
}

// Incarnation returns the executor's life that the agent knows, or "".
func (a *Agent) Incarnation() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keeper.Incarnation()
}

// HandleShutdownNotice notes the executor's farewell. It ends now, but has perhaps ends to list
// that nobody has seen: they are looked for until it answers no more. One of
// another life than the known one changes nothing of that.
func (a *Agent) HandleShutdownNotice(life string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	for _, d := range a.described {
		d.farewell = d.farewell || d.leaves(life, now)
	}
	present := description{vm: a.vm, draining: a.draining, leaveAt: a.leaveAt}
	if !a.known || a.leaving || !present.leaves(life, now) {
		return
	}
	a.log.Info().Str("life", a.vm.Incarnation).Str("farewell", life).Msg("executor_leaving")
	a.leaving = true
}

// leaves reports whether a farewell is the life's. One that names the executor's id alone
// may come late, from a start before: it counts for a life that has said that it would
// leave about now.
func (d *description) leaves(farewell string, now time.Time) bool {
	if farewell == d.vm.Incarnation {
		return true
	}
	id, _ := rudderfork.SplitIncarnation(d.vm.Incarnation)
	return farewell == id && d.draining && !now.Before(d.leaveAt.Add(-farewellSlack))
}

// depart tells the leader that the life has left, so that its work begins
// elsewhere without waiting for the lease. The caller holds mu.
func (a *Agent) depart() {
	life := a.keeper.Incarnation()
	a.log.Info().Str("life", life).Msg("executor_gone")
	a.send(report{ends: queue.Ends{VM: a.vm.ID, Incarnation: life}, left: true})
	a.lost()
}

// replaced notes that the life is over and another has begun. The caller holds
// mu.
func (a *Agent) replaced() {
	a.log.Info().Str("life", a.keeper.Incarnation()).Msg("executor_replaced")
	if a.leaving {
		a.depart()
		return
	}
	a.lost()
}

// lost forgets the executor, whose life is over, until another describes itself.
// The caller holds mu.
func (a *Agent) lost() {
	a.noteOver(a.keeper.Incarnation())
	a.noteCrash()
	a.keeper.Reset("")
	a.forget()
	a.known = false
}
