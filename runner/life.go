package runner

import (
	"time"

	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
)

// Describe takes the executor's description of itself. leave is the time that
// is left at least while it drains.
func (a *Agent) Describe(vm queue.VM, draining bool, leave time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if vm.Life == a.left {
		return // it was under way while that life left
	}
	changed := !a.known || !a.vm.Same(vm) || a.draining != draining
	if a.keeper.Life() != vm.Life {
		a.log.Info().Str("life", vm.Life).Str("before", a.keeper.Life()).Stringer("capacity", vm.Capacity).
			Strs("labels", vm.Labels).Msg("executor_life")
		a.keeper.Reset(vm.Life)
		a.forget()
	}
	if a.draining != draining {
		a.log.Info().Bool("draining", draining).Dur("leave", leave).Msg("executor_draining")
	}
	a.vm, a.known, a.draining, a.leaveAt = vm, true, draining, steady.Now().Add(leave)
	a.keeper.SetDraining(draining)
	if changed {
		a.beatUp.Set()
		a.kicked.Set()
	}
}

// Life returns the executor's life that the agent knows, or "".
func (a *Agent) Life() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keeper.Life()
}

// Gone notes the executor's farewell. It ends now, but has perhaps ends to list
// that nobody has seen: they are looked for until it answers no more.
func (a *Agent) Gone(life string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keeper.Life() != life || a.leaving {
		return
	}
	a.log.Info().Str("life", life).Msg("executor_leaving")
	a.leaving = true
}

// depart tells the leader that the life has left, so that its work begins
// elsewhere without waiting for the lease. The caller holds mu.
func (a *Agent) depart() {
	a.left = a.keeper.Life()
	a.log.Info().Str("life", a.left).Msg("executor_gone")
	a.send(report{ends: queue.Ends{VM: a.vm.ID, Life: a.left}, left: true})
	a.lost()
}

// replaced notes that the life is over and another has begun. The caller holds
// mu.
func (a *Agent) replaced() {
	a.log.Info().Str("life", a.keeper.Life()).Msg("executor_replaced")
	if a.leaving {
		a.depart()
		return
	}
	a.lost()
}

// lost forgets the executor until it describes itself anew. The caller holds mu.
func (a *Agent) lost() {
	a.keeper.Reset("")
	a.forget()
	a.known = false
}
