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

// orders returns the orders that were not sent yet; changed is false if there are none.
func (ses *session) orders() (o *wire.Orders, changed bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		before := ses.cordoned
		o = ses.newOrders(st.Queues())
		changed = o.Full || o.Cordoned != before || len(o.Start)+len(o.Stop) > 0
	})
	return o, changed
}

// mayHaveOrders reports whether there may be orders that the session's VM lacks. It is cheap,
// and may be true when there are none. The caller holds mu.
func (ses *session) mayHaveOrders(qs *queue.State) bool {
	vm := qs.VM(ses.vm)
	return vm != nil && (ses.ordersVersion != versionOf(vm) || ses.s.fleet.stopsOn[ses.vm] || ses.cordoned != qs.Evacuating(vm.Domain))
}

// newOrders returns the difference between the VM's committed runs and the orders sent before,
// and records it as sent. It returns no starts or stops unless the session has the VM's current
// epoch. The caller holds mu.
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
		// A new leader has sessions before its first plan. The runs of a final job are
		// known from the state, so their stops are sent together with their starts, and
		// the agent neither starts nor stops them.
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
		// The run is no longer active: the agent has reported its end, or the leader has
		// ended it without a report. Stopping an ended run does nothing.
		delete(ses.startsSent, ref)
		if !ses.stopsSent[ref] {
			o.Stop = append(o.Stop, ref)
		}
		delete(ses.stopsSent, ref)
	}
	if len(o.Start) > 0 {
		// The agent needs the pressures to pace a filler correctly from its start on.
		w := workloadOf(qs, vm, ses.s.fleet.vm(ses.vm))
		for k := range vm.Runs() {
			w.add(qs.Job(k.Job).Spec.Steps[k.Step])
		}
		o.Pressures = ses.s.fleet.pressures.changedFor(w, ses.pressuresSent, steady.Now())
	}
	return o
}

// orderOf returns the order to start a run of task k of job j.
func orderOf(j *queue.Job, k queue.TaskKey, ref rudderfork.RunRef) wire.RunOrder {
	step, t := j.Spec.Steps[k.Step], j.Task(k)
	run, _ := t.Run(ref.Run)
	return wire.RunOrder{
		RunRef: ref, Payload: j.Spec.Payload, Checkpoint: t.Checkpoint, Ticket: run.Ticket,
		TailMS: step.TailMS, Filler: step.Filler, Image: step.Image, CPUMilli: step.Size.CPUMilli, Need: step.Need(),
	}
}

// errSuperseded means that the VM's agent has sent a heartbeat in a later session.
var errSuperseded = errors.New("the VM's agent has a later session")

// claimVM records that the VM's agent has sent a heartbeat in the session. It fails if the
// agent has sent one in a later session: then this heartbeat was delayed on its way, and may be
// of an incarnation that has ended.
//
// The numbers of sessions are in the order in which a VM's agents used them. An agent leaves
// its session before it opens the next, and sends nothing before the leader's welcome. So the
// first heartbeat in a session was sent after the session was opened here, by an agent that had
// left all earlier ones.
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

// checkCurrent returns errSuperseded if the VM's agent has left the session for a later one.
func (ses *session) checkCurrent(id rudderfork.VMID) error {
	ses.s.mu.Lock()
	defer ses.s.mu.Unlock()
	if ses.superseded(ses.s.fleet.vm(id)) {
		return errSuperseded
	}
	return nil
}

// superseded reports whether the VM's agent has sent a heartbeat in a later session. The
// caller holds mu.
func (ses *session) superseded(v *vmInfo) bool { return ses.number < v.latestSession }

// handleHeartbeat processes a VM's heartbeat: it registers the VM if its description is new, records
// the status of its runs, and replies with a lease grant. A VM whose executor does not respond
// gets a grant without a lease.
func (ses *session) handleHeartbeat(ctx context.Context, hb wire.VMHeartbeat) error {
	if err := ses.claimVM(hb.VM.ID); err != nil {
		return err
	}
	if !hb.Unresponsive {
		if err := ses.register(ctx, hb.VM, hb.Crash); err != nil {
			return err
		}
		if err := ses.checkEpoch(ctx, hb); err != nil {
			return err
		}
	}
	s, now := ses.s, steady.Now()
	status := s.rep.Status()
	if !s.leads(ses.term) {
		return errNotLeading
	}
	grant := wire.VMGrant{Sent: hb.Sent, Incarnation: hb.VM.Incarnation, Epoch: ses.epoch, Cordoned: s.cordoned(hb.VM.ID)}
	s.mu.Lock()
	v := s.fleet.vm(hb.VM.ID)
	if ses.superseded(v) {
		s.mu.Unlock()
		return errSuperseded // the later session had its first heartbeat during the registration
	}
	firstHeartbeat := v.session != ses
	v.session = ses
	s.fleet.recordHeartbeat(v, hb, now)
	if !hb.Unresponsive && ses.epoch != 0 && ses.incarnation == hb.VM.Incarnation {
		for _, k := range s.fleet.lastOfStep[hb.VM.ID] {
			grant.LastOfStep = append(grant.LastOfStep, k.Ref(k.Number))
		}
		left := v.lease.Grant(time.Unix(0, status.QuorumContactNS), now, s.cfg.Lease)
		starts := s.startTimeLeft(left).Milliseconds()
		grant.LeaseMS, grant.StartMS = left.Milliseconds(), &starts
	}
	s.mu.Unlock()
	grant.Pressures = ses.updateModels(now)
	ses.reply(wire.ToQueueNode{Grant: &grant})
	if firstHeartbeat {
		ses.ordersDue.Set()
		s.roundDue.Set()
	}
	return nil
}

// updateModels updates the models of pressure and of periodic load from the VM's heartbeat. It
// returns the pressures that the VM's agent lacks.
func (ses *session) updateModels(now time.Time) (list []wire.PairPressure) {
	var change *speedChange
	defer func() { ses.s.logSpeed(change) }()
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		vm := st.Queues().VM(ses.vm)
		if vm == nil {
			return
		}
		v := ses.s.fleet.vm(ses.vm)
		w := workloadOf(st.Queues(), vm, v)
		ses.s.fleet.pressures.observe(w, v.heartbeat, now)
		ses.s.fleet.observeSwings(st.Queues(), w, v.heartbeat, now)
		ses.s.fleet.updateForecasts(st.Queues(), v, now)
		change = ses.s.fleet.observeSpeed(st.Queues(), vm, v, now)
		ses.s.fleet.observeOverload(st.Queues(), vm, v, now)
		list = ses.s.fleet.pressures.changedFor(w, ses.pressuresSent, now)
	})
	return list
}

// register commits the VM's description if it is new, and adopts the epoch of its registration.
// It returns nil without having registered if the VM may not be registered yet; the next
// heartbeat tries again.
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
	if ses.adoptEpoch(vm) {
		return nil
	}
	ses.s.recordCrash(vm, crash)
	res, err := ses.s.do(ctx, queue.Command{Register: &vm, Crash: crash})
	if err != nil {
		return err
	}
	ses.s.logLostRuns(vm.ID, incarnationReplaced, res)
	ses.s.log.Info().Str("registered_vm", string(vm.ID)).Str("life", vm.Incarnation).Stringer("capacity", vm.Capacity).
		Strs("labels", vm.Labels).Msg("vm_registered")
	ses.s.mu.Lock()
	ses.s.fleet.vm(vm.ID).lease.AllowGrants()
	ses.s.mu.Unlock()
	if !ses.adoptEpoch(vm) {
		return errNotLeading
	}
	return nil
}

// awaitReports waits until the ends that the VM's agent has reported are committed. This comes
// before the VM is registered or a full list is computed from the committed state. Otherwise a
// run that was reported as refused could still be in the list: the agent, which has dropped the
// report, would start it while the task is also started elsewhere.
func (ses *session) awaitReports(ctx context.Context, vm queue.VM) error {
	if err := ses.reports.Wait(ctx); err != nil || ses.firstInTerm || !ses.isRegistered(vm) {
		return err
	}
	// Ends that earlier sessions have proposed are committed before this empty command, or
	// never.
	_, err := ses.s.do(ctx, queue.Command{Ends: &queue.Ends{VM: vm.ID, Incarnation: vm.Incarnation}})
	return err
}

// isRegistered reports whether the VM is live and registered with the description vm, so that
// it need not be registered.
func (ses *session) isRegistered(vm queue.VM) (ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ok = st.Queues().VM(vm.ID).RegisteredAs(vm)
	})
	return ok
}

// inSync reports whether the VM is registered with the description vm, the session has the epoch of
// that registration and the lease has not expired, so that a heartbeat needs no further step.
func (ses *session) inSync(vm queue.VM) (ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		known := st.Queues().VM(vm.ID)
		ok = known.RegisteredAs(vm) && ses.epoch == known.Epoch && !ses.s.fleet.vm(vm.ID).lease.Expired()
	})
	return ok
}

// recordCrash records whether the VM's previous incarnation has crashed, before the
// registration of the new one is committed and removes it.
func (s *Scheduler) recordCrash(vm queue.VM, crash *queue.Crash) {
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fleet.recordCrash(st.Queues(), vm, crash, steady.Now())
	})
}

// beginRegistration reports whether a VM may be registered. If so, it marks the VM as being registered
// and assumes a full lease, so that the VM has time to get its first grant. The caller calls
// endRegistration afterwards.
//
// A VM may not be registered while its loss is being committed: a lease granted then would
// outlast the runs that it was granted for. It may also not be registered while another session
// registers it, so that registrations are committed in the order of the sessions.
func (ses *session) beginRegistration(id rudderfork.VMID) (v *vmInfo, ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		v = ses.s.fleet.vm(id)
		known := st.Queues().VM(id)
		v.resumeGrants(known)
		ok = !ses.superseded(v) && !v.registering && (!v.lease.Expired() || known == nil || !known.Live)
		if ok {
			v.registering = true
			v.lease.AssumeLease(steady.Now().Add(ses.s.cfg.Lease))
		}
	})
	return v, ok
}

// endRegistration allows further registrations of the VM. A registration that timed out may
// still be committed, but only before any that is proposed from now on.
func (ses *session) endRegistration(v *vmInfo) {
	ses.s.mu.Lock()
	defer ses.s.mu.Unlock()
	v.registering = false
}

// adoptEpoch takes over the epoch of the VM's registration if the VM is registered with the
// description vm and its lease has not expired, and reports whether that is so. A new epoch makes
// the session send the full list.
func (ses *session) adoptEpoch(vm queue.VM) (ok bool) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		known, v := st.Queues().VM(vm.ID), ses.s.fleet.vm(vm.ID)
		v.resumeGrants(known)
		ok = known.RegisteredAs(vm) && !v.lease.Expired()
		if !ok {
			return
		}
		if ses.epoch != known.Epoch {
			ses.vm, ses.incarnation, ses.epoch = vm.ID, known.Incarnation, known.Epoch
			ses.sendFullListNext()
		}
	})
	return ok
}

// sendFullListNext makes the next orders of the session the full list. The caller holds mu.
func (ses *session) sendFullListNext() {
	ses.fullListSent = false
	clear(ses.startsSent)
	clear(ses.stopsSent)
	ses.ordersDue.Set()
}

// checkEpoch sends the full list again if the agent has lost it. An agent drops its orders when
// it takes its executor's incarnation to have ended, and lacks them if that incarnation then turns
// out to be still running.
func (ses *session) checkEpoch(ctx context.Context, hb wire.VMHeartbeat) error {
	if !ses.lacksFullList(hb) {
		return nil
	}
	if err := ses.reports.Wait(ctx); err != nil {
		return err
	}
	ses.s.mu.Lock()
	defer ses.s.mu.Unlock()
	ses.s.log.Warn().Str("vm", string(ses.vm)).Str("life", ses.incarnation).Uint64("epoch", ses.epoch).Uint64("agent_epoch", *hb.Epoch).Msg("orders_missing")
	ses.sendFullListNext()
	return nil
}

// lacksFullList reports whether the agent's heartbeat shows another epoch although it has had time
// to receive the full list.
func (ses *session) lacksFullList(hb wire.VMHeartbeat) bool {
	ses.s.mu.Lock()
	defer ses.s.mu.Unlock()
	return hb.Epoch != nil && *hb.Epoch != ses.epoch && ses.incarnation == hb.VM.Incarnation && ses.fullListSent && !steady.Now().Before(ses.fullListDeadline)
}

// commitEnds commits the ends of runs that an agent reports, then acknowledges the report.
//
// Reports of a superseded session are dropped. A start that was refused there may have been
// made again in the later session; committing the refusal would let the task start elsewhere
// beside that run. Nothing is lost: the agent repeats its reports in its next session, and an
// executor lists ended runs until they are acknowledged.
func (ses *session) commitEnds(ctx context.Context, r wire.EndsReport) error {
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

// recordEnds records for the planner what the reported ends of runs show about a VM. It comes
// before their commit, so that the first plan that finds a task without a run knows why. Ends of
// runs that are not active are skipped, as they were recorded before. It returns how long each run
// worked, in ms, because that is dropped together with the run.
func (s *Scheduler) recordEnds(ends queue.Ends) (worked []float64) {
	worked = make([]float64, len(ends.List))
	s.rep.View(func(st *state.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now, v, vm := steady.Now(), s.fleet.vm(ends.VM), st.Queues().VM(ends.VM)
		for i, e := range ends.List {
			worked[i] = v.totalWork(e, now)
			if vm != nil && vm.Incarnation == ends.Incarnation && vm.Runs()[e.Task] == e.Run {
				worked[i] = s.fleet.speeds.usualWork(ends.VM, worked[i], now)
				s.fleet.observeSpeedEnd(st.Queues(), vm, e, now)
				s.fleet.recordEnd(ends.VM, e, now)
			}
		}
	})
	return worked
}

// observeWorkTime passes the work time of a run that has ended, in ms, to the model.
func (ses *session) observeWorkTime(e queue.End, worked float64, now time.Time) {
	ses.s.rep.View(func(st *state.State) {
		ses.s.mu.Lock()
		defer ses.s.mu.Unlock()
		ses.s.fleet.observeWorkTime(st.Queues(), e, worked, now)
	})
}

// endDeparted commits the loss of an incarnation that has sent its shutdown notice, so that its
// runs end without waiting for its lease to expire.
func (ses *session) endDeparted(ctx context.Context, vm rudderfork.VMID, inc string) error {
	ses.s.mu.Lock()
	lost := queue.VMLoss{VM: vm, Incarnation: inc, Checkpoints: ses.s.fleet.vm(vm).checkpoints(), Departed: true}
	ses.s.mu.Unlock()
	res, err := ses.s.do(ctx, queue.Command{Lost: &lost})
	if err != nil {
		return err
	}
	ses.s.met.departed.Inc()
	ses.s.logLostRuns(vm, incarnationDeparted, res)
	ses.s.log.Info().Str("left_vm", string(vm)).Str("life", inc).Str("result", string(res.Code)).Msg("vm_left")
	ses.s.record("vm_left", string(vm), "its executor has left")
	return nil
}
