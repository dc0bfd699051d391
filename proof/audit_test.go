//go:build proof

package proof

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"rudderfork.example/rudderfork/standin"
)

// attempt is one attempt at a task, as the workers' audits show it.
type attempt struct {
	vm, boot       string
	task           string
	token          uint64
	from, lastSeen int64 // Unix µs; lastSeen is the latest time in its audit lines
	startUnit      int64
	lastUnit       int64
	outcome        string // empty if the worker died
	cpu, mem       int64
}

// collectAttempts builds the attempts from audit lines, sorted by their start.
func collectAttempts(t *testing.T, us []standin.TaskRecord) []*attempt {
	t.Helper()
	type key struct {
		boot, task string
		token      uint64
	}
	byKey := map[key]*attempt{}
	var all []*attempt
	for _, u := range us {
		k := key{u.Boot, u.Task, u.Token}
		a := byKey[k]
		if u.Event == "start" {
			assert.Assert(t, a == nil, "task %s token %d started twice on one worker", u.Task, u.Token)
			a = &attempt{vm: u.VM, boot: u.Boot, task: u.Task, token: u.Token, from: u.From, startUnit: u.UnitsDone, cpu: u.CPU, mem: u.Mem}
			byKey[k] = a
			all = append(all, a)
		}
		a.lastSeen = max(a.lastSeen, u.To)
		a.lastUnit = max(a.lastUnit, u.UnitsDone)
		if u.Event != "start" && u.Event != "unit" {
			assert.Equal(t, a.outcome, "", "task %s token %d ended twice", u.Task, u.Token)
			a.outcome = u.Event
		}
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.from, b.from) })
	return all
}

// checkCapacity checks that the attempts on a VM never exceed its capacity, and returns
// the highest CPU utilization of a VM.
func checkCapacity(t *testing.T, as []*attempt, cpu, mem int64) (peak float64) {
	t.Helper()
	type event struct {
		at       int64
		cpu, mem int64
	}
	byVM := map[string][]event{}
	for _, a := range as {
		byVM[a.vm] = append(byVM[a.vm], event{a.from, a.cpu, a.mem}, event{a.lastSeen, -a.cpu, -a.mem})
	}
	for vm, es := range byVM {
		slices.SortStableFunc(es, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.cpu, b.cpu)) })
		var c, m int64
		for _, e := range es {
			c, m = c+e.cpu, m+e.mem
			assert.Assert(t, c <= cpu && m <= mem, "%s runs tasks of %d thousandths of a core and %d MB; its capacity is %d and %d", vm, c, m, cpu, mem)
			peak = max(peak, float64(c)/float64(cpu))
		}
	}
	return peak
}

// byTask groups attempts by task.
func byTask(as []*attempt) map[string][]*attempt {
	m := map[string][]*attempt{}
	for _, a := range as {
		m[a.task] = append(m[a.task], a)
	}
	return m
}

// checkNoOverlap checks that no two attempts at a task overlap, and that each has a higher
// token than the one before.
func checkNoOverlap(t *testing.T, as []*attempt) {
	t.Helper()
	for task, list := range byTask(as) {
		for i, a := range list[1:] {
			prev := list[i]
			assert.Assert(t, a.from >= prev.lastSeen, "task %s ran on %s (token %d) until %d and on %s (token %d) from %d",
				task, prev.vm, prev.token, prev.lastSeen, a.vm, a.token, a.from)
			assert.Assert(t, a.token > prev.token, "task %s: token %d after %d", task, a.token, prev.token)
		}
	}
}

// checkResumes checks that an attempt after a stop with a checkpoint resumes exactly
// there, that no attempt skips units, and that the last attempt at each task completes it.
// An earlier attempt may have completed the task only on a VM that was lost before it
// could report that; redone counts those. resumed counts the attempts that were stopped
// and resumed.
func checkResumes(t *testing.T, as []*attempt, units int64) (resumed, redone int) {
	t.Helper()
	for task, list := range byTask(as) {
		for i, a := range list {
			if a.outcome == "done" {
				assert.Equal(t, a.lastUnit, units, "task %s is done at the wrong unit", task)
			}
			if i == 0 {
				assert.Equal(t, a.startUnit, int64(0), "the first attempt at task %s does not start at unit 0", task)
				continue
			}
			prev := list[i-1]
			if prev.outcome == "done" {
				redone++
			}
			assert.Assert(t, a.startUnit <= prev.lastUnit, "task %s skipped units %d to %d", task, prev.lastUnit, a.startUnit)
			if prev.outcome == "stopped" {
				assert.Equal(t, a.startUnit, prev.lastUnit, "task %s token %d was stopped, and the next attempt did not resume at its checkpoint: %s", task, prev.token, describe(list))
				resumed++
			}
		}
		assert.Equal(t, list[len(list)-1].outcome, "done", "task %s: %s", task, describe(list))
	}
	return resumed, redone
}

// describe formats attempts for failure messages.
func describe(list []*attempt) (s string) {
	for _, a := range list {
		s += fmt.Sprintf("[%s token %d units %d-%d %s] ", a.vm, a.token, a.startUnit, a.lastUnit, a.outcome)
	}
	return s
}
