package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rudderfork.example/rudderfork"
)

// harness applies commands at consecutive indexes and advances the time.
type harness struct {
	s     *State
	index uint64
	now   int64
}

func newHarness() *harness { return &harness{s: New(), now: 1_000_000} }

func (h *harness) do(c Command) Result {
	h.index++
	h.now += 10
	c.At = h.now
	return h.s.Apply(h.index, c)
}

func check(t *testing.T, r Result, want Code) Result {
	t.Helper()
	assert.Equal(t, r.Code, want, r.Text)
	return r
}

var weight = rudderfork.CellKey{Kind: rudderfork.RowService, Row: "tour", Column: rudderfork.ColWeight}

func edit(id string, value int64, ifRev rudderfork.Revision) Command {
	return Command{Edit: &Edit{ID: id, Writes: []CellWrite{{Key: weight, Value: value, IfRevision: ifRev}}}}
}

func TestEdits(t *testing.T) {
	h := newHarness()
	first := check(t, h.do(edit("a", 5, 0)), CodeOK)
	t.Run("an edit from an older revision conflicts", func(t *testing.T) {
		r := check(t, h.do(edit("b", 6, 0)), CodeConflict)
		assert.Equal(t, r.Cells[0].Value, int64(5))
	})
	t.Run("a repeated edit returns the first result", func(t *testing.T) {
		r := check(t, h.do(edit("a", 5, 0)), CodeOK)
		assert.Assert(t, r.Repeated)
		assert.Equal(t, r.Revision, first.Revision)
	})
	t.Run("a repeated conflict returns the first result", func(t *testing.T) {
		check(t, h.do(edit("b", 6, 0)), CodeConflict)
	})
	t.Run("an ID cannot be used for another edit", func(t *testing.T) {
		check(t, h.do(edit("a", 7, first.Revision)), CodeInvalid)
	})
	t.Run("a repeated edit is recognized after a snapshot", func(t *testing.T) {
		h := reload(t, h)
		assert.Assert(t, h.do(edit("a", 5, 0)).Repeated)
		check(t, h.do(edit("c", 8, first.Revision)), CodeOK)
	})
	t.Run("a value out of range is invalid", func(t *testing.T) {
		r := check(t, h.do(edit("d", 0, first.Revision)), CodeInvalid)
		assert.Equal(t, r.Text, "cell service/tour/weight: 0 is out of range; want 1 to 1000 (share)")
	})
	t.Run("an edit changes all cells or none", func(t *testing.T) {
		other := rudderfork.CellKey{Kind: rudderfork.RowService, Row: "tour", Column: rudderfork.ColSlots}
		e := Edit{ID: "e", Writes: []CellWrite{{Key: other, Value: 4}, {Key: weight, Value: 9, IfRevision: 999}}}
		check(t, h.do(Command{Edit: &e}), CodeConflict)
		assert.Equal(t, h.s.Cell(other).Revision, rudderfork.Revision(0))
	})
	t.Run("the history is bounded", func(t *testing.T) {
		history := newEditHistory()
		for i := range EditWindow + 5 {
			history.put(editRecord{ID: fmt.Sprint(i)})
		}
		_, ok := history.get("4")
		assert.Assert(t, !ok && len(history.byID) == EditWindow)
	})
}

func reload(t *testing.T, h *harness) *harness {
	t.Helper()
	data, err := h.s.Encode()
	assert.NilError(t, err)
	s, err := Decode(data)
	assert.NilError(t, err)
	return &harness{s: s, index: h.index, now: h.now}
}

func register(vm string) Command {
	return Command{Register: &Register{
		Place: rudderfork.Place{VM: rudderfork.VMID(vm)}, Capacity: rudderfork.Resources{CPUMilli: 4000, MemoryMB: 4000},
		Reserved: rudderfork.Resources{CPUMilli: 1000},
	}}
}

func submit(id string, tasks int) Command {
	return Command{Submit: &Submit{rudderfork.JobSpec{ID: rudderfork.JobID(id), Team: "team", Kind: "k", Tasks: tasks, Units: 100}}}
}

// TestInvariants applies random commands, as competing leaders, late agents and
// lost answers might cause them, and checks the invariants after each and after
// a snapshot.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness()
		for i := range 3 {
			h.do(register(fmt.Sprint("vm", i)))
		}
		tokens := map[rudderfork.TaskID]rudderfork.Token{}
		for range rapid.IntRange(1, 80).Draw(rt, "commands") {
			h.do(drawCommand(rt, h.s))
			checkInvariants(rt, h.s, tokens)
		}
		again := reload(t, h)
		checkInvariants(rt, again.s, tokens)
		assert.Equal(rt, len(again.s.Pending()), len(h.s.Pending()))
		assert.DeepEqual(rt, again.s.Usage("team"), h.s.Usage("team"))
	})
}

func drawCommand(rt *rapid.T, s *State) Command {
	vm := rudderfork.VMID(fmt.Sprint("vm", rapid.IntRange(0, 2).Draw(rt, "vm")))
	job := fmt.Sprint("j", rapid.IntRange(0, 3).Draw(rt, "job"))
	id := rudderfork.TaskID(fmt.Sprintf("%s/%d", job, rapid.IntRange(0, 3).Draw(rt, "task")))
	token := rudderfork.Token(rapid.IntRange(0, 6).Draw(rt, "token"))
	if t := s.Task(id); t != nil && rapid.Bool().Draw(rt, "current") {
		token = t.Token
		if t.VM != "" {
			vm = t.VM
		}
	}
	epoch := rudderfork.Token(rapid.IntRange(1, 3).Draw(rt, "epoch"))
	switch rapid.IntRange(0, 8).Draw(rt, "kind") {
	case 0:
		return submit(job, 4)
	case 1:
		return Command{Cancel: &Cancel{rudderfork.JobID(job)}}
	case 2:
		return register(string(vm))
	case 3:
		return Command{Lost: &VMLoss{vm, epoch}}
	case 4:
		return Command{Evict: &Evict{[]Eviction{{Task: id, Token: token}}}}
	case 5:
		o := rapid.SampledFrom([]rudderfork.Outcome{rudderfork.OutcomeDone, rudderfork.OutcomeFailed, rudderfork.OutcomeStopped, rudderfork.OutcomeLost}).Draw(rt, "outcome")
		return Command{Reports: &Reports{VM: vm, Reports: []rudderfork.Report{{Task: id, Token: token, Outcome: o, Checkpoint: 5}}}}
	case 6:
		return Command{Drain: &Drain{VM: vm, Off: rapid.Bool().Draw(rt, "off")}}
	}
	size := rudderfork.Resources{CPUMilli: int64(rapid.IntRange(1, 3500).Draw(rt, "cpu")), MemoryMB: 500}
	if v := s.VM(vm); v != nil {
		epoch = v.Epoch
	}
	return Command{Place: &Place{Placements: []Placement{{Task: id, VM: vm, Epoch: epoch, Token: token, Size: size}}}}
}

func checkInvariants(rt *rapid.T, s *State, tokens map[rudderfork.TaskID]rudderfork.Token) {
	used := map[rudderfork.VMID]rudderfork.Resources{}
	running := map[rudderfork.JobID]int{}
	for _, t := range s.tasks {
		if t.Token < tokens[t.ID] {
			rt.Fatalf("the token of task %s fell from %d to %d", t.ID, tokens[t.ID], t.Token)
		}
		tokens[t.ID] = t.Token
		if t.Phase.Holds() {
			used[t.VM] = used[t.VM].Add(t.Size)
			running[t.Job]++
		}
		_, pending := s.pending[t.ID]
		if pending != (t.Phase == rudderfork.TaskPending) {
			rt.Fatalf("task %s has phase %s, but its presence among the pending tasks is %t", t.ID, t.Phase, pending)
		}
	}
	for _, v := range s.VMs() {
		if used[v.Place.VM] != v.Used {
			rt.Fatalf("the tasks on VM %s hold %v, but its Used is %v", v.Place.VM, used[v.Place.VM], v.Used)
		}
		if !v.Used.Fits(v.Capacity.Sub(v.Reserved)) {
			rt.Fatalf("the tasks on VM %s hold %v, more than its capacity less what is reserved", v.Place.VM, v.Used)
		}
		if !v.Live && len(s.onVM[v.Place.VM]) > 0 {
			rt.Fatalf("VM %s is lost, but tasks hold capacity on it", v.Place.VM)
		}
	}
	for _, j := range s.Jobs() {
		if running[j.Spec.ID] != j.Running {
			rt.Fatalf("job %s has %d tasks that hold capacity, but its Running is %d", j.Spec.ID, running[j.Spec.ID], j.Running)
		}
	}
}

func acquire(after rudderfork.Token, at int64) Command {
	return Command{Claim: &Acquire{Key: ClaimKey{"s", "k"}, After: after, VM: "vm1", Boot: "b", Expires: at}}
}

func TestClaims(t *testing.T) {
	h := newHarness()
	const expires = 2_000_000
	first := h.do(acquire(0, expires))
	assert.Assert(t, first.Granted)
	t.Run("a second caller gets the first one's claim", func(t *testing.T) {
		r := h.do(acquire(0, expires))
		assert.Assert(t, !r.Granted)
		assert.Equal(t, r.Claim.Token, first.Claim.Token)
	})
	next := h.do(acquire(first.Claim.Token, expires))
	t.Run("a fenced-off token is taken over once", func(t *testing.T) {
		assert.Assert(t, next.Granted && next.Claim.Token > first.Claim.Token)
		assert.Assert(t, !h.do(acquire(first.Claim.Token, expires)).Granted)
	})
	settle := func(token rudderfork.Token, notRun bool) Command {
		return Command{Settle: &Settle{Key: ClaimKey{"s", "k"}, Token: token, NotRun: notRun, Answer: &Answer{Status: 200}}}
	}
	t.Run("only the holder settles", func(t *testing.T) {
		check(t, h.do(settle(first.Claim.Token, true)), CodeConflict)
		check(t, h.do(settle(next.Claim.Token, false)), CodeOK)
	})
	t.Run("the answer is kept, also in a snapshot", func(t *testing.T) {
		h := reload(t, h)
		r := h.do(acquire(next.Claim.Token, expires))
		assert.Assert(t, !r.Granted)
		assert.Equal(t, r.Claim.Answer.Status, 200)
		check(t, h.do(settle(next.Claim.Token, true)), CodeConflict)
	})
	t.Run("the token rises after a claim was released", func(t *testing.T) {
		h := newHarness()
		a := h.do(acquire(0, expires))
		check(t, h.do(settle(a.Claim.Token, true)), CodeOK)
		b := h.do(acquire(0, expires))
		assert.Assert(t, b.Granted && b.Claim.Token > a.Claim.Token)
	})
	t.Run("claims expire", func(t *testing.T) {
		h.now = expires + 1
		h.do(Command{Claim: &Acquire{Key: ClaimKey{"s", "other"}, Expires: expires * 2}})
		assert.Equal(t, h.s.ClaimCount(), 1)
	})
}

func TestFailingVMIsExcluded(t *testing.T) {
	h := newHarness()
	h.do(register("vm0"))
	fail := func(job string) {
		check(t, h.do(submit(job, 1)), CodeOK)
		id := rudderfork.TaskID(job + "/0")
		v := h.s.VM("vm0")
		r := h.do(Command{Place: &Place{Placements: []Placement{{Task: id, VM: "vm0", Epoch: v.Epoch, Size: rudderfork.Resources{CPUMilli: 1}}}}})
		assert.Assert(t, r.Placed[0], r.Text)
		h.do(Command{Reports: &Reports{VM: "vm0", Reports: []rudderfork.Report{{Task: id, Token: 1, Outcome: rudderfork.OutcomeFailed}}}})
	}
	fail("a")
	fail("b")
	assert.Assert(t, !h.s.VM("vm0").Excluded(h.now))
	fail("c")
	v := h.s.VM("vm0")
	assert.Assert(t, v.Excluded(h.now))
	first := v.ExcludedUntil - h.now
	t.Run("one failure on probation excludes for twice the time", func(t *testing.T) {
		h.now = v.ExcludedUntil + 1
		fail("d")
		assert.Assert(t, v.Excluded(h.now))
		assert.Equal(t, v.ExcludedUntil-h.now, 2*first)
	})
	t.Run("the failures of a single job exclude no VM", func(t *testing.T) {
		v := &VM{}
		for range 10 {
			v.recordFailure("x", 1)
		}
		assert.Assert(t, !v.Excluded(2))
	})
}

func TestCancelJob(t *testing.T) {
	h := newHarness()
	h.do(register("vm0"))
	check(t, h.do(submit("a", 5)), CodeOK)
	h.do(Command{Place: &Place{Placements: []Placement{{Task: "a/0", VM: "vm0", Epoch: 1, Size: rudderfork.Resources{CPUMilli: 1}}}}})
	check(t, h.do(Command{Cancel: &Cancel{"a"}}), CodeOK)
	check(t, h.do(Command{Cancel: &Cancel{"a"}}), CodeOK)
	assert.Equal(t, len(h.s.Pending()), 0)
	assert.Equal(t, h.s.Job("a").Open, 1)
	ls := h.s.Leases("vm0")
	assert.Assert(t, ls[0].Stop && ls[0].Discard)
	h.do(Command{Reports: &Reports{VM: "vm0", Reports: []rudderfork.Report{{Task: "a/0", Token: 1, Outcome: rudderfork.OutcomeStopped}}}})
	assert.Equal(t, h.s.Task("a/0").Phase, rudderfork.TaskCancelled)
	assert.Equal(t, h.s.VM("vm0").Used, rudderfork.Resources{})
}

func TestSubmitIsIdempotent(t *testing.T) {
	h := newHarness()
	r := check(t, h.do(submit("a", 5)), CodeOK)
	again := check(t, h.do(submit("a", 5)), CodeOK)
	assert.Assert(t, again.Repeated && again.Revision == r.Revision)
	check(t, h.do(submit("a", 6)), CodeConflict)
}
