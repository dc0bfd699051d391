package dispatch

import (
	"cmp"
	"math"
	"slices"

	"rudderfork.example/rudderfork/queue"
)

// A suspect is a task under which an executor has crashed and that may be why (package
// queue, blame.go). Its next run is made in quarantine: where no other suspect has just
// begun, so that the next crash or its absence tells them apart, on the VM with the least
// beside it, and on a part of the VMs at a time. Where no such place is free a suspect
// waits, though not for long: most are innocent.
const (
	// quarantineMS is how long a suspect must have been seen at work until its
	// quarantine ends: ten times the median delay of a poison task's crash.
	quarantineMS = 500
	// quarantinePart is the part of the VMs, one of so many, that may hold suspects in
	// quarantine at a time. (With two, 3.03 crashes a poison task for 2.84 where 30 come
	// within 30 s; modelled days.)
	quarantineDivisor = 4
	// patienceMS is how long a suspect waits for a place apart, at most: short beside
	// the 3 s after which users take a job for forgotten that has nothing running.
	maxQuarantineWaitMS = 1_500
	// costQuarantine is what a VM in quarantine costs other tasks: its executor may crash.
	costQuarantine = 4.0
)

// holdsSuspect reports whether a suspect on the VM has not been seen at work for long.
func (v *vmState) hasUnprovenSuspect(p *pass) bool {
	return slices.ContainsFunc(v.suspects, func(k queue.RunKey) bool {
		run, seen := p.view.Runs[k]
		return !seen || p.view.Now-run.FirstSeenAt < quarantineMS
	})
}

// noteQuarantine notes that a suspect is in quarantine on a VM.
func (p *pass) markQuarantined(v *vmState) {
	if !v.quarantine {
		v.quarantine = true
		p.quarantines++
	}
}

// chooseFor is choose with a place apart for a suspect. held says that a suspect waits
// for one.
func (p *pass) chooseVMFor(c *candidates, k queue.TaskKey) (v *vmState, reason string, held bool) {
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

// isPatient reports whether a suspect waits on for a place apart. An end by the clock of
// an earlier leader may lie ahead; nothing waits for that.
func (p *pass) mayWaitForQuarantine(t *queue.Task) bool {
	waited := p.view.Now - t.EndedAt
	return waited >= 0 && waited < maxQuarantineWaitMS
}

// chooseApart returns the VM with the fewest runs of those that are not in quarantine, of
// those where nothing speaks against the task if there are any; nil if there is none, or
// enough are in quarantine.
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

// compareApart compares VMs as places for a suspect, the better one first.
func (p *pass) compareQuarantine(k queue.TaskKey, v, o *vmState) int {
	return cmp.Or(
		compareBool(p.isRisky(k, v), p.isRisky(k, o)),
		cmp.Compare(len(v.runs)+v.starts, len(o.runs)+o.starts),
	)
}

// objectionable reports whether the task has failed on a VM, or the VM is in doubt.
func (p *pass) isRisky(k queue.TaskKey, v *vmState) bool {
	return v.view.FailureScore >= riskyFailureScore || p.failedCost(k, v) > 0
}
