package lease

import (
	"cmp"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

// WorkerPhase is the state of an attempt at the worker.
type WorkerPhase string

// The phases that a worker reports.
const (
	WorkerRunning WorkerPhase = "running"
	WorkerDone    WorkerPhase = "done"
	WorkerFailed  WorkerPhase = "failed"
	WorkerStopped WorkerPhase = "stopped" // by request, after a checkpoint
	WorkerExpired WorkerPhase = "expired" // stopped by the worker because the lease had ended
)

// WorkerTask is an attempt as the worker reports it.
type WorkerTask struct {
	Task       rudderfork.TaskID
	Token      rudderfork.Token
	Phase      WorkerPhase
	Size       rudderfork.Resources
	Used       rudderfork.Resources
	Checkpoint int64  // units of work saved
	Progress   int64  // units done
	Throttle   int    // throttle level, see package throttle
	Reason     string // why the attempt failed or stopped; may be empty
	At         int64  // time at which Used was measured, Unix ms
}

// Action is a call of the agent to the worker, or a report to the leader. Exactly one
// field is set.
type Action struct {
	Start    *rudderfork.Lease
	Stop     *StopTask
	Forget   *AttemptRef // removes an ended attempt from the worker's list
	Throttle *SetThrottle
	Report   *rudderfork.Report // sent to the leader
}

// AttemptRef names one attempt.
type AttemptRef struct {
	Task  rudderfork.TaskID
	Token rudderfork.Token
}

// StopTask tells the worker to stop an attempt, and to refuse its start if that
// arrives later.
type StopTask struct {
	AttemptRef
	Checkpoint bool // take a checkpoint before the stop
}

// SetThrottle tells the worker to throttle an attempt.
type SetThrottle struct {
	AttemptRef
	Level int // see package throttle
}

// Holder keeps the leases of an agent's VM and the attempts that its worker lists.
// It is not safe for concurrent use.
type Holder struct {
	capacity rudderfork.Resources
	epoch    rudderfork.Token                       // of the session
	deadline time.Time                              // when the VM's lease ends; zero if it has none
	revision rudderfork.Revision                    // of the newest assignment
	desired  map[rudderfork.TaskID]rudderfork.Lease // leases of the newest assignment
	throttle map[rudderfork.TaskID]int              // throttle level that each task is to have

	boot        string                           // boot ID of the worker
	workerTasks map[rudderfork.TaskID]WorkerTask // attempts that the worker listed last
	assigned    bool                             // an assignment has arrived in the present epoch
	observed    bool                             // workerTasks was requested after the newest assignment
	started     map[AttemptRef]string            // boot ID of the worker when the start of an attempt was requested
}

// NewHolder returns a holder for a VM whose tasks may use capacity.
func NewHolder(capacity rudderfork.Resources) *Holder {
	return &Holder{
		capacity:    capacity,
		desired:     map[rudderfork.TaskID]rudderfork.Lease{},
		throttle:    map[rudderfork.TaskID]int{},
		workerTasks: map[rudderfork.TaskID]WorkerTask{},
		started:     map[AttemptRef]string{},
	}
}

// StartSession starts a session with the leader under an epoch. Leases of an older
// epoch become invalid.
func (h *Holder) StartSession(epoch rudderfork.Token) {
	if epoch <= h.epoch {
		return
	}
	h.epoch = epoch
	h.deadline = time.Time{}
	clear(h.desired)
	h.assigned, h.observed = false, false
}

// Epoch returns the epoch of the session.
func (h *Holder) Epoch() rudderfork.Token { return h.epoch }

// Deadline returns when the VM's lease ends.
func (h *Holder) Deadline() time.Time { return h.deadline }

// Grant extends the VM's lease to deadline. A grant of another epoch or an earlier
// deadline changes nothing.
func (h *Holder) Grant(epoch rudderfork.Token, deadline time.Time) {
	if epoch == h.epoch && deadline.After(h.deadline) {
		h.deadline = deadline
	}
}

// Assign replaces the leases of the tasks that the VM is to run. An assignment of
// another epoch or an older revision changes nothing.
func (h *Holder) Assign(epoch rudderfork.Token, rev rudderfork.Revision, leases []rudderfork.Lease) {
	if epoch != h.epoch || rev < h.revision {
		return
	}
	h.revision = rev
	clear(h.desired)
	for _, l := range leases {
		h.desired[l.Task] = l
	}
	h.assigned, h.observed = true, false
}

// SetThrottle sets the throttle level that a task is to have.
func (h *Holder) SetThrottle(t rudderfork.TaskID, level int) { h.throttle[t] = level }

// Observe takes the worker's boot ID and its list of attempts, which must have
// been requested after the last call of Assign.
func (h *Holder) Observe(boot string, tasks []WorkerTask) {
	h.boot = boot
	h.observed = true
	clear(h.workerTasks)
	for _, t := range tasks {
		h.workerTasks[t.Task] = t
	}
	for id := range h.throttle {
		if _, ok := h.workerTasks[id]; !ok {
			delete(h.throttle, id)
		}
	}
	for ref := range h.started {
		if h.desired[ref.Task].Token != ref.Token {
			delete(h.started, ref)
		}
	}
}

// Running returns the attempts that run at the worker, in the order of task IDs.
func (h *Holder) Running() []WorkerTask {
	var ts []WorkerTask
	for _, t := range h.workerTasks {
		if t.Phase == WorkerRunning {
			ts = append(ts, t)
		}
	}
	slices.SortFunc(ts, func(a, b WorkerTask) int { return cmp.Compare(a.Task, b.Task) })
	return ts
}

// Lease returns the lease of a task. ok is false if none is assigned.
func (h *Holder) Lease(t rudderfork.TaskID) (l rudderfork.Lease, ok bool) {
	l, ok = h.desired[t]
	return l, ok
}

// NextActions returns the actions that are due now, reports first. It returns none
// until an assignment has arrived and the worker was observed after it: an agent
// that has just started must not stop attempts whose leases it hasn't received
// yet. The worker stops them itself when the lease ends.
func (h *Holder) NextActions(now time.Time) []Action {
	if !h.assigned || !h.observed {
		return nil
	}
	var as []Action
	valid := now.Before(h.deadline)
	for _, t := range h.workerTasks {
		as = append(as, h.reconcile(t, valid)...)
	}
	if valid {
		as = append(as, h.starts()...)
	}
	slices.SortStableFunc(as, func(a, b Action) int { return cmp.Compare(a.rank(), b.rank()) })
	return as
}

// rank is the place of an action's kind in the order of actions: stops come before
// starts, which need the capacity.
func (a Action) rank() int {
	switch {
	case a.Report != nil:
		return 0
	case a.Forget != nil:
		return 1
	case a.Stop != nil:
		return 2
	case a.Throttle != nil:
		return 3
	}
	return 4
}

// reconcile returns the action for an attempt that the worker lists, if one is needed.
// valid reports whether the VM's lease is valid.
func (h *Holder) reconcile(t WorkerTask, valid bool) []Action {
	l, desired := h.desired[t.Task]
	desired = desired && l.Token == t.Token
	ref := AttemptRef{t.Task, t.Token}
	switch {
	case t.Phase != WorkerRunning && desired:
		return []Action{{Report: report(t)}}
	case t.Phase != WorkerRunning:
		return []Action{{Forget: &ref}}
	case !valid || !desired:
		return []Action{{Stop: &StopTask{ref, false}}} // without a checkpoint, since the leader would not accept it
	case l.Stop:
		return []Action{{Stop: &StopTask{ref, !l.Discard}}}
	case h.throttle[t.Task] != t.Throttle:
		return []Action{{Throttle: &SetThrottle{ref, h.throttle[t.Task]}}}
	}
	return nil
}

func report(t WorkerTask) *rudderfork.Report {
	r := &rudderfork.Report{Task: t.Task, Token: t.Token, Checkpoint: t.Checkpoint, Reason: t.Reason}
	switch t.Phase {
	case WorkerDone:
		r.Outcome = rudderfork.OutcomeDone
	case WorkerFailed:
		r.Outcome = rudderfork.OutcomeFailed
	case WorkerStopped:
		r.Outcome = rudderfork.OutcomeStopped
	default:
		r.Outcome = rudderfork.OutcomeLost
	}
	return r
}

// starts returns the starts of the leases without an attempt, as far as they fit into
// the capacity that is left by all running attempts, with or without a lease.
func (h *Holder) starts() []Action {
	var used rudderfork.Resources
	for _, t := range h.workerTasks {
		if t.Phase == WorkerRunning {
			used = used.Add(t.Size)
		}
	}
	var as []Action
	for _, l := range h.missing() {
		ref := AttemptRef{l.Task, l.Token}
		boot, before := h.started[ref]
		if l.Stop || before && boot != h.boot {
			// The attempt must stop before it has started, or it was lost in a restart of
			// the worker. The stop makes the worker refuse a start that arrives later.
			as = append(as, Action{Stop: &StopTask{ref, true}})
			continue
		}
		if !used.Add(l.Size).Fits(h.capacity) {
			continue
		}
		used = used.Add(l.Size)
		h.started[ref] = h.boot
		as = append(as, Action{Start: &l})
	}
	return as
}

// missing returns the leases for whose tasks the worker lists no attempt, in the
// order of task IDs. An older attempt of the task must be stopped and forgotten
// first.
func (h *Holder) missing() []rudderfork.Lease {
	var ls []rudderfork.Lease
	for _, l := range h.desired {
		if _, ok := h.workerTasks[l.Task]; !ok {
			ls = append(ls, l)
		}
	}
	slices.SortFunc(ls, func(a, b rudderfork.Lease) int { return cmp.Compare(a.Task, b.Task) })
	return ls
}
