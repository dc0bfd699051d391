package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/thejerf/suture/v4"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
)

const (
	// wavePause is the pause between two rounds of upkeep while there are waves. Each round
	// reads the provider's list of machines.
	wavePause = 500 * time.Millisecond
	// idlePause is the pause between two rounds while there are no waves.
	idlePause = time.Second
	// providerTimeout bounds the calls to the provider in one round.
	providerTimeout = 2 * time.Second
	// listLag is how long a machine whose upkeep was ordered counts as down even if the
	// provider's list, which lags behind, still shows it as up.
	listLag = 3 * time.Second
	// refusedUpkeepBackOff is how long a machine is skipped after the provider refused an
	// order for it, so that the other machines of its wave get their upkeep meanwhile.
	refusedUpkeepBackOff = 2 * time.Second
	// drainTime is how long a machine gets no new tasks before its upkeep, so that its short
	// tasks end by themselves. It is cut short if the wave is due sooner.
	drainTime = 2 * time.Second
)

// upkeep carries out waves of machine upkeep while this process leads. A wave names machines that
// need upkeep and how many of them may be down at once. The leader orders the upkeep of single
// machines from the provider; each order ends the incarnation of the executor there, and carries
// the leader's term as fencing token.
type upkeep struct {
	s        *Scheduler
	provider rudderfork.Provider
	holder   string        // name of this process in orders to the provider
	wait     time.Duration // from the start of a term until the first order

	term       uint64
	ordersFrom time.Time            // no orders before this time
	orderedAt  map[string]time.Time // by machine: when its upkeep was ordered last, unless the order was refused
	refusedAt  map[string]time.Time // by machine: when an order was refused last
	// fenced says that the provider refused this term's fencing token because a newer leader
	// has given orders. This process gives no more orders in its term.
	fenced     bool
	cordoned   string // the machine that gets no new tasks since cordonedAt; "" for none
	cordonedAt time.Time
}

// Upkeep returns the service that carries out waves. holder is the name of this process in
// orders to the provider. wait is how long orders of an earlier leader may still take effect.
func (s *Scheduler) Upkeep(p rudderfork.Provider, holder string, wait time.Duration) suture.Service {
	return &upkeep{s: s, provider: p, holder: holder, wait: wait, orderedAt: map[string]time.Time{}, refusedAt: map[string]time.Time{}}
}

// String names the service in the supervisor's log.
func (u *upkeep) String() string { return "upkeep" }

// Serve implements suture.Service.
func (u *upkeep) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := idlePause
		if u.round(ctx) {
			pause = wavePause
		}
		steady.Pause(ctx, pause)
	}
	return ctx.Err()
}

// round advances each wave; it returns false if there are none or this process does not lead.
func (u *upkeep) round(ctx context.Context) bool {
	term := u.s.currentTerm()
	if term == 0 {
		u.term = 0
		u.cordon("", "")
		return false
	}
	now := steady.Now()
	if term != u.term {
		u.term, u.ordersFrom, u.fenced = term, now.Add(u.wait), false
		clear(u.orderedAt)
	}
	waves := u.s.openWaves()
	if len(waves) == 0 {
		u.cordon("", "")
		return false
	}
	if now.Before(u.ordersFrom) || u.fenced {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, providerTimeout)
	defer cancel()
	machines, err := u.provider.Machines(ctx)
	if err != nil {
		u.s.log.Warn().Err(err).Msg("machines_not_listed")
		return true
	}
	byName := map[string]rudderfork.Machine{}
	for _, m := range machines {
		byName[m.Name] = m
	}
	for _, w := range waves {
		if !u.fenced {
			u.advance(ctx, w, byName, now)
		}
	}
	return true
}

// openWaves returns copies of the waves that are not completed.
func (s *Scheduler) openWaves() (waves []queue.Wave) {
	s.rep.View(func(st *state.State) {
		for _, w := range st.Queues().Waves() {
			c := *w
			c.Begun, c.Gone = slices.Clone(w.Begun), slices.Clone(w.Gone)
			waves = append(waves, c)
		}
	})
	return waves
}

// advance repeats an order of a wave that got no answer. If there is none and fewer than MaxDown
// machines are down, it cordons the next machine, and orders its upkeep once it was cordoned for
// drainTime or the wave is due within drainTime.
func (u *upkeep) advance(ctx context.Context, w queue.Wave, byName map[string]rudderfork.Machine, now time.Time) {
	down := 0
	for _, name := range w.Machines {
		if m, known := byName[name]; known && (!m.Up || now.Sub(u.orderedAt[name]) < listLag) {
			down++
		}
	}
	// An order that got no answer may have been carried out. It is repeated first, since
	// repeating it does no harm and its machine counts as down already.
	for _, name := range w.Remaining() {
		if at, ordered := u.orderedAt[name]; ordered && now.Sub(at) < listLag {
			u.order(ctx, w, name, byName[name].Executor, now)
			return
		}
	}
	if down >= w.MaxDown {
		return
	}
	c, ok := u.choose(w, byName, now)
	if !ok {
		return
	}
	if u.cordoned != c.machine {
		u.cordon(c.machine, c.vm)
		u.cordonedAt = now
	}
	if now.Sub(u.cordonedAt) >= drainTime || rudderfork.Millis(now.Add(drainTime)) > w.DueMS {
		u.order(ctx, w, c.machine, byName[c.machine].Executor, now)
	}
}

// candidate is a machine whose upkeep may begin.
type candidate struct {
	machine string
	vm      rudderfork.VMID // "" if no registered VM is on it
	runs    int             // active on the VM
}

// choose returns the machine for the next upkeep: the cordoned one if it may still be taken down,
// else the one with the fewest runs.
func (u *upkeep) choose(w queue.Wave, byName map[string]rudderfork.Machine, now time.Time) (best candidate, ok bool) {
	for _, c := range u.candidates(w, byName, now) {
		if c.machine == u.cordoned {
			return c, true
		}
		if !ok || c.runs < best.runs {
			best, ok = c, true
		}
	}
	return best, ok
}

// candidates returns the machines of a wave that may be taken down now: those that are not down,
// were not refused within refusedUpkeepBackOff, and break no step's disruption budget. They include
// machines that the provider does not list: an order shows whether such a machine is gone.
func (u *upkeep) candidates(w queue.Wave, byName map[string]rudderfork.Machine, now time.Time) (list []candidate) {
	u.s.rep.View(func(st *state.State) {
		u.s.mu.Lock()
		defer u.s.mu.Unlock()
		for _, name := range w.Remaining() {
			m, known := byName[name]
			if known && !m.Up || now.Sub(u.refusedAt[name]) < refusedUpkeepBackOff {
				continue
			}
			vm := vmOfExecutor(st.Queues(), m.Executor)
			switch {
			case vm == nil:
				list = append(list, candidate{machine: name})
			case !u.s.breaksBudget(st.Queues(), vm):
				list = append(list, candidate{name, vm.ID, len(vm.Runs())})
			}
		}
	})
	return list
}

// vmOfExecutor returns the VM whose executor has an id, whatever its incarnation, or nil.
func vmOfExecutor(s *queue.State, id string) *queue.VM {
	if id == "" {
		return nil
	}
	for _, vm := range s.VMs() {
		if known, _ := rudderfork.SplitIncarnation(vm.Incarnation); known == id {
			return vm
		}
	}
	return nil
}

// incarnationOf returns the registered incarnation of an executor, or "".
func (s *Scheduler) incarnationOf(executor string) (inc string) {
	s.rep.View(func(st *state.State) {
		if vm := vmOfExecutor(st.Queues(), executor); vm != nil {
			inc = vm.Incarnation
		}
	})
	return inc
}

// breaksBudget reports whether ending all runs on a VM would leave more tasks of a lasting step
// away (not working) than the step's MaxAway allows. The caller holds mu.
func (s *Scheduler) breaksBudget(qs *queue.State, vm *queue.VM) bool {
	ending := map[queue.StepKey]int{}
	for k := range vm.Runs() {
		ending[k.StepKey()]++
	}
	for key, n := range ending {
		j := qs.Job(key.Job)
		if step := j.Spec.Steps[key.Step]; step.Lasting && step.MaxAway > 0 && !j.Status.Final() && s.countAway(j, key, vm)+n > step.MaxAway {
			return true
		}
	}
	return false
}

// countAway counts the tasks of a step that are away: without a run, being relocated, or not
// reported to work yet. Runs on the VM except do not count, unless they are being relocated. The
// caller holds mu.
func (s *Scheduler) countAway(j *queue.Job, step queue.StepKey, except *queue.VM) (n int) {
	now := rudderfork.Millis(steady.Now())
	tasks := j.Occurrences[step.Occurrence].Steps[step.Step]
	for i := range tasks {
		k := queue.TaskKey{Job: step.Job, Occurrence: step.Occurrence, Step: step.Step, Index: i}
		if len(tasks[i].Runs) == 0 {
			n++
			continue
		}
		on := tasks[i].Runs[0]
		if s.fleet.isRelocating(k, on.Number, now) {
			n++
			continue
		}
		if on.VM == except.ID {
			continue
		}
		if r := s.fleet.vm(on.VM).runs[k]; r == nil || r.status.Run != on.Number || r.status.Percent < fullPercent {
			n++
		}
	}
	return n
}

// order asks the provider for a machine's upkeep, and commits that it was begun or that the
// provider no longer knows the machine. After any other error nothing is certain, and the
// order is repeated in a later round.
func (u *upkeep) order(ctx context.Context, w queue.Wave, name, executor string, now time.Time) {
	u.orderedAt[name] = now
	inc := u.s.incarnationOf(executor) // before the order: the next incarnation may register under the same id
	err := u.provider.Upkeep(ctx, rudderfork.Issuer{Holder: u.holder, Fence: u.term}, name, w.ID)
	u.s.log.Info().Uint64("wave", w.ID).Str("machine", name).Int("left", len(w.Remaining())).AnErr("error", err).Msg("upkeep_ordered")
	switch {
	case err == nil, errors.Is(err, rudderfork.ErrNoMachine):
		report := queue.UpkeepReport{Wave: w.ID, Machine: name, Gone: err != nil, Incarnation: inc}
		if _, err := u.s.do(ctx, queue.Command{Upkeep: &report}); err != nil {
			u.s.log.Warn().Err(err).Msg("upkeep_not_committed") // the order is repeated, which does no harm
		}
		u.cordon("", "")
	case errors.Is(err, rudderfork.ErrFenced):
		u.fenced = true
		u.cordon("", "")
	case errors.Is(err, rudderfork.ErrRefused):
		delete(u.orderedAt, name)
		u.refusedAt[name] = now
		u.cordon("", "")
	}
}

// cordon keeps new tasks from a machine and its VM, in place of the one cordoned before; empty
// names stand for none.
func (u *upkeep) cordon(name string, vm rudderfork.VMID) {
	u.cordoned = name
	u.s.mu.Lock()
	defer u.s.mu.Unlock()
	u.s.fleet.cordonedForUpkeep = vm
}
