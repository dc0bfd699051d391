package scheduler

import (
	"context"
	"errors"
	"time"

	"rudderfork.example/rudderfork"
	"rudderfork.example/rudderfork/internal/steady"
	"rudderfork.example/rudderfork/queue"
	"rudderfork.example/rudderfork/state"
	"rudderfork.example/rudderfork/wire"
)

// orders returns what the VM has not been told yet.
func (ses *session) orders() (o *wire.Orders, news bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		before := ses.cordoned
		o = ses.newOrders(st.Queues())
		news = o.Full || o.Cordoned != before || len(o.Start)+len(o.Stop) > 0
	})
	return o, news
}

// mayHaveOrders reports whether there may be news for the session's VM. The caller holds mu.
func (ses *session) mayHaveOrders(qs *queue.State) bool {
	vm := qs.VM(ses.vm)
	return vm != nil && (ses.ordersVersion != versionOf(vm) || ses.s.fleet.stopsOn[ses.vm] || ses.cordoned != qs.Evacuating(vm.Domain))
}

// newOrders compares what was sent with what is to run. The caller holds mu.
func (ses *session) newOrders(qs *queue.State) *wire.Orders {
	o := &wire.Orders{Epoch: ses.epoch, Incarnation: ses.incarnation}
	vm := qs.VM(ses.vm)
	if ses.epoch == 0 || vm == nil || vm.Epoch != ses.epoch || !vm.Live {
		return o
	}
	o.Full = !ses.fullListSent
	if o.Full {
		ses.fullListDeadline = steady.Now().Add(fullListTimeout)
	}
	ses.fullListSent = true
	ses.ordersVersion = versionOf(vm)
	o.Cordoned = qs.Evacuating(vm.Domain)
	ses.cordoned = o.Cordoned
	active := map[rudderfork.RunRef]bool{}
	for k, run := range vm.Runs() {
		ref := k.Ref(run)
		j := qs.Job(k.Job)
		active[ref] = true
		if !ses.startsSent[ref] {
			ses.startsSent[ref] = true
			o.Start = append(o.Start, orderOf(j, k, ref))
		}
		// A leader that is new has sessions before its first plan. What it knows
		// from the state goes with the start, so that the agent never makes it.
		_, stop := ses.s.fleet.stops[ref]
		if (stop || j.Status.Final()) && !ses.stopsSent[ref] {
			ses.stopsSent[ref] = true
			o.Stop = append(o.Stop, ref)
		}
	}
	for ref := range ses.startsSent {
		if active[ref] {
			continue
		}
		// Its end is known, or was concluded from elsewhere; stopping what has
		// ended does nothing.
		delete(ses.startsSent, ref)
		if !ses.stopsSent[ref] {
			o.Stop = append(o.Stop, ref)
		}
		delete(ses.stopsSent, ref)
	}
	if len(o.Start) > 0 {
		// A filler's pace is right from its start only if its pressures are known.
		c := workloadOf(qs, vm, ses.s.fleet.vm(ses.vm))
		for k := range vm.Runs() {
			c.add(qs.Job(k.Job).Spec.Steps[k.Step])
		}
		o.Pressures = ses.s.fleet.pressures.changedFor(c, ses.pressuresSent, steady.Now())
	}
	return o
}

func orderOf(j *queue.Job, k queue.TaskKey, ref rudderfork.RunRef) wire.RunOrder {
	st, t := j.Spec.Steps[k.Step], j.Task(k)
	run, _ := t.Run(ref.Run)
	return wire.RunOrder{
		RunRef: ref, Payload: j.Spec.Payload, Checkpoint: t.Checkpoint, Ticket: run.Ticket,
		TailMS: st.TailMS, Filler: st.Filler, Image: st.Image, CPUMilli: st.Size.CPUMilli, Need: st.Need(),
	}
}

// errSuperseded means that the VM's agent has spoken in a later session.
var errSuperseded = errors.New("the VM's agent has a later session")

// claimVM notes that the VM's agent has spoken in the session, unless it has in a
// later one: then what comes here was held up on its way, and may be of a life that
// is over.
//
// Sessions are in the order of their agents' lives. An agent leaves its session
// before it opens the next, and speaks only after the leader's welcome: the first
// heartbeat in a session was sent after the session was opened here, by an agent
// that was in no earlier one any more.
func (ses *session) claimVM(id rudderfork.VMID) error {
	ses.s.mu.Lock()
	defer ses.s.mu.Unlock()
	v := ses.s.fleet.vm(id)
	if ses.superseded(v) {
		return errSuperseded
	}
	ses.firstInTerm = ses.firstInTerm || v.latestSession == 0
	v.latestSession = ses.number
	return nil
}

// checkCurrent refuses what comes in a session that the VM's agent has left.
func (ses *session) checkCurrent(id rudderfork.VMID) error {
	ses.s.mu.Lock()
	defer ses.s.mu.Unlock()
	if ses.superseded(ses.s.fleet.vm(id)) {
		return errSuperseded
	}
	return nil
}

// superseded reports whether the VM's agent has spoken in a later session. The caller
// holds mu.
func (ses *session) superseded(v *vmInfo) bool { return ses.number < v.latestSession }

// heartbeat takes a VM's heartbeat, registers the VM where that is needed, and
// grants it a lease.
func (ses *session) heartbeat(ctx context.Context, b wire.VMHeartbeat) error {
	if err := ses.claimVM(b.VM.ID); err != nil {
		return err
	}
	if !b.Unresponsive {
		if err := ses.register(ctx, b.VM, b.Crash); err != nil {
			return err
		}
		if err := ses.checkEpoch(ctx, b); err != nil {
			return err
		}
	}
	s, now := ses.s, steady.Now()
	st := s.rep.Status()
	if !s.leads(ses.term) {
		return errNotLeading
	}
	grant := wire.VMGrant{Sent: b.Sent, Incarnation: b.VM.Incarnation, Epoch: ses.epoch, Cordoned: s.cordoned(b.VM.ID)}
	s.mu.Lock()
	v := s.fleet.vm(b.VM.ID)
	if ses.superseded(v) {
		s.mu.Unlock()
		return errSuperseded // while the VM was registered
	}
	fresh := v.session != ses
	v.session = ses
	s.fleet.recordHeartbeat(v, b, now)
	if !b.Unresponsive && ses.epoch != 0 && ses.incarnation == b.VM.Incarnation {
		for _, k := range s.fleet.lastOfStep[b.VM.ID] {
			grant.LastOfStep = append(grant.LastOfStep, k.Ref(k.Number))
		}
		left := v.lease.Grant(time.Unix(0, st.ContactNS), now, s.cfg.Lease)
		starts := s.startTimeLeft(left).Milliseconds()
		grant.LeaseMS, grant.StartMS = left.Milliseconds(), &starts
	}
	s.mu.Unlock()
	grant.Pressures = ses.observe(now)
	ses.reply(wire.ToQueueNode{Grant: &grant})
	if fresh {
		ses.ordersDue.Set()
		s.roundDue.Set()
	}
	return nil
}

// observe draws on the VM's account for the pressures of fillers, and returns those
// that its agent lacks.
func (ses *session) observe(now time.Time) (list []wire.PairPressure) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		vm := st.Queues().VM(ses.vm)
		if vm == nil {
			return
		}
		v := ses.s.fleet.vm(ses.vm)
		c := workloadOf(st.Queues(), vm, v)
		ses.s.fleet.pressures.observe(c, v.heartbeat, now)
		ses.s.fleet.observeSwings(st.Queues(), c, v.heartbeat, now)
		ses.s.fleet.updateForecasts(st.Queues(), v, now)
		list = ses.s.fleet.pressures.changedFor(c, ses.pressuresSent, now)
	})
	return list
}

// register commits the VM's description if it is new.
func (ses *session) register(ctx context.Context, vm queue.VM, crash *queue.Crash) error {
	if ses.inSync(vm) {
		return nil
	}
	v, ok := ses.beginRegistration(vm.ID)
	if !ok {
		return nil
	}
	defer ses.endRegistration(v)
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := ses.awaitReports(ctx, vm); err != nil {
		return err
	}
	if ses.registered(vm) {
		return nil
	}
	ses.s.recordCrash(vm, crash)
	res, err := ses.s.do(ctx, queue.Command{Register: &vm, Crash: crash})
	if err != nil {
		return err
	}
	ses.s.logGone(vm.ID, incarnationReplaced, res)
	ses.s.log.Info().Str("registered_vm", string(vm.ID)).Str("life", vm.Incarnation).Stringer("capacity", vm.Capacity).
		Strs("labels", vm.Labels).Msg("vm_registered")
	ses.s.mu.Lock()
	ses.s.fleet.vm(vm.ID).lease.AllowGrants()
	ses.s.mu.Unlock()
	if !ses.registered(vm) {
		return errNotLeading
	}
	return nil
}

// awaitReports waits for the commits of what the VM's agent has reported, before the VM is
// registered or a full list is worked out of what is committed. A run that was reported as
// refused, and is still ordered by the list, would be started by an agent that has
// forgotten the report, and elsewhere too.
func (ses *session) awaitReports(ctx context.Context, vm queue.VM) error {
	if err := ses.reports.Wait(ctx); err != nil || ses.firstInTerm || !ses.describedAsKnown(vm) {
		return err
	}
	// What earlier sessions have proposed is committed before this, or never.
	_, err := ses.s.do(ctx, queue.Command{Ends: &queue.Ends{VM: vm.ID, Incarnation: vm.Incarnation}})
	return err
}

// describedAsKnown reports whether the VM is live and known as it describes itself, so that it need
// not be registered.
func (ses *session) describedAsKnown(vm queue.VM) (ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ok = st.Queues().VM(vm.ID).RegisteredAs(vm)
	})
	return ok
}

// inSync reports whether the session's orders are of the VM's present epoch, and the VM is
// known as it describes itself.
func (ses *session) inSync(vm queue.VM) (ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		known := st.Queues().VM(vm.ID)
		ok = known.RegisteredAs(vm) && ses.epoch == known.Epoch && !ses.s.fleet.vm(vm.ID).lease.Expired()
	})
	return ok
}

// recordCrash draws conclusions on a VM from the end of the life that a new one follows,
// before that is committed.
func (s *Scheduler) recordCrash(vm queue.VM, crash *queue.Crash) {
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fleet.recordCrash(st.Queues(), vm, crash, steady.Now())
	})
}

// beginRegistration reports whether a VM may be registered, and gives it time to fetch
// its first lease. While its loss is being committed it may not: a lease granted
// after that would outlive the runs it was granted for. Nor while it is registered
// from another session, so that registrations are committed in the order of the
// sessions. The registration is to be followed by endRegistration.
func (ses *session) beginRegistration(id rudderfork.VMID) (v *vmInfo, ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		v = ses.s.fleet.vm(id)
		known := st.Queues().VM(id)
		v.renew(known)
		ok = !ses.superseded(v) && !v.registering && (!v.lease.Expired() || known == nil || !known.Live)
		if ok {
			v.registering = true
			v.lease.AssumeLease(steady.Now().Add(ses.s.cfg.Lease))
		}
	})
	return v, ok
}

// endRegistration lets the VM be registered again. A command without an answer may
// be committed yet, but before any that is proposed from now on.
func (ses *session) endRegistration(v *vmInfo) {
	ses.s.mu.Lock()
	defer ses.s.mu.Unlock()
	v.registering = false
}

// registered reports whether the state knows the VM as it describes itself, and
// takes over its epoch.
func (ses *session) registered(vm queue.VM) (ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		known, v := st.Queues().VM(vm.ID), ses.s.fleet.vm(vm.ID)
		v.renew(known)
		ok = known.RegisteredAs(vm) && !v.lease.Expired()
		if !ok {
			return
		}
		if ses.epoch != known.Epoch {
			ses.vm, ses.incarnation, ses.epoch = vm.ID, known.Incarnation, known.Epoch
			ses.sendFull()
		}
	})
	return ok
}

// sendFull has the full list of orders sent. The caller holds mu.
func (ses *session) sendFull() {
	ses.fullListSent = false
	clear(ses.startsSent)
	clear(ses.stopsSent)
	ses.ordersDue.Set()
}

// checkEpoch sends an agent the full list again that does not have it, as one that took
// its executor's life for over and takes it up again.
func (ses *session) checkEpoch(ctx context.Context, b wire.VMHeartbeat) error {
	if !ses.lacksList(b) {
		return nil
	}
	if err := ses.reports.Wait(ctx); err != nil {
		return err
	}
	ses.s.mu.Lock()
	defer ses.s.mu.Unlock()
	ses.s.log.Warn().Str("vm", string(ses.vm)).Str("life", ses.incarnation).Uint64("epoch", ses.epoch).Uint64("agent_epoch", *b.Epoch).Msg("orders_missing")
	ses.sendFull()
	return nil
}

// lacksList reports whether an agent does not have the full list that was sent to it.
func (ses *session) lacksList(b wire.VMHeartbeat) bool {
	ses.s.mu.Lock()
	defer ses.s.mu.Unlock()
	return b.Epoch != nil && *b.Epoch != ses.epoch && ses.incarnation == b.VM.Incarnation && ses.fullListSent && !steady.Now().Before(ses.fullListDeadline)
}

// ends commits the ends that a VM reports, then says so. A session that was left
// reports none: its agent may have been refused a start that the next one made again,
// and taking the refusal would let the run start elsewhere beside it. An agent that
// lives reports again in its next session, and so does the executor what it lists.
func (ses *session) ends(ctx context.Context, r wire.EndsReport) error {
	if err := ses.checkCurrent(r.Ends.VM); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	worked := ses.s.recordEnds(r.Ends)
	res, err := ses.s.do(ctx, queue.Command{Ends: &r.Ends})
	if err != nil {
		return err
	}
	if r.Departed {
		if err := ses.endDeparted(ctx, r.Ends.VM, r.Ends.Incarnation); err != nil {
			return err
		}
	}
	ses.reply(wire.ToQueueNode{EndsAck: &wire.EndsAck{Seq: r.Seq}})
	now := steady.Now()
	for i, e := range r.Ends.List {
		if !res.Accepted[i] {
			continue
		}
		ses.s.met.ends.WithLabelValues(string(e.Outcome)).Inc()
		ses.observeWorkTime(e, worked[i], now)
		ses.s.log.Info().Str("task", e.Task.String()).Uint32("run", e.Run).Str("on", string(r.Ends.VM)).
			Str("how", string(e.Outcome)).Str("reason", e.Reason).Msg("task_ended")
		ses.s.record("task_ended", e.Task.String(), "on "+string(r.Ends.VM)+": "+string(e.Outcome)+" "+e.Reason)
	}
	return nil
}

// recordEnds draws conclusions on a VM from the ends that it reports, before they are
// committed: the plan that finds a task without a run is to know why it is. It returns what
// each run worked, which is dropped with the run. A run that is not active was learned of
// before.
func (s *Scheduler) recordEnds(ends queue.Ends) (worked []float64) {
	worked = make([]float64, len(ends.List))
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now, v, vm := steady.Now(), s.fleet.vm(ends.VM), st.Queues().VM(ends.VM)
		for i, e := range ends.List {
			worked[i] = v.totalWork(e, now)
			if vm != nil && vm.Incarnation == ends.Incarnation && vm.Runs()[e.Task] == e.Run {
				s.fleet.recordEnd(ends.VM, e, now)
			}
		}
	})
	return worked
}

// observeWorkTime draws on how long a run worked that has ended.
func (ses *session) observeWorkTime(e queue.End, worked float64, now time.Time) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		ses.s.fleet.observeWorkTime(st.Queues(), e, worked, now)
	})
}

// endDeparted ends the runs of a life that has endDeparted, without waiting for its lease.
func (ses *session) endDeparted(ctx context.Context, vm rudderfork.VMID, life string) error {
	ses.s.mu.Lock()
	lost := queue.VMLoss{VM: vm, Incarnation: life, Checkpoints: ses.s.fleet.vm(vm).checkpoints(), Departed: true}
	ses.s.mu.Unlock()
	res, err := ses.s.do(ctx, queue.Command{Lost: &lost})
	if err != nil {
		return err
	}
	ses.s.met.left.Inc()
	ses.s.logGone(vm, incarnationDeparted, res)
	ses.s.log.Info().Str("left_vm", string(vm)).Str("life", life).Str("result", string(res.Code)).Msg("vm_left")
	ses.s.record("vm_left", string(vm), "its executor has left")
	return nil
}
