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
	// wavePause is between two looks at the waves while there are any, and at
	// the provider's list.
	wavePause = 500 * time.Millisecond
	// idlePause is the same while there are none.
	idlePause = time.Second
	// providerTimeout bounds one call to the provider.
	providerTimeout = 2 * time.Second
	// listLag is how long a machine whose upkeep has begun counts as down
	// even if the list, which lags, still calls it up.
	listLag = 3 * time.Second
	// refusedUpkeepBackOff is how long a machine rests after an order that was refused, so
	// that the others of its wave go on.
	refusedUpkeepBackOff = 2 * time.Second
	// drainTime is how long a machine is kept from new work before its upkeep, so
	// that short tasks end by themselves.
	drainTime = 2 * time.Second
)

// upkeep carries out the waves: a loop of the leader.
type upkeep struct {
	s        *Scheduler
	provider rudderfork.Provider
	holder   string
	wait     time.Duration // after an election, until orders are given

	term       uint64
	ordersFrom time.Time            // no orders before
	orderedAt  map[string]time.Time // by machine: when an order may have been carried out
	refusedAt  map[string]time.Time // by machine: when an order was refused last
	// outranked says that a newer holder has given orders: this one gives no more
	// in its term, since its fencing token will not get higher.
	outranked  bool
	cordoned   string // the machine kept from new work, since nextAt
	cordonedAt time.Time
}

// Upkeep returns the service that carries out waves. holder names this process to
// the provider; wait is how long an earlier leader's orders may still be under
// way.
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

// round moves the waves on; false means that there are none.
func (u *upkeep) round(ctx context.Context) bool {
	term := u.s.currentTerm()
	if term == 0 {
		u.term = 0
		u.cordon("", "")
		return false
	}
	now := steady.Now()
	if term != u.term {
		u.term, u.ordersFrom, u.outranked = term, now.Add(u.wait), false
		clear(u.orderedAt)
	}
	waves := u.s.openWaves()
	if len(waves) == 0 {
		u.cordon("", "")
		return false
	}
	if now.Before(u.ordersFrom) || u.outranked {
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
		if !u.outranked {
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

// advance begins the next upkeep of a wave if its bounds allow it.
func (u *upkeep) advance(ctx context.Context, w queue.Wave, byName map[string]rudderfork.Machine, now time.Time) {
	down := 0
	for _, name := range w.Machines {
		if m, known := byName[name]; known && (!m.Up || now.Sub(u.orderedAt[name]) < listLag) {
			down++
		}
	}
	// An order without an answer may have been carried out: it goes first, since
	// asking again is harmless, and the machine counts as down already.
	for _, name := range w.Remaining() {
		if at, asked := u.orderedAt[name]; asked && now.Sub(at) < listLag {
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
	vm      rudderfork.VMID // "" if none of ours is on it
	runs    int
}

// choose returns the machine whose upkeep costs least and breaks no disruption
// budget; one that is being emptied stays chosen.
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

// candidates returns the machines of a wave whose upkeep may begin now.
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

// vmOfExecutor returns the VM whose executor has an id, in whatever life, or nil.
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

// incarnationOf returns the life that an executor is known to have, or "".
func (s *Scheduler) incarnationOf(executor string) (life string) {
	s.rep.View(func(st *state.State) {
		if vm := vmOfExecutor(st.Queues(), executor); vm != nil {
			life = vm.Incarnation
		}
	})
	return life
}

// breaksBudget reports whether ending all on a VM would leave more tasks of a
// lasting step away than it allows. The caller holds mu.
func (s *Scheduler) breaksBudget(qs *queue.State, vm *queue.VM) bool {
	ending := map[queue.StepKey]int{}
	for k := range vm.Runs() {
		ending[k.StepKey()]++
	}
	for step, n := range ending {
		j := qs.Job(step.Job)
		if st := j.Spec.Steps[step.Step]; st.Lasting && st.MaxAway > 0 && !j.Status.Final() && s.countAway(j, step, vm)+n > st.MaxAway {
			return true
		}
	}
	return false
}

// countAway counts the tasks of a step that are not at work on other VMs than the
// given one. The caller holds mu.
func (s *Scheduler) countAway(j *queue.Job, step queue.StepKey, but *queue.VM) (n int) {
	now := rudderfork.Millis(steady.Now())
	tasks := j.Occurrences[step.Occurrence].Steps[step.Step]
	for i := range tasks {
		k := queue.TaskKey{Job: step.Job, Occurrence: step.Occurrence, Step: step.Step, Index: i}
		if len(tasks[i].Runs) == 0 {
			n++
			continue
		}
		on := tasks[i].Runs[0]
		if s.fleet.lastRelocation.Covers(k, on.Number, now) {
			n++
			continue
		}
		if on.VM == but.ID {
			continue
		}
		if r := s.fleet.vm(on.VM).runs[k]; r == nil || r.status.Run != on.Number || r.status.Percent < fullPercent {
			n++
		}
	}
	return n
}

// order asks the provider for a machine's upkeep, which ends a life of an executor,
// and notes what is sure.
func (u *upkeep) order(ctx context.Context, w queue.Wave, name, executor string, now time.Time) {
	u.orderedAt[name] = now
	life := u.s.incarnationOf(executor) // before the order: the next one may come under the same id
	err := u.provider.Upkeep(ctx, rudderfork.Issuer{Holder: u.holder, Fence: u.term}, name, w.ID)
	u.s.log.Info().Uint64("wave", w.ID).Str("machine", name).Int("left", len(w.Remaining())).AnErr("error", err).Msg("upkeep_ordered")
	switch {
	case err == nil, errors.Is(err, rudderfork.ErrNoMachine):
		note := queue.UpkeepReport{Wave: w.ID, Machine: name, Gone: err != nil, Incarnation: life}
		if _, err := u.s.do(ctx, queue.Command{Upkeep: &note}); err != nil {
			u.s.log.Warn().Err(err).Msg("upkeep_not_committed") // it is ordered again, which changes nothing
		}
		u.cordon("", "")
	case errors.Is(err, rudderfork.ErrFenced):
		u.outranked = true
		u.cordon("", "")
	case errors.Is(err, rudderfork.ErrRefused):
		delete(u.orderedAt, name)
		u.refusedAt[name] = now
		u.cordon("", "")
	}
}

// cordon names the machine that gets no new work, and its VM; or none.
func (u *upkeep) cordon(name string, vm rudderfork.VMID) {
	u.cordoned = name
	u.s.mu.Lock()
	defer u.s.mu.Unlock()
	u.s.fleet.cordonedForUpkeep = vm
}
