package lease

import (
	"cmp"
	"slices"
	"time"

	"rudderfork.example/rudderfork"
)

// WorkerPhase is where an attempt stands at the worker.
type WorkerPhase string

// The phases that a worker reports.
const (
	WorkerRunning WorkerPhase = "running"
	WorkerDone    WorkerPhase = "done"
	WorkerFailed  WorkerPhase = "failed"
	WorkerStopped WorkerPhase = "stopped" // by request, checkpointed
	WorkerExpired WorkerPhase = "expired" // for want of a lease
)

// WorkerTask is an attempt as the worker reports it.
type WorkerTask struct {
	Task       rudderfork.TaskID
	Token      rudderfork.Token
	Phase      WorkerPhase
	Size       rudderfork.Resources
	Used       rudderfork.Resources
	Checkpoint int64 // units that would not be lost
	Progress   int64 // units done
	Throttle   int
	Reason     string
	At         int64 // of the usage, Unix ms
}

// Action is one thing that the agent must do. Exactly one field is set.
type Action struct {
	Start    *rudderfork.Lease
	Stop     *StopTask
	Forget   *AttemptRef
	Throttle *SetThrottle
	Report   *rudderfork.Report
}

// AttemptRef names one attempt.
type AttemptRef struct {
	Task  rudderfork.TaskID
	Token rudderfork.Token
}

// StopTask asks the worker to stop an attempt, and to refuse it if it comes
// later.
type StopTask struct {
	AttemptRef
	Checkpoint bool
}

// SetThrottle asks the worker to slow an attempt.
type SetThrottle struct {
	AttemptRef
	Level int
}

// Holder is an agent's view of the leases of its VM. It is not safe for
// concurrent use.
type Holder struct {
	room     rudderfork.Resources
	epoch    rudderfork.Token
	deadline time.Time
	revision rudderfork.Revision
	want     map[rudderfork.TaskID]rudderfork.Lease
	throttle map[rudderfork.TaskID]int

	boot    string // of the worker
	seen    map[rudderfork.TaskID]WorkerTask
	known   bool                  // want is that of the present epoch
	fresh   bool                  // seen is newer than the last change of want
	started map[AttemptRef]string // worker boot under which an attempt was started
}

// NewHolder returns a holder for a VM on which tasks may take room.
func NewHolder(room rudderfork.Resources) *Holder {
	return &Holder{
		room:     room,
		want:     map[rudderfork.TaskID]rudderfork.Lease{},
		throttle: map[rudderfork.TaskID]int{},
		seen:     map[rudderfork.TaskID]WorkerTask{},
		started:  map[AttemptRef]string{},
	}
}

// StartSession starts a session under epoch. Leases of an older epoch are void.
func (h *Holder) StartSession(epoch rudderfork.Token) {
	if epoch <= h.epoch {
		return
	}
	h.epoch = epoch
	h.deadline = time.Time{}
	clear(h.want)
	h.known, h.fresh = false, false
}

// Epoch returns the epoch of the session.
func (h *Holder) Epoch() rudderfork.Token { return h.epoch }

// Deadline returns when the VM's lease ends.
func (h *Holder) Deadline() time.Time { return h.deadline }

// Grant takes a deadline. One that is of another epoch or older changes nothing.
func (h *Holder) Grant(epoch rudderfork.Token, deadline time.Time) {
	if epoch == h.epoch && deadline.After(h.deadline) {
		h.deadline = deadline
	}
}

// Assign takes all that the VM is to run. An assignment of another epoch or an
// older revision changes nothing.
func (h *Holder) Assign(epoch rudderfork.Token, rev rudderfork.Revision, leases []rudderfork.Lease) {
	if epoch != h.epoch || rev < h.revision {
		return
	}
	h.revision = rev
	clear(h.want)
	for _, l := range leases {
		h.want[l.Task] = l
	}
	h.known, h.fresh = true, false
}

// SetThrottle says how much a task is to be slowed.
func (h *Holder) SetThrottle(t rudderfork.TaskID, level int) { h.throttle[t] = level }

// Observe takes the worker's list, asked for after the last call of Assign.
func (h *Holder) Observe(boot string, tasks []WorkerTask) {
	h.boot = boot
	h.fresh = true
	clear(h.seen)
	for _, t := range tasks {
		h.seen[t.Task] = t
	}
	for id := range h.throttle {
		if _, ok := h.seen[id]; !ok {
			delete(h.throttle, id)
		}
	}
	for ref := range h.started {
		if h.want[ref.Task].Token != ref.Token {
			delete(h.started, ref)
		}
	}
}

// Running returns the attempts that run at the worker, in the order of tasks.
func (h *Holder) Running() []WorkerTask {
	var ts []WorkerTask
	for _, t := range h.seen {
		if t.Phase == WorkerRunning {
			ts = append(ts, t)
		}
	}
	slices.SortFunc(ts, func(a, b WorkerTask) int { return cmp.Compare(a.Task, b.Task) })
	return ts
}

// Lease returns the lease of a task, if it is wanted.
func (h *Holder) Lease(t rudderfork.TaskID) (l rudderfork.Lease, ok bool) {
	l, ok = h.want[t]
	return l, ok
}

// NextActions returns what to do now, reports first. It returns nothing until an
// assignment came and the worker was observed after it: an agent that has just
// started must not stop what it does not know yet, and the worker stops by
// itself when the lease ends.
func (h *Holder) NextActions(now time.Time) []Action {
	if !h.known || !h.fresh {
		return nil
	}
	var as []Action
	valid := now.Before(h.deadline)
	for _, t := range h.seen {
		as = append(as, h.settle(t, valid)...)
	}
	if valid {
		as = append(as, h.starts()...)
	}
	slices.SortStableFunc(as, func(a, b Action) int { return cmp.Compare(a.rank(), b.rank()) })
	return as
}

// rank orders actions so that stops come before starts.
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

// settle compares one attempt at the worker with what is wanted.
func (h *Holder) settle(t WorkerTask, valid bool) []Action {
	l, wanted := h.want[t.Task]
	wanted = wanted && l.Token == t.Token
	ref := AttemptRef{t.Task, t.Token}
	switch {
	case t.Phase != WorkerRunning && wanted:
		return []Action{{Report: report(t)}}
	case t.Phase != WorkerRunning:
		return []Action{{Forget: &ref}}
	case !valid || !wanted:
		return []Action{{Stop: &StopTask{ref, false}}} // nobody would take the checkpoint
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

// starts returns the leases to start, as far as they fit beside all that still
// runs, whether wanted or not.
func (h *Holder) starts() []Action {
	var used rudderfork.Resources
	for _, t := range h.seen {
		if t.Phase == WorkerRunning {
			used = used.Add(t.Size)
		}
	}
	var as []Action
	for _, l := range h.missing() {
		ref := AttemptRef{l.Task, l.Token}
		boot, before := h.started[ref]
		if l.Stop || before && boot != h.boot {
			// It never started, or the worker has restarted since. The stop makes
			// the worker refuse a start that is still under way.
			as = append(as, Action{Stop: &StopTask{ref, true}})
			continue
		}
		if !used.Add(l.Size).Fits(h.room) {
			continue
		}
		used = used.Add(l.Size)
		h.started[ref] = h.boot
		as = append(as, Action{Start: &l})
	}
	return as
}

// missing returns the wanted leases of whose task the worker has no attempt, in
// the order of tasks. An older attempt must go first.
func (h *Holder) missing() []rudderfork.Lease {
	var ls []rudderfork.Lease
	for _, l := range h.want {
		if _, ok := h.seen[l.Task]; !ok {
			ls = append(ls, l)
		}
	}
	slices.SortFunc(ls, func(a, b rudderfork.Lease) int { return cmp.Compare(a.Task, b.Task) })
	return ls
}
