package dispatch

import (
	"cmp"
	"math"
	"slices"

	"rudderfork.example/rudderfork/queue"
)

// A suspect is a task whose run was active when an executor crashed and that may be the
// cause (package queue, blame.go). Its next run starts in quarantine: on a VM where no
// other suspect has just started, so that the next crash, or its absence, shows which of
// them was the cause. VMs with few runs are preferred, and only some of the VMs are in
// quarantine at a time. A suspect waits for such a VM only for a short time, since most
// suspects are innocent.
const (
	// quarantineMS is how long a suspect must have been seen running, ms, before its
	// quarantine ends: ten times the median delay until a poison task crashes its executor.
	quarantineMS = 500
	// quarantineDivisor bounds the VMs in quarantine: one in quarantineDivisor VMs may be. If
	// one in two may be, poison tasks crash more executors when many arrive at once.
	quarantineDivisor = 4
	// maxQuarantineWaitMS bounds how long a suspect waits for a VM for its quarantine, ms. It
	// is well below the 3 s after which users consider a job without runs forgotten.
	maxQuarantineWaitMS = 1_500
	// costQuarantine is the cost of a VM in quarantine for other tasks, since its executor
	// may crash.
	costQuarantine = 4.0
)

// hasUnprovenSuspect reports whether a suspect on the VM has not yet been seen running
// for quarantineMS.
func (v *vmState) hasUnprovenSuspect(p *pass) bool {
	return slices.ContainsFunc(v.suspects, func(k queue.RunKey) bool {
		run, seen := p.view.Runs[k]
		return !seen || p.view.Now-run.FirstSeenAt < quarantineMS
	})
}

// markQuarantined records that a VM holds a suspect in quarantine.
func (p *pass) markQuarantined(v *vmState) {
	if !v.quarantine {
		v.quarantine = true
		p.quarantines++
	}
}

// chooseVMOrWait is like chooseVM, but chooses a VM for the quarantine of a task that is a
// suspect. wait reports that the suspect must wait for such a VM.
func (p *pass) chooseVMOrWait(c *candidates, k queue.TaskKey) (v *vmState, reason string, wait bool) {
	t := &c.class.tasks[k.Index]
	if !t.Suspect() {
		v, reason = p.chooseVM(c, k)
		return v, reason, false
	}
	if v = p.chooseQuarantine(c, k); v != nil {
		return v, "a suspect of a crash, in quarantine where least runs", false
	}
	if c.feasible > 0 && p.mayWaitForQuarantine(t) {
		return nil, "", true
	}
	v, reason = p.chooseVM(c, k)
	return v, reason, false
}

// mayWaitForQuarantine reports whether a suspect may wait longer for a VM for its
// quarantine. It may not if its last run ended in the future, which happens if the clock of
// an earlier leader was ahead.
func (p *pass) mayWaitForQuarantine(t *queue.Task) bool {
	waited := p.view.Now - t.EndedAt
	return waited >= 0 && waited < maxQuarantineWaitMS
}

// chooseQuarantine returns the feasible VM with the fewest runs among those not in
// quarantine, preferring VMs that are not risky for the task. It returns nil if there is
// none, or if as many VMs are in quarantine as may be.
func (p *pass) chooseQuarantine(c *candidates, k queue.TaskKey) (best *vmState) {
	if p.quarantines >= max(1, len(p.vms)/quarantineDivisor) {
		return nil
	}
	for i, cost := range c.costs {
		v := p.vms[i]
		if math.IsInf(cost, 1) || v.quarantine || c.class.runsOn(k, v) {
			continue
		}
		if best == nil || p.compareQuarantine(k, v, best) < 0 {
			best = v
		}
	}
	return best
}

// compareQuarantine orders VMs for the quarantine of a task, the better one first.
func (p *pass) compareQuarantine(k queue.TaskKey, v, o *vmState) int {
	return cmp.Or(
		compareBool(p.isRisky(k, v), p.isRisky(k, o)),
		cmp.Compare(len(v.runs)+v.starts, len(o.runs)+o.starts),
	)
}

// isRisky reports whether the task has failed on a VM or the VM's failure score is that of
// a recent failure or more.
func (p *pass) isRisky(k queue.TaskKey, v *vmState) bool {
	return v.view.FailureScore >= riskyFailureScore || p.failedCost(k, v) > 0
}
